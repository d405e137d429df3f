// What a command becomes by rules, without sockets.
#include "gateway/match.h"

#include <doctest/doctest.h>

#include <fstream>

#include "rig.h"

using namespace heronworks;

namespace {

struct Rules {
  explicit Rules(const std::string& rules) {
    const std::string path = test::scratch("match.toml");
    std::ofstream(path) << R"([scheduler]
listen = "127.0.0.1:0"
[list]
address = "127.0.0.1:1"
[space]
zone_blocks = 64
zones = 8
shards = 2
unit_blocks = 4
[sharing]
largest_units = 6
[[profile]]
name = "read"
contract = 0.5
cut_off = 2
repeat = "redoable"
[[profile]]
name = "ordered"
contract = 0.5
cut_off = 2
repeat = "redoable"
in_order = true
[[plan]]
name = "base"
usual = 10
[[match]]
profile = "read"
[[volumes]]
first = 1
last = 9
plan = "base"
)" << rules;
    config = config::read_gateway(path, problems);
    if (config) matcher.emplace(*config);
  }
  gateway::Matched of(std::uint32_t volume, std::uint64_t lba, std::uint32_t blocks, int attempt = 0) {
    nvme::Sqe q;
    q.opcode = nvme::opcode::kRead;
    q.nsid = volume;
    q.set_slba(lba);
    q.set_blocks(blocks);
    q.set_dispatch_info(attempt, 0, 0);
    nvme::Status refused;
    const auto m = matcher->match(q, {"nqn.test", *expr::parse_address("10.0.0.1")}, 1, 1e9, refused);
    REQUIRE(m);
    return *m;
  }
  config::Problems problems;
  std::optional<config::GatewayConfig> config;
  std::optional<gateway::Matcher> matcher;
};

}  // namespace

TEST_CASE(
    "a rule gives units; a number that no transaction may have is a failure, and the ordinary one stands") {
  Rules r(
      "[[definition]]\nname = \"cheap\"\nis = \"volume == 2\"\n"
      "[[rule]]\nwhen = \"cheap\"\nunits = \"1\"\n"
      "[[rule]]\nwhen = \"volume == 3\"\nunits = \"min(blocks, 7u)\"\n"
      "[[rule]]\nwhen = \"volume == 4\"\nunits = \"blocks / (lba - 5)\"\n");
  REQUIRE(r.matcher);
  CHECK(r.of(1, 0, 9).transaction.units == 3);
  CHECK(r.of(2, 0, 9).transaction.units == 1);
  CHECK(r.of(3, 0, 5).transaction.units == 5);
  CHECK(r.of(3, 0, 9).transaction.units == 3);  // 7 is over the most
  CHECK(r.of(3, 0, 9).failures == 1);
  CHECK(r.of(4, 5, 4).transaction.units == 1);
  CHECK(r.of(4, 5, 4).failures == 1);
  CHECK(r.of(4, 0, 4).failures == 1);            // overflow
  CHECK(r.of(4, 6, 20).transaction.units == 5);  // 20 would be too many
}

TEST_CASE("the key of a profile in order is the same for every try, or the rule is refused") {
  Rules good(
      "[[rule]]\nwhen = \"blocks > 2\"\nprofile = \"ordered\"\nkey = \"hash(volume, lba / 16, "
      "client.name)\"\n");
  REQUIRE(good.matcher);
  const auto first = good.of(1, 17, 4, 0).transaction;
  CHECK(first.profile == 1);
  for (int attempt = 1; attempt < 5; ++attempt)
    CHECK(good.of(1, 17, 4, attempt).transaction.key == first.key);
  CHECK(good.of(1, 32, 4).transaction.key != first.key);
  for (const char* changing : {"try", "time.hour", "time.of_day", "time.weekday", "client.address"}) {
    Rules key(std::string("[[rule]]\nwhen = \"true\"\nprofile = \"ordered\"\nkey = \"hash(") + changing +
              ")\"\n");
    CHECK_FALSE(key.matcher);
    REQUIRE(key.problems.size() == 1);
    CHECK(key.problems[0].text.find("must be the same for every retry") != std::string::npos);
  }
  Rules when("[[rule]]\nwhen = \"try == 0\"\nprofile = \"ordered\"\nkey = \"hash(lba)\"\n");
  CHECK_FALSE(when.matcher);
  Rules fault("[[definition]]\nname = \"x\"\nis = \"lba ==\"\n[[rule]]\nwhen = \"true\"\nunits = \"plan\"\n");
  REQUIRE(fault.problems.size() == 2);
  CHECK(fault.problems[0].field == "definition[0].is");
  CHECK(fault.problems[1].field == "rule[0].units");
}
