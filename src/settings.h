// Configuration of one scheduler, decoded once at its start. Plain data.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace heronworks {

// How a transaction may be repeated after a dispatch that may have executed.
enum class Idempotency {
  kIdempotent,     // at any node, at any time
  kDeduplicated,   // within the deduplication window and scope
  kNonIdempotent,  // never
};

// The nodes that recognise a repeated transaction as the same one.
enum class DedupScope { kFleet, kZone, kShard };

// A class of transactions. Times are in seconds.
struct Profile {
  double target_latency = 0;  // up to which a transaction earns its benefit
  double deadline = 0;        // time after arrival at which the client stops waiting
  double benefit = 0;         // per unit
  double dedup_window = 0;    // how long nodes recognise a repeat
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kShard;
  bool ordered_by_key = false;  // transactions of one key run one at a time, in order of arrival
  bool operator==(const Profile&) const = default;
};

// What a volume is entitled to. Rates are in units per second.
struct Plan {
  double limit = 0;  // 0: no limit
  double burst = 0;  // capacity of the limit's token bucket, in units
  double reservation = 0;
  double usual_rate = 0;
  double weight = 0;  // in shares
  double benefit_factor = 0;
  bool operator==(const Plan&) const = default;
};

// Times are in seconds. Profiles and plans are referred to by their position.
struct Settings {
  std::uint64_t seed = 0;
  int scheduler_index = 0;
  int scheduler_count = 0;
  std::vector<Profile> profiles;
  std::vector<Plan> plans;
  double max_transaction_units = 0;
  double mean_transaction_units = 0;
  double share_benefit_factor = 0;  // of service beyond the reservation, within the share
  double spare_benefit_factor = 0;  // lower bound of that factor, far beyond the share
  int max_dispatches = 0;           // per transaction
  bool requests_endpoint_list = false;
  double max_retry_after = 0;  // 0: rejections carry no Retry-After
  double clock_resolution = 0;
  bool has_slow_start = false;  // the next five apply only if set
  double safe_start_units = 0;  // that a node just started can take within an overload window
  double initial_capacity_share = 0;
  double warmup_time = 0;  // until a started node has its full capacity
  double overload_window = 0;
  double overload_multiple = 0;   // of its usual rate, from which a node is overloaded
  bool has_retry_budget = false;  // the next three apply only if set
  double retry_budget_base = 0;   // retries per window that need no arrivals
  double retry_budget_ratio = 0;  // further retries per arrival
  double retry_budget_window = 0;
  // Entries of each table that clients can fill with transactions that are over: keys that were served in
  // order, and transactions that were not served.
  std::size_t max_table_entries = std::size_t{1} << 16;
  double key_quiet_time = 0;  // pause of an ordered key after a dispatch that may still be executing
  bool operator==(const Settings&) const = default;
};

}  // namespace heronworks
