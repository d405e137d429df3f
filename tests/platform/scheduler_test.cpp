// The scheduler on sockets: forwarding, outcomes, invalid requests and replies, drain, discovery.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_fixture.h"

using namespace heronworks;
using heronworks::test::PlatformFixture;

namespace {

std::uint64_t outcome(const PlatformFixture& fixture, Outcome o) {
  return fixture.scheduler->counts().outcomes[static_cast<std::size_t>(o)];
}

}  // namespace

TEST_CASE("platform: a read is forwarded to its shard's node, and the reply to the client") {
  PlatformFixture fixture;
  fixture.node1.reply =
      test::http_reply(200, std::string("a\0b", 3), "Volume-Load: 0\r\nX-Load-Report: TEXT queue=?\r\n");
  fixture.start();
  auto& c = fixture.client();
  c.send(fixture.request("9b1f03aa5c7e2d41", "X-Other: 1\r\nConnection: keep-alive\r\n", 1));
  REQUIRE(fixture.run_until([&] { return fixture.status(c) == 200; }));
  CHECK(fixture.body(c) == std::string("a\0b", 3));
  CHECK(fixture.node0.received.empty());
  REQUIRE(fixture.node1.received.size() == 1);
  const auto& r = fixture.node1.received[0].request;
  CHECK(r.method == "GET");
  CHECK(r.target == "/api/00000003b4d60021/7f3a9c21e0b4d655");
  CHECK(*r.find_field("X-Call-Id") == "9b1f03aa5c7e2d41");
  CHECK(r.find_field("Connection") == nullptr);
  CHECK(std::stod(*r.find_field("X-Budget-Ms")) <= 1000);
  fixture.run_until([&] { return fixture.scheduler->open_transactions() == 0; });
  CHECK(fixture.scheduler->open_transactions() == 0);
}

TEST_CASE(
    "platform: a write is forwarded with body and idempotency key; the next one reuses the connection") {
  PlatformFixture fixture;
  fixture.start();
  auto& c = fixture.client();
  for (int i = 0; i < 2; ++i) {
    c.input.clear();
    c.send("PUT /a/b/00000003b4d60021/7f3a9c21e0b4d655?x=1 HTTP/1.1\r\nHost: app\r\nX-Call-Id: w" +
           std::to_string(i) +
           "\r\nX-Call-Class: write\r\nTier: gold\r\nX-Budget-Ms: 900\r\nIO-Info: hosts=1, shard=0, "
           "units=1\r\n"
           "Idempotency-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return fixture.status(c) == 200; }));
    fixture.pass_reuse_delay();
  }
  REQUIRE(fixture.node0.received.size() == 2);
  CHECK(fixture.node0.received[1].request.body == "abcde");
  CHECK(fixture.node0.received[1].request.target == "/a/b/00000003b4d60021/7f3a9c21e0b4d655?x=1");
  CHECK(*fixture.node0.received[1].request.find_field("Idempotency-Key") == "k1");
  CHECK(fixture.node0.server.peers.size() == 1);
  CHECK(fixture.scheduler->node_connections().counts().reused == 1);
}

TEST_CASE("platform: each reply of a node maps to its outcome") {
  struct Row {
    const char* what;
    std::string reply;
    Outcome outcome;
    int status;  // of the reply to the client, after a retry that fails in the same way
  };
  const Row rows[] = {
      {"success", test::http_reply(200, "x"), Outcome::kSucceeded, 200},
      {"after 1xx replies",
       "HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 100 C\r\n\r\n" + test::http_reply(200, "x"),
       Outcome::kSucceeded, 200},
      {"error", test::http_reply(500, "oops"), Outcome::kError, 503},
      {"rejected with 503", test::http_reply(503, "", "X-Rejected: 1\r\n"), Outcome::kQueueFull, 503},
      {"rejected with 504", test::http_reply(504, "", "X-Rejected: 1\r\n"), Outcome::kQueueFull, 503},
      {"503 without X-Rejected", test::http_reply(503, ""), Outcome::kError, 503},
      {"404", test::http_reply(404, ""), Outcome::kError, 503},
  };
  for (const Row& row : rows) {
    CAPTURE(row.what);
    PlatformFixture fixture;
    fixture.node0.reply = row.reply;
    fixture.start();
    CHECK(fixture.send_and_wait(fixture.request("a")) == row.status);
    CHECK(outcome(fixture, row.outcome) > 0);
    std::uint64_t total = 0;
    for (const auto n : fixture.scheduler->counts().outcomes) total += n;
    CHECK(total == outcome(fixture, row.outcome));
  }
}

TEST_CASE(
    "platform: a refused connection is kConnectFailed, a close after the last byte kReset, silence "
    "kTimedOut") {
  SUBCASE("connection refused") {
    PlatformFixture fixture;
    fixture.node0.server.stop_listening();
    fixture.start();
    CHECK(fixture.send_and_wait(fixture.request("a")) == 503);
    CHECK(outcome(fixture, Outcome::kConnectFailed) > 0);
    CHECK(outcome(fixture, Outcome::kReset) == 0);
  }
  SUBCASE("close without a reply") {
    PlatformFixture fixture;
    fixture.node0.reply.clear();
    fixture.start();
    fixture.client().send(fixture.request("a"));
    REQUIRE(fixture.run_until([&] { return !fixture.node0.received.empty(); }));
    fixture.node0.received[0].peer->stream.close();
    CHECK(fixture.run_until([&] { return outcome(fixture, Outcome::kReset) == 1; }));
    CHECK(outcome(fixture, Outcome::kConnectFailed) == 0);
  }
  SUBCASE("close after part of a reply") {
    PlatformFixture fixture;
    fixture.node0.reply = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
    fixture.start();
    auto& c = fixture.client();
    c.send(fixture.request("a"));
    REQUIRE(fixture.run_until([&] { return !fixture.node0.received.empty(); }));
    fixture.run_for(0.01);
    fixture.node0.received[0].peer->stream.close();
    CHECK(fixture.run_until([&] { return outcome(fixture, Outcome::kReset) == 1; }));
    CHECK(c.input.find("abc") == std::string::npos);
  }
  SUBCASE("no reply before the timeout") {
    PlatformFixture fixture;
    fixture.node0.reply.clear();
    fixture.start();
    auto& c = fixture.client();
    c.send(fixture.request("a"));
    REQUIRE(fixture.run_until([&] { return !fixture.node0.received.empty(); }));
    const auto* first = fixture.node0.received[0].peer;
    CHECK(fixture.run_until([&] { return first->closed; }));
    CHECK(fixture.run_until([&] { return fixture.status(c) != 0; }));
    CHECK(outcome(fixture, Outcome::kTimedOut) > 0);
    CHECK(fixture.scheduler->node_connections().idle_connections() == 0);
  }
}

TEST_CASE("platform: an invalid reply closes its connection, and no part of it reaches the client") {
  const std::string invalid_replies[] = {
      "\x01\x02noise\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nabcdef",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 6\r\n\r\nabcdef",
      "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabcdef",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
      "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
      "HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 3\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 3\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nA: " + std::string(9000, 'a'),
      "HTTP/1.1 101 Switching\r\n\r\nabc",
      "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\nabc",
  };
  for (const std::string& reply : invalid_replies) {
    CAPTURE(reply.substr(0, 80));
    PlatformFixture fixture;
    fixture.node0.reply = reply;
    fixture.start();
    auto& c = fixture.client();
    c.send(fixture.request("a"));
    REQUIRE(fixture.run_until([&] { return fixture.status(c) != 0; }));
    CHECK(fixture.status(c) == 503);
    CHECK(c.input.find("abc") == std::string::npos);
    CHECK(outcome(fixture, Outcome::kError) > 0);
    CHECK(fixture.scheduler->node_connections().idle_connections() == 0);
  }
}

// Guards against clients that get a part of an answer with status 200: the node's length was too small, and
// the rest of the body behind it was dropped (docs/incidents/reply-cut-by-its-length.md).
TEST_CASE("platform: a reply with a length that is less than its body is not served, but tried again") {
  const auto with_length = [](std::size_t length, const std::string& body) {
    return "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + body;
  };
  const std::string small = "made for this request; the end";
  // The declared end is also the end of the largest read, so that the rest of the body is still unread then.
  std::string large(65536, 'x');
  large.resize(large.size() - with_length(large.size(), "").size());
  const std::string tail = "; the end";
  struct Row {
    const char* what;
    std::string whole;
    std::string cut;
  };
  const Row rows[] = {
      {"9 bytes are missing", small, with_length(small.size() - 9, small)},
      {"all is missing", small, with_length(0, small)},
      {"the rest is still unread", large + tail, with_length(large.size(), large + tail)},
      {"a second copy behind the rest", small,
       with_length(small.size() - 9, small) + with_length(small.size() - 9, small)},
  };
  for (const Row& row : rows) {
    for (const bool write : {false, true}) {
      CAPTURE(row.what);
      CAPTURE(write);
      PlatformFixture fixture;
      fixture.node0.first_replies = {row.cut};
      fixture.node0.reply = test::http_reply(200, row.whole);
      fixture.start();
      auto& c = fixture.client();
      std::string text = fixture.request("a", "Idempotency-Key: k\r\n");
      if (write) text.replace(text.find("read"), 4, "write");
      c.send(text);
      REQUIRE(fixture.run_until([&] { return fixture.status(c) != 0; }));
      fixture.run_for(0.05);
      CHECK(fixture.status(c) == 200);
      CHECK(fixture.body(c) == row.whole);
      CHECK(outcome(fixture, Outcome::kError) == 1);
      CHECK(fixture.scheduler->node_connections().counts().unexpected_data == 1);
      REQUIRE(fixture.node0.received.size() == 2);
      CHECK(fixture.node0.received[0].peer != fixture.node0.received[1].peer);
      CHECK(fixture.node0.received[0].peer->closed);
    }
  }
}

TEST_CASE("platform: a reply with more than a second copy of itself behind it is an error") {
  for (const char* more : {"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nother", "noise", "\r\n", "HTTP/1.1 2",
                           "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nother",
                           "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\ndata"}) {
    CAPTURE(more);
    PlatformFixture fixture;
    fixture.node0.reply = test::http_reply(200, "data") + more;
    fixture.start();
    auto& c = fixture.client();
    c.send(fixture.request("a"));
    REQUIRE(fixture.run_until([&] { return fixture.status(c) != 0; }));
    CHECK(fixture.status(c) == 503);
    CHECK(c.input.find("data") == std::string::npos);
    CHECK(outcome(fixture, Outcome::kError) == fixture.scheduler->counts().dispatched);
    CHECK(fixture.scheduler->node_connections().idle_connections() == 0);
  }
  // A rejection that cannot be trusted either may have executed.
  PlatformFixture fixture;
  fixture.node0.reply = test::http_reply(503, "full", "X-Rejected: 1\r\n") + "noise";
  fixture.start();
  CHECK(fixture.send_and_wait(fixture.request("a")) == 503);
  CHECK(outcome(fixture, Outcome::kQueueFull) == 0);
  CHECK(outcome(fixture, Outcome::kError) == fixture.scheduler->counts().dispatched);
}

TEST_CASE("platform: a reply with a second copy behind it succeeds, but its connection is not reused") {
  const std::string reply = test::http_reply(200, "data", "Volume-Load: 3\r\n");
  const std::string chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n";
  for (const auto& [first, second] :
       {std::pair(reply, reply), std::pair(reply, reply.substr(0, reply.size() - 2)),
        std::pair(reply, reply + reply), std::pair(chunked, chunked),
        std::pair(chunked, chunked.substr(0, chunked.size() - 8))}) {
    CAPTURE(second);
    PlatformFixture fixture;
    fixture.node0.reply = first + second;
    fixture.start();
    for (int i = 0; i < 2; ++i) {
      auto& c = fixture.client();
      c.send(fixture.request("a" + std::to_string(i)));
      REQUIRE(fixture.run_until([&] { return fixture.status(c) != 0; }));
      CHECK(fixture.status(c) == 200);
      CHECK(fixture.body(c) == "data");
    }
    fixture.run_for(0.02);
    CHECK(fixture.node0.server.peers.size() == 2);
    CHECK(fixture.scheduler->node_connections().idle_connections() == 0);
  }
}

TEST_CASE("platform: data that comes after a reply was passed on closes the connection") {
  for (const char* more : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", "noise", "\r\n"}) {
    CAPTURE(more);
    PlatformFixture fixture;
    fixture.start();
    for (int i = 0; i < 2; ++i) {
      auto& c = fixture.client();
      c.send(fixture.request("a" + std::to_string(i)));
      REQUIRE(fixture.run_until([&] { return fixture.status(c) != 0; }));
      CHECK(fixture.status(c) == 200);
      CHECK(fixture.body(c) == "data");
      fixture.node0.received.back().peer->send(more);
    }
    fixture.run_for(0.02);
    CHECK(fixture.node0.server.peers.size() == 2);
    CHECK(fixture.scheduler->node_connections().idle_connections() == 0);
  }
}

TEST_CASE("platform: a reply with a length that is more than its body is not served") {
  const std::string cut = "HTTP/1.1 200 X\r\nContent-Length: 13\r\n\r\ndata";
  PlatformFixture fixture;
  fixture.node0.first_replies = {cut};
  fixture.start();
  auto& c = fixture.client();
  c.send(fixture.request("a"));
  REQUIRE(fixture.run_until([&] { return fixture.node0.received.size() == 1; }));
  int expected_status = 200;  // by a second dispatch
  SUBCASE("the connection stays open") { expected_status = 503; }
  SUBCASE("the connection ends in order") { fixture.node0.received[0].peer->stream.half_close(); }
  SUBCASE("a second copy behind it") { fixture.node0.received[0].peer->send(cut); }
  REQUIRE(fixture.run_until([&] { return fixture.status(c) != 0; }));
  CHECK(fixture.status(c) == expected_status);
  CHECK(fixture.body(c) == (expected_status == 200 ? "data" : ""));
  CHECK(outcome(fixture, Outcome::kSucceeded) == (expected_status == 200 ? 1 : 0));
  CHECK(fixture.node0.received.size() == (expected_status == 200 ? 2 : 1));
}

TEST_CASE("platform: an invalid request is answered with an error and reaches neither Control nor a node") {
  const auto replace = [](std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
  };
  const std::string good = PlatformFixture::request("a");
  const std::string put =
      replace(replace(replace(good, "GET", "PUT"), "read", "write"), "Tier", "Idempotency-Key: k\r\nTier");
  struct Row {
    std::string text;
    int status;
  };
  const Row rows[] = {
      {"noise\r\n\r\n", 400},
      {std::string("\x16\x03\x01\x02", 4), 400},
      {replace(good, "\r\nHost", "\nHost"), 400},
      {replace(good, "Host: app", "Host: app\r\n folded"), 400},
      {replace(good, "Host: app", "Host : app"), 400},
      {replace(good, "HTTP/1.1", "HTTP/3.0"), 400},
      {replace(put, "Host", "Content-Length: 3\r\nContent-Length: 4\r\nHost"), 400},
      {replace(put, "Host", "Content-Length: 3, 4\r\nHost"), 400},
      {replace(put, "Host", "Content-Length: -1\r\nHost"), 400},
      {replace(put, "Host", "Content-Length: +3\r\nHost"), 400},
      {replace(put, "Host", "Content-Length: 99999999999999999999999\r\nHost"), 400},
      {replace(put, "Host", "Content-Length: abc\r\nHost"), 400},
      {replace(put, "Host", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\nHost") + "0\r\n\r\n", 400},
      {replace(put, "Host", "Transfer-Encoding: gzip, chunked\r\nHost") + "0\r\n\r\n", 400},
      {replace(put, "Host", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\nHost") + "0\r\n\r\n",
       400},
      {replace(put, "Host", "Transfer-Encoding: chunked\r\nHost") + "-1\r\n\r\n", 400},
      {replace(put, "Host", "Content-Length: 60000000\r\nHost"), 413},
      {replace(good, "Host", "X: " + std::string(9000, 'a') + "\r\nHost"), 431},
      {replace(good, "X-Call-Id: a\r\n", ""), 400},
      {replace(good, "X-Call-Id: a", "X-Call-Id: a\r\nX-Call-Id: b"), 400},
      {replace(good, "Class: read", "Class: other"), 400},
      {replace(good, "gold", "lead"), 400},
      {replace(good, "GET", "POST"), 400},
      {replace(good, "00000003b4d60021", "3b4d60021"), 400},
      {replace(good, "7f3a9c21e0b4d655", "7f3a9c21e0b4d65g"), 400},
      {replace(good, "7f3a9c21e0b4d655", ""), 400},
      {replace(put, "Idempotency-Key: k\r\n", ""), 400},
      {replace(good, "Ms: 1000", "Ms: soon"), 400},
      {replace(good, "Ms: 1000", "Ms: nan"), 400},
      {replace(good, "Ms: 1000", "Ms: inf"), 400},
      {replace(good, "Ms: 1000", "Ms: -5"), 400},
      {replace(good, "Ms: 1000", "Ms: 0"), 400},
      {replace(good, "units=2", "units=9"), 400},
      {replace(good, "units=2", "units=0"), 400},
      {replace(good, "units=2", "units=x"), 400},
      {replace(good, "shard=0", "shard=2"), 400},
      {replace(good, "shard=0", "shard=-2"), 400},
      {replace(good, "IO-Info", "X-Info"), 400},
  };
  PlatformFixture fixture;
  fixture.start();
  for (const Row& row : rows) {
    CAPTURE(row.text.substr(0, 160));
    CHECK(fixture.send_and_wait(row.text) == row.status);
  }
  CHECK(fixture.scheduler->counts().arrived == 0);
  CHECK(fixture.node0.received.empty());
  // A budget beyond the profile's deadline is valid; the deadline applies.
  CHECK(fixture.send_and_wait(replace(good, "Ms: 1000", "Ms: 99999999")) == 200);
}

TEST_CASE("platform: a call id in use by an open request is rejected, and the open request is not affected") {
  PlatformFixture fixture;
  fixture.node0.reply.clear();
  fixture.start();
  auto& c = fixture.client();
  c.send(fixture.request("a"));
  REQUIRE(fixture.run_until([&] { return !fixture.node0.received.empty(); }));
  CHECK(fixture.send_and_wait(fixture.request("a")) == 409);
  fixture.node0.received[0].peer->send(test::http_reply(200, "first"));
  REQUIRE(fixture.run_until([&] { return fixture.status(c) == 200; }));
  CHECK(fixture.body(c) == "first");
}

TEST_CASE("platform: silent clients and incomplete or trickling requests time out") {
  PlatformFixture fixture;
  fixture.start();
  auto& silent = fixture.client();
  auto& half = fixture.client();
  auto& trickles = fixture.client();
  half.send(fixture.request("a").substr(0, 50));
  const double started_at = fixture.clock.now();
  while (fixture.clock.now() < started_at + 2.95) {
    fixture.run_for(0.05);
    if (!trickles.closed) trickles.send("x");
  }
  CHECK(silent.closed);
  CHECK(half.closed);
  CHECK(fixture.status(half) == 408);
  CHECK(trickles.input.size() + (trickles.closed ? 1 : 0) > 0);
  fixture.run_for(3);
  CHECK(fixture.scheduler->client_server().connection_count() == 0);
}

TEST_CASE("platform: an error reply reaches a client that is still sending") {
  PlatformFixture fixture;
  fixture.start();
  auto& c = fixture.client();
  c.send("PUT /x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  const std::string chunk(1 << 16, 'x');
  for (int i = 0; i < 900 && !c.closed; ++i) {
    if (c.stream.unsent() < (1 << 20)) c.send(chunk);
    fixture.run_once();
  }
  CHECK(fixture.status(c) == 413);
}

TEST_CASE("platform: a request is abandoned when its client closes, also with pipelined bytes unread") {
  for (const bool pipelined : {false, true}) {
    CAPTURE(pipelined);
    PlatformFixture fixture;
    fixture.node0.reply.clear();
    fixture.start();
    auto& c = fixture.client();
    c.send(fixture.request("a") + (pipelined ? fixture.request("b") : ""));
    REQUIRE(fixture.run_until([&] { return !fixture.node0.received.empty(); }));
    fixture.run_for(0.01);
    c.stream.close();
    REQUIRE(fixture.run_until([&] { return fixture.scheduler->counts().abandoned == 1; }));
    CHECK(fixture.scheduler->counts().arrived == 1);
    fixture.node0.received[0].peer->send(test::http_reply(200, "x"));
    CHECK(fixture.run_until([&] { return fixture.scheduler->open_transactions() == 0; }));
    CHECK(fixture.scheduler->counts().succeeded == 0);
  }
}

TEST_CASE("platform: pipelined requests are processed one at a time and answered in order") {
  PlatformFixture fixture;
  fixture.node0.reply.clear();
  fixture.start();
  auto& c = fixture.client();
  c.send(fixture.request("a") + fixture.request("b"));
  REQUIRE(fixture.run_until([&] { return fixture.node0.received.size() == 1; }));
  fixture.run_for(0.02);
  CHECK(fixture.node0.received.size() == 1);
  fixture.node0.received[0].peer->send(test::http_reply(200, "one"));
  REQUIRE(fixture.run_until([&] { return fixture.node0.received.size() == 2; }));
  fixture.node0.received[1].peer->send(test::http_reply(200, "two"));
  REQUIRE(fixture.run_until([&] { return c.input.find("two") != std::string::npos; }));
  CHECK(c.input.find("one") < c.input.find("two"));
}

TEST_CASE("platform: a dispatch on a connection still being established fails when its node drains") {
  PlatformFixture fixture;
  // New connections to a listener with a full backlog stay unestablished.
  Fd full = listen_on({"127.0.0.1", 0}, 0);
  std::vector<Fd> fillers;
  for (int i = 0; i < 4; ++i) fillers.push_back(connect_to(local_address(full.get())));
  fixture.json["known"] = nlohmann::json::parse(
      fixture.update_text(7, true, {fixture.entry_text("s-0", local_address(full.get()), 0)}));
  fixture.start();
  auto& c = fixture.client();
  c.send(fixture.request("a"));
  REQUIRE(fixture.run_until([&] { return fixture.scheduler->counts().dispatched == 1; }));
  CHECK(outcome(fixture, Outcome::kConnectFailed) == 0);
  fixture.discovery.push(fixture.update_text(
      8, false, {fixture.entry_text("s-0", local_address(full.get()), 0, "Terminating")}));
  REQUIRE(fixture.run_until([&] { return outcome(fixture, Outcome::kConnectFailed) == 1; }, 0.2));
  fixture.run_for(1.5);
  CHECK(fixture.scheduler->counts().dispatched == 1);
  CHECK(fixture.status(c) == 503);
}

TEST_CASE("platform: a drain serves open connections with deadlines that end before it does") {
  PlatformFixture fixture;
  fixture.start();
  auto& kept = fixture.client();
  kept.send(fixture.request("a"));
  REQUIRE(fixture.run_until([&] { return fixture.status(kept) == 200; }));
  bool done = false;
  const double started_at = fixture.clock.now();
  fixture.scheduler->drain([&] { done = true; });
  auto& new_client = fixture.client();
  new_client.send(fixture.request("b"));
  CHECK(fixture.run_until([&] { return fixture.status(new_client) == 200; }));
  fixture.run_for(1.0);
  CHECK(!kept.closed);
  kept.input.clear();
  kept.send(fixture.request("c"));
  CHECK(fixture.run_until([&] { return fixture.status(kept) == 200; }));
  CHECK(kept.input.find("Connection: close") == std::string::npos);
  Fd late = connect_to(fixture.address);  // no longer accepted
  fixture.run_for(0.05);
  CHECK((!late || socket_error(late.get()) != 0));
  // A request without a node's reply is still answered before the end.
  fixture.node0.reply.clear();
  kept.input.clear();
  kept.send(fixture.request("d"));
  REQUIRE(fixture.run_until([&] { return done; }));
  CHECK(fixture.status(kept) != 0);
  CHECK(fixture.clock.now() < started_at + 2.0 + 0.7);  // the longest deadline is 2 s
  CHECK(fixture.scheduler->open_transactions() == 0);
}

TEST_CASE("platform: no client delays the end of a drain, whether it stops reading or stays connected") {
  PlatformFixture fixture;
  fixture.node0.reply = test::http_reply(200, std::string(60000, 'x'));
  fixture.start();
  auto& c = fixture.client();
  fixture.run_for(0.01);
  c.stream.pause(true);
  const int buffer_bytes = 2048;
  test::for_each_socket([&](int fd) {
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  });
  for (int i = 0; i < 20; ++i) c.send(fixture.request("a" + std::to_string(i)));
  REQUIRE(fixture.run_until([&] { return fixture.scheduler->counts().succeeded > 0; }));
  bool done = false;
  const double started_at = fixture.clock.now();
  fixture.scheduler->drain([&] { done = true; });
  auto& stays = fixture.client();
  stays.send(fixture.request("b"));
  REQUIRE(fixture.run_until([&] { return fixture.status(stays) == 200; }));
  fixture.run_for(2.25);
  // Answered at the end of the drain, this client never closes its connection.
  stays.stream.pause(true);
  fixture.node0.reply.clear();
  stays.send(fixture.request("c"));
  CHECK(fixture.run_until([&] { return done; }));
  CHECK(fixture.clock.now() < started_at + 2.0 + 0.7 + 0.5);  // the longest deadline is 2 s
}

TEST_CASE("platform: the deadline of a pipelined request runs from its arrival, not from when it is read") {
  PlatformFixture fixture;
  fixture.node0.reply.clear();
  fixture.start();
  auto& c = fixture.client();
  c.send(fixture.request("a") + fixture.request("b"));
  REQUIRE(fixture.run_until([&] { return fixture.node0.received.size() == 1; }));
  fixture.run_for(0.3);
  fixture.node0.received[0].peer->send(test::http_reply(200, "x"));
  REQUIRE(fixture.run_until([&] { return fixture.node0.received.size() == 2; }));
  CHECK(std::stod(*fixture.node0.received[1].request.find_field("X-Budget-Ms")) <= 710);  // of 1000
  // A later request that is not pipelined has its full budget.
  fixture.node0.received[1].peer->send(test::http_reply(200, "x"));
  fixture.run_for(0.3);
  c.send(fixture.request("d"));
  REQUIRE(fixture.run_until([&] { return fixture.node0.received.size() == 3; }));
  CHECK(std::stod(*fixture.node0.received[2].request.find_field("X-Budget-Ms")) > 710);
}

TEST_CASE("platform: a close before the last byte is written is kConnectFailed") {
  PlatformFixture fixture;
  const int buffer_bytes = 2048;
  const auto shrink_buffers = [&](int fd) {
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  };
  test::for_each_socket(
      shrink_buffers,
      fixture.node0.server.address.port);  // accepted sockets inherit the listener's buffer sizes
  fixture.start();
  REQUIRE(fixture.send_and_wait(fixture.request("a")) == 200);
  fixture.pass_reuse_delay();
  test::for_each_socket(shrink_buffers, fixture.node0.server.address.port);
  fixture.node0.received[0].peer->stream.pause(true);
  fixture.node0.server.stop_listening();
  fixture.client().send(
      "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app\r\nX-Call-Id: w\r\n"
      "X-Call-Class: write\r\nTier: gold\r\nX-Budget-Ms: 1000\r\nIO-Info: units=2,shard=0,hosts=1\r\n"
      "Idempotency-Key: k\r\nContent-Length: 65536\r\n\r\n" +
      std::string(65536, 'x'));
  REQUIRE(fixture.run_until([&] { return fixture.scheduler->counts().dispatched == 2; }));
  fixture.run_for(0.02);
  CHECK(outcome(fixture, Outcome::kConnectFailed) == 0);
  fixture.node0.received[0].peer->stream.close();
  REQUIRE(fixture.run_until([&] { return outcome(fixture, Outcome::kConnectFailed) > 0; }, 0.2));
  CHECK(outcome(fixture, Outcome::kReset) == 0);
}

TEST_CASE("platform: a reloaded discovery address is requested at once, from the known version") {
  PlatformFixture fixture;
  fixture.start();
  REQUIRE(fixture.discovery.requests.size() == 1);
  CHECK(fixture.discovery.requests[0] == "GET /v1/servers?follow=1&since=7");
  test::ScriptedDiscovery other(fixture.loop);
  fixture.json["discovery"] = other.server.address.to_string();
  fixture.scheduler->reload(fixture.config());
  REQUIRE(fixture.run_until([&] { return other.requests.size() == 1; }));
  other.push(fixture.update_text(8, false, {fixture.entry_text("s-0", fixture.node1.server.address, 0)}));
  fixture.run_for(0.05);
  CHECK(fixture.send_and_wait(fixture.request("a")) == 200);
  CHECK(fixture.node1.received.size() == 1);  // the same node at its new address
  CHECK(fixture.scheduler->node_count() == 2);
  fixture.json["seed"] = "no";
  CHECK_THROWS_AS(fixture.config(), platform::ConfigError);
  fixture.json["seed"] = "0";
  fixture.scheduler->reload(fixture.config());  // the same address: no new request
  fixture.run_for(0.1);
  CHECK(other.requests.size() == 1);
}

TEST_CASE("platform: a watch that is silent, closed or invalid is requested again") {
  PlatformFixture fixture;
  SUBCASE("silent") {
    fixture.start();
    // An update must take effect within 6 s, although the watch is silent.
    const double started_at = fixture.clock.now();
    fixture.discovery.first_line = fixture.update_text(
        8, false, {fixture.entry_text("s-0", fixture.node0.server.address, 0, "Terminating")});
    CHECK(fixture.run_until([&] { return fixture.discovery.requests.size() == 2; }, 9));
    fixture.run_for(0.05);
    CHECK(fixture.clock.now() < started_at + 4.0);
    CHECK(fixture.send_and_wait(fixture.request("a")) == 503);
    CHECK(fixture.node0.received.empty());
  }
  SUBCASE("closed") {
    fixture.start();
    fixture.discovery.server.peers.back()->stream.close();
    CHECK(fixture.run_until([&] { return fixture.discovery.requests.size() == 2; }, 3));
  }
  SUBCASE("no response") {
    fixture.discovery.responds = false;
    fixture.start();
    CHECK(fixture.run_until([&] { return fixture.discovery.requests.size() == 2; }, 4));
  }
  SUBCASE("invalid line: the full list is requested") {
    fixture.start();
    fixture.discovery.push("{\"generation\":");
    CHECK(fixture.run_until([&] { return fixture.discovery.requests.size() == 2; }, 3));
    CHECK(fixture.discovery.requests.back() == "GET /v1/servers?follow=1");
  }
  SUBCASE("incomplete line: its complete entries apply, its version does not") {
    fixture.start();
    const std::string complete_line =
        fixture.update_text(8, false,
                            {fixture.entry_text("s-0", fixture.node0.server.address, 0, "Terminating"),
                             fixture.entry_text("s-1", fixture.node1.server.address, 1, "Terminating")});
    auto& peer = *fixture.discovery.server.peers.back();
    const std::string part = complete_line.substr(0, complete_line.size() - 20);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    peer.send(size + part + "\r\n");
    fixture.run_for(0.05);
    CHECK(fixture.send_and_wait(fixture.request("a", "", 0)) == 503);
    CHECK(fixture.node0.received.empty());
    CHECK(fixture.send_and_wait(fixture.request("b", "", 1)) == 200);
    peer.stream.close();
    CHECK(fixture.run_until([&] { return fixture.discovery.requests.size() == 2; }, 3));
    CHECK(fixture.discovery.requests.back() == "GET /v1/servers?follow=1&since=7");
  }
  SUBCASE("empty lines keep the watch alive") {
    fixture.start();
    for (int i = 0; i < 6; ++i) {
      fixture.run_for(2);
      fixture.discovery.push("");
    }
    CHECK(fixture.discovery.requests.size() == 1);
  }
  SUBCASE("an invalid entry is skipped, the others apply") {
    fixture.start();
    fixture.discovery.push(
        fixture.update_text(8, false,
                            {fixture.entry_text("s-9", fixture.node0.server.address, 0, "Napping"),
                             fixture.entry_text("s-0", fixture.node0.server.address, 0, "Terminating")}));
    fixture.run_for(0.05);
    CHECK(fixture.scheduler->node_count() == 2);
    CHECK(fixture.send_and_wait(fixture.request("a")) == 503);
  }
}

// Guards against lists with a Content-Length being refused, and against a cut list passing for a whole one
// (docs/incidents/list-with-a-length-refused.md).
TEST_CASE("platform: a list cut off by its length, or sent twice, takes effect by whole lines and entries") {
  PlatformFixture fixture;
  const std::string list =
      fixture.update_text(8, false,
                          {fixture.entry_text("s-0", fixture.node0.server.address, 0, "Terminating"),
                           fixture.entry_text("s-1", fixture.node1.server.address, 1, "Terminating")}) +
      "\n";
  const auto with_length = [&](std::size_t length) {
    return "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + list;
  };
  fixture.discovery.first_line = list.substr(0, list.size() - 1);
  std::string next_request = "GET /v1/servers?follow=1&since=7";
  SUBCASE("cut off within the second entry") {
    fixture.discovery.first_response = with_length(list.size() - 20);
  }
  SUBCASE("cut off before its line ends") { fixture.discovery.first_response = with_length(list.size() - 1); }
  SUBCASE("sent twice") {
    fixture.discovery.first_response = with_length(list.size()) + with_length(list.size());
    next_request = "GET /v1/servers?follow=1&since=8";
  }
  fixture.start();
  CHECK(fixture.send_and_wait(fixture.request("a", "", 0)) == 503);  // its entry was complete
  REQUIRE(fixture.run_until([&] { return fixture.discovery.requests.size() == 2; }, 3));
  CHECK(fixture.discovery.requests.back() == next_request);
  fixture.run_for(0.05);
  CHECK(fixture.send_and_wait(fixture.request("b", "", 1)) == 503);
  CHECK(fixture.node0.received.empty());
  CHECK(fixture.node1.received.empty());
}

TEST_CASE("platform: a thousand node ids and ten thousand connections leak nothing") {
  const auto open_descriptors = [] {
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& e : std::filesystem::directory_iterator("/proc/self/fd")) ++n;
    return n;
  };
  PlatformFixture fixture;
  fixture.start();
  CHECK(fixture.send_and_wait(fixture.request("first")) == 200);
  fixture.clients.clear();
  fixture.run_for(0.05);
  const auto before = open_descriptors();
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "n-" + std::to_string(i);
    const std::string last = "n-" + std::to_string(i - 1);
    fixture.discovery.push(
        fixture.update_text(8 + i, false,
                            {fixture.entry_text(id, fixture.node1.server.address, 1),
                             fixture.entry_text(last, fixture.node1.server.address, 1, "Gone")}));
    fixture.run_for(0.03);
  }
  CHECK(fixture.scheduler->node_count() < 400);  // those within the retention of 10 s
  for (int i = 0; i < 10000; ++i) {
    fixture.clients.push_back(std::make_unique<test::Peer>(fixture.loop, connect_to(fixture.address), true));
    if (i % 50 == 0) fixture.clients.back()->send(fixture.request("c" + std::to_string(i)));
    if (fixture.clients.size() == 50) {
      fixture.run_for(0.02);
      fixture.clients.clear();
    }
  }
  fixture.clients.clear();
  fixture.run_for(0.2);
  CHECK(fixture.scheduler->client_server().connection_count() == 0);
  CHECK(fixture.scheduler->open_transactions() == 0);
  // Idle connections to nodes are closed in time; `before` includes one.
  CHECK(fixture.run_until([&] { return fixture.scheduler->node_connections().idle_connections() == 0; }, 16));
  fixture.run_for(0.05);
  CHECK(open_descriptors() <= before);
}

TEST_CASE("platform: idle clients that use all descriptors are evicted for a new client") {
  PlatformFixture fixture(96);
  fixture.start();
  for (int i = 0; i < 100; ++i) fixture.client();
  fixture.run_for(0.05);
  CHECK(fixture.send_and_wait(fixture.request("a")) == 200);
  CHECK(fixture.scheduler->client_server().connection_count() <= 36);
  CHECK(fixture.scheduler->client_server().counts().evicted > 0);
}
