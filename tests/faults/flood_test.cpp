// Clients that send at full speed what the scheduler refuses, or serves, must not make others wait. The
// scheduler is the program of the environment variable HERONWORKS, in a process of its own, as are the nodes
// and the flooding clients.
//
// Plays the rows of kRows; with HERONWORKS_FLOOD=all, each kind with 1, 6 and 60 connections at each share.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "flood.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "core_share.h"
#include "node.h"
#include "ordinary_load.h"
#include "process_fixture.h"

using namespace heronworks;
using faults::FloodKind;

namespace {

constexpr int kMemoryMegabytes = 96;
constexpr int kDescriptors = 1024;
constexpr double kSecondsWithout = 2.5;
constexpr double kSecondsWith = 3;
constexpr double kMaxMegabytesMore = 2;
constexpr double kMaxBodyMegabytes = 1.0 / 16;  // of one request, by the platform's page
constexpr double kMaxPollSeconds = 0.005;
constexpr double kTailFraction = 0.99;

// What the flood may add to the latency of ordinary answers, by the scheduler's share of a core.
struct Target {
  double share;
  double max_added_seconds;  // at kTailFraction; 0: none stated
};
constexpr Target kWholeCore{1.0, 0.05};
constexpr Target kQuarter{0.25, 0.2};
constexpr Target kEighth{0.12, 0};  // no answer may be late

struct Row {
  FloodKind kind;
  int connections;
  Target target;
};

const std::vector<Row> kRows = {
    {FloodKind::kBareRequest, 6, kWholeCore},   {FloodKind::kBareRequest, 60, kWholeCore},
    {FloodKind::kUnknownClass, 6, kWholeCore},  {FloodKind::kNewNames, 6, kWholeCore},
    {FloodKind::kOneByteChunks, 6, kWholeCore}, {FloodKind::kLargeBody, 6, kWholeCore},
    {FloodKind::kConnection, 60, kWholeCore},   {FloodKind::kNoise, 60, kWholeCore},
    {FloodKind::kManyFields, 6, kWholeCore},    {FloodKind::kIncompleteWrites, 6, kWholeCore},
    {FloodKind::kBareRequest, 6, kQuarter},     {FloodKind::kUnknownClass, 6, kQuarter},
    {FloodKind::kNewNames, 6, kQuarter},        {FloodKind::kOneByteChunks, 60, kQuarter},
    {FloodKind::kConnection, 60, kQuarter},     {FloodKind::kNoise, 60, kQuarter},
    {FloodKind::kBareRequest, 6, kEighth},      {FloodKind::kUnknownClass, 60, kEighth},
};

std::vector<Row> rows_to_play() {
  const char* selection = std::getenv("HERONWORKS_FLOOD");
  if (selection == nullptr || std::string(selection) != "all") return kRows;
  std::vector<Row> rows;
  for (const Target& target : {kWholeCore, kQuarter, kEighth}) {
    for (const FloodKind kind : faults::all_flood_kinds()) {
      for (const int connections : {1, 6, 60}) rows.push_back({kind, connections, target});
    }
  }
  return rows;
}

// What the process may hold beside the flood beyond what it holds without it. A body that a client has begun
// has to be held until it is complete.
double max_megabytes_more(const Row& row) {
  const bool sends_bodies = row.kind == FloodKind::kOneByteChunks || row.kind == FloodKind::kIncompleteWrites;
  return kMaxMegabytesMore + (sends_bodies ? row.connections * kMaxBodyMegabytes : 0);
}

struct Phase {
  faults::OrdinaryResult ordinary;
  double most_megabytes = 0;
};

class Play {
 public:
  Play() : loop_(clock_) {
    std::vector<Address> nodes;
    for (int i = 0; i < 2; ++i) {
      Fd listener = listen_on({"127.0.0.1", 0});
      nodes.push_back(local_address(listener.get()));
      nodes_.push_back(faults::start_node(std::move(listener), {}));
    }
    discovery_ = std::make_unique<test::ScriptedDiscovery>(loop_);
    const nlohmann::json config =
        test::process_config(kMemoryMegabytes, kDescriptors, discovery_->server.address, nodes);
    address_ = *Address::parse(config["listen"].get<std::string>());
    scheduler_ = std::make_unique<test::SchedulerProcess>(config, directory_.path());
    REQUIRE(test::wait_until_ready(loop_, address_));
  }

  Phase without_flood() { return measure(kSecondsWithout); }
  Phase with_flood(const Row& row) {
    const faults::ChildProcess flood = faults::ChildProcess::run([&] {
      return faults::run_flood({row.kind, row.connections, address_});
    });
    return measure(kSecondsWith);
  }
  pid_t scheduler_pid() const { return scheduler_->pid(); }
  bool scheduler_running() { return scheduler_->running(); }

 private:
  Phase measure(double seconds) {
    Phase phase;
    faults::OrdinaryLoad load(loop_, {address_});
    for (const double end = clock_.now() + seconds; clock_.now() < end;) {
      loop_.run_once(kMaxPollSeconds);
      phase.most_megabytes = std::max(phase.most_megabytes, scheduler_->anonymous_megabytes());
    }
    phase.ordinary = load.finish();
    return phase;
  }

  const MonotonicClock clock_;
  Loop loop_;
  std::vector<faults::ChildProcess> nodes_;
  std::unique_ptr<test::ScriptedDiscovery> discovery_;
  test::TemporaryDirectory directory_;
  Address address_;
  std::unique_ptr<test::SchedulerProcess> scheduler_;
};

void print(const Row& row, const Phase& without, const Phase& with) {
  const faults::OrdinaryResult& before = without.ordinary;
  const faults::OrdinaryResult& now = with.ordinary;
  std::printf("%-17s %3d %5.2f %7.3f %7.3f %7.3f %7.3f %7.3f %5d %7d %7d %5d %10d %6.1f %6.1f\n",
              name_of(row.kind), row.connections, row.target.share, before.latency_at(0.5),
              before.latency_at(kTailFraction), now.latency_at(0.5), now.latency_at(kTailFraction),
              now.latency_at(1), now.total(), before.refused_or_failed, now.refused_or_failed, now.late,
              now.unanswered, without.most_megabytes, with.most_megabytes);
  std::fflush(stdout);
}

}  // namespace

// Guards against a flooding client that makes others wait, or memory grow (docs/incidents/d781eb.md).
TEST_CASE("flood: ordinary clients are served beside clients that send at full speed") {
  REQUIRE(std::getenv("HERONWORKS") != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::printf("%-17s %3s %5s %7s %7s %7s %7s %7s %5s %7s %7s %5s %10s %6s %6s\n", "flood", "n", "share",
              "p50", "p99", "p50 f.", "p99 f.", "max f.", "asked", "refused", "refused f.", "late",
              "unanswered", "MB", "MB f.");
  for (const Row& row : rows_to_play()) {
    CAPTURE(name_of(row.kind));
    CAPTURE(row.connections);
    CAPTURE(row.target.share);
    Play play;
    const faults::CoreShare share(play.scheduler_pid(), row.target.share);
    const Phase without = play.without_flood();
    const Phase with = play.with_flood(row);
    print(row, without, with);
    CHECK(play.scheduler_running());
    CHECK(with.ordinary.late == 0);
    CHECK(with.ordinary.unanswered == 0);
    CHECK(with.most_megabytes <= without.most_megabytes + max_megabytes_more(row));
    if (row.target.max_added_seconds > 0) {
      CHECK(with.ordinary.latency_at(kTailFraction) <=
            without.ordinary.latency_at(kTailFraction) + row.target.max_added_seconds);
    }
  }
}
