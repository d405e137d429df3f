// The reader of settings: see settings_reader.h.
#include "settings_reader.h"

#include "number.h"

namespace heronworks {
namespace {

constexpr double kMicro = 1e-6;  // the settings' unit of time, in seconds

template <typename Number>
Number parsed(const SettingsFields& fields, std::string_view name, std::string_view value) {
  const auto number = read_number<Number>(value);
  if (!number) fields.fail(name);
  return *number;
}

Profile read_profile(const SettingsFields& f, const std::string& at) {
  Profile p;
  p.contract = kMicro * f.number(at + "aim");
  p.cut_off = kMicro * f.number(at + "give-up");
  p.benefit = f.number(at + "gain", 1.0);
  p.label_window = kMicro * f.number(at + "dedup-window", 0.0);
  const auto effect = f.text(at + "effect");
  if (effect == "safe") p.repeat = Repeat::kRedoable;
  else if (effect == "keyed") p.repeat = Repeat::kLabelled;
  else if (effect == "unsafe") p.repeat = Repeat::kIrreversible;
  else f.fail(at + "effect");
  const auto group = f.find(at + "group").value_or("cell");
  if (group == "all") p.group = Group::kAll;
  else if (group == "zone") p.group = Group::kZone;
  else if (group == "cell") p.group = Group::kCell;
  else f.fail(at + "group");
  p.in_order = f.flag(at + "sequential");
  return p;
}

Plan read_plan(const SettingsFields& f, const std::string& at) {
  Plan p;
  p.limit = f.number(at + "ceiling-rate", 0.0);
  p.burst = f.number(at + "limit-burst", 0.0);
  p.reservation = f.number(at + "floor-rate", 0.0);
  p.usual = f.number(at + "nominal", 0.0);
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
  s.index = static_cast<int>(f.integer("index", 0));
  s.schedulers = static_cast<int>(f.integer("balancers", 1));
  s.largest_units = f.number("family-info.largest", 1.0);
  s.mean_units = f.number("family-info.mean-units", 0.0);
  s.share_part = f.number("family-info.share-worth", 1.0);
  s.spare_part = f.number("family-info.spare-worth", 1.0);
  s.dispatch_cap = static_cast<int>(f.integer("allowed.attempts-cap", 1));
  s.asks_for_list = f.find("discovery").value_or("") == "on_request";
  if (f.flag("allowed.retry-after")) s.max_wait = kMicro * f.number("allowed.max-retry-after", 0.0);
  s.resolution = kMicro * f.number("resolution", 0.0);
  s.has_cold_rule = f.find("rules.fall") && f.find("rules.cold");
  if (s.has_cold_rule) {
    s.cold_units = f.number("family-info.cold-units", 0.0);
    s.cold_share = f.number("rules.cold-share", 0.0);
    s.cold_time = kMicro * f.number("rules.cold");
    s.tip_multiple = f.number("rules.tip-multiple", 0.0);
    s.fall_time = kMicro * f.number("rules.fall");
  }
  s.has_budget = f.find("rules.extra-window").has_value();
  if (s.has_budget) {
    s.budget_free = f.number("rules.free-resends", 0.0);
    s.budget_share = f.number("rules.extra-per-request", 0.0);
    s.budget_window = kMicro * f.number("rules.extra-window");
  }
  s.turn_gap = kMicro * f.number("rules.turn-gap", 0.0);
  for (std::int64_t i = 0; i < f.integer("request-classes.count", 0); ++i) {
    const auto at = "request-classes." + std::to_string(i) + ".";
    s.profiles.push_back(read_profile(f, at));
    named.profiles.emplace_back(f.text(at + "name"));
  }
  for (std::int64_t i = 0; i < f.integer("policies.count", 0); ++i) {
    const auto at = "policies." + std::to_string(i) + ".";
    s.plans.push_back(read_plan(f, at));
    named.plans.emplace_back(f.text(at + "name"));
  }
  return named;
}

}  // namespace heronworks
