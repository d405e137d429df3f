// Checks an event record: the scheduling rules, data integrity and service levels. Shares no code with the
// gateway; everything it needs is in the record.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "lab/record.h"

namespace heronworks::lab {

enum class Rule { kOneAnswer, kNoDuplicateEffect, kDrains, kSlowStart, kOrder, kRetryBudget, kLimits, kData };
inline constexpr std::array kRuleNames = {"one answer in time", "no effect twice", "drains kept",
                                          "cold nodes",         "order kept",      "budget kept",
                                          "limits kept",        "bytes as written"};

struct Violation {
  Rule rule = Rule::kOneAnswer;
  std::uint64_t idempotency_key = 0;
  int attempt = -1;
  int scheduler = -1;
  int node = -1;
  int volume = -1;
  double time = 0;
  std::string text;
};

// Parameters of the rules, from the `figures` event of the record.
struct CheckerParameters {
  struct Profile {
    std::string name;
    double target_latency = 0;
    double deadline = 0;
    double benefit = 1;
    double late_benefit_fraction = 0;
    int idempotency = 0;  // 0 idempotent, 1 deduplicated, 2 non-idempotent
    int dedup_scope = 2;  // 0 all nodes, 1 zone, 2 shard
    double dedup_window = 0;
    bool ordered_by_key = false;
  };
  struct Plan {
    std::string name;
    double usual_rate = 0;
    double reservation = 0;
    double limit = 0;
    double burst = 0;
    double benefit_factor = 1;
  };
  std::vector<Profile> profiles;
  std::vector<Plan> plans;
  double start = 0;
  int zones = 1;
  int key_blocks = 1;
  double answer_slack = 0.05;
  double drain_grace = 0.25;
  double max_transaction_units = 1;
  double mean_transaction_units = 1;
  double share_benefit_factor = 1;
  double key_quiet_time = 0;
  bool has_retry_budget = false;
  double retry_budget_base = 0;
  double retry_budget_ratio = 0;
  double retry_budget_window = 1;
  bool has_slow_start = false;
  double overload_window = 0;
  double overload_multiple = 0;
  double safe_start_cost = 0;  // core-seconds that never overload a node

  std::string text() const;
  static CheckerParameters parse(const std::string& text);  // throws nlohmann::json::exception
};

struct Verdict {
  struct ServiceSummary {
    std::string name;
    int transactions = 0;
    int succeeded = 0;
    int in_time = 0;
    int rejected = 0;
    int expired = 0;
    double benefit_due = 0;
    double benefit_earned = 0;
    double benefit_ratio() const { return benefit_due > 0 ? benefit_earned / benefit_due : 1; }
  };
  std::vector<Violation> violations;
  std::array<int, kRuleNames.size()> checks{};  // number of checks made for each rule
  std::vector<ServiceSummary> profiles;
  std::vector<ServiceSummary> plans;
  ServiceSummary total;
  int dispatches = 0;
  // Mean and maximum of a count.
  struct CountSummary {
    double mean = 0;
    int maximum = 0;
  };
  CountSummary attempts_per_transaction;  // by clients
  CountSummary dispatches_per_attempt;    // dispatches that reached a node, of attempts with at least one
  CountSummary dispatches_per_transaction;
  double max_read_delay = 0;  // s; longest delay with which a client may have read an answer
  double p50 = 0;             // s; latency of successful transactions since their first attempt
  double p99 = 0;

  bool passed() const { return violations.empty(); }
  std::string table(double start) const;
};

// Checks `events`, which must be ordered by time. Throws std::runtime_error if they hold no `figures`
// event.
Verdict check_record(const std::vector<Event>& events);

}  // namespace heronworks::lab
