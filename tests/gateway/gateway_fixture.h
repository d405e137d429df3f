// Test fixture of the gateway: a scheduler with scripted nodes, a scripted discovery controller and clients,
// all in one loop on loopback sockets.
#pragma once

#include <array>
#include <fstream>
#include <functional>
#include <map>

#include "gateway/scheduler.h"

namespace heronworks::test {

inline std::string temporary_path(const std::string& name) {
  return "/tmp/heronworks-test-" + std::to_string(::getpid()) + "-" + name;
}

// Records the commands that it receives. Responds to them at once with `auto_response`, if set, or on a call
// of respond().
class ScriptedNode final : public nvme::Backend {
 public:
  ScriptedNode(Loop& loop, const Address& at = {"127.0.0.1", 0}) : loop_(loop) { listen(at); }
  void listen(const Address& at) {
    nvme::TargetOptions o;
    o.subnqn = "nqn.2026-11.org.heronworks:node";
    o.mdts = 8;
    Fd fd = listen_on(at);
    if (!fd) throw std::runtime_error("cannot listen on " + at.to_string());
    target = std::make_unique<nvme::Target>(loop_, std::move(fd), o, *this);
    address = target->address();
  }
  void respond(std::size_t i, nvme::Status status = nvme::status::kOk, std::uint64_t result = 0) {
    const auto& c = commands.at(i);
    const nvme::Bytes data(c.sqe.opcode == nvme::opcode::kRead ? c.sqe.sgl_length : 0, 0x77);
    target->complete(c.connection, c.sqe.cid, status, result, data);
  }
  nvme::Status identify(std::uint8_t, std::uint8_t, std::uint32_t, nvme::Bytes&) override { return {}; }
  void execute_command(nvme::Command&& c) override {
    commands.push_back(std::move(c));
    if (auto_response) respond(commands.size() - 1, *auto_response);
  }
  void get_log_page(nvme::ConnectionId, std::uint16_t, std::uint8_t, std::uint64_t, std::uint32_t) override {}
  void connection_closed(nvme::ConnectionId) override {}

  std::vector<nvme::Command> commands;
  std::optional<nvme::Status> auto_response = nvme::status::kOk;
  std::unique_ptr<nvme::Target> target;
  Address address;

 private:
  Loop& loop_;
};

class ScriptedEndpointList final : public nvme::Backend {
 public:
  explicit ScriptedEndpointList(Loop& loop) {
    nvme::TargetOptions o;
    o.subnqn = nvme::kDiscoveryNqn;
    target = std::make_unique<nvme::Target>(loop, listen_on({"127.0.0.1", 0}), o, *this);
  }
  void update(std::vector<gateway::ListedEndpoint> to) {
    endpoints = std::move(to);
    target->send_async_event(nvme::kEventDiscoveryLogChanged);
  }
  nvme::Status identify(std::uint8_t, std::uint8_t, std::uint32_t, nvme::Bytes&) override { return {}; }
  void execute_command(nvme::Command&&) override {}
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t, std::uint64_t offset,
                    std::uint32_t length) override {
    if (offset > 0 && before_next_part) std::exchange(before_next_part, nullptr)();
    auto bytes = gateway::encode_endpoint_list(endpoints, 1, "x");
    if (offset > bytes.size()) bytes.resize(offset + length);
    const auto part =
        nvme::ByteView(bytes).subspan(offset, std::min<std::size_t>(length, bytes.size() - offset));
    target->complete(connection, cid, nvme::status::kOk, 0, part);
    ++requests;
  }
  void connection_closed(nvme::ConnectionId) override {}

  std::function<void()> before_next_part;  // called once, before a part other than the first is sent
  std::vector<gateway::ListedEndpoint> endpoints;
  std::unique_ptr<nvme::Target> target;
  int requests = 0;  // served, one per part
};

// A client of volume 1. `time_left` 0: none is sent, and the profile's deadline applies.
class TestClient final : public nvme::HostHandler {
 public:
  TestClient(Loop& loop, const Address& address, std::uint16_t depth = 128, nvme::Digests digests = {}) {
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
    if (completions.contains(token)) completed_twice = true;
    completions[token] = std::move(c);
  }
  void on_disconnected(const std::string& r) override { down_reason = r; }

  void read(std::uint64_t token, std::uint64_t lba, std::uint32_t blocks = 1, double time_left = 0) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kRead;
    send(token, c, lba, blocks, time_left);
  }
  void write(std::uint64_t token, std::uint64_t lba, std::uint32_t blocks = 1, double time_left = 0) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kWrite;
    send(token, c, lba, blocks, time_left);
  }
  void append(std::uint64_t token, std::uint32_t blocks = 1, double time_left = 0) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kZoneAppend;
    send(token, c, 0, blocks, time_left);
  }
  // The idempotency key is the token + 1000.
  void send(std::uint64_t token, nvme::Sqe c, std::uint64_t lba, std::uint32_t blocks, double time_left) {
    const bool reads = c.opcode == nvme::opcode::kRead;
    c.nsid = 1;
    c.set_slba(lba);
    c.set_blocks(blocks);
    c.set_idempotency_key(token + 1000);
    c.set_time_left(time_left);
    auto data = reads ? nullptr : std::make_shared<const nvme::Bytes>(blocks * 4096, std::uint8_t(token));
    host->submit(token, c, data, reads ? blocks * 4096 : 0);
  }
  nvme::Status status(std::uint64_t token) const { return completions.at(token).status(); }
  int count(nvme::Status s) const {
    int n = 0;
    for (const auto& [t, c] : completions) n += c.arrived && c.status() == s ? 1 : 0;
    return n;
  }

  std::unique_ptr<nvme::Host> host;
  std::map<std::uint64_t, nvme::Completion> completions;  // by token
  bool completed_twice = false;
  std::string down_reason;
};

// Two shards of one node each, and one volume of eight zones of 64 blocks. Reads are idempotent; writes are
// deduplicated within their shard and ordered by key; appends are not idempotent.
template <class C>
class BasicGatewayFixture {
 public:
  explicit BasicGatewayFixture(const std::string& extra_config = "",
                               std::vector<gateway::ListedEndpoint> listed = {}, bool use_listed = false)
      : loop(clock),
        endpoint_list(loop),
        nodes{std::make_unique<ScriptedNode>(loop), std::make_unique<ScriptedNode>(loop)} {
    endpoint_list.endpoints = use_listed ? std::move(listed) : all_ready();
    const std::string path = temporary_path("config.toml");
    std::ofstream(path) << "[scheduler]\nlisten = \"127.0.0.1:0\"\n[list]\naddress = \""
                        << endpoint_list.target->address().to_string() << "\"\nsaved = \""
                        << temporary_path("list.json") << "\"\n"
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
)" << extra_config;
    config::Problems problems;
    auto c = config::read_gateway_config(path, problems);
    for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.to_string().c_str());
    config = std::move(c.value());
  }
  ~BasicGatewayFixture() {
    clients.clear();
    scheduler.reset();
  }
  std::vector<gateway::ListedEndpoint> all_ready() const {
    return {{nodes[0]->address, 0, 0, NodeState::kReady, 0}, {nodes[1]->address, 0, 1, NodeState::kReady, 0}};
  }
  // Starts the scheduler; with `wait`, until it has fetched the endpoint list.
  void start(bool wait = true) {
    scheduler = std::make_unique<gateway::Scheduler>(loop, config, log);
    if (wait) run_until([&] { return endpoint_list.requests > 0; });
    if (wait) run_for(0.1);
  }
  // Connects another client.
  TestClient& client(std::uint16_t depth = 128, nvme::Digests digests = {}) {
    clients.push_back(std::make_unique<TestClient>(loop, scheduler->address(), depth, digests));
    TestClient& c = *clients.back();
    run_until([&] { return c.host->ready(); });
    return c;
  }
  // Runs the loop until the condition holds; returns false if that takes 20 s or 5000 iterations.
  bool run_until(const std::function<bool()>& condition) {
    const double end = clock.now() + 20;
    for (int turns = 0; !condition() && clock.now() < end && turns < 5000; ++turns) loop.run_once(0.01);
    return condition();
  }
  void run_for(double seconds) {
    const double end = clock.now() + seconds;
    while (clock.now() < end) loop.run_once(0.005);
  }

  C clock;
  Loop loop;
  Log log{"", "error", 100};
  ScriptedEndpointList endpoint_list;
  std::array<std::unique_ptr<ScriptedNode>, 2> nodes;
  config::GatewayConfig config;
  std::unique_ptr<gateway::Scheduler> scheduler;
  std::vector<std::unique_ptr<TestClient>> clients;
};

using GatewayFixture = BasicGatewayFixture<MonotonicClock>;

}  // namespace heronworks::test
