#include "lab/scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>

#include "lab/billing_check.h"
#include "lab/scenario_rules.h"

namespace heronworks::lab {
namespace {

// Uniform draws that do not depend on the standard library, whose distributions vary.
double draw(std::minstd_rand& random, double from, double to) {
  return from + (to - from) * static_cast<double>(random() - 1) / 2147483646.0;
}
int draw_int(std::minstd_rand& random, int from, int to) {
  return from + static_cast<int>(draw(random, 0, 1) * (to - from + 1)) % (to - from + 1);
}
std::minstd_rand stream(const Scenario& scenario, std::uint64_t part) {
  return std::minstd_rand(static_cast<std::minstd_rand::result_type>(
      (scenario.seed * 2654435761U + part * 40503U) % 2147483646U + 1));
}

enum class TargetClass { kNode, kScheduler, kPlan, kVolume, kAll };

TargetClass target_of(FaultKind t) {
  switch (t) {
    case FaultKind::kSlow:
    case FaultKind::kHang:
    case FaultKind::kFastErrors:
    case FaultKind::kAnswersLost:
    case FaultKind::kAgeing:
    case FaultKind::kPauses:
    case FaultKind::kCrash:
    case FaultKind::kDrain:
      return TargetClass::kNode;
    case FaultKind::kSchedulerKilled:
    case FaultKind::kSchedulerStopped:
    case FaultKind::kClientDisconnects:
    case FaultKind::kDiskFull:
      return TargetClass::kScheduler;
    case FaultKind::kPlanSurge:
    case FaultKind::kHeavyTransactions:
      return TargetClass::kPlan;
    case FaultKind::kVolumeSurge:
      return TargetClass::kVolume;
    default:
      return TargetClass::kAll;
  }
}

void read_fault_events(config::Section& root, Scenario& scenario) {
  std::uint64_t number = 0;
  for (config::Section& s : root.list("trouble")) {
    auto random = stream(scenario, 1000 + ++number);
    FaultEvent fault;
    const int kind = s.one_of("kind", fault_kind_names(), -1);
    fault.kind = static_cast<FaultKind>(std::max(kind, 0));
    fault.from = s.require_number("at", 0, 3600);
    fault.to = fault.from + s.number("seconds", 1, 0, 3600);
    fault.magnitude = s.number("size", 2, 0, 1000);
    fault.by_reset = s.flag("by_reset", false);
    const double part = s.number("part", 0, 0, 1);
    const double apart =
        s.number("apart", 0, 0, 3600);  // s between the starts of the fault at consecutive targets
    std::vector<double> named = s.numbers("targets", 0, 65535);
    s.reject_unknown_keys();
    if (kind < 0) continue;
    const TargetClass target = target_of(fault.kind);
    const int all = target == TargetClass::kNode        ? scenario.nodes
                    : target == TargetClass::kScheduler ? scenario.schedulers
                    : target == TargetClass::kPlan      ? static_cast<int>(scenario.plan_names.size())
                    : target == TargetClass::kVolume    ? scenario.volumes()
                                                        : 0;
    if (target == TargetClass::kAll) {
      scenario.fault_events.push_back(fault);
      continue;
    }
    std::vector<int> order(static_cast<std::size_t>(all));
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[static_cast<std::size_t>(draw_int(random, 0, static_cast<int>(i) - 1))]);
    }
    if (named.empty()) {
      const auto count =
          static_cast<std::size_t>(std::clamp(std::lround(part * all), 1L, static_cast<long>(all)));
      named.assign(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count));
    }
    for (const double n : named) {
      if (n >= all) {
        s.add_problem("targets", "no such target: " + std::to_string(static_cast<int>(n)));
        continue;
      }
      fault.target = static_cast<int>(n);
      scenario.fault_events.push_back(fault);
      fault.from += apart;
      fault.to += apart;
    }
  }
  std::stable_sort(scenario.fault_events.begin(), scenario.fault_events.end(),
                   [](auto& a, auto& b) { return a.from < b.from; });
}

}  // namespace

const std::vector<std::string>& fault_kind_names() {
  static const std::vector<std::string> kNames = {"slow",
                                                  "hang",
                                                  "fast_errors",
                                                  "answers_lost",
                                                  "ageing",
                                                  "pauses",
                                                  "heavy",
                                                  "crash",
                                                  "drain",
                                                  "list_down",
                                                  "reports_late",
                                                  "surge",
                                                  "plan_surge",
                                                  "volume_surge",
                                                  "lead_moves",
                                                  "scheduler_killed",
                                                  "scheduler_stopped",
                                                  "client_leaves",
                                                  "disk_full"};
  return kNames;
}

int Scenario::volumes() const {
  int n = 0;
  for (const VolumeGroup& c : volume_groups) n += c.volumes;
  return n;
}

double Scenario::capacity() const { return nodes * cores / unit_time * (min_speed + max_speed) / 2; }

std::optional<Scenario> read_scenario(const std::string& path, std::uint64_t seed,
                                      config::Problems& problems) {
  const toml::table table = config::load_toml(path, problems);
  if (!problems.empty()) return std::nullopt;
  config::Section root(table, "", path, problems);
  Scenario scenario;
  scenario.file = path;
  config::Section s = root.section("day");
  scenario.name = s.text("name", path);
  scenario.seconds = s.require_number("seconds", 0.5, 3600);
  scenario.seed = static_cast<std::uint64_t>(s.integer("seed", 1, 1, 1 << 30));
  if (seed != 0) scenario.seed = seed;
  scenario.schedulers = static_cast<int>(s.integer("schedulers", 1, 1, 64));
  scenario.nodes = static_cast<int>(s.integer("nodes", 1, 1, 64));
  scenario.zones = static_cast<int>(s.integer("zones", 1, 1, 64));
  scenario.answer_slack = s.number("answer_slack", 0.05, 0, 60);
  scenario.drain_grace = s.number("drain_grace", 0.25, 0, 60);
  s.reject_unknown_keys();

  config::Section space = root.section("space");
  scenario.zone_blocks = static_cast<std::uint32_t>(space.integer("zone_blocks", 256, 1, 65536));
  scenario.zones_per_volume = static_cast<std::uint32_t>(space.integer("zones", 64, 1, 65536));
  scenario.unit_blocks = static_cast<std::uint32_t>(space.integer("unit_blocks", 1, 1, 64));
  scenario.key_blocks = static_cast<std::uint32_t>(space.integer("key_blocks", 16, 1, 65536));
  if (scenario.zones_per_volume % static_cast<std::uint32_t>(scenario.nodes) != 0)
    space.add_problem("zones", "must be a multiple of day.nodes, because zone z is on shard z modulo nodes");
  space.reject_unknown_keys();

  config::Section n = root.section("node");
  scenario.cores = static_cast<int>(n.integer("cores", 2, 1, 64));
  scenario.queue = static_cast<int>(n.integer("queue", 64, 0, 4096));
  scenario.unit_time = n.number("unit_time", 0.004, 0, 10);
  scenario.min_speed = n.number("least_speed", 1, 0.01, 100);
  scenario.max_speed = n.number("most_speed", scenario.min_speed, scenario.min_speed, 100);
  scenario.work_variation = n.number("work_spread", 0.3, 0, 1);
  scenario.deferred_fraction = n.number("deferred", 0, 0, 0.95);
  scenario.flush_interval = n.number("flush_every", 2, 0.05, 3600);
  scenario.pause_interval = n.number("pause_every", 0, 0, 3600);
  scenario.pause_duration = n.number("pause_time", 0.1, 0, 60);
  scenario.usage_report_delay = n.number("meter_late", 0.3, 0, 60);
  scenario.dedup_saving = n.number("repeat_saving", 0.9, 0, 1);
  n.reject_unknown_keys();

  config::Section l = root.section("list");
  scenario.notice_delay = l.number("notice", 0.3, 0, 60);
  scenario.response_delay = l.number("call_time", 0.002, 0, 60);
  l.reject_unknown_keys();

  config::Section c = root.section("clients");
  scenario.connections_per_scheduler = static_cast<int>(c.integer("connections", 2, 1, 1000));
  scenario.load_fraction = c.number("load", 0.5, 0, 100);
  scenario.retry_lost_connections = c.flag("retry_lost", false);
  scenario.max_retries = static_cast<int>(c.integer("retries", 1, 0, 10));
  scenario.backoff = c.number("backoff", 0.05, 0, 60);
  scenario.primary_fraction = c.number("lead_part", 0.6, 0, 1);
  c.reject_unknown_keys();

  config::Section ledger = root.section("ledger");
  scenario.ledger_period = ledger.number("period", 0, 1, 86400);
  ledger.reject_unknown_keys();

  config::Section r = root.section("rules");
  scenario.rules_toml = r.text("text", "");
  r.reject_unknown_keys();

  config::read_profiles(root, scenario.settings, scenario.profile_names, &scenario.late_benefit_fractions);
  config::read_plans(root, scenario.settings, scenario.plan_names);
  config::read_scheduling(root, scenario.settings);
  scenario.matches = config::read_matches(root, scenario.profile_names);
  scenario.parsed_rules = ScenarioRules::read(scenario.rules_toml, path, scenario.profile_names,
                                              scenario.settings.profiles, problems);
  scenario.settings.scheduler_count = scenario.schedulers;
  scenario.settings.requests_endpoint_list = true;

  for (config::Section& w : root.list("work")) {
    Workload workload;
    workload.profile = w.one_of("profile", scenario.profile_names, -1);
    workload.operation =
        static_cast<config::Operation>(std::max(0, w.one_of("operation", {"read", "write", "append"}, -1)));
    workload.share = w.number("share", 1, 0, 1e6);
    workload.min_units = static_cast<int>(w.integer("least_units", 1, 1, 1024));
    workload.max_units =
        static_cast<int>(w.integer("most_units", workload.min_units, workload.min_units, 1024));
    workload.recent_fraction = w.number("fresh", 0, 0, 1);
    if (workload.max_units > scenario.settings.max_transaction_units)
      w.add_problem("most_units", "exceeds sharing.largest_units");
    if (static_cast<std::uint32_t>(workload.max_units) * scenario.unit_blocks > scenario.zone_blocks)
      w.add_problem("most_units", "exceeds the blocks of a zone (space.zone_blocks)");
    w.reject_unknown_keys();
    scenario.workloads.push_back(workload);
  }
  if (scenario.workloads.empty()) root.add_problem("", "at least one [[work]] is required");
  for (config::Section& v : root.list("customers")) {
    VolumeGroup group;
    group.plan = v.one_of("plan", scenario.plan_names, -1);
    group.share = v.number("share", 1, 0, 1e6);
    group.volumes = static_cast<int>(v.integer("volumes", 1, 1, 100000));
    group.min_hosts = static_cast<int>(v.integer("least_hosts", 1, 1, scenario.schedulers));
    group.max_hosts =
        static_cast<int>(v.integer("most_hosts", group.min_hosts, group.min_hosts, scenario.schedulers));
    group.min_shards = static_cast<int>(v.integer("least_shards", 1, 1, scenario.nodes));
    group.max_shards =
        static_cast<int>(v.integer("most_shards", group.min_shards, group.min_shards, scenario.nodes));
    v.reject_unknown_keys();
    scenario.volume_groups.push_back(group);
  }
  if (scenario.volume_groups.empty()) root.add_problem("", "at least one [[customers]] is required");
  read_fault_events(root, scenario);
  root.reject_unknown_keys();
  if (!problems.empty()) return std::nullopt;
  return scenario;
}

std::vector<VolumeLayout> volume_layouts(const Scenario& scenario) {
  auto random = stream(scenario, 1);
  double shares = 0;
  for (const VolumeGroup& c : scenario.volume_groups) shares += c.share;
  std::vector<VolumeLayout> all;
  const auto draw_subset = [&](int of, int count) {
    std::vector<int> order(static_cast<std::size_t>(of));
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[static_cast<std::size_t>(draw_int(random, 0, static_cast<int>(i) - 1))]);
    }
    order.resize(static_cast<std::size_t>(count));
    return order;
  };
  for (const VolumeGroup& c : scenario.volume_groups) {
    for (int i = 0; i < c.volumes; ++i) {
      VolumeLayout v;
      v.plan = c.plan;
      v.share = c.share / shares / c.volumes;
      v.schedulers = draw_subset(scenario.schedulers, draw_int(random, c.min_hosts, c.max_hosts));
      v.shards = draw_subset(scenario.nodes, draw_int(random, c.min_shards, c.max_shards));
      all.push_back(std::move(v));
    }
  }
  return all;
}

double node_speed(const Scenario& scenario, int node) {
  auto random = stream(scenario, 100 + static_cast<std::uint64_t>(node));
  return draw(random, scenario.min_speed, scenario.max_speed);
}

std::vector<ProcessLifetime> node_lifetimes(const Scenario& scenario, int node) {
  std::vector<ProcessLifetime> lifetimes(1);
  for (const FaultEvent& fault : scenario.fault_events) {
    if (fault.target != node) continue;
    if (fault.kind == FaultKind::kCrash) {
      lifetimes.back().to = fault.from;
      lifetimes.push_back({fault.to, 1e9, 1e9});
    } else if (fault.kind == FaultKind::kDrain) {  // drains for `magnitude` s, then is gone until `to`
      lifetimes.back().drained_at = fault.from;
      lifetimes.back().to = std::min(fault.from + fault.magnitude, fault.to);
      lifetimes.push_back({fault.to, 1e9, 1e9});
    } else if (fault.kind == FaultKind::kAgeing) {  // dies at the end, restarts 1 s later
      lifetimes.back().to = fault.to;
      lifetimes.push_back({fault.to + 1, 1e9, 1e9});
    }
  }
  return lifetimes;
}

std::string gateway_toml(const Scenario& scenario, int index, std::uint16_t port, std::uint16_t list_port,
                         const std::string& folder) {
  std::ostringstream t;
  t.precision(12);
  const Settings& s = scenario.settings;
  t << "# scheduler " << index << " of the day '" << scenario.name << "'\n[scheduler]\nindex = " << index
    << "\nschedulers = " << scenario.schedulers
    << "\nseed = " << scenario.seed * 1000 + static_cast<std::uint64_t>(index) + 1
    << "\nlisten = \"127.0.0.1:" << port << "\"\n[list]\naddress = \"127.0.0.1:" << list_port
    << "\"\nsaved = \"" << folder << "/list-" << index
    << ".json\"\n[nodes]\nkeep_alive = 30.0\n[space]\nblock_bytes = " << scenario.block_bytes
    << "\nzone_blocks = " << scenario.zone_blocks << "\nzones = " << scenario.zones_per_volume
    << "\nshards = " << scenario.nodes << "\nunit_blocks = " << scenario.unit_blocks
    << "\nkey_blocks = " << scenario.key_blocks << "\n[log]\nfile = \"" << folder << "/scheduler-" << index
    << ".log\"\n";
  if (scenario.ledger_period > 0)
    t << "[ledger]\nfolder = \"" << ledger_folder(folder, index) << "\"\nperiod = " << scenario.ledger_period
      << "\n";
  const char* repeats[] = {"redoable", "labelled", "irreversible"};
  const char* groups[] = {"all", "zone", "cell"};
  for (std::size_t i = 0; i < s.profiles.size(); ++i) {
    const Profile& p = s.profiles[i];
    t << "[[profile]]\nname = \"" << scenario.profile_names[i] << "\"\ncontract = " << p.target_latency
      << "\ncut_off = " << p.deadline << "\nbenefit = " << p.benefit << "\nrepeat = \""
      << repeats[static_cast<int>(p.idempotency)] << "\"\ngroup = \""
      << groups[static_cast<int>(p.dedup_scope)] << "\"\nlabel_window = " << p.dedup_window
      << "\nin_order = " << (p.ordered_by_key ? "true" : "false") << "\n";
  }
  for (std::size_t i = 0; i < s.plans.size(); ++i) {
    const Plan& p = s.plans[i];
    t << "[[plan]]\nname = \"" << scenario.plan_names[i] << "\"\nusual = " << p.usual_rate
      << "\nreservation = " << p.reservation << "\nlimit = " << p.limit << "\nburst = " << p.burst
      << "\nweight = " << p.weight << "\nbenefit_factor = " << p.benefit_factor << "\n";
  }
  t << "[sharing]\nlargest_units = " << s.max_transaction_units
    << "\nmean_units = " << s.mean_transaction_units << "\nshare_part = " << s.share_benefit_factor
    << "\nspare_part = " << s.spare_benefit_factor << "\ndispatch_cap = " << s.max_dispatches
    << "\nmax_wait = " << s.max_retry_after << "\nturn_gap = " << s.key_quiet_time << "\n";
  if (s.has_retry_budget)
    t << "[budget]\nfree = " << s.retry_budget_base << "\nshare = " << s.retry_budget_ratio
      << "\nwindow = " << s.retry_budget_window << "\n";
  if (s.has_slow_start)
    t << "[cold]\nshare = " << s.initial_capacity_share << "\ntime = " << s.warmup_time
      << "\nfall_time = " << s.overload_window << "\ntip_multiple = " << s.overload_multiple
      << "\nsafe_units = " << s.safe_start_units << "\n";
  const char* operations[] = {"read", "write", "append"};
  for (const config::MatchRule& r : scenario.matches) {
    t << "[[match]]\noperation = \"" << (r.operation ? operations[static_cast<int>(*r.operation)] : "any")
      << "\"\nleast_blocks = " << r.min_blocks << "\nmost_blocks = " << r.max_blocks << "\nprofile = \""
      << scenario.profile_names[static_cast<std::size_t>(r.profile)] << "\"\n";
  }
  const auto volumes = volume_layouts(scenario);
  for (std::size_t i = 0; i < volumes.size(); ++i) {
    t << "[[volumes]]\nfirst = " << i + 1 << "\nplan = \""
      << scenario.plan_names[static_cast<std::size_t>(volumes[i].plan)] << "\"\ntenant = \""
      << tenant_of(static_cast<int>(i)) << "\"\nhosts = " << volumes[i].schedulers.size() << "\n";
  }
  return t.str();
}

}  // namespace heronworks::lab
