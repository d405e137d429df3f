// Endpoint list updates from service discovery, and their JSON format.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "loop/fd.h"
#include "state.h"

namespace heronworks::platform {

struct Endpoint {
  std::string id;   // stays the same when the address changes
  Address address;  // empty if the endpoint was removed
  std::string zone;
  int shard = -1;
  NodeState state = NodeState::kReady;
  double started_at = 0;  // seconds of Unix time; 0: long ago
};

struct EndpointUpdate {
  std::int64_t version = 0;
  bool is_full = false;  // the complete list; otherwise the changes since the previous version
  std::vector<Endpoint> endpoints;
  std::vector<std::string> errors;  // one for each invalid entry, which is left out of `endpoints`
};

// Throws std::runtime_error that names the field if the update is invalid as a whole.
EndpointUpdate parse_endpoint_update(const nlohmann::json& json);
EndpointUpdate parse_endpoint_update(const std::string& text);

// Extracts complete entries from an update that is still being received, so that they take effect even if
// the connection breaks before the end of the update.
class PartialEndpointUpdate {
 public:
  // Returns the valid entries that have become complete since the previous call. `line` holds the whole line
  // received so far.
  std::vector<Endpoint> parse_new_entries(const std::string& line);
  void reset() { *this = {}; }
  // Whether the JSON value may continue on the next line. Indented JSON has line breaks, but none inside a
  // string or between a field's name and its value.
  bool may_continue() const { return depth_ > 0 && !in_string_ && last_character_ != ':'; }

 private:
  std::size_t scanned_ = 0;
  std::size_t entry_start_ = 0;
  int depth_ = 0;  // of nested objects
  bool in_string_ = false;
  bool escaped_ = false;
  char last_character_ = 0;  // other than white space
};

}  // namespace heronworks::platform
