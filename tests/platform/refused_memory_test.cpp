// Measures the anonymous memory of the scheduler's process while clients send at full speed what it refuses
// at once.
#include <doctest/doctest.h>

#include <csignal>

#include "process_fixture.h"

using namespace heronworks;
using test::DelayingNode;
using test::Peer;
using test::PlatformFixture;
using test::SchedulerProcess;

namespace {

constexpr int kDescriptors = 1024;
constexpr int kFloodingClients = 20;
constexpr int kLeavingClients = 6;
constexpr int kOrdinaryClients = 8;
constexpr int kRequestsAtOnce = 200;
constexpr double kMaxMemoryFraction = 0.8;
constexpr double kAnswerSeconds = 2.5;  // the client's time and the slack of an answer
constexpr double kOrdinaryPauseSeconds = 0.1;
constexpr double kLeaveAfterSeconds = 0.001;

struct Flood {
  std::string name;
  bool keeps_order;       // the class of the requests
  const char* budget_ms;  // of each request
  bool others_give_up;    // so that the volume's requests are expected to be late
  double seconds;
};

struct Result {
  double most_megabytes = 0;
  long flooding_answered = 0;
  int ordinary_answered = 0;
  int ordinary_unanswered = 0;
  bool ran_to_the_end = false;
};

class Play {
 public:
  Play(int memory_mb, const Flood& flood) : flood_(flood) {
    nlohmann::json config = test::process_config(memory_mb, kDescriptors, discovery_.server.address,
                                                 {node0_.address(), node1_.address()});
    for (auto& profile : config["settings"]["request-classes"]) profile["give-up"] = 8000000;
    config["settings"]["request-classes"][1]["sequential"] = flood.keeps_order;
    config["settings"]["rules"]["turn-gap"] = 500000;
    address_ = *Address::parse(config["listen"].get<std::string>());
    process_ = std::make_unique<SchedulerProcess>(config, directory_.path());
    clients_.resize(kFloodingClients + kLeavingClients + kOrdinaryClients);
  }

  Result run() {
    REQUIRE(test::wait_until_ready(loop_, address_));
    const double end = clock_.now() + flood_.seconds;
    while (clock_.now() < end && process_->running()) {
      for (std::size_t i = 0; i < clients_.size(); ++i) step(i);
      loop_.run_once(0.001);
      result_.most_megabytes = std::max(result_.most_megabytes, process_->anonymous_megabytes());
    }
    clients_.clear();
    result_.ran_to_the_end = process_->running();
    return result_;
  }

 private:
  struct Client {
    std::unique_ptr<Peer> peer;
    int unanswered = 0;
    double next_at = 0;
  };

  // A write of a piece of data of its own.
  std::string request(const char* budget_ms, const char* volume) {
    char key[17];
    std::snprintf(key, sizeof key, "%016llx", ++last_id_);
    return "PUT /api/" + std::string(volume) + "/" + key + " HTTP/1.1\r\nHost: app\r\nX-Call-Id: c" + key +
           "\r\nX-Call-Class: write\r\nTier: gold\r\nX-Budget-Ms: " + budget_ms +
           "\r\nIO-Info: units=1,shard=0,hosts=1\r\nIdempotency-Key: k" + key +
           "\r\nContent-Length: 0\r\n\r\n";
  }
  void connect(Client& client) {
    client.peer = std::make_unique<Peer>(loop_, connect_to(address_), true);
    client.unanswered = 0;
  }
  // Takes the complete replies off the client's input. Bodies hold no blank line.
  static int take_replies(Peer& peer) {
    int replies = 0;
    std::size_t at = 0;
    for (auto end = peer.input.find("\r\n\r\n"); end != std::string::npos;
         end = peer.input.find("\r\n\r\n", at)) {
      at = end + 4;
      ++replies;
    }
    peer.input.erase(0, at);
    return replies;
  }
  void step(std::size_t i) {
    Client& client = clients_[i];
    if (!client.peer) connect(client);
    if (i < kFloodingClients) return flood(client);
    if (i < kFloodingClients + kLeavingClients) return send_and_leave(client);
    send_as_usual(client);
  }
  void flood(Client& client) {
    const int replies = take_replies(*client.peer);
    result_.flooding_answered += replies;
    client.unanswered -= replies;
    if (client.peer->closed) connect(client);
    if (client.unanswered > 0) return;
    std::string text;
    for (int n = 0; n < kRequestsAtOnce; ++n) text += request(flood_.budget_ms, kFloodedVolume);
    client.peer->send(text);
    client.unanswered = kRequestsAtOnce;
  }
  void send_and_leave(Client& client) {
    if (!flood_.others_give_up || clock_.now() < client.next_at) return;
    connect(client);
    client.peer->send(request("7500", kFloodedVolume));
    client.next_at = clock_.now() + kLeaveAfterSeconds;
  }
  void send_as_usual(Client& client) {
    if (client.unanswered > 0 && take_replies(*client.peer) > 0) {
      ++result_.ordinary_answered;
      client.unanswered = 0;
      client.next_at = clock_.now() + kOrdinaryPauseSeconds;
    } else if (client.unanswered > 0 && (client.peer->closed || clock_.now() > client.next_at)) {
      ++result_.ordinary_unanswered;
      connect(client);
    }
    if (client.unanswered > 0 || clock_.now() < client.next_at) return;
    client.peer->send(request("2000", "0000000000000077"));
    client.unanswered = 1;
    client.next_at = clock_.now() + kAnswerSeconds;
  }

  static constexpr const char* kFloodedVolume = "00000003b4d60021";
  const Flood flood_;
  MonotonicClock clock_;
  Loop loop_{clock_};
  DelayingNode node0_{loop_};
  DelayingNode node1_{loop_};
  test::ScriptedDiscovery discovery_{loop_};
  Address address_;
  test::TemporaryDirectory directory_;
  std::unique_ptr<SchedulerProcess> process_;
  std::vector<Client> clients_;
  Result result_;
  unsigned long long last_id_ = 0;
};

}  // namespace

// Guards against tables that grow with the number of requests refused (review/6).
TEST_CASE("anonymous memory stays under 0.8 of memory_mb while clients send what is refused at once") {
  REQUIRE(std::getenv("HERONWORKS") != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const Flood floods[] = {{"little time, in order", true, "20", false, 4},
                          {"little time", false, "20", false, 4},
                          {"others give up, in order", true, "7500", true, 4},
                          {"others give up", false, "7500", true, 7}};
  std::printf("memory_mb  most_mb  flooding_answered  answered  unanswered  flood\n");
  std::fflush(stdout);
  for (const int memory_mb : {32, 96, 192}) {
    for (const Flood& flood : floods) {
      CAPTURE(memory_mb);
      CAPTURE(flood.name.c_str());
      const Result result = Play(memory_mb, flood).run();
      std::printf("%9d %8.1f %18ld %9d %11d  %s\n", memory_mb, result.most_megabytes,
                  result.flooding_answered, result.ordinary_answered, result.ordinary_unanswered,
                  flood.name.c_str());
      std::fflush(stdout);
      CHECK(result.ran_to_the_end);
      CHECK(result.most_megabytes < kMaxMemoryFraction * memory_mb);
      CHECK(result.ordinary_unanswered == 0);
      CHECK(result.ordinary_answered > 0);
      CHECK(result.flooding_answered > 0);
    }
  }
}
