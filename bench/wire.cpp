// Reads of 4 KiB straight to a stand-in that does no work, and through a scheduler to the same; and what a
// scheduler needs for 1,000 connections and 10,000 open transactions. Each part is a process of its own.
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

constexpr double kRound = 0.7;  // s of each measurement
constexpr int kRounds = 3;

// Answers every read at once with the same bytes; with `mute`, none.
class NullNode final : public nvme::Backend {
 public:
  NullNode(Loop& loop, Fd fd, std::string subsystem, bool mute) : mute_(mute), data_(4096, 0x5a) {
    nvme::TargetOptions o;
    o.subsystem = std::move(subsystem);
    o.queue_size = 4096;
    target = std::make_unique<nvme::Target>(loop, std::move(fd), o, *this);
  }
  nvme::Status identify(std::uint8_t, std::uint8_t, std::uint32_t, nvme::Bytes&) override { return {}; }
  void command(nvme::Command&& c) override {
    if (!mute_) target->complete(c.connection, c.sqe.cid, {}, 0, data_);
  }
  void log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t, std::uint64_t offset,
                std::uint32_t length) override {
    const auto bytes = gateway::encode_endpoint_list(nodes, 1, "x");
    target->complete(connection, cid, {}, 0,
                     nvme::View(bytes).subspan(offset, std::min<std::size_t>(length, bytes.size() - offset)));
  }
  void closed(nvme::ConnectionId) override {}
  std::vector<gateway::ListedEndpoint> nodes;
  std::unique_ptr<nvme::Target> target;

 private:
  const bool mute_;
  const nvme::Bytes data_;
};

struct Part {
  pid_t pid = 0;
  Address address;
};

template <typename Body>
Part part(Body body) {
  int pipe_ends[2];
  if (::pipe(pipe_ends) != 0) std::exit(1);
  const pid_t pid = ::fork();
  if (pid == 0) {
    body([&](const Address& a) {
      const std::string text = a.to_string() + "\n";
      if (::write(pipe_ends[1], text.data(), text.size()) < 0) std::exit(1);
      ::close(pipe_ends[1]);
    });
    std::_Exit(0);
  }
  ::close(pipe_ends[1]);
  char text[64] = {};
  const auto n = ::read(pipe_ends[0], text, sizeof text - 1);
  ::close(pipe_ends[0]);
  if (n <= 0) std::exit(1);
  return {pid, *Address::parse(std::string(text, static_cast<std::size_t>(n) - 1))};
}

Part start_node(bool mute) {
  return part([&](auto tell) {
    const MonotonicClock clock;
    Loop loop(clock);
    NullNode n(loop, listen_on({"127.0.0.1", 0}), "nqn.2026-11.org.heronworks:node", mute);
    tell(n.target->address());
    loop.run();
  });
}

Part start_list(const Address& node) {
  return part([&](auto tell) {
    const MonotonicClock clock;
    Loop loop(clock);
    NullNode n(loop, listen_on({"127.0.0.1", 0}), std::string(nvme::kDiscoveryName), false);
    n.nodes = {{node, 0, 0, NodeState::kReady, 0}};
    tell(n.target->address());
    loop.run();
  });
}

// Twenty rules as operators write them; the last holds for every read of the bench.
std::string twenty_rules() {
  std::string out =
      "[sets.office]\nnetworks = [\"127.0.0.0/8\", \"10.18.0.0/16\"]\n"
      "[[definition]]\nname = \"small\"\nis = \"operation == 'read' && blocks <= 4\"\n";
  for (int i = 0; i < 19; ++i) {
    out +=
        "[[rule]]\nwhen = \"" +
        std::string(i % 3 == 0 ? "volume == " + std::to_string(100 + i) + " && small"
                    : i % 3 == 1
                        ? "small && starts_with(client.name, 'importer." + std::to_string(i) + "')"
                        : "client.address in $office && lba in " + std::to_string(100000 + i) + "..200000") +
        "\"\nprofile = \"r\"\n";
  }
  return out +
         "[[rule]]\nwhen = \"plan == 'p' && small && starts_with(client.name, 'nqn.2026')\"\nprofile = "
         "\"r\"\n"
         "key = \"hash(volume, lba)\"\n";
}

Part start_scheduler(const Address& list, double contract, const std::string& rules = "") {
  static int number = 0;
  const std::string path =
      "/tmp/heronworks-bench-" + std::to_string(::getpid()) + "-" + std::to_string(number++) + ".toml";
  std::ofstream(path) << "[scheduler]\nlisten = \"127.0.0.1:0\"\n[list]\naddress = \"" << list.to_string()
                      << "\"\n[space]\nzone_blocks = 4096\nzones = 4\nshards = 1\n[log]\nlevel = \"error\"\n"
                      << "[limits]\nconnections = 5000\nopen = 20000\n"
                      << "[[profile]]\nname = \"r\"\ncontract = " << contract
                      << "\ncut_off = " << 2 * contract
                      << "\nrepeat = \"redoable\"\n[[plan]]\nname = \"p\"\nusual = 1e8\nreservation = 1e8\n"
                      << "[[match]]\nprofile = \"r\"\n[[volumes]]\nfirst = 1\nplan = \"p\"\n"
                      << rules;
  return part([&](auto tell) {
    config::Problems problems;
    const auto c = config::read_gateway_config(path, problems);
    for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.to_string().c_str());
    const MonotonicClock clock;
    Loop loop(clock);
    Log log("", "error", 100);
    gateway::Scheduler s(loop, c.value(), log);
    tell(s.address());
    loop.run();
  });
}

nvme::HostOptions options(const Address& at, const char* subsystem, std::uint16_t depth) {
  nvme::HostOptions o;
  o.address = at;
  o.subsystem = subsystem;
  o.depth = depth;
  o.keep_alive = 0;
  o.connect_timeout = 10;
  return o;
}

nvme::Sqe read_of(std::uint64_t i) {
  nvme::Sqe q;
  q.opcode = nvme::opcode::kRead;
  q.nsid = 1;
  q.set_slba(i % 4096);
  q.set_blocks(1);
  return q;
}

struct Figures {
  double rate = 0;
  std::vector<double> times;
  int failed = 0;
  double at(double part) {
    std::sort(times.begin(), times.end());
    return times.empty()
               ? 0
               : times[std::min(times.size() - 1,
                                static_cast<std::size_t>(part * static_cast<double>(times.size())))];
  }
};

// Keeps `depth` reads out for a while.
class Reader final : public nvme::HostOwner {
 public:
  Reader(Loop& loop, const nvme::HostOptions& o, int depth)
      : loop_(loop), depth_(depth), host_(loop, o, *this) {}
  void ready() override {
    began_ = loop_.now();
    for (int i = 0; i < depth_; ++i) next();
  }
  void completed(std::uint64_t token, nvme::Completion&& c) override {
    if (!c.arrived || !c.status().ok()) ++figures.failed;
    const double now = loop_.now();
    figures.times.push_back(now - sent_[token % 64]);
    if (now - began_ >= kRound) {
      figures.rate = static_cast<double>(figures.times.size()) / (now - began_);
      loop_.stop();
      return;
    }
    next();
  }
  void down(const std::string& reason) override {
    std::fprintf(stderr, "bench: %s\n", reason.c_str());
    std::exit(1);
  }
  Figures figures;

 private:
  void next() {
    if (!host_.ready()) return;
    const auto token = count_++;
    sent_[token % 64] = loop_.now();
    host_.submit(token, read_of(token), nullptr, 4096);
  }
  Loop& loop_;
  const int depth_;
  nvme::Host host_;
  std::uint64_t count_ = 0;
  std::array<double, 64> sent_{};
  double began_ = 0;
};

Figures measure(const Address& at, const char* subsystem, int depth) {
  const MonotonicClock clock;
  Loop loop(clock);
  Reader r(loop, options(at, subsystem, 64), depth);
  loop.run();
  return std::move(r.figures);
}

double cpu_of(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int i = 1; stat >> word && i <= 15; ++i) {
    if (i >= 14) ticks += std::stod(word);
  }
  return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double memory_of(pid_t pid) {
  std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
  double all = 0;
  double resident = 0;
  statm >> all >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1048576;
}

class Idle final : public nvme::HostOwner {
 public:
  Idle(Loop& loop, const nvme::HostOptions& o) : host(loop, o, *this) {}
  void ready() override {}
  void completed(std::uint64_t, nvme::Completion&&) override {}
  void down(const std::string& r) override { std::fprintf(stderr, "bench: %s\n", r.c_str()); }
  nvme::Host host;
};

void memory() {
  const Part node = start_node(true);
  const Part list = start_list(node.address);
  const Part scheduler = start_scheduler(list.address, 1000);
  ::usleep(300000);
  const double empty = memory_of(scheduler.pid);
  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<Idle>> clients;
  // 500 associations: an admin and an I/O connection each.
  for (int i = 0; i < 500; ++i) {
    clients.push_back(
        std::make_unique<Idle>(loop, options(scheduler.address, "nqn.2026-11.org.heronworks:gateway", 128)));
    if (i % 50 == 49) {
      const double end = clock.now() + 10;
      while (clock.now() < end &&
             !std::all_of(clients.begin(), clients.end(), [](auto& c) { return c->host.ready(); }))
        loop.run_once(0.01);
    }
  }
  const double connected = memory_of(scheduler.pid);
  const double cpu_before = cpu_of(scheduler.pid);
  for (std::uint64_t i = 0; i < 10000; ++i)
    clients[i % clients.size()]->host.submit(i, read_of(i), nullptr, 4096);
  const double end = clock.now() + 3;
  while (clock.now() < end) loop.run_once(0.01);
  std::printf(
      "\nscheduler's resident memory: %.1f MiB empty, %.1f with 1,000 connections, %.1f with 10,000 open "
      "too\n",
      empty, connected, memory_of(scheduler.pid));
  std::printf("CPU of the scheduler in the 3 s after they came, nothing answered: %.2f s\n",
              cpu_of(scheduler.pid) - cpu_before);
  for (const Part& p : {scheduler, list, node}) {
    ::kill(p.pid, SIGKILL);
    ::waitpid(p.pid, nullptr, 0);
  }
}

}  // namespace

int main() {
  const Part node = start_node(false);
  const Part list = start_list(node.address);
  const Part scheduler = start_scheduler(list.address, 10);
  const Part ruled = start_scheduler(list.address, 10, twenty_rules());
  const std::string folder = "/var/tmp/heronworks-bench-" + std::to_string(::getpid());
  const auto ledger = [&](const char* name, const char* more) {
    return "[ledger]\nfolder = \"" + folder + "/" + name + "\"\n" + more;
  };
  const Part entered = start_scheduler(list.address, 10, ledger("group", ""));
  const Part each = start_scheduler(list.address, 10, ledger("each", "group = 1\n"));
  const Part after = start_scheduler(list.address, 10, ledger("after", "waits = false\n"));
  const struct {
    const char* name;
    Part part;
    const char* subsystem;
  } ways[] = {{"straight", node, "nqn.2026-11.org.heronworks:node"},
              {"scheduler", scheduler, "nqn.2026-11.org.heronworks:gateway"},
              {"with rules", ruled, "nqn.2026-11.org.heronworks:gateway"},
              {"ledger", entered, "nqn.2026-11.org.heronworks:gateway"},
              {"each", each, "nqn.2026-11.org.heronworks:gateway"},
              {"after", after, "nqn.2026-11.org.heronworks:gateway"}};
  constexpr int kWays = std::size(ways);
  ::usleep(300000);
  std::printf("\n4 KiB reads, a stand-in that does no work; all on one machine; best of %d rounds each\n",
              kRounds);
  std::printf("%-10s %5s %10s %9s %9s %9s %9s %7s\n", "way", "deep", "reads/s", "p50 us", "p99 us", "p999 us",
              "CPU us", "failed");
  for (const int depth : {1, 8, 32}) {
    Figures best[kWays];
    double cpu[kWays] = {};
    double reads[kWays] = {};
    for (int round = 0; round < kRounds; ++round) {
      for (int w = 0; w < kWays; ++w) {
        const double before = cpu_of(ways[w].part.pid);
        Figures f = measure(ways[w].part.address, ways[w].subsystem, depth);
        cpu[w] += cpu_of(ways[w].part.pid) - before;
        reads[w] += static_cast<double>(f.times.size());
        if (f.rate > best[w].rate) best[w] = std::move(f);
      }
    }
    for (int w = 0; w < kWays; ++w) {
      Figures& f = best[w];
      std::printf("%-10s %5d %10.0f %9.1f %9.1f %9.1f %9.2f %7d\n", ways[w].name, depth, f.rate,
                  1e6 * f.at(0.5), 1e6 * f.at(0.99), 1e6 * f.at(0.999), 1e6 * cpu[w] / reads[w], f.failed);
    }
    std::printf("%-10s %5d %10.2f  p50 +%.1f us\n", "ratio", depth, best[1].rate / best[0].rate,
                1e6 * (best[1].at(0.5) - best[0].at(0.5)));
    for (int w = 2; w < kWays; ++w) {
      std::printf("%-10s %5d %10.3f  p99 %+.2f ms, CPU %.3f of those of the scheduler alone\n", ways[w].name,
                  depth, best[w].rate / best[1].rate, 1e3 * (best[w].at(0.99) - best[1].at(0.99)),
                  (cpu[w] / reads[w]) / (cpu[1] / reads[1]));
    }
  }
  for (const Part& p : {entered, each, after, ruled, scheduler, list, node}) {
    ::kill(p.pid, SIGKILL);
    ::waitpid(p.pid, nullptr, 0);
  }
  memory();
  return 0;
}
