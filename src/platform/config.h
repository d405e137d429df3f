// The configuration of the HTTP front: LB_* environment variables and the JSON file that LB_CONFIG names.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>

#include "platform/endpoint_update.h"
#include "settings_reader.h"

namespace heronworks::platform {

// The message names the file and the field.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  Address listen;
  Address discovery;
  NamedSettings named_settings;
  EndpointUpdate initial_endpoints;
  int shard_count = 0;           // the largest number supported if it is unknown
  double node_idle_timeout = 0;  // s after which nodes close idle connections; 0: unknown
  double connect_timeout = 0;    // s; 0: default
  double discovery_silence = 0;  // s without a watch after which a change counts as received; 0: unknown
  std::size_t max_descriptors = 0;
  double memory_bytes = 0;  // 0: unknown
  nlohmann::json source;    // the file's content, to compare it on reload

  const Settings& settings() const { return named_settings.settings; }
};

using Environment = std::function<const char*(const char*)>;  // like std::getenv

// Throws ConfigError. Fields of the file take precedence over environment variables.
Config read_config(const Environment& environment);
Config read_config(const std::string& path, const Environment& environment);

// Presents nested JSON as dotted names. An array of plain values is joined by commas; an array of objects has
// its length under `count` and its items under 0, 1 and so on.
class JsonFields final : public SettingsFields {
 public:
  JsonFields(const nlohmann::json& settings, std::string file);
  std::optional<std::string_view> find(std::string_view name) const override;
  [[noreturn]] void fail(std::string_view name) const override;

 private:
  std::map<std::string, std::string, std::less<>> values_;
  std::string file_;
};

}  // namespace heronworks::platform
