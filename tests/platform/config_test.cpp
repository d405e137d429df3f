// Reading the configuration, and the VolumeIndexTable.
#include "platform/config.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "drill/line.h"
#include "platform/volume_index_table.h"

using namespace heronworks;

namespace {

// Converts the dotted fields of a settings line to nested JSON.
nlohmann::json to_nested_json(const std::string& line) {
  nlohmann::json out = nlohmann::json::object();
  std::istringstream parts(line);
  for (std::string part; std::getline(parts, part, '\t');) {
    const auto equals = part.find('=');
    if (equals == std::string::npos) continue;
    nlohmann::json* at = &out;
    std::istringstream names(part.substr(0, equals));
    std::vector<std::string> path;
    for (std::string name; std::getline(names, name, '.');) path.push_back(name);
    if (path.back() == "count") continue;
    for (const auto& name : path) {
      const bool number = name.find_first_not_of("0123456789") == std::string::npos;
      if (number) at = &(*at)[static_cast<std::size_t>(std::stoi(name))];
      else at = &(*at)[name];
    }
    const std::string text = part.substr(equals + 1);
    const auto value = nlohmann::json::parse(text, nullptr, false);
    *at = value.is_discarded() ? nlohmann::json(text) : value;
  }
  return out;
}

constexpr const char* kSettingsLine =
    "PROVISION\tallowed.attempts-cap=3\tallowed.idle-close=30000000\tallowed.max-retry-after=1000000\t"
    "allowed.retry-after=true\tbalancers=3\tdiscovery=on_request\tfamily-info.cold-units=5.5\t"
    "family-info.largest=8\tfamily-info.mean-units=2.25\tfamily-info.n-shards=8\tfamily-info.share-worth=0."
    "35\t"
    "family-info.spare-worth=0.05\tindex=2\tpolicies.count=2\tpolicies.0.ceiling-rate=21.5\t"
    "policies.0.floor-rate=2.1\tpolicies.0.limit-burst=30.0\tpolicies.0.name=base\tpolicies.0.nominal=4.2\t"
    "policies.0.shares=1.0\tpolicies.0.worth-factor=0.72\tpolicies.1.name=plus\tpolicies.1.nominal=8.4\t"
    "request-classes.count=2\trequest-classes.0.aim=300000\trequest-classes.0.dedup-window=5000000\t"
    "request-classes.0.effect=safe\trequest-classes.0.gain=3.0\trequest-classes.0.give-up=2500000\t"
    "request-classes.0.group=all\trequest-classes.0.name=grid-read\trequest-classes.1.aim=500000\t"
    "request-classes.1.effect=keyed\trequest-classes.1.give-up=4000000\trequest-classes.1.group=zone\t"
    "request-classes.1.name=entry-write\trequest-classes.1.sequential=true\tresolution=2000\trules.cold="
    "18000000\t"
    "rules.cold-share=0.16\trules.fall=1500000\trules.tip-multiple=2.0\trules.extra-window=5000000\t"
    "rules.extra-per-request=0.15\trules.free-resends=3\trules.turn-gap=40000";

struct ConfigFile {
  std::string path = "/tmp/heronworks-config-" + std::to_string(::getpid()) + ".json";
  ~ConfigFile() { std::filesystem::remove(path); }
  platform::Config read(const nlohmann::json& json) const { return read(json.dump()); }
  platform::Config read(const std::string& text) const {
    std::ofstream(path) << text;
    return platform::read_config(path, [](const char*) -> const char* { return nullptr; });
  }
  std::string error(const nlohmann::json& json) const {
    try {
      read(json);
    } catch (const platform::ConfigError& f) {
      return f.what();
    }
    return "none";
  }
};

nlohmann::json complete_config() {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:1"},
          {"discovery", "127.0.0.1:2"},
          {"seed", "ff"},
          {"settings", to_nested_json(kSettingsLine)}};
}

}  // namespace

TEST_CASE("settings: a drill line and the JSON configuration yield the same values") {
  const drill::Line line(kSettingsLine, 1);
  const NamedSettings a = read_settings(line);
  const NamedSettings b = read_settings(platform::JsonFields(to_nested_json(kSettingsLine), "x"));
  CHECK(a.settings == b.settings);
  CHECK(a.profile_names == b.profile_names);
  CHECK(a.plan_names == b.plan_names);
  CHECK(a.settings.profiles.size() == 2);
  CHECK(a.settings.profiles[1].ordered_by_key);
  CHECK(a.settings.safe_start_units == 5.5);
  CHECK(a.settings.plans[0].limit == 21.5);
}

TEST_CASE("platform configuration: a valid file is read, and each error names its field") {
  ConfigFile file;
  const auto c = file.read(complete_config());
  CHECK(c.settings().seed == 255);
  CHECK(c.shard_count == 8);
  CHECK(c.node_idle_timeout == 30);
  const auto error_with = [&](const char* at, const nlohmann::json& value) {
    auto j = complete_config();
    if (value.is_null()) j.erase(at);
    else j[nlohmann::json::json_pointer(at)] = value;
    return file.error(j);
  };
  const std::string prefix = file.path + ": bad field '";
  CHECK(error_with("seed", nullptr) == prefix + "seed'");
  CHECK(error_with("/seed", "0x1") == prefix + "seed'");
  CHECK(error_with("/listen", "nowhere") == prefix + "listen'");
  CHECK(error_with("/discovery", 7) == prefix + "discovery'");
  CHECK(error_with("settings", nullptr) == prefix + "settings'");
  CHECK(error_with("/settings/request-classes/0/aim", "soon") == prefix + "settings.request-classes.0.aim'");
  CHECK(error_with("/settings/request-classes/1/effect", "odd") ==
        prefix + "settings.request-classes.1.effect'");
  CHECK(error_with("/limits", {{"sockets", -4}}) == prefix + "limits.sockets'");
  CHECK(error_with("/known", {{"reset", true}}) == prefix + "known: bad field 'generation''");
  CHECK_THROWS_AS(file.read(std::string("{")), platform::ConfigError);
  CHECK_THROWS_AS(platform::read_config([](const char*) -> const char* { return nullptr; }),
                  platform::ConfigError);
}

TEST_CASE(
    "volume index table: an index is reused once its limit is refilled, never with an open transaction") {
  constexpr double kRefillSeconds = 30;
  platform::VolumeIndexTable table;
  for (std::uint64_t i = 0; i < platform::VolumeIndexTable::kMaxVolumes; ++i) {
    REQUIRE(table.acquire({i, 0}, 1)->reused);
    table.spend({i, 0}, 1, kRefillSeconds);
    if (i > 0) table.release({i, 0});
  }
  CHECK(!table.acquire({99999, 0}, 20));     // all have spent tokens that are not there again
  CHECK(!table.acquire({1, 0}, 2)->reused);  // already in the table
  CHECK(!table.acquire({1, 1}, 2));          // full: the same id under another plan is another volume
  table.release({1, 0});
  const auto assignment = table.acquire({99999, 0}, 41);
  REQUIRE(assignment);
  CHECK(assignment->reused);
  CHECK(assignment->index == 2);  // 0 has an open transaction, 1 was used more recently
  CHECK(table.size() == platform::VolumeIndexTable::kMaxVolumes);
}

// Guards against clients that keep others out of the table, or fill it, with requests that are refused.
TEST_CASE("volume indices: a volume of which nothing was dispatched is evicted first, and at once") {
  platform::VolumeIndexTable table;
  for (std::uint64_t i = 0; i < platform::VolumeIndexTable::kMaxVolumes; ++i) {
    REQUIRE(table.acquire({i, 0}, 100));
    if (i != 7) table.spend({i, 0}, 100, 30);
    table.release({i, 0});
  }
  const auto seventh = table.acquire({7, 0}, 101);
  REQUIRE(seventh);
  CHECK(!table.acquire({1'000'000, 0}, 101));  // the only one that could be evicted is open
  table.release({7, 0});
  const auto other = table.acquire({1'000'000, 0}, 101);
  REQUIRE(other);
  CHECK(other->index == seventh->index);
  CHECK(other->reused);
  CHECK(!table.acquire({1'000'001, 0}, 101));
}

// Guards against clients that name ever new volumes, and so keep the volumes of others out of the table
// (docs/incidents/d781eb.md).
TEST_CASE("volume indices: without a limit, the least recently used volume is evicted at once") {
  platform::VolumeIndexTable table;
  for (std::uint64_t i = 0; i < platform::VolumeIndexTable::kMaxVolumes; ++i) {
    REQUIRE(table.acquire({i, 0}, 100));
    table.spend({i, 0}, 100, 0);
    if (i >= 3) table.release({i, 0});
  }
  const auto assignment = table.acquire({1'000'000, 0}, 100);
  REQUIRE(assignment);
  CHECK(assignment->index == 3);  // those before have an open transaction
}

TEST_CASE("volume indices: tokens spent in several transactions are refilled one after the other") {
  platform::VolumeIndexTable table;
  for (std::uint64_t i = 0; i < platform::VolumeIndexTable::kMaxVolumes; ++i) {
    REQUIRE(table.acquire({i, 0}, 100));
    for (int n = 0; n < 3; ++n) table.spend({i, 0}, 100, 10);
    table.release({i, 0});
  }
  CHECK(!table.acquire({1'000'000, 0}, 129));
  CHECK(table.acquire({1'000'000, 0}, 130));
}
