// See settings_reader.h.
#include "settings_reader.h"

#include "number.h"

namespace heronworks {
namespace {

constexpr double kSecondsPerMicrosecond = 1e-6;  // times in the settings are in microseconds

template <typename Number>
Number parsed(const SettingsFields& fields, std::string_view name, std::string_view value) {
  const auto number = read_number<Number>(value);
  if (!number) fields.fail(name);
  return *number;
}

Profile read_profile(const SettingsFields& f, const std::string& at) {
  Profile p;
  p.target_latency = kSecondsPerMicrosecond * f.number(at + "aim");
  p.deadline = kSecondsPerMicrosecond * f.number(at + "give-up");
  p.benefit = f.number(at + "gain", 1.0);
  p.dedup_window = kSecondsPerMicrosecond * f.number(at + "dedup-window", 0.0);
  const auto effect = f.text(at + "effect");
  if (effect == "safe") p.idempotency = Idempotency::kIdempotent;
  else if (effect == "keyed") p.idempotency = Idempotency::kDeduplicated;
  else if (effect == "unsafe") p.idempotency = Idempotency::kNonIdempotent;
  else f.fail(at + "effect");
  const auto group = f.find(at + "group").value_or("cell");
  if (group == "all") p.dedup_scope = DedupScope::kFleet;
  else if (group == "zone") p.dedup_scope = DedupScope::kZone;
  else if (group == "cell") p.dedup_scope = DedupScope::kShard;
  else f.fail(at + "group");
  p.ordered_by_key = f.flag(at + "sequential");
  return p;
}

Plan read_plan(const SettingsFields& f, const std::string& at) {
  Plan p;
  p.limit = f.number(at + "ceiling-rate", 0.0);
  p.burst = f.number(at + "limit-burst", 0.0);
  p.reservation = f.number(at + "floor-rate", 0.0);
  p.usual_rate = f.number(at + "nominal", 0.0);
  p.weight = f.number(at + "shares", 1.0);
  p.benefit_factor = f.number(at + "worth-factor", 1.0);
  return p;
}

}  // namespace

std::string_view SettingsFields::text(std::string_view name) const {
  const auto value = find(name);
  if (!value || value->empty()) fail(name);
  return *value;
}

double SettingsFields::number(std::string_view name) const { return parsed<double>(*this, name, text(name)); }

double SettingsFields::number(std::string_view name, double absent) const {
  const auto value = find(name);
  return value ? parsed<double>(*this, name, *value) : absent;
}

std::int64_t SettingsFields::integer(std::string_view name, std::int64_t absent) const {
  const auto value = find(name);
  return value ? parsed<std::int64_t>(*this, name, *value) : absent;
}

bool SettingsFields::flag(std::string_view name) const {
  const auto value = find(name);
  if (!value || *value == "0" || *value == "false") return false;
  if (*value != "1" && *value != "true") fail(name);
  return true;
}

NamedSettings read_settings(const SettingsFields& f) {
  NamedSettings named;
  Settings& s = named.settings;
  s.scheduler_index = static_cast<int>(f.integer("index", 0));
  s.scheduler_count = static_cast<int>(f.integer("balancers", 1));
  s.max_transaction_units = f.number("family-info.largest", 1.0);
  s.mean_transaction_units = f.number("family-info.mean-units", 0.0);
  s.share_benefit_factor = f.number("family-info.share-worth", 1.0);
  s.spare_benefit_factor = f.number("family-info.spare-worth", 1.0);
  s.max_dispatches = static_cast<int>(f.integer("allowed.attempts-cap", 1));
  s.requests_endpoint_list = f.find("discovery").value_or("") == "on_request";
  if (f.flag("allowed.retry-after"))
    s.max_retry_after = kSecondsPerMicrosecond * f.number("allowed.max-retry-after", 0.0);
  s.clock_resolution = kSecondsPerMicrosecond * f.number("resolution", 0.0);
  s.has_slow_start = f.find("rules.fall") && f.find("rules.cold");
  if (s.has_slow_start) {
    s.safe_start_units = f.number("family-info.cold-units", 0.0);
    s.initial_capacity_share = f.number("rules.cold-share", 0.0);
    s.warmup_time = kSecondsPerMicrosecond * f.number("rules.cold");
    s.overload_multiple = f.number("rules.tip-multiple", 0.0);
    s.overload_window = kSecondsPerMicrosecond * f.number("rules.fall");
  }
  s.has_retry_budget = f.find("rules.extra-window").has_value();
  if (s.has_retry_budget) {
    s.retry_budget_base = f.number("rules.free-resends", 0.0);
    s.retry_budget_ratio = f.number("rules.extra-per-request", 0.0);
    s.retry_budget_window = kSecondsPerMicrosecond * f.number("rules.extra-window");
  }
  s.key_quiet_time = kSecondsPerMicrosecond * f.number("rules.turn-gap", 0.0);
  for (std::int64_t i = 0; i < f.integer("request-classes.count", 0); ++i) {
    const auto at = "request-classes." + std::to_string(i) + ".";
    s.profiles.push_back(read_profile(f, at));
    named.profile_names.emplace_back(f.text(at + "name"));
  }
  for (std::int64_t i = 0; i < f.integer("policies.count", 0); ++i) {
    const auto at = "policies." + std::to_string(i) + ".";
    s.plans.push_back(read_plan(f, at));
    named.plan_names.emplace_back(f.text(at + "name"));
  }
  return named;
}

}  // namespace heronworks
