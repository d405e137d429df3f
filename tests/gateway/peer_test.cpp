// Raw peers against the controller's end: identifiers used twice, floods that read nothing, half-open and
// slow ones, broken PDUs of a fixed seed; and a broken controller against the host's end.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include "rig.h"

using namespace heronworks;
using namespace heronworks::test;
namespace st = heronworks::nvme::status;

namespace {

// A socket that speaks bytes.
class Raw final : public StreamHandler {
 public:
  Raw(Loop& loop, const Address& at) : stream(loop, connect_to(at), *this, true) {}
  void on_connected() override { up = true; }
  std::size_t on_received(nvme::ByteView b) override {
    in.insert(in.end(), b.begin(), b.end());
    return b.size();
  }
  void on_closed(const std::string&) override { gone = true; }

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
  // Completions that came so far, in order.
  std::vector<nvme::Cqe> completions() const {
    std::vector<nvme::Cqe> out;
    std::size_t at = 0;
    while (at + 8 <= in.size()) {
      const auto h = nvme::read_as<nvme::PduHeader>(nvme::ByteView(in).subspan(at));
      if (at + h.plen > in.size() || h.plen < 8) break;
      if (h.type == static_cast<std::uint8_t>(nvme::PduType::kCapsuleResp))
        out.push_back(nvme::read_as<nvme::CapsuleResp>(nvme::ByteView(in).subspan(at)).cqe);
      at += h.plen;
    }
    return out;
  }

  Stream stream;
  nvme::Bytes in;
  bool up = false;
  bool gone = false;
};

// An I/O queue by hand: its admin queue first.
struct RawQueue {
  RawQueue(Rig& r) : admin(r.loop, r.scheduler->address()), io(r.loop, r.scheduler->address()) {
    REQUIRE(r.until([&] { return admin.up && io.up; }));
    admin.init();
    io.init();
    admin.connect(0, 0xffff);
    REQUIRE(r.until([&] { return admin.completions().size() == 1; }));
    io.connect(1, static_cast<std::uint16_t>(admin.completions()[0].dw0));
    REQUIRE(r.until([&] { return io.completions().size() == 1; }));
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
  Raw admin;
  Raw io;
};

}  // namespace

TEST_CASE("the same identifier twice: the second gets its error, the first its answer") {
  Rig r;
  r.start();
  r.nodes[0]->answers.reset();
  RawQueue q(r);
  q.io.command(q.read(9));
  REQUIRE(r.until([&] { return r.nodes[0]->came.size() == 1; }));
  q.io.command(q.read(9));
  REQUIRE(r.until([&] { return q.io.completions().size() == 2; }));
  CHECK(nvme::Status::from_field(q.io.completions()[1].status) == st::kCommandIdConflict);
  CHECK(r.nodes[0]->came.size() == 1);
  r.nodes[0]->answer(0);
  REQUIRE(r.until([&] { return q.io.completions().size() == 3; }));
  CHECK(nvme::Status::from_field(q.io.completions()[2].status).ok());
}

TEST_CASE(
    "data beyond a write's end, or none at all, does not run it again; a read needs a buffer of its own") {
  Rig r;
  r.start();
  r.nodes[0]->answers.reset();
  RawQueue q(r);
  nvme::Sqe w = q.read(3);
  w.opcode = nvme::opcode::kWrite;
  w.sgl_type = nvme::kSglDataBlockOffset;
  const nvme::Bytes block(4096, 1);
  q.io.command(w, block);
  REQUIRE(r.until([&] { return r.nodes[0]->came.size() == 1; }));
  nvme::DataPdu d;  // of no bytes, where the next would stand
  d.header.type = static_cast<std::uint8_t>(nvme::PduType::kH2cData);
  d.cid = d.ttag = 3;
  d.offset = 4096;
  nvme::Bytes out;
  nvme::append_pdu(out, nvme::bytes_of(d), {}, {});
  q.io.stream.send(out);
  r.until([&] { return q.io.gone || r.scheduler->counts().landed > 1; });
  CHECK(r.scheduler->counts().landed == 1);
  CHECK(q.io.gone);  // that is no part of the protocol: it ends the connection, and nothing else
  CHECK(r.nodes[0]->came.size() == 1);
  RawQueue other(r);
  nvme::Sqe bad = other.read(4);
  bad.sgl_type = nvme::kSglDataBlockOffset;
  other.io.command(bad);
  REQUIRE(r.until([&] { return other.io.completions().size() == 2; }));
  CHECK(nvme::Status::from_field(other.io.completions()[1].status) == st::kInvalidSglDescriptorType);
}

TEST_CASE("10,000 commands without reading an answer: that client waits, the others do not") {
  Rig r;
  r.start();
  RawQueue q(r);
  auto& other = r.client();
  q.io.stream.pause(true);
  for (int i = 0; i < 10000; ++i) q.io.command(q.read(static_cast<std::uint16_t>(i)));
  for (std::uint64_t i = 0; i < 50; ++i) {
    other.read(i, i % 64);
    REQUIRE(r.until([&] { return other.answers.contains(i); }));
  }
  CHECK(r.scheduler->counts().landed < 10000);
  CHECK(r.scheduler->open() <= 128 + 1);
  q.io.stream.pause(false);
  REQUIRE(r.until([&] { return q.io.completions().size() == 10001; }));
}

TEST_CASE("half-open and silent peers are closed in time, and connections are bounded") {
  Rig r;
  r.config.most_connections = 8;
  r.start();
  std::vector<std::unique_ptr<Raw>> raws;
  for (int i = 0; i < 12; ++i) raws.push_back(std::make_unique<Raw>(r.loop, r.scheduler->address()));
  const auto gone = [&] { return std::count_if(raws.begin(), raws.end(), [](auto& p) { return p->gone; }); };
  REQUIRE(r.until([&] { return gone() >= 4; }));   // over the bound
  REQUIRE(r.until([&] { return gone() == 12; }));  // never got up
  auto& c = r.client();
  c.read(1, 0);
  CHECK(r.until([&] { return c.answers.size() == 1; }));
}

TEST_CASE(
    "broken PDUs of a fixed seed against a scheduler: closed with a TermReq or answered, never an effect") {
  Rig r;
  r.config.most_connections = 2000;
  r.start();
  std::uint32_t x = 99;
  const auto next = [&] { return x = x * 1664525 + 1013904223, x >> 8; };
  std::vector<std::unique_ptr<Raw>> raws;
  int terms = 0;
  for (int i = 0; i < 300; ++i) {
    raws.push_back(std::make_unique<Raw>(r.loop, r.scheduler->address()));
    Raw& p = *raws.back();
    REQUIRE(r.until([&] { return p.up; }));
    if (next() % 4 != 0) p.init();
    if (next() % 2 == 0)
      p.connect(static_cast<std::uint16_t>(next() % 3), static_cast<std::uint16_t>(next()));
    nvme::Bytes junk(next() % 400);
    for (auto& b : junk) b = static_cast<std::uint8_t>(next());
    if (junk.size() > 8 && next() % 2 == 0) {  // a plausible start
      junk[0] = static_cast<std::uint8_t>(next() % 10);
      junk[1] = 0;
      junk[2] = next() % 2 == 0 ? 72 : 24;
      junk[5] = junk[6] = junk[7] = 0;
    }
    p.stream.send(junk);
    if (next() % 3 == 0) p.stream.close();
    if (i % 20 == 0) r.run(0.01);
  }
  r.run(0.2);
  for (auto& p : raws) {
    for (std::size_t at = 0; at + 8 <= p->in.size();) {
      const auto h = nvme::read_as<nvme::PduHeader>(nvme::ByteView(p->in).subspan(at));
      if (h.plen < 8) break;
      if (h.type == static_cast<std::uint8_t>(nvme::PduType::kC2hTermReq)) ++terms;
      at += h.plen;
    }
  }
  CHECK(terms > 20);
  CHECK(r.nodes[0]->came.empty());
  CHECK(r.nodes[1]->came.empty());
  auto& c = r.client();
  c.read(1, 0);
  REQUIRE(r.until([&] { return c.answers.size() == 1; }));
  CHECK(c.status(1) == st::kOk);
}

TEST_CASE("a controller that breaks framing: the host's end says so and ends every command once") {
  const MonotonicClock clock;
  Loop loop(clock);
  std::uint32_t x = 7;
  const auto next = [&] { return x = x * 1664525 + 1013904223, x >> 8; };
  struct Mute final : StreamHandler {
    std::size_t on_received(nvme::ByteView b) override { return b.size(); }
    void on_closed(const std::string&) override {}
  } mute;
  int downs = 0;
  for (int i = 0; i < 100; ++i) {
    std::vector<std::unique_ptr<Stream>> accepted;
    Listener listener(loop, listen_on({"127.0.0.1", 0}), [&](Fd fd) {
      accepted.push_back(std::make_unique<Stream>(loop, std::move(fd), mute));
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
    ScriptClient c(loop, listener.address());
    const double end = clock.now() + 10;
    while (c.reason.empty() && clock.now() < end) loop.run_once(0.01);
    if (!c.reason.empty()) ++downs;
    CHECK_FALSE(c.host->ready());
  }
  CHECK(downs == 100);
}
