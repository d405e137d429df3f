// What a decision costs: one whole transaction (landing, dispatch, reply) at nodes that answer quickly,
// beside others that are held at one node that does not.
#include <benchmark/benchmark.h>

#include <deque>

#include "control.h"

using namespace heronworks;

namespace {

class Nobody final : public ControlActions {
 public:
  void dispatch(int transaction, int node, double) override {
    last = transaction;
    last_node = node;
    if (node == 0) at_first.push_back(transaction);
  }
  void reject(int, double) override {}
  void expire(int) override {}
  void release(int) override {}
  void request_endpoint_list() override {}
  void wake_at(double time) override { wake = time; }
  int last = -1;
  int last_node = -1;
  std::deque<int> at_first;  // out at node 0
  double wake = 0;
};

Settings settings(int schedulers) {
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

Transaction to(int shard, int volume, std::uint64_t key) {
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

void transaction(benchmark::State& state) {
  const int nodes = static_cast<int>(state.range(0));
  const int held = static_cast<int>(state.range(1));
  Nobody host;
  double now = 1000;
  Control control(settings(1), host, now);
  std::vector<NodeEntry> list;
  for (int i = 0; i < nodes; ++i) list.push_back({i, 0, i, NodeState::kReady, 0});
  control.update_nodes(now, UpdateKind::kSnapshot, list);
  int id = 0;
  // Filled once; not timed.
  for (; id < held + 4; ++id) {
    now += 1e-9;
    control.transaction_arrived(now, id, to(0, id % 100, static_cast<std::uint64_t>(id)));
  }
  std::uint64_t count = 0;
  for (auto _ : state) {
    now += 100e-6;
    if (now >= host.wake) control.timer_fired(now);
    const int shard = 1 + static_cast<int>(count++ % static_cast<std::uint64_t>(nodes - 1));
    control.transaction_arrived(now, id, to(shard, shard % 100, 1 << 30));
    DispatchResult r;
    r.node = shard;
    r.elapsed = 50e-6;
    r.transaction_finished = true;
    if (host.last == id) control.dispatch_finished(now + 50e-6, id, r);
  }
  state.counters["nodes"] = nodes;
  state.counters["held"] = held;
}

// The same at the node where all is held: each reply makes room for the best of them.
void at_the_queue(benchmark::State& state) {
  const int held = static_cast<int>(state.range(0));
  Nobody host;
  double now = 1000;
  Control control(settings(1), host, now);
  control.update_nodes(now, UpdateKind::kSnapshot, {{0, 0, 0, NodeState::kReady, 0}});
  int id = 0;
  for (; id < held; ++id) {
    now += 1e-9;
    control.transaction_arrived(now, id, to(0, id % 100, static_cast<std::uint64_t>(id)));
  }
  for (auto _ : state) {
    now += 100e-6;
    if (now >= host.wake) control.timer_fired(now);
    const int done = host.at_first.front();
    host.at_first.pop_front();
    DispatchResult r;
    r.elapsed = 0.01;
    r.transaction_finished = true;
    control.dispatch_finished(now, done, r);
    control.transaction_arrived(now, done, to(0, done % 100, static_cast<std::uint64_t>(done)));
  }
  state.counters["held"] = held;
}

// So many on one key, in order, and their client leaves: all end at once, each to be found in its lane.
// `keys` of them.
void one_key_ends(benchmark::State& state) {
  const int held = static_cast<int>(state.range(0));
  const auto keys = static_cast<std::uint64_t>(state.range(1));
  Settings s = settings(1);
  s.profiles[0].ordered_by_key = true;
  for (auto _ : state) {
    state.PauseTiming();
    Nobody host;
    Control control(s, host, 1000);
    for (int id = 0; id < held; ++id)
      control.transaction_arrived(1000, id, to(0, 0, static_cast<std::uint64_t>(id) % keys));
    state.ResumeTiming();
    for (int id = 0; id < held; ++id) control.transaction_abandoned(1000, id);
  }
  state.counters["one"] = benchmark::Counter(
      static_cast<double>(held), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

// How one landing costs while one volume, far beyond its reservation, has so many held at one node.
void backlog(benchmark::State& state) {
  const int held = static_cast<int>(state.range(0));
  Settings s = settings(1);
  s.plans[0].usual_rate = s.plans[0].reservation = 1;
  s.share_benefit_factor = 0.35;
  s.spare_benefit_factor = 0.1;
  for (auto _ : state) {
    Nobody host;
    Control control(s, host, 1000);
    control.update_nodes(1000, UpdateKind::kSnapshot, {{0, 0, 0, NodeState::kReady, 0}});
    for (int id = 0; id < held; ++id)
      control.transaction_arrived(1000 + id * 1e-9, id, to(0, 0, static_cast<std::uint64_t>(id)));
  }
  state.counters["a landing"] = benchmark::Counter(
      static_cast<double>(held), benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
}

}  // namespace

BENCHMARK(one_key_ends)->ArgsProduct({{1000, 10000}, {1, 10000}})->Unit(benchmark::kMillisecond);
BENCHMARK(backlog)->Arg(1000)->Arg(10000)->Unit(benchmark::kMillisecond);
BENCHMARK(at_the_queue)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);
BENCHMARK(transaction)->ArgsProduct({{10, 100, 1000}, {0, 100, 1000, 10000}})->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
