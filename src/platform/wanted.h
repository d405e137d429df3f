// What a client's request asks for, in plain values, or the error that it is owed: no sockets, no tables.
#pragma once

#include <variant>

#include "http/message.h"
#include "platform/config.h"

namespace heronworks::platform {

struct Wanted {
  std::string call;  // the client's id of it
  std::uint64_t volume = 0;
  Transaction t;  // but for the volume's index
};

struct Refused {
  int status = 0;
  std::string reason;  // for the log
};

std::variant<Wanted, Refused> read_wanted(const http::Message& request, const Config& config);

}  // namespace heronworks::platform
