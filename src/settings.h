// What the module is told at its start: plain types, decoded once.
#pragma once

#include <cstdint>
#include <vector>

namespace heronworks {

enum class Repeat { kRedoable, kLabelled, kIrreversible };
enum class Group { kAll, kZone, kCell };

// Times are seconds, rates units a second.
struct Profile {
  double contract = 0;
  double cut_off = 0;
  double benefit = 0;
  double label_window = 0;
  Repeat repeat = Repeat::kIrreversible;
  Group group = Group::kCell;
  bool in_order = false;
  bool operator==(const Profile&) const = default;
};

struct Plan {
  double limit = 0;  // 0: none
  double burst = 0;
  double reservation = 0;
  double usual = 0;
  double weight = 0;
  double benefit_factor = 0;
  bool operator==(const Plan&) const = default;
};

struct Settings {
  std::uint64_t seed = 0;
  int index = 0;
  int schedulers = 0;
  std::vector<Profile> profiles;
  std::vector<Plan> plans;
  double largest_units = 0;
  double mean_units = 0;
  double share_part = 0;
  double spare_part = 0;
  int dispatch_cap = 0;
  bool asks_for_list = false;
  double max_wait = 0;  // 0: clients are given no advice
  double resolution = 0;
  bool has_cold_rule = false;
  double cold_units = 0;
  double cold_share = 0;
  double cold_time = 0;
  double fall_time = 0;
  double tip_multiple = 0;
  bool has_budget = false;
  double budget_free = 0;
  double budget_share = 0;
  double budget_window = 0;
  double turn_gap = 0;
  bool operator==(const Settings&) const = default;
};

}  // namespace heronworks
