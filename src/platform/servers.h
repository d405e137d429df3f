// The node list as discovery writes it, in JSON, and as the module's host wants it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loop/fd.h"
#include "state.h"

namespace heronworks::platform {

struct Server {
  std::string id;       // stays the same wherever it is reached
  Address address;      // may be empty of one that is gone
  std::string zone;
  int shard = -1;
  Listing listing = Listing::kReady;
  double started = 0;  // seconds of Unix time; 0: long ago
};

// Whole, or what changed since the version before. What could not be read is left out and said in `faults`,
// never guessed at.
struct ServerNews {
  std::int64_t version = 0;
  bool whole = false;
  std::vector<Server> servers;
  std::vector<std::string> faults;
};

// Throws std::runtime_error, naming the field, if the whole makes no sense.
ServerNews read_news(const nlohmann::json& json);
ServerNews read_news(const std::string& text);

}  // namespace heronworks::platform
