#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "control_fixture.h"

using namespace heronworks;

TEST_CASE("concurrency limit: a new node gets four dispatches, the others follow by priority") {
  ControlFixture fixture(default_settings());
  for (int i = 0; i < 6; ++i)
    fixture.arrive(i, {.profile = i == 5 ? kNonIdempotentProfile : kIdempotentProfile, .volume = i});
  fixture.advance_to(100.05);
  fixture.finish(1, Outcome::kSucceeded);
  fixture.advance_to(100.06);
  fixture.finish(0, Outcome::kSucceeded);
  CHECK(fixture.matches_trace("concurrency-limit"));
}

TEST_CASE("concurrency limit: transactions of a quarter of the benefit use at most half of it") {
  Settings settings = default_settings();
  settings.profiles[kDeduplicatedProfile].benefit = 0.25;
  ControlFixture fixture(settings);
  fixture.advance_to(102);  // fills the reservation buckets
  for (int i = 0; i < 8; ++i) {
    fixture.arrive(i,
                   {.profile = i < 4 ? kDeduplicatedProfile : kIdempotentProfile, .units = 1, .volume = i});
  }
  CHECK(fixture.matches_trace("limit-fraction-by-benefit"));
}

TEST_CASE("gears: a volume above its cap waits at a loaded node, but gets its reservation") {
  ControlFixture fixture(default_settings());
  int id = 0;
  for (int second = 0; second < 9; ++second) {
    const bool unloaded = second < 4;
    const bool surge = second >= 8;
    fixture.annotate(surge ? "surge of another volume" : unloaded ? "unloaded node" : "loaded node");
    for (int i = 0; i < (surge ? 14 : 3); ++i, ++id) {
      fixture.advance_to(100 + second + i * 0.06);
      fixture.arrive(id, {.units = surge ? 2.0 : 1.0, .volume = surge ? 1 : 0});
      fixture.advance_to(100 + second + i * 0.06 + 0.04);
      fixture.finish_all(Outcome::kSucceeded, unloaded ? 0.004 : 0.1);
    }
    fixture.advance_to(101 + second);
  }
  CHECK(fixture.matches_trace("gear-cap"));
}

TEST_CASE("answers: each open transaction is answered by its deadline, an abandoned one is not") {
  ControlFixture fixture(default_settings(), {node_entry(0)});
  fixture.annotate("the shard has no node");
  fixture.arrive(0, {.shard = 5});
  fixture.arrive(1, {.profile = kNonIdempotentProfile, .shard = 5});
  fixture.advance_to(100.5);
  fixture.annotate("a time-out at the deadline; a late result of an abandoned transaction");
  fixture.arrive(2);
  fixture.arrive(3, {.profile = kNonIdempotentProfile});
  fixture.advance_to(101);
  fixture.abandon(3);
  fixture.advance_to(102.5);
  fixture.finish(2, Outcome::kTimedOut);
  fixture.finish(3, Outcome::kSucceeded, 2.0, true);
  fixture.advance_to(104);
  CHECK(fixture.matches_trace("reply-deadlines"));
}

TEST_CASE("retries: only transactions that were not executed or may be repeated are retried or rejected") {
  ControlFixture fixture(default_settings());
  fixture.annotate("idempotent, deduplicated, non-idempotent: an error");
  for (const int profile : {kIdempotentProfile, kDeduplicatedProfile, kNonIdempotentProfile})
    fixture.arrive(profile, {.profile = profile});
  for (int i = 0; i < 3; ++i) fixture.finish(i, Outcome::kError);
  fixture.advance_to(100.1);
  fixture.annotate("the deduplicated one again, after its window");
  fixture.advance_to(100.6);
  fixture.finish(1, Outcome::kError);
  fixture.advance_to(100.7);
  fixture.annotate("non-idempotent, rejected by the node without execution");
  fixture.arrive(4, {.profile = kNonIdempotentProfile});
  fixture.finish(4, Outcome::kQueueFull);
  fixture.advance_to(100.8);
  fixture.finish(4, Outcome::kQueueFull);
  fixture.advance_to(101.5);
  CHECK(fixture.matches_trace("retry-safety"));
}

// Guards against a rejection that invites a retry after the nodes have forgotten the first attempt
// (docs/incidents/refused-after-the-window.md).
TEST_CASE(
    "rejections: a deduplicated transaction that may have executed is rejected only if any retry is in its "
    "window") {
  for (const double window : {1.0, 3.0}) {  // the profile's deadline is 2 s
    CAPTURE(window);
    Settings settings = default_settings();
    settings.profiles[kDeduplicatedProfile].dedup_window = window;
    settings.profiles[kDeduplicatedProfile].dedup_scope = DedupScope::kFleet;
    settings.has_retry_budget = true;
    settings.retry_budget_window = 10;
    settings.retry_budget_base = 2;
    ControlFixture fixture(settings);
    fixture.advance_to(101);
    const auto dispatched = [&](int id) {
      fixture.arrive(id, {.profile = kDeduplicatedProfile, .volume = id, .key = id});
      fixture.advance_to(fixture.now() + 0.02);
    };
    fixture.annotate("time-out, too late for another dispatch");
    dispatched(1);
    fixture.advance_to(fixture.now() + 0.6);
    fixture.finish(1, Outcome::kTimedOut, 0.6);
    fixture.annotate("error, then rejected by the node: the first dispatch may have executed");
    dispatched(2);
    fixture.finish(2, Outcome::kError);
    fixture.advance_to(fixture.now() + 0.05);
    fixture.finish(2, Outcome::kQueueFull);
    fixture.advance_to(fixture.now() + 0.5);
    fixture.finish(2, Outcome::kQueueFull);
    fixture.annotate("lost connection, no retry left in the budget");
    dispatched(3);
    fixture.finish(3, Outcome::kReset);
    fixture.annotate("not executed: rejected whatever the window");
    dispatched(4);
    for (int i = 0; i < 3; ++i) {
      fixture.finish(4, Outcome::kQueueFull);
      fixture.advance_to(fixture.now() + 0.1);
    }
    fixture.advance_to(fixture.now() + 1);
    CHECK(fixture.matches_trace(window < 2 ? "rejections-short-window" : "rejections-long-window"));
  }
}

// The same with the reply lost and the scheduler's queue in between.
TEST_CASE(
    "rejections: a retry that waits until its time is up is rejected only if any retry is in its window") {
  for (const double window : {1.0, 3.0}) {
    CAPTURE(window);
    Settings settings = default_settings();
    settings.profiles[kDeduplicatedProfile].dedup_window = window;
    settings.profiles[kDeduplicatedProfile].dedup_scope = DedupScope::kFleet;
    ControlFixture fixture(settings);
    fixture.advance_to(101);
    fixture.arrive(1, {.profile = kDeduplicatedProfile});
    fixture.finish(1, Outcome::kError);
    fixture.update_nodes(UpdateKind::kDelta, {node_entry(0, 0, NodeState::kDraining)});
    fixture.advance_to(103);
    CHECK(fixture.matches_trace(window < 2 ? "queued-retry-short-window" : "queued-retry-long-window"));
  }
}

TEST_CASE("nodes: no dispatch to a draining node; its replacement gets the queued transactions") {
  ControlFixture fixture(default_settings());
  for (int i = 0; i < 5; ++i) fixture.arrive(i);
  fixture.update_nodes(UpdateKind::kDelta, {node_entry(0, 0, NodeState::kDraining)});
  fixture.advance_to(100.05);
  fixture.finish(0, Outcome::kSucceeded);
  fixture.advance_to(100.1);
  fixture.annotate("replacement for the shard");
  fixture.update_nodes(UpdateKind::kDelta, {node_entry(0, 2)});
  fixture.advance_to(101);
  CHECK(fixture.matches_trace("draining-node"));
}

Settings slow_start_settings() {
  Settings settings = default_settings();
  settings.has_slow_start = true;
  settings.safe_start_units = 8;
  settings.initial_capacity_share = 0.2;
  settings.warmup_time = 10;
  settings.overload_window = 1;
  settings.overload_multiple = settings.mean_transaction_units = 2;
  return settings;
}

TEST_CASE("slow start: the schedulers take turns first, later each sends its even share") {
  Settings settings = slow_start_settings();
  settings.scheduler_index = 1;
  ControlFixture fixture(settings, {node_entry(0, 0, NodeState::kReady, 100)});
  for (int i = 0; i < 40; ++i) {
    fixture.advance_to(100 + i * 0.3);
    fixture.arrive(i, {.units = 4});
    fixture.advance_to(100 + i * 0.3 + 0.1);
    fixture.finish_all(Outcome::kSucceeded);
  }
  CHECK(fixture.matches_trace("warmup-turns"));
}

TEST_CASE("slow start: many schedulers send a growing fraction of their usual rates") {
  Settings settings = slow_start_settings();
  settings.scheduler_count = 100;
  settings.scheduler_index = 99;
  ControlFixture fixture(settings);
  for (int i = 0; i < 17; ++i) {
    fixture.advance_to(101 + i);
    if (i == 6) fixture.update_nodes(UpdateKind::kDelta, {node_entry(0, 0, NodeState::kReady, 107)});
    fixture.arrive(i);
    fixture.advance_to(101.1 + i);
    fixture.finish_all(Outcome::kSucceeded);
  }
  CHECK(fixture.matches_trace("warmup-usual-rate"));
}

TEST_CASE("per-key FIFO: one transaction of a key at a time, with a quiet time after a lost connection") {
  Settings settings = default_settings();
  settings.key_quiet_time = 0.2;
  ControlFixture fixture(settings);
  for (int i = 0; i < 3; ++i) fixture.arrive(i, {.profile = kOrderedProfile});
  fixture.arrive(3, {.profile = kOrderedProfile, .key = 9});
  fixture.advance_to(100.02);
  fixture.finish(0, Outcome::kReset);
  fixture.advance_to(100.3);
  fixture.finish(0, Outcome::kSucceeded);
  fixture.finish(1, Outcome::kSucceeded);
  fixture.advance_to(101);
  CHECK(fixture.matches_trace("key-order"));
}

TEST_CASE(
    "per-key FIFO: a place reserved before its transaction arrives holds up later ones, until it is given "
    "up") {
  ControlFixture fixture(default_settings());
  const Arrival ordered{.profile = kOrderedProfile};
  fixture.advance_to(101);
  fixture.reserve_key_place(1, ordered.key);
  fixture.reserve_key_place(2, ordered.key);
  fixture.arrive(3, ordered);
  fixture.arrive(4, {.profile = kOrderedProfile, .key = 2});
  fixture.advance_to(101.1);
  fixture.annotate("1 arrives");
  fixture.arrive(1, ordered);
  fixture.finish(1, Outcome::kSucceeded);
  fixture.advance_to(101.2);
  fixture.annotate("2 is given up");
  fixture.cancel_key_place(2);
  fixture.advance_to(101.3);
  fixture.annotate("5 takes a place behind 3 and does not arrive: 6 is answered in time");
  fixture.reserve_key_place(5, ordered.key);
  fixture.arrive(6, ordered);
  fixture.finish(3, Outcome::kSucceeded);
  fixture.advance_to(103.5);
  CHECK(fixture.matches_trace("key-places"));
}

// Guards against tables that grow with the number of transactions seen
// (docs/incidents/memory-of-refused-requests.md).
TEST_CASE(
    "tables: transactions that are over leave a bounded number of entries, those refused at once none") {
  Settings settings = default_settings();
  settings.max_table_entries = 50;
  settings.key_quiet_time = 0.3;
  ControlFixture fixture(settings);
  fixture.advance_to(101);
  for (int i = 0; i < 1000; ++i) fixture.arrive(i, {.profile = kOrderedProfile, .key = i, .time_left = 0.02});
  CHECK(fixture.ordered_keys() == 0);
  CHECK(fixture.unserved_transactions() == 0);
  // Clients give up: each key stays quiet for a while after its dispatch.
  for (int i = 0; i < 1000; ++i) {
    fixture.arrive(i, {.profile = kOrderedProfile, .key = i});
    fixture.abandon(i);
    fixture.finish(i, Outcome::kCancelled, 0.01, true);
  }
  CHECK(fixture.ordered_keys() == 50);
  CHECK(fixture.unserved_transactions() <= 50);
  fixture.clear_trace();
  fixture.annotate(
      "a key that is not in the full table is refused, one that is there and one without order wait");
  fixture.arrive(1, {.profile = kOrderedProfile, .volume = 1, .key = 5000});
  fixture.arrive(2, {.profile = kOrderedProfile, .volume = 1, .key = 3});
  fixture.arrive(3, {.profile = kIdempotentProfile, .volume = 1, .key = 5001});
  fixture.annotate("once the quiet time is over, the table has room again");
  fixture.advance_to(101.35);
  fixture.arrive(4, {.profile = kOrderedProfile, .volume = 1, .key = 5000});
  fixture.finish_all(Outcome::kSucceeded);
  fixture.advance_to(104);
  CHECK(fixture.matches_trace("full-key-table"));
  CHECK(fixture.ordered_keys() == 0);
  CHECK(fixture.unserved_transactions() == 0);
}

TEST_CASE("retry budget: the retries of any window stay within the budget") {
  Settings settings = default_settings();
  settings.has_retry_budget = true;
  settings.retry_budget_base = 1;
  settings.retry_budget_ratio = 0.25;
  settings.retry_budget_window = 5;
  ControlFixture fixture(settings);
  for (int i = 0; i < 8; ++i) {
    fixture.advance_to(100 + i * 0.2);
    fixture.arrive(i);
    fixture.finish(i, Outcome::kConnectFailed);
    fixture.advance_to(100 + i * 0.2 + 0.1);
    fixture.finish(i, Outcome::kSucceeded);
  }
  CHECK(fixture.matches_trace("retry-budget"));
}

TEST_CASE("limit: the token bucket starts empty, refills with the scheduler's share, and retries take none") {
  Settings settings = default_settings();
  settings.plans[0].limit = 20;
  settings.plans[0].burst = 32;
  ControlFixture fixture(settings);
  fixture.arrive(0, {.units = 4});
  fixture.advance_to(100.39);
  fixture.arrive(1, {.units = 1});
  fixture.advance_to(100.6);
  fixture.finish(1, Outcome::kQueueFull);
  fixture.advance_to(100.7);
  fixture.finish(1, Outcome::kSucceeded);
  fixture.advance_to(105);
  fixture.annotate("bucket full");
  for (int i = 2; i < 8; ++i) fixture.arrive(i, {.units = 4, .shard = i % 2});
  fixture.advance_to(106);
  CHECK(fixture.matches_trace("volume-limit"));
}

// Guards against exceeding the limit when a network partition heals and delayed dispatches arrive together.
TEST_CASE("limit: units that may not have reached a node yet keep the bucket from refilling") {
  Settings settings = default_settings();
  settings.plans[0].limit = 20;
  settings.plans[0].burst = 16;  // 8 units for this scheduler
  settings.profiles[kIdempotentProfile].target_latency = 3;
  settings.profiles[kIdempotentProfile].deadline = 4;
  ControlFixture fixture(settings);
  fixture.advance_to(105);
  fixture.annotate("bucket full: two dispatches without a result");
  for (int i = 0; i < 8; ++i) fixture.arrive(i, {.units = 4, .shard = i % 2, .time_left = 4});
  fixture.advance_to(106);
  fixture.annotate("connection failed: retried, its units stay pending");
  fixture.finish(0, Outcome::kConnectFailed, 1);
  fixture.advance_to(106.3);
  fixture.annotate("timed out, may have arrived: its units are no longer pending");
  fixture.finish(1, Outcome::kTimedOut, 1.3);
  fixture.advance_to(106.6);
  fixture.annotate("the retry has arrived");
  fixture.finish(0, Outcome::kSucceeded, 0.5);
  fixture.advance_to(108);
  CHECK(fixture.matches_trace("limit-pending-units"));
}

TEST_CASE("endpoint list: failed requests are repeated with exponential back-off") {
  Settings settings = default_settings();
  settings.requests_endpoint_list = true;
  ControlFixture fixture(settings);
  for (int i = 0; i < 5; ++i) {
    fixture.update_nodes(UpdateKind::kFailed);
    fixture.advance_to(103 + 5 * i);
  }
  fixture.update_nodes(UpdateKind::kDelta);
  fixture.advance_to(200);
  CHECK(fixture.matches_trace("endpoint-list-backoff"));
}

TEST_CASE("probes: an unresponsive node is tried now and then, and used again once it replies") {
  ControlFixture fixture(default_settings());
  for (int i = 0; i < 14; ++i) {
    fixture.advance_to(100 + i * 0.5);
    if (i == 8) fixture.annotate("the node replies");
    fixture.finish(i - 1, i < 8 ? Outcome::kTimedOut : Outcome::kSucceeded, i < 8 ? 0.4 : 0.05);
    fixture.arrive(i);
  }
  fixture.advance_to(108);
  CHECK(fixture.matches_trace("unresponsive-node"));
}

TEST_CASE(
    "nodes: transactions queued for a node that restarts within an update period are answered in time") {
  ControlFixture fixture(default_settings());
  for (int i = 0; i < 3; ++i) fixture.arrive(i);
  fixture.finish_all(Outcome::kSucceeded);
  fixture.update_nodes(UpdateKind::kDelta, {node_entry(0, 0, NodeState::kReady, 100)});
  fixture.advance_to(101.5);
  for (int i = 3; i < 9; ++i) fixture.arrive(i);
  fixture.advance_to(104);
  CHECK(fixture.matches_trace("node-restart"));
}

TEST_CASE(
    "client retries: a retry keeps its first SLO deadline, a first attempt with little time left has its "
    "own") {
  ControlFixture fixture(default_settings(), {node_entry(0)});
  fixture.arrive(0, {.shard = 5});
  fixture.advance_to(100.5);
  fixture.annotate("its retry; the shard has a node by now");
  fixture.update_nodes(UpdateKind::kDelta, {node_entry(5)});
  for (int i = 1; i < 5; ++i) fixture.arrive(i, {.shard = 5, .key = 2});
  fixture.arrive(5, {.shard = 5, .time_left = 1.5});
  fixture.advance_to(100.6);
  fixture.annotate("a first attempt with the same deadline");
  fixture.arrive(6, {.shard = 5, .key = 3, .time_left = 1.4});
  fixture.finish_all(Outcome::kSucceeded);
  fixture.advance_to(102);
  CHECK(fixture.matches_trace("client-retry"));
}

TEST_CASE("client time-outs: early departures shorten the SLO deadline, which a retry keeps") {
  ControlFixture fixture(default_settings(), {node_entry(0)});
  for (int i = 0; i < 12; ++i) {
    fixture.advance_to(100 + i * 0.05);
    fixture.arrive(i, {.shard = 5, .key = 100 + i});
    if (i >= 2) fixture.abandon(i - 2);
  }
  fixture.annotate("queued for as long as the clients waited");
  fixture.arrive(12, {.shard = 5, .key = 200});
  fixture.advance_to(103);
  fixture.annotate("longer after some time");
  fixture.arrive(13, {.shard = 5, .key = 201});
  fixture.advance_to(105);
  CHECK(fixture.matches_trace("client-timeout"));
}

TEST_CASE("client time-outs: a minority that leaves early does not shorten the SLO deadline") {
  ControlFixture fixture(default_settings(), {node_entry(0)});
  for (int i = 0; i < 40; ++i) {
    const bool leaves = i % 5 == 4;
    fixture.advance_to(100 + i * 0.01);
    fixture.arrive(i, {.units = 1, .shard = leaves ? 5 : 0});  // shard 5 has no node
    if (leaves) fixture.abandon(i);
    else fixture.finish(i, Outcome::kSucceeded, 0.005);
  }
  fixture.clear_trace();
  fixture.arrive(50, {.units = 1, .shard = 5, .key = 200});
  fixture.advance_to(101);
  CHECK(fixture.matches_trace("client-timeout-recovery"));
}

TEST_CASE("latency: isolated time-outs do not make a node look slow, consecutive ones do") {
  Settings settings = default_settings();
  settings.plans[0].reservation = settings.plans[0].usual_rate = 1000;
  ControlFixture fixture(settings, {node_entry(0)});
  const auto serve = [&](int first_id, const std::vector<bool>& results) {
    for (std::size_t i = 0; i < results.size(); ++i) {
      const int id = first_id + static_cast<int>(i);
      fixture.arrive(id);
      fixture.advance_to(fixture.now() + 0.02);
      fixture.finish(id, results[i] ? Outcome::kSucceeded : Outcome::kTimedOut, results[i] ? 0.02 : 0.8);
    }
  };
  serve(0, std::vector<bool>(60, true));
  serve(60, {false, true, false, true});
  fixture.clear_trace();
  fixture.annotate("after two isolated time-outs");
  serve(70, {true});
  serve(80, {false, false, false, false});
  fixture.annotate("after four consecutive ones");
  serve(90, {true});
  CHECK(fixture.matches_trace("isolated-timeouts"));
}

TEST_CASE("volumes: a reused index inherits neither spent tokens nor client time-outs") {
  Settings settings = default_settings();
  settings.plans[0].limit = 8;
  settings.plans[0].burst = 8;
  ControlFixture fixture(settings, {node_entry(0)});
  fixture.advance_to(110);  // fills the limit's bucket
  for (int i = 0; i < 2; ++i) {
    fixture.arrive(i);
    fixture.finish(i, Outcome::kSucceeded);
  }
  for (int i = 10; i < 20; ++i) {  // lowers the client time-out
    fixture.arrive(i, {.shard = 5});
    fixture.abandon(i);
  }
  fixture.advance_to(110.2);
  fixture.clear_trace();
  fixture.annotate("the same volume: no tokens left");
  fixture.arrive(30);
  fixture.advance_to(110.3);
  fixture.annotate("another volume at its index");
  fixture.arrive(31, {.key = 7, .index_reused = true});
  fixture.finish(31, Outcome::kSucceeded);
  fixture.arrive(32, {.shard = 5, .key = 8});
  fixture.advance_to(111);
  CHECK(fixture.matches_trace("volume-index-reuse"));
}

TEST_CASE("client time-outs: a tenant that abandons at once does not shorten the SLO deadlines of others") {
  ControlFixture fixture(default_settings(), {node_entry(0)});
  for (int i = 0; i < 40; ++i) {
    fixture.arrive(i, {.shard = 5, .volume = 1, .key = 100 + i});
    fixture.abandon(i);
  }
  fixture.annotate("another volume, no node for its shard: queued until its SLO deadline");
  fixture.arrive(50, {.shard = 5, .key = 200});
  fixture.advance_to(101);
  CHECK(fixture.matches_trace("abandoning-tenant"));
}

TEST_CASE("latency: time-outs of a tenant with too short deadlines do not make a node look slow to others") {
  ControlFixture fixture(default_settings(), {node_entry(0), node_entry(1)});
  for (int i = 0; i < 40; ++i) {
    fixture.arrive(i, {.volume = 1, .key = 100 + i, .time_left = 0.08});
    fixture.advance_to(100 + (i + 1) * 0.08);
    fixture.finish(i, Outcome::kTimedOut, 0.08);
  }
  fixture.advance_to(103.4);
  fixture.annotate("another volume, at both nodes: dispatched at once");
  for (int i = 50; i < 58; ++i) fixture.arrive(i, {.shard = i % 2, .key = i});
  fixture.advance_to(103.5);
  fixture.finish_all(Outcome::kSucceeded);
  fixture.advance_to(105);
  CHECK(fixture.matches_trace("short-deadline-tenant"));
}

TEST_CASE("spacing: time-outs space out the dispatches of one of many schedulers, a fast reply ends that") {
  Settings settings = default_settings();
  settings.scheduler_count = 100;
  ControlFixture fixture(settings);
  for (int i = 0; i < 16; ++i) {
    fixture.advance_to(101 + i);
    fixture.arrive(i);
    fixture.advance_to(101.4 + i);
    if (i == 11) fixture.annotate("fast replies");
    fixture.finish(i, i < 11 ? Outcome::kTimedOut : Outcome::kSucceeded, i < 11 ? 0.4 : 0.02);
  }
  CHECK(fixture.matches_trace("dispatch-spacing"));
}

TEST_CASE("stalls: arrivals of a stall keep their age, and are ranked together") {
  ControlFixture fixture(default_settings());
  fixture.advance_to(101);
  fixture.arrive(0);
  fixture.stall_until(101.8);
  fixture.finish(0, Outcome::kSucceeded, 0.8);
  fixture.arrive(1, {.time_left = 1.3});
  fixture.arrive(2, {.time_left = 1.7});
  for (int i = 3; i < 8; ++i) {
    fixture.arrive(
        i, {.profile = i < 7 ? kIdempotentProfile : kNonIdempotentProfile, .volume = i, .time_left = 1.9});
  }
  fixture.advance_to(102.5);
  CHECK(fixture.matches_trace("process-stall"));
}

TEST_CASE("nodes: a reused index does not inherit the latency of the node before it") {
  ControlFixture fixture(default_settings());
  int id = 0;
  fixture.annotate("slow node: one dispatch at a time");
  for (int i = 0; i < 6; ++i) {
    fixture.arrive(id++);
    fixture.advance_to(100 + 0.39 * (i + 1));
    fixture.finish_all(Outcome::kSucceeded, 0.39);
  }
  for (int i = 0; i < 3; ++i) fixture.arrive(id++);
  fixture.advance_to(103);
  fixture.finish_all(Outcome::kSucceeded, 0.39);
  fixture.annotate("another node at its index: four dispatches, as at any new node");
  NodeEntry entry = node_entry(0);
  entry.index_reused = true;
  fixture.update_nodes(UpdateKind::kSnapshot, {entry, node_entry(1)});
  for (int i = 0; i < 5; ++i) fixture.arrive(id++, {.volume = 1});
  CHECK(fixture.matches_trace("node-index-reuse"));
}
