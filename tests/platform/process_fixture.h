// The scheduler as a process of its own: the program of the environment variable HERONWORKS, without
// sanitizers.
#pragma once

#include <cstdlib>

#include "child_process.h"
#include "platform_fixture.h"

namespace heronworks::test {

// Replies to each request after a while, and records the requests.
class DelayingNode {
 public:
  static constexpr double kServiceSeconds = 0.05;
  static constexpr std::size_t kReplyBytes = 65536;
  explicit DelayingNode(Loop& loop, double service_seconds = kServiceSeconds,
                        std::size_t reply_bytes = kReplyBytes)
      : service_seconds_(service_seconds),
        loop_(loop),
        reply_(http_reply(200, std::string(reply_bytes, 'y'))),
        server_(loop, [this](Peer& peer) { read(peer); }) {}
  const Address& address() const { return server_.address; }
  void set_service_seconds(double seconds) { service_seconds_ = seconds; }
  std::size_t received() const { return received_; }
  std::size_t received(const std::string& call_id) const {
    const auto found = received_by_id_.find(call_id);
    return found == received_by_id_.end() ? 0 : found->second;
  }

 private:
  void read(Peer& peer) {
    http::Reader reader(http::MessageKind::kRequest, {8192, platform::MemoryBudget::kMaxBodyBytes, 64});
    reader.put({reinterpret_cast<const std::uint8_t*>(peer.input.data()), peer.input.size()});
    if (!reader.done()) return;
    ++received_;
    if (const std::string* id = reader.message().find_field("X-Call-Id")) ++received_by_id_[*id];
    peer.input.clear();
    loop_.run_at(loop_.now() + service_seconds_, [this, &peer] { peer.send(reply_); });
  }

  double service_seconds_;
  std::size_t received_ = 0;
  std::map<std::string, std::size_t> received_by_id_;
  Loop& loop_;
  const std::string reply_;
  PeerServer server_;  // keeps closed connections
};

// A directory that is removed with all that is in it.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::string pattern = (std::filesystem::temp_directory_path() / "heronworks-test-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("cannot create a temporary directory");
    path_ = pattern;
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// `heronworks platform` with a configuration of process_config().
class SchedulerProcess {
 public:
  // `environment` is added to that of this process.
  SchedulerProcess(const nlohmann::json& config, const std::string& directory,
                   std::map<std::string, std::string> environment = {})
      : config_path_(directory + "/config.json"), log_path_(directory + "/log") {
    write_config(config);
    environment["LB_CONFIG"] = config_path_;
    process_ = faults::ChildProcess::execute(
        {{std::getenv("HERONWORKS"), "platform"}, std::move(environment), log_path_});
  }
  // Replaces the configuration file at once, as a reload expects.
  void write_config(const nlohmann::json& config) const {
    std::ofstream(config_path_ + ".new") << config.dump();
    std::filesystem::rename(config_path_ + ".new", config_path_);
  }
  faults::ChildProcess& process() { return process_; }
  bool running() { return process_.running(); }
  pid_t pid() const { return process_.pid(); }
  void signal(int number) const { process_.signal(number); }
  double anonymous_megabytes() const { return faults::anonymous_megabytes(process_.pid()); }
  std::string log() const {
    std::ifstream file(log_path_);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

 private:
  std::string config_path_;
  std::string log_path_;
  faults::ChildProcess process_;
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
