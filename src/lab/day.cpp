// Days: see day.h.
#include "lab/day.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <sstream>

#include "lab/bills.h"
#include "lab/day_rules.h"

namespace heronworks::lab {
namespace {

// Draws do not depend on the standard library's distributions.
double draw(std::minstd_rand& random, double from, double to) {
  return from + (to - from) * static_cast<double>(random() - 1) / 2147483646.0;
}
int draw_int(std::minstd_rand& random, int from, int to) {
  return from + static_cast<int>(draw(random, 0, 1) * (to - from + 1)) % (to - from + 1);
}
std::minstd_rand stream(const Day& day, std::uint64_t part) {
  return std::minstd_rand(
      static_cast<std::minstd_rand::result_type>((day.seed * 2654435761U + part * 40503U) % 2147483646U + 1));
}

enum class Target { kNode, kScheduler, kPlan, kVolume, kAll };

Target target_of(Trouble t) {
  switch (t) {
    case Trouble::kSlow:
    case Trouble::kHang:
    case Trouble::kFastErrors:
    case Trouble::kAnswersLost:
    case Trouble::kAgeing:
    case Trouble::kPauses:
    case Trouble::kCrash:
    case Trouble::kDrain:
      return Target::kNode;
    case Trouble::kSchedulerKilled:
    case Trouble::kSchedulerStopped:
    case Trouble::kClientLeaves:
    case Trouble::kDiskFull:
      return Target::kScheduler;
    case Trouble::kPlanSurge:
    case Trouble::kHeavy:
      return Target::kPlan;
    case Trouble::kVolumeSurge:
      return Target::kVolume;
    default:
      return Target::kAll;
  }
}

void read_troubles(config::Section& root, Day& day) {
  std::uint64_t number = 0;
  for (config::Section& s : root.list("trouble")) {
    auto random = stream(day, 1000 + ++number);
    Act a;
    const int kind = s.one_of("kind", trouble_names(), -1);
    a.trouble = static_cast<Trouble>(std::max(kind, 0));
    a.from = s.require_number("at", 0, 3600);
    a.to = a.from + s.number("seconds", 1, 0, 3600);
    a.size = s.number("size", 2, 0, 1000);
    a.by_reset = s.flag("by_reset", false);
    const double part = s.number("part", 0, 0, 1);
    const double apart = s.number("apart", 0, 0, 3600);  // s between one target's start and the next's
    std::vector<double> named = s.numbers("targets", 0, 65535);
    s.reject_unknown_keys();
    if (kind < 0) continue;
    const Target target = target_of(a.trouble);
    const int all = target == Target::kNode        ? day.nodes
                    : target == Target::kScheduler ? day.schedulers
                    : target == Target::kPlan      ? static_cast<int>(day.plan_names.size())
                    : target == Target::kVolume    ? day.volumes()
                                                   : 0;
    if (target == Target::kAll) {
      day.acts.push_back(a);
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
        s.add_problem("targets", "there is no number " + std::to_string(static_cast<int>(n)));
        continue;
      }
      a.target = static_cast<int>(n);
      day.acts.push_back(a);
      a.from += apart;
      a.to += apart;
    }
  }
  std::stable_sort(day.acts.begin(), day.acts.end(), [](auto& a, auto& b) { return a.from < b.from; });
}

}  // namespace

const std::vector<std::string>& trouble_names() {
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

int Day::volumes() const {
  int n = 0;
  for (const Customers& c : customers) n += c.volumes;
  return n;
}

double Day::capacity() const { return nodes * cores / unit_time * (least_speed + most_speed) / 2; }

std::optional<Day> read_day(const std::string& path, std::uint64_t seed, config::Problems& problems) {
  const toml::table table = config::load_toml(path, problems);
  if (!problems.empty()) return std::nullopt;
  config::Section root(table, "", path, problems);
  Day d;
  d.file = path;
  config::Section s = root.section("day");
  d.name = s.text("name", path);
  d.seconds = s.require_number("seconds", 0.5, 3600);
  d.seed = static_cast<std::uint64_t>(s.integer("seed", 1, 1, 1 << 30));
  if (seed != 0) d.seed = seed;
  d.schedulers = static_cast<int>(s.integer("schedulers", 1, 1, 64));
  d.nodes = static_cast<int>(s.integer("nodes", 1, 1, 64));
  d.zones = static_cast<int>(s.integer("zones", 1, 1, 64));
  d.answer_slack = s.number("answer_slack", 0.05, 0, 60);
  d.drain_grace = s.number("drain_grace", 0.25, 0, 60);
  s.reject_unknown_keys();

  config::Section space = root.section("space");
  d.zone_blocks = static_cast<std::uint32_t>(space.integer("zone_blocks", 256, 1, 65536));
  d.zones_a_volume = static_cast<std::uint32_t>(space.integer("zones", 64, 1, 65536));
  d.unit_blocks = static_cast<std::uint32_t>(space.integer("unit_blocks", 1, 1, 64));
  d.key_blocks = static_cast<std::uint32_t>(space.integer("key_blocks", 16, 1, 65536));
  if (d.zones_a_volume % static_cast<std::uint32_t>(d.nodes) != 0)
    space.add_problem("zones", "must be a multiple of the nodes, as zone z lies on shard z modulo nodes");
  space.reject_unknown_keys();

  config::Section n = root.section("node");
  d.cores = static_cast<int>(n.integer("cores", 2, 1, 64));
  d.queue = static_cast<int>(n.integer("queue", 64, 0, 4096));
  d.unit_time = n.number("unit_time", 0.004, 0, 10);
  d.least_speed = n.number("least_speed", 1, 0.01, 100);
  d.most_speed = n.number("most_speed", d.least_speed, d.least_speed, 100);
  d.work_spread = n.number("work_spread", 0.3, 0, 1);
  d.deferred = n.number("deferred", 0, 0, 0.95);
  d.flush_every = n.number("flush_every", 2, 0.05, 3600);
  d.pause_every = n.number("pause_every", 0, 0, 3600);
  d.pause_time = n.number("pause_time", 0.1, 0, 60);
  d.meter_late = n.number("meter_late", 0.3, 0, 60);
  d.repeat_saving = n.number("repeat_saving", 0.9, 0, 1);
  n.reject_unknown_keys();

  config::Section l = root.section("list");
  d.notice = l.number("notice", 0.3, 0, 60);
  d.call_time = l.number("call_time", 0.002, 0, 60);
  l.reject_unknown_keys();

  config::Section c = root.section("clients");
  d.connections = static_cast<int>(c.integer("connections", 2, 1, 1000));
  d.load = c.number("load", 0.5, 0, 100);
  d.retry_lost = c.flag("retry_lost", false);
  d.retries = static_cast<int>(c.integer("retries", 1, 0, 10));
  d.backoff = c.number("backoff", 0.05, 0, 60);
  d.lead_part = c.number("lead_part", 0.6, 0, 1);
  c.reject_unknown_keys();

  config::Section ledger = root.section("ledger");
  d.ledger_period = ledger.number("period", 0, 1, 86400);
  ledger.reject_unknown_keys();

  config::Section r = root.section("rules");
  d.rules = r.text("text", "");
  r.reject_unknown_keys();

  config::read_profiles(root, d.settings, d.profile_names, &d.late_parts);
  config::read_plans(root, d.settings, d.plan_names);
  config::read_scheduling(root, d.settings);
  d.matches = config::read_matches(root, d.profile_names);
  d.read_rules = DayRules::read(d.rules, path, d.profile_names, d.settings.profiles, problems);
  d.settings.scheduler_count = d.schedulers;
  d.settings.requests_endpoint_list = true;

  for (config::Section& w : root.list("work")) {
    Work work;
    work.profile = w.one_of("profile", d.profile_names, -1);
    work.operation =
        static_cast<config::Operation>(std::max(0, w.one_of("operation", {"read", "write", "append"}, -1)));
    work.share = w.number("share", 1, 0, 1e6);
    work.least_units = static_cast<int>(w.integer("least_units", 1, 1, 1024));
    work.most_units = static_cast<int>(w.integer("most_units", work.least_units, work.least_units, 1024));
    work.fresh = w.number("fresh", 0, 0, 1);
    if (work.most_units > d.settings.max_transaction_units)
      w.add_problem("most_units", "over sharing.largest_units");
    if (static_cast<std::uint32_t>(work.most_units) * d.unit_blocks > d.zone_blocks)
      w.add_problem("most_units", "more blocks than a zone has");
    w.reject_unknown_keys();
    d.work.push_back(work);
  }
  if (d.work.empty()) root.add_problem("", "at least one [[work]] is needed");
  for (config::Section& v : root.list("customers")) {
    Customers k;
    k.plan = v.one_of("plan", d.plan_names, -1);
    k.share = v.number("share", 1, 0, 1e6);
    k.volumes = static_cast<int>(v.integer("volumes", 1, 1, 100000));
    k.least_hosts = static_cast<int>(v.integer("least_hosts", 1, 1, d.schedulers));
    k.most_hosts = static_cast<int>(v.integer("most_hosts", k.least_hosts, k.least_hosts, d.schedulers));
    k.least_shards = static_cast<int>(v.integer("least_shards", 1, 1, d.nodes));
    k.most_shards = static_cast<int>(v.integer("most_shards", k.least_shards, k.least_shards, d.nodes));
    v.reject_unknown_keys();
    d.customers.push_back(k);
  }
  if (d.customers.empty()) root.add_problem("", "at least one [[customers]] is needed");
  read_troubles(root, d);
  root.reject_unknown_keys();
  if (!problems.empty()) return std::nullopt;
  return d;
}

std::vector<VolumeFacts> volumes_of(const Day& day) {
  auto random = stream(day, 1);
  double shares = 0;
  for (const Customers& c : day.customers) shares += c.share;
  std::vector<VolumeFacts> all;
  const auto some = [&](int of, int count) {
    std::vector<int> order(static_cast<std::size_t>(of));
    std::iota(order.begin(), order.end(), 0);
    for (std::size_t i = order.size(); i > 1; --i) {
      std::swap(order[i - 1], order[static_cast<std::size_t>(draw_int(random, 0, static_cast<int>(i) - 1))]);
    }
    order.resize(static_cast<std::size_t>(count));
    return order;
  };
  for (const Customers& c : day.customers) {
    for (int i = 0; i < c.volumes; ++i) {
      VolumeFacts v;
      v.plan = c.plan;
      v.share = c.share / shares / c.volumes;
      v.schedulers = some(day.schedulers, draw_int(random, c.least_hosts, c.most_hosts));
      v.shards = some(day.nodes, draw_int(random, c.least_shards, c.most_shards));
      all.push_back(std::move(v));
    }
  }
  return all;
}

double node_speed(const Day& day, int node) {
  auto random = stream(day, 100 + static_cast<std::uint64_t>(node));
  return draw(random, day.least_speed, day.most_speed);
}

std::vector<Life> lives_of(const Day& day, int node) {
  std::vector<Life> lives(1);
  for (const Act& a : day.acts) {
    if (a.target != node) continue;
    if (a.trouble == Trouble::kCrash) {
      lives.back().to = a.from;
      lives.push_back({a.to, 1e9, 1e9});
    } else if (a.trouble == Trouble::kDrain) {  // `size` s of draining, then gone until `to`
      lives.back().drained_at = a.from;
      lives.back().to = std::min(a.from + a.size, a.to);
      lives.push_back({a.to, 1e9, 1e9});
    } else if (a.trouble == Trouble::kAgeing) {  // dies at the end, back after a second
      lives.back().to = a.to;
      lives.push_back({a.to + 1, 1e9, 1e9});
    }
  }
  return lives;
}

std::string gateway_toml(const Day& day, int index, std::uint16_t port, std::uint16_t list_port,
                         const std::string& folder) {
  std::ostringstream t;
  t.precision(12);
  const Settings& s = day.settings;
  t << "# scheduler " << index << " of the day '" << day.name << "'\n[scheduler]\nindex = " << index
    << "\nschedulers = " << day.schedulers
    << "\nseed = " << day.seed * 1000 + static_cast<std::uint64_t>(index) + 1
    << "\nlisten = \"127.0.0.1:" << port << "\"\n[list]\naddress = \"127.0.0.1:" << list_port
    << "\"\nsaved = \"" << folder << "/list-" << index
    << ".json\"\n[nodes]\nkeep_alive = 30.0\n[space]\nblock_bytes = " << day.block_bytes
    << "\nzone_blocks = " << day.zone_blocks << "\nzones = " << day.zones_a_volume
    << "\nshards = " << day.nodes << "\nunit_blocks = " << day.unit_blocks
    << "\nkey_blocks = " << day.key_blocks << "\n[log]\nfile = \"" << folder << "/scheduler-" << index
    << ".log\"\n";
  if (day.ledger_period > 0)
    t << "[ledger]\nfolder = \"" << ledger_folder(folder, index) << "\"\nperiod = " << day.ledger_period
      << "\n";
  const char* repeats[] = {"redoable", "labelled", "irreversible"};
  const char* groups[] = {"all", "zone", "cell"};
  for (std::size_t i = 0; i < s.profiles.size(); ++i) {
    const Profile& p = s.profiles[i];
    t << "[[profile]]\nname = \"" << day.profile_names[i] << "\"\ncontract = " << p.target_latency
      << "\ncut_off = " << p.deadline << "\nbenefit = " << p.benefit << "\nrepeat = \""
      << repeats[static_cast<int>(p.idempotency)] << "\"\ngroup = \""
      << groups[static_cast<int>(p.dedup_scope)] << "\"\nlabel_window = " << p.dedup_window
      << "\nin_order = " << (p.ordered_by_key ? "true" : "false") << "\n";
  }
  for (std::size_t i = 0; i < s.plans.size(); ++i) {
    const Plan& p = s.plans[i];
    t << "[[plan]]\nname = \"" << day.plan_names[i] << "\"\nusual = " << p.usual_rate
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
  for (const config::MatchRule& r : day.matches) {
    t << "[[match]]\noperation = \"" << (r.operation ? operations[static_cast<int>(*r.operation)] : "any")
      << "\"\nleast_blocks = " << r.min_blocks << "\nmost_blocks = " << r.max_blocks << "\nprofile = \""
      << day.profile_names[static_cast<std::size_t>(r.profile)] << "\"\n";
  }
  const auto volumes = volumes_of(day);
  for (std::size_t i = 0; i < volumes.size(); ++i) {
    t << "[[volumes]]\nfirst = " << i + 1 << "\nplan = \""
      << day.plan_names[static_cast<std::size_t>(volumes[i].plan)] << "\"\ntenant = \""
      << tenant_of(static_cast<int>(i)) << "\"\nhosts = " << volumes[i].schedulers.size() << "\n";
  }
  return t.str();
}

}  // namespace heronworks::lab
