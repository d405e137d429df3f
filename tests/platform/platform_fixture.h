// A scheduler with scripted nodes, a scripted discovery service and raw clients, in one event loop on
// loopback sockets. The clock is advanced by hand in each loop iteration, so that tests neither wait for real
// timeouts nor depend on the machine's speed.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>

#include "http/writer.h"
#include "platform/scheduler.h"

namespace heronworks::test {

// Calls `action` for each TCP socket of this process; with `port`, only for those bound or connected to it.
inline void for_each_socket(const std::function<void(int)>& action, int port = 0) {
  for (int fd = 3; fd < 1024; ++fd) {
    int type = 0;
    socklen_t length = sizeof type;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0 || type != SOCK_STREAM) continue;
    if (port == 0 || local_address(fd).port == port || peer_address(fd).port == port) action(fd);
  }
}

// One connection, which collects what it receives.
class Peer final : public StreamHandler {
 public:
  Peer(Loop& loop, Fd fd, bool connecting)
      : descriptor(fd.get()), stream(loop, std::move(fd), *this, connecting) {}
  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    input.append(bytes.begin(), bytes.end());
    if (on_input) on_input(*this);
    return bytes.size();
  }
  void on_closed(const std::string&) override { closed = true; }
  void send(std::string_view text) {
    stream.send({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  }

  const int descriptor;
  std::string input;
  bool closed = false;
  std::function<void(Peer&)> on_input;
  Stream stream;
};

// A client without an event loop, which observes bytes, an orderly end and a reset as the kernel reports
// them.
struct RawClient {
  explicit RawClient(const Address& address) : fd(connect_to(address)) {}
  bool send(const std::string& text) {
    return ::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  // Appends received bytes to `input`. Returns 0 at the peer's orderly end, -1 if the connection is open, or
  // errno.
  int receive() {
    char bytes[65536];
    while (true) {
      const auto n = ::recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
      if (n > 0) input.append(bytes, static_cast<std::size_t>(n));
      else if (n == 0) return 0;
      else return errno == EAGAIN ? -1 : errno;
    }
  }
  Fd fd;
  std::string input;
};

class PeerServer {
 public:
  explicit PeerServer(Loop& loop, std::function<void(Peer&)> on_input)
      : loop_(loop), on_input_(std::move(on_input)) {
    listener_ = std::make_unique<Listener>(loop, listen_on({"127.0.0.1", 0}), [this](Fd fd) {
      peers.push_back(std::make_unique<Peer>(loop_, std::move(fd), false));
      peers.back()->on_input = on_input_;
    });
    address = listener_->address();
  }
  void stop_listening() { listener_.reset(); }

  std::vector<std::unique_ptr<Peer>> peers;
  Address address;

 private:
  Loop& loop_;
  std::function<void(Peer&)> on_input_;
  std::unique_ptr<Listener> listener_;
};

inline std::string http_reply(int status, std::string_view body, std::string_view fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + std::string(fields) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// Sends `reply` to each request, and those of `first_replies` before. Does not reply while both are empty.
struct ScriptedNode {
  struct ReceivedRequest {
    Peer* peer;
    http::Message request;
  };
  explicit ScriptedNode(Loop& loop)
      : server(loop, [this](Peer& peer) {
          while (true) {
            http::Reader reader(http::MessageKind::kRequest,
                                {8192, platform::MemoryBudget::kMaxBodyBytes, 64});
            const auto used =
                reader.put({reinterpret_cast<const std::uint8_t*>(peer.input.data()), peer.input.size()});
            if (!reader.done()) return;
            peer.input.erase(0, used);
            received.push_back({&peer, reader.take_message()});
            if (!first_replies.empty()) {
              peer.send(first_replies.front());
              first_replies.pop_front();
            } else if (!reply.empty()) {
              peer.send(reply);
            }
          }
        }) {}
  std::string reply = http_reply(200, "data");
  std::deque<std::string> first_replies;
  std::vector<ReceivedRequest> received;
  PeerServer server;
};

// Accepts watches of the endpoint list.
struct ScriptedDiscovery {
  explicit ScriptedDiscovery(Loop& loop)
      : server(loop, [this](Peer& peer) {
          if (peer.input.find("\r\n\r\n") == std::string::npos) return;
          requests.push_back(peer.input.substr(0, peer.input.find(" HTTP")));
          peer.input.clear();
          if (!responds) return;
          if (!first_response.empty()) return peer.send(std::exchange(first_response, {}));
          peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          send_line(peer, first_line);
        }) {}
  void send_line(Peer& peer, const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
    peer.send(size + text + "\n\r\n");
  }
  // Sends a line on the latest watch.
  void push(const std::string& text) { send_line(*server.peers.back(), text); }

  bool responds = true;
  std::string first_response;  // raw, to the first request; empty: as to the others
  std::string first_line;      // of each watch; empty: nothing has changed
  std::vector<std::string> requests;
  PeerServer server;
};

class PlatformFixture {
 public:
  explicit PlatformFixture(double max_sockets = 256) : log("", "error", 100) {
    directory = "/tmp/heronworks-platform-" + std::to_string(::getpid());
    std::filesystem::create_directories(directory);
    json = {{"name", "n0"},
            {"listen", "127.0.0.1:0"},
            {"discovery", discovery.server.address.to_string()},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", max_sockets}}},
            {"known", nlohmann::json::parse(update_text(7, true,
                                                        {entry_text("s-0", node0.server.address, 0),
                                                         entry_text("s-1", node1.server.address, 1)}))},
            {"settings", settings()}};
  }
  ~PlatformFixture() {
    clients.clear();
    scheduler.reset();
    std::filesystem::remove_all(directory);
  }

  static nlohmann::json settings() {
    const auto profile = [](const char* name, const char* effect) {
      return nlohmann::json{
          {"name", name},     {"aim", 400000},   {"give-up", 2000000},      {"gain", 2.0},
          {"effect", effect}, {"group", "cell"}, {"dedup-window", 5000000}, {"late-worth", 0.1},
          {"streamed", false}};
    };
    nlohmann::json s;
    s["balancers"] = 1;
    s["index"] = 0;
    s["discovery"] = "on_request";
    s["resolution"] = 2000;
    s["family-info"] = {{"largest", 8}, {"mean-units", 2.0}, {"n-shards", 2}, {"writes", {false, true}}};
    s["allowed"] = {{"attempts-cap", 3},
                    {"connect-timeout", 250000},
                    {"idle-close", 30000000},
                    {"max-retry-after", 1000000},
                    {"retry-after", true}};
    s["rules"] = {{"ask-every", 10000000}, {"stop-sending-within", 250000}};
    s["request-classes"] = {profile("read", "safe"), profile("write", "keyed")};
    s["policies"] = {{{"name", "gold"}, {"nominal", 1000.0}, {"floor-rate", 1000.0}, {"shares", 1.0}}};
    return s;
  }
  static std::string entry_text(const std::string& id, const Address& address, int shard,
                                const char* state = "Ready", double started_at_ms = 0) {
    return nlohmann::json{{"instanceId", id}, {"hostPort", address.to_string()},
                          {"zone", "a"},      {"machineType", "m"},
                          {"cell", shard},    {"lifecycle", state},
                          {"weight", 1.0},    {"startedAtMs", started_at_ms}}
        .dump();
  }
  static std::string update_text(int version, bool is_full, const std::vector<std::string>& entries) {
    std::string text;
    for (const auto& entry : entries) text += (text.empty() ? "" : ",") + entry;
    return "{\"generation\":" + std::to_string(version) + ",\"reset\":" + (is_full ? "true" : "false") +
           ",\"instances\":[" + text + "]}";
  }
  // Writes `json` to a file and reads it as a configuration.
  platform::Config config() {
    const std::string path = directory + "/config.json";
    std::ofstream(path) << json.dump();
    return platform::read_config(path, [](const char*) -> const char* { return nullptr; });
  }
  void start() {
    auto c = config();
    Fd unused = listen_on({"127.0.0.1", 0});  // finds a free port
    c.listen = local_address(unused.get());
    unused.reset();
    address = c.listen;
    scheduler = std::make_unique<platform::Scheduler>(loop, std::move(c), log);
    run_until([&] { return !discovery.requests.empty(); });
    run_for(0.05);
  }
  Peer& client() {
    clients.push_back(std::make_unique<Peer>(loop, connect_to(address), true));
    return *clients.back();
  }
  static std::string request(const std::string& call_id, const std::string& fields = "", int shard = 0) {
    return "GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app\r\nX-Call-Id: " + call_id +
           "\r\nX-Call-Class: read\r\nTier: gold\r\nX-Budget-Ms: 1000\r\nIO-Info: units=2,shard=" +
           std::to_string(shard) + ",hosts=1\r\n" + fields + "\r\n";
  }
  static std::string write(const std::string& call_id, const std::string& body) {
    return "PUT /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app\r\nX-Call-Id: " + call_id +
           "\r\nX-Call-Class: write\r\nTier: gold\r\nX-Budget-Ms: 1000\r\nIO-Info: "
           "units=2,shard=0,hosts=1\r\n" +
           "Idempotency-Key: k" + call_id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }
  // The status of the first reply on the connection; 0: none yet.
  static int status(const Peer& peer) {
    return peer.input.size() < 12 ? 0 : std::atoi(peer.input.c_str() + 9);
  }
  static std::string body(const Peer& peer) {
    return peer.input.substr(std::min(peer.input.size(), peer.input.find("\r\n\r\n") + 4));
  }

  void run_once() {
    loop.run_once(0.0002);
    clock.advance(0.001);
  }
  // Returns whether the condition holds within the time limit.
  bool run_until(const std::function<bool()>& condition, double max_seconds = 20) {
    for (double end = clock.now() + max_seconds; !condition() && clock.now() < end;) run_once();
    return condition();
  }
  void run_for(double seconds) {
    for (double end = clock.now() + seconds; clock.now() < end;) run_once();
  }
  // Until connections that are idle now may be reused.
  void pass_reuse_delay() { run_for(scheduler->node_connections().reuse_delay() + 0.01); }
  // Sends a request on a new connection and returns the status of its reply, 0 if there is none.
  int send_and_wait(const std::string& text) {
    Peer& c = client();
    c.send(text);
    run_until([&] { return status(c) != 0 || c.closed; }, 5);
    return status(c);
  }

  ManualClock clock{MonotonicClock().now()};
  Loop loop{clock};
  Log log;
  ScriptedNode node0{loop};
  ScriptedNode node1{loop};
  ScriptedDiscovery discovery{loop};
  nlohmann::json json;
  std::string directory;
  Address address;
  std::vector<std::unique_ptr<Peer>> clients;
  std::unique_ptr<platform::Scheduler> scheduler;
};

}  // namespace heronworks::test
