// What a request costs `heronworks platform`, by the size of its body and of its reply: requests served a
// second and CPU time of the scheduler's process, whose program is the argument. Clients send one request
// after the other on connections that stay open; two nodes in a process of their own reply at once.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

#include "http/reader.h"
#include "http/writer.h"
#include "loop/stream.h"

using namespace heronworks;

namespace {

constexpr double kWarmUpSeconds = 1;
constexpr double kMeasuredSeconds = 3;
constexpr int kClients = 8;
constexpr int kNodes = 2;
constexpr http::MessageLimits kLimits{8192, std::size_t{1} << 20, 64};

std::span<const std::uint8_t> as_bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

// Receives one message after the other on a connection.
class Session : public StreamHandler {
 public:
  Session(Loop& loop, Fd fd, bool connecting, http::MessageKind kind)
      : reader_(kind, kLimits), stream_(loop, std::move(fd), *this, connecting) {}
  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const auto used = reader_.put(bytes);
    if (reader_.done()) on_message(reader_.take_message());
    return used;
  }
  void on_closed(const std::string&) override { closed = true; }
  bool closed = false;

 protected:
  virtual void on_message(http::Message message) = 0;
  http::Reader reader_;
  Stream stream_;
};

class NodeSession final : public Session {
 public:
  NodeSession(Loop& loop, Fd fd, const std::string& reply)
      : Session(loop, std::move(fd), false, http::MessageKind::kRequest), reply_(reply) {}

 private:
  void on_message(http::Message) override { stream_.send(as_bytes(reply_)); }
  const std::string& reply_;
};

class ClientSession final : public Session {
 public:
  ClientSession(Loop& loop, const Address& address, int id, const std::string& body)
      : Session(loop, connect_to(address), true, http::MessageKind::kResponse), id_(id), body_(body) {}
  int served = 0;
  int failed = 0;

 private:
  void on_connected() override { send_next(); }
  void on_message(http::Message message) override {
    ++(message.status == 200 ? served : failed);
    send_next();
  }
  void send_next() {
    const std::string id = std::to_string(id_) + "-" + std::to_string(++sent_);
    http::Writer(stream_.write_buffer())
        .request_line("PUT", "/api/00000003b4d60021/7f3a9c21e0b4d655")
        .field("Host", "n0")
        .field("X-Call-Id", id)
        .field("X-Call-Class", "write")
        .field("Tier", "gold")
        .field("X-Budget-Ms", "1000")
        .field("IO-Info", "units=2,shard=" + std::to_string(id_ % kNodes) + ",hosts=1")
        .field("Idempotency-Key", id)
        .body(body_);
    stream_.flush();
  }
  const int id_;
  const std::string& body_;
  int sent_ = 0;
};

// Runs the nodes in a forked process.
pid_t start_nodes(std::vector<Fd> listeners, const std::string& body) {
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  const std::string reply =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<NodeSession>> sessions;
  std::vector<std::unique_ptr<Listener>> accepting;
  for (Fd& listener : listeners) {
    accepting.push_back(std::make_unique<Listener>(loop, std::move(listener), [&](Fd fd) {
      sessions.push_back(std::make_unique<NodeSession>(loop, std::move(fd), reply));
    }));
  }
  loop.run();
  std::_Exit(0);
}

nlohmann::json configuration(const Address& listen, const std::vector<Address>& nodes) {
  nlohmann::json instances = nlohmann::json::array();
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    instances.push_back({{"instanceId", "s-" + std::to_string(i)},
                         {"hostPort", nodes[i].to_string()},
                         {"zone", "a"},
                         {"machineType", "m"},
                         {"cell", i},
                         {"lifecycle", "Ready"},
                         {"weight", 1.0},
                         {"startedAtMs", 0}});
  }
  const nlohmann::json profile = {
      {"name", "write"},   {"aim", 400000},   {"give-up", 2000000},      {"gain", 2.0},
      {"effect", "keyed"}, {"group", "cell"}, {"dedup-window", 5000000}, {"late-worth", 0.1},
      {"streamed", false}};
  const nlohmann::json settings = {
      {"balancers", 1},
      {"index", 0},
      {"discovery", "on_request"},
      {"resolution", 2000},
      {"family-info", {{"largest", 8}, {"mean-units", 2.0}, {"n-shards", kNodes}}},
      {"allowed",
       {{"attempts-cap", 3},
        {"connect-timeout", 250000},
        {"idle-close", 30000000},
        {"max-retry-after", 1000000},
        {"retry-after", true}}},
      {"rules", {{"ask-every", 10000000}, {"stop-sending-within", 250000}}},
      {"request-classes", {profile}},
      {"policies", {{{"name", "gold"}, {"nominal", 1e6}, {"floor-rate", 1e6}, {"shares", 1.0}}}}};
  return {{"name", "n0"},
          {"listen", listen.to_string()},
          {"discovery", "127.0.0.1:1"},
          {"seed", "1"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", {{"generation", 1}, {"reset", true}, {"instances", instances}}},
          {"settings", settings}};
}

pid_t start_scheduler(const char* program, const std::string& configuration_path) {
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  ::setenv("LB_CONFIG", configuration_path.c_str(), 1);
  if (std::freopen("/dev/null", "w", stderr) == nullptr) std::_Exit(126);
  ::execl(program, program, "platform", nullptr);
  std::_Exit(127);
}

// CPU time of a process in seconds, of the first field of its schedstat, which is in nanoseconds.
double cpu_seconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double nanoseconds = 0;
  file >> nanoseconds;
  return 1e-9 * nanoseconds;
}

void stop(pid_t pid) {
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
}

void measure(const char* program, const std::string& directory, std::size_t body_bytes) {
  const std::string body(body_bytes, 'x');
  std::vector<Fd> listeners;
  std::vector<Address> nodes;
  for (int i = 0; i < kNodes; ++i) {
    listeners.push_back(listen_on({"127.0.0.1", 0}));
    nodes.push_back(local_address(listeners.back().get()));
  }
  Fd reserved = listen_on({"127.0.0.1", 0});
  const Address address = local_address(reserved.get());
  reserved.reset();
  const std::string path = directory + "/config.json";
  std::ofstream(path) << configuration(address, nodes).dump();
  const pid_t node_process = start_nodes(std::move(listeners), body);
  const pid_t scheduler = start_scheduler(program, path);
  ::usleep(300'000);

  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<ClientSession>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<ClientSession>(loop, address, i, body));
  }
  const auto run_for = [&](double seconds) {
    for (const double end = clock.now() + seconds; clock.now() < end;) loop.run_once(0.01);
  };
  run_for(kWarmUpSeconds);
  for (auto& client : clients) client->served = client->failed = 0;
  const double cpu_before = cpu_seconds(scheduler);
  run_for(kMeasuredSeconds);
  const double cpu = cpu_seconds(scheduler) - cpu_before;
  int served = 0;
  int failed = 0;
  for (const auto& client : clients) {
    served += client->served;
    failed += client->failed;
  }
  std::printf("%10zu %10.0f %10.1f %8d\n", body_bytes, served / kMeasuredSeconds,
              1e6 * cpu / std::max(served, 1), failed);
  stop(scheduler);
  stop(node_process);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return std::fprintf(stderr, "usage: bench-platform HERONWORKS\n"), 2;
  std::printf("Requests through the platform's front, %d clients, bodies both ways\n", kClients);
  std::printf("%10s %10s %10s %8s\n", "body bytes", "served/s", "CPU us", "failed");
  const std::string directory = "/tmp/heronworks-bench-" + std::to_string(::getpid());
  std::filesystem::create_directories(directory);
  for (const std::size_t bytes : {0, 500, 4096, 16384, 65536, 262144}) {
    std::fflush(stdout);
    measure(argv[1], directory, bytes);
  }
  std::filesystem::remove_all(directory);
  return 0;
}
