// Measures the anonymous memory of the scheduler's process while a third of its descriptors belong to clients
// that send or read badly. The program is that of the environment variable HERONWORKS, without sanitizers.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <csignal>
#include <cstdio>

#include "process_fixture.h"

using namespace heronworks;
using test::DelayingNode;
using test::Peer;
using test::PlatformFixture;
using test::SchedulerProcess;

namespace {

constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr double kMaxMemoryFraction = 0.8;
constexpr double kMaxRetainedFraction = 0.1;  // of memory_mb, after all clients have left
constexpr double kPlaySeconds = 3;
constexpr double kRestSeconds = 2.5;
constexpr double kAnswerSeconds = 2.5;  // the client's time and the slack of an answer
constexpr std::size_t kBodyBytes = test::DelayingNode::kReplyBytes;
constexpr int kOrdinaryClients = 8;

struct Result {
  double megabytes_at_rest = 0;
  double most_megabytes = 0;
  double megabytes_after = 0;
  int answered = 0;
  int served = 0;
  int unanswered = 0;
  int bad_clients = 0;  // connections
  bool ran_to_the_end = false;
};

class Play {
 public:
  Play(int memory_mb, int descriptors) {
    const nlohmann::json config = test::process_config(memory_mb, descriptors, discovery_.server.address,
                                                       {node0_.address(), node1_.address()});
    address_ = *Address::parse(config["listen"].get<std::string>());
    process_ = std::make_unique<SchedulerProcess>(config, directory_.path());
    bad_.resize(static_cast<std::size_t>(descriptors / 3 - kOrdinaryClients));
  }

  Result run() {
    REQUIRE(test::wait_until_ready(loop_, address_));
    result_.megabytes_at_rest = process_->anonymous_megabytes();
    for (int i = 0; i < kOrdinaryClients; ++i) {
      ordinary_.push_back({});
      connect(ordinary_.back());
    }
    const double end = clock_.now() + kPlaySeconds;
    while (clock_.now() < end && process_->running()) {
      for (std::size_t i = 0; i < bad_.size(); ++i) step(i);
      for (Ordinary& client : ordinary_) step(client);
      loop_.run_once(0.005);
      result_.most_megabytes = std::max(result_.most_megabytes, process_->anonymous_megabytes());
    }
    bad_.clear();
    ordinary_.clear();
    for (const double until = clock_.now() + kRestSeconds; clock_.now() < until;) loop_.run_once(0.05);
    result_.megabytes_after = process_->anonymous_megabytes();
    result_.ran_to_the_end = process_->running();
    return result_;
  }

 private:
  struct Bad {
    std::unique_ptr<Peer> peer;
    std::string unsent;
    double next_at = 0;
  };
  struct Ordinary {
    std::unique_ptr<Peer> peer;
    double sent_at = 0;  // 0: no request is open
    bool gave_up = false;
  };

  std::string next_id() { return "c" + std::to_string(++last_id_); }

  // One of three kinds of bad client. Those that were closed come again.
  void step(std::size_t i) {
    Bad& bad = bad_[i];
    const std::string body(kBodyBytes, 'x');
    if (!bad.peer || bad.peer->closed) {
      if (clock_.now() < bad.next_at) return;
      ++result_.bad_clients;
      bad.peer = std::make_unique<Peer>(loop_, connect_to(address_), true);
      bad.next_at = clock_.now() + 0.2;
      bad.unsent.clear();
      if (i % 3 == 0) {  // sends a write and most of another, and stays
        const std::string second = PlatformFixture::write(next_id(), body);
        bad.peer->send(PlatformFixture::write(next_id(), body) + second.substr(0, second.size() - 100));
      } else if (i % 3 == 1) {  // sends a write slowly
        bad.unsent = PlatformFixture::write(next_id(), body);
      } else {  // does not read what it asked for
        const int small = 4096;
        ::setsockopt(bad.peer->descriptor, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        bad.peer->stream.pause(true);
        for (int n = 0; n < 8; ++n) bad.peer->send(PlatformFixture::request(next_id()));
      }
    }
    if (bad.unsent.empty() || clock_.now() < bad.next_at) return;
    bad.next_at = clock_.now() + 0.05;
    const std::string part = bad.unsent.substr(0, 2048);
    bad.unsent.erase(0, part.size());
    bad.peer->send(part);
  }

  void connect(Ordinary& client) { client.peer = std::make_unique<Peer>(loop_, connect_to(address_), true); }

  // Sends one request after the other: reads, and writes of two sizes.
  void step(Ordinary& client) {
    const auto answered = [&] {
      const std::string& input = client.peer->input;
      const auto head_end = input.find("\r\n\r\n");
      if (head_end == std::string::npos) return false;
      const auto length = input.find("Content-Length: ");
      return input.size() >= head_end + 4 + std::strtoul(input.c_str() + length + 16, nullptr, 10);
    };
    if (client.sent_at > 0) {
      if (answered()) {
        ++result_.answered;
        if (PlatformFixture::status(*client.peer) == 200) ++result_.served;
        client.peer->input.clear();
        client.sent_at = 0;
      } else if (client.peer->closed || clock_.now() > client.sent_at + kAnswerSeconds) {
        ++result_.unanswered;
        client.sent_at = 0;
        connect(client);
      }
    }
    if (client.sent_at > 0) return;
    if (client.peer->closed) connect(client);
    const int kind = ++requests_ % 4;
    const std::string id = next_id();
    client.peer->send(kind < 2    ? PlatformFixture::request(id, "", kind)
                      : kind == 2 ? PlatformFixture::write(id, std::string(500, 'x'))
                                  : PlatformFixture::write(id, std::string(kBodyBytes, 'x')));
    client.sent_at = clock_.now();
  }

  MonotonicClock clock_;
  Loop loop_{clock_};
  DelayingNode node0_{loop_};
  DelayingNode node1_{loop_};
  test::ScriptedDiscovery discovery_{loop_};
  Address address_;
  test::TemporaryDirectory directory_;
  std::unique_ptr<SchedulerProcess> process_;
  std::vector<Bad> bad_;
  std::vector<Ordinary> ordinary_;
  Result result_;
  int last_id_ = 0;
  int requests_ = 0;
};

}  // namespace

// Guards against memory that follows the number of connections instead of memory_mb (review/3).
TEST_CASE("anonymous memory stays under 0.8 of memory_mb while a third of the descriptors misbehave") {
  REQUIRE(std::getenv("HERONWORKS") != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::printf("memory_mb descriptors most_mb after_mb bad_clients answered served unanswered\n");
  std::fflush(stdout);
  for (const int memory_mb : {32, 48, 96, 192}) {
    for (const int descriptors : {256, 512, 1024}) {
      CAPTURE(memory_mb);
      CAPTURE(descriptors);
      const Result result = Play(memory_mb, descriptors).run();
      std::printf("%9d %11d %7.1f %8.1f %11d %8d %6d %10d\n", memory_mb, descriptors, result.most_megabytes,
                  result.megabytes_after, result.bad_clients, result.answered, result.served,
                  result.unanswered);
      std::fflush(stdout);
      CHECK(result.ran_to_the_end);
      CHECK(result.most_megabytes < kMaxMemoryFraction * memory_mb);
      // Memory that was freed goes back to the operating system.
      CHECK(result.megabytes_after < result.megabytes_at_rest + kMaxRetainedFraction * memory_mb);
      CHECK(result.unanswered == 0);
      CHECK(result.answered > 0);
    }
  }
}
