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

constexpr double kSchedulerExitTimeout = 10;  // s that schedulers have to exit after SIGTERM

// Returns free ports below the ephemeral range.
std::vector<std::uint16_t> free_ports(std::size_t count) {
  std::vector<std::uint16_t> ports;
  unsigned at = 12000 + static_cast<unsigned>(::getpid()) * 37 % 18000;
  for (int attempts = 0; ports.size() < count && attempts < 20000; ++attempts) {
    at = at >= 30000 ? 12000 : at + 1;
    if (listen_on({"127.0.0.1", static_cast<std::uint16_t>(at)}))
      ports.push_back(static_cast<std::uint16_t>(at));
  }
  if (ports.size() < count) throw std::runtime_error("no free TCP ports between 12000 and 30000");
  return ports;
}

class ScenarioRunner {
 public:
  ScenarioRunner(const Scenario& scenario, const RunOptions& options)
      : scenario_(scenario),
        options_(options),
        loop_(clock_),
        folder_(options.folder),
        ports_(free_ports(static_cast<std::size_t>(scenario.nodes) +
                          static_cast<std::size_t>(scenario.schedulers) + 1)) {
    if (folder_.empty()) {
      std::string pattern = (std::filesystem::temp_directory_path() / "heronworks-day-XXXXXX").string();
      if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot create a temporary folder");
      folder_ = pattern;
    } else {
      std::filesystem::create_directories(folder_);
    }
    start_ = loop_.now() + options.startup_time;
    record_ = std::make_unique<Recorder>(folder_ + "/day.record");
    Event e;
    e.time = loop_.now();
    e.kind = EventKind::kParameters;
    e.text = checker_parameters(scenario, start_).text();
    record_->write(e);
  }

  ~ScenarioRunner() {
    for (const auto& [pid, name] : children_) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    if (options_.folder.empty()) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
  }

  RunResult run() {
    loop_.on_signal(SIGCHLD, [this] { reap(); });
    for (int n = 0; n < scenario_.nodes; ++n) {
      const auto lifetimes = node_lifetimes(scenario_, n);
      for (std::size_t i = 0; i < lifetimes.size(); ++i) {
        const int incarnation = static_cast<int>(i);
        if (i == 0) start_node(n, incarnation);
        else loop_.run_at(start_ + lifetimes[i].from, [this, n, incarnation] { start_node(n, incarnation); });
        if (lifetimes[i].to < 1e8)
          loop_.run_at(start_ + lifetimes[i].to, [this, n] { kill_process(node_pids_[n]); });
      }
    }
    std::string ports;
    for (int n = 0; n < scenario_.nodes; ++n) ports += (n > 0 ? "," : "") + std::to_string(node_port(n));
    spawn("list", {options_.self, "list", scenario_.file, "--seed", std::to_string(scenario_.seed), "--port",
                   std::to_string(list_port()), "--start", std::to_string(start_), "--nodes", ports,
                   "--record", folder_ + "/list.record"});
    std::string scheduler_ports;
    for (int s = 0; s < scenario_.schedulers; ++s) {
      scheduler_ports += (s > 0 ? "," : "") + std::to_string(scheduler_port(s));
      std::ofstream(folder_ + "/scheduler-" + std::to_string(s) + ".toml")
          << gateway_toml(scenario_, s, scheduler_port(s), list_port(), folder_)
          << (options_.withhold_rules ? "" : scenario_.rules_toml);
      start_scheduler(s);
    }
    for (const FaultEvent& fault : scenario_.fault_events) {
      if (fault.kind == FaultKind::kSchedulerKilled) {
        loop_.run_at(start_ + fault.from, [this, s = fault.target] {
          record_scheduler_event(EventKind::kSchedulerKilled, s);
          kill_process(scheduler_pids_[s]);
        });
        loop_.run_at(start_ + fault.to, [this, s = fault.target] { start_scheduler(s); });
      } else if (fault.kind == FaultKind::kDiskFull) {
        // A file size limit of the process stands in for a full disk.
        loop_.run_at(start_ + fault.from, [this, s = fault.target] { set_file_growth_allowed(s, false); });
        loop_.run_at(start_ + fault.to, [this, s = fault.target] { set_file_growth_allowed(s, true); });
      } else if (fault.kind == FaultKind::kSchedulerStopped) {
        loop_.run_at(start_ + fault.from, [this, s = fault.target] {
          record_scheduler_event(EventKind::kSchedulerStopped, s);
          if (scheduler_pids_[s] > 0) ::kill(scheduler_pids_[s], SIGSTOP);
        });
        loop_.run_at(start_ + fault.to, [this, s = fault.target] {
          if (scheduler_pids_[s] > 0) ::kill(scheduler_pids_[s], SIGCONT);
          record_scheduler_event(EventKind::kSchedulerContinued, s);
        });
      }
    }
    load_pid_ = spawn("load", {options_.self, "load", scenario_.file, "--seed",
                               std::to_string(scenario_.seed), "--start", std::to_string(start_),
                               "--schedulers", scheduler_ports, "--record", folder_ + "/load.record"});
    loop_.run_at(start_ + scenario_.seconds + 30, [this] {
      result_.failures.push_back("the load generator did not finish within 30 s after the scenario");
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
    result_.verdict = check_record(events);
    if (scenario_.ledger_period > 0) result_.billing = check_billing(scenario_, events, folder_);
    return std::move(result_);
  }

 private:
  std::uint16_t node_port(int node) const { return ports_[static_cast<std::size_t>(node)]; }
  std::uint16_t scheduler_port(int scheduler) const {
    return ports_[static_cast<std::size_t>(scenario_.nodes) + static_cast<std::size_t>(scheduler)];
  }
  std::uint16_t list_port() const { return ports_.back(); }

  void record_scheduler_event(EventKind kind, int scheduler) {
    Event e;
    e.time = loop_.now();
    e.kind = kind;
    e.scheduler = scheduler;
    record_->write(e);
  }

  void set_file_growth_allowed(int s, bool may) {
    if (scheduler_pids_[s] <= 0) return;
    rlimit limit{};
    if (::prlimit(scheduler_pids_[s], RLIMIT_FSIZE, nullptr, &limit) != 0) return;
    limit.rlim_cur = may ? limit.rlim_max : 1;
    ::prlimit(scheduler_pids_[s], RLIMIT_FSIZE, &limit, nullptr);
  }

  void start_node(int n, int incarnation) {
    node_pids_[n] = spawn("node " + std::to_string(n),
                          {options_.self, "node", scenario_.file, "--seed", std::to_string(scenario_.seed),
                           "--number", std::to_string(n), "--life", std::to_string(incarnation), "--port",
                           std::to_string(node_port(n)), "--start", std::to_string(start_), "--folder",
                           folder_, "--record", folder_ + "/node-" + std::to_string(n) + ".record"});
  }

  void start_scheduler(int s) {
    scheduler_pids_[s] =
        spawn("scheduler " + std::to_string(s),
              {options_.scheduler, "serve", folder_ + "/scheduler-" + std::to_string(s) + ".toml"});
    record_scheduler_event(EventKind::kSchedulerStarted, s);
  }

  pid_t spawn(const std::string& name, std::vector<std::string> arguments) {
    std::vector<char*> argv;
    for (std::string& w : arguments) argv.push_back(w.data());
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

  // Kills a process on purpose; its exit is not reported as a failure.
  void kill_process(pid_t& pid) {
    if (pid > 0 && children_.contains(pid)) {
      killed_on_purpose_.push_back(pid);
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
      if (!clean &&
          std::find(killed_on_purpose_.begin(), killed_on_purpose_.end(), pid) == killed_on_purpose_.end()) {
        result_.failures.push_back(
            name + (WIFEXITED(status) ? " exited with status " + std::to_string(WEXITSTATUS(status))
                                      : " was killed by signal " + std::to_string(WTERMSIG(status))));
      }
      if (pid == load_pid_) stop_schedulers();
      if (stopping_schedulers_ && std::none_of(scheduler_pids_.begin(), scheduler_pids_.end(), [&](auto& s) {
            return s.second > 0 && children_.contains(s.second);
          }))
        loop_.stop();
    }
  }

  // The load has ended: schedulers must drain and exit by themselves.
  void stop_schedulers() {
    stopping_schedulers_ = true;
    for (auto& [s, pid] : scheduler_pids_) {
      if (pid > 0 && children_.contains(pid)) ::kill(pid, SIGTERM);
    }
    loop_.run_at(loop_.now() + kSchedulerExitTimeout, [this] {
      result_.failures.push_back("a scheduler did not exit within 10 s after SIGTERM");
      loop_.stop();
    });
  }

  const Scenario& scenario_;
  const RunOptions& options_;
  MonotonicClock clock_;
  Loop loop_;
  std::string folder_;
  std::vector<std::uint16_t> ports_;
  double start_ = 0;
  std::unique_ptr<Recorder> record_;
  std::map<pid_t, std::string> children_;
  std::vector<pid_t> killed_on_purpose_;
  std::map<int, pid_t> node_pids_;
  std::map<int, pid_t> scheduler_pids_;
  pid_t load_pid_ = 0;
  bool stopping_schedulers_ = false;
  RunResult result_;
};

}  // namespace

CheckerParameters checker_parameters(const Scenario& scenario, double start) {
  CheckerParameters parameters;
  parameters.start = start;
  const Settings& s = scenario.settings;
  for (std::size_t i = 0; i < s.profiles.size(); ++i) {
    const Profile& p = s.profiles[i];
    parameters.profiles.push_back({scenario.profile_names[i], p.target_latency, p.deadline, p.benefit,
                                   scenario.late_benefit_fractions[i], static_cast<int>(p.idempotency),
                                   static_cast<int>(p.dedup_scope), p.dedup_window, p.ordered_by_key});
  }
  for (std::size_t i = 0; i < s.plans.size(); ++i) {
    const Plan& p = s.plans[i];
    parameters.plans.push_back(
        {scenario.plan_names[i], p.usual_rate, p.reservation, p.limit, p.burst, p.benefit_factor});
  }
  parameters.zones = scenario.zones;
  parameters.key_blocks = static_cast<int>(scenario.key_blocks);
  parameters.answer_slack = scenario.answer_slack;
  parameters.drain_grace = scenario.drain_grace;
  parameters.max_transaction_units = s.max_transaction_units;
  parameters.mean_transaction_units = s.mean_transaction_units;
  parameters.share_benefit_factor = s.share_benefit_factor;
  parameters.key_quiet_time = s.key_quiet_time;
  parameters.has_retry_budget = s.has_retry_budget;
  parameters.retry_budget_base = s.retry_budget_base;
  parameters.retry_budget_ratio = s.retry_budget_ratio;
  parameters.retry_budget_window = s.retry_budget_window;
  parameters.has_slow_start = s.has_slow_start;
  parameters.overload_window = s.overload_window;
  parameters.overload_multiple = s.overload_multiple;
  parameters.safe_start_cost = s.safe_start_units * scenario.unit_time * 1.3;
  return parameters;
}

RunResult run_scenario(const Scenario& scenario, const RunOptions& options) {
  return ScenarioRunner(scenario, options).run();
}

}  // namespace heronworks::lab
