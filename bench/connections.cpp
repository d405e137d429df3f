// What the pool of connections to nodes costs at several rates: connections opened, descriptors, CPU time and
// latency. One node in a process of its own replies after a fixed time; requests arrive at random (Poisson).
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <random>

#include "http/writer.h"
#include "platform/node_connection_pool.h"

using namespace heronworks;
using namespace heronworks::platform;

namespace {

constexpr double kServiceSeconds = 0.002;
constexpr double kWarmUpSeconds = 1;
constexpr double kMeasuredSeconds = 4;
constexpr double kTimeoutSeconds = 2;
constexpr std::size_t kDescriptors = 1024;
constexpr double kMemoryBytes = 64 << 20;

std::span<const std::uint8_t> as_bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// One connection of the node. Each request is a head without a body.
class NodeSession final : public StreamHandler {
 public:
  NodeSession(Loop& loop, Fd fd) : loop_(loop), stream_(loop, std::move(fd), *this) {}
  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const std::string_view text(reinterpret_cast<const char*>(bytes.data()), bytes.size());
    if (!text.ends_with("\r\n\r\n")) return 0;
    loop_.run_at(loop_.now() + kServiceSeconds, [this] {
      stream_.send(
          as_bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + std::to_string(1000 + ++served_ % 1000)));
    });
    return bytes.size();
  }
  void on_closed(const std::string&) override {}

 private:
  Loop& loop_;
  Stream stream_;
  int served_ = 0;
};

// Runs a node in a forked process.
pid_t start_node(Fd listener) {
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<NodeSession>> sessions;
  Listener accepting(loop, std::move(listener),
                     [&](Fd fd) { sessions.push_back(std::make_unique<NodeSession>(loop, std::move(fd))); });
  loop.run();
  std::_Exit(0);
}

double cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Sends requests to the node at a mean rate and measures what they cost after the warm-up.
class Load final : public NodeConnectionPoolOwner {
 public:
  Load(Loop& loop, const Address& node, double rate)
      : loop_(loop), gap_(rate), pool_(loop, {}, descriptors_, memory_, *this) {
    pool_.set_address(0, node);
    http::Writer(request_).request_line("GET", "/api/1/2").field("Host", "node").end_without_body();
    next_at_ = loop_.now();
    send_next();
    loop_.run_at(loop_.now() + kWarmUpSeconds, [this] { start_measuring(); });
  }

  void report(double rate) {
    std::sort(latencies_.begin(), latencies_.end());
    const auto quantile = [&](double q) {
      return 1e3 * latencies_[static_cast<std::size_t>(q * static_cast<double>(latencies_.size() - 1))];
    };
    const auto n = static_cast<double>(latencies_.size());
    std::printf("%8.0f %10.1f %12.4f %12zu %10.1f %9.2f %9.2f %8d\n", rate, n / kMeasuredSeconds,
                static_cast<double>(pool_.counts().opened - opened_before_) / n, most_descriptors_,
                1e6 * (cpu_seconds() - cpu_before_) / n, quantile(0.5), quantile(0.99), failed_);
  }

 private:
  void send_next() {
    while (next_at_ <= loop_.now()) {
      NodeDispatch dispatch;
      dispatch.sent_at = loop_.now();
      dispatch.deadline = loop_.now() + kTimeoutSeconds;
      dispatch.head = request_;
      dispatch.budget_field_offset = request_.size() - 2;
      pool_.send(0, std::move(dispatch));
      next_at_ += gap_(random_);
    }
    most_descriptors_ = std::max(most_descriptors_, descriptors_.in_use(DescriptorBudget::User::kNodes));
    loop_.run_at(next_at_, [this] { send_next(); });
  }
  void start_measuring() {
    measuring_ = true;
    opened_before_ = pool_.counts().opened;
    cpu_before_ = cpu_seconds();
    most_descriptors_ = 0;
  }
  void on_dispatch_finished(int, const NodeDispatch& dispatch, Outcome outcome, HeldMessagePtr) override {
    if (!measuring_) return;
    if (outcome != Outcome::kSucceeded) ++failed_;
    latencies_.push_back(loop_.now() - dispatch.sent_at);
  }

  Loop& loop_;
  std::mt19937_64 random_{1};
  std::exponential_distribution<double> gap_;
  DescriptorBudget descriptors_{kDescriptors};
  MemoryBudget memory_{kMemoryBytes, descriptors_.limit_per_user()};
  NodeConnectionPool pool_;
  std::vector<std::uint8_t> request_;
  double next_at_ = 0;
  bool measuring_ = false;
  std::uint64_t opened_before_ = 0;
  double cpu_before_ = 0;
  std::size_t most_descriptors_ = 0;
  std::vector<double> latencies_;
  int failed_ = 0;
};

}  // namespace

int main() {
  std::printf("Requests to one node that replies after %.0f ms, %zu descriptors\n", 1e3 * kServiceSeconds,
              kDescriptors);
  std::printf("%8s %10s %12s %12s %10s %9s %9s %8s\n", "rate", "served/s", "opened/req", "descriptors",
              "CPU us", "p50 ms", "p99 ms", "failed");
  for (const double rate : {20.0, 200.0, 1000.0, 4000.0}) {
    Fd listener = listen_on({"127.0.0.1", 0}, 1024);
    const Address address = local_address(listener.get());
    const pid_t node = start_node(std::move(listener));
    {
      const MonotonicClock clock;
      Loop loop(clock);
      Load load(loop, address, rate);
      loop.run_at(loop.now() + kWarmUpSeconds + kMeasuredSeconds, [&] { loop.stop(); });
      loop.run();
      load.report(rate);
    }
    ::kill(node, SIGKILL);
    ::waitpid(node, nullptr, 0);
  }
  return 0;
}
