#include "platform/config.h"

#include <sys/resource.h>

#include <fstream>

#include "number.h"

namespace heronworks::platform {
namespace {

constexpr double kSecondsPerMicrosecond = 1e-6;
constexpr double kBytesPerMegabyte = 1024 * 1024;
constexpr std::size_t kMaxFileBytes = std::size_t{8} << 20;
constexpr int kMaxShards = 1 << 14;  // each has a queue
constexpr double kMinDescriptors = 64;
constexpr double kMaxDescriptors = 1 << 20;

std::string to_text(const nlohmann::json& json) {
  return json.is_string() ? json.get<std::string>() : json.dump();
}

void flatten(const nlohmann::json& json, const std::string& path,
             std::map<std::string, std::string, std::less<>>& values) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (json.is_object()) {
    for (const auto& [name, value] : json.items()) flatten(value, prefix + name, values);
  } else if (json.is_array() && !json.empty() && json[0].is_object()) {
    values[prefix + "count"] = std::to_string(json.size());
    for (std::size_t i = 0; i < json.size(); ++i) flatten(json[i], prefix + std::to_string(i), values);
  } else if (json.is_array()) {
    std::string joined;
    for (const auto& value : json) joined += (joined.empty() ? "" : ",") + to_text(value);
    values[path] = joined;
  } else if (!json.is_null()) {
    values[path] = to_text(json);
  }
}

}  // namespace

JsonFields::JsonFields(const nlohmann::json& settings, std::string file) : file_(std::move(file)) {
  flatten(settings, "", values_);
}

std::optional<std::string_view> JsonFields::find(std::string_view name) const {
  const auto found = values_.find(name);
  if (found == values_.end()) return std::nullopt;
  return std::string_view(found->second);
}

void JsonFields::fail(std::string_view name) const {
  throw ConfigError(file_ + ": bad field 'settings." + std::string(name) + "'");
}

Config read_config(const Environment& environment) {
  const char* path = environment("LB_CONFIG");
  if (path == nullptr || *path == 0) throw ConfigError("LB_CONFIG is not set");
  return read_config(path, environment);
}

Config read_config(const std::string& path, const Environment& environment) {
  const auto invalid_field = [&](const std::string& field) {
    return ConfigError(path + ": bad field '" + field + "'");
  };
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError(path + ": cannot be read");
  std::string text;
  for (char chunk[4096]; file.read(chunk, sizeof chunk), file.gcount() > 0;) {
    text.append(chunk, static_cast<std::size_t>(file.gcount()));
    if (text.size() > kMaxFileBytes) throw ConfigError(path + ": is larger than 8 MiB");
  }
  Config config;
  config.source = nlohmann::json::parse(text, nullptr, false);
  if (config.source.is_discarded()) throw ConfigError(path + ": is not JSON");
  if (!config.source.is_object()) throw ConfigError(path + ": is not a JSON object");

  const auto field_or_variable = [&](const char* field, const char* variable) -> std::string {
    const auto found = config.source.find(field);
    if (found != config.source.end()) {
      if (!found->is_string()) throw invalid_field(field);
      return *found;
    }
    const char* value = environment(variable);
    if (value == nullptr) throw invalid_field(field);
    return value;
  };
  const auto address = [&](const char* field, const char* variable) {
    const auto parsed = Address::parse(field_or_variable(field, variable));
    if (!parsed) throw invalid_field(field);
    return *parsed;
  };
  config.name = field_or_variable("name", "LB_NAME");
  config.listen = address("listen", "LB_LISTEN");
  config.discovery = address("discovery", "LB_DISCOVERY");

  const auto settings = config.source.find("settings");
  if (settings == config.source.end() || !settings->is_object()) throw invalid_field("settings");
  const JsonFields fields(*settings, path);
  config.named_settings = read_settings(fields);
  // Here the endpoint list always comes from a watch, whatever the settings say.
  config.named_settings.settings.requests_endpoint_list = true;
  if (config.settings().profiles.empty()) throw invalid_field("settings.request-classes");
  const auto shards = fields.integer("family-info.n-shards", kMaxShards);
  if (shards < 0 || shards > kMaxShards) throw invalid_field("settings.family-info.n-shards");
  config.shard_count = shards > 0 ? static_cast<int>(shards) : kMaxShards;
  config.node_idle_timeout = kSecondsPerMicrosecond * fields.number("allowed.idle-close", 0.0);
  config.connect_timeout = kSecondsPerMicrosecond * fields.number("allowed.connect-timeout", 0.0);
  config.discovery_silence = kSecondsPerMicrosecond * fields.number("rules.ask-every", 0.0);

  const auto seed = field_or_variable("seed", "LB_SEED");
  const auto number = read_number<std::uint64_t>(seed, 16);
  if (!number) throw invalid_field("seed");
  config.named_settings.settings.seed = *number;

  double descriptors = 0;
  if (const auto limits = config.source.find("limits"); limits != config.source.end()) {
    if (!limits->is_object()) throw invalid_field("limits");
    if (const auto sockets = limits->find("sockets"); sockets != limits->end()) {
      if (!sockets->is_number()) throw invalid_field("limits.sockets");
      descriptors = *sockets;
      if (!(descriptors >= kMinDescriptors && descriptors <= kMaxDescriptors))
        throw invalid_field("limits.sockets");
    }
    if (const auto memory = limits->find("memory_mb"); memory != limits->end()) {
      if (!memory->is_number() || !(memory->get<double>() > 0)) throw invalid_field("limits.memory_mb");
      config.memory_bytes = kBytesPerMegabyte * memory->get<double>();
    }
  }
  rlimit process_limit{};
  if (getrlimit(RLIMIT_NOFILE, &process_limit) == 0 && process_limit.rlim_cur != RLIM_INFINITY) {
    const auto soft_limit = static_cast<double>(process_limit.rlim_cur);
    descriptors = descriptors > 0 ? std::min(descriptors, soft_limit) : soft_limit;
  }
  config.max_descriptors = static_cast<std::size_t>(std::max(descriptors, kMinDescriptors));

  if (const auto known = config.source.find("known"); known != config.source.end() && !known->is_null()) {
    try {
      config.initial_endpoints = parse_endpoint_update(*known);
    } catch (const std::exception& error) {
      throw invalid_field(std::string("known: ") + error.what());
    }
    config.initial_endpoints.is_full = true;
  }
  return config;
}

}  // namespace heronworks::platform
