// Plain data types of the decision module: its input, and the tables it keeps.
// Times are in seconds, rates in units per second.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace heronworks {

enum class Outcome {
  kSucceeded,
  kError,
  kQueueFull,      // rejected by the node without execution
  kTimedOut,       // may have executed
  kConnectFailed,  // not executed
  kReset,          // connection lost; may have executed
  kCancelled,      // by the gateway; may have executed
  kNotSent,        // given up before it was sent
};
enum class NodeState { kRemoved, kReady, kDraining };
enum class UpdateKind { kDelta, kSnapshot, kPersisted, kFailed };

// A node in an update of the node list. `node` is a small index that stays the same for an address.
struct NodeEntry {
  int node = 0;
  int zone = 0;
  int shard = -1;
  NodeState state = NodeState::kReady;
  double started_at = 0;      // 0: unknown, or long ago
  bool index_reused = false;  // `node` belonged to another node, with no dispatch in flight
};

// A transaction on arrival. `volume` is a small index.
struct Transaction {
  bool has_key = false;
  std::uint64_t key = 0;
  double time_left = 0;  // until the client stops waiting
  double units = 0;
  int volume = 0;
  int profile = 0;
  int plan = 0;               // -1: none
  int shard = -1;             // -1: a new object, which any node may take
  int volume_schedulers = 0;  // that serve the volume; 0: unknown
  bool index_reused = false;  // `volume` belonged to another volume, with no open transaction
};

// The end of one dispatch.
struct DispatchResult {
  int dispatch_number = 0;  // of the transaction, from 0
  int node = 0;
  double elapsed = 0;
  Outcome outcome = Outcome::kSucceeded;
  bool transaction_finished = false;
  double units_by_others = 0;   // that the node served the volume through other schedulers
  bool usage_reported = false;  // units_by_others is known, even if 0
};

// An open transaction.
struct TransactionState {
  Transaction transaction;
  double arrived_at = 0;
  double slo_deadline = 0;  // by which a reply earns the benefit
  double deadline = 0;      // after which nobody waits for the reply
  double not_before = 0;    // earliest time of the next dispatch
  double random_draw = 0;   // uniform in [0, 1)
  double value_per_unit = 0;
  double benefit_fraction =
      1;                   // benefit per unit, relative to the highest of all profiles; as of the last pass
  double dedup_until = 0;  // end of the deduplication window of the first dispatch that may have executed
  int first_zone = -1;     // of the first dispatch that may have executed
  int first_shard = -1;
  double pending_limit_units = 0;  // taken from the limit; may not have reached a node yet
  int dispatch_count = 0;
  int in_flight = 0;
  std::uint64_t queue_sequence = 0;
  bool in_use = false;
  bool queued = false;
  bool answered = false;
  bool may_have_executed = false;
  bool key_place_reserved = false;  // before it arrived
  int previous_of_key = -1;         // in the KeyQueue; -1: none
  int next_of_key = -1;
};

// Units sent at a time.
struct SentUnits {
  double at = 0;
  double units = 0;
};

struct Node {
  bool listed = false;
  NodeState state = NodeState::kRemoved;
  int zone = 0;
  int shard = -1;
  double started_at = 0;
  int in_flight = 0;
  double units_in_flight = 0;
  double idle_since = 0;
  double last_dispatch_at = 0;
  double last_spacing = 0;  // between the last two dispatches
  double min_spacing = 0;   // between two dispatches
  double min_spacing_changed_at = 0;
  bool last_result_bad = false;
  double service_rate = 0;                 // units per second, learned by this scheduler
  double served_units = 0;                 // in the current period
  bool concurrency_limit_reached = false;  // in the current period
  std::uint64_t full_in_pass = 0;          // last pass over the queues that found it full
  double sample_time = 0;                  // sums over the current latency sample
  double sample_units = 0;
  double sample_count = 0;
  std::array<double, 4> recent_unit_latency{};  // mean latency per unit of the last samples
  int samples = 0;                              // taken so far
  double best_unit_latency = 0;
  double latency = 0;         // moving average, per dispatch
  double queueing_delay = 0;  // moving average of the latency beyond the best for the units
  double success_rate = 1;
  double retry_success_rate = 1;
  double rotation_weight = 0;
  double rotation_credit = 0;
  double warmup_tokens = 0;      // units that may be sent during warm-up
  double warmup_started_at = 0;  // start of the process that the tokens are for
  double warmup_refilled_at = 0;
  std::vector<SentUnits> warmup_sent;  // within the overload window; pruned when read
};

struct Volume {
  bool in_use = false;
  int plan = -1;
  int scheduler_count = 1;
  int gear = 0;
  double arrived_units = 0;    // in the current period
  double node_load_units = 0;  // sum of units times the load of the node they are for
  double arrival_rate = 0;
  double served_units = 0;            // by this scheduler, decaying
  double served_units_by_others = 0;  // decaying
  bool usage_reported = false;
  double reservation_tokens = 0;
  double units_beyond_reservation = 0;  // decaying
  double gear_tokens = 0;
  double limit_tokens = 0;
  double pending_limit_units = 0;  // sum over its transactions
  double refilled_at = 0;
  // By profile: bound learned from clients that left early. Empty: none did.
  std::vector<double> client_timeouts;
};

// The queued transactions of one shard, or the new objects, in queue order, with bounds on their attributes.
struct ShardQueue {
  std::vector<int> ids;
  double earliest_slo_deadline = 0;
  double earliest_deadline = 0;
  double min_units = 0;
  double max_units = 0;
  double max_benefit_fraction = 0;
  bool has_retries = false;
  bool concurrency_limit_reached = false;  // in the last pass
};

// A transaction that was answered without service, kept to recognise the client's retry.
struct UnservedTransaction {
  int volume = 0;
  int profile = 0;
  double deadline = 0;
  double slo_deadline = 0;
};

// The open transactions of a key, in order of arrival: a list that is linked by TransactionState.
struct KeyQueue {
  int first = -1;  // -1: none is open
  int last = -1;
  double quiet_until = 0;
};

// Counts of one time slot of the retry budget's window.
struct RetryBudgetSlot {
  std::int64_t number = -1;  // of the slot, counted from time 0
  double arrivals = 0;
  double retries = 0;
};

}  // namespace heronworks
