// The platform's configuration: the same settings from JSON and from the drill's line; faults name their
// field.
#include "platform/config.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "drill/line.h"
#include "platform/volumes.h"

using namespace heronworks;

namespace {

// Nested JSON whose leaves have the values of a line's fields.
nlohmann::json nested(const std::string& line) {
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

constexpr const char* kLine =
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

struct File {
  std::string path = "/tmp/heronworks-config-" + std::to_string(::getpid()) + ".json";
  ~File() { std::filesystem::remove(path); }
  platform::Config read(const nlohmann::json& json) const { return read(json.dump()); }
  platform::Config read(const std::string& text) const {
    std::ofstream(path) << text;
    return platform::read_config(path, [](const char*) -> const char* { return nullptr; });
  }
  std::string fault(const nlohmann::json& json) const {
    try {
      read(json);
    } catch (const platform::ConfigFault& f) {
      return f.what();
    }
    return "none";
  }
};

nlohmann::json whole() {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:1"},
          {"discovery", "127.0.0.1:2"},
          {"seed", "ff"},
          {"settings", nested(kLine)}};
}

}  // namespace

TEST_CASE("settings: the drill's line and the platform's JSON give the same") {
  const drill::Line line(kLine, 1);
  const NamedSettings a = read_settings(line);
  const NamedSettings b = read_settings(platform::JsonFields(nested(kLine), "x"));
  CHECK(a.settings == b.settings);
  CHECK(a.profile_names == b.profile_names);
  CHECK(a.plan_names == b.plan_names);
  CHECK(a.settings.profiles.size() == 2);
  CHECK(a.settings.profiles[1].ordered_by_key);
  CHECK(a.settings.safe_start_units == 5.5);
  CHECK(a.settings.plans[0].limit == 21.5);
}

TEST_CASE("platform configuration: whole, and each fault with its field") {
  File file;
  const auto c = file.read(whole());
  CHECK(c.settings().seed == 255);
  CHECK(c.shards == 8);
  CHECK(c.idle_close == 30);
  const auto with = [&](const char* at, const nlohmann::json& value) {
    auto j = whole();
    if (value.is_null()) j.erase(at);
    else j[nlohmann::json::json_pointer(at)] = value;
    return file.fault(j);
  };
  const std::string bad = file.path + ": bad field '";
  CHECK(with("seed", nullptr) == bad + "seed'");
  CHECK(with("/seed", "0x1") == bad + "seed'");
  CHECK(with("/listen", "nowhere") == bad + "listen'");
  CHECK(with("/discovery", 7) == bad + "discovery'");
  CHECK(with("settings", nullptr) == bad + "settings'");
  CHECK(with("/settings/request-classes/0/aim", "soon") == bad + "settings.request-classes.0.aim'");
  CHECK(with("/settings/request-classes/1/effect", "odd") == bad + "settings.request-classes.1.effect'");
  CHECK(with("/limits", {{"sockets", -4}}) == bad + "limits.sockets'");
  CHECK(with("/known", {{"reset", true}}) == bad + "known: bad field 'generation''");
  CHECK_THROWS_AS(file.read(std::string("{")), platform::ConfigFault);
  CHECK_THROWS_AS(platform::read_config([](const char*) -> const char* { return nullptr; }),
                  platform::ConfigFault);
}

TEST_CASE("volumes: an index is given away once it rests, and never while something is open") {
  platform::Volumes v(30);
  for (std::uint64_t i = 0; i < platform::Volumes::kMost; ++i) {
    REQUIRE(v.index(1, {i, 0})->fresh);
    if (i > 0) v.ended(1, {i, 0});
  }
  CHECK(!v.index(20, {99999, 0}));    // all were used within the rest
  CHECK(!v.index(2, {1, 0})->fresh);  // known
  CHECK(!v.index(2, {1, 1}));         // under another plan it is another
  v.ended(2, {1, 0});
  CHECK(!v.index(40, {99999, 0}));  // the longest unused has one open
  v.ended(40, {0, 0});
  const auto p = v.index(41, {99999, 0});
  REQUIRE(p);
  CHECK(p->fresh);
  CHECK(p->index == 2);  // 0 and 1 were used later
  CHECK(v.size() == platform::Volumes::kMost);
}
