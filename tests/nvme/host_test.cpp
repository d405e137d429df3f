// Odd but legal, and illegal, input from a controller: what comes twice, late, short or for an identifier in
// use again.
#include <doctest/doctest.h>

#include <map>

#include "gateway/endpoint_list_watch.h"
#include "gateway/node_connection.h"

using namespace heronworks;
using namespace heronworks::nvme;

namespace {

// A controller by hand: lets hosts in, keeps what comes, says what it is told to.
class RawController final {
 public:
  explicit RawController(Loop& loop) : loop_(loop) {
    Fd fd = listen_on({"127.0.0.1", 0});
    address = local_address(fd.get());
    listener_ = std::make_unique<Listener>(
        loop, std::move(fd), [this](Fd c) { peers.push_back(std::make_unique<Peer>(*this, std::move(c))); });
  }
  struct Peer final : StreamHandler {
    Peer(RawController& c, Fd fd)
        : owner(c), framing(End::kController, 1 << 22), stream(c.loop_, std::move(fd), *this) {}
    std::size_t on_received(View bytes) override {
      std::size_t done = 0;
      while (true) {
        std::size_t used = 0;
        std::optional<FatalError> error;
        const auto pdu = framing.next(bytes.subspan(done), used, error);
        if (!pdu) return done;
        owner.take(*this, *pdu);
        done += used;
      }
    }
    void on_closed(const std::string&) override { gone = true; }
    void put(PduType type, auto pdu, View data = {}) {
      pdu.header.type = static_cast<std::uint8_t>(type);
      append_pdu(stream.write_buffer(), bytes_of(pdu), data, {});
      stream.flush();
    }
    void complete(std::uint16_t cid, Status status = status::kOk, std::uint32_t dw0 = 0) {
      CapsuleResp r;
      r.cqe.cid = cid;
      r.cqe.dw0 = dw0;
      r.cqe.status = status.field();
      put(PduType::kCapsuleResp, r);
    }
    void data(std::uint16_t cid, std::size_t bytes, std::uint32_t offset = 0, std::uint8_t flags = kLastPdu) {
      DataPdu d;
      d.header.flags = flags;
      d.cid = cid;
      d.offset = offset;
      d.length = static_cast<std::uint32_t>(bytes);
      const Bytes b(bytes, 0x5a);
      put(PduType::kC2hData, d, b);
    }
    void ask(std::uint16_t cid, std::uint32_t offset, std::uint32_t length) {
      DataPdu d;
      d.cid = cid;
      d.ttag = cid;
      d.offset = offset;
      d.length = length;
      put(PduType::kR2t, d);
    }
    RawController& owner;
    Framing framing;
    Stream stream;
    bool io = false;
    bool gone = false;
    std::vector<Sqe> came;     // I/O commands
    std::size_t data_got = 0;  // bytes of H2CData
  };

  Peer* io() {
    for (auto& p : peers) {
      if (p->io && !p->gone) return p.get();
    }
    return nullptr;
  }

  std::vector<std::unique_ptr<Peer>> peers;
  std::function<bool(Peer&, const Sqe&)> admin;  // answers an admin command itself if it says so
  Address address;

 private:
  void take(Peer& p, const Pdu& pdu) {
    const auto type = static_cast<PduType>(pdu.header.type);
    if (type == PduType::kIcReq) {
      InitConnection ic;
      ic.most = 1 << 20;
      return p.put(PduType::kIcResp, ic);
    }
    if (type == PduType::kH2cData) p.data_got += pdu.data.size();
    if (type != PduType::kCapsuleCmd) return;
    const Sqe c = read_as<CapsuleCmd>(pdu.head).sqe;
    if (c.opcode == opcode::kFabrics && c.fabrics_type() == fabrics::kConnect) p.io = c.cdw10 >> 16 != 0;
    if (p.io && c.opcode != opcode::kFabrics) return p.came.push_back(c);
    if (admin && admin(p, c)) return;
    if (c.opcode == opcode::kIdentify) {  // no data within capsules
      Bytes page(4096);
      page[1792] = 4;
      DataPdu d;
      d.header.flags = kLastPdu;
      d.cid = c.cid;
      d.length = 4096;
      p.put(PduType::kC2hData, d, page);
    }
    p.complete(c.cid, status::kOk, 1);  // of Property Get: ready
  }
  Loop& loop_;
  std::unique_ptr<Listener> listener_;
};

struct Ends final : gateway::NodeConnectionOwner {
  void dispatch_ended(int, const gateway::Dispatch& d, Outcome o, Completion&&) override {
    CHECK_FALSE(outcomes.contains(d.transaction));
    outcomes[d.transaction] = o;
  }
  void connection_changed(int, const char* event, const std::string& reason) override {
    events += std::string(event) + " " + reason + "\n";
  }
  std::map<int, Outcome> outcomes;
  std::string events;
};

struct Rig {
  Rig() : loop(clock), node(loop) {
    gateway::NodeConnection::Options o;
    o.host.address = node.address;
    o.host.depth = 8;
    o.host.connect_timeout = 10;
    link = std::make_unique<gateway::NodeConnection>(loop, 0, o, ends);
    link->open();
    REQUIRE(until([&] { return node.io() != nullptr; }));
  }
  bool until(const std::function<bool()>& done) {
    const double end = clock.now() + 20;
    while (!done() && clock.now() < end) loop.run_once(0.01);
    return done();
  }
  void run(double seconds) {
    const double end = clock.now() + seconds;
    while (clock.now() < end) loop.run_once(0.005);
  }
  // A read, or a write of `blocks` blocks of 4096 bytes, and the identifier under which it came.
  std::uint16_t send(int transaction, bool write, std::uint32_t blocks = 1, double time = 10) {
    gateway::Dispatch d;
    d.transaction = transaction;
    d.sent_at = clock.now();
    d.deadline = clock.now() + time;
    d.sqe.opcode = write ? opcode::kWrite : opcode::kRead;
    d.sqe.set_blocks(blocks);
    if (write) d.write_data = std::make_shared<const Bytes>(blocks * 4096);
    else d.read_bytes = blocks * 4096;
    REQUIRE(node.io());
    const auto count = node.io()->came.size();
    link->send(std::move(d));
    REQUIRE(until([&] { return node.io() && node.io()->came.size() == count + 1; }));
    return node.io()->came.back().cid;
  }
  bool over(int transaction) {
    return until([&] { return ends.outcomes.contains(transaction); });
  }
  MonotonicClock clock;
  Loop loop;
  RawController node;
  Ends ends;
  std::unique_ptr<gateway::NodeConnection> link;
};

}  // namespace

TEST_CASE("a completion that comes twice ends nothing else, and the connection stands") {
  Rig r;
  for (int i = 0; i < 600; i += 2) {  // over more than all generations of an identifier's slot
    const auto first = r.send(i, true);
    r.node.io()->ask(first, 0, 4096);
    r.node.io()->complete(first);
    REQUIRE(r.over(i));
    const auto next = r.send(i + 1, true);
    if (i < 8) {
      r.node.io()->complete(first);  // once more
      r.run(0.02);
      CHECK_FALSE(r.ends.outcomes.contains(i + 1));
    }
    r.node.io()->ask(next, 0, 4096);
    r.node.io()->complete(next);
    REQUIRE(r.over(i + 1));
    CHECK(r.ends.outcomes[i + 1] == Outcome::kSucceeded);
  }
  CHECK(r.ends.events.find("lost") == std::string::npos);
  CHECK(r.link->pending() == 0);
}

TEST_CASE("a completion that comes again after other commands, from any place, ends nothing") {
  Rig r;
  std::vector<std::uint16_t> had;
  for (int i = 0; i < 20; ++i) {
    had.push_back(r.send(i, false));
    r.node.io()->data(had.back(), 4096);
    r.node.io()->complete(had.back());
    REQUIRE(r.over(i));
  }
  r.send(20, false);
  for (std::size_t i = 0; i < 16; ++i) r.node.io()->complete(had[i]);
  r.run(0.05);
  CHECK(r.ends.outcomes.size() == 20);
  CHECK(r.ends.events.find("lost") == std::string::npos);
  r.node.io()->complete(had[0]);  // one too many: not worth keeping
  REQUIRE(r.over(20));
  CHECK(r.ends.outcomes[20] == Outcome::kReset);
}

TEST_CASE("a completion for what was never asked ends the connection, and each dispatch on it once") {
  Rig r;
  r.send(1, false);
  r.node.io()->complete(0xfff0);
  REQUIRE(r.over(1));
  CHECK(r.ends.outcomes[1] == Outcome::kReset);
  CHECK(r.link->pending() == 0);
}

TEST_CASE("a read with fewer bytes than asked for, or a write whose data was not taken, is not honoured") {
  Rig r;
  auto cid = r.send(1, false, 2);
  r.node.io()->data(cid, 4096);
  r.node.io()->complete(cid);
  REQUIRE(r.over(1));
  CHECK(r.ends.outcomes[1] == Outcome::kError);
  cid = r.send(2, false, 2);
  r.node.io()->data(cid, 4096, 0, 0);
  r.node.io()->data(cid, 4096, 4096, kLastPdu | kSuccess);
  REQUIRE(r.over(2));
  CHECK(r.ends.outcomes[2] == Outcome::kSucceeded);
  cid = r.send(3, true, 2);
  r.node.io()->ask(cid, 0, 4096);
  r.node.io()->complete(cid);
  REQUIRE(r.over(3));
  CHECK(r.ends.outcomes[3] == Outcome::kError);
  cid = r.send(4, true, 2);
  r.node.io()->ask(cid, 4096, 4096);  // parts in any order
  r.node.io()->ask(cid, 0, 4096);
  REQUIRE(r.until([&] { return r.node.io()->data_got == 3 * 4096; }));
  r.node.io()->complete(cid);
  REQUIRE(r.over(4));
  CHECK(r.ends.outcomes[4] == Outcome::kSucceeded);
  CHECK(r.ends.events.find("lost") == std::string::npos);
}

TEST_CASE("data asked for again and again ends the connection and is not sent without end") {
  Rig r;
  const auto cid = r.send(1, true, 2);
  for (int i = 0; i < 50; ++i) r.node.io()->ask(cid, 0, 8192);
  REQUIRE(r.over(1));
  CHECK(r.ends.outcomes[1] == Outcome::kReset);
  CHECK(r.node.peers.back()->data_got <= 8192);
}

TEST_CASE(
    "data asked for after the dispatch timed out is not sent; the connection is made anew once all has "
    "ended") {
  Rig r;
  const auto late = r.send(1, true, 2, 0.05);
  REQUIRE(r.over(1));
  CHECK(r.ends.outcomes[1] == Outcome::kTimedOut);
  const auto other = r.send(2, false);
  auto* first = r.node.io();
  first->ask(late, 0, 8192);
  r.run(0.05);
  CHECK(first->data_got == 0);
  CHECK_FALSE(r.ends.outcomes.contains(2));  // what else is out there goes on
  first->data(other, 4096);
  first->complete(other);
  REQUIRE(r.over(2));
  CHECK(r.ends.outcomes[2] == Outcome::kSucceeded);
  REQUIRE(r.until([&] { return first->gone; }));
  // The next one goes by a new connection, whether it came before or after.
  gateway::Dispatch d;
  d.transaction = 3;
  d.deadline = r.clock.now() + 10;
  d.sqe.opcode = opcode::kRead;
  d.read_bytes = 4096;
  r.link->send(std::move(d));
  REQUIRE(r.until([&] { return r.node.io() && r.node.io()->came.size() == 1; }));
  r.node.io()->data(r.node.io()->came[0].cid, 4096);
  r.node.io()->complete(r.node.io()->came[0].cid);
  REQUIRE(r.over(3));
  CHECK(r.ends.outcomes[3] == Outcome::kSucceeded);
  CHECK(r.link->pending() == 0);
  CHECK(r.link->queued() == 0);
}

TEST_CASE(
    "every ordering of what a controller says of two commands, twice, late and short, and of their time") {
  enum Event { kData, kReadDone, kAsk, kWriteDone, kTime, kReset };
  ManualClock clock(1000);
  Loop loop(clock);
  RawController node(loop);
  Ends ends;
  gateway::NodeConnection::Options o;
  o.host.address = node.address;
  o.host.depth = 8;
  o.host.keep_alive = 0;
  gateway::NodeConnection link(loop, 0, o, ends);
  const auto settle = [&] {
    for (int i = 0; i < 4; ++i) loop.run_once(0);
  };
  const auto until = [&](const std::function<bool()>& done) {
    for (int i = 0; i < 10000 && !done(); ++i) loop.run_once(0.001);
    return done();
  };
  int orderings = 0;
  std::map<Outcome, int> seen;
  for (const Event last : {kTime, kReset}) {
    std::vector<Event> order{kData, kReadDone, kReadDone, kAsk, kWriteDone, kWriteDone, last};
    do {
      ends.outcomes.clear();
      const auto send = [&](int transaction, bool write) {
        gateway::Dispatch d;
        d.transaction = transaction;
        d.deadline = clock.now() + 1;
        d.sqe.opcode = write ? opcode::kWrite : opcode::kRead;
        if (write) d.write_data = std::make_shared<const Bytes>(8192);
        else d.read_bytes = 4096;
        link.send(std::move(d));
      };
      send(0, false);
      send(1, true);
      REQUIRE(until([&] { return node.io() && node.io()->came.size() == 2; }));
      RawController::Peer& peer = *node.io();
      const auto read = peer.came[0].cid;
      const auto write = peer.came[1].cid;
      // What must have become of each, from what was said so far.
      std::map<int, Outcome> due;
      bool data = false, asked = false, write_over = false, lost = false;
      std::string text;
      const auto end = [&](int which, Outcome outcome) { due.emplace(which, outcome); };
      for (const Event e : order) {
        text += std::to_string(e) + " ";
        switch (e) {
          case kData:
            if (!lost) peer.data(read, 4096);
            data = true;
            break;
          case kReadDone:
            if (!lost) peer.complete(read);
            if (!lost) end(0, data ? Outcome::kSucceeded : Outcome::kError);
            break;
          case kAsk:
            if (!lost) peer.ask(write, 0, 8192);
            if (!lost && write_over) {  // of a command that is over: that ends the connection
              end(0, Outcome::kReset);
              lost = true;
            }
            asked = true;
            break;
          case kWriteDone:
            if (!lost) peer.complete(write);
            if (!lost) end(1, asked ? Outcome::kSucceeded : Outcome::kError);
            write_over = true;
            break;
          case kTime:
            clock.advance(1.5);
            end(0, Outcome::kTimedOut);
            end(1, Outcome::kTimedOut);
            // Nothing that is awaited is left; where data was asked for late, the link is made anew.
            break;
          case kReset:
            if (!lost) peer.stream.close();
            peer.gone = true;
            end(0, Outcome::kReset);
            end(1, Outcome::kReset);
            lost = true;
            break;
        }
        settle();
        if (peer.gone) lost = true;
        INFO(text);
        CHECK(ends.outcomes == due);
      }
      INFO(text);
      const bool in_time =
          std::find(order.begin(), order.end(), kAsk) < std::find(order.begin(), order.end(), last) &&
          std::find(order.begin(), order.end(), kAsk) < std::find(order.begin(), order.end(), kWriteDone);
      CHECK(peer.data_got == (in_time ? 8192 : 0));
      CHECK(link.pending() == 0);
      CHECK(link.queued() == 0);
      for (const auto& [t, outcome] : ends.outcomes) ++seen[outcome];
      ++orderings;
      link.reset("the next ordering");
      settle();
      std::erase_if(node.peers, [](auto& p) { return p->gone; });
    } while (std::next_permutation(order.begin(), order.end()));
  }
  MESSAGE(orderings, " orderings; honoured ", seen[Outcome::kSucceeded], ", errors ", seen[Outcome::kError],
          ", timed out ", seen[Outcome::kTimedOut], ", reset ", seen[Outcome::kReset]);
  CHECK(orderings == 2 * 1260);
  CHECK(seen.size() == 4);
}

TEST_CASE(
    "a list whose event request is refused is asked for again; one with a shard beyond all bounds is "
    "refused") {
  const MonotonicClock clock;
  Loop loop(clock);
  RawController list(loop);
  std::vector<gateway::ListedEndpoint> nodes{{{"127.0.0.1", 9}, 0, 0, NodeState::kReady, 0}};
  bool refuses_events = true;
  list.admin = [&](RawController::Peer& p, const Sqe& c) {
    if (c.opcode == opcode::kAsyncEvent) {
      if (refuses_events) p.complete(c.cid, status::kAsyncLimit);
      return true;
    }
    if (c.opcode != opcode::kGetLogPage) return false;
    const Bytes page = gateway::encode_endpoint_list(nodes, 1, "x");
    DataPdu d;
    d.header.flags = kLastPdu;
    d.cid = c.cid;
    d.length = static_cast<std::uint32_t>(page.size());
    p.put(PduType::kC2hData, d, page);
    p.complete(c.cid);
    return true;
  };
  struct Told final : gateway::EndpointListOwner {
    void endpoint_list_received(std::vector<gateway::ListedEndpoint>) override { ++came; }
    void endpoint_list_failed(const std::string& r) override {
      ++failed;
      reason = r;
    }
    int came = 0;
    int failed = 0;
    std::string reason;
  } told;
  HostOptions o;
  o.address = list.address;
  o.depth = 0;
  o.keep_alive = 0;
  gateway::EndpointListWatch watch(loop, o, told);
  const auto until = [&](const std::function<bool()>& done) {
    const double end = clock.now() + 20;
    while (!done() && clock.now() < end) loop.run_once(0.01);
    return done();
  };
  watch.refresh();
  REQUIRE(until([&] { return told.failed == 1; }));
  refuses_events = false;
  watch.refresh();
  REQUIRE(until([&] { return told.came > 0; }));
  nodes[0].shard = 2000000000;
  watch.refresh();
  REQUIRE(until([&] { return told.failed == 2; }));
  CHECK(told.reason == "invalid endpoint list: record 0: shard 2000000000 is not below 65536");
}
