// Throughput and latency of 4 KiB reads from a null node, direct and through schedulers of several
// configurations; and a scheduler's memory for 1,000 connections and 10,000 open transactions. Nodes, lists
// and schedulers run in processes of their own.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "gateway/scheduler.h"

using namespace heronworks;

namespace {

constexpr double kRoundSeconds = 0.7;
constexpr int kRounds = 3;
constexpr std::uint32_t kBlockSize = 4096;  // bytes
constexpr const char* kNodeNqn = "nqn.2026-11.org.heronworks:node";
constexpr const char* kGatewayNqn = "nqn.2026-11.org.heronworks:gateway";

// A node or discovery controller that completes every read immediately with the same data, or never if
// `silent`.
class NullNode final : public nvme::Backend {
 public:
  NullNode(Loop& loop, Fd listener, std::string subnqn, bool silent)
      : silent_(silent), data_(kBlockSize, 0x5a) {
    nvme::TargetOptions options;
    options.subnqn = std::move(subnqn);
    options.max_queue_size = 4096;
    target = std::make_unique<nvme::Target>(loop, std::move(listener), options, *this);
  }
  nvme::Status identify(std::uint8_t, std::uint8_t, std::uint32_t, nvme::Bytes&) override { return {}; }
  void execute_command(nvme::Command&& command) override {
    if (!silent_) target->complete(command.connection, command.sqe.cid, {}, 0, data_);
  }
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t, std::uint64_t offset,
                    std::uint32_t length) override {
    const auto page = gateway::encode_list(listed_nodes, 1, "x");
    const auto returned = std::min<std::size_t>(length, page.size() - offset);
    target->complete(connection, cid, {}, 0, nvme::ByteView(page).subspan(offset, returned));
  }
  void connection_closed(nvme::ConnectionId) override {}
  std::vector<gateway::ListedNode> listed_nodes;
  std::unique_ptr<nvme::Target> target;

 private:
  const bool silent_;
  const nvme::Bytes data_;
};

struct ServerProcess {
  pid_t pid = 0;
  Address address;
};

// Forks a process that runs `serve`, which reports the address it listens on by calling its argument.
template <typename Serve>
ServerProcess start_server(Serve serve) {
  int pipe_ends[2];
  if (::pipe(pipe_ends) != 0) std::exit(1);
  const pid_t pid = ::fork();
  if (pid == 0) {
    serve([&](const Address& address) {
      const std::string text = address.to_string() + "\n";
      if (::write(pipe_ends[1], text.data(), text.size()) < 0) std::exit(1);
      ::close(pipe_ends[1]);
    });
    std::_Exit(0);
  }
  ::close(pipe_ends[1]);
  char text[64] = {};
  const auto length = ::read(pipe_ends[0], text, sizeof text - 1);
  ::close(pipe_ends[0]);
  if (length <= 0) std::exit(1);
  return {pid, *Address::parse(std::string(text, static_cast<std::size_t>(length) - 1))};
}

ServerProcess start_node(bool silent) {
  return start_server([&](auto report_address) {
    const MonotonicClock clock;
    Loop loop(clock);
    NullNode node(loop, listen_on({"127.0.0.1", 0}), kNodeNqn, silent);
    report_address(node.target->address());
    loop.run();
  });
}

ServerProcess start_list(const Address& node_address) {
  return start_server([&](auto report_address) {
    const MonotonicClock clock;
    Loop loop(clock);
    NullNode list(loop, listen_on({"127.0.0.1", 0}), std::string(nvme::kDiscoveryNqn), false);
    list.listed_nodes = {{node_address, 0, 0, NodeState::kReady, 0}};
    report_address(list.target->address());
    loop.run();
  });
}

// A realistic set of twenty rules, of which only the last matches the reads of this benchmark.
std::string twenty_rules() {
  std::string rules =
      "[sets.office]\nnetworks = [\"127.0.0.0/8\", \"10.18.0.0/16\"]\n"
      "[[definition]]\nname = \"small\"\nis = \"operation == 'read' && blocks <= 4\"\n";
  for (int i = 0; i < 19; ++i) {
    rules +=
        "[[rule]]\nwhen = \"" +
        std::string(i % 3 == 0 ? "volume == " + std::to_string(100 + i) + " && small"
                    : i % 3 == 1
                        ? "small && starts_with(client.name, 'importer." + std::to_string(i) + "')"
                        : "client.address in $office && lba in " + std::to_string(100000 + i) + "..200000") +
        "\"\nprofile = \"r\"\n";
  }
  return rules +
         "[[rule]]\nwhen = \"plan == 'p' && small && starts_with(client.name, 'nqn.2026')\"\nprofile = "
         "\"r\"\n"
         "key = \"hash(volume, lba)\"\n";
}

// Starts a scheduler whose only profile has the target latency `contract`, in seconds. `more` is appended to
// its configuration.
ServerProcess start_scheduler(const Address& list_address, double contract, const std::string& more = "") {
  static int file_number = 0;
  const std::string path =
      "/tmp/heronworks-bench-" + std::to_string(::getpid()) + "-" + std::to_string(file_number++) + ".toml";
  std::ofstream(path) << "[scheduler]\nlisten = \"127.0.0.1:0\"\n[list]\naddress = \""
                      << list_address.to_string()
                      << "\"\n[space]\nzone_blocks = 4096\nzones = 4\nshards = 1\n[log]\nlevel = \"error\"\n"
                      << "[limits]\nconnections = 5000\nopen = 20000\n"
                      << "[[profile]]\nname = \"r\"\ncontract = " << contract
                      << "\ncut_off = " << 2 * contract
                      << "\nrepeat = \"redoable\"\n[[plan]]\nname = \"p\"\nusual = 1e8\nreservation = 1e8\n"
                      << "[[match]]\nprofile = \"r\"\n[[volumes]]\nfirst = 1\nplan = \"p\"\n"
                      << more;
  return start_server([&](auto report_address) {
    config::Problems problems;
    const auto gateway_config = config::read_gateway(path, problems);
    for (const auto& problem : problems) std::fprintf(stderr, "%s\n", problem.shown().c_str());
    const MonotonicClock clock;
    Loop loop(clock);
    Log log("", "error", 100);
    gateway::Scheduler scheduler(loop, gateway_config.value(), log);
    report_address(scheduler.address());
    loop.run();
  });
}

nvme::HostOptions host_options(const Address& address, const char* subnqn, std::uint16_t io_queue_size) {
  nvme::HostOptions options;
  options.address = address;
  options.subnqn = subnqn;
  options.io_queue_size = io_queue_size;
  options.keep_alive_timeout = 0;
  options.connect_timeout = 10;
  return options;
}

nvme::Sqe read_command(std::uint64_t number) {
  nvme::Sqe sqe;
  sqe.opcode = nvme::opcode::kRead;
  sqe.nsid = 1;
  sqe.set_slba(number % 4096);
  sqe.set_blocks(1);
  return sqe;
}

struct Measurement {
  double reads_per_second = 0;
  std::vector<double> latencies;  // s
  int failed = 0;
  double latency_quantile(double quantile) {
    std::sort(latencies.begin(), latencies.end());
    return latencies.empty()
               ? 0
               : latencies[std::min(
                     latencies.size() - 1,
                     static_cast<std::size_t>(quantile * static_cast<double>(latencies.size())))];
  }
};

// Keeps `depth` reads outstanding for kRoundSeconds, then stops the loop.
class Reader final : public nvme::HostHandler {
 public:
  Reader(Loop& loop, const nvme::HostOptions& options, int depth)
      : loop_(loop), depth_(depth), host_(loop, options, *this) {}
  void on_ready() override {
    started_at_ = loop_.now();
    for (int i = 0; i < depth_; ++i) submit_read();
  }
  void on_completed(std::uint64_t token, nvme::Completion&& completion) override {
    if (!completion.arrived || !completion.status().ok()) ++measurement.failed;
    const double now = loop_.now();
    measurement.latencies.push_back(now - submitted_at_[token % kMaxDepth]);
    if (now - started_at_ >= kRoundSeconds) {
      measurement.reads_per_second = static_cast<double>(measurement.latencies.size()) / (now - started_at_);
      loop_.stop();
      return;
    }
    submit_read();
  }
  void on_disconnected(const std::string& reason) override {
    std::fprintf(stderr, "bench: connection lost: %s\n", reason.c_str());
    std::exit(1);
  }
  Measurement measurement;

  static constexpr std::size_t kMaxDepth = 64;

 private:
  void submit_read() {
    if (!host_.ready()) return;
    const auto token = next_token_++;
    submitted_at_[token % kMaxDepth] = loop_.now();
    host_.submit(token, read_command(token), nullptr, kBlockSize);
  }
  Loop& loop_;
  const int depth_;
  nvme::Host host_;
  std::uint64_t next_token_ = 0;
  std::array<double, kMaxDepth> submitted_at_{};  // by token
  double started_at_ = 0;
};

Measurement measure(const Address& address, const char* subnqn, int depth) {
  const MonotonicClock clock;
  Loop loop(clock);
  Reader reader(loop, host_options(address, subnqn, Reader::kMaxDepth), depth);
  loop.run();
  return std::move(reader.measurement);
}

// User and system time that a process has used, in seconds: fields 14 and 15 of proc(5)'s stat.
double cpu_seconds(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string field;
  double ticks = 0;
  for (int i = 1; stat >> field && i <= 15; ++i) {
    if (i >= 14) ticks += std::stod(field);
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// Resident memory of a process in MiB.
double resident_mib(pid_t pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576;
}

class IdleClient final : public nvme::HostHandler {
 public:
  IdleClient(Loop& loop, const nvme::HostOptions& options) : host(loop, options, *this) {}
  void on_ready() override {}
  void on_completed(std::uint64_t, nvme::Completion&&) override {}
  void on_disconnected(const std::string& reason) override {
    std::fprintf(stderr, "bench: connection lost: %s\n", reason.c_str());
  }
  nvme::Host host;
};

void measure_memory() {
  constexpr int kClients = 500;  // associations of an admin and an I/O connection each
  constexpr std::uint64_t kTransactions = 10000;
  const ServerProcess node = start_node(true);
  const ServerProcess list = start_list(node.address);
  const ServerProcess scheduler = start_scheduler(list.address, 1000);
  ::usleep(300000);
  const double mib_without_connections = resident_mib(scheduler.pid);
  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<IdleClient>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<IdleClient>(loop, host_options(scheduler.address, kGatewayNqn, 128)));
    if (i % 50 == 49) {
      const double end = clock.now() + 10;
      while (clock.now() < end &&
             !std::all_of(clients.begin(), clients.end(), [](auto& client) { return client->host.ready(); }))
        loop.run_once(0.01);
    }
  }
  const double mib_connected = resident_mib(scheduler.pid);
  const double cpu_before = cpu_seconds(scheduler.pid);
  for (std::uint64_t i = 0; i < kTransactions; ++i)
    clients[i % clients.size()]->host.submit(i, read_command(i), nullptr, kBlockSize);
  const double end = clock.now() + 3;
  while (clock.now() < end) loop.run_once(0.01);
  std::printf(
      "\nresident memory of the scheduler: %.1f MiB without connections, %.1f MiB with 1,000 connections, "
      "%.1f MiB with 10,000 open transactions as well\n",
      mib_without_connections, mib_connected, resident_mib(scheduler.pid));
  std::printf("CPU time of the scheduler in 3 s with 10,000 open transactions, none completed: %.2f s\n",
              cpu_seconds(scheduler.pid) - cpu_before);
  for (const ServerProcess& server : {scheduler, list, node}) {
    ::kill(server.pid, SIGKILL);
    ::waitpid(server.pid, nullptr, 0);
  }
}

}  // namespace

int main() {
  const ServerProcess node = start_node(false);
  const ServerProcess list = start_list(node.address);
  const ServerProcess scheduler = start_scheduler(list.address, 10);
  const ServerProcess with_rules = start_scheduler(list.address, 10, twenty_rules());
  const std::string folder = "/var/tmp/heronworks-bench-" + std::to_string(::getpid());
  const auto ledger_config = [&](const char* name, const char* more) {
    return "[ledger]\nfolder = \"" + folder + "/" + name + "\"\n" + more;
  };
  const ServerProcess ledger_group = start_scheduler(list.address, 10, ledger_config("group", ""));
  const ServerProcess ledger_single = start_scheduler(list.address, 10, ledger_config("each", "group = 1\n"));
  const ServerProcess ledger_async =
      start_scheduler(list.address, 10, ledger_config("after", "waits = false\n"));
  const struct {
    const char* name;
    ServerProcess server;
    const char* subnqn;
  } paths[] = {{"direct", node, kNodeNqn},
               {"scheduler", scheduler, kGatewayNqn},
               {"rules", with_rules, kGatewayNqn},
               {"ledger", ledger_group, kGatewayNqn},   // commits in groups
               {"single", ledger_single, kGatewayNqn},  // a commit for each read
               {"async", ledger_async, kGatewayNqn}};   // reads complete before their commit
  constexpr int kPaths = std::size(paths);
  constexpr int kDirect = 0;
  constexpr int kScheduler = 1;
  ::usleep(300000);
  std::printf("\n4 KiB reads from a null node, all processes on one machine; best of %d rounds\n", kRounds);
  std::printf("%-10s %5s %10s %9s %9s %9s %9s %7s\n", "path", "depth", "reads/s", "p50 us", "p99 us",
              "p999 us", "CPU us", "failed");
  for (const int depth : {1, 8, 32}) {
    Measurement best[kPaths];
    double cpu[kPaths] = {};  // s, of all rounds
    double reads[kPaths] = {};
    for (int round = 0; round < kRounds; ++round) {
      for (int i = 0; i < kPaths; ++i) {
        const double cpu_before = cpu_seconds(paths[i].server.pid);
        Measurement measured = measure(paths[i].server.address, paths[i].subnqn, depth);
        cpu[i] += cpu_seconds(paths[i].server.pid) - cpu_before;
        reads[i] += static_cast<double>(measured.latencies.size());
        if (measured.reads_per_second > best[i].reads_per_second) best[i] = std::move(measured);
      }
    }
    for (int i = 0; i < kPaths; ++i) {
      Measurement& b = best[i];
      std::printf("%-10s %5d %10.0f %9.1f %9.1f %9.1f %9.2f %7d\n", paths[i].name, depth, b.reads_per_second,
                  1e6 * b.latency_quantile(0.5), 1e6 * b.latency_quantile(0.99),
                  1e6 * b.latency_quantile(0.999), 1e6 * cpu[i] / reads[i], b.failed);
    }
    std::printf("%-10s %5d %10.2f  p50 +%.1f us, scheduler against direct\n", "ratio", depth,
                best[kScheduler].reads_per_second / best[kDirect].reads_per_second,
                1e6 * (best[kScheduler].latency_quantile(0.5) - best[kDirect].latency_quantile(0.5)));
    for (int i = kScheduler + 1; i < kPaths; ++i) {
      std::printf("%-10s %5d %10.3f  p99 %+.2f ms, CPU time %.3f, against scheduler\n", paths[i].name, depth,
                  best[i].reads_per_second / best[kScheduler].reads_per_second,
                  1e3 * (best[i].latency_quantile(0.99) - best[kScheduler].latency_quantile(0.99)),
                  (cpu[i] / reads[i]) / (cpu[kScheduler] / reads[kScheduler]));
    }
  }
  for (const ServerProcess& server :
       {ledger_async, ledger_single, ledger_group, with_rules, scheduler, list, node}) {
    ::kill(server.pid, SIGKILL);
    ::waitpid(server.pid, nullptr, 0);
  }
  measure_memory();
  return 0;
}
