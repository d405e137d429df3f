// Configuration files: every problem is reported with its line, column and field.
#include <doctest/doctest.h>
#include <unistd.h>

#include <fstream>

#include "config/gateway_config.h"
#include "gateway_fixture.h"

using namespace heronworks;

namespace {

const char* kValidConfig = R"([scheduler]
listen = "127.0.0.1:0"
[list]
address = "127.0.0.1:1"
[space]
zone_blocks = 64
zones = 8
shards = 2
[[profile]]
name = "read"
contract = 0.5
cut_off = 2
repeat = "redoable"
[[plan]]
name = "base"
usual = 10
[[match]]
profile = "read"
[[volumes]]
first = 1
last = 9
plan = "base"
)";

std::vector<std::string> problems_of(const std::string& text) {
  const std::string path = test::temporary_path("check.toml");
  std::ofstream(path) << text;
  config::Problems problems;
  const auto c = config::read_gateway_config(path, problems);
  std::vector<std::string> out;
  for (const auto& p : problems) out.push_back(p.to_string().substr(path.size()));
  CHECK(c.has_value() == out.empty());
  return out;
}

std::string with(const std::string& from, const std::string& to) {
  std::string text = kValidConfig;
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

TEST_CASE("a good configuration has no problems") { CHECK(problems_of(kValidConfig).empty()); }

TEST_CASE("each problem names line, column and field") {
  const auto one = [](const std::string& text) {
    const auto p = problems_of(text);
    REQUIRE(p.size() == 1);
    return p[0];
  };
  CHECK(one(with("cut_off = 2", "cut_off = 0.2")) ==
        ":12:11: profile[0].cut_off: must not be less than 'contract'");
  CHECK(one(with("\"redoable\"", "\"redoabel\"")) ==
        ":13:10: profile[0].repeat: must be one of redoable, labelled, irreversible; did you mean redoable?");
  CHECK(one(with("zones = 8", "zones = \"8\"")) == ":7:9: space.zones: must be an integer");
  CHECK(one(with("usual = 10", "usual = -1")) == ":16:9: plan[0].usual: must be from 1e-06 to 1e+09, is -1");
  CHECK(one(with("plan = \"base\"", "plan = \"bass\"")) ==
        ":22:8: volumes[0].plan: must be one of base; did you mean base?");
  CHECK(one(with("127.0.0.1:1\"", "localhost:1\"")) ==
        ":4:11: list.address: must be a numeric address and port, such as 127.0.0.1:4420, is 'localhost:1'");
  CHECK(one(std::string(kValidConfig) + "[[volumes]]\nfirst = 9\nplan = \"base\"\n")
            .find("volumes overlap with the range 1 to 9") != std::string::npos);
  CHECK(one(with("usual = 10", "usual = 10\nlimit = 20")).find("'burst' is required if 'limit' is set") !=
        std::string::npos);
  CHECK(one(with("shards = 2", "shards = 2\nshard = 3")) ==
        ":9:1: space.shard: unknown key; did you mean shards?");
  CHECK(one(with("plan = \"base\"", "plan = \"base\"\ntenant = \"" + std::string(65, 't') + "\"")) ==
        ":23:10: volumes[0].tenant: must have 1 to 64 bytes, has 65");
  CHECK(one(std::string(kValidConfig) + "[[rule]]\nwhen = \"true\"\nlabels = {a = \"" +
            std::string(600, 'x') + "\"}\n")
            .find("names and values have 601 bytes in total, at most 512 are allowed") != std::string::npos);
  CHECK(one("[scheduler\n").find(":1:") == 0);
}

TEST_CASE("problems of rules name the position in the file and in the expression") {
  const auto p =
      problems_of(std::string(kValidConfig) +
                  "[[rule]]\nwhen = \"volum == 1 && plan == 2\"\n[[rule]]\nwhen = \"1\"\nkey = \"plan\"\n"
                  "[sets.a]\nnetworks = [\"10.0.0.1/8\"]\n");
  REQUIRE(p.size() == 5);
  CHECK(p[0].find(":29:12: sets.a.networks: entry 1: '10.0.0.1/8' is neither an address nor a network") == 0);
  CHECK(p[1].find(":24:8: rule[0].when: line 1, column 1: unknown name 'volum'; did you mean volume?\n  "
                  "volum == 1") == 0);
  CHECK(p[2].find("operator '==' cannot be applied to string and int") != std::string::npos);
  CHECK(p[3].find(":26:8: rule[1].when: line 1, column 1: expected type bool, got int") == 0);
  CHECK(p[4].find(":27:7: rule[1].key: line 1, column 1: expected type uint, got string") == 0);
}

TEST_CASE("all problems of a file are reported together") {
  std::string text = with("cut_off = 2", "cut_off = 0.2");
  text.replace(text.find("zones = 8"), 9, "zones = 0");
  text.replace(text.find("first = 1"), 9, "firts = 1");
  CHECK(problems_of(text).size() == 4);  // 'first' is missing and 'firts' is unknown
}
