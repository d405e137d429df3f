// Clients that send to an HTTP front at full speed what it should not spend its time on.
#pragma once

#include <string>
#include <vector>

#include "loop/fd.h"

namespace heronworks::faults {

enum class FloodKind {
  kBareRequest,       // GET /, which is no transaction
  kUnknownClass,      // invalid in its class only
  kNewNames,          // valid reads, each of a new volume, key and id
  kOneByteChunks,     // writes in chunks of one byte
  kLargeBody,         // writes with a body of 60 MB
  kConnection,        // one invalid request a connection
  kNoise,             // bytes that are no request, without an end
  kManyFields,        // heads with as many short fields as fit
  kIncompleteWrites,  // the first half of a long write, then nothing, on one connection after the other
};

const char* name_of(FloodKind kind);
std::vector<FloodKind> all_flood_kinds();

struct FloodOptions {
  FloodKind kind = FloodKind::kBareRequest;
  int connections = 1;  // at the same time
  Address target;
};

// Sends on all connections as fast as the target reads, and discards what it answers. Connects again where
// the target closes. Returns only if the target is gone; meant for ChildProcess::run().
int run_flood(const FloodOptions& options);

}  // namespace heronworks::faults
