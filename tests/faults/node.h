// A stand-in for a node, as a process of its own.
#pragma once

#include "child_process.h"
#include "loop/fd.h"

namespace heronworks::faults {

struct NodeOptions {
  double service_seconds = 0;  // from the end of a request to its reply
  std::size_t reply_bytes = 4;
};

// Accepts connections of `listener` and replies 200 to each request.
ChildProcess start_node(Fd listener, const NodeOptions& options);

}  // namespace heronworks::faults
