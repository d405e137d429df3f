// The platform's front on sockets: the way of a transaction, outcomes, bad clients, bad answers, restarts.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "rig.h"

using namespace heronworks;
using heronworks::test::PlatformRig;

namespace {

std::uint64_t outcome(const PlatformRig& rig, Outcome o) {
  return rig.scheduler->counts().outcomes[static_cast<std::size_t>(o)];
}

}  // namespace

TEST_CASE("platform: a read goes to its shard's node as it came, and its whole answer to the client") {
  PlatformRig rig;
  rig.node1.reply =
      test::answer_text(200, std::string("a\0b", 3), "Volume-Load: 0\r\nX-Load-Report: TEXT queue=?\r\n");
  rig.start();
  auto& c = rig.client();
  c.send(rig.request("9b1f03aa5c7e2d41", "X-Other: 1\r\nConnection: keep-alive\r\n", 1));
  REQUIRE(rig.until([&] { return rig.status(c) == 200; }));
  CHECK(rig.body(c) == std::string("a\0b", 3));
  CHECK(rig.node0.came.empty());
  REQUIRE(rig.node1.came.size() == 1);
  const auto& r = rig.node1.came[0].request;
  CHECK(r.method == "GET");
  CHECK(r.target == "/api/00000003b4d60021/7f3a9c21e0b4d655");
  CHECK(*r.find_field("X-Call-Id") == "9b1f03aa5c7e2d41");
  CHECK(r.find_field("Connection") == nullptr);
  CHECK(std::stod(*r.find_field("X-Budget-Ms")) <= 1000);
  rig.until([&] { return rig.scheduler->open() == 0; });
  CHECK(rig.scheduler->open() == 0);
}

TEST_CASE(
    "platform: a write passes on body and label, and a second one takes the same connection to its node") {
  PlatformRig rig;
  rig.start();
  auto& c = rig.client();
  for (int i = 0; i < 2; ++i) {
    c.in.clear();
    c.send("PUT /a/b/00000003b4d60021/7f3a9c21e0b4d655?x=1 HTTP/1.1\r\nHost: app\r\nX-Call-Id: w" +
           std::to_string(i) +
           "\r\nX-Call-Class: write\r\nTier: gold\r\nX-Budget-Ms: 900.5\r\nIO-Info: hosts=1, shard=0, "
           "units=1\r\n"
           "Idempotency-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    REQUIRE(rig.until([&] { return rig.status(c) == 200; }));
    rig.run(0.04);  // a connection rests that long before it is used again
  }
  REQUIRE(rig.node0.came.size() == 2);
  CHECK(rig.node0.came[1].request.body == "abcde");
  CHECK(rig.node0.came[1].request.target == "/a/b/00000003b4d60021/7f3a9c21e0b4d655?x=1");
  CHECK(*rig.node0.came[1].request.find_field("Idempotency-Key") == "k1");
  CHECK(rig.node0.server.peers.size() == 1);
  CHECK(rig.scheduler->pool().counts().reused == 1);
}

TEST_CASE("platform: what comes back from a node is the outcome of the platform's table") {
  struct Row {
    const char* what;
    std::string reply;
    Outcome outcome;
    int status;  // of the client's answer; a redoable one may go again, and fails again here
  };
  const Row rows[] = {
      {"served", test::answer_text(200, "x"), Outcome::kSucceeded, 200},
      {"1xx in front", "HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 100 C\r\n\r\n" + test::answer_text(200, "x"),
       Outcome::kSucceeded, 200},
      {"error", test::answer_text(500, "oops"), Outcome::kError, 503},
      {"turned away", test::answer_text(503, "", "X-Rejected: 1\r\n"), Outcome::kQueueFull, 503},
      {"turned away by time", test::answer_text(504, "", "X-Rejected: 1\r\n"), Outcome::kQueueFull, 503},
      {"503 of its own", test::answer_text(503, ""), Outcome::kError, 503},
      {"404", test::answer_text(404, ""), Outcome::kError, 503},
  };
  for (const Row& row : rows) {
    CAPTURE(row.what);
    PlatformRig rig;
    rig.node0.reply = row.reply;
    rig.start();
    CHECK(rig.ask(rig.request("a")) == row.status);
    CHECK(outcome(rig, row.outcome) > 0);
    std::uint64_t others = 0;
    for (const auto n : rig.scheduler->counts().outcomes) others += n;
    CHECK(others == outcome(rig, row.outcome));
  }
}

TEST_CASE(
    "platform: a refused connection never ran, a break behind the last byte may have, silence is closed "
    "first") {
  SUBCASE("refused") {
    PlatformRig rig;
    rig.node0.server.down();
    rig.start();
    CHECK(rig.ask(rig.request("a")) == 503);
    CHECK(outcome(rig, Outcome::kConnectFailed) > 0);
    CHECK(outcome(rig, Outcome::kReset) == 0);
  }
  SUBCASE("break") {
    PlatformRig rig;
    rig.node0.reply.clear();
    rig.start();
    rig.client().send(rig.request("a"));
    REQUIRE(rig.until([&] { return !rig.node0.came.empty(); }));
    rig.node0.came[0].peer->stream.close();
    CHECK(rig.until([&] { return outcome(rig, Outcome::kReset) == 1; }));
    CHECK(outcome(rig, Outcome::kConnectFailed) == 0);
  }
  SUBCASE("part of an answer, then the end") {
    PlatformRig rig;
    rig.node0.reply = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
    rig.start();
    auto& c = rig.client();
    c.send(rig.request("a"));
    REQUIRE(rig.until([&] { return !rig.node0.came.empty(); }));
    rig.run(0.01);
    rig.node0.came[0].peer->stream.close();
    CHECK(rig.until([&] { return outcome(rig, Outcome::kReset) == 1; }));
    CHECK(c.in.find("abc") == std::string::npos);
  }
  SUBCASE("silence") {
    PlatformRig rig;
    rig.node0.reply.clear();
    rig.start();
    auto& c = rig.client();
    c.send(rig.request("a"));
    REQUIRE(rig.until([&] { return !rig.node0.came.empty(); }));
    const auto* first = rig.node0.came[0].peer;
    CHECK(rig.until([&] { return first->gone; }));
    CHECK(rig.until([&] { return rig.status(c) != 0; }));
    CHECK(outcome(rig, Outcome::kTimedOut) > 0);
    CHECK(rig.scheduler->pool().idle() == 0);
  }
}

TEST_CASE("platform: answers that can't be used end their connection and nothing of them reaches a client") {
  const std::string spoilt[] = {
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
  for (const std::string& s : spoilt) {
    CAPTURE(s.substr(0, 80));
    PlatformRig rig;
    rig.node0.reply = s;
    rig.start();
    auto& c = rig.client();
    c.send(rig.request("a"));
    REQUIRE(rig.until([&] { return rig.status(c) != 0; }));
    CHECK(rig.status(c) == 503);
    CHECK(c.in.find("abc") == std::string::npos);
    CHECK(outcome(rig, Outcome::kError) > 0);
    CHECK(rig.scheduler->pool().idle() == 0);
  }
}

TEST_CASE(
    "platform: a good answer that brings more than is its own counts, its connection is not used again") {
  for (const char* more : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", "noise", "\r\n"}) {
    CAPTURE(more);
    PlatformRig rig;
    rig.start();
    SUBCASE("at once") { rig.node0.reply = test::answer_text(200, "data") + more; }
    SUBCASE("later") { rig.node0.reply = test::answer_text(200, "data"); }
    const bool later = rig.node0.reply.size() < 60;
    for (int i = 0; i < 2; ++i) {
      auto& c = rig.client();
      c.send(rig.request("a" + std::to_string(i)));
      REQUIRE(rig.until([&] { return rig.status(c) != 0; }));
      CHECK(rig.status(c) == 200);
      CHECK(rig.body(c) == "data");
      if (later) rig.node0.came.back().peer->send(more);
    }
    rig.run(0.02);
    CHECK(rig.node0.server.peers.size() == 2);
    CHECK(rig.scheduler->pool().idle() == 0);
  }
}

TEST_CASE("platform: what can't be read or taken gets its error, ends, and reaches neither module nor node") {
  const auto without = [](std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
  };
  const std::string good = PlatformRig::request("a");
  const std::string put =
      without(without(without(good, "GET", "PUT"), "read", "write"), "Tier", "Idempotency-Key: k\r\nTier");
  struct Row {
    std::string text;
    int status;
  };
  const Row rows[] = {
      {"noise\r\n\r\n", 400},
      {std::string("\x16\x03\x01\x02", 4), 400},
      {without(good, "\r\nHost", "\nHost"), 400},
      {without(good, "Host: app", "Host: app\r\n folded"), 400},
      {without(good, "Host: app", "Host : app"), 400},
      {without(good, "HTTP/1.1", "HTTP/3.0"), 400},
      {without(put, "Host", "Content-Length: 3\r\nContent-Length: 4\r\nHost"), 400},
      {without(put, "Host", "Content-Length: 3, 4\r\nHost"), 400},
      {without(put, "Host", "Content-Length: -1\r\nHost"), 400},
      {without(put, "Host", "Content-Length: +3\r\nHost"), 400},
      {without(put, "Host", "Content-Length: 99999999999999999999999\r\nHost"), 400},
      {without(put, "Host", "Content-Length: abc\r\nHost"), 400},
      {without(put, "Host", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\nHost") + "0\r\n\r\n", 400},
      {without(put, "Host", "Transfer-Encoding: gzip, chunked\r\nHost") + "0\r\n\r\n", 400},
      {without(put, "Host", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\nHost") + "0\r\n\r\n",
       400},
      {without(put, "Host", "Transfer-Encoding: chunked\r\nHost") + "-1\r\n\r\n", 400},
      {without(put, "Host", "Content-Length: 60000000\r\nHost"), 413},
      {without(good, "Host", "X: " + std::string(9000, 'a') + "\r\nHost"), 431},
      {without(good, "X-Call-Id: a\r\n", ""), 400},
      {without(good, "X-Call-Id: a", "X-Call-Id: a\r\nX-Call-Id: b"), 400},
      {without(good, "Class: read", "Class: other"), 400},
      {without(good, "gold", "lead"), 400},
      {without(good, "GET", "POST"), 400},
      {without(good, "00000003b4d60021", "3b4d60021"), 400},
      {without(good, "7f3a9c21e0b4d655", "7f3a9c21e0b4d65g"), 400},
      {without(good, "7f3a9c21e0b4d655", ""), 400},
      {without(put, "Idempotency-Key: k\r\n", ""), 400},
      {without(good, "Ms: 1000", "Ms: soon"), 400},
      {without(good, "Ms: 1000", "Ms: nan"), 400},
      {without(good, "Ms: 1000", "Ms: inf"), 400},
      {without(good, "Ms: 1000", "Ms: -5"), 400},
      {without(good, "Ms: 1000", "Ms: 0"), 400},
      {without(good, "units=2", "units=9"), 400},
      {without(good, "units=2", "units=0"), 400},
      {without(good, "units=2", "units=x"), 400},
      {without(good, "shard=0", "shard=2"), 400},
      {without(good, "shard=0", "shard=-2"), 400},
      {without(good, "IO-Info", "X-Info"), 400},
  };
  PlatformRig rig;
  rig.start();
  for (const Row& row : rows) {
    CAPTURE(row.text.substr(0, 160));
    CHECK(rig.ask(row.text) == row.status);
  }
  CHECK(rig.scheduler->counts().landed == 0);
  CHECK(rig.node0.came.empty());
  // A client that has long to wait may say so: what counts is the cut-off.
  CHECK(rig.ask(without(good, "Ms: 1000", "Ms: 99999999")) == 200);
}

TEST_CASE("platform: an id that is open for somebody else is refused, and that one goes on untouched") {
  PlatformRig rig;
  rig.node0.reply.clear();
  rig.start();
  auto& c = rig.client();
  c.send(rig.request("a"));
  REQUIRE(rig.until([&] { return !rig.node0.came.empty(); }));
  CHECK(rig.ask(rig.request("a")) == 409);
  rig.node0.came[0].peer->send(test::answer_text(200, "mine"));
  REQUIRE(rig.until([&] { return rig.status(c) == 200; }));
  CHECK(rig.body(c) == "mine");
}

TEST_CASE(
    "platform: silence, heads that never end and half requests are closed by time, however they trickle") {
  PlatformRig rig;
  rig.start();
  auto& silent = rig.client();
  auto& half = rig.client();
  auto& trickles = rig.client();
  half.send(rig.request("a").substr(0, 50));
  const double began = rig.clock.now();
  while (rig.clock.now() < began + 2.95) {
    rig.run(0.05);
    if (!trickles.gone) trickles.send("x");
  }
  CHECK(silent.gone);
  CHECK(half.gone);
  CHECK(rig.status(half) == 408);
  CHECK(trickles.in.size() + (trickles.gone ? 1 : 0) > 0);
  rig.run(3);
  CHECK(rig.scheduler->front().clients() == 0);
}

TEST_CASE("platform: the error arrives although its client goes on sending") {
  PlatformRig rig;
  rig.start();
  auto& c = rig.client();
  c.send("PUT /x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  const std::string piece(1 << 16, 'x');
  for (int i = 0; i < 900 && !c.gone; ++i) {
    if (c.stream.unsent() < (1 << 20)) c.send(piece);
    rig.turn();
  }
  CHECK(rig.status(c) == 413);
}

TEST_CASE(
    "platform: a client that closes is abandoned, also behind pipelined bytes; its answer goes nowhere") {
  for (const bool pipelined : {false, true}) {
    CAPTURE(pipelined);
    PlatformRig rig;
    rig.node0.reply.clear();
    rig.start();
    auto& c = rig.client();
    c.send(rig.request("a") + (pipelined ? rig.request("b") : ""));
    REQUIRE(rig.until([&] { return !rig.node0.came.empty(); }));
    rig.run(0.01);
    c.stream.close();
    REQUIRE(rig.until([&] { return rig.scheduler->counts().abandoned == 1; }));
    CHECK(rig.scheduler->counts().landed == 1);
    rig.node0.came[0].peer->send(test::answer_text(200, "x"));
    CHECK(rig.until([&] { return rig.scheduler->open() == 0; }));
    CHECK(rig.scheduler->counts().honoured == 0);
  }
}

TEST_CASE("platform: pipelined requests are answered in order, one open at a time") {
  PlatformRig rig;
  rig.node0.reply.clear();
  rig.start();
  auto& c = rig.client();
  c.send(rig.request("a") + rig.request("b"));
  REQUIRE(rig.until([&] { return rig.node0.came.size() == 1; }));
  rig.run(0.02);
  CHECK(rig.node0.came.size() == 1);
  rig.node0.came[0].peer->send(test::answer_text(200, "one"));
  REQUIRE(rig.until([&] { return rig.node0.came.size() == 2; }));
  rig.node0.came[1].peer->send(test::answer_text(200, "two"));
  REQUIRE(rig.until([&] { return c.in.find("two") != std::string::npos; }));
  CHECK(c.in.find("one") < c.in.find("two"));
}

TEST_CASE("platform: a dispatch whose connection is still coming up when its node drains is taken back") {
  PlatformRig rig;
  // A listener whose queue is full leaves connections coming up for long.
  Fd full = listen_on({"127.0.0.1", 0}, 0);
  std::vector<Fd> fillers;
  for (int i = 0; i < 4; ++i) fillers.push_back(connect_to(local_address(full.get())));
  rig.json["known"] =
      nlohmann::json::parse(rig.news(7, true, {rig.entry("s-0", local_address(full.get()), 0)}));
  rig.start();
  auto& c = rig.client();
  c.send(rig.request("a"));
  REQUIRE(rig.until([&] { return rig.scheduler->counts().dispatched == 1; }));
  CHECK(outcome(rig, Outcome::kConnectFailed) == 0);
  rig.discovery.tell(rig.news(8, false, {rig.entry("s-0", local_address(full.get()), 0, "Terminating")}));
  REQUIRE(rig.until([&] { return outcome(rig, Outcome::kConnectFailed) == 1; }, 0.2));
  rig.run(1.5);
  CHECK(rig.scheduler->counts().dispatched == 1);
  CHECK(rig.status(c) == 503);
}

TEST_CASE("platform: told to stop, it serves on what is open, gives no more time than is left, and ends") {
  PlatformRig rig;
  rig.start();
  auto& kept = rig.client();
  kept.send(rig.request("a"));
  REQUIRE(rig.until([&] { return rig.status(kept) == 200; }));
  bool done = false;
  const double began = rig.clock.now();
  rig.scheduler->drain([&] { done = true; });
  auto& crossing = rig.client();
  crossing.send(rig.request("b"));
  CHECK(rig.until([&] { return rig.status(crossing) == 200; }));
  rig.run(1.0);
  CHECK(!kept.gone);
  kept.in.clear();
  kept.send(rig.request("c"));
  CHECK(rig.until([&] { return rig.status(kept) == 200; }));
  CHECK(kept.in.find("Connection: close") == std::string::npos);
  Fd late = connect_to(rig.address);  // refused by now
  rig.run(0.05);
  CHECK((!late || socket_error(late.get()) != 0));
  // One that no node answers is answered before the end all the same.
  rig.node0.reply.clear();
  kept.in.clear();
  kept.send(rig.request("d"));
  REQUIRE(rig.until([&] { return done; }));
  CHECK(rig.status(kept) != 0);
  CHECK(rig.clock.now() < began + 2.0 + 0.7);  // the longest cut-off here is 2 s
  CHECK(rig.scheduler->open() == 0);
}

TEST_CASE("platform: no client holds up the end, neither one that reads nothing nor one that stays") {
  PlatformRig rig;
  rig.node0.reply = test::answer_text(200, std::string(60000, 'x'));
  rig.start();
  auto& c = rig.client();
  rig.run(0.01);
  c.stream.pause(true);
  const int small = 2048;
  test::each_socket([&](int fd) {
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  });
  for (int i = 0; i < 20; ++i) c.send(rig.request("a" + std::to_string(i)));
  REQUIRE(rig.until([&] { return rig.scheduler->counts().honoured > 0; }));
  bool done = false;
  const double began = rig.clock.now();
  rig.scheduler->drain([&] { done = true; });
  auto& stays = rig.client();
  stays.send(rig.request("b"));
  REQUIRE(rig.until([&] { return rig.status(stays) == 200; }));
  rig.run(2.25);
  // Answered in the drain's last moments, it never closes its connection.
  stays.stream.pause(true);
  rig.node0.reply.clear();
  stays.send(rig.request("c"));
  CHECK(rig.until([&] { return done; }));
  CHECK(rig.clock.now() < began + 2.0 + 0.7 + 0.5);  // 2 s is the longest cut-off; nothing is left to answer
}

TEST_CASE("platform: the time of a pipelined request runs from when it came, not from when it is read") {
  PlatformRig rig;
  rig.node0.reply.clear();
  rig.start();
  auto& c = rig.client();
  c.send(rig.request("a") + rig.request("b"));
  REQUIRE(rig.until([&] { return rig.node0.came.size() == 1; }));
  rig.run(0.3);
  rig.node0.came[0].peer->send(test::answer_text(200, "x"));
  REQUIRE(rig.until([&] { return rig.node0.came.size() == 2; }));
  CHECK(std::stod(*rig.node0.came[1].request.find_field("X-Budget-Ms")) <= 710);  // of 1000
  // One that comes alone afterwards has its whole time again.
  rig.node0.came[1].peer->send(test::answer_text(200, "x"));
  rig.run(0.3);
  c.send(rig.request("d"));
  REQUIRE(rig.until([&] { return rig.node0.came.size() == 3; }));
  CHECK(std::stod(*rig.node0.came[2].request.find_field("X-Budget-Ms")) > 710);
}

TEST_CASE("platform: a break before the last byte was handed to the system is no connection") {
  PlatformRig rig;
  const int small = 2048;
  const auto shrink = [&](int fd) {
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  };
  test::each_socket(shrink,
                    rig.node0.server.address.port);  // its listener: what it accepts has as little room
  rig.start();
  REQUIRE(rig.ask(rig.request("a")) == 200);
  rig.run(0.04);  // its connection has rested: the next one is written to it
  test::each_socket(shrink, rig.node0.server.address.port);
  rig.node0.came[0].peer->stream.pause(true);
  rig.node0.server.down();
  rig.client().send(
      "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app\r\nX-Call-Id: w\r\n"
      "X-Call-Class: write\r\nTier: gold\r\nX-Budget-Ms: 1000\r\nIO-Info: units=2,shard=0,hosts=1\r\n"
      "Idempotency-Key: k\r\nContent-Length: 65536\r\n\r\n" +
      std::string(65536, 'x'));
  REQUIRE(rig.until([&] { return rig.scheduler->counts().dispatched == 2; }));
  rig.run(0.02);
  CHECK(outcome(rig, Outcome::kConnectFailed) == 0);
  rig.node0.came[0].peer->stream.close();
  REQUIRE(rig.until([&] { return outcome(rig, Outcome::kConnectFailed) > 0; }, 0.2));
  CHECK(outcome(rig, Outcome::kReset) == 0);
}

TEST_CASE("platform: a new configuration's discovery is asked at once, from what is known") {
  PlatformRig rig;
  rig.start();
  REQUIRE(rig.discovery.asked.size() == 1);
  CHECK(rig.discovery.asked[0] == "GET /v1/servers?follow=1&since=7");
  test::ScriptDiscovery other(rig.loop);
  rig.json["discovery"] = other.server.address.to_string();
  rig.scheduler->reload(rig.config());
  REQUIRE(rig.until([&] { return other.asked.size() == 1; }));
  other.tell(rig.news(8, false, {rig.entry("s-0", rig.node1.server.address, 0)}));
  rig.run(0.05);
  CHECK(rig.ask(rig.request("a")) == 200);
  CHECK(rig.node1.came.size() == 1);  // the address is new, the node is the same
  CHECK(rig.scheduler->nodes() == 2);
  rig.json["seed"] = "no";
  CHECK_THROWS_AS(rig.config(), platform::ConfigFault);
  rig.json["seed"] = "0";
  rig.scheduler->reload(rig.config());  // the same address: nothing is asked again
  rig.run(0.1);
  CHECK(other.asked.size() == 1);
}

TEST_CASE("platform: a watch that goes silent, ends or can't be read is asked for again") {
  PlatformRig rig;
  SUBCASE("silent") {
    rig.start();
    // What changes meanwhile counts as told after 6 s: by then it must have been asked for, and be heard.
    const double began = rig.clock.now();
    rig.discovery.first = rig.news(8, false, {rig.entry("s-0", rig.node0.server.address, 0, "Terminating")});
    CHECK(rig.until([&] { return rig.discovery.asked.size() == 2; }, 9));
    rig.run(0.05);
    CHECK(rig.clock.now() < began + 4.0);
    CHECK(rig.ask(rig.request("a")) == 503);
    CHECK(rig.node0.came.empty());
  }
  SUBCASE("ends") {
    rig.start();
    rig.discovery.server.peers.back()->stream.close();
    CHECK(rig.until([&] { return rig.discovery.asked.size() == 2; }, 3));
  }
  SUBCASE("never answers") {
    rig.discovery.answers = false;
    rig.start();
    CHECK(rig.until([&] { return rig.discovery.asked.size() == 2; }, 4));
  }
  SUBCASE("noise: the whole list is asked for") {
    rig.start();
    rig.discovery.tell("{\"generation\":");
    CHECK(rig.until([&] { return rig.discovery.asked.size() == 2; }, 3));
    CHECK(rig.discovery.asked.back() == "GET /v1/servers?follow=1");
  }
  SUBCASE("a line that stops short: the entries that are whole count, the version does not") {
    rig.start();
    const std::string whole = rig.news(8, false,
                                       {rig.entry("s-0", rig.node0.server.address, 0, "Terminating"),
                                        rig.entry("s-1", rig.node1.server.address, 1, "Terminating")});
    auto& peer = *rig.discovery.server.peers.back();
    const std::string part = whole.substr(0, whole.size() - 20);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    peer.send(size + part + "\r\n");
    rig.run(0.05);
    CHECK(rig.ask(rig.request("a", "", 0)) == 503);
    CHECK(rig.node0.came.empty());
    CHECK(rig.ask(rig.request("b", "", 1)) == 200);
    peer.stream.close();
    CHECK(rig.until([&] { return rig.discovery.asked.size() == 2; }, 3));
    CHECK(rig.discovery.asked.back() == "GET /v1/servers?follow=1&since=7");
  }
  SUBCASE("empty lines are enough") {
    rig.start();
    for (int i = 0; i < 6; ++i) {
      rig.run(2);
      rig.discovery.tell("");
    }
    CHECK(rig.discovery.asked.size() == 1);
  }
  SUBCASE("a bad entry is left out, the others count") {
    rig.start();
    rig.discovery.tell(rig.news(8, false,
                                {rig.entry("s-9", rig.node0.server.address, 0, "Napping"),
                                 rig.entry("s-0", rig.node0.server.address, 0, "Terminating")}));
    rig.run(0.05);
    CHECK(rig.scheduler->nodes() == 2);
    CHECK(rig.ask(rig.request("a")) == 503);
  }
}

TEST_CASE("platform: a thousand node ids and ten thousand connections leave nothing behind") {
  const auto descriptors = [] {
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& e : std::filesystem::directory_iterator("/proc/self/fd")) ++n;
    return n;
  };
  PlatformRig rig;
  rig.start();
  CHECK(rig.ask(rig.request("first")) == 200);
  rig.clients.clear();
  rig.run(0.05);
  const auto before = descriptors();
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "n-" + std::to_string(i);
    const std::string last = "n-" + std::to_string(i - 1);
    rig.discovery.tell(rig.news(
        8 + i, false,
        {rig.entry(id, rig.node1.server.address, 1), rig.entry(last, rig.node1.server.address, 1, "Gone")}));
    rig.run(0.03);
  }
  CHECK(rig.scheduler->nodes() < 400);  // those of the last ten seconds
  for (int i = 0; i < 10000; ++i) {
    rig.clients.push_back(std::make_unique<test::Peer>(rig.loop, connect_to(rig.address), true));
    if (i % 50 == 0) rig.clients.back()->send(rig.request("c" + std::to_string(i)));
    if (rig.clients.size() == 50) {
      rig.run(0.02);
      rig.clients.clear();
    }
  }
  rig.clients.clear();
  rig.run(0.2);
  CHECK(rig.scheduler->front().clients() == 0);
  CHECK(rig.scheduler->open() == 0);
  CHECK(descriptors() <= before + 2);
}

TEST_CASE("platform: clients that take every connection make way for one that asks") {
  PlatformRig rig(96);
  rig.start();
  for (int i = 0; i < 100; ++i) rig.client();
  rig.run(0.05);
  CHECK(rig.ask(rig.request("a")) == 200);
  CHECK(rig.scheduler->front().clients() <= 36);
  CHECK(rig.scheduler->front().counts().made_way > 0);
}
