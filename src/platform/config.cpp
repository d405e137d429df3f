// The platform's configuration: see config.h.
#include "platform/config.h"

#include <sys/resource.h>

#include <fstream>

#include "number.h"

namespace heronworks::platform {
namespace {

constexpr double kMicro = 1e-6;
constexpr double kMega = 1024 * 1024;
constexpr std::size_t kMostFile = std::size_t{8} << 20;  // bytes of a configuration; beyond it is none
constexpr double kLeastDescriptors = 64;
constexpr double kMostDescriptors = 1 << 20;

std::string shown(const nlohmann::json& j) { return j.is_string() ? j.get<std::string>() : j.dump(); }

void flatten(const nlohmann::json& j, const std::string& at,
             std::map<std::string, std::string, std::less<>>& into) {
  const std::string under = at.empty() ? "" : at + ".";
  if (j.is_object()) {
    for (const auto& [name, value] : j.items()) flatten(value, under + name, into);
  } else if (j.is_array() && !j.empty() && j[0].is_object()) {
    into[under + "count"] = std::to_string(j.size());
    for (std::size_t i = 0; i < j.size(); ++i) flatten(j[i], under + std::to_string(i), into);
  } else if (j.is_array()) {
    std::string joined;
    for (const auto& value : j) joined += (joined.empty() ? "" : ",") + shown(value);
    into[at] = joined;
  } else if (!j.is_null()) {
    into[at] = shown(j);
  }
}

}  // namespace

JsonFields::JsonFields(const nlohmann::json& settings, std::string file) : file_(std::move(file)) {
  flatten(settings, "", values_);
}

std::optional<std::string_view> JsonFields::find(std::string_view name) const {
  const auto at = values_.find(name);
  if (at == values_.end()) return std::nullopt;
  return std::string_view(at->second);
}

void JsonFields::fail(std::string_view name) const {
  throw ConfigFault(file_ + ": bad field 'settings." + std::string(name) + "'");
}

Config read_config(const Variables& variables) {
  const char* path = variables("LB_CONFIG");
  if (path == nullptr || *path == 0) throw ConfigFault("LB_CONFIG is not set");
  return read_config(path, variables);
}

Config read_config(const std::string& path, const Variables& variables) {
  const auto bad = [&](const std::string& field) {
    return ConfigFault(path + ": bad field '" + field + "'");
  };
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigFault(path + ": cannot be read");
  std::string text;
  for (char piece[4096]; file.read(piece, sizeof piece), file.gcount() > 0;) {
    text.append(piece, static_cast<std::size_t>(file.gcount()));
    if (text.size() > kMostFile) throw ConfigFault(path + ": is too large");
  }
  Config c;
  c.source = nlohmann::json::parse(text, nullptr, false);
  if (c.source.is_discarded()) throw ConfigFault(path + ": is not JSON");
  if (!c.source.is_object()) throw ConfigFault(path + ": is not a JSON object");

  const auto told = [&](const char* field, const char* variable) -> std::string {
    const auto at = c.source.find(field);
    if (at != c.source.end()) {
      if (!at->is_string()) throw bad(field);
      return *at;
    }
    const char* value = variables(variable);
    if (value == nullptr) throw bad(field);
    return value;
  };
  const auto address = [&](const char* field, const char* variable) {
    const auto parsed = Address::parse(told(field, variable));
    if (!parsed) throw bad(field);
    return *parsed;
  };
  c.name = told("name", "LB_NAME");
  c.listen = address("listen", "LB_LISTEN");
  c.discovery = address("discovery", "LB_DISCOVERY");

  const auto settings = c.source.find("settings");
  if (settings == c.source.end() || !settings->is_object()) throw bad("settings");
  const JsonFields fields(*settings, path);
  c.named = read_settings(fields);
  // The settings tell how often the list is renewed; on sockets it always has to be asked for, by a watch.
  c.named.settings.requests_endpoint_list = true;
  if (c.settings().profiles.empty()) throw bad("settings.request-classes");
  c.shards = static_cast<int>(fields.integer("family-info.n-shards", 0));
  c.idle_close = kMicro * fields.number("allowed.idle-close", 0.0);
  c.connect_timeout = kMicro * fields.number("allowed.connect-timeout", 0.0);
  c.ask_within = kMicro * fields.number("rules.ask-every", 0.0);

  const auto seed = told("seed", "LB_SEED");
  const auto number = read_number<std::uint64_t>(seed, 16);
  if (!number) throw bad("seed");
  c.named.settings.seed = *number;

  double descriptors = 0;
  if (const auto limits = c.source.find("limits"); limits != c.source.end()) {
    if (!limits->is_object()) throw bad("limits");
    if (const auto sockets = limits->find("sockets"); sockets != limits->end()) {
      if (!sockets->is_number()) throw bad("limits.sockets");
      descriptors = *sockets;
      if (!(descriptors >= kLeastDescriptors && descriptors <= kMostDescriptors)) throw bad("limits.sockets");
    }
    if (const auto memory = limits->find("memory_mb"); memory != limits->end()) {
      if (!memory->is_number() || !(memory->get<double>() > 0)) throw bad("limits.memory_mb");
      c.memory = kMega * memory->get<double>();
    }
  }
  rlimit own{};
  if (getrlimit(RLIMIT_NOFILE, &own) == 0 && own.rlim_cur != RLIM_INFINITY) {
    const auto most = static_cast<double>(own.rlim_cur);
    descriptors = descriptors > 0 ? std::min(descriptors, most) : most;
  }
  c.descriptors = static_cast<std::size_t>(std::max(descriptors, kLeastDescriptors));

  if (const auto known = c.source.find("known"); known != c.source.end() && !known->is_null()) {
    try {
      c.known = read_news(*known);
    } catch (const std::exception& fault) {
      throw bad(std::string("known: ") + fault.what());
    }
    c.known.whole = true;
  }
  return c;
}

}  // namespace heronworks::platform
