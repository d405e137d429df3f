#include "config/gateway_config.h"

#include <algorithm>

namespace heronworks::config {
namespace {

constexpr double kMaxTime = 3600;  // s; no longer time is plausible
constexpr double kMaxRate = 1e9;   // units per second

Address read_address(Section& s, const std::string& key) {
  const std::string text = s.require_text(key);
  const auto address = Address::parse(text);
  if (!address && s.has(key))
    s.add_problem(key, "must be a numeric address and port, such as 127.0.0.1:4420, is '" + text + "'");
  return address.value_or(Address{});
}

void add_unique_name(Section& s, const std::string& name, std::vector<std::string>& names, const char* what) {
  if (std::find(names.begin(), names.end(), name) != names.end()) {
    s.add_problem("name", std::string("duplicate ") + what + " name '" + name + "'");
  }
  names.push_back(name);
}

}  // namespace

void read_profiles(Section& root, Settings& settings, std::vector<std::string>& names,
                   std::vector<double>* late_parts) {
  for (Section& s : root.list("profile")) {
    Profile profile;
    add_unique_name(s, s.require_text("name"), names, "profile");
    profile.target_latency = s.require_number("contract", 0.001, kMaxTime);
    profile.deadline = s.require_number("cut_off", 0.001, kMaxTime);
    if (profile.deadline < profile.target_latency)
      s.add_problem("cut_off", "must not be less than 'contract'");
    profile.benefit = s.number("benefit", 1, 1e-6, 1e6);
    if (late_parts) late_parts->push_back(s.number("late_part", 0, 0, 1));
    profile.idempotency = static_cast<Idempotency>(
        std::max(0, s.one_of("repeat", {"redoable", "labelled", "irreversible"}, -1)));
    profile.dedup_scope = static_cast<DedupScope>(std::max(0, s.one_of("group", {"all", "zone", "cell"}, 2)));
    profile.dedup_window = s.number("label_window", 0, 0, kMaxTime);
    if (profile.idempotency == Idempotency::kDeduplicated && profile.dedup_window <= 0)
      s.add_problem("", "'label_window' is required if 'repeat' is 'labelled'");
    profile.ordered_by_key = s.flag("in_order", false);
    s.reject_unknown_keys();
    settings.profiles.push_back(profile);
  }
  if (settings.profiles.empty()) root.add_problem("", "at least one [[profile]] is required");
}

void read_plans(Section& root, Settings& settings, std::vector<std::string>& names) {
  for (Section& s : root.list("plan")) {
    Plan plan;
    add_unique_name(s, s.require_text("name"), names, "plan");
    plan.usual_rate = s.require_number("usual", 1e-6, kMaxRate);
    plan.reservation = s.number("reservation", 0, 0, kMaxRate);
    plan.limit = s.number("limit", 0, 0, kMaxRate);
    plan.burst = s.number("burst", 0, 0, kMaxRate);
    plan.weight = s.number("weight", 1, 1e-6, 1e6);
    plan.benefit_factor = s.number("benefit_factor", 1, 1e-6, 1e6);
    if (plan.limit > 0 && plan.limit < plan.reservation)
      s.add_problem("limit", "must not be less than 'reservation'");
    if (plan.limit > 0 && plan.burst <= 0) s.add_problem("", "'burst' is required if 'limit' is set");
    s.reject_unknown_keys();
    settings.plans.push_back(plan);
  }
  if (settings.plans.empty()) root.add_problem("", "at least one [[plan]] is required");
}

void read_scheduling(Section& root, Settings& settings) {
  Section sharing = root.section("sharing");
  settings.max_transaction_units = sharing.number("largest_units", 8, 1, 1e6);
  settings.mean_transaction_units = sharing.number("mean_units", 1, 1e-3, 1e6);
  settings.share_benefit_factor = sharing.number("share_part", 0.5, 0, 1);
  settings.spare_benefit_factor = sharing.number("spare_part", settings.share_benefit_factor / 2, 0, 1);
  settings.max_dispatches = static_cast<int>(sharing.integer("dispatch_cap", 3, 1, 100));
  settings.max_retry_after = sharing.number("max_wait", 1, 0, kMaxTime);
  settings.key_quiet_time = sharing.number("turn_gap", 0, 0, kMaxTime);
  sharing.reject_unknown_keys();

  settings.has_retry_budget = root.has("budget");
  Section budget = root.section("budget");
  if (settings.has_retry_budget) {
    settings.retry_budget_base = budget.number("free", 0, 0, 1e6);
    settings.retry_budget_ratio = budget.require_number("share", 0, 100);
    settings.retry_budget_window = budget.require_number("window", 0.1, kMaxTime);
  }
  budget.reject_unknown_keys();

  settings.has_slow_start = root.has("cold");
  Section cold = root.section("cold");
  if (settings.has_slow_start) {
    settings.initial_capacity_share = cold.require_number("share", 0.001, 1);
    settings.warmup_time = cold.require_number("time", 0.01, kMaxTime);
    settings.overload_window = cold.require_number("fall_time", 0.01, kMaxTime);
    settings.overload_multiple = cold.require_number("tip_multiple", 0.01, 1000);
    settings.safe_start_units = cold.require_number("safe_units", 0, 1e9);
  }
  cold.reject_unknown_keys();
}

std::vector<MatchRule> read_matches(Section& root, const std::vector<std::string>& profiles) {
  std::vector<MatchRule> matches;
  for (Section& s : root.list("match")) {
    MatchRule rule;
    const int operation = s.one_of("operation", {"read", "write", "append", "any"}, 3);
    if (operation >= 0 && operation < 3) rule.operation = static_cast<Operation>(operation);
    rule.min_blocks = static_cast<std::uint32_t>(s.integer("least_blocks", 0, 0, 65536));
    rule.max_blocks = static_cast<std::uint32_t>(s.integer("most_blocks", 0, 0, 65536));
    rule.first_volume = static_cast<std::uint32_t>(s.integer("first_volume", 0, 0, 0xfffffffe));
    rule.last_volume = static_cast<std::uint32_t>(s.integer("last_volume", 0, 0, 0xfffffffe));
    rule.profile = s.one_of("profile", profiles, -1);
    s.reject_unknown_keys();
    matches.push_back(rule);
  }
  if (matches.empty()) root.add_problem("", "at least one [[match]] is required");
  return matches;
}

std::optional<GatewayConfig> read_gateway_config(const std::string& path, Problems& problems) {
  const toml::table table = load_toml(path, problems);
  if (!problems.empty()) return std::nullopt;
  Section root(table, "", path, problems);
  GatewayConfig config;
  Settings& settings = config.settings;

  Section scheduler = root.section("scheduler");
  settings.scheduler_index = static_cast<int>(scheduler.integer("index", 0, 0, 65535));
  settings.scheduler_count = static_cast<int>(scheduler.integer("schedulers", 1, 1, 65536));
  if (settings.scheduler_index >= settings.scheduler_count)
    scheduler.add_problem("index", "must be less than 'schedulers'");
  settings.seed = static_cast<std::uint64_t>(scheduler.integer("seed", 1, 1, INT64_MAX));
  settings.clock_resolution = scheduler.number("resolution", 0.001, 0, 1);
  settings.requests_endpoint_list = true;
  config.listen = read_address(scheduler, "listen");
  config.subsystem = scheduler.text("subsystem", "nqn.2026-11.org.heronworks:gateway");
  config.host_name = scheduler.text(
      "host_name", "nqn.2026-11.org.heronworks:scheduler." + std::to_string(settings.scheduler_index));
  config.response_margin = scheduler.number("way_back", 0.02, 0, 10);
  scheduler.reject_unknown_keys();

  Section list = root.section("list");
  config.discovery_address = read_address(list, "address");
  config.discovery_subsystem = list.text("subsystem", "nqn.2014-08.org.nvmexpress.discovery");
  config.saved_list_path = list.text("saved", "");
  list.reject_unknown_keys();

  Section nodes = root.section("nodes");
  config.node_subsystem = nodes.text("subsystem", "nqn.2026-11.org.heronworks:node");
  config.node_queue_depth = static_cast<int>(nodes.integer("depth", 128, 2, 4096));
  config.connect_timeout = nodes.number("connect_timeout", 0.5, 0.001, 60);
  config.idle_timeout = nodes.number("idle_close", 60, 0.1, kMaxTime);
  config.keep_alive = nodes.number("keep_alive", 5, 0, kMaxTime);
  config.pdu_digests = nodes.flag("digests", false);
  nodes.reject_unknown_keys();

  Section space = root.section("space");
  config.block_bytes = static_cast<std::uint32_t>(space.integer("block_bytes", 4096, 512, 65536));
  if ((config.block_bytes & (config.block_bytes - 1)) != 0)
    space.add_problem("block_bytes", "must be a power of two");
  config.zone_blocks = static_cast<std::uint32_t>(space.require_integer("zone_blocks", 1, 1 << 30));
  config.zones = static_cast<std::uint32_t>(space.require_integer("zones", 1, 1 << 24));
  config.shards = static_cast<std::uint32_t>(space.require_integer("shards", 1, 65536));
  config.unit_blocks = static_cast<std::uint32_t>(space.integer("unit_blocks", 1, 1, 65536));
  config.key_blocks = static_cast<std::uint32_t>(space.integer("key_blocks", 1, 1, 1 << 30));
  space.reject_unknown_keys();

  Section limits = root.section("limits");
  config.max_connections = static_cast<int>(limits.integer("connections", 1024, 1, 100000));
  config.queue_size = static_cast<int>(limits.integer("queue_size", 128, 2, 4096));
  config.max_open_transactions = static_cast<int>(limits.integer("open", 20000, 1, 1000000));
  config.max_write_bytes = static_cast<std::size_t>(limits.integer("bytes", 256 << 20, 1 << 16, INT64_MAX));
  limits.reject_unknown_keys();

  Section ledger = root.section("ledger");
  config.ledger.folder = ledger.text("folder", "");
  config.ledger.period = ledger.number("period", 3600, 1, 366 * 86400.0);
  config.ledger.dedup_window = ledger.number("remembers", 0, 0, 86400);
  config.ledger.max_identities =
      static_cast<std::size_t>(ledger.integer("identities", 200000, 1000, 10000000));
  config.ledger.durable_before_response = ledger.flag("waits", true);
  config.ledger.max_group_entries = static_cast<std::size_t>(ledger.integer("group", 4096, 1, 65536));
  ledger.reject_unknown_keys();

  Section log = root.section("log");
  config.log_file = log.text("file", "");
  config.log_level = std::vector<std::string>{"debug", "info", "warn", "error"}[static_cast<std::size_t>(
      std::max(0, log.one_of("level", {"debug", "info", "warn", "error"}, 1)))];
  config.max_log_lines = static_cast<int>(log.integer("lines", 200, 1, 1000000));
  log.reject_unknown_keys();

  read_profiles(root, settings, config.profile_names);
  read_plans(root, settings, config.plan_names);
  read_scheduling(root, settings);
  config.matches = read_matches(root, config.profile_names);

  for (Section& s : root.list("volumes")) {
    VolumeRange range;
    range.first = static_cast<std::uint32_t>(s.require_integer("first", 1, 0xfffffffe));
    range.last = static_cast<std::uint32_t>(s.integer("last", range.first, 1, 0xfffffffe));
    range.plan = s.one_of("plan", config.plan_names, -1);
    range.schedulers =
        static_cast<int>(s.integer("hosts", settings.scheduler_count, 1, settings.scheduler_count));
    range.tenant = s.text("tenant", "none");
    if (range.tenant.empty() || range.tenant.size() > 64)
      s.add_problem("tenant", "must have 1 to 64 bytes, has " + std::to_string(range.tenant.size()));
    if (range.last < range.first) s.add_problem("last", "must not be less than 'first'");
    for (const VolumeRange& other : config.volumes) {
      if (range.first <= other.last && other.first <= range.last) {
        s.add_problem("first", "volumes overlap with the range " + std::to_string(other.first) + " to " +
                                   std::to_string(other.last));
      }
    }
    s.reject_unknown_keys();
    config.volumes.push_back(range);
  }
  // A retry may arrive as late as the end of the deadline and the deduplication window of its profile.
  for (const Profile& profile : settings.profiles) {
    if (config.ledger.dedup_window < 2 * (profile.deadline + profile.dedup_window))
      config.ledger.dedup_window = 2 * (profile.deadline + profile.dedup_window);
  }
  if (config.volumes.empty()) root.add_problem("", "at least one [[volumes]] is required");
  for (std::size_t i = 0; i < settings.plans.size(); ++i) {
    const Plan& plan = settings.plans[i];
    for (const VolumeRange& range : config.volumes) {
      if (range.plan != static_cast<int>(i) || plan.limit <= 0 || plan.burst <= 0 ||
          plan.burst / range.schedulers >= settings.max_transaction_units)
        continue;
      root.add_problem("plan", "plan '" + config.plan_names[i] + "': a burst of " +
                                   std::to_string(plan.burst) + " units divided among " +
                                   std::to_string(range.schedulers) +
                                   " schedulers is less than the largest transaction, " +
                                   std::to_string(settings.max_transaction_units) + " units");
      break;
    }
  }
  auto expr_rules = read_expression_rules(root, config.profile_names, settings.profiles, problems);
  root.reject_unknown_keys();
  if (!problems.empty() || !expr_rules) return std::nullopt;
  config.rules = std::make_shared<const ExpressionRules>(std::move(*expr_rules));
  return config;
}

}  // namespace heronworks::config
