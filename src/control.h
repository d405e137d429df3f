// The interface of the decision module: the events it handles (Control) and the actions it takes
// (ControlActions).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "settings.h"
#include "state.h"

namespace heronworks {

// Actions of a Control, implemented by the program around it. They take effect at once, in call order.
class ControlActions {
 public:
  virtual ~ControlActions() = default;
  // Sends the transaction to the node. `timeout` is in seconds; 0: the transaction's deadline applies.
  virtual void dispatch(int transaction, int node, double timeout) = 0;
  // Answers that the client may retry, `retry_after` seconds later. 0: no Retry-After.
  virtual void reject(int transaction, double retry_after) = 0;
  // Answers that the deadline has passed, or that the outcome is unknown.
  virtual void expire(int transaction) = 0;
  // Frees the transaction's index: the Control will not mention it again.
  virtual void release(int transaction) = 0;
  virtual void request_endpoint_list() = 0;
  // Requests timer_fired() at `time`; replaces the previous request.
  virtual void wake_at(double time) = 0;
};

// The decisions of one scheduler process. Each method handles one event, at the time `now` in seconds, and
// acts through ControlActions before it returns. Transactions, nodes and volumes are small indices chosen by
// the caller.
class Control {
 public:
  Control(Settings settings, ControlActions& actions, double now);

  void update_nodes(double now, UpdateKind kind, const std::vector<NodeEntry>& entries);
  // The discovery service has another address: requests the endpoint list at once, without back-off.
  void discovery_moved(double now);
  void transaction_arrived(double now, int id, const Transaction& transaction);
  // A transaction that keeps order by key has arrived at the host, but can't be passed on yet: those of its
  // key that arrive from now on come after it. transaction_arrived() with the same id takes the place.
  // Returns false if there is no room for another key; the transaction then has no place.
  bool reserve_key_place(double now, int id, std::uint64_t key);
  // Gives up a reserved place; `id` is free again.
  void cancel_key_place(double now, int id);
  // Ignores all but the first result of the newest dispatch.
  void dispatch_finished(double now, int id, const DispatchResult& result);
  // The client no longer waits for the reply.
  void transaction_abandoned(double now, int id);
  void timer_fired(double now);

 private:
  friend struct ControlTestAccess;

  enum class Verdict {
    kDone,      // dispatched or answered
    kQueued,    // stays in its queue
    kNodeFull,  // stays in its queue: the node's concurrency limit is reached
  };

  // Queues.
  void enqueue(int id);
  void dequeue(TransactionState& state);
  void compact_queue(int shard);
  bool shard_is_blocked(double now, int shard, bool full_scan);

  // Dispatch passes.
  void process_all_queues(double now);
  void process_shard(double now, int shard);
  void collect_candidates(double now, int shard, bool full_scan);
  void add_candidate(double now, int id);
  void dispatch_candidates(double now);
  Verdict try_dispatch(double now, int id);
  double update_value_per_unit(double now, TransactionState& state);

  // Answers.
  void reject_or_expire(double now, int id);
  void release_if_finished(double now, int id);
  void refuse_at_once(double now, int id);
  void remember_unserved(double now, const TransactionState& state);
  bool client_retry_is_harmless(const TransactionState& state) const;
  double retry_after(const TransactionState& state) const;

  // Per-key order.
  bool key_table_has_room(double now, std::uint64_t key);
  void join_key_queue(int id, std::uint64_t key);
  void leave_key_queue(double now, int id);
  void erase_expired_keys(double now);

  // Retries.
  bool retry_is_promising(const TransactionState& state, const Node& node);
  bool retry_is_allowed(double now, const TransactionState& state, const Node& node);
  RetryBudgetSlot& current_retry_budget_slot(double now);

  // Nodes.
  Node& node_at(int index);
  int select_node(double now, const TransactionState& state);
  int pick_by_rotation(double now, const TransactionState& state);
  void advance_rotation(int picked);
  double current_unit_latency(const Node& node) const;
  double node_load(const Node& node) const;
  bool has_capacity(double now, const Node& node, const TransactionState& state) const;
  bool is_warming_up(double now, const Node& node) const;
  double warmup_allowance(double now, Node& node);

  // Volumes.
  Volume& volume_for(double now, const Transaction& transaction);
  double scheduler_share(const Volume& volume) const;
  double gear_cap(const Volume& volume, int gear) const;
  bool exceeds_gear_cap(const Volume& volume) const;

  // Time.
  void schedule_wakeup(double now, double time);
  void detect_stall(double now);
  void run_periodic_update(double now);
  void request_endpoint_list(double now);

  const Settings settings_;
  ControlActions& actions_;
  std::minstd_rand random_;
  const double started_at_;
  const double deadline_margin_;      // time before the deadline at which a queued transaction is answered
  double min_target_latency_;         // over the profiles
  double max_benefit_ = 1e-9;         // over the profiles; positive, as it is a divisor
  double usual_rate_per_weight_ = 0;  // over the plans
  double bad_result_ratio_ = 0;       // moving average over the results of all nodes
  double next_wakeup_at_ = 0;
  double stalled_at_ = -1;  // end of the last stall
  double stalled_for_ = 0;
  double next_update_at_;
  double next_list_request_at_;
  int failed_list_requests_ = 0;                // in a row
  std::vector<TransactionState> transactions_;  // by index; a slot is free once answered with none in flight
  std::vector<ShardQueue> shard_queues_;        // by shard + 1; the first holds new objects
  std::vector<int> collected_shards_;           // whose queues the current pass visits; empty between passes
  std::vector<int> current_node_of_shard_;      // most recently started ready node, or -1
  int queued_count_ = 0;                        // over all shard queues
  std::uint64_t last_queue_sequence_ = 0;
  std::uint64_t pass_number_ = 0;
  TransactionState smallest_queued_;                // scratch of shard_is_blocked()
  std::vector<std::pair<double, int>> candidates_;  // of the current pass: priority and transaction
  std::vector<Node> nodes_;                         // by index
  std::vector<double> shard_service_rate_;          // by shard, at this scheduler; moving average
  std::vector<Volume> volumes_;                     // by index
  // By key, erased at the deadline; at most settings_.max_table_entries.
  std::map<std::uint64_t, UnservedTransaction> unserved_;
  std::vector<RetryBudgetSlot> retry_budget_;  // ring over the budget's window
  // By key; erased when empty and past quiet_until. At most settings_.max_table_entries keys.
  std::map<std::uint64_t, KeyQueue> key_queues_;
  double next_key_expiry_at_ = 0;       // earliest time at which a full table is searched for expired keys
  double next_unserved_expiry_at_ = 0;  // the same
};

}  // namespace heronworks
