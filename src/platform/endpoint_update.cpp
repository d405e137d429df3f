#include "platform/endpoint_update.h"

#include <cmath>
#include <stdexcept>

namespace heronworks::platform {
namespace {

constexpr double kSecondsPerMillisecond = 1e-3;
constexpr std::int64_t kMaxShard = 1'000'000;  // bounds the tables that are indexed by shard

[[noreturn]] void fail_on_field(const char* field) {
  throw std::runtime_error(std::string("bad field '") + field + "'");
}

Endpoint parse_endpoint(const nlohmann::json& json) {
  if (!json.is_object()) fail_on_field("instances[]");
  Endpoint endpoint;
  const auto field = [&](const char* name) -> const nlohmann::json& {
    const auto found = json.find(name);
    static const nlohmann::json kNull;
    return found == json.end() ? kNull : *found;
  };
  const auto& id = field("instanceId");
  if (!id.is_string() || id.get_ref<const std::string&>().empty()) fail_on_field("instanceId");
  endpoint.id = id;
  const auto& state = field("lifecycle");
  if (state == "Ready") endpoint.state = NodeState::kReady;
  else if (state == "Terminating") endpoint.state = NodeState::kDraining;
  else if (state == "Gone") endpoint.state = NodeState::kRemoved;
  else fail_on_field("lifecycle");
  if (endpoint.state == NodeState::kRemoved) return endpoint;  // other fields are not needed
  const auto& address = field("hostPort");
  const auto parsed = address.is_string() ? Address::parse(address) : std::nullopt;
  if (!parsed) fail_on_field("hostPort");
  endpoint.address = *parsed;
  if (const auto& zone = field("zone"); zone.is_string()) endpoint.zone = zone;
  else if (!zone.is_null()) fail_on_field("zone");
  if (const auto& shard = field("cell"); shard.is_number_integer()) {
    const auto number = shard.get<std::int64_t>();
    if (number < -1 || number > kMaxShard) fail_on_field("cell");
    endpoint.shard = static_cast<int>(number);
  } else if (!shard.is_null()) {
    fail_on_field("cell");
  }
  if (const auto& started = field("startedAtMs"); started.is_number()) {
    endpoint.started_at = kSecondsPerMillisecond * started.get<double>();
    if (!std::isfinite(endpoint.started_at) || endpoint.started_at < 0) fail_on_field("startedAtMs");
  } else if (!started.is_null()) {
    fail_on_field("startedAtMs");
  }
  return endpoint;
}

}  // namespace

EndpointUpdate parse_endpoint_update(const nlohmann::json& json) {
  if (!json.is_object()) throw std::runtime_error("not a JSON object");
  EndpointUpdate update;
  const auto version = json.find("generation");
  if (version == json.end() || !version->is_number_integer()) fail_on_field("generation");
  update.version = *version;
  const auto reset = json.find("reset");
  if (reset == json.end() || !reset->is_boolean()) fail_on_field("reset");
  update.is_full = *reset;
  const auto endpoints = json.find("instances");
  if (endpoints == json.end() || !endpoints->is_array()) fail_on_field("instances");
  for (const auto& entry : *endpoints) {
    try {
      update.endpoints.push_back(parse_endpoint(entry));
    } catch (const std::exception& error) {
      update.errors.push_back(std::string(error.what()) + " in " + entry.dump(-1, ' ', true).substr(0, 200));
    }
  }
  return update;
}

EndpointUpdate parse_endpoint_update(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) throw std::runtime_error("not JSON");
  return parse_endpoint_update(json);
}

std::vector<Endpoint> PartialEndpointUpdate::parse_new_entries(const std::string& line) {
  std::vector<Endpoint> endpoints;
  for (; scanned_ < line.size(); ++scanned_) {
    const char c = line[scanned_];
    if (c != ' ' && c != '\n' && c != '\r' && c != '\t') last_character_ = c;
    if (in_string_) {
      in_string_ = c != '"' || escaped_;
      escaped_ = c == '\\' && !escaped_;
    } else if (c == '"') {
      in_string_ = true;
    } else if (c == '{') {
      if (++depth_ == 2) entry_start_ = scanned_;  // depth 1 is the update itself
    } else if (c == '}' && depth_-- == 2) {
      const auto json =
          nlohmann::json::parse(line.substr(entry_start_, scanned_ + 1 - entry_start_), nullptr, false);
      if (json.is_discarded()) continue;
      try {
        endpoints.push_back(parse_endpoint(json));
      } catch (const std::exception&) {
        // Reported when the line is complete.
      }
    }
  }
  return endpoints;
}

}  // namespace heronworks::platform
