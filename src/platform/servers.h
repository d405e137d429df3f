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
  std::string id;   // stays the same wherever it is reached
  Address address;  // may be empty of one that is gone
  std::string zone;
  int shard = -1;
  NodeState listing = NodeState::kReady;
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

// The entries of news whose line has not ended yet, as they come. Danger: lines break off or stop short, and
// what was written of them counts as told. An entry that is there as a whole is true whatever follows it.
class PartialNews {
 public:
  // `line`: all of the line so far, each time.
  std::vector<Server> more(const std::string& line);
  void reset() { *this = {}; }
  // Whether what was looked at so far ends inside a list that may go on behind a line's end: lists may come
  // indented, which breaks no string and never a field from its value.
  bool goes_on() const { return depth_ > 0 && !text_ && last_ != ':'; }

 private:
  std::size_t looked_ = 0;
  std::size_t entry_ = 0;  // where the present one began
  int depth_ = 0;          // of objects
  bool text_ = false;      // inside a string
  bool escaped_ = false;
  char last_ = 0;  // that is no white space
};

}  // namespace heronworks::platform
