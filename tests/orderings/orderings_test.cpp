// Checks each rule of scenario.h on all orderings of a few events, and that the conditions it guards against
// occurred in some of them.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "orderings/scenario.h"

using namespace heronworks;
using namespace heronworks::orderings;

namespace {

// Positions in Settings::profiles.
enum ProfileIndex { kRead, kDeduplicatedWrite, kNonIdempotentWrite, kOrderedRead, kOrderedWrite };

Settings default_settings() {
  Settings s;
  s.seed = 5;
  const auto profile = [](Idempotency idempotency, DedupScope scope, bool ordered_by_key) {
    Profile p;
    p.target_latency = 0.4;
    p.deadline = 1;
    p.benefit = 1;
    p.dedup_window = 0.3;
    p.idempotency = idempotency;
    p.dedup_scope = scope;
    p.ordered_by_key = ordered_by_key;
    return p;
  };
  s.profiles = {profile(Idempotency::kIdempotent, DedupScope::kFleet, false),
                profile(Idempotency::kDeduplicated, DedupScope::kShard, false),
                profile(Idempotency::kNonIdempotent, DedupScope::kShard, false),
                profile(Idempotency::kIdempotent, DedupScope::kFleet, true),
                profile(Idempotency::kDeduplicated, DedupScope::kShard, true)};
  Plan plan;
  plan.usual_rate = plan.reservation = 100;
  plan.weight = plan.benefit_factor = 1;
  Plan limited = plan;
  limited.limit = 8;
  limited.burst = 8;
  s.plans = {plan, limited};
  s.max_transaction_units = 4;
  s.mean_transaction_units = 2;
  s.share_benefit_factor = 0.3;
  s.spare_benefit_factor = 0.1;
  s.max_dispatches = 3;
  s.max_retry_after = 0.5;
  s.key_quiet_time = 0.15;
  s.clock_resolution = 0.001;
  return s;
}

NodeEntry node_entry(int node, int shard, NodeState state = NodeState::kReady, double started_at = 0) {
  return {node, 0, shard, state, started_at};
}

Transaction make_transaction(int profile, int shard = 0, double time_left = 1, std::uint64_t key = 1,
                             double units = 2, int plan = 0) {
  Transaction t;
  t.has_key = true;
  t.key = key;
  t.time_left = time_left;
  t.units = units;
  t.profile = profile;
  t.plan = plan;
  t.shard = shard;
  return t;
}

// Two nodes, one for each of shards 0 and 1.
Scenario two_node_scenario() {
  Scenario s;
  s.settings = default_settings();
  s.nodes = {node_entry(0, 0), node_entry(1, 1)};
  return s;
}

// Node 0 starts at 101, one second after the schedulers, and reports a start at `reported_start`. Its initial
// capacity within an overload window is exactly the safe number of units.
Scenario slow_start_scenario(double reported_start = 101) {
  Scenario s = two_node_scenario();
  s.scheduler_count = 2;
  Settings& g = s.settings;
  g.has_slow_start = true;
  g.safe_start_units = 4;
  g.initial_capacity_share = 0.25;
  g.warmup_time = 4;
  g.overload_window = 0.5;
  g.overload_multiple = 2;
  s.node_0_started_at = 101;
  s.node_0_rate = g.safe_start_units / (g.overload_multiple * g.initial_capacity_share * g.overload_window);
  s.nodes = {node_entry(1, 1)};
  s.set_up = [reported_start](ScenarioRun& run) {
    run.advance_time(1);
    for (int i = 0; i < run.scheduler_count(); ++i)
      run.update_nodes(i, UpdateKind::kDelta, {node_entry(0, 0, NodeState::kReady, reported_start)});
  };
  return s;
}

Coverage check_all_orderings(const std::string& name, const Scenario& scenario) {
  const Coverage coverage = run_all_orderings(scenario);
  MESSAGE(name, ": ", coverage.orderings, " orderings, ", coverage.dispatches, " dispatches, ",
          coverage.retries, " of them retries");
  CHECK_MESSAGE(coverage.violation.empty(), coverage.violation);
  return coverage;
}

}  // namespace

TEST_CASE("rule 1: each transaction gets one answer before its deadline, in any order of events") {
  Scenario s = two_node_scenario();
  s.arrivals = {{0, make_transaction(kRead)},
                {0, make_transaction(kNonIdempotentWrite, 1, 0.3, 2)},
                {0, make_transaction(kRead, 0, 0.01, 3)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kQueueFull, Outcome::kReset};
  s.max_replies = 2;
  s.max_abandons = 1;
  s.max_duplicate_replies = 1;
  s.delays = {0.1, 0.5};
  const Coverage coverage = check_all_orderings("answers", s);
  CHECK(coverage.abandoned_in_flight > 0);
  CHECK(coverage.duplicate_replies > 0);
  CHECK(coverage.rejected > 0);
  CHECK(coverage.expired > 0);
}

TEST_CASE("rule 1: transactions with no time left, or more than the profile's deadline, end in time") {
  Scenario s = two_node_scenario();
  s.arrivals = {{0, make_transaction(kRead, 0, 3600)},
                {0, make_transaction(kNonIdempotentWrite, 0, -0.5, 2)},
                {0, make_transaction(kRead, 5, 3600, 3)}};
  s.outcomes = {Outcome::kError, Outcome::kSucceeded};
  s.max_replies = 2;
  s.max_abandons = 1;
  s.delays = {0.2, 0.5};
  check_all_orderings("unusual time left", s);
}

TEST_CASE("rule 2: no effect is repeated, across deduplication windows and node restarts") {
  Scenario s = two_node_scenario();
  s.arrivals = {{0, make_transaction(kDeduplicatedWrite)},
                {0, make_transaction(kNonIdempotentWrite, 0, 1, 2)}};
  s.outcomes = {Outcome::kError, Outcome::kQueueFull, Outcome::kReset};
  s.max_replies = 2;
  s.max_duplicate_replies = 1;
  s.max_abandons = 1;
  s.updates = {{0, UpdateKind::kDelta, {node_entry(0, 0, NodeState::kReady, 100.01)}}};
  s.delays = {0.3};
  const Coverage coverage = check_all_orderings("idempotency", s);
  CHECK(coverage.retries > 0);
  CHECK(coverage.expired > 0);
  CHECK(coverage.duplicate_replies > 0);
}

TEST_CASE("rule 2: a retry stays in the shard of the first dispatch while shards move between nodes") {
  Scenario s = two_node_scenario();
  s.arrivals = {{0, make_transaction(kDeduplicatedWrite, -1)},
                {0, make_transaction(kNonIdempotentWrite, -1, 1, 2)}};
  s.outcomes = {Outcome::kError, Outcome::kQueueFull, Outcome::kReset};
  s.max_replies = 3;
  s.updates = {{0, UpdateKind::kSnapshot, {node_entry(0, 1), node_entry(1, 0)}}};
  s.delays = {0.05, 0.3};
  const Coverage coverage = check_all_orderings("deduplication within a shard", s);
  CHECK(coverage.retries > 0);
  CHECK(coverage.expired > 0);
}

TEST_CASE("rule 2: a retry stays in the zone of the first dispatch while nodes move between zones") {
  Scenario s = two_node_scenario();
  for (Profile& p : s.settings.profiles) p.dedup_scope = DedupScope::kZone;
  const auto nodes_in_zones = [](int first_zone, int second_zone) {
    std::vector<NodeEntry> nodes{node_entry(0, 0), node_entry(1, 1)};
    nodes[0].zone = first_zone;
    nodes[1].zone = second_zone;
    return nodes;
  };
  s.nodes = nodes_in_zones(0, 1);
  s.arrivals = {{0, make_transaction(kDeduplicatedWrite, -1)},
                {0, make_transaction(kDeduplicatedWrite, 0, 1, 2)}};
  s.outcomes = {Outcome::kError, Outcome::kQueueFull, Outcome::kReset};
  s.max_replies = 3;
  s.updates = {{0, UpdateKind::kSnapshot, nodes_in_zones(1, 0)}, {0, UpdateKind::kFailed, {}}};
  s.delays = {0.05, 0.3};
  const Coverage coverage = check_all_orderings("deduplication within a zone", s);
  CHECK(coverage.retries > 0);
  CHECK(coverage.expired > 0);
}

TEST_CASE("rule 3: nothing is dispatched to a draining or removed node") {
  Scenario s = two_node_scenario();
  s.arrivals = {{0, make_transaction(kRead)},
                {0, make_transaction(kRead, -1, 1, 2)},
                {0, make_transaction(kRead, 0, 1, 3)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kConnectFailed};
  s.max_replies = 2;
  s.updates = {{0, UpdateKind::kDelta, {node_entry(0, 0, NodeState::kDraining)}},
               {0, UpdateKind::kDelta, {node_entry(2, 0)}},
               {0, UpdateKind::kSnapshot, {node_entry(1, 1)}}};
  s.delays = {0.1};
  const Coverage coverage = check_all_orderings("draining nodes", s);
  CHECK(coverage.retries > 0);
  CHECK(coverage.rejected > 0);
}

TEST_CASE("rule 4: two schedulers do not overload a node in slow start") {
  Scenario s = slow_start_scenario();
  for (int i = 0; i < 4; ++i)
    s.arrivals.push_back(
        {i % 2, make_transaction(kRead, 0, 1, 1 + static_cast<std::uint64_t>(i), 4 - 2 * (i / 2))});
  s.outcomes = {Outcome::kSucceeded};
  s.max_replies = 2;
  s.delays = {0.3, 0.35, 0.6};
  Coverage coverage = check_all_orderings("slow start", s);
  CHECK(coverage.slow_start_dispatches > 0);
  // Before it restarts, both schedulers learn the node's full rate.
  s.nodes = {node_entry(0, 0), node_entry(1, 1)};
  s.node_0_started_at = 106;
  s.set_up = [](ScenarioRun& run) {
    for (int i = 0; i < 24; ++i) {
      for (int scheduler = 0; scheduler < 2; ++scheduler)
        run.arrive(scheduler, make_transaction(kRead, 0, 1, 50, 2));
      run.advance_time(0.05);
      run.reply_to_all(Outcome::kSucceeded);
      run.advance_time(0.2);
    }
    for (int scheduler = 0; scheduler < 2; ++scheduler) {
      run.update_nodes(scheduler, UpdateKind::kDelta, {node_entry(0, 0, NodeState::kReady, 106)});
    }
  };
  s.delays = {0.3, 0.5};
  s.max_replies = 1;
  coverage = check_all_orderings("slow start of a restarted node", s);
  CHECK(coverage.slow_start_dispatches > 0);
}

TEST_CASE("rule 4: a restarted scheduler does not spend its part of a node's slow start twice") {
  for (const int schedulers : {1, 2, 3}) {
    Scenario s = slow_start_scenario();
    s.scheduler_count = schedulers;
    s.settings.safe_start_units = 12;
    s.node_0_rate =
        12 / (s.settings.overload_multiple * s.settings.initial_capacity_share * s.settings.overload_window);
    for (int i = 0; i < 5; ++i) {
      s.arrivals.push_back({i % schedulers, make_transaction(kRead, i == 3 ? -1 : 0, 1,
                                                             1 + static_cast<std::uint64_t>(i), 2 + i % 2)});
    }
    s.outcomes = {Outcome::kQueueFull};
    s.max_replies = 1;
    s.max_restarts = 2;
    s.delays = {0.1, 0.3, 0.35};
    const Coverage coverage = check_all_orderings("slow start, schedulers restarted", s);
    CHECK(coverage.restarts > 0);
    CHECK(coverage.slow_start_dispatches > 0);
  }
}

TEST_CASE("rule 4: two schedulers do not overload a node in slow start whose clock is ahead") {
  Scenario s = slow_start_scenario(101.4);
  for (int i = 0; i < 10; ++i)
    s.arrivals.push_back({i % 2, make_transaction(kRead, 0, 1, 1 + static_cast<std::uint64_t>(i), 1)});
  s.delays = {0.02, 0.3, 0.35};
  const Coverage coverage = check_all_orderings("slow start, clock ahead", s);
  CHECK(coverage.slow_start_dispatches > 0);
}

TEST_CASE("rule 5: transactions of a key run one at a time, in order, and observe the quiet time") {
  Scenario s = two_node_scenario();
  s.arrivals = {{0, make_transaction(kOrderedRead)},
                {0, make_transaction(kOrderedWrite)},
                {0, make_transaction(kOrderedRead)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kReset, Outcome::kQueueFull};
  s.max_replies = 2;
  s.max_abandons = 1;
  s.max_duplicate_replies = 1;
  s.delays = {0.05, 0.12};
  const Coverage coverage = check_all_orderings("key order", s);
  CHECK(coverage.delayed_by_key > 0);
  CHECK(coverage.abandoned_in_flight > 0);
  CHECK(coverage.retries > 0);
}

TEST_CASE("rule 5: a key stays in order while the endpoint list changes and the scheduler restarts") {
  Scenario s = two_node_scenario();
  s.arrivals = {{0, make_transaction(kOrderedWrite)},
                {0, make_transaction(kOrderedRead, 1)},
                {0, make_transaction(kOrderedWrite, -1)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kReset};
  s.max_replies = 2;
  s.max_restarts = 1;
  s.updates = {{0, UpdateKind::kDelta, {node_entry(0, 0, NodeState::kDraining), node_entry(2, 0)}}};
  s.delays = {0.05, 0.12};
  const Coverage coverage = check_all_orderings("key order, updates and restart", s);
  CHECK(coverage.delayed_by_key > 0);
  CHECK(coverage.restarts > 0);
}

TEST_CASE("rule 6: retries stay within the retry budget in every window") {
  Scenario s = two_node_scenario();
  s.settings.has_retry_budget = true;
  s.settings.retry_budget_base = 1;
  s.settings.retry_budget_ratio = 0.5;
  s.settings.retry_budget_window = 0.6;
  for (int i = 0; i < 3; ++i)
    s.arrivals.push_back({0, make_transaction(kRead, i % 2, 1, 1 + static_cast<std::uint64_t>(i))});
  s.outcomes = {Outcome::kQueueFull};
  s.max_replies = 4;
  s.delays = {0.1, 0.55};
  const Coverage coverage = check_all_orderings("retry budget", s);
  CHECK(coverage.retries > 0);
}

TEST_CASE("rule 7: two schedulers, one of them restarted, keep a volume's limit together") {
  Scenario s = two_node_scenario();
  s.scheduler_count = 2;
  for (int i = 0; i < 4; ++i)
    s.arrivals.push_back({i % 2, make_transaction(kRead, i / 2, 1, 1 + static_cast<std::uint64_t>(i), 4, 1)});
  s.outcomes = {Outcome::kSucceeded, Outcome::kQueueFull};
  s.max_replies = 2;
  s.max_restarts = 1;
  s.delays = {0.3, 0.5, 0.6};
  const Coverage coverage = check_all_orderings("limit", s);
  CHECK(coverage.restarts > 0);
  CHECK(coverage.withheld_by_limit > 0);
  CHECK(coverage.dispatches > coverage.orderings);
}
