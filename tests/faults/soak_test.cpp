// Soak: the scheduler as a process of its own, with ordinary clients, among faults that are drawn from a
// seed: failing system calls (call_shim.cpp), a flood of one kind, a share of a core, hold-ups by signals,
// and a stop at the end, sometimes signalled twice or followed by a reload. What the pages promise must hold
// in each play.
//
// HERONWORKS: the program; HERONWORKS_SHIM: the shim; HERONWORKS_SOAK_SEEDS: "FIRST..LAST".
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "core_share.h"
#include "flood.h"
#include "node.h"
#include "ordinary_load.h"
#include "process_fixture.h"

using namespace heronworks;

namespace {

constexpr int kMemoryMegabytes = 96;
constexpr int kDescriptors = 1024;
constexpr double kLoadSeconds = 2;
constexpr double kMaxPollSeconds = 0.005;
constexpr double kMaxHoldUpSeconds = 0.15;
constexpr double kBetweenHoldUpsSeconds = 0.4;
constexpr double kMaxStopSeconds = 3;  // the longest deadline of a class
constexpr int kExitedInOrder = 0;

struct SeedRange {
  int first = 1;
  int last = 1;
};

SeedRange seeds_to_play() {
  SeedRange range;
  const char* text = std::getenv("HERONWORKS_SOAK_SEEDS");
  if (text != nullptr && std::sscanf(text, "%d..%d", &range.first, &range.last) != 2)
    throw std::runtime_error("HERONWORKS_SOAK_SEEDS: FIRST..LAST is expected");
  return range;
}

// What a seed stands for.
struct SoakPlan {
  explicit SoakPlan(int seed) {
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    const auto pick = [&](auto... values) {
      const double all[] = {static_cast<double>(values)...};
      return all[std::uniform_int_distribution<std::size_t>(0, sizeof...(values) - 1)(random)];
    };
    shim_probability = pick(0, 0.01, 0.05, 0.2);
    has_flood = pick(0, 1, 1) != 0;
    const auto kinds = faults::all_flood_kinds();
    flood = kinds[std::uniform_int_distribution<std::size_t>(0, kinds.size() - 1)(random)];
    flood_connections = static_cast<int>(pick(1, 6, 30));
    share = pick(1, 0.5, 0.25);
    hold_up_seconds = pick(0, 0.05, kMaxHoldUpSeconds);
    service_seconds = pick(0, 0.005, 0.05);
    terminates_twice = pick(0, 1) != 0;
    reloads = pick(0, 1) != 0;
  }
  double shim_probability;
  bool has_flood;
  faults::FloodKind flood;
  int flood_connections;
  double share;            // of a core
  double hold_up_seconds;  // STOP to CONT, again and again
  double service_seconds;  // of the nodes
  bool terminates_twice;
  bool reloads;  // SIGHUP during the load and behind SIGTERM
};

class Play {
 public:
  Play(const SoakPlan& plan, int seed) : plan_(plan), loop_(clock_) {
    std::vector<Address> nodes;
    for (int i = 0; i < 2; ++i) {
      Fd listener = listen_on({"127.0.0.1", 0});
      nodes.push_back(local_address(listener.get()));
      faults::NodeOptions options;
      options.service_seconds = plan.service_seconds;
      nodes_.push_back(faults::start_node(std::move(listener), options));
    }
    discovery_ = std::make_unique<test::ScriptedDiscovery>(loop_);
    const nlohmann::json config =
        test::process_config(kMemoryMegabytes, kDescriptors, discovery_->server.address, nodes);
    address_ = *Address::parse(config["listen"].get<std::string>());
    std::map<std::string, std::string> environment;
    if (plan.shim_probability > 0) {
      environment = {{"LD_PRELOAD", std::getenv("HERONWORKS_SHIM")},
                     {"HERONWORKS_SHIM_SEED", std::to_string(seed)},
                     {"HERONWORKS_SHIM_PROBABILITY", std::to_string(plan.shim_probability)}};
    }
    scheduler_ = std::make_unique<test::SchedulerProcess>(config, directory_.path(), environment);
    REQUIRE(test::wait_until_ready(loop_, address_));
  }

  faults::OrdinaryResult load() {
    const faults::CoreShare share(scheduler_->pid(), plan_.share);
    faults::ChildProcess flood;
    if (plan_.has_flood) {
      flood = faults::ChildProcess::run([&] {
        return faults::run_flood({plan_.flood, plan_.flood_connections, address_});
      });
    }
    faults::OrdinaryLoad load(loop_, {address_});
    double hold_up_at = clock_.now() + kBetweenHoldUpsSeconds;
    for (const double end = clock_.now() + kLoadSeconds; clock_.now() < end;) {
      loop_.run_once(kMaxPollSeconds);
      most_megabytes_ = std::max(most_megabytes_, scheduler_->anonymous_megabytes());
      if (plan_.share < 1 || plan_.hold_up_seconds == 0 || clock_.now() < hold_up_at) continue;
      hold_up();
      hold_up_at = clock_.now() + kBetweenHoldUpsSeconds;
      if (plan_.reloads) scheduler_->signal(SIGHUP);
    }
    return load.finish();
  }

  // Ends the scheduler while requests come, and returns what became of those that were sent before.
  faults::OrdinaryResult stop() {
    faults::OrdinaryLoad load(loop_, {address_});
    run_for(kBetweenHoldUpsSeconds);
    scheduler_->signal(SIGTERM);
    if (plan_.reloads) scheduler_->signal(SIGHUP);
    if (plan_.terminates_twice) {
      run_for(kMaxPollSeconds);
      scheduler_->signal(SIGTERM);
    }
    const faults::OrdinaryResult result = load.finish();
    const double end = clock_.now() + kMaxStopSeconds;
    while (scheduler_->running() && clock_.now() < end) loop_.run_once(kMaxPollSeconds);
    return result;
  }

  bool running() { return scheduler_->running(); }
  int exit_code() { return scheduler_->process().exit_code(); }
  double most_megabytes() const { return most_megabytes_; }

 private:
  void hold_up() {
    scheduler_->signal(SIGSTOP);
    run_for(plan_.hold_up_seconds);
    scheduler_->signal(SIGCONT);
  }
  void run_for(double seconds) {
    for (const double end = clock_.now() + seconds; clock_.now() < end;) loop_.run_once(kMaxPollSeconds);
  }

  const SoakPlan& plan_;
  const MonotonicClock clock_;
  Loop loop_;
  std::vector<faults::ChildProcess> nodes_;
  std::unique_ptr<test::ScriptedDiscovery> discovery_;
  test::TemporaryDirectory directory_;
  Address address_;
  std::unique_ptr<test::SchedulerProcess> scheduler_;
  double most_megabytes_ = 0;
};

}  // namespace

// Guards against requests that are lost or late, and a scheduler that ends, where several faults coincide.
TEST_CASE("soak: ordinary requests are answered in time, and a stop is in order, among seeded faults") {
  REQUIRE(std::getenv("HERONWORKS") != nullptr);
  REQUIRE(std::getenv("HERONWORKS_SHIM") != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const SeedRange seeds = seeds_to_play();
  std::printf("%4s %5s %-17s %3s %5s %7s %7s | %7s %7s %7s %5s %10s %6s\n", "seed", "shim", "flood", "n",
              "share", "hold-up", "service", "p50", "p99", "refused", "late", "unanswered", "MB");
  for (int seed = seeds.first; seed <= seeds.last; ++seed) {
    CAPTURE(seed);
    const SoakPlan plan(seed);
    Play play(plan, seed);
    const faults::OrdinaryResult result = play.load();
    std::printf("%4d %5.2f %-17s %3d %5.2f %7.3f %7.3f | %7.3f %7.3f %7d %5d %10d %6.1f\n", seed,
                plan.shim_probability, plan.has_flood ? name_of(plan.flood) : "none",
                plan.has_flood ? plan.flood_connections : 0, plan.share, plan.hold_up_seconds,
                plan.service_seconds, result.latency_at(0.5), result.latency_at(0.99),
                result.refused_or_failed, result.late, result.unanswered, play.most_megabytes());
    std::fflush(stdout);
    CHECK(play.running());
    CHECK(result.late == 0);
    CHECK(result.unanswered == 0);
    CHECK(play.most_megabytes() < kMemoryMegabytes);
    const faults::OrdinaryResult at_stop = play.stop();
    CHECK(at_stop.late == 0);
    CHECK(!play.running());
    CHECK(play.exit_code() == kExitedInOrder);
  }
}
