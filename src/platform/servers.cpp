// The node list from JSON: see servers.h.
#include "platform/servers.h"

#include <cmath>
#include <stdexcept>

namespace heronworks::platform {
namespace {

constexpr double kMilli = 1e-3;
constexpr std::int64_t kMostShards = 1'000'000;  // tables go by shard

[[noreturn]] void bad(const char* field) {
  throw std::runtime_error(std::string("bad field '") + field + "'");
}

Server read_server(const nlohmann::json& j) {
  if (!j.is_object()) bad("instances[]");
  Server s;
  const auto field = [&](const char* name) -> const nlohmann::json& {
    const auto at = j.find(name);
    static const nlohmann::json kNone;
    return at == j.end() ? kNone : *at;
  };
  const auto& id = field("instanceId");
  if (!id.is_string() || id.get_ref<const std::string&>().empty()) bad("instanceId");
  s.id = id;
  const auto& state = field("lifecycle");
  if (state == "Ready") s.listing = NodeState::kReady;
  else if (state == "Terminating") s.listing = NodeState::kDraining;
  else if (state == "Gone") s.listing = NodeState::kRemoved;
  else bad("lifecycle");
  if (s.listing == NodeState::kRemoved) return s;  // nothing else is of use
  const auto& address = field("hostPort");
  const auto parsed = address.is_string() ? Address::parse(address) : std::nullopt;
  if (!parsed) bad("hostPort");
  s.address = *parsed;
  if (const auto& zone = field("zone"); zone.is_string()) s.zone = zone;
  else if (!zone.is_null()) bad("zone");
  if (const auto& shard = field("cell"); shard.is_number_integer()) {
    const auto n = shard.get<std::int64_t>();
    if (n < -1 || n > kMostShards) bad("cell");
    s.shard = static_cast<int>(n);
  } else if (!shard.is_null()) {
    bad("cell");
  }
  if (const auto& started = field("startedAtMs"); started.is_number()) {
    s.started = kMilli * started.get<double>();
    if (!std::isfinite(s.started) || s.started < 0) bad("startedAtMs");
  } else if (!started.is_null()) {
    bad("startedAtMs");
  }
  return s;
}

}  // namespace

ServerNews read_news(const nlohmann::json& json) {
  if (!json.is_object()) throw std::runtime_error("not a JSON object");
  ServerNews news;
  const auto version = json.find("generation");
  if (version == json.end() || !version->is_number_integer()) bad("generation");
  news.version = *version;
  const auto whole = json.find("reset");
  if (whole == json.end() || !whole->is_boolean()) bad("reset");
  news.whole = *whole;
  const auto servers = json.find("instances");
  if (servers == json.end() || !servers->is_array()) bad("instances");
  for (const auto& j : *servers) {
    try {
      news.servers.push_back(read_server(j));
    } catch (const std::exception& fault) {
      news.faults.push_back(std::string(fault.what()) + " in " + j.dump(-1, ' ', true).substr(0, 200));
    }
  }
  return news;
}

ServerNews read_news(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) throw std::runtime_error("not JSON");
  return read_news(json);
}

std::vector<Server> PartialNews::more(const std::string& line) {
  std::vector<Server> servers;
  for (; looked_ < line.size(); ++looked_) {
    const char c = line[looked_];
    if (c != ' ' && c != '\n' && c != '\r' && c != '\t') last_ = c;
    if (text_) {
      text_ = c != '"' || escaped_;
      escaped_ = c == '\\' && !escaped_;
    } else if (c == '"') {
      text_ = true;
    } else if (c == '{') {
      if (++depth_ == 2) entry_ = looked_;  // the news itself is the first
    } else if (c == '}' && depth_-- == 2) {
      const auto json = nlohmann::json::parse(line.substr(entry_, looked_ + 1 - entry_), nullptr, false);
      if (json.is_discarded()) continue;
      try {
        servers.push_back(read_server(json));
      } catch (const std::exception&) {
        // Said once the line is whole.
      }
    }
  }
  return servers;
}

}  // namespace heronworks::platform
