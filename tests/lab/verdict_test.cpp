// For each rule: a record that passes, and records with exactly one violation that the checker must report.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "lab/verdict.h"

#include <doctest/doctest.h>

using namespace heronworks::lab;

namespace {

// Profiles: 0 idempotent, 1 deduplicated within a zone, 2 non-idempotent, 3 idempotent and ordered by key.
// Plans: 0 without a limit, 1 with one.
CheckerParameters parameters() {
  CheckerParameters f;
  f.profiles = {{"r", 0.3, 2, 1, 0, 0, 2, 0, false},
                {"l", 0.3, 2, 1, 0, 1, 1, 1, false},
                {"i", 0.3, 2, 1, 0, 2, 2, 0, false},
                {"o", 0.3, 2, 1, 0, 0, 2, 0, true}};
  f.plans = {{"free", 10, 5, 0, 0, 1}, {"limited", 10, 5, 10, 10, 1}};
  f.zones = 2;
  f.key_blocks = 4;
  f.max_transaction_units = 2;
  f.mean_transaction_units = 1;
  f.share_benefit_factor = 0.5;
  f.key_quiet_time = 0.5;
  f.has_retry_budget = true;
  f.retry_budget_base = 1;
  f.retry_budget_ratio = 0;
  f.retry_budget_window = 5;
  f.has_slow_start = true;
  f.overload_window = 1;
  f.overload_multiple = 2;
  f.safe_start_cost = 0.1;
  return f;
}

class RecordBuilder {
 public:
  RecordBuilder() {
    Event& e = add(0, EventKind::kParameters);
    e.text = parameters().text();
  }
  Event& add(double t, EventKind kind, std::uint64_t idempotency_key = 0, int node = -1) {
    Event e;
    e.time = t;
    e.kind = kind;
    e.idempotency_key = idempotency_key;
    e.attempt = idempotency_key > 0 ? 0 : -1;
    e.scheduler = 0;
    e.node = e.shard = node;
    if (node >= 0) e.incarnation = 0;
    events_.push_back(e);
    return events_.back();
  }
  void sent(double t, std::uint64_t idempotency_key, int profile, int write = 0, std::int64_t lba = 0,
            std::uint64_t hash = 0) {
    Event& e = add(t, EventKind::kSent, idempotency_key);
    fill(e, profile, write, lba);
    e.client = 0;
    e.time_left = 2;
    e.first_sent_at = t;
    e.hash = hash;
  }
  void received(double t, std::uint64_t idempotency_key, int profile, int node, int dispatch = 0,
                double cost = 0.01) {
    Event& e = add(t, EventKind::kReceived, idempotency_key, node);
    fill(e, profile, 1, 0);
    e.dispatch = dispatch;
    e.cost = cost;
    e.capacity_fraction = 1;
    e.time_left = 0.3;
    e.units = 1;
  }
  void replied(double t, std::uint64_t idempotency_key, int node, const char* outcome, int dispatch = 0) {
    Event& e = add(t, EventKind::kReplied, idempotency_key, node);
    e.dispatch = dispatch;
    e.outcome = outcome;
  }
  void executed(double t, std::uint64_t idempotency_key, int profile, int node, int dispatch = 0) {
    Event& e = add(t, EventKind::kExecuted, idempotency_key, node);
    fill(e, profile, 1, 0);
    e.dispatch = dispatch;
  }
  void answered(double t, std::uint64_t idempotency_key, int profile, const char* outcome,
                std::int64_t lba = 0, std::uint64_t hash = 0) {
    Event& e = add(t, EventKind::kAnswered, idempotency_key);
    fill(e, profile, 0, lba);
    e.client = 0;
    e.outcome = outcome;
    e.hash = hash;
    e.first_sent_at = t;
  }
  void successful(double t, std::uint64_t idempotency_key, int profile, int node) {
    sent(t, idempotency_key, profile);
    received(t + 0.01, idempotency_key, profile, node);
    replied(t + 0.02, idempotency_key, node, "ok");
    answered(t + 0.03, idempotency_key, profile, "honoured", 0, 1);
  }
  Verdict checked() {
    std::stable_sort(events_.begin(), events_.end(), [](auto& a, auto& b) { return a.time < b.time; });
    // Encode and decode each event, as in a record file.
    for (Event& e : events_) {
      Event back;
      std::string reason;
      REQUIRE(Event::parse(e.line(), back, reason));
      e = back;
    }
    return check_record(events_);
  }
  // Expects exactly one violation, with this rule, transaction, node and time.
  void expect_violation(Rule rule, std::uint64_t idempotency_key, int node, double t) {
    const Verdict v = checked();
    REQUIRE(v.violations.size() == 1);
    CHECK(v.violations[0].rule == rule);
    CHECK(v.violations[0].idempotency_key == idempotency_key);
    CHECK(v.violations[0].node == node);
    CHECK(v.violations[0].time == doctest::Approx(t));
  }

  Event& last() { return events_.back(); }

  int volume = 0;
  int plan = 0;

 private:
  void fill(Event& e, int profile, int write, std::int64_t lba) const {
    e.volume = volume;
    e.plan = plan;
    e.profile = profile;
    e.write = write;
    e.lba = lba;
    e.blocks = 1;
    e.units = 1;
  }
  std::vector<Event> events_;
};

}  // namespace

TEST_CASE("a record without violations passes") {
  RecordBuilder record;
  for (int i = 0; i < 4; ++i) record.successful(1 + i, static_cast<std::uint64_t>(i + 1), i, i);
  const Verdict v = record.checked();
  CHECK(v.passed());
  CHECK(v.total.transactions == 4);
  CHECK(v.total.in_time == 4);
}

TEST_CASE("attempts and dispatches are counted per transaction and per attempt") {
  RecordBuilder record;
  record.successful(1, 1, 0, 0);
  record.sent(2, 2, 0);
  record.received(2.1, 2, 0, 0);
  record.replied(2.2, 2, 0, "full");
  record.received(2.3, 2, 0, 0, 1);
  record.answered(2.4, 2, 0, "turned_back");
  record.sent(2.5, 2, 0);  // second attempt, which reached no node
  record.last().attempt = 1;
  record.answered(2.6, 2, 0, "turned_back");
  record.last().attempt = 1;
  const Verdict v = record.checked();
  CHECK(v.passed());
  CHECK(v.attempts_per_transaction.mean == doctest::Approx(1.5));
  CHECK(v.attempts_per_transaction.maximum == 2);
  CHECK(v.dispatches_per_attempt.mean == doctest::Approx(1.5));
  CHECK(v.dispatches_per_attempt.maximum == 2);
  CHECK(v.dispatches_per_transaction.maximum == 2);
}

TEST_CASE("one answer: missing, duplicated, late, connection lost, dispatch after the answer") {
  {
    RecordBuilder record;
    record.sent(1, 1, 0);
    record.successful(5, 2, 0, 0);
    record.expect_violation(Rule::kOneAnswer, 1, -1, 3);
  }
  {
    RecordBuilder record;
    record.successful(1, 1, 0, 0);
    record.answered(1.5, 1, 0, "turned_back");
    record.expect_violation(Rule::kOneAnswer, 1, -1, 1.5);
  }
  {
    RecordBuilder record;
    record.sent(1, 1, 0);
    record.answered(3.2, 1, 0, "given_up");
    record.expect_violation(Rule::kOneAnswer, 1, -1, 3.2);
  }
  {
    RecordBuilder record;
    record.sent(1, 1, 0);
    record.add(1.5, EventKind::kConnectionLost, 1);
    record.expect_violation(Rule::kOneAnswer, 1, -1, 1.5);
  }
  {
    RecordBuilder record;
    record.successful(1, 1, 0, 0);
    record.received(2, 1, 0, 3, 1);
    record.expect_violation(Rule::kOneAnswer, 1, 3, 2);
  }
}

TEST_CASE("a killed scheduler owes no answer, a stopped one owes it after it continues") {
  RecordBuilder record;
  record.sent(1, 1, 0);
  record.add(1.5, EventKind::kConnectionLost, 1);
  record.add(1.49, EventKind::kSchedulerKilled);
  record.add(4, EventKind::kSchedulerStopped);
  record.sent(4.1, 2, 0);
  record.answered(7.03, 2, 0, "given_up");
  record.add(7, EventKind::kSchedulerContinued);
  CHECK(record.checked().passed());
}

TEST_CASE("no duplicate effect: executed twice, dispatched again, rejected, out of scope, after the window") {
  {
    RecordBuilder record;
    record.sent(1, 1, 2, 1);
    record.received(1.1, 1, 2, 0);
    record.replied(1.2, 1, 0, "full");
    record.received(1.3, 1, 2, 0, 1);
    record.executed(1.4, 1, 2, 0, 1);
    record.executed(1.5, 1, 2, 0, 1);
    record.answered(1.6, 1, 2, "honoured");
    record.expect_violation(Rule::kNoDuplicateEffect, 1, 0, 1.5);
  }
  {
    RecordBuilder record;
    record.sent(1, 1, 2, 1);
    record.received(1.1, 1, 2, 0);
    record.received(1.3, 1, 2, 4, 1);
    record.answered(1.6, 1, 2, "given_up");
    record.expect_violation(Rule::kNoDuplicateEffect, 1, 4, 1.3);
  }
  {
    RecordBuilder record;
    record.sent(1, 1, 2, 1);
    record.received(1.1, 1, 2, 0);
    record.answered(1.6, 1, 2, "turned_back");
    record.expect_violation(Rule::kNoDuplicateEffect, 1, 0, 1.6);
  }
  {
    RecordBuilder record;
    record.sent(1, 1, 1, 1);
    record.received(1.1, 1, 1, 0);
    record.received(1.3, 1, 1, 1, 1);
    record.answered(1.6, 1, 1, "honoured");
    record.expect_violation(Rule::kNoDuplicateEffect, 1, 1, 1.3);
  }
  {
    RecordBuilder record;
    record.sent(1, 1, 1, 1);
    record.received(1.1, 1, 1, 0);
    record.received(2.2, 1, 1, 2, 1);
    record.answered(2.6, 1, 1, "honoured");
    record.expect_violation(Rule::kNoDuplicateEffect, 1, 2, 2.2);
  }
}

TEST_CASE("drains: a dispatch after the grace period, unless a later list has the node ready again") {
  RecordBuilder record;
  record.add(1, EventKind::kListSent).ready_nodes = {0, 1};
  record.add(2, EventKind::kListSent).ready_nodes = {1};
  record.successful(2.1, 1, 0, 0);
  record.successful(2.3, 2, 0, 1);
  record.add(3, EventKind::kListSent).ready_nodes = {0, 1};
  record.successful(3.5, 3, 0, 0);
  CHECK(record.checked().passed());
  record.add(4, EventKind::kListSent).ready_nodes = {1};
  record.successful(4.3, 4, 0, 0);
  record.expect_violation(Rule::kDrains, 4, 0, 4.31);
}

TEST_CASE("slow start: too much work in a window, and an overloaded node") {
  {
    RecordBuilder record;
    Event& up = record.add(1, EventKind::kNodeUp, 0, 3);
    up.incarnation = 1;
    up.capacity_fraction = 1;
    for (int i = 0; i < 3; ++i) {
      const auto idempotency_key = static_cast<std::uint64_t>(i + 1);
      record.sent(1.1 + 0.1 * i, idempotency_key, 0);
      Event& e = record.add(1.11 + 0.1 * i, EventKind::kReceived, idempotency_key, 3);
      e.incarnation = 1;
      e.cost = 0.2;
      e.capacity_fraction = 0.25;
      e.profile = 0;
      e.volume = e.plan = 0;
      record.answered(1.2 + 0.1 * i, idempotency_key, 0, "honoured", 0, 1);
    }
    record.expect_violation(Rule::kSlowStart, 3, 3, 1.31);
  }
  {
    RecordBuilder record;
    record.add(1, EventKind::kNodeOverloaded, 0, 2);
    record.expect_violation(Rule::kSlowStart, 0, 2, 1);
  }
}

TEST_CASE(
    "order: an answer that its client read late counts from the earliest time at which it may have arrived") {
  const auto check_with = [](double since, double mark, double other_delay) {
    RecordBuilder record;
    record.sent(1, 1, 3);
    record.sent(1.1, 2, 3);
    record.received(1.5, 2, 3, 0);
    record.replied(1.6, 2, 0, "ok");
    record.answered(mark, 1, 3, "turned_back");
    record.last().earliest_time = since;
    record.answered(2.5, 2, 3, "honoured", 0, 1);
    record.successful(8, 3, 0, 0);
    record.last().earliest_time = record.last().time - other_delay;
    return record.checked();
  };
  CHECK(check_with(1.4, 2.4, 0).passed());
  CHECK(check_with(2, 2.05, 0).violations.size() == 1);
  CHECK(check_with(-1, 2, 0).violations.size() == 1);
  const Verdict delayed = check_with(2, 2.05, 0.3);  // another answer of the record was read 0.3 s late
  CHECK(delayed.passed());
  CHECK(delayed.max_read_delay == doctest::Approx(0.3));
}

TEST_CASE("order: dispatched before an earlier transaction is over, and within the quiet time of its key") {
  {
    RecordBuilder record;
    record.sent(1, 1, 3);
    record.sent(1.1, 2, 3);
    record.received(1.2, 2, 3, 0);
    record.replied(1.3, 2, 0, "ok");
    record.answered(1.4, 2, 3, "honoured", 0, 1);
    record.answered(1.5, 1, 3, "turned_back");
    record.expect_violation(Rule::kOrder, 2, 0, 1.2);
  }
  {
    RecordBuilder record;
    record.sent(1, 1, 3);
    record.received(1.01, 1, 3, 0);
    record.answered(1.32, 1, 3, "given_up");
    record.sent(1.33, 2, 3);
    record.received(1.5, 2, 3, 0);
    record.replied(1.6, 2, 0, "ok");
    record.answered(1.61, 2, 3, "honoured", 0, 1);
    record.expect_violation(Rule::kOrder, 2, 0, 1.5);
  }
}

TEST_CASE("retry budget: one dispatch too many in a window") {
  RecordBuilder record;
  for (int i = 0; i < 2; ++i) {
    const auto idempotency_key = static_cast<std::uint64_t>(i + 1);
    record.sent(1 + i, idempotency_key, 0);
    record.received(1.1 + i, idempotency_key, 0, 0);
    record.replied(1.2 + i, idempotency_key, 0, "error");
    record.received(1.3 + i, idempotency_key, 0, 0, 1);
    record.replied(1.4 + i, idempotency_key, 0, "ok", 1);
    record.answered(1.5 + i, idempotency_key, 0, "honoured", 0, 1);
  }
  record.expect_violation(Rule::kRetryBudget, 2, 0, 2.3);
}

TEST_CASE("limits: more units than the token bucket and its slack allow") {
  RecordBuilder record;
  record.plan = 1;
  record.volume = 4;
  for (int i = 0; i < 13; ++i) record.successful(1 + 0.001 * i, static_cast<std::uint64_t>(i + 1), 0, 0);
  record.expect_violation(Rule::kLimits, 13, 0, 1.022);
}

TEST_CASE("data: an older write, zeros after a write; a write concurrent with the read may be seen") {
  RecordBuilder record;
  record.sent(1, 1, 0, 1, 8, 111);
  record.answered(1.1, 1, 0, "honoured", 8);
  record.sent(2, 2, 0, 1, 8, 222);
  record.sent(2.01, 3, 0, 0, 8);
  record.answered(2.05, 3, 0, "honoured", 8, 111);
  record.answered(2.1, 2, 0, "honoured", 8);
  record.sent(3, 4, 0, 0, 8);
  record.answered(3.1, 4, 0, "honoured", 8, 222);
  CHECK(record.checked().passed());
  RecordBuilder old = record;
  old.sent(4, 5, 0, 0, 8);
  old.answered(4.1, 5, 0, "honoured", 8, 111);
  old.expect_violation(Rule::kData, 5, -1, 4.1);
  RecordBuilder zeros = record;
  zeros.sent(4, 5, 0, 0, 8);
  zeros.answered(4.1, 5, 0, "honoured", 8, 1);
  zeros.expect_violation(Rule::kData, 5, -1, 4.1);
}

TEST_CASE("a record without parameters, or with an invalid line, is an error") {
  CHECK_THROWS_AS(check_record({}), std::runtime_error);
  Event e;
  std::string reason;
  CHECK_FALSE(Event::parse("{\"t\":1,\"kind\":\"sen\"}", e, reason));
  CHECK(reason == "unknown kind sen");
  CHECK_FALSE(Event::parse("nonsense", e, reason));
}
