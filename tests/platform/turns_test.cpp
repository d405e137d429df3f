// Clients that take more than their turn, and clients that leave with much unread.
#include <doctest/doctest.h>
#include <netinet/in.h>

#include "loop/error_throttle.h"
#include "platform_fixture.h"

using namespace heronworks;
using heronworks::test::PlatformFixture;
using heronworks::test::RawClient;

namespace {

constexpr double kMaxSendOnSeconds = 0.1;  // after a client's close, by the platform's terms
const std::string kInvalidRequest = "GET / HTTP/1.1\r\nHost: app\r\n\r\n";

int count_replies(const std::string& input) {
  int replies = 0;
  for (auto at = input.find("HTTP/1.1 "); at != std::string::npos; at = input.find("HTTP/1.1 ", at + 1))
    ++replies;
  return replies;
}

enum class Departure { kClose, kHalfClose, kReset };

void leave(RawClient& client, Departure departure) {
  const linger immediate{1, 0};
  if (departure == Departure::kHalfClose) {
    ::shutdown(client.fd.get(), SHUT_WR);
    return;
  }
  if (departure == Departure::kReset)
    setsockopt(client.fd.get(), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  client.fd.reset();
}

std::string pipelined_requests(int first, int count, int shard = 0) {
  std::string text;
  for (int i = first; i < first + count; ++i)
    text += PlatformFixture::request("p" + std::to_string(i), "", shard);
  return text;
}

}  // namespace

// Guards against a client whose invalid requests are answered as fast as it sends them
// (docs/incidents/d781eb.md).
TEST_CASE(
    "turns: a client that keeps sending invalid requests waits for each answer, and is closed in the end") {
  PlatformFixture fixture;
  fixture.start();
  RawClient client(fixture.address);
  fixture.run_once();
  std::string text;
  for (int i = 0; i < 2 * ErrorThrottle::kMaxErrors; ++i) text += kInvalidRequest;
  REQUIRE(client.send(text));
  fixture.run_for(0.03);
  client.receive();
  CHECK(count_replies(client.input) == ErrorThrottle::kErrorsWithoutPause + 1);
  fixture.run_for(10 * ErrorThrottle::kPauseSeconds);
  client.receive();
  CHECK(count_replies(client.input) >= ErrorThrottle::kErrorsWithoutPause + 9);
  CHECK(count_replies(client.input) <= ErrorThrottle::kErrorsWithoutPause + 12);
  REQUIRE(fixture.run_until([&] { return client.receive() == 0; }, 5));
  CHECK(count_replies(client.input) == ErrorThrottle::kMaxErrors);
  CHECK(client.input.find("Connection: close") != std::string::npos);
  CHECK(fixture.scheduler->client_server().counts().closed_for_errors == 1);
}

TEST_CASE("turns: a client with an invalid request now and then does not wait") {
  PlatformFixture fixture;
  fixture.start();
  RawClient client(fixture.address);
  fixture.run_once();
  constexpr int kRequests = 40;
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(client.send(i % 2 == 0 ? kInvalidRequest : fixture.request("r" + std::to_string(i))));
    REQUIRE(fixture.run_until([&] { return client.receive() == -1 && count_replies(client.input) > i; }, 1));
  }
  CHECK(fixture.scheduler->client_server().counts().throttled == 0);
}

TEST_CASE("turns: the close of a client that waits for its turn is seen at once") {
  PlatformFixture fixture;
  fixture.start();
  RawClient client(fixture.address);
  fixture.run_once();
  std::string text;
  for (int i = 0; i < ErrorThrottle::kMaxErrors; ++i) text += kInvalidRequest;
  REQUIRE(client.send(text));
  REQUIRE(fixture.run_until([&] { return fixture.scheduler->client_server().counts().throttled > 0; }));
  leave(client, Departure::kClose);
  CHECK(fixture.run_until([&] { return fixture.scheduler->client_server().connection_count() == 0; }, 0.02));
}

// Guards against one connection's backlog that is worked off before others have their turn.
TEST_CASE("turns: a valid request is served beside clients with a thousand invalid ones each") {
  PlatformFixture fixture;
  fixture.start();
  std::vector<std::unique_ptr<RawClient>> flooding;
  std::string text;
  for (int i = 0; i < 1000; ++i) text += kInvalidRequest;
  for (int i = 0; i < 6; ++i) flooding.push_back(std::make_unique<RawClient>(fixture.address));
  fixture.run_once();
  for (auto& client : flooding) REQUIRE(client->send(text));
  RawClient ordinary(fixture.address);
  fixture.run_once();
  REQUIRE(ordinary.send(fixture.request("ordinary")));
  CHECK(fixture.run_until([&] { return ordinary.receive() == -1 && !ordinary.input.empty(); }, 0.02));
  CHECK(ordinary.input.starts_with("HTTP/1.1 200"));
}

// Guards against idle and new connections that are closed while refused clients keep theirs.
TEST_CASE("descriptors: a connection that has had its last answer makes way before one that is idle") {
  constexpr int kDescriptors = 64;
  PlatformFixture fixture(kDescriptors);
  fixture.start();
  RawClient idle(fixture.address);
  fixture.run_once();
  REQUIRE(idle.send(fixture.request("a")));
  REQUIRE(fixture.run_until([&] { return idle.receive() == -1 && !idle.input.empty(); }));
  idle.input.clear();
  std::vector<std::unique_ptr<RawClient>> refused;
  for (int i = 0; i < kDescriptors; ++i) {
    refused.push_back(std::make_unique<RawClient>(fixture.address));
    fixture.run_once();
    REQUIRE(refused.back()->send("noise\r\n\r\n"));
    fixture.run_for(0.005);
  }
  CHECK(fixture.scheduler->client_server().counts().evicted > 0);
  CHECK(fixture.scheduler->client_server().counts().closed_idle == 0);
  REQUIRE(idle.send(fixture.request("b")));
  REQUIRE(fixture.run_until([&] { return idle.receive() == -1 && !idle.input.empty(); }));
  CHECK(idle.input.starts_with("HTTP/1.1 200"));
}

// Guards against requests that are sent on although their client has left, wherever they are by then
// (docs/incidents/d781eb.md).
TEST_CASE("departure: of sixty pipelined requests nothing is sent on after their client has left") {
  constexpr int kPipelined = 60;
  PlatformFixture fixture;
  fixture.node0.reply.clear();  // the first request stays open
  fixture.start();
  Departure departure = Departure::kClose;
  SUBCASE("by a close") {}
  SUBCASE("by a half-close") { departure = Departure::kHalfClose; }
  SUBCASE("by a reset") { departure = Departure::kReset; }
  std::size_t filler_bytes = 0;
  SUBCASE("read ahead") {}
  SUBCASE("unread in the kernel") { filler_bytes = 100; }
  CAPTURE(static_cast<int>(departure));
  CAPTURE(filler_bytes);
  RawClient client(fixture.address);
  fixture.run_once();
  REQUIRE(client.send(pipelined_requests(0, 1)));
  REQUIRE(fixture.run_until([&] { return fixture.node0.received.size() == 1; }));
  std::string rest;
  for (int i = 1; i < kPipelined; ++i)
    rest +=
        fixture.request("p" + std::to_string(i), "X-Filler: " + std::string(filler_bytes * 5, 'x') + "\r\n");
  REQUIRE(client.send(rest));
  fixture.run_for(0.01);
  leave(client, departure);
  fixture.run_for(0.02);
  CHECK(fixture.scheduler->counts().abandoned == 1);
  fixture.node0.reply = test::http_reply(200, "data");
  fixture.node0.received[0].peer->send(fixture.node0.reply);
  fixture.run_for(2 * kMaxSendOnSeconds);
  CHECK(fixture.node0.received.size() == 1);
  CHECK(fixture.scheduler->open_transactions() == 0);
  CHECK(fixture.scheduler->client_server().connection_count() == 0);
}

TEST_CASE("departure: a request that is found together with the end of its client is not sent on") {
  PlatformFixture fixture;
  SUBCASE("it waits in the queue of arrivals") {
    fixture.json["settings"]["request-classes"][1]["sequential"] = true;
  }
  SUBCASE("it waits for nothing") {}
  fixture.start();
  Departure departure = Departure::kClose;
  SUBCASE("by a close") {}
  SUBCASE("by a half-close") { departure = Departure::kHalfClose; }
  SUBCASE("by a reset") { departure = Departure::kReset; }
  CAPTURE(static_cast<int>(departure));
  RawClient client(fixture.address);
  fixture.run_once();
  REQUIRE(client.send(fixture.write("w", "data")));
  leave(client, departure);
  fixture.run_for(2 * kMaxSendOnSeconds);
  CHECK(fixture.node0.received.empty());
  CHECK(fixture.scheduler->counts().dispatched == 0);
  CHECK(fixture.scheduler->open_transactions() == 0);
}

TEST_CASE("departure: a request that the decisions hold is not sent on when its node appears") {
  PlatformFixture fixture;
  fixture.json["known"] = nlohmann::json::parse(
      fixture.update_text(7, true, {fixture.entry_text("s-0", fixture.node0.server.address, 0)}));
  fixture.start();
  Departure departure = Departure::kClose;
  SUBCASE("by a close") {}
  SUBCASE("by a half-close") { departure = Departure::kHalfClose; }
  SUBCASE("by a reset") { departure = Departure::kReset; }
  CAPTURE(static_cast<int>(departure));
  RawClient client(fixture.address);
  fixture.run_once();
  REQUIRE(client.send(pipelined_requests(0, 3, 1)));  // of a shard without a node
  REQUIRE(fixture.run_until([&] { return fixture.scheduler->open_transactions() == 1; }));
  leave(client, departure);
  fixture.run_for(0.02);
  fixture.discovery.push(
      fixture.update_text(8, false, {fixture.entry_text("s-1", fixture.node1.server.address, 1)}));
  fixture.run_for(2 * kMaxSendOnSeconds);
  CHECK(fixture.node1.received.empty());
  CHECK(fixture.scheduler->open_transactions() == 0);
}
