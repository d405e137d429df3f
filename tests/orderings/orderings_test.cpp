// Every ordering of a few events for each of the seven rules, on the real module. Each world says how many
// orderings it ran and that what it is about did occur.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "orderings/world.h"

using namespace heronworks;
using namespace heronworks::orderings;

namespace {

enum ProfileNumber { kRead, kLabelledWrite, kOnce, kOrdered, kOrderedWrite };

Settings base() {
  Settings s;
  s.seed = 5;
  const auto profile = [](Idempotency repeat, DedupScope group, bool in_order) {
    Profile p;
    p.target_latency = 0.4;
    p.deadline = 1;
    p.benefit = 1;
    p.dedup_window = 0.3;
    p.idempotency = repeat;
    p.dedup_scope = group;
    p.ordered_by_key = in_order;
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

NodeEntry entry(int node, int shard, NodeState listing = NodeState::kReady, double came_up = 0) {
  return {node, 0, shard, listing, came_up};
}

Transaction work(int profile, int shard = 0, double left = 1, std::uint64_t key = 1, double units = 2,
                 int plan = 0) {
  Transaction t;
  t.has_key = true;
  t.key = key;
  t.time_left = left;
  t.units = units;
  t.profile = profile;
  t.plan = plan;
  t.shard = shard;
  return t;
}

Script plain() {
  Script s;
  s.settings = base();
  s.nodes = {entry(0, 0), entry(1, 1)};
  return s;
}

// Node 0 comes up at 101, a second after the schedulers, by its own clock at `told`; what it bears in a fall
// time then is just the safe number of units.
Script cold(double told = 101) {
  Script s = plain();
  s.schedulers = 2;
  Settings& g = s.settings;
  g.has_slow_start = true;
  g.safe_start_units = 4;
  g.initial_capacity_share = 0.25;
  g.warmup_time = 4;
  g.overload_window = 0.5;
  g.overload_multiple = 2;
  s.up_at = 101;
  s.warm_rate = g.safe_start_units / (g.overload_multiple * g.initial_capacity_share * g.overload_window);
  s.nodes = {entry(1, 1)};
  s.before = [told](World& w) {
    w.pass(1);
    for (int i = 0; i < w.schedulers(); ++i)
      w.tell(i, UpdateKind::kDelta, {entry(0, 0, NodeState::kReady, told)});
  };
  return s;
}

Seen play(const std::string& name, const Script& script) {
  const Seen seen = explore(script);
  MESSAGE(name, ": ", seen.orderings, " orderings, ", seen.dispatches, " dispatches, ", seen.again,
          " of them further");
  CHECK_MESSAGE(seen.broken.empty(), seen.broken);
  return seen;
}

}  // namespace

TEST_CASE("rule 1: one answer in time, whatever comes in which order") {
  Script s = plain();
  s.landings = {{0, work(kRead)}, {0, work(kOnce, 1, 0.3, 2)}, {0, work(kRead, 0, 0.01, 3)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kQueueFull, Outcome::kReset};
  s.replies = 2;
  s.abandons = 1;
  s.seconds = 1;
  s.passes = {0.1, 0.5};
  const Seen seen = play("answers", s);
  CHECK(seen.abandoned_out > 0);
  CHECK(seen.second_replies > 0);
  CHECK(seen.turned_back > 0);
  CHECK(seen.given_up > 0);
}

TEST_CASE("rule 1: time left beyond the profile's cut-off, or none, holds nothing for longer") {
  Script s = plain();
  s.landings = {{0, work(kRead, 0, 3600)}, {0, work(kOnce, 0, -0.5, 2)}, {0, work(kRead, 5, 3600, 3)}};
  s.outcomes = {Outcome::kError, Outcome::kSucceeded};
  s.replies = 2;
  s.abandons = 1;
  s.passes = {0.2, 0.5};
  play("odd time left", s);
}

TEST_CASE("rule 2: no effect twice, over repeat windows and restarts") {
  Script s = plain();
  s.landings = {{0, work(kLabelledWrite)}, {0, work(kOnce, 0, 1, 2)}};
  s.outcomes = {Outcome::kError, Outcome::kQueueFull, Outcome::kReset};
  s.replies = 2;
  s.seconds = 1;
  s.abandons = 1;
  s.news = {{0, UpdateKind::kDelta, {entry(0, 0, NodeState::kReady, 100.01)}}};
  s.passes = {0.3};
  const Seen seen = play("effects", s);
  CHECK(seen.again > 0);
  CHECK(seen.given_up > 0);
  CHECK(seen.second_replies > 0);
}

TEST_CASE("rule 2: what may have run in a cell stays there, also when shards move between nodes") {
  Script s = plain();
  s.landings = {{0, work(kLabelledWrite, -1)}, {0, work(kOnce, -1, 1, 2)}};
  s.outcomes = {Outcome::kError, Outcome::kQueueFull, Outcome::kReset};
  s.replies = 3;
  s.news = {{0, UpdateKind::kSnapshot, {entry(0, 1), entry(1, 0)}}};
  s.passes = {0.05, 0.3};
  const Seen seen = play("effects of new objects", s);
  CHECK(seen.again > 0);
  CHECK(seen.given_up > 0);
}

TEST_CASE("rule 2: what may have run in a zone stays there, also when nodes move between zones") {
  Script s = plain();
  for (Profile& p : s.settings.profiles) p.dedup_scope = DedupScope::kZone;
  const auto in_zones = [](int first, int second) {
    std::vector<NodeEntry> nodes{entry(0, 0), entry(1, 1)};
    nodes[0].zone = first;
    nodes[1].zone = second;
    return nodes;
  };
  s.nodes = in_zones(0, 1);
  s.landings = {{0, work(kLabelledWrite, -1)}, {0, work(kLabelledWrite, 0, 1, 2)}};
  s.outcomes = {Outcome::kError, Outcome::kQueueFull, Outcome::kReset};
  s.replies = 3;
  s.news = {{0, UpdateKind::kSnapshot, in_zones(1, 0)}, {0, UpdateKind::kFailed, {}}};
  s.passes = {0.05, 0.3};
  const Seen seen = play("effects in zones", s);
  CHECK(seen.again > 0);
  CHECK(seen.given_up > 0);
}

TEST_CASE("rule 3: nothing goes to a node that drains or is gone") {
  Script s = plain();
  s.landings = {{0, work(kRead)}, {0, work(kRead, -1, 1, 2)}, {0, work(kRead, 0, 1, 3)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kConnectFailed};
  s.replies = 2;
  s.news = {{0, UpdateKind::kDelta, {entry(0, 0, NodeState::kDraining)}},
            {0, UpdateKind::kDelta, {entry(2, 0)}},
            {0, UpdateKind::kSnapshot, {entry(1, 1)}}};
  s.passes = {0.1};
  const Seen seen = play("drains", s);
  CHECK(seen.again > 0);
  CHECK(seen.turned_back > 0);
}

TEST_CASE("rule 4: two schedulers do not push a cold node over") {
  Script s = cold();
  for (int i = 0; i < 4; ++i)
    s.landings.push_back({i % 2, work(kRead, 0, 1, 1 + static_cast<std::uint64_t>(i), 4 - 2 * (i / 2))});
  s.outcomes = {Outcome::kSucceeded};
  s.replies = 2;
  s.passes = {0.3, 0.35, 0.6};
  Seen seen = play("cold node", s);
  CHECK(seen.cold_sends > 0);
  // Both were served by its predecessor, all that it managed.
  s.nodes = {entry(0, 0), entry(1, 1)};
  s.up_at = 106;
  s.before = [](World& w) {
    for (int i = 0; i < 24; ++i) {
      for (int scheduler = 0; scheduler < 2; ++scheduler) w.land(scheduler, work(kRead, 0, 1, 50, 2));
      w.pass(0.05);
      w.reply_all(Outcome::kSucceeded);
      w.pass(0.2);
    }
    for (int scheduler = 0; scheduler < 2; ++scheduler) {
      w.tell(scheduler, UpdateKind::kDelta, {entry(0, 0, NodeState::kReady, 106)});
    }
  };
  s.passes = {0.3, 0.5};
  s.replies = 1;
  seen = play("cold node with a past", s);
  CHECK(seen.cold_sends > 0);
}

TEST_CASE(
    "rule 4: schedulers that are killed and back at once do not spend their part of a cold node again") {
  for (const int schedulers : {1, 2, 3}) {  // with an even part; in turn
    Script s = cold();
    s.schedulers = schedulers;
    s.settings.safe_start_units = 12;
    s.warm_rate =
        12 / (s.settings.overload_multiple * s.settings.initial_capacity_share * s.settings.overload_window);
    for (int i = 0; i < 5; ++i) {
      s.landings.push_back(
          {i % schedulers, work(kRead, i == 3 ? -1 : 0, 1, 1 + static_cast<std::uint64_t>(i), 2 + i % 2)});
    }
    s.outcomes = {Outcome::kQueueFull};
    s.replies = 1;
    s.kills = 2;
    s.passes = {0.1, 0.3, 0.35};
    const Seen seen = play("cold node, schedulers killed", s);
    CHECK(seen.killed > 0);
    CHECK(seen.cold_sends > 0);
  }
}

TEST_CASE("rule 4: the same where a node's clock is ahead, so that it comes up later than now") {
  Script s = cold(101.4);
  for (int i = 0; i < 10; ++i)
    s.landings.push_back({i % 2, work(kRead, 0, 1, 1 + static_cast<std::uint64_t>(i), 1)});
  s.passes = {0.02, 0.3, 0.35};
  const Seen seen = play("cold node, clocks apart", s);
  CHECK(seen.cold_sends > 0);
}

TEST_CASE("rule 5: one key, one at a time, in order, rested") {
  Script s = plain();
  s.landings = {{0, work(kOrdered)}, {0, work(kOrderedWrite)}, {0, work(kOrdered)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kReset, Outcome::kQueueFull};
  s.replies = 2;
  s.abandons = 1;
  s.seconds = 1;
  s.passes = {0.05, 0.12};
  const Seen seen = play("order", s);
  CHECK(seen.waited_for_key > 0);
  CHECK(seen.abandoned_out > 0);
  CHECK(seen.again > 0);
}

TEST_CASE("rule 5: the same while the list changes and the scheduler is killed") {
  Script s = plain();
  s.landings = {{0, work(kOrderedWrite)}, {0, work(kOrdered, 1)}, {0, work(kOrderedWrite, -1)}};
  s.outcomes = {Outcome::kSucceeded, Outcome::kReset};
  s.replies = 2;
  s.kills = 1;
  s.news = {{0, UpdateKind::kDelta, {entry(0, 0, NodeState::kDraining), entry(2, 0)}}};
  s.passes = {0.05, 0.12};
  const Seen seen = play("order, list and kill", s);
  CHECK(seen.waited_for_key > 0);
  CHECK(seen.killed > 0);
}

TEST_CASE("rule 6: further dispatches keep to the budget in every window") {
  Script s = plain();
  s.settings.has_retry_budget = true;
  s.settings.retry_budget_base = 1;
  s.settings.retry_budget_ratio = 0.5;
  s.settings.retry_budget_window = 0.6;
  for (int i = 0; i < 3; ++i)
    s.landings.push_back({0, work(kRead, i % 2, 1, 1 + static_cast<std::uint64_t>(i))});
  s.outcomes = {Outcome::kQueueFull};
  s.replies = 4;
  s.passes = {0.1, 0.55};
  const Seen seen = play("budget", s);
  CHECK(seen.again > 0);
}

TEST_CASE("rule 7: two schedulers, one of them killed, hold a limit together") {
  Script s = plain();
  s.schedulers = 2;
  for (int i = 0; i < 4; ++i)
    s.landings.push_back({i % 2, work(kRead, i / 2, 1, 1 + static_cast<std::uint64_t>(i), 4, 1)});
  s.outcomes = {Outcome::kSucceeded, Outcome::kQueueFull};
  s.replies = 2;
  s.kills = 1;
  s.passes = {0.3, 0.5, 0.6};
  const Seen seen = play("limits", s);
  CHECK(seen.killed > 0);
  CHECK(seen.withheld > 0);
  CHECK(seen.dispatches > seen.orderings);
}
