// Plays a day on sockets: see runner.h.
#include "lab/runner.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>

#include "loop/loop.h"

namespace heronworks::lab {
namespace {

constexpr double kDrainTime = 10;  // s that a scheduler has after SIGTERM

// Ports outside the range that systems give to clients, each tried before.
std::vector<std::uint16_t> free_ports(std::size_t count) {
  std::vector<std::uint16_t> ports;
  unsigned at = 12000 + static_cast<unsigned>(::getpid()) * 37 % 18000;
  for (int tries = 0; ports.size() < count && tries < 20000; ++tries) {
    at = at >= 30000 ? 12000 : at + 1;
    if (listen_on({"127.0.0.1", static_cast<std::uint16_t>(at)}))
      ports.push_back(static_cast<std::uint16_t>(at));
  }
  if (ports.size() < count) throw std::runtime_error("no free ports");
  return ports;
}

class Run {
 public:
  Run(const Day& day, const RunOptions& options)
      : day_(day),
        options_(options),
        loop_(clock_),
        folder_(options.folder),
        ports_(free_ports(static_cast<std::size_t>(day.nodes + day.schedulers + 1))) {
    if (folder_.empty()) {
      std::string pattern = (std::filesystem::temp_directory_path() / "heronworks-day-XXXXXX").string();
      if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot make a folder");
      folder_ = pattern;
    } else {
      std::filesystem::create_directories(folder_);
    }
    start_ = loop_.now() + options.lead;
    record_ = std::make_unique<Recorder>(folder_ + "/day.record");
    Event e;
    e.t = loop_.now();
    e.kind = Kind::kFigures;
    e.text = figures_of(day, start_).text();
    record_->write(e);
  }

  ~Run() {
    for (const auto& [pid, name] : children_) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    if (options_.folder.empty()) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
  }

  RunResult play() {
    loop_.on_signal(SIGCHLD, [this] { reap(); });
    for (int n = 0; n < day_.nodes; ++n) {
      const auto lives = lives_of(day_, n);
      for (std::size_t i = 0; i < lives.size(); ++i) {
        const int life = static_cast<int>(i);
        if (i == 0) start_node(n, life);
        else loop_.run_at(start_ + lives[i].from, [this, n, life] { start_node(n, life); });
        if (lives[i].to < 1e8) loop_.run_at(start_ + lives[i].to, [this, n] { end(node_[n]); });
      }
    }
    std::string ports;
    for (int n = 0; n < day_.nodes; ++n) ports += (n > 0 ? "," : "") + std::to_string(node_port(n));
    start("list", {options_.self, "list", day_.file, "--seed", std::to_string(day_.seed), "--port",
                   std::to_string(list_port()), "--start", std::to_string(start_), "--nodes", ports,
                   "--record", folder_ + "/list.record"});
    std::string doors;
    for (int s = 0; s < day_.schedulers; ++s) {
      doors += (s > 0 ? "," : "") + std::to_string(door(s));
      std::ofstream(folder_ + "/scheduler-" + std::to_string(s) + ".toml")
          << gateway_toml(day_, s, door(s), list_port(), folder_)
          << (options_.withhold_rules ? "" : day_.rules);
      start_scheduler(s);
    }
    for (const Act& a : day_.acts) {
      if (a.trouble == Trouble::kSchedulerKilled) {
        loop_.run_at(start_ + a.from, [this, s = a.target] {
          say(Kind::kKilled, s);
          end(scheduler_[s]);
        });
        loop_.run_at(start_ + a.to, [this, s = a.target] { start_scheduler(s); });
      } else if (a.trouble == Trouble::kDiskFull) {
        // No file of that process may grow: to it, that is a full disk.
        loop_.run_at(start_ + a.from, [this, s = a.target] { let_files_grow(s, false); });
        loop_.run_at(start_ + a.to, [this, s = a.target] { let_files_grow(s, true); });
      } else if (a.trouble == Trouble::kSchedulerStopped) {
        loop_.run_at(start_ + a.from, [this, s = a.target] {
          say(Kind::kStopped, s);
          if (scheduler_[s] > 0) ::kill(scheduler_[s], SIGSTOP);
        });
        loop_.run_at(start_ + a.to, [this, s = a.target] {
          if (scheduler_[s] > 0) ::kill(scheduler_[s], SIGCONT);
          say(Kind::kContinued, s);
        });
      }
    }
    load_ =
        start("load", {options_.self, "load", day_.file, "--seed", std::to_string(day_.seed), "--start",
                       std::to_string(start_), "--schedulers", doors, "--record", folder_ + "/load.record"});
    loop_.run_at(start_ + day_.seconds + 30, [this] {
      result_.faults.push_back("the day did not end");
      loop_.stop();
    });
    loop_.run();
    result_.start = start_;
    std::vector<std::string> files;
    for (const auto& f : std::filesystem::directory_iterator(folder_)) {
      if (f.path().extension() == ".record") files.push_back(f.path().string());
    }
    std::sort(files.begin(), files.end());
    const auto events = read_records(files);
    result_.verdict = judge(events);
    if (day_.ledger_period > 0) result_.bills = check_bills(day_, events, folder_);
    return std::move(result_);
  }

 private:
  std::uint16_t node_port(int n) const { return ports_[static_cast<std::size_t>(n)]; }
  std::uint16_t door(int s) const { return ports_[static_cast<std::size_t>(day_.nodes + s)]; }
  std::uint16_t list_port() const { return ports_.back(); }

  void say(Kind kind, int scheduler) {
    Event e;
    e.t = loop_.now();
    e.kind = kind;
    e.via = scheduler;
    record_->write(e);
  }

  void let_files_grow(int s, bool may) {
    if (scheduler_[s] <= 0) return;
    rlimit limit{};
    if (::prlimit(scheduler_[s], RLIMIT_FSIZE, nullptr, &limit) != 0) return;
    limit.rlim_cur = may ? limit.rlim_max : 1;
    ::prlimit(scheduler_[s], RLIMIT_FSIZE, &limit, nullptr);
  }

  void start_node(int n, int life) {
    node_[n] = start("node " + std::to_string(n),
                     {options_.self, "node", day_.file, "--seed", std::to_string(day_.seed), "--number",
                      std::to_string(n), "--life", std::to_string(life), "--port",
                      std::to_string(node_port(n)), "--start", std::to_string(start_), "--folder", folder_,
                      "--record", folder_ + "/node-" + std::to_string(n) + ".record"});
  }

  void start_scheduler(int s) {
    scheduler_[s] =
        start("scheduler " + std::to_string(s),
              {options_.scheduler, "serve", folder_ + "/scheduler-" + std::to_string(s) + ".toml"});
    say(Kind::kStarted, s);
  }

  pid_t start(const std::string& name, std::vector<std::string> words) {
    std::vector<char*> argv;
    for (std::string& w : words) argv.push_back(w.data());
    argv.push_back(nullptr);
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("cannot start " + name);
    if (pid == 0) {
      if (options_.quiet) {
        const int null = ::open("/dev/null", O_WRONLY);
        ::dup2(null, 1);
      }
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    children_[pid] = name;
    return pid;
  }

  // Killed outright, and so no fault.
  void end(pid_t& pid) {
    if (pid > 0 && children_.contains(pid)) {
      meant_.push_back(pid);
      ::kill(pid, SIGKILL);
    }
    pid = 0;
  }

  void reap() {
    int status = 0;
    pid_t pid = 0;
    while ((pid = ::waitpid(-1, &status, WNOHANG)) > 0) {
      const std::string name = children_[pid];
      children_.erase(pid);
      const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
      if (!clean && std::find(meant_.begin(), meant_.end(), pid) == meant_.end()) {
        result_.faults.push_back(name + (WIFEXITED(status)
                                             ? " ended with " + std::to_string(WEXITSTATUS(status))
                                             : " died of signal " + std::to_string(WTERMSIG(status))));
      }
      if (pid == load_) wind_up();
      if (winding_up_ && std::none_of(scheduler_.begin(), scheduler_.end(),
                                      [&](auto& s) { return s.second > 0 && children_.contains(s.second); }))
        loop_.stop();
    }
  }

  // The clients are done: schedulers drain and must end by themselves.
  void wind_up() {
    winding_up_ = true;
    for (auto& [s, pid] : scheduler_) {
      if (pid > 0 && children_.contains(pid)) ::kill(pid, SIGTERM);
    }
    loop_.run_at(loop_.now() + kDrainTime, [this] {
      result_.faults.push_back("a scheduler did not end after SIGTERM");
      loop_.stop();
    });
  }

  const Day& day_;
  const RunOptions& options_;
  MonotonicClock clock_;
  Loop loop_;
  std::string folder_;
  std::vector<std::uint16_t> ports_;
  double start_ = 0;
  std::unique_ptr<Recorder> record_;
  std::map<pid_t, std::string> children_;
  std::vector<pid_t> meant_;
  std::map<int, pid_t> node_;
  std::map<int, pid_t> scheduler_;
  pid_t load_ = 0;
  bool winding_up_ = false;
  RunResult result_;
};

}  // namespace

Figures figures_of(const Day& day, double start) {
  Figures f;
  f.start = start;
  const Settings& s = day.settings;
  for (std::size_t i = 0; i < s.profiles.size(); ++i) {
    const Profile& p = s.profiles[i];
    f.profiles.push_back({day.profile_names[i], p.target_latency, p.deadline, p.benefit, day.late_parts[i],
                          static_cast<int>(p.idempotency), static_cast<int>(p.dedup_scope), p.dedup_window,
                          p.ordered_by_key});
  }
  for (std::size_t i = 0; i < s.plans.size(); ++i) {
    const Plan& p = s.plans[i];
    f.plans.push_back({day.plan_names[i], p.usual_rate, p.reservation, p.limit, p.burst, p.benefit_factor});
  }
  f.zones = day.zones;
  f.key_blocks = static_cast<int>(day.key_blocks);
  f.answer_slack = day.answer_slack;
  f.drain_grace = day.drain_grace;
  f.largest_units = s.max_transaction_units;
  f.mean_units = s.mean_transaction_units;
  f.share_part = s.share_benefit_factor;
  f.turn_gap = s.key_quiet_time;
  f.has_budget = s.has_retry_budget;
  f.budget_free = s.retry_budget_base;
  f.budget_share = s.retry_budget_ratio;
  f.budget_window = s.retry_budget_window;
  f.has_cold = s.has_slow_start;
  f.fall_time = s.overload_window;
  f.tip_multiple = s.overload_multiple;
  f.safe_cost = s.safe_start_units * day.unit_time * 1.3;
  return f;
}

RunResult run_day(const Day& day, const RunOptions& options) { return Run(day, options).play(); }

}  // namespace heronworks::lab
