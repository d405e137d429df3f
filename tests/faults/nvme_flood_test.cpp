// As flood_test.cpp, over NVMe/TCP: hosts that keep a full queue of commands, invalid or valid ones, must not
// make others wait. The gateway is the program of the environment variable HERONWORKS, in a process of its
// own, as are the node, the list and the flooding hosts.
//
// Plays kRows; with HERONWORKS_FLOOD=saturating, kSaturatingRows.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "child_process.h"
#include "core_share.h"
#include "gateway/scheduler.h"
#include "process_fixture.h"

using namespace heronworks;

namespace {

constexpr std::uint32_t kBlockBytes = 4096;
constexpr const char* kNodeNqn = "nqn.2026-11.org.heronworks:node";
constexpr const char* kGatewayNqn = "nqn.2026-11.org.heronworks:gateway";
constexpr std::uint32_t kVolume = 1;
constexpr std::uint32_t kUnknownVolume = 9999;
constexpr std::uint16_t kQueueEntries = 128;
constexpr double kOrdinaryRate = 40;  // commands a second
constexpr double kTimeLeftSeconds = 1;
constexpr double kSlackSeconds = 0.5;
constexpr double kSecondsWithout = 2.5;
constexpr double kSecondsWith = 3;
constexpr double kMaxMegabytesMore = 2;
constexpr double kMaxPollSeconds = 0.005;

enum class NvmeFloodKind { kInvalidCommands, kValidReads };

// Completes reads at once, or serves the endpoint list.
class InstantNode final : public nvme::Backend {
 public:
  InstantNode(Loop& loop, Fd listener, std::string subnqn) : data_(kBlockBytes, 0x5a) {
    nvme::TargetOptions options;
    options.subnqn = std::move(subnqn);
    options.max_queue_size = 1024;
    target_ = std::make_unique<nvme::Target>(loop, std::move(listener), options, *this);
  }
  nvme::Status identify(std::uint8_t, std::uint8_t, std::uint32_t, nvme::Bytes&) override { return {}; }
  void execute_command(nvme::Command&& command) override {
    target_->complete(command.connection, command.sqe.cid, {}, 0, data_);
  }
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t, std::uint64_t offset,
                    std::uint32_t length) override {
    const auto page = gateway::encode_endpoint_list(listed, 1, "x");
    const auto part =
        nvme::ByteView(page).subspan(offset, std::min<std::size_t>(length, page.size() - offset));
    target_->complete(connection, cid, {}, 0, part);
  }
  void connection_closed(nvme::ConnectionId) override {}
  std::vector<gateway::ListedEndpoint> listed;

 private:
  const nvme::Bytes data_;
  std::unique_ptr<nvme::Target> target_;
};

faults::ChildProcess start_controller(Fd listener, const char* subnqn,
                                      std::vector<gateway::ListedEndpoint> listed) {
  return faults::ChildProcess::run([&] {
    const MonotonicClock clock;
    Loop loop(clock);
    InstantNode node(loop, std::move(listener), subnqn);
    node.listed = std::move(listed);
    loop.run();
    return 0;
  });
}

// A host that connects at once.
class TestHost : public nvme::HostHandler {
 public:
  TestHost(Loop& loop, const Address& address) : loop_(loop), host_(loop, options(address), *this) {}
  void on_ready() override {}
  void on_completed(std::uint64_t, nvme::Completion&&) override {}
  void on_disconnected(const std::string& reason) override { lost_ = reason; }
  bool ready() const { return host_.ready(); }
  bool lost() const { return !lost_.empty(); }

 protected:
  void read(std::uint64_t token, std::uint32_t volume) {
    nvme::Sqe sqe;
    sqe.opcode = nvme::opcode::kRead;
    sqe.nsid = volume;
    sqe.set_slba(token % 64);
    sqe.set_blocks(1);
    sqe.set_time_left(kTimeLeftSeconds);
    host_.submit(token, sqe, nullptr, kBlockBytes);
  }
  bool can_submit() const { return host_.ready() && host_.can_submit(); }
  Loop& loop_;

 private:
  static nvme::HostOptions options(const Address& address) {
    nvme::HostOptions options;
    options.address = address;
    options.subnqn = kGatewayNqn;
    options.io_queue_size = kQueueEntries;
    options.keep_alive_timeout = 0;
    options.connect_timeout = 10;
    return options;
  }
  nvme::Host host_;
  std::string lost_;
};

class FloodingHost final : public TestHost {
 public:
  FloodingHost(Loop& loop, const Address& address, NvmeFloodKind kind)
      : TestHost(loop, address), volume_(kind == NvmeFloodKind::kValidReads ? kVolume : kUnknownVolume) {}
  void on_ready() override {
    while (can_submit()) read(next_token_++, volume_);
  }
  void on_completed(std::uint64_t, nvme::Completion&&) override {
    if (can_submit()) read(next_token_++, volume_);
  }

 private:
  const std::uint32_t volume_;
  std::uint64_t next_token_ = 0;
};

int run_nvme_flood(NvmeFloodKind kind, int connections, const Address& target) {
  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<FloodingHost>> hosts;
  for (int i = 0; i < connections; ++i) hosts.push_back(std::make_unique<FloodingHost>(loop, target, kind));
  loop.run();
  return 0;
}

struct Result {
  std::vector<double> latencies;  // s, ascending, of those served
  int failed = 0;                 // completed with an error
  int late = 0;
  int unanswered = 0;
  double most_megabytes = 0;
  double latency_at(double fraction) const {
    if (latencies.empty()) return 0;
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(latencies.size()));
    return latencies[std::min(rank, latencies.size() - 1)];
  }
};

// Reads at an even rate, whether earlier ones have completed or not.
class OrdinaryHost final : public TestHost {
 public:
  using TestHost::TestHost;
  void on_completed(std::uint64_t token, nvme::Completion&& completion) override {
    const double latency = loop_.now() - sent_at_[token];
    sent_at_.erase(token);
    if (latency > kTimeLeftSeconds) ++result_.late;
    if (!completion.arrived || !completion.status().ok()) ++result_.failed;
    else result_.latencies.push_back(latency);
  }
  Result measure(double seconds, const std::function<double()>& megabytes) {
    result_ = {};
    const double begin = loop_.now();
    double next_at = begin;
    while (loop_.now() < begin + seconds) {
      if (loop_.now() >= next_at && can_submit()) {
        next_at += 1 / kOrdinaryRate;
        sent_at_[++last_token_] = loop_.now();
        read(last_token_, kVolume);
      }
      loop_.run_once(kMaxPollSeconds);
      result_.most_megabytes = std::max(result_.most_megabytes, megabytes());
    }
    const double end = loop_.now() + kTimeLeftSeconds + kSlackSeconds;
    while (!sent_at_.empty() && loop_.now() < end) loop_.run_once(kMaxPollSeconds);
    result_.unanswered = static_cast<int>(sent_at_.size());
    std::sort(result_.latencies.begin(), result_.latencies.end());
    return result_;
  }

 private:
  std::map<std::uint64_t, double> sent_at_;  // by token
  std::uint64_t last_token_ = 0;
  Result result_;
};

class Play {
 public:
  Play() : loop_(clock_) {
    Fd node_listener = listen_on({"127.0.0.1", 0});
    Fd list_listener = listen_on({"127.0.0.1", 0});
    address_ = local_address(listen_on({"127.0.0.1", 0}).get());  // a free port
    const Address node = local_address(node_listener.get());
    const Address list = local_address(list_listener.get());
    node_ = start_controller(std::move(node_listener), kNodeNqn, {});
    list_ = start_controller(std::move(list_listener), nvme::kDiscoveryNqn.data(),
                             {{node, 0, 0, NodeState::kReady, 0}});
    const std::string path = directory_.path() + "/gateway.toml";
    std::ofstream(path) << "[scheduler]\nlisten = \"" << address_.to_string() << "\"\n[list]\naddress = \""
                        << list.to_string() << "\"\n"
                        << kConfiguration;
    gateway_path_ = path;
  }
  void start() {
    gateway_ = faults::ChildProcess::execute(
        {{std::getenv("HERONWORKS"), "serve", gateway_path_}, {}, directory_.path() + "/log"});
    for (const double end = clock_.now() + 10; clock_.now() < end && (!host_ || !host_->ready());) {
      if (!host_ || host_->lost()) host_ = std::make_unique<OrdinaryHost>(loop_, address_);
      loop_.run_once(0.01);
    }
    REQUIRE(host_->ready());
    host_->measure(0.5, [] { return 0.0; });  // until the gateway has the list
  }
  Result measure(double seconds) {
    return host_->measure(seconds, [this] { return faults::anonymous_megabytes(gateway_.pid()); });
  }
  const Address& address() const { return address_; }
  faults::ChildProcess& gateway() { return gateway_; }

 private:
  static constexpr const char* kConfiguration = R"([space]
zone_blocks = 64
zones = 1
shards = 1
[log]
level = "info"
[[profile]]
name = "read"
contract = 0.5
cut_off = 2
repeat = "redoable"
[[plan]]
name = "base"
usual = 100000
reservation = 100000
[[match]]
operation = "read"
profile = "read"
[[volumes]]
first = 1
plan = "base"
)";

  const MonotonicClock clock_;
  Loop loop_;
  test::TemporaryDirectory directory_;
  Address address_;
  std::string gateway_path_;
  faults::ChildProcess node_;
  faults::ChildProcess list_;
  faults::ChildProcess gateway_;
  std::unique_ptr<OrdinaryHost> host_;
};

struct Row {
  NvmeFloodKind kind;
  int connections;
  double share;              // of a core
  double max_added_seconds;  // at 99%
};

constexpr double kAddedAtWholeCore = 0.05;
constexpr double kAddedAtQuarter = 0.2;
const std::vector<Row> kRows = {
    {NvmeFloodKind::kInvalidCommands, 1, 1, kAddedAtWholeCore},
    {NvmeFloodKind::kInvalidCommands, 6, 1, kAddedAtWholeCore},
    {NvmeFloodKind::kInvalidCommands, 60, 1, kAddedAtWholeCore},
    {NvmeFloodKind::kValidReads, 1, 1, kAddedAtWholeCore},
    {NvmeFloodKind::kInvalidCommands, 6, 0.25, kAddedAtQuarter},
    {NvmeFloodKind::kInvalidCommands, 60, 0.25, kAddedAtQuarter},
};
const std::vector<Row> kSaturatingRows = {
    {NvmeFloodKind::kValidReads, 6, 1, kAddedAtWholeCore},
    {NvmeFloodKind::kValidReads, 6, 0.25, kAddedAtQuarter},
};

const std::vector<Row>& rows_to_play() {
  const char* selection = std::getenv("HERONWORKS_FLOOD");
  return selection != nullptr && std::string(selection) == "saturating" ? kSaturatingRows : kRows;
}

}  // namespace

// Guards against hosts with a full queue that make others wait (docs/incidents/d781eb.md).
TEST_CASE("flood over NVMe/TCP: an ordinary host is served beside hosts that keep their queues full") {
  REQUIRE(std::getenv("HERONWORKS") != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::printf("%-8s %3s %5s %7s %7s %7s %7s %6s %6s %5s %10s %6s %6s\n", "flood", "n", "share", "p50", "p99",
              "p50 f.", "p99 f.", "served", "failed", "late", "unanswered", "MB", "MB f.");
  for (const Row& row : rows_to_play()) {
    const char* name = row.kind == NvmeFloodKind::kValidReads ? "valid" : "invalid";
    CAPTURE(name);
    CAPTURE(row.connections);
    CAPTURE(row.share);
    Play play;
    play.start();
    const faults::CoreShare share(play.gateway().pid(), row.share);
    const Result without = play.measure(kSecondsWithout);
    const faults::ChildProcess flood =
        faults::ChildProcess::run([&] { return run_nvme_flood(row.kind, row.connections, play.address()); });
    const Result with = play.measure(kSecondsWith);
    std::printf("%-8s %3d %5.2f %7.3f %7.3f %7.3f %7.3f %6zu %6d %5d %10d %6.1f %6.1f\n", name,
                row.connections, row.share, without.latency_at(0.5), without.latency_at(0.99),
                with.latency_at(0.5), with.latency_at(0.99), with.latencies.size(), with.failed, with.late,
                with.unanswered, without.most_megabytes, with.most_megabytes);
    std::fflush(stdout);
    CHECK(play.gateway().running());
    CHECK(with.failed == 0);
    CHECK(with.late == 0);
    CHECK(with.unanswered == 0);
    CHECK(with.latency_at(0.99) <= without.latency_at(0.99) + row.max_added_seconds);
    if (row.kind == NvmeFloodKind::kInvalidCommands)
      CHECK(with.most_megabytes <= without.most_megabytes + kMaxMegabytesMore);
  }
}
