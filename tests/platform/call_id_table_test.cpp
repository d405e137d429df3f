#include "platform/call_id_table.h"

#include <doctest/doctest.h>

#include <random>
#include <set>
#include <string>

using heronworks::platform::CallIdTable;
using heronworks::platform::FingerprintSet;

namespace {

constexpr double kRetentionSeconds = 5;
constexpr std::uint64_t kSeed = 1;

}  // namespace

TEST_CASE("call ids: known from the begin until some time after the end") {
  CallIdTable table(kRetentionSeconds, kSeed);
  CHECK_FALSE(table.contains(0, "a"));
  table.begin("a");
  CHECK(table.contains(1000, "a"));
  for (const bool was_dispatched : {true, false}) {
    CAPTURE(was_dispatched);
    const std::string id = was_dispatched ? "b" : "c";
    table.begin(id);
    table.end(1000, id, was_dispatched);
    CHECK(table.contains(1000 + kRetentionSeconds - 0.1, id));
  }
  CHECK_FALSE(table.contains(1000 + kRetentionSeconds, "b"));
  CHECK_FALSE(table.contains(1000 + kRetentionSeconds, "c"));
  CHECK(table.contains(2000, "a"));
}

TEST_CASE("call ids: beyond the bound the longest ended is forgotten, open ones are not") {
  CallIdTable table(kRetentionSeconds, kSeed);
  table.begin("open");
  table.begin("first");
  table.end(0, "first", true);
  for (std::size_t i = 0; i + 1 < CallIdTable::kMaxDispatched; ++i) {
    table.begin(std::to_string(i));
    table.end(1, std::to_string(i), true);
  }
  CHECK(table.contains(1, "first"));
  table.begin("last");
  table.end(1, "last", true);
  CHECK_FALSE(table.contains(1, "first"));
  CHECK(table.contains(1, "0"));
  CHECK(table.contains(1, "last"));
  CHECK(table.contains(1, "open"));
  CHECK(table.size() == CallIdTable::kMaxDispatched + 1);
}

// Guards against a client whose requests are refused at once, and which would so make the ids of dispatched
// ones unknown.
TEST_CASE("call ids: those that were not dispatched do not displace those that were") {
  CallIdTable table(kRetentionSeconds, kSeed);
  table.begin("dispatched");
  table.end(0, "dispatched", true);
  for (std::size_t i = 0; i < 2 * CallIdTable::kMaxDispatched; ++i) {
    table.begin(std::to_string(i));
    table.end(1, std::to_string(i), false);
  }
  CHECK(table.contains(1, "dispatched"));
  CHECK(table.size() == CallIdTable::kMaxNotDispatched + 1);
}

TEST_CASE("fingerprint set: behaves like a std::set through random insertions and removals, seed 1") {
  constexpr int kSteps = 20000;
  constexpr unsigned kValues = 400;  // few, so that runs are long and values come again
  std::mt19937_64 random(1);
  FingerprintSet set;
  std::set<std::uint64_t> reference;
  for (int i = 0; i < kSteps; ++i) {
    const std::uint64_t value = random() % kValues + 1;
    if (random() % 2 == 0) {
      set.insert(value);
      reference.insert(value);
    } else {
      set.erase(value);
      reference.erase(value);
    }
    const std::uint64_t probe = random() % kValues + 1;
    REQUIRE(set.contains(probe) == reference.contains(probe));
    REQUIRE(set.size() == reference.size());
  }
}
