// A scheduler, scripted nodes, a scripted discovery and raw clients in one loop on loopback sockets. Time is
// turned by hand, a little each turn of the loop, so that limits of seconds take no seconds and no machine is
// too slow.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>

#include "http/writer.h"
#include "platform/scheduler.h"

namespace heronworks::test {

// Each TCP socket of this process, with `port` at either end if one is given.
inline void each_socket(const std::function<void(int)>& act, int port = 0) {
  for (int fd = 3; fd < 1024; ++fd) {
    int type = 0;
    socklen_t length = sizeof type;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) != 0 || type != SOCK_STREAM) continue;
    if (port == 0 || local_address(fd).port == port || peer_address(fd).port == port) act(fd);
  }
}

// One connection: keeps what came until it is looked at.
class Peer final : public StreamHandler {
 public:
  Peer(Loop& loop, Fd fd, bool connecting)
      : descriptor(fd.get()), stream(loop, std::move(fd), *this, connecting) {}
  std::size_t on_received(std::span<const std::uint8_t> b) override {
    in.append(b.begin(), b.end());
    if (came) came(*this);
    return b.size();
  }
  void on_closed(const std::string&) override { gone = true; }
  void send(std::string_view s) { stream.send({reinterpret_cast<const std::uint8_t*>(s.data()), s.size()}); }

  const int descriptor;
  std::string in;
  bool gone = false;
  std::function<void(Peer&)> came;
  Stream stream;
};

class RawServer {
 public:
  explicit RawServer(Loop& loop, std::function<void(Peer&)> came) : loop_(loop), came_(std::move(came)) {
    listener_ = std::make_unique<Listener>(loop, listen_on({"127.0.0.1", 0}), [this](Fd fd) {
      peers.push_back(std::make_unique<Peer>(loop_, std::move(fd), false));
      peers.back()->came = came_;
    });
    address = listener_->address();
  }
  void down() { listener_.reset(); }

  std::vector<std::unique_ptr<Peer>> peers;
  Address address;

 private:
  Loop& loop_;
  std::function<void(Peer&)> came_;
  std::unique_ptr<Listener> listener_;
};

inline std::string answer_text(int status, std::string_view body, std::string_view fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + std::string(fields) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

// Reads requests one after another; answers each with `reply`, or not at all while that is empty.
struct ScriptNode {
  struct Came {
    Peer* peer;
    http::Message request;
  };
  explicit ScriptNode(Loop& loop)
      : server(loop, [this](Peer& p) {
          while (true) {
            http::Reader reader(http::MessageKind::kRequest, {8192, platform::LongBodies::kLongest, 64});
            const auto used = reader.put({reinterpret_cast<const std::uint8_t*>(p.in.data()), p.in.size()});
            if (!reader.done()) return;
            p.in.erase(0, used);
            came.push_back({&p, reader.take_message()});
            if (!reply.empty()) p.send(reply);
          }
        }) {}
  std::string reply = answer_text(200, "data");
  std::vector<Came> came;
  RawServer server;
};

struct ScriptDiscovery {
  explicit ScriptDiscovery(Loop& loop)
      : server(loop, [this](Peer& p) {
          if (p.in.find("\r\n\r\n") == std::string::npos) return;
          asked.push_back(p.in.substr(0, p.in.find(" HTTP")));
          p.in.clear();
          if (!answers) return;
          p.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          line(p, first);
        }) {}
  void line(Peer& p, const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
    p.send(size + text + "\n\r\n");
  }
  void tell(const std::string& text) { line(*server.peers.back(), text); }

  bool answers = true;
  std::string first;  // the first line of a watch; empty: nothing changed
  std::vector<std::string> asked;
  RawServer server;
};

class PlatformRig {
 public:
  explicit PlatformRig(double sockets = 256) : log("", "error", 100) {
    folder = "/tmp/heronworks-platform-" + std::to_string(::getpid());
    std::filesystem::create_directories(folder);
    json = {{"name", "n0"},
            {"listen", "127.0.0.1:0"},
            {"discovery", discovery.server.address.to_string()},
            {"seed", "8c1f30d27a5be964"},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", sockets}}},
            {"known",
             nlohmann::json::parse(news(
                 7, true, {entry("s-0", node0.server.address, 0), entry("s-1", node1.server.address, 1)}))},
            {"settings", settings()}};
  }
  ~PlatformRig() {
    clients.clear();
    scheduler.reset();
    std::filesystem::remove_all(folder);
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
  static std::string entry(const std::string& id, const Address& at, int shard, const char* state = "Ready",
                           double started = 0) {
    return nlohmann::json{
        {"instanceId", id}, {"hostPort", at.to_string()}, {"zone", "a"},   {"machineType", "m"},
        {"cell", shard},    {"lifecycle", state},         {"weight", 1.0}, {"startedAtMs", started}}
        .dump();
  }
  static std::string news(int version, bool whole, const std::vector<std::string>& entries) {
    std::string text;
    for (const auto& e : entries) text += (text.empty() ? "" : ",") + e;
    return "{\"generation\":" + std::to_string(version) + ",\"reset\":" + (whole ? "true" : "false") +
           ",\"instances\":[" + text + "]}";
  }
  platform::Config config() {
    const std::string path = folder + "/config.json";
    std::ofstream(path) << json.dump();
    return platform::read_config(path, [](const char*) -> const char* { return nullptr; });
  }
  void start() {
    auto c = config();
    Fd free = listen_on({"127.0.0.1", 0});  // a port that nobody has
    c.listen = local_address(free.get());
    free.reset();
    address = c.listen;
    scheduler = std::make_unique<platform::Scheduler>(loop, std::move(c), log);
    until([&] { return !discovery.asked.empty(); });
    run(0.05);
  }
  Peer& client() {
    clients.push_back(std::make_unique<Peer>(loop, connect_to(address), true));
    return *clients.back();
  }
  static std::string request(const std::string& id, const std::string& more = "", int shard = 0) {
    return "GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app\r\nX-Call-Id: " + id +
           "\r\nX-Call-Class: read\r\nTier: gold\r\nX-Budget-Ms: 1000\r\nIO-Info: units=2,shard=" +
           std::to_string(shard) + ",hosts=1\r\n" + more + "\r\n";
  }
  // The status of the first answer on the connection, 0 for none.
  static int status(const Peer& p) { return p.in.size() < 12 ? 0 : std::atoi(p.in.c_str() + 9); }
  static std::string body(const Peer& p) {
    return p.in.substr(std::min(p.in.size(), p.in.find("\r\n\r\n") + 4));
  }

  void turn() {
    loop.run_once(0.0002);
    clock.advance(0.001);
  }
  bool until(const std::function<bool()>& done, double most = 20) {
    for (double end = clock.now() + most; !done() && clock.now() < end;) turn();
    return done();
  }
  void run(double seconds) {
    for (double end = clock.now() + seconds; clock.now() < end;) turn();
  }
  int ask(const std::string& text) {
    Peer& c = client();
    c.send(text);
    until([&] { return status(c) != 0 || c.gone; }, 5);
    return status(c);
  }

  ManualClock clock{MonotonicClock().now()};
  Loop loop{clock};
  Log log;
  ScriptNode node0{loop};
  ScriptNode node1{loop};
  ScriptDiscovery discovery{loop};
  nlohmann::json json;
  std::string folder;
  Address address;
  std::vector<std::unique_ptr<Peer>> clients;
  std::unique_ptr<platform::Scheduler> scheduler;
};

}  // namespace heronworks::test
