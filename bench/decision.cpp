// Cost of the decision module per event, with many transactions queued for node 0.
#include <benchmark/benchmark.h>

#include <deque>

#include "control.h"

using namespace heronworks;

namespace {

// Records the actions that the benchmarks respond to.
class RecordingActions final : public ControlActions {
 public:
  void dispatch(int transaction, int node, double) override {
    last_dispatched = transaction;
    last_node = node;
    if (node == 0) in_flight_at_node_0.push_back(transaction);
  }
  void reject(int, double) override {}
  void expire(int) override {}
  void release(int) override {}
  void request_endpoint_list() override {}
  void wake_at(double time) override { next_wake = time; }
  int last_dispatched = -1;
  int last_node = -1;
  std::deque<int> in_flight_at_node_0;
  double next_wake = 0;
};

Settings make_settings(int schedulers) {
  Settings s;
  s.seed = 1;
  s.scheduler_count = schedulers;
  Profile p;
  p.target_latency = 1e6;
  p.deadline = 2e6;
  p.benefit = 1;
  p.idempotency = Idempotency::kIdempotent;
  s.profiles = {p};
  Plan plan;
  plan.usual_rate = plan.reservation = 1e9;
  plan.weight = plan.benefit_factor = 1;
  s.plans = {plan};
  s.max_transaction_units = 8;
  s.mean_transaction_units = 1;
  s.share_benefit_factor = s.spare_benefit_factor = 1;
  s.max_dispatches = 3;
  s.clock_resolution = 0.001;
  return s;
}

Transaction make_transaction(int shard, int volume, std::uint64_t key) {
  Transaction t;
  t.has_key = true;
  t.key = key;
  t.time_left = 2e6;
  t.units = 1;
  t.volume = volume;
  t.plan = 0;
  t.shard = shard;
  t.volume_schedulers = 1;
  return t;
}

// One transaction (arrival, dispatch, reply) at a node that replies at once, beside `queued` others.
void transaction(benchmark::State& state) {
  const int nodes = static_cast<int>(state.range(0));
  const int queued = static_cast<int>(state.range(1));
  RecordingActions actions;
  double now = 1000;
  Control control(make_settings(1), actions, now);
  std::vector<NodeEntry> entries;
  for (int i = 0; i < nodes; ++i) entries.push_back({i, 0, i, NodeState::kReady, 0});
  control.update_nodes(now, UpdateKind::kSnapshot, entries);
  int id = 0;
  // Fills node 0 and its queue, which never gets a reply.
  for (; id < queued + 4; ++id) {
    now += 1e-9;
    control.transaction_arrived(now, id, make_transaction(0, id % 100, static_cast<std::uint64_t>(id)));
  }
  std::uint64_t count = 0;
  for (auto _ : state) {
    now += 100e-6;
    if (now >= actions.next_wake) control.timer_fired(now);
    const int shard = 1 + static_cast<int>(count++ % static_cast<std::uint64_t>(nodes - 1));
    control.transaction_arrived(now, id, make_transaction(shard, shard % 100, 1 << 30));
    DispatchResult result;
    result.node = shard;
    result.elapsed = 50e-6;
    result.transaction_finished = true;
    if (actions.last_dispatched == id) control.dispatch_finished(now + 50e-6, id, result);
  }
  state.counters["nodes"] = nodes;
  state.counters["held"] = queued;
}

// One reply from node 0, which lets the scheduler dispatch the best of the queued transactions.
void at_the_queue(benchmark::State& state) {
  const int queued = static_cast<int>(state.range(0));
  RecordingActions actions;
  double now = 1000;
  Control control(make_settings(1), actions, now);
  control.update_nodes(now, UpdateKind::kSnapshot, {{0, 0, 0, NodeState::kReady, 0}});
  int id = 0;
  for (; id < queued; ++id) {
    now += 1e-9;
    control.transaction_arrived(now, id, make_transaction(0, id % 100, static_cast<std::uint64_t>(id)));
  }
  for (auto _ : state) {
    now += 100e-6;
    if (now >= actions.next_wake) control.timer_fired(now);
    const int finished = actions.in_flight_at_node_0.front();
    actions.in_flight_at_node_0.pop_front();
    DispatchResult result;
    result.elapsed = 0.01;
    result.transaction_finished = true;
    control.dispatch_finished(now, finished, result);
    control.transaction_arrived(now, finished,
                                make_transaction(0, finished % 100, static_cast<std::uint64_t>(finished)));
  }
  state.counters["held"] = queued;
}

// Clients abandon all queued transactions of a few ordered keys; each has to be found in its key's queue.
void one_key_ends(benchmark::State& state) {
  const int queued = static_cast<int>(state.range(0));
  const auto keys = static_cast<std::uint64_t>(state.range(1));
  Settings settings = make_settings(1);
  settings.profiles[0].ordered_by_key = true;
  for (auto _ : state) {
    state.PauseTiming();
    RecordingActions actions;
    Control control(settings, actions, 1000);
    for (int id = 0; id < queued; ++id)
      control.transaction_arrived(1000, id, make_transaction(0, 0, static_cast<std::uint64_t>(id) % keys));
    state.ResumeTiming();
    for (int id = 0; id < queued; ++id) control.transaction_abandoned(1000, id);
  }
  state.counters["one"] =
      benchmark::Counter(static_cast<double>(queued),
                         benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

// Arrivals for a volume far beyond its reservation, whose transactions queue for one node.
void backlog(benchmark::State& state) {
  const int queued = static_cast<int>(state.range(0));
  Settings settings = make_settings(1);
  settings.plans[0].usual_rate = settings.plans[0].reservation = 1;
  settings.share_benefit_factor = 0.35;
  settings.spare_benefit_factor = 0.1;
  for (auto _ : state) {
    RecordingActions actions;
    Control control(settings, actions, 1000);
    control.update_nodes(1000, UpdateKind::kSnapshot, {{0, 0, 0, NodeState::kReady, 0}});
    for (int id = 0; id < queued; ++id)
      control.transaction_arrived(1000 + id * 1e-9, id,
                                  make_transaction(0, 0, static_cast<std::uint64_t>(id)));
  }
  state.counters["a landing"] =
      benchmark::Counter(static_cast<double>(queued),
                         benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

}  // namespace

BENCHMARK(one_key_ends)->ArgsProduct({{1000, 10000}, {1, 10000}})->Unit(benchmark::kMillisecond);
BENCHMARK(backlog)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);
BENCHMARK(at_the_queue)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);
BENCHMARK(transaction)->ArgsProduct({{10, 100, 1000}, {0, 100, 1000, 10000}})->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
