// A scheduler, scripted nodes, a scripted list and clients in one loop on loopback sockets: each test says
// what the nodes do and sees what the clients get.
#pragma once

#include <array>
#include <fstream>
#include <functional>
#include <map>

#include "gateway/scheduler.h"

namespace heronworks::test {

inline std::string scratch(const std::string& name) {
  return "/tmp/heronworks-test-" + std::to_string(::getpid()) + "-" + name;
}

// Keeps what came; answers when told, or at once where `answers` is set.
class ScriptNode final : public nvme::Backend {
 public:
  ScriptNode(Loop& loop, const Address& at = {"127.0.0.1", 0}) : loop_(loop) { up(at); }
  void up(const Address& at) {
    nvme::TargetOptions o;
    o.subnqn = "nqn.2026-11.org.heronworks:node";
    o.mdts = 8;
    Fd fd = listen_on(at);
    if (!fd) throw std::runtime_error("cannot listen");
    target = std::make_unique<nvme::Target>(loop_, std::move(fd), o, *this);
    address = target->address();
  }
  void answer(std::size_t i, nvme::Status status = nvme::status::kOk, std::uint64_t result = 0) {
    const auto& c = came.at(i);
    const nvme::Bytes data(c.sqe.opcode == nvme::opcode::kRead ? c.sqe.sgl_length : 0, 0x77);
    target->complete(c.connection, c.sqe.cid, status, result, data);
  }
  nvme::Status identify(std::uint8_t, std::uint8_t, std::uint32_t, nvme::Bytes&) override { return {}; }
  void execute_command(nvme::Command&& c) override {
    came.push_back(std::move(c));
    if (answers) answer(came.size() - 1, *answers);
  }
  void get_log_page(nvme::ConnectionId, std::uint16_t, std::uint8_t, std::uint64_t, std::uint32_t) override {}
  void connection_closed(nvme::ConnectionId) override {}

  std::vector<nvme::Command> came;
  std::optional<nvme::Status> answers = nvme::status::kOk;
  std::unique_ptr<nvme::Target> target;
  Address address;

 private:
  Loop& loop_;
};

class ScriptList final : public nvme::Backend {
 public:
  explicit ScriptList(Loop& loop) {
    nvme::TargetOptions o;
    o.subnqn = nvme::kDiscoveryNqn;
    target = std::make_unique<nvme::Target>(loop, listen_on({"127.0.0.1", 0}), o, *this);
  }
  void change(std::vector<gateway::ListedNode> to) {
    nodes = std::move(to);
    target->send_async_event(nvme::kEventDiscoveryLogChanged);
  }
  nvme::Status identify(std::uint8_t, std::uint8_t, std::uint32_t, nvme::Bytes&) override { return {}; }
  void execute_command(nvme::Command&&) override {}
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t, std::uint64_t offset,
                    std::uint32_t length) override {
    if (offset > 0 && between) std::exchange(between, nullptr)();
    auto bytes = gateway::encode_list(nodes, 1, "x");
    if (offset > bytes.size()) bytes.resize(offset + length);
    const auto part =
        nvme::ByteView(bytes).subspan(offset, std::min<std::size_t>(length, bytes.size() - offset));
    target->complete(connection, cid, nvme::status::kOk, 0, part);
    ++asked;
  }
  void connection_closed(nvme::ConnectionId) override {}

  std::function<void()> between;  // once, before a part that is not the first
  std::vector<gateway::ListedNode> nodes;
  std::unique_ptr<nvme::Target> target;
  int asked = 0;
};

class ScriptClient final : public nvme::HostHandler {
 public:
  ScriptClient(Loop& loop, const Address& address, std::uint16_t depth = 128, nvme::Digests digests = {}) {
    nvme::HostOptions o;
    o.address = address;
    o.subnqn = "nqn.2026-11.org.heronworks:gateway";
    o.io_queue_size = depth;
    o.keep_alive_timeout = 0;
    o.digests = digests;
    o.connect_timeout = 5;
    host = std::make_unique<nvme::Host>(loop, o, *this);
  }
  void on_ready() override {}
  void on_completed(std::uint64_t token, nvme::Completion&& c) override {
    if (answers.contains(token)) twice = true;
    answers[token] = std::move(c);
  }
  void on_disconnected(const std::string& r) override { reason = r; }

  void read(std::uint64_t token, std::uint64_t lba, std::uint32_t blocks = 1, double left = 0) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kRead;
    send(token, c, lba, blocks, left);
  }
  void write(std::uint64_t token, std::uint64_t lba, std::uint32_t blocks = 1, double left = 0) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kWrite;
    send(token, c, lba, blocks, left);
  }
  void append(std::uint64_t token, std::uint32_t blocks = 1, double left = 0) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kZoneAppend;
    send(token, c, 0, blocks, left);
  }
  void send(std::uint64_t token, nvme::Sqe c, std::uint64_t lba, std::uint32_t blocks, double left) {
    const bool reads = c.opcode == nvme::opcode::kRead;
    c.nsid = 1;
    c.set_slba(lba);
    c.set_blocks(blocks);
    c.set_idempotency_key(token + 1000);
    c.set_time_left(left);
    auto data = reads ? nullptr : std::make_shared<const nvme::Bytes>(blocks * 4096, std::uint8_t(token));
    host->submit(token, c, data, reads ? blocks * 4096 : 0);
  }
  nvme::Status status(std::uint64_t token) const { return answers.at(token).status(); }
  int count(nvme::Status s) const {
    int n = 0;
    for (const auto& [t, c] : answers) n += c.arrived && c.status() == s ? 1 : 0;
    return n;
  }

  std::unique_ptr<nvme::Host> host;
  std::map<std::uint64_t, nvme::Completion> answers;
  bool twice = false;
  std::string reason;
};

// Two shards, one volume of eight zones of 64 blocks; profiles: reads redoable, writes labelled within their
// cell and in order, appends irreversible.
template <class C>
class RigOn {
 public:
  explicit RigOn(const std::string& more = "", std::vector<gateway::ListedNode> listed = {},
                 bool listed_set = false)
      : loop(clock),
        list(loop),
        nodes{std::make_unique<ScriptNode>(loop), std::make_unique<ScriptNode>(loop)} {
    list.nodes = listed_set ? std::move(listed) : all_ready();
    const std::string path = scratch("config.toml");
    std::ofstream(path) << "[scheduler]\nlisten = \"127.0.0.1:0\"\n[list]\naddress = \""
                        << list.target->address().to_string() << "\"\nsaved = \"" << scratch("list.json")
                        << "\"\n"
                        << R"([space]
zone_blocks = 64
zones = 8
shards = 2
[log]
level = "error"
[[profile]]
name = "read"
contract = 0.5
cut_off = 2
repeat = "redoable"
[[profile]]
name = "write"
contract = 0.5
cut_off = 2
repeat = "labelled"
label_window = 1
in_order = true
[[profile]]
name = "append"
contract = 0.5
cut_off = 2
repeat = "irreversible"
[[plan]]
name = "base"
usual = 10000
reservation = 10000
[sharing]
largest_units = 64
[[match]]
operation = "read"
profile = "read"
[[match]]
operation = "write"
profile = "write"
[[match]]
operation = "append"
profile = "append"
[[volumes]]
first = 1
plan = "base"
)" << more;
    config::Problems problems;
    auto c = config::read_gateway(path, problems);
    for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.shown().c_str());
    config = std::move(c.value());
  }
  ~RigOn() {
    clients.clear();
    scheduler.reset();
  }
  std::vector<gateway::ListedNode> all_ready() const {
    return {{nodes[0]->address, 0, 0, NodeState::kReady, 0}, {nodes[1]->address, 0, 1, NodeState::kReady, 0}};
  }
  void start(bool wait = true) {
    scheduler = std::make_unique<gateway::Scheduler>(loop, config, log);
    if (wait) until([&] { return list.asked > 0; });
    if (wait) run(0.1);
  }
  ScriptClient& client(std::uint16_t depth = 128, nvme::Digests digests = {}) {
    clients.push_back(std::make_unique<ScriptClient>(loop, scheduler->address(), depth, digests));
    ScriptClient& c = *clients.back();
    until([&] { return c.host->ready(); });
    return c;
  }
  // Whether it became so within a time that only a hang uses up.
  bool until(const std::function<bool()>& done) {
    const double end = clock.now() + 20;
    for (int turns = 0; !done() && clock.now() < end && turns < 5000; ++turns) loop.run_once(0.01);
    return done();
  }
  void run(double seconds) {
    const double end = clock.now() + seconds;
    while (clock.now() < end) loop.run_once(0.005);
  }

  C clock;
  Loop loop;
  Log log{"", "error", 100};
  ScriptList list;
  std::array<std::unique_ptr<ScriptNode>, 2> nodes;
  config::GatewayConfig config;
  std::unique_ptr<gateway::Scheduler> scheduler;
  std::vector<std::unique_ptr<ScriptClient>> clients;
};

using Rig = RigOn<MonotonicClock>;

}  // namespace heronworks::test
