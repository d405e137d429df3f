// Judges a record: the seven rules of the brief, the bytes, and the service. It shares no code with the
// gateway and knows nothing of it; all that it needs is in the record.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "lab/record.h"

namespace heronworks::lab {

enum class Rule { kAnswers, kEffects, kDrains, kCold, kOrder, kBudget, kLimits, kBytes };
inline constexpr std::array kRuleNames = {"one answer in time", "no effect twice", "drains kept",
                                          "cold nodes",         "order kept",      "budget kept",
                                          "limits kept",        "bytes as written"};

struct Breach {
  Rule rule = Rule::kAnswers;
  std::uint64_t label = 0;
  int attempt = -1;
  int via = -1;
  int node = -1;
  int volume = -1;
  double t = 0;
  std::string text;
};

// The figures that the rules need: what a record's `figures` line holds.
struct Figures {
  struct Profile {
    std::string name;
    double contract = 0;
    double cut_off = 0;
    double benefit = 1;
    double late_part = 0;
    int repeat = 0;  // 0 redoable, 1 labelled, 2 irreversible
    int group = 2;   // 0 all, 1 zone, 2 cell
    double label_window = 0;
    bool in_order = false;
  };
  struct Plan {
    std::string name;
    double usual = 0;
    double reservation = 0;
    double limit = 0;
    double burst = 0;
    double factor = 1;
  };
  std::vector<Profile> profiles;
  std::vector<Plan> plans;
  double start = 0;
  int zones = 1;
  int key_blocks = 1;
  double answer_slack = 0.05;
  double drain_grace = 0.25;
  double largest_units = 1;
  double mean_units = 1;
  double share_part = 1;
  double turn_gap = 0;
  bool has_budget = false;
  double budget_free = 0;
  double budget_share = 0;
  double budget_window = 1;
  bool has_cold = false;
  double fall_time = 0;
  double tip_multiple = 0;
  double safe_cost = 0;  // s of one core that never push a node over

  std::string text() const;
  static Figures parse(const std::string& text);  // throws nlohmann::json::exception
};

struct Verdict {
  struct Service {
    std::string name;
    int transactions = 0;
    int honoured = 0;
    int in_time = 0;
    int turned_back = 0;
    int given_up = 0;
    double due = 0;
    double earned = 0;
    double part() const { return due > 0 ? earned / due : 1; }
  };
  std::vector<Breach> breaches;
  std::array<int, kRuleNames.size()> looked_at{};  // how many things each rule was put to
  std::vector<Service> profiles;
  std::vector<Service> plans;
  Service all;
  int dispatches = 0;
  // How often one thing was tried again, at each layer: mean and most.
  struct Again {
    double mean = 0;
    int most = 0;
  };
  Again tries;           // of a transaction, by its clients
  Again of_a_try;        // dispatches that reached a node, of a try of which one did
  Again of_transaction;  // the same, of a transaction
  double late = 0;       // s by which the mark of an answer may be late, at most
  double p50 = 0;        // s, of honoured transactions from their first try
  double p99 = 0;

  bool kept() const { return breaches.empty(); }
  std::string table(double start) const;
};

// `events` in order of time, with one `figures` line. Throws std::runtime_error without one.
Verdict judge(const std::vector<Event>& events);

}  // namespace heronworks::lab
