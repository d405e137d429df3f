// The configuration of one scheduler: see gateway_config.h.
#include "config/gateway_config.h"

#include <algorithm>

namespace heronworks::config {
namespace {

constexpr double kLongest = 3600;  // s; longer times are slips of the pen
constexpr double kMostRate = 1e9;  // units a second

Address address(Section& s, const std::string& key) {
  const std::string text = s.need_text(key);
  const auto a = Address::parse(text);
  if (!a && s.has(key)) s.complain(key, "must be a numeric address and port, such as 127.0.0.1:4420");
  return a.value_or(Address{});
}

void twice(Section& s, const std::string& name, std::vector<std::string>& names, const char* what) {
  if (std::find(names.begin(), names.end(), name) != names.end()) {
    s.complain("name", std::string("a ") + what + " of this name stands above");
  }
  names.push_back(name);
}

}  // namespace

void read_profiles(Section& root, Settings& settings, std::vector<std::string>& names,
                   std::vector<double>* late_parts) {
  for (Section& s : root.list("profile")) {
    Profile p;
    twice(s, s.need_text("name"), names, "profile");
    p.target_latency = s.need_number("contract", 0.001, kLongest);
    p.deadline = s.need_number("cut_off", 0.001, kLongest);
    if (p.deadline < p.target_latency) s.complain("cut_off", "must not be under the contract time");
    p.benefit = s.number("benefit", 1, 1e-6, 1e6);
    if (late_parts) late_parts->push_back(s.number("late_part", 0, 0, 1));
    p.idempotency = static_cast<Idempotency>(
        std::max(0, s.one_of("repeat", {"redoable", "labelled", "irreversible"}, -1)));
    p.dedup_scope = static_cast<DedupScope>(std::max(0, s.one_of("group", {"all", "zone", "cell"}, 2)));
    p.dedup_window = s.number("label_window", 0, 0, kLongest);
    if (p.idempotency == Idempotency::kDeduplicated && p.dedup_window <= 0)
      s.complain("", "a labelled profile needs 'label_window', the time for which nodes know a repeat");
    p.ordered_by_key = s.flag("in_order", false);
    s.finish();
    settings.profiles.push_back(p);
  }
  if (settings.profiles.empty()) root.complain("", "at least one [[profile]] is needed");
}

void read_plans(Section& root, Settings& settings, std::vector<std::string>& names) {
  for (Section& s : root.list("plan")) {
    Plan p;
    twice(s, s.need_text("name"), names, "plan");
    p.usual_rate = s.need_number("usual", 1e-6, kMostRate);
    p.reservation = s.number("reservation", 0, 0, kMostRate);
    p.limit = s.number("limit", 0, 0, kMostRate);
    p.burst = s.number("burst", 0, 0, kMostRate);
    p.weight = s.number("weight", 1, 1e-6, 1e6);
    p.benefit_factor = s.number("benefit_factor", 1, 1e-6, 1e6);
    if (p.limit > 0 && p.limit < p.reservation) s.complain("limit", "must not be under the reservation");
    if (p.limit > 0 && p.burst <= 0)
      s.complain("", "a plan with a limit needs 'burst', the size of its store");
    s.finish();
    settings.plans.push_back(p);
  }
  if (settings.plans.empty()) root.complain("", "at least one [[plan]] is needed");
}

void read_rules(Section& root, Settings& settings) {
  Section sharing = root.section("sharing");
  settings.max_transaction_units = sharing.number("largest_units", 8, 1, 1e6);
  settings.mean_transaction_units = sharing.number("mean_units", 1, 1e-3, 1e6);
  settings.share_benefit_factor = sharing.number("share_part", 0.5, 0, 1);
  settings.spare_benefit_factor = sharing.number("spare_part", settings.share_benefit_factor / 2, 0, 1);
  settings.max_dispatches = static_cast<int>(sharing.integer("dispatch_cap", 3, 1, 100));
  settings.max_retry_after = sharing.number("max_wait", 1, 0, kLongest);
  settings.key_quiet_time = sharing.number("turn_gap", 0, 0, kLongest);
  sharing.finish();

  settings.has_retry_budget = root.has("budget");
  Section budget = root.section("budget");
  if (settings.has_retry_budget) {
    settings.retry_budget_base = budget.number("free", 0, 0, 1e6);
    settings.retry_budget_ratio = budget.need_number("share", 0, 100);
    settings.retry_budget_window = budget.need_number("window", 0.1, kLongest);
  }
  budget.finish();

  settings.has_slow_start = root.has("cold");
  Section cold = root.section("cold");
  if (settings.has_slow_start) {
    settings.initial_capacity_share = cold.need_number("share", 0.001, 1);
    settings.warmup_time = cold.need_number("time", 0.01, kLongest);
    settings.overload_window = cold.need_number("fall_time", 0.01, kLongest);
    settings.overload_multiple = cold.need_number("tip_multiple", 0.01, 1000);
    settings.safe_start_units = cold.need_number("safe_units", 0, 1e9);
  }
  cold.finish();
}

std::vector<Rule> read_matches(Section& root, const std::vector<std::string>& profiles) {
  std::vector<Rule> rules;
  for (Section& s : root.list("match")) {
    Rule r;
    const int operation = s.one_of("operation", {"read", "write", "append", "any"}, 3);
    if (operation >= 0 && operation < 3) r.operation = static_cast<Operation>(operation);
    r.least_blocks = static_cast<std::uint32_t>(s.integer("least_blocks", 0, 0, 65536));
    r.most_blocks = static_cast<std::uint32_t>(s.integer("most_blocks", 0, 0, 65536));
    r.first_volume = static_cast<std::uint32_t>(s.integer("first_volume", 0, 0, 0xfffffffe));
    r.last_volume = static_cast<std::uint32_t>(s.integer("last_volume", 0, 0, 0xfffffffe));
    r.profile = s.one_of("profile", profiles, -1);
    s.finish();
    rules.push_back(r);
  }
  if (rules.empty()) root.complain("", "at least one [[match]] is needed");
  return rules;
}

std::optional<GatewayConfig> read_gateway(const std::string& path, Problems& problems) {
  const toml::table table = load(path, problems);
  if (!problems.empty()) return std::nullopt;
  Section root(table, "", path, problems);
  GatewayConfig c;
  Settings& settings = c.settings;

  Section s = root.section("scheduler");
  settings.scheduler_index = static_cast<int>(s.integer("index", 0, 0, 65535));
  settings.scheduler_count = static_cast<int>(s.integer("schedulers", 1, 1, 65536));
  if (settings.scheduler_index >= settings.scheduler_count)
    s.complain("index", "must be under 'schedulers'; numbers start at 0");
  settings.seed = static_cast<std::uint64_t>(s.integer("seed", 1, 1, INT64_MAX));
  settings.clock_resolution = s.number("resolution", 0.001, 0, 1);
  settings.requests_endpoint_list = true;
  c.listen = address(s, "listen");
  c.subsystem = s.text("subsystem", "nqn.2026-11.org.heronworks:gateway");
  c.host_name =
      s.text("host_name", "nqn.2026-11.org.heronworks:scheduler." + std::to_string(settings.scheduler_index));
  c.way_back = s.number("way_back", 0.02, 0, 10);
  s.finish();

  Section list = root.section("list");
  c.list = address(list, "address");
  c.list_subsystem = list.text("subsystem", "nqn.2014-08.org.nvmexpress.discovery");
  c.saved_list = list.text("saved", "");
  list.finish();

  Section nodes = root.section("nodes");
  c.node_subsystem = nodes.text("subsystem", "nqn.2026-11.org.heronworks:node");
  c.node_depth = static_cast<int>(nodes.integer("depth", 128, 2, 4096));
  c.connect_timeout = nodes.number("connect_timeout", 0.5, 0.001, 60);
  c.idle_close = nodes.number("idle_close", 60, 0.1, kLongest);
  c.keep_alive = nodes.number("keep_alive", 5, 0, kLongest);
  c.digests = nodes.flag("digests", false);
  nodes.finish();

  Section space = root.section("space");
  c.block_bytes = static_cast<std::uint32_t>(space.integer("block_bytes", 4096, 512, 65536));
  if ((c.block_bytes & (c.block_bytes - 1)) != 0) space.complain("block_bytes", "must be a power of two");
  c.zone_blocks = static_cast<std::uint32_t>(space.need_integer("zone_blocks", 1, 1 << 30));
  c.zones = static_cast<std::uint32_t>(space.need_integer("zones", 1, 1 << 24));
  c.shards = static_cast<std::uint32_t>(space.need_integer("shards", 1, 65536));
  c.unit_blocks = static_cast<std::uint32_t>(space.integer("unit_blocks", 1, 1, 65536));
  c.key_blocks = static_cast<std::uint32_t>(space.integer("key_blocks", 1, 1, 1 << 30));
  space.finish();

  Section limits = root.section("limits");
  c.most_connections = static_cast<int>(limits.integer("connections", 1024, 1, 100000));
  c.queue_size = static_cast<int>(limits.integer("queue_size", 128, 2, 4096));
  c.most_open = static_cast<int>(limits.integer("open", 20000, 1, 1000000));
  c.most_bytes = static_cast<std::size_t>(limits.integer("bytes", 256 << 20, 1 << 16, INT64_MAX));
  limits.finish();

  Section ledger = root.section("ledger");
  c.ledger.folder = ledger.text("folder", "");
  c.ledger.period = ledger.number("period", 3600, 1, 366 * 86400.0);
  c.ledger.remembers = ledger.number("remembers", 0, 0, 86400);
  c.ledger.identities = static_cast<std::size_t>(ledger.integer("identities", 200000, 1000, 10000000));
  c.ledger.waits = ledger.flag("waits", true);
  c.ledger.group = static_cast<std::size_t>(ledger.integer("group", 4096, 1, 65536));
  ledger.finish();

  Section log = root.section("log");
  c.log_file = log.text("file", "");
  c.log_level = std::vector<std::string>{"debug", "info", "warn", "error"}[static_cast<std::size_t>(
      std::max(0, log.one_of("level", {"debug", "info", "warn", "error"}, 1)))];
  c.log_lines = static_cast<int>(log.integer("lines", 200, 1, 1000000));
  log.finish();

  read_profiles(root, settings, c.profile_names);
  read_plans(root, settings, c.plan_names);
  read_rules(root, settings);
  c.rules = read_matches(root, c.profile_names);

  for (Section& v : root.list("volumes")) {
    Volumes range;
    range.first = static_cast<std::uint32_t>(v.need_integer("first", 1, 0xfffffffe));
    range.last = static_cast<std::uint32_t>(v.integer("last", range.first, 1, 0xfffffffe));
    range.plan = v.one_of("plan", c.plan_names, -1);
    range.hosts = static_cast<int>(v.integer("hosts", settings.scheduler_count, 1, settings.scheduler_count));
    range.tenant = v.text("tenant", "none");
    if (range.tenant.empty() || range.tenant.size() > 64) v.complain("tenant", "must be of 1 to 64 bytes");
    if (range.last < range.first) v.complain("last", "must not be under 'first'");
    for (const Volumes& o : c.volumes) {
      if (range.first <= o.last && o.first <= range.last) {
        v.complain("first",
                   "these volumes overlap with " + std::to_string(o.first) + " to " + std::to_string(o.last));
      }
    }
    v.finish();
    c.volumes.push_back(range);
  }
  // A client may come again as late as this: its cut-off, and a repeat window.
  for (const Profile& p : settings.profiles) {
    if (c.ledger.remembers < 2 * (p.deadline + p.dedup_window))
      c.ledger.remembers = 2 * (p.deadline + p.dedup_window);
  }
  if (c.volumes.empty()) root.complain("", "at least one [[volumes]] is needed");
  for (std::size_t i = 0; i < settings.plans.size(); ++i) {
    const Plan& p = settings.plans[i];
    for (const Volumes& v : c.volumes) {
      if (v.plan != static_cast<int>(i) || p.limit <= 0 || p.burst <= 0 ||
          p.burst / v.hosts >= settings.max_transaction_units)
        continue;
      root.complain("plan", "plan '" + c.plan_names[i] + "': a burst of " + std::to_string(p.burst) +
                                " over " + std::to_string(v.hosts) + " hosts holds no transaction of " +
                                std::to_string(settings.max_transaction_units) + " units");
      break;
    }
  }
  auto expr_rules = read_expr_rules(root, c.profile_names, settings.profiles, problems);
  root.finish();
  if (!problems.empty() || !expr_rules) return std::nullopt;
  c.expr = std::make_shared<const Rules>(std::move(*expr_rules));
  return c;
}

}  // namespace heronworks::config
