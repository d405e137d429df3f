// A call id that comes again. By the platform's page every request, and every retry of a client, gets an id
// of its own, so a request with one that was used before is invalid, unless the scheduler has never read the
// first: then its client sends it once more. The scheduler is a process of its own.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <csignal>

#include "process_fixture.h"

using namespace heronworks;
using test::DelayingNode;
using test::Peer;
using test::PlatformFixture;

namespace {

constexpr double kServiceSeconds = 1.0;  // of the node
constexpr double kLeaveAfterSeconds = 0.4;
constexpr double kAnswerSeconds = 3;
constexpr std::size_t kReplyBytes = 4;  // so that a reply comes whole
constexpr int kOk = 200;

class Play {
 public:
  // `environment` is added to the scheduler's.
  explicit Play(std::map<std::string, std::string> environment = {})
      : loop_(clock_), node_(loop_, kServiceSeconds, kReplyBytes), discovery_(loop_) {
    nlohmann::json config = test::process_config(96, 512, discovery_.server.address, {node_.address()});
    for (const char* name : {"give-up", "dedup-window"}) {
      for (auto& profile : config["settings"]["request-classes"]) profile[name] = 5000000;
    }
    address_ = *Address::parse(config["listen"].get<std::string>());
    scheduler_ = std::make_unique<test::SchedulerProcess>(config, directory_.path(), std::move(environment));
    REQUIRE(test::wait_until_ready(loop_, address_));
  }

  DelayingNode& node() { return node_; }
  std::string log() const { return scheduler_->log(); }
  const Address& address() const { return address_; }
  void run_for(double seconds) {
    for (const double end = clock_.now() + seconds; clock_.now() < end;) loop_.run_once(0.002);
  }
  // The condition may have effects: it is evaluated until it holds, and not again.
  bool run_until(const std::function<bool()>& condition, double max_seconds) {
    for (const double end = clock_.now() + max_seconds; clock_.now() < end; loop_.run_once(0.002)) {
      if (condition()) return true;
    }
    return false;
  }
  std::unique_ptr<Peer> connect() { return std::make_unique<Peer>(loop_, connect_to(address_), true); }
  std::unique_ptr<Peer> send(const std::string& text) {
    auto client = connect();
    client->send(text);
    return client;
  }
  // The status of the answer; 0: none in time, or closed without one.
  int wait_for_status(const Peer& client) {
    run_until([&] { return PlatformFixture::status(client) != 0 || client.closed; }, kAnswerSeconds);
    return PlatformFixture::status(client);
  }

 private:
  const MonotonicClock clock_;
  Loop loop_;
  DelayingNode node_;
  test::ScriptedDiscovery discovery_;
  test::TemporaryDirectory directory_;
  Address address_;
  std::unique_ptr<test::SchedulerProcess> scheduler_;
};

bool is_refusal_as_invalid(int status) { return status >= 400 && status < 500; }

}  // namespace

// Guards against a request that is served although its id belongs to a request whose client has left
// (docs/incidents/d781eb.md).
TEST_CASE("repeated id: refused while an attempt of the first may be out, though its client has left") {
  REQUIRE(std::getenv("HERONWORKS") != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Play play;
  double pause = 0;
  std::string text;
  SUBCASE("a read, at once") { text = PlatformFixture::request("id-a"); }
  SUBCASE("a read, 10 ms later") {
    text = PlatformFixture::request("id-a");
    pause = 0.01;
  }
  SUBCASE("a read, 0.3 s later") {
    text = PlatformFixture::request("id-a");
    pause = 0.3;
  }
  SUBCASE("a read, after the node has finished the first") {
    text = PlatformFixture::request("id-a");
    pause = kServiceSeconds;
  }
  SUBCASE("a write, 10 ms later") {
    text = PlatformFixture::write("id-a", "data");
    pause = 0.01;
  }
  CAPTURE(pause);
  auto first = play.send(text);
  play.run_for(kLeaveAfterSeconds);
  REQUIRE(play.node().received("id-a") == 1);
  first.reset();
  play.run_for(pause);
  const auto second = play.send(text);
  CHECK(is_refusal_as_invalid(play.wait_for_status(*second)));
  play.run_for(kServiceSeconds);
  CHECK(play.node().received("id-a") == 1);
}

TEST_CASE("repeated id: a client that sends it again whenever it is refused is never served") {
  Play play;
  auto first = play.send(PlatformFixture::request("id-a"));
  REQUIRE(play.run_until([&] { return play.node().received("id-a") == 1; }, 1));
  auto second = play.connect();
  int refusals = 0;
  for (const double end = MonotonicClock().now() + 2 * kServiceSeconds; MonotonicClock().now() < end;) {
    if (second->closed) second = play.connect();
    second->input.clear();
    second->send(PlatformFixture::request("id-a"));
    const int status = play.wait_for_status(*second);
    REQUIRE(is_refusal_as_invalid(status));
    ++refusals;
    if (first && refusals == 5) first.reset();
  }
  CHECK(refusals > 5);
  CHECK(play.node().received("id-a") == 1);
}

TEST_CASE("repeated id: refused after the first was answered") {
  Play play;
  play.node().set_service_seconds(0);
  const std::string text = PlatformFixture::request("id-a");
  const auto first = play.send(text);
  REQUIRE(play.wait_for_status(*first) == kOk);
  SUBCASE("on the same connection") {
    first->input.clear();
    first->send(text);
    CHECK(is_refusal_as_invalid(play.wait_for_status(*first)));
  }
  SUBCASE("on another connection") {
    const auto second = play.send(text);
    CHECK(is_refusal_as_invalid(play.wait_for_status(*second)));
  }
  CHECK(play.node().received("id-a") == 1);
}

TEST_CASE("repeated id: a request that crossed the end of its idle connection is served once more") {
  Play play;
  play.node().set_service_seconds(0);
  test::RawClient crossing(play.address());
  REQUIRE(play.run_until([&] { return crossing.send(PlatformFixture::request("id-a")); }, 1));
  REQUIRE(play.run_until([&] { return crossing.receive() == 0; }, 5));  // answered, then ended as idle
  REQUIRE(crossing.input.starts_with("HTTP/1.1 200"));
  REQUIRE(crossing.send(PlatformFixture::request("id-b")));
  play.run_for(0.05);
  const auto second = play.send(PlatformFixture::request("id-b"));
  CHECK(play.wait_for_status(*second) == kOk);
  CHECK(play.node().received("id-b") == 1);
}

// Guards against an incident whose log does not tell why a request was sent on, answered or refused.
TEST_CASE("log: at debug level a line for each request says what happened to it") {
  const std::map<std::string, std::string> environment{{"HERONWORKS_LOG", "debug"}};
  Play play(environment);
  play.node().set_service_seconds(0.1);
  const auto served = play.send(PlatformFixture::request("id-served"));
  REQUIRE(play.wait_for_status(*served) == kOk);
  REQUIRE(is_refusal_as_invalid(play.wait_for_status(*play.send(PlatformFixture::request("id-served")))));
  auto leaving = play.send(PlatformFixture::request("id-left"));
  play.run_for(0.05);
  leaving.reset();
  std::map<std::string, nlohmann::json> requests;  // by id
  std::map<std::string, nlohmann::json> refused;
  REQUIRE(play.run_until(
      [&] {
        std::istringstream lines(play.log());
        for (std::string line; std::getline(lines, line);) {
          const auto fields = nlohmann::json::parse(line, nullptr, false);
          if (fields.is_discarded()) continue;
          if (fields["event"] == "request") requests[fields["id"]] = fields;
          if (fields["event"] == "refused") refused[fields["id"]] = fields;
        }
        return requests.size() == 2 && refused.size() == 1;
      },
      kAnswerSeconds));
  const auto events = [&](const std::string& id) {
    std::string names;
    for (const auto& event : requests[id]["events"]) names += event["event"].get<std::string>() + " ";
    return names;
  };
  CHECK(events("id-served") == "accepted dispatched dispatch_ended answered ");
  CHECK(requests["id-served"]["events"][3]["status"] == kOk);
  CHECK(events("id-left").starts_with("accepted dispatched client_left "));
  CHECK(refused["id-served"]["reason"] == "X-Call-Id was used before");
}
