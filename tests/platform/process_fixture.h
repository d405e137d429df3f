// The scheduler as a process of its own: the program of the environment variable HERONWORKS, without
// sanitizers.
#pragma once

#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "platform_fixture.h"

namespace heronworks::test {

// Replies to each request after kServiceSeconds.
class DelayingNode {
 public:
  static constexpr double kServiceSeconds = 0.05;
  static constexpr std::size_t kReplyBytes = 65536;
  explicit DelayingNode(Loop& loop) : loop_(loop), server_(loop, [this](Peer& peer) { read(peer); }) {}
  const Address& address() const { return server_.address; }

 private:
  void read(Peer& peer) {
    http::Reader reader(http::MessageKind::kRequest, {8192, platform::MemoryBudget::kMaxBodyBytes, 64});
    reader.put({reinterpret_cast<const std::uint8_t*>(peer.input.data()), peer.input.size()});
    if (!reader.done()) return;
    peer.input.clear();
    loop_.run_at(loop_.now() + kServiceSeconds, [this, &peer] { peer.send(reply_); });
  }

  Loop& loop_;
  const std::string reply_ = http_reply(200, std::string(kReplyBytes, 'y'));
  PeerServer server_;  // keeps closed connections
};

// `heronworks platform` with the given limits.
class SchedulerProcess {
 public:
  SchedulerProcess(const nlohmann::json& config, const std::string& directory) {
    std::filesystem::create_directories(directory);
    const std::string path = directory + "/config.json";
    std::ofstream(path) << config.dump();
    const std::string log = directory + "/log";
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::setenv("LB_CONFIG", path.c_str(), 1);
    std::freopen(log.c_str(), "w", stdout);
    std::freopen(log.c_str(), "a", stderr);
    const char* program = std::getenv("HERONWORKS");
    ::execl(program, program, "platform", nullptr);
    std::_Exit(127);
  }
  ~SchedulerProcess() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  bool running() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  double anonymous_megabytes() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("RssAnon:")) return std::atof(line.c_str() + 8) / 1024;
    }
    return 0;
  }

 private:
  pid_t pid_ = -1;
};

// The configuration of a scheduler with a node for each shard.
inline nlohmann::json process_config(int memory_mb, int descriptors, const Address& discovery,
                                     const std::vector<Address>& nodes) {
  const Fd listener = listen_on({"127.0.0.1", 0});  // finds a free port
  std::vector<std::string> entries;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    entries.push_back(PlatformFixture::entry_text("s-" + std::to_string(i), nodes[i], static_cast<int>(i)));
  }
  return {{"name", "n0"},
          {"listen", local_address(listener.get()).to_string()},
          {"discovery", discovery.to_string()},
          {"seed", "1"},
          {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", descriptors}}},
          {"known", nlohmann::json::parse(PlatformFixture::update_text(7, true, entries))},
          {"settings", PlatformFixture::settings()}};
}

// Returns whether the scheduler at that address answers within some seconds.
inline bool wait_until_ready(Loop& loop, const Address& address) {
  for (int i = 0; i < 500; ++i) {
    Peer probe(loop, connect_to(address), true);
    probe.send("GET /healthz HTTP/1.1\r\nHost: app\r\n\r\n");
    for (int j = 0; j < 10 && probe.input.empty() && !probe.closed; ++j) loop.run_once(0.01);
    if (!probe.input.empty()) return true;
    for (const double until = loop.now() + 0.02; loop.now() < until;) loop.run_once(0.02);
  }
  return false;
}

}  // namespace heronworks::test
