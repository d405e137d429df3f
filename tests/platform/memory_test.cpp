// What a scheduler holds for its peers: how much, who is refused beyond it, and when it lets go of it.
#include <doctest/doctest.h>

#include "platform_fixture.h"

using namespace heronworks;
using platform::MemoryBudget;
using platform::MemoryCharge;
using platform::MemoryUse;
using test::Peer;
using test::PlatformFixture;

namespace {

constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;
constexpr std::size_t kSmallBodyBytes = 65536;

std::size_t total_bytes(const platform::SchedulerMemory& memory) {
  return memory.open_requests + memory.clients.incomplete_requests + memory.clients.unconsumed_input +
         memory.clients.unsent_replies + memory.nodes.unsent_requests + memory.nodes.incomplete_replies;
}

std::size_t bytes_in_use(const MemoryBudget& budget) {
  return budget.bytes_in_use(MemoryUse::kRequest) + budget.bytes_in_use(MemoryUse::kReadAhead) +
         budget.bytes_in_use(MemoryUse::kReply);
}

std::size_t count_replies(const Peer& peer, const std::string& status_line) {
  std::size_t count = 0;
  for (auto at = peer.input.find(status_line); at != std::string::npos;
       at = peer.input.find(status_line, at + 1)) {
    ++count;
  }
  return count;
}

std::string chunked_reply(const std::string& body) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + body) + "\r\n0\r\n\r\n";
}

}  // namespace

TEST_CASE("memory budget: its parts follow the memory, and leave room for each connection's small message") {
  for (const double megabytes : {32.0, 48.0, 96.0, 192.0}) {
    for (const std::size_t connections : {116, 244, 500}) {
      CAPTURE(megabytes);
      CAPTURE(connections);
      MemoryBudget budget(megabytes * kBytesPerMegabyte, connections);
      CHECK(static_cast<double>(budget.limit(MemoryUse::kRequest) + budget.limit(MemoryUse::kReply)) <=
            0.5 * megabytes * kBytesPerMegabyte);
      CHECK(static_cast<double>(budget.limit(MemoryUse::kRequest)) ==
            doctest::Approx(MemoryBudget::kRequestFraction * megabytes * kBytesPerMegabyte));
      // Large holders take all that they may have.
      std::vector<MemoryCharge> large;
      for (bool fits = true; fits;) {
        large.emplace_back(budget, MemoryUse::kRequest);
        fits = large.back().try_set(MemoryBudget::kMaxBodyBytes / 2);
      }
      std::vector<MemoryCharge> small;
      for (std::size_t i = 0; i < connections; ++i) {
        small.emplace_back(budget, MemoryUse::kRequest);
        CHECK(small.back().try_set(budget.small_bytes(MemoryUse::kRequest)));
      }
      CHECK(budget.bytes_in_use(MemoryUse::kRequest) <= budget.limit(MemoryUse::kRequest));
      CHECK(budget.room(MemoryUse::kReadAhead, 0) == 0);
      CHECK(budget.room(MemoryUse::kReply, 0) >= MemoryBudget::kMaxBodyBytes);
    }
  }
}

TEST_CASE("memory budget: what is read ahead leaves most of the requests' part to requests") {
  MemoryBudget budget(48 * kBytesPerMegabyte, 500);
  MemoryCharge ahead(budget, MemoryUse::kReadAhead);
  CHECK(!ahead.try_set(budget.limit(MemoryUse::kRequest) / 2));
  CHECK(ahead.bytes() == 0);
  CHECK(ahead.try_set(ahead.room()));
  CHECK(ahead.room() == 0);
  MemoryCharge request(budget, MemoryUse::kRequest);
  CHECK(request.try_set(2 * budget.bytes_in_use(MemoryUse::kReadAhead) / 2));
  {
    const MemoryCharge moved = std::move(request);
    CHECK(moved.bytes() == ahead.bytes());
    CHECK(request.bytes() == 0);
  }
  CHECK(budget.bytes_in_use(MemoryUse::kRequest) == 0);
}

TEST_CASE("memory budget: a message of the largest size fits whatever the memory") {
  for (const double megabytes : {0.0, 1.0, 4.0}) {
    const MemoryBudget budget(megabytes * kBytesPerMegabyte, 500);
    CHECK(budget.room(MemoryUse::kRequest, 0) >= MemoryBudget::kMaxBodyBytes + kSmallBodyBytes);
    CHECK(budget.room(MemoryUse::kReply, 0) >= MemoryBudget::kMaxBodyBytes + kSmallBodyBytes);
  }
}

// Guards against objects that are reset but keep the capacity of their strings and buffers.
TEST_CASE("the memory of requests and replies is freed once they are done, on connections that stay open") {
  PlatformFixture fixture;
  fixture.node0.reply = test::http_reply(200, std::string(250'000, 'y'));
  fixture.start();
  constexpr std::size_t kConnections = 8;
  for (std::size_t i = 0; i < kConnections; ++i) {
    fixture.client().send(fixture.write("w" + std::to_string(i), std::string(200'000, 'x')));
  }
  REQUIRE(fixture.run_until([&] {
    return std::all_of(fixture.clients.begin(), fixture.clients.end(),
                       [&](const auto& c) { return fixture.body(*c).size() == 250'000; });
  }));
  fixture.run_for(0.01);
  CHECK(fixture.scheduler->node_connections().idle_connections() > 0);
  constexpr std::size_t kBytesOfEmptyStrings = 64;
  CHECK(total_bytes(fixture.scheduler->memory()) <= kConnections * kBytesOfEmptyStrings);
  CHECK(bytes_in_use(fixture.scheduler->memory_budget()) == 0);
}

// Guards against bodies of ordinary size, and what is read behind an open request, growing past the limit
// (review/3).
TEST_CASE("memory of clients that send a write and most of another follows memory_mb") {
  for (const int memory_mb : {32, 96}) {
    CAPTURE(memory_mb);
    PlatformFixture fixture(1024);
    fixture.json["limits"]["memory_mb"] = memory_mb;
    fixture.node0.reply.clear();
    fixture.start();
    Peer& ordinary = fixture.client();
    ordinary.send(fixture.request("first", "", 1));
    REQUIRE(fixture.run_until([&] { return fixture.status(ordinary) == 200; }));
    const std::string body(kSmallBodyBytes, 'x');
    std::vector<Peer*> bad;
    for (int i = 0; i < 339; ++i) {
      const std::string id = std::to_string(i);
      bad.push_back(&fixture.client());
      bad.back()->send(fixture.write("w" + id, body));
      const std::string second = fixture.write("v" + id, body);
      bad.back()->send(second.substr(0, second.size() - 100));
    }
    const auto limit = static_cast<std::size_t>(0.5 * memory_mb * kBytesPerMegabyte);
    std::size_t most = 0;
    std::size_t most_accounted = 0;
    for (int i = 0; i < 8; ++i) {
      ordinary.input.clear();
      const auto rejected_before = fixture.scheduler->counts().rejected;
      ordinary.send(fixture.request("r" + std::to_string(i), "", 1));
      REQUIRE(fixture.run_until([&] {
        most = std::max(most, total_bytes(fixture.scheduler->memory()));
        most_accounted = std::max(most_accounted, bytes_in_use(fixture.scheduler->memory_budget()));
        return fixture.status(ordinary) != 0;
      }));
      // Answered, never for lack of memory: that would end the connection. The decision module may reject it,
      // as the other node never replies.
      CHECK((fixture.status(ordinary) == 200 || fixture.scheduler->counts().rejected > rejected_before));
      CHECK(!ordinary.closed);
      fixture.run_for(0.2);
    }
    CHECK(most_accounted <= limit);
    CHECK(most <= limit + limit / 8);
    CHECK(most_accounted > limit / 8);
    // Each whole write was answered, and nothing is held any longer.
    fixture.run_for(3);
    for (const Peer* peer : bad) CHECK((fixture.status(*peer) == 503 || fixture.status(*peer) == 504));
    CHECK(bytes_in_use(fixture.scheduler->memory_budget()) < kSmallBodyBytes);
  }
}

// Guards against a client with a request that is going to be served being cut off for what it sends next.
TEST_CASE("a client that sends far ahead of its open request is left unread, and served in turn") {
  PlatformFixture fixture;
  fixture.start();
  Peer& c = fixture.client();
  constexpr std::size_t kWrites = 12;
  std::string text;
  for (std::size_t i = 0; i < kWrites; ++i) {
    text += fixture.write("w" + std::to_string(i), std::string(200'000, 'x'));
  }
  c.send(text);
  CHECK(fixture.run_until([&] { return count_replies(c, "HTTP/1.1 200") == kWrites; }, 5));
  CHECK(!c.closed);
}

// Guards against sending on requests of clients that have left, where their connection is not read.
TEST_CASE("the close of a client is seen behind what is left unread for lack of memory") {
  PlatformFixture fixture;
  fixture.json["limits"]["memory_mb"] = 4;
  fixture.node0.reply.clear();
  fixture.start();
  constexpr std::size_t kClients = 40;
  for (std::size_t i = 0; i < kClients; ++i) {
    Peer& c = fixture.client();
    c.send(fixture.request("r" + std::to_string(i)));
    c.send(fixture.write("w" + std::to_string(i), std::string(60'000, 'x')));
  }
  fixture.run_for(0.05);
  const MemoryBudget& budget = fixture.scheduler->memory_budget();
  REQUIRE(budget.room(MemoryUse::kReadAhead, 0) == 0);
  for (const auto& c : fixture.clients) c->stream.close();
  fixture.run_for(0.05);
  CHECK(fixture.scheduler->counts().abandoned == kClients);
  CHECK(fixture.scheduler->client_server().connection_count() == 0);
  fixture.run_for(1);
  CHECK(bytes_in_use(budget) < kSmallBodyBytes);
}

TEST_CASE("for lack of memory incomplete requests are rejected, of clients that were never served first") {
  PlatformFixture fixture;
  fixture.json["limits"]["memory_mb"] = 4;
  fixture.start();
  Peer& served = fixture.client();
  served.send(fixture.request("first"));
  REQUIRE(fixture.run_until([&] { return fixture.status(served) == 200; }));
  served.input.clear();
  // Two clients that stop in the middle of a request leave less room than the third one needs.
  const std::string first_body(1'000'000, 'x');
  Peer& first_stalled = fixture.client();
  first_stalled.send(fixture.write("s1", first_body).substr(0, 900'000));
  fixture.run_for(0.02);
  Peer& last_stalled = fixture.client();
  last_stalled.send(fixture.write("s2", std::string(440'000, 'x')).substr(0, 400'000));
  fixture.run_for(0.02);
  served.send(fixture.write("w", std::string(50'000, 'x')));
  fixture.run_for(0.1);
  CHECK(fixture.status(served) == 0);
  CHECK(fixture.status(last_stalled) == 0);
  // A small request passes meanwhile.
  CHECK(fixture.send_and_wait(fixture.request("small")) == 200);
  REQUIRE(fixture.run_until([&] { return fixture.status(served) != 0; }, 1));
  CHECK(fixture.status(served) == 200);
  CHECK(fixture.status(last_stalled) == 503);
  CHECK(fixture.status(first_stalled) == 0);
  CHECK(fixture.scheduler->client_server().counts().rejected_for_memory == 1);
  // The wait counts against the request that waited only, not against a later one of that connection.
  served.input.clear();
  fixture.run_for(1.5);
  served.send(fixture.request("later"));
  REQUIRE(fixture.run_until([&] { return fixture.status(served) != 0; }, 1));
  CHECK(fixture.status(served) == 200);
}

TEST_CASE("replies beyond the budget are left unread until their clients have read others") {
  PlatformFixture fixture;
  fixture.json["limits"]["memory_mb"] = 8;
  const std::string body(700'000, 'y');
  SUBCASE("with a length") { fixture.node0.reply = test::http_reply(200, body); }
  SUBCASE("without a length") { fixture.node0.reply = chunked_reply(body); }
  fixture.start();
  constexpr std::size_t kClients = 20;
  const MemoryBudget& budget = fixture.scheduler->memory_budget();
  for (std::size_t i = 0; i < kClients; ++i) fixture.client().send(fixture.request("r" + std::to_string(i)));
  std::size_t most = 0;
  REQUIRE(fixture.run_until(
      [&] {
        most = std::max(most, budget.bytes_in_use(MemoryUse::kReply));
        return std::all_of(fixture.clients.begin(), fixture.clients.end(),
                           [&](const auto& c) { return fixture.body(*c).size() == body.size(); });
      },
      2));
  CHECK(fixture.scheduler->node_connections().counts().waited_for_memory > 0);
  CHECK(most <= budget.limit(MemoryUse::kReply) + MemoryBudget::kMaxBodyBytes);
  CHECK(fixture.scheduler->node_connections().counts().invalid_replies == 0);
}
