#include "settings_reader.h"

#include "number.h"

namespace heronworks {
namespace {

constexpr double kSecondsPerMicrosecond = 1e-6;  // times in the settings are in microseconds

template <typename Number>
Number parse_number(const SettingsFields& fields, std::string_view name, std::string_view value) {
  const auto number = read_number<Number>(value);
  if (!number) fields.fail(name);
  return *number;
}

Profile read_profile(const SettingsFields& fields, const std::string& prefix) {
  Profile profile;
  profile.target_latency = kSecondsPerMicrosecond * fields.number(prefix + "aim");
  profile.deadline = kSecondsPerMicrosecond * fields.number(prefix + "give-up");
  profile.benefit = fields.number(prefix + "gain", 1.0);
  profile.dedup_window = kSecondsPerMicrosecond * fields.number(prefix + "dedup-window", 0.0);
  const auto effect = fields.text(prefix + "effect");
  if (effect == "safe") profile.idempotency = Idempotency::kIdempotent;
  else if (effect == "keyed") profile.idempotency = Idempotency::kDeduplicated;
  else if (effect == "unsafe") profile.idempotency = Idempotency::kNonIdempotent;
  else fields.fail(prefix + "effect");
  const auto scope = fields.find(prefix + "group").value_or("cell");
  if (scope == "all") profile.dedup_scope = DedupScope::kFleet;
  else if (scope == "zone") profile.dedup_scope = DedupScope::kZone;
  else if (scope == "cell") profile.dedup_scope = DedupScope::kShard;
  else fields.fail(prefix + "group");
  profile.ordered_by_key = fields.flag(prefix + "sequential");
  return profile;
}

Plan read_plan(const SettingsFields& fields, const std::string& prefix) {
  Plan plan;
  plan.limit = fields.number(prefix + "ceiling-rate", 0.0);
  plan.burst = fields.number(prefix + "limit-burst", 0.0);
  plan.reservation = fields.number(prefix + "floor-rate", 0.0);
  plan.usual_rate = fields.number(prefix + "nominal", 0.0);
  plan.weight = fields.number(prefix + "shares", 1.0);
  plan.benefit_factor = fields.number(prefix + "worth-factor", 1.0);
  return plan;
}

}  // namespace

std::string_view SettingsFields::text(std::string_view name) const {
  const auto value = find(name);
  if (!value || value->empty()) fail(name);
  return *value;
}

double SettingsFields::number(std::string_view name) const {
  return parse_number<double>(*this, name, text(name));
}

double SettingsFields::number(std::string_view name, double absent) const {
  const auto value = find(name);
  return value ? parse_number<double>(*this, name, *value) : absent;
}

std::int64_t SettingsFields::integer(std::string_view name, std::int64_t absent) const {
  const auto value = find(name);
  return value ? parse_number<std::int64_t>(*this, name, *value) : absent;
}

bool SettingsFields::flag(std::string_view name) const {
  const auto value = find(name);
  if (!value || *value == "0" || *value == "false") return false;
  if (*value != "1" && *value != "true") fail(name);
  return true;
}

NamedSettings read_settings(const SettingsFields& fields) {
  NamedSettings named;
  Settings& settings = named.settings;
  settings.scheduler_index = static_cast<int>(fields.integer("index", 0));
  settings.scheduler_count = static_cast<int>(fields.integer("balancers", 1));
  settings.max_transaction_units = fields.number("family-info.largest", 1.0);
  settings.mean_transaction_units = fields.number("family-info.mean-units", 0.0);
  settings.share_benefit_factor = fields.number("family-info.share-worth", 1.0);
  settings.spare_benefit_factor = fields.number("family-info.spare-worth", 1.0);
  settings.max_dispatches = static_cast<int>(fields.integer("allowed.attempts-cap", 1));
  settings.requests_endpoint_list = fields.find("discovery").value_or("") == "on_request";
  if (fields.flag("allowed.retry-after"))
    settings.max_retry_after = kSecondsPerMicrosecond * fields.number("allowed.max-retry-after", 0.0);
  settings.clock_resolution = kSecondsPerMicrosecond * fields.number("resolution", 0.0);
  settings.has_slow_start = fields.find("rules.fall") && fields.find("rules.cold");
  if (settings.has_slow_start) {
    settings.safe_start_units = fields.number("family-info.cold-units", 0.0);
    settings.initial_capacity_share = fields.number("rules.cold-share", 0.0);
    settings.warmup_time = kSecondsPerMicrosecond * fields.number("rules.cold");
    settings.overload_multiple = fields.number("rules.tip-multiple", 0.0);
    settings.overload_window = kSecondsPerMicrosecond * fields.number("rules.fall");
  }
  settings.has_retry_budget = fields.find("rules.extra-window").has_value();
  if (settings.has_retry_budget) {
    settings.retry_budget_base = fields.number("rules.free-resends", 0.0);
    settings.retry_budget_ratio = fields.number("rules.extra-per-request", 0.0);
    settings.retry_budget_window = kSecondsPerMicrosecond * fields.number("rules.extra-window");
  }
  settings.key_quiet_time = kSecondsPerMicrosecond * fields.number("rules.turn-gap", 0.0);
  for (std::int64_t i = 0; i < fields.integer("request-classes.count", 0); ++i) {
    const auto prefix = "request-classes." + std::to_string(i) + ".";
    settings.profiles.push_back(read_profile(fields, prefix));
    named.profile_names.emplace_back(fields.text(prefix + "name"));
  }
  for (std::int64_t i = 0; i < fields.integer("policies.count", 0); ++i) {
    const auto prefix = "policies." + std::to_string(i) + ".";
    settings.plans.push_back(read_plan(fields, prefix));
    named.plan_names.emplace_back(fields.text(prefix + "name"));
  }
  return named;
}

}  // namespace heronworks
