// LedgerState with restarts at every record, MonotonicLedgerClock, BillingTierTracker and BackpressurePolicy.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ledger/ledger_state.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "ledger/backpressure_policy.h"
#include "ledger/ledger.pb.h"
#include "ledger/monotonic_ledger_clock.h"

using namespace heronworks::ledger;

namespace {

UsageEntry usage(std::uint64_t identity, std::uint32_t units = 1, std::uint32_t volume = 1) {
  UsageEntry entry;
  entry.identity = identity;
  entry.tenant = "club";
  entry.volume = volume;
  entry.plan = "base";
  entry.profile = "read";
  entry.units = units;
  entry.client = "c";
  return entry;
}

std::string describe(const std::string& bytes) {
  wire::Record record;
  REQUIRE(record.ParseFromString(bytes));
  if (record.has_entry()) {
    const auto& entry = record.entry();
    return "entry " + std::to_string(entry.number()) + " of " + std::to_string(entry.identity()) + ", " +
           std::to_string(entry.units()) + " units, period " + std::to_string(entry.period()) +
           (entry.repeat_of() ? ", repeats " + std::to_string(entry.repeat_of()) : "");
  }
  if (record.has_closed()) {
    const auto& seal = record.closed();
    return "closed " + std::to_string(seal.period()) + ": " + std::to_string(seal.first()) + " to " +
           std::to_string(seal.last()) + ", " + std::to_string(seal.units()) + " units, " +
           std::to_string(seal.repeats()) + " repeats, " + to_hex(seal.digest()).substr(0, 8);
  }
  return record.has_opened() ? "opened" : "note " + record.note().text();
}

}  // namespace

TEST_CASE("ledger state: a restart after any record leads to the same entries, repeats and seals") {
  const LedgerStateOptions options{10, 6, 100};
  const auto run = [&](std::size_t restart_after, bool by_snapshot) {
    std::vector<std::string> log;
    auto ledger = std::make_unique<LedgerState>(options);
    std::vector<std::string> out;
    const auto append_to_log = [&] {
      for (std::string& bytes : out) log.push_back(std::move(bytes));
      out.clear();
      // Restarts only after a whole call, so that the same calls follow in every run.
      if (log.size() >= restart_after) {
        restart_after = SIZE_MAX;
        auto restarted = std::make_unique<LedgerState>(options);
        if (by_snapshot) {
          REQUIRE(restarted->restore(ledger->snapshot()));
        } else {
          for (const std::string& bytes : log) REQUIRE(restarted->replay(bytes) == "");
        }
        ledger = std::move(restarted);
      }
    };
    const auto record = [&](double time, const UsageEntry& entry) {
      ledger->record_usage(time, entry, out);
      append_to_log();
    };
    ledger->open(1000, 77, 0, out);
    append_to_log();
    record(1001, usage(5, 2));
    record(1002, usage(6, 3));
    record(1003, usage(5, 2));  // retry by a client that got no answer
    record(1009.5, usage(7, 1));
    record(1011, usage(7, 1));  // retry in the next period
    record(1020, usage(5, 2));  // retry after the dedup window: billed again, left to reconciliation
    ledger->advance(1020.5, out);
    append_to_log();
    ledger->advance(1047, out);  // not running for some periods
    append_to_log();
    UsageEntry unnamed = usage(9);
    unnamed.unnamed = true;
    record(1048, unnamed);
    record(1048, unnamed);
    record(1030, usage(10));  // an earlier time is replaced by the newest one
    ledger->advance(1050, out);
    append_to_log();
    std::string trace;
    for (const std::string& bytes : log) trace += describe(bytes) + "\n";
    return trace;
  };
  const std::string trace = run(SIZE_MAX, false);
  const auto seal_line = [&](const char* prefix) {
    const auto begin = trace.find(prefix);
    REQUIRE(begin != std::string::npos);
    const auto line = trace.substr(begin, trace.find('\n', begin) - begin);
    return line.substr(0, line.rfind(','));
  };
  CHECK(trace.substr(0, trace.find("closed")) ==
        "opened\nentry 1 of 5, 2 units, period 100\nentry 2 of 6, 3 units, period 100\n"
        "entry 3 of 5, 2 units, period 100, repeats 1\nentry 4 of 7, 1 units, period 100\n");
  CHECK(seal_line("closed 100") == "closed 100: 1 to 4, 6 units, 1 repeats");
  CHECK(seal_line("closed 101") == "closed 101: 5 to 5, 0 units, 1 repeats");
  CHECK(seal_line("closed 102") == "closed 102: 6 to 6, 2 units, 0 repeats");
  CHECK(trace.find("closed 103") == std::string::npos);
  CHECK(seal_line("closed 104") == "closed 104: 7 to 9, 3 units, 0 repeats");
  CHECK(trace.find("entry 5 of 7, 1 units, period 101, repeats 4\n") != std::string::npos);
  for (std::size_t i = 1; i < 16; ++i) {
    CHECK(run(i, false) == trace);
    CHECK(run(i, true) == trace);
  }
}

TEST_CASE("ledger state: replay reports missing, changed, repeated and malformed records") {
  LedgerState ledger({10, 6, 100});
  std::vector<std::string> log;
  ledger.open(1000, 77, 0, log);
  for (std::uint64_t i = 1; i <= 3; ++i) ledger.record_usage(1001, usage(i), log);
  ledger.advance(1010, log);
  REQUIRE(log.size() == 5);
  const auto replay_error = [&](const std::vector<std::string>& records) {
    LedgerState other({10, 6, 100});
    for (const std::string& bytes : records) {
      if (const std::string error = other.replay(bytes); !error.empty()) return error;
    }
    return std::string();
  };
  CHECK(replay_error(log).empty());
  auto damaged = log;
  damaged.erase(damaged.begin() + 2);
  CHECK(replay_error(damaged) == "entry 3 found where entry 2 was expected");
  damaged = log;
  wire::Record record;
  record.ParseFromString(damaged[2]);
  record.mutable_entry()->set_units(100);
  damaged[2] = record.SerializeAsString();
  CHECK(replay_error(damaged) == "the seal of period 100 does not match its entries");
  damaged = log;
  damaged.push_back(damaged[4]);
  CHECK(replay_error(damaged) == "period 100 is sealed twice");
  damaged = log;
  damaged[1] = "\xff\xff\xff";
  CHECK(replay_error(damaged) == "not a valid ledger record");
}

TEST_CASE("ledger state: unknown fields of newer writers are kept and covered by the seal") {
  LedgerState ledger({10, 6, 100});
  std::vector<std::string> log;
  ledger.open(1000, 77, 0, log);
  LedgerState writer({10, 6, 100});
  for (const std::string& bytes : log) writer.replay(bytes);
  std::vector<std::string> out;
  writer.record_usage(1001, usage(1), out);
  wire::Record record;
  REQUIRE(record.ParseFromString(out[0]));
  const std::string entry = record.entry().SerializeAsString() + "\xf2\x3e\x05hello";  // field 1006
  REQUIRE(entry.size() < 128);
  const std::string newer = std::string("\x0a") + static_cast<char>(entry.size()) + entry;
  REQUIRE(record.ParseFromString(newer));
  CHECK(record.SerializeAsString() == newer);
  CHECK(newer.find("hello") != std::string::npos);
  CHECK(ledger.replay(newer) == "");
  std::vector<std::string> seal;
  ledger.advance(1010, seal);
  LedgerState again({10, 6, 100});
  CHECK(again.replay(log[0]) == "");
  CHECK(again.replay(newer) == "");
  CHECK(again.replay(seal[0]) == "");
}

TEST_CASE("ledger state: recent identities are bounded, and early evictions are counted") {
  LedgerState ledger({1000, 60, 50});
  std::vector<std::string> out;
  ledger.open(1000, 1, 0, out);
  for (std::uint64_t i = 1; i <= 80; ++i) ledger.record_usage(1001, usage(i), out);
  CHECK(ledger.recent_identity_count() == 50);
  CHECK(ledger.evicted_identities() == 30);
  ledger.advance(1070, out);
  CHECK(ledger.recent_identity_count() == 0);
  CHECK(ledger.evicted_identities() == 30);
}

TEST_CASE(
    "ledger clock: never goes back, slows down behind a wall clock set back, ignores long jumps ahead") {
  std::string trace;
  MonotonicLedgerClock clock(0, 0, 1000, 100);
  const auto read_clock = [&](double mono, double wall) {
    char line[64];
    const double time = clock.time(mono, wall);
    std::snprintf(line, sizeof line, "%.1f%s ", time, clock.wall_clock_distrusted() ? "?" : "");
    trace += line;
  };
  read_clock(1, 1001);
  read_clock(2, 1002);
  read_clock(3, 993);  // set back by 10 s
  read_clock(13, 1003);
  read_clock(113, 1103);
  read_clock(114, 1104);
  read_clock(115, 1200);  // jump of less than max_jump
  read_clock(116, 9000);  // jump of more than max_jump
  read_clock(117, 9001);
  read_clock(118, 1203);  // corrected
  CHECK(trace == "1001.0 1002.0 1002.9 1011.9 1103.0 1104.0 1200.0 1201.0? 1202.0? 1203.0 ");
  MonotonicLedgerClock restarted(5000, 0, 1000, 100);  // wall clock behind the ledger at start
  CHECK(restarted.time(10, 1010) == 5009);
}

TEST_CASE("billing tier: reservation, then share, then spare, and back as time passes") {
  BillingTierTracker tracker;
  std::string trace;
  for (int i = 0; i < 12; ++i) trace += "RSX"[static_cast<int>(tracker.classify(1 + 0.1 * i, 0, 4, 7, 1))];
  CHECK(trace == "RRRRRRSSRSRS");
  for (int i = 12; i < 400; ++i) trace += "RSX"[static_cast<int>(tracker.classify(1 + 0.1 * i, 0, 4, 7, 1))];
  // 4 units/s for 40 s, and the burst window at first.
  CHECK(std::count(trace.begin(), trace.end(), 'R') == 163);
  CHECK(std::count(trace.begin(), trace.end(), 'S') == 120);
  // Larger than the burst window, in an empty bucket.
  CHECK(tracker.classify(100, 0, 4, 7, 9) == BillingTier::kReservation);
  CHECK(tracker.classify(10, 1, 0, 0, 1) == BillingTier::kSpare);
}

TEST_CASE("backpressure: when transactions are rejected, and how long an answer is held") {
  const BackpressurePolicy policy;
  CHECK(policy.accepts(false, 0.4, 0.1));
  CHECK_FALSE(policy.accepts(true, 0, 0));
  CHECK_FALSE(policy.accepts(false, 0.5, 0));
  CHECK_FALSE(policy.accepts(false, 0, 0.25));
  CHECK(policy.hold_until(10, 10.5, 12) == 10.5);      // until the target latency
  CHECK(policy.hold_until(11, 10.5, 12) == 11.05);     // past the target latency: kLateAnswerHold
  CHECK(policy.hold_until(11.97, 10.5, 12) == 11.98);  // until kDeadlineMargin before the deadline
  CHECK(policy.hold_until(11.99, 10.5, 12) == 11.99);  // sent at once
}
