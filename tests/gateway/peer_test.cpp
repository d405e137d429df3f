// Misbehaving peers. Against the gateway: duplicate command identifiers, unread responses, half-open
// connections, malformed PDUs. Against the host: a controller that sends malformed PDUs.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include "gateway_fixture.h"

using namespace heronworks;
using namespace heronworks::test;
namespace st = heronworks::nvme::status;

namespace {

// A connection that sends hand-made PDUs and collects the received bytes.
class RawPeer final : public StreamHandler {
 public:
  RawPeer(Loop& loop, const Address& at) : stream(loop, connect_to(at), *this, true) {}
  void on_connected() override { connected = true; }
  std::size_t on_received(nvme::ByteView b) override {
    received.insert(received.end(), b.begin(), b.end());
    return b.size();
  }
  void on_closed(const std::string&) override { closed = true; }

  void init() {
    nvme::InitConnection ic;
    nvme::Bytes out;
    nvme::append_pdu(out, nvme::bytes_of(ic), {}, {});
    stream.send(out);
  }
  void command(const nvme::Sqe& sqe, nvme::ByteView data = {}) {
    nvme::CapsuleCmd c{{}, sqe};
    c.header.type = static_cast<std::uint8_t>(nvme::PduType::kCapsuleCmd);
    nvme::Bytes out;
    nvme::append_pdu(out, nvme::bytes_of(c), data, {});
    stream.send(out);
  }
  void connect(std::uint16_t queue, std::uint16_t controller) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kFabrics;
    c.nsid = nvme::fabrics::kConnect;
    c.cdw10 = static_cast<std::uint32_t>(queue) << 16;
    c.cdw11 = 127;
    c.sgl_type = nvme::kSglDataBlockOffset;
    c.sgl_length = 1024;
    nvme::ConnectData d;
    d.cntlid = controller;
    nvme::put_text(d.subnqn, "nqn.2026-11.org.heronworks:gateway");
    nvme::put_text(d.hostnqn, "raw");
    command(c, nvme::bytes_of(d));
  }
  // Completions received so far, in order.
  std::vector<nvme::Cqe> completions() const {
    std::vector<nvme::Cqe> out;
    std::size_t at = 0;
    while (at + 8 <= received.size()) {
      const auto h = nvme::read_as<nvme::PduHeader>(nvme::ByteView(received).subspan(at));
      if (at + h.plen > received.size() || h.plen < 8) break;
      if (h.type == static_cast<std::uint8_t>(nvme::PduType::kCapsuleResp))
        out.push_back(nvme::read_as<nvme::CapsuleResp>(nvme::ByteView(received).subspan(at)).cqe);
      at += h.plen;
    }
    return out;
  }

  Stream stream;
  nvme::Bytes received;
  bool connected = false;
  bool closed = false;
};

// An admin queue and an I/O queue made of raw connections.
struct RawQueue {
  RawQueue(GatewayFixture& fixture)
      : admin(fixture.loop, fixture.scheduler->address()), io(fixture.loop, fixture.scheduler->address()) {
    REQUIRE(fixture.run_until([&] { return admin.connected && io.connected; }));
    admin.init();
    io.init();
    admin.connect(0, 0xffff);
    REQUIRE(fixture.run_until([&] { return admin.completions().size() == 1; }));
    io.connect(1, static_cast<std::uint16_t>(admin.completions()[0].dw0));
    REQUIRE(fixture.run_until([&] { return io.completions().size() == 1; }));
    REQUIRE(nvme::Status::from_field(io.completions()[0].status).ok());
  }
  nvme::Sqe read(std::uint16_t cid) const {
    nvme::Sqe q;
    q.opcode = nvme::opcode::kRead;
    q.nsid = 1;
    q.cid = cid;
    q.set_blocks(1);
    q.sgl_type = nvme::kSglTransportDataBlock;
    q.sgl_length = 4096;
    return q;
  }
  RawPeer admin;
  RawPeer io;
};

}  // namespace

TEST_CASE("a duplicate command identifier is answered with an error; the first command completes") {
  GatewayFixture fixture;
  fixture.start();
  fixture.nodes[0]->auto_response.reset();
  RawQueue q(fixture);
  q.io.command(q.read(9));
  REQUIRE(fixture.run_until([&] { return fixture.nodes[0]->commands.size() == 1; }));
  q.io.command(q.read(9));
  REQUIRE(fixture.run_until([&] { return q.io.completions().size() == 2; }));
  CHECK(nvme::Status::from_field(q.io.completions()[1].status) == st::kCommandIdConflict);
  CHECK(fixture.nodes[0]->commands.size() == 1);
  fixture.nodes[0]->respond(0);
  REQUIRE(fixture.run_until([&] { return q.io.completions().size() == 3; }));
  CHECK(nvme::Status::from_field(q.io.completions()[2].status).ok());
}

TEST_CASE(
    "data beyond the end of a write does not execute it again; a read with an in-capsule buffer is invalid") {
  GatewayFixture fixture;
  fixture.start();
  fixture.nodes[0]->auto_response.reset();
  RawQueue q(fixture);
  nvme::Sqe w = q.read(3);
  w.opcode = nvme::opcode::kWrite;
  w.sgl_type = nvme::kSglDataBlockOffset;
  const nvme::Bytes block(4096, 1);
  q.io.command(w, block);
  REQUIRE(fixture.run_until([&] { return fixture.nodes[0]->commands.size() == 1; }));
  nvme::DataPdu d;  // empty, at the end of the data
  d.header.type = static_cast<std::uint8_t>(nvme::PduType::kH2cData);
  d.cid = d.ttag = 3;
  d.offset = 4096;
  nvme::Bytes out;
  nvme::append_pdu(out, nvme::bytes_of(d), {}, {});
  q.io.stream.send(out);
  fixture.run_until([&] { return q.io.closed || fixture.scheduler->counts().arrived > 1; });
  CHECK(fixture.scheduler->counts().arrived == 1);
  CHECK(q.io.closed);  // a protocol violation, which closes the connection
  CHECK(fixture.nodes[0]->commands.size() == 1);
  RawQueue other(fixture);
  nvme::Sqe bad = other.read(4);
  bad.sgl_type = nvme::kSglDataBlockOffset;
  other.io.command(bad);
  REQUIRE(fixture.run_until([&] { return other.io.completions().size() == 2; }));
  CHECK(nvme::Status::from_field(other.io.completions()[1].status) == st::kInvalidSglDescriptorType);
}

TEST_CASE("a client that sends 10,000 commands and reads no response does not block the others") {
  GatewayFixture fixture;
  fixture.start();
  RawQueue q(fixture);
  auto& other = fixture.client();
  q.io.stream.pause(true);
  for (int i = 0; i < 10000; ++i) q.io.command(q.read(static_cast<std::uint16_t>(i)));
  for (std::uint64_t i = 0; i < 50; ++i) {
    other.read(i, i % 64);
    REQUIRE(fixture.run_until([&] { return other.completions.contains(i); }));
  }
  CHECK(fixture.scheduler->counts().arrived < 10000);
  CHECK(fixture.scheduler->open() <= 128 + 1);
  q.io.stream.pause(false);
  REQUIRE(fixture.run_until([&] { return q.io.completions().size() == 10001; }));
}

TEST_CASE("half-open connections are closed after a timeout, and the number of connections is bounded") {
  GatewayFixture fixture;
  fixture.config.max_connections = 8;
  fixture.start();
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int i = 0; i < 12; ++i)
    peers.push_back(std::make_unique<RawPeer>(fixture.loop, fixture.scheduler->address()));
  const auto closed_peers = [&] {
    return std::count_if(peers.begin(), peers.end(), [](auto& p) { return p->closed; });
  };
  REQUIRE(fixture.run_until([&] { return closed_peers() >= 4; }));   // beyond max_connections
  REQUIRE(fixture.run_until([&] { return closed_peers() == 12; }));  // handshake timeout
  auto& c = fixture.client();
  c.read(1, 0);
  CHECK(fixture.run_until([&] { return c.completions.size() == 1; }));
}

TEST_CASE("malformed PDUs, of a fixed seed, are answered or end in a TermReq, and are never dispatched") {
  GatewayFixture fixture;
  fixture.config.max_connections = 2000;
  fixture.start();
  std::uint32_t x = 99;
  const auto next = [&] { return x = x * 1664525 + 1013904223, x >> 8; };
  std::vector<std::unique_ptr<RawPeer>> peers;
  int terms = 0;
  for (int i = 0; i < 300; ++i) {
    peers.push_back(std::make_unique<RawPeer>(fixture.loop, fixture.scheduler->address()));
    RawPeer& p = *peers.back();
    REQUIRE(fixture.run_until([&] { return p.connected; }));
    if (next() % 4 != 0) p.init();
    if (next() % 2 == 0)
      p.connect(static_cast<std::uint16_t>(next() % 3), static_cast<std::uint16_t>(next()));
    nvme::Bytes junk(next() % 400);
    for (auto& b : junk) b = static_cast<std::uint8_t>(next());
    if (junk.size() > 8 && next() % 2 == 0) {  // a plausible header
      junk[0] = static_cast<std::uint8_t>(next() % 10);
      junk[1] = 0;
      junk[2] = next() % 2 == 0 ? 72 : 24;
      junk[5] = junk[6] = junk[7] = 0;
    }
    p.stream.send(junk);
    if (next() % 3 == 0) p.stream.close();
    if (i % 20 == 0) fixture.run_for(0.01);
  }
  fixture.run_for(0.2);
  for (auto& p : peers) {
    for (std::size_t at = 0; at + 8 <= p->received.size();) {
      const auto h = nvme::read_as<nvme::PduHeader>(nvme::ByteView(p->received).subspan(at));
      if (h.plen < 8) break;
      if (h.type == static_cast<std::uint8_t>(nvme::PduType::kC2hTermReq)) ++terms;
      at += h.plen;
    }
  }
  CHECK(terms > 20);
  CHECK(fixture.nodes[0]->commands.empty());
  CHECK(fixture.nodes[1]->commands.empty());
  auto& c = fixture.client();
  c.read(1, 0);
  REQUIRE(fixture.run_until([&] { return c.completions.size() == 1; }));
  CHECK(c.status(1) == st::kOk);
}

TEST_CASE("the host closes its connection to a controller that sends malformed PDUs") {
  const MonotonicClock clock;
  Loop loop(clock);
  std::uint32_t x = 7;
  const auto next = [&] { return x = x * 1664525 + 1013904223, x >> 8; };
  struct IgnoringHandler final : StreamHandler {
    std::size_t on_received(nvme::ByteView b) override { return b.size(); }
    void on_closed(const std::string&) override {}
  } ignoring;
  int downs = 0;
  for (int i = 0; i < 100; ++i) {
    std::vector<std::unique_ptr<Stream>> accepted;
    Listener listener(loop, listen_on({"127.0.0.1", 0}), [&](Fd fd) {
      accepted.push_back(std::make_unique<Stream>(loop, std::move(fd), ignoring));
      nvme::Bytes junk(8 + next() % 300);
      for (auto& b : junk) b = static_cast<std::uint8_t>(next());
      if (next() % 2 == 0) {
        nvme::InitConnection ic;
        ic.header.type = static_cast<std::uint8_t>(nvme::PduType::kIcResp);
        ic.maxr2t_or_maxh2cdata = 4096;
        nvme::Bytes whole;
        nvme::append_pdu(whole, nvme::bytes_of(ic), {}, {});
        junk[0] = static_cast<std::uint8_t>(next() % 10);
        whole.insert(whole.end(), junk.begin(), junk.end());
        junk = whole;
      }
      accepted.back()->send(junk);
    });
    TestClient c(loop, listener.address());
    const double end = clock.now() + 10;
    while (c.down_reason.empty() && clock.now() < end) loop.run_once(0.01);
    if (!c.down_reason.empty()) ++downs;
    CHECK_FALSE(c.host->ready());
  }
  CHECK(downs == 100);
}

// Guards against two writes of one key that change places because the connection of the later one is read
// first (docs/incidents/order-across-connections.md).
TEST_CASE("writes of one key run in the order of their last bytes, on whichever connections they come") {
  GatewayFixture fixture;
  fixture.start();
  TestClient& first = fixture.client();
  TestClient& second = fixture.client();
  fixture.run_for(0.05);
  for (std::uint64_t round = 0; round < 20; ++round) {
    CAPTURE(round);
    fixture.nodes[0]->commands.clear();
    second.read(3 * round, 40);  // its connection is ready first
    first.write(3 * round + 1, 0);
    second.write(3 * round + 2, 0);
    REQUIRE(fixture.run_until([&] {
      return first.completions.contains(3 * round + 1) && second.completions.contains(3 * round + 2) &&
             second.completions.contains(3 * round);
    }));
    std::vector<std::uint64_t> order;
    for (const auto& command : fixture.nodes[0]->commands) {
      if (command.sqe.opcode == nvme::opcode::kWrite) order.push_back(command.sqe.idempotency_key() - 1000);
    }
    CHECK(order == std::vector<std::uint64_t>{3 * round + 1, 3 * round + 2});
  }
}
