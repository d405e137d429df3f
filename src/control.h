// The interface of the decision module: the events it handles (Control) and the actions it takes
// (ControlActions).
#pragma once

#include <cstdint>
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
  // The discovery service has another address: requests the endpoint list again, without back-off.
  void discovery_moved(double now);
  void transaction_arrived(double now, int transaction, const Transaction& t);
  // Ignores all but the first result of the newest dispatch.
  void dispatch_finished(double now, int transaction, const DispatchResult& result);
  // The client no longer waits for the reply.
  void transaction_abandoned(double now, int transaction);
  void timer_fired(double now);

 private:
  friend struct ControlTestAccess;

  enum class Verdict { kGone, kQueued, kNodeFull };

  Verdict decide(double now, int id);
  void serve(double now);
  void serve(double now, int shard);
  void hold(int id);
  void release(TransactionState& o);
  bool stuck(double now, int shard, bool sweep);
  void take(double now, int shard, bool sweep);
  void consider(double now, int id);
  void look(double now);
  void tidy(int shard);
  double value_per_unit(double now, TransactionState& o);
  void answer(double now, int id);
  void close(int id);
  bool wants_retry(const TransactionState& o, const Node& node);
  bool may_retry(double now, const TransactionState& o, const Node& node);
  RetryBudgetSlot& retry_budget_slot(double now);
  Node& node_at(int index);
  int place(double now, const TransactionState& o);
  int rotate(double now, const TransactionState& o);
  void rotated(int picked);
  double unit_time(const Node& node) const;
  double load(const Node& node) const;
  bool has_room(double now, const Node& node, const TransactionState& o) const;
  bool is_warming_up(double now, const Node& node) const;
  double warmup_room(double now, Node& node);
  Volume& volume_of(double now, const Transaction& t);
  double reported_share(const Volume& v) const;
  double cap(const Volume& v, int gear) const;
  bool over_gear(const Volume& v) const;
  void wake(double now, double time);
  void note_stall(double now);
  void second_passed(double now);
  void request_endpoint_list(double now);

  const Settings settings_;
  ControlActions& actions_;
  std::minstd_rand random_;
  const double started_;
  const double answer_margin_;
  double min_target_latency_;   // over the profiles
  double best_benefit_ = 1e-9;  // over the profiles
  double unit_share_ = 0;       // usual units per second for a weight of 1
  double bad_part_ = 0;         // of recent replies, over all nodes
  double next_wake_ = 0;
  double stalled_at_ = -1;
  double stalled_for_ = 0;
  double second_at_;
  double next_list_request_at_;
  int failed_list_requests_ = 0;
  std::vector<TransactionState> transactions_;  // by index; a slot is free once answered with none in flight
  std::vector<ShardQueue> shard_queues_;        // by shard + 1, new objects first
  std::vector<int> taken_;                      // shards in this pass; emptied by it
  std::vector<int> newest_;  // by shard: its most recently started ready node, or -1; rebuilt on updates
  int queued_count_ = 0;     // over all shard queues
  std::uint64_t last_queue_sequence_ = 0;
  std::uint64_t look_ = 0;
  TransactionState smallest_;                              // scratch of stuck()
  std::vector<std::pair<double, int>> order_;              // scratch of look()
  std::vector<Node> nodes_;                                // by index
  std::vector<double> managed_;                            // by shard: usual service, units per second
  std::vector<Volume> volumes_;                            // by index
  std::map<std::uint64_t, UnservedTransaction> unserved_;  // by key; erased at the deadline
  std::vector<RetryBudgetSlot> retry_budget_;              // ring over the budget's window
  std::map<std::uint64_t, KeyQueue> key_queues_;           // by key; erased when empty and quiet time is over
};

}  // namespace heronworks
