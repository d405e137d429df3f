// What the platform tells a scheduler: the variables LB_* and the file that LB_CONFIG names, as plain values.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>

#include "platform/servers.h"
#include "settings_reader.h"

namespace heronworks::platform {

// Names the file and the field.
struct ConfigFault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  Address listen;
  Address discovery;
  NamedSettings named;
  ServerNews known;
  int shards = 0;              // they run from 0 to this less 1; 0: not said
  double idle_close = 0;       // s after which a node's machine closes an idle connection; 0: not said
  double connect_timeout = 0;  // s; 0: not said
  double ask_within = 0;       // s without watch or call until one counts as told; 0: not said
  std::size_t descriptors = 0;
  double memory = 0;      // bytes; 0: not said
  nlohmann::json source;  // to tell what a new file changes

  const Settings& settings() const { return named.settings; }
};

using Variables = std::function<const char*(const char*)>;  // as std::getenv

// Throws ConfigFault. The file's values hold; a variable stands in for one that the file lacks.
Config read_config(const Variables& variables);
Config read_config(const std::string& path, const Variables& variables);

// Nested JSON as dotted names: a list of plain values is joined by commas, a list of objects has its length
// under `count` and its items under 0, 1 and so on.
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
