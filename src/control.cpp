// Implementation of the decision module. control.h has its interface, settings.h and state.h its data types;
// docs/design.md explains the design and docs/on-call.md its operation.
#include "control.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace heronworks {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();

// Periodic update.
constexpr double kUpdatePeriod = 1.0;      // s, as in the IOTune paper; a gear moves by at most one step
constexpr double kUsageDecay = 0.7;        // per period; of a volume's served units
constexpr double kServiceRateDecay = 0.7;  // per period in which the concurrency limit was reached
constexpr double kShardRateDecay = 0.9;    // per period
constexpr double kNodeDelayDecay = 0.9;    // per period; of a node's spacing and queueing delay

// Volumes.
constexpr double kGearUpUtilization = 0.95;   // part of the cap above which arrivals raise the gear (IOTune)
constexpr double kLoadedNodeThreshold = 0.8;  // load from which no gear rises and volumes over their cap wait
constexpr double kMaxGearMultiple = 8;        // top cap of a volume without a limit, in caps of gear 0
constexpr double kMinShareFraction = 0.1;     // least share of a scheduler, as a fraction of an even share

// Latency of nodes.
constexpr int kLatencySamples = 4;            // kept per node; outlast a flush pause of the node
constexpr double kMinSampleReplies = 3;       // per sample, so that no sample is a single large reply
constexpr double kBestLatencyGrowth = 1.01;   // per sample; follows nodes that become slower for good
constexpr double kLatencyGain = 0.2;          // weight of the newest value in moving averages of latency
constexpr double kLatencyDecreaseGain = 0.4;  // the same for a value below the average
constexpr double kMaxLatencyStep = 2;         // largest value of one result, in multiples of the average
constexpr double kQueueingDelayWeight = 0.7;  // in forecasts; below 1, as the average may include old pauses

// Concurrency limit of a node.
constexpr double kDelayTargetFraction = 0.5;  // queueing delay to aim for, in tightest target latencies
constexpr int kMinConcurrency = 4;            // dispatches in flight while the queueing delay is on target
constexpr int kMaxConcurrency = 32;           // dispatches in flight
constexpr double kConcurrencyBackoffExponent = 4;  // steep, to keep the queueing delay close to its target
constexpr double kProbeInterval = 0.5;             // s without dispatches after which a node is tried again
constexpr double kSpacingGrowth = 2;               // factor on the spacing of dispatches per bad result

// Health of nodes, load shedding.
constexpr double kResultGain = 0.1;           // weight of the newest result in success and bad-result ratios
constexpr double kSheddingThreshold = 0.25;   // bad-result ratio over all nodes from which load is shed
constexpr double kMinRotationHealth = 0.1;    // least success rate assumed, so that recovery is noticed
constexpr double kMinRetryProbability = 0.1;  // so that recovery is noticed

// Queues and timers.
constexpr double kQueueScanInterval = 0.01;   // s
constexpr double kStallThreshold = 0.05;      // s by which a timer is late if this process was suspended
constexpr double kTableExpiryInterval = 0.1;  // s between two searches of a full table
constexpr double kTimerTolerance = 1e-5;      // s by which a timer may fire early, from rounding
constexpr double kDeadlineMargin = 0.03;  // s before the deadline at which queued transactions are answered
constexpr double kUrgencyOffset = 2.0;    // s added to the time left; weighs benefit against urgency

// Clients.
constexpr double kRetryDeadlineTolerance = 0.01;  // s between the deadlines of an attempt and its retry
constexpr double kClientTimeoutGrowth = 1.2;      // per period, so that a learned time-out expires
constexpr double kClientTimeoutRecovery = 1.25;   // per success; undoes one early departure

// Retries.
constexpr double kRetryBackoff = 0.03;  // s per earlier dispatch
constexpr int kRetryBudgetSlots = 20;   // per window of the retry budget

// Warm-up of started nodes.
constexpr double kTurnLength = 1.25;            // overload windows; each window meets one send phase only
constexpr double kTurnSendPhase = 0.2;          // overload windows, from the start of a turn
constexpr double kOverloadWindowMargin = 1.05;  // factor, as the clocks of hosts differ
constexpr double kWarmupUsualFraction = 0.4;    // part of the capacity allotted by usual rate; work varies
constexpr double kMinInitialCapacityShare = 0.01;

// Requests for the endpoint list.
constexpr double kMinListRequestInterval = 0.5;  // s; doubles with each failure
constexpr double kMaxListRequestInterval = 1.4;  // s; two failed requests fit in 6 s
constexpr int kMaxCountedListFailures = 8;

// Random factor on intervals, so that schedulers do not act in step.
constexpr double kMinJitter = 0.75;
constexpr double kMaxJitter = 1.25;

static_assert(std::tuple_size_v<decltype(Node::recent_unit_latency)> == kLatencySamples);

std::size_t to_index(int index) { return static_cast<std::size_t>(index); }

// Extends the queue's bounds to include the transaction.
void extend_bounds(ShardQueue& queue, const TransactionState& state) {
  queue.earliest_slo_deadline = std::min(queue.earliest_slo_deadline, state.slo_deadline);
  queue.earliest_deadline = std::min(queue.earliest_deadline, state.deadline);
  queue.min_units = std::min(queue.min_units, state.transaction.units);
  queue.max_units = std::max(queue.max_units, state.transaction.units);
  queue.max_benefit_fraction = std::max(queue.max_benefit_fraction, state.benefit_fraction);
  queue.has_retries = queue.has_retries || state.dispatch_count > 0;
}

}  // namespace

Control::Control(Settings settings, ControlActions& actions, double now)
    : settings_(std::move(settings)),
      actions_(actions),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed % std::minstd_rand::modulus)),
      started_at_(now),
      deadline_margin_(kDeadlineMargin + 2 * settings_.clock_resolution),
      min_target_latency_(kInfinity),
      next_update_at_(now + kUpdatePeriod),
      next_list_request_at_(kInfinity),
      retry_budget_(kRetryBudgetSlots + 1) {
  double usual_rates = 0;
  double weights = 0;
  for (const Plan& plan : settings_.plans) {
    usual_rates += std::max(plan.usual_rate, plan.reservation);
    weights += plan.weight;
  }
  usual_rate_per_weight_ = weights > 0 ? usual_rates / weights : 0;
  for (const Profile& profile : settings_.profiles) {
    min_target_latency_ = std::min(min_target_latency_, profile.target_latency);
    max_benefit_ = std::max(max_benefit_, profile.benefit);
  }
  if (settings_.requests_endpoint_list) request_endpoint_list(now);
  process_all_queues(now);
}

// ---- Events ----

void Control::update_nodes(double now, UpdateKind kind, const std::vector<NodeEntry>& entries) {
  if (kind == UpdateKind::kFailed) {
    // An unreachable discovery service and a broken watch look alike; a new request serves both. The back-off
    // keeps schedulers from overloading a service that has just recovered.
    failed_list_requests_ = std::min(failed_list_requests_ + 1, kMaxCountedListFailures);
    const double interval =
        std::min(kMaxListRequestInterval, kMinListRequestInterval * std::pow(2, failed_list_requests_ - 1));
    next_list_request_at_ = now + interval * std::uniform_real_distribution(kMinJitter, kMaxJitter)(random_);
    return;
  }
  if (kind != UpdateKind::kPersisted) {
    failed_list_requests_ = 0;
    next_list_request_at_ = kInfinity;
  }
  if (kind != UpdateKind::kDelta) {
    for (Node& node : nodes_) node.state = NodeState::kRemoved;
  }
  for (const NodeEntry& entry : entries) {
    Node& node = node_at(entry.node);
    if (entry.index_reused) node = Node{};
    if (node.listed && entry.started_at > node.started_at) {  // forgets the latencies of the earlier process
      node.samples = 0;
      node.sample_units = node.sample_time = node.sample_count = 0;
      node.success_rate = node.retry_success_rate = 1;
    }
    node.listed = true;
    node.state = entry.state;
    node.zone = entry.zone;
    node.shard = entry.shard;
    node.started_at = entry.started_at;
  }
  current_node_of_shard_.clear();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (node.state != NodeState::kReady || node.shard < 0) continue;
    if (current_node_of_shard_.size() <= to_index(node.shard))
      current_node_of_shard_.resize(to_index(node.shard) + 1, -1);
    int& current = current_node_of_shard_[to_index(node.shard)];
    if (current < 0 || node.started_at > nodes_[to_index(current)].started_at) current = static_cast<int>(i);
  }
  process_all_queues(now);
}

// The back-off and a request in flight concern the previous address, so neither delays the new request.
void Control::discovery_moved(double now) {
  failed_list_requests_ = 0;
  request_endpoint_list(now);
}

void Control::transaction_arrived(double now, int id, const Transaction& transaction) {
  detect_stall(now);
  if (transactions_.size() <= to_index(id)) transactions_.resize(to_index(id) + 1);
  TransactionState& state = transactions_[to_index(id)];
  const bool has_key_place = state.key_place_reserved;
  const int previous_of_key = state.previous_of_key;
  const int next_of_key = state.next_of_key;
  state = TransactionState{};
  if (has_key_place) {
    state.previous_of_key = previous_of_key;
    state.next_of_key = next_of_key;
  }
  state.in_use = true;
  state.transaction = transaction;
  const Profile& profile = settings_.profiles[to_index(transaction.profile)];
  // The profile's deadline also bounds how long an unserved transaction is remembered.
  state.deadline = now + std::min(transaction.time_left, profile.deadline);
  state.slo_deadline = std::min(now + profile.target_latency, state.deadline);
  // Transactions that arrived during a stall of this process have aged meanwhile.
  if (now == stalled_at_)
    state.slo_deadline -= std::clamp(profile.deadline - transaction.time_left, 0.0, stalled_for_);
  state.arrived_at = now;
  state.random_draw = std::uniform_real_distribution(0.0, 1.0)(random_);
  if (transaction.index_reused && volumes_.size() > to_index(transaction.volume))
    volumes_[to_index(transaction.volume)] = Volume{};
  Volume& volume = volume_for(now, transaction);
  if (!volume.client_timeouts.empty())
    state.slo_deadline =
        std::min(state.slo_deadline, now + volume.client_timeouts[to_index(transaction.profile)]);
  // The target latency of a client's retry counts from the first attempt. First attempts with little time
  // left occur too, so a retry is recognised by its key, volume, profile and deadline.
  const auto earlier = transaction.has_key ? unserved_.find(transaction.key) : unserved_.end();
  if (earlier != unserved_.end() && earlier->second.volume == transaction.volume &&
      earlier->second.profile == transaction.profile &&
      std::abs(earlier->second.deadline - state.deadline) < kRetryDeadlineTolerance) {
    state.slo_deadline = std::min(state.slo_deadline, earlier->second.slo_deadline);
  }
  current_retry_budget_slot(now).arrivals += 1;
  volume.arrived_units += transaction.units;
  const int node = select_node(now, state);
  if (node >= 0) volume.node_load_units += transaction.units * node_load(nodes_[to_index(node)]);
  if (profile.ordered_by_key && transaction.has_key && !has_key_place) {
    if (!key_table_has_room(now, transaction.key)) return refuse_at_once(now, id);
    join_key_queue(id, transaction.key);
  }
  update_value_per_unit(now, state);
  enqueue(id);
  if (now == stalled_at_) {  // ranks all arrivals of the stall together
    schedule_wakeup(now, now + settings_.clock_resolution);
  } else if (shard_is_blocked(now, transaction.shard, false)) {
    add_candidate(now, id);
    dispatch_candidates(now);
    if (!state.queued) shard_queues_[to_index(transaction.shard + 1)].ids.pop_back();
  } else {
    process_shard(now, transaction.shard);
  }
}

bool Control::reserve_key_place(double now, int id, std::uint64_t key) {
  if (!key_table_has_room(now, key)) return false;
  if (transactions_.size() <= to_index(id)) transactions_.resize(to_index(id) + 1);
  TransactionState& state = transactions_[to_index(id)];
  state = TransactionState{};
  state.transaction.has_key = true;
  state.transaction.key = key;
  state.key_place_reserved = true;
  join_key_queue(id, key);
  return true;
}

// The next scan of the queues finds those that this place held up.
void Control::cancel_key_place(double now, int id) {
  leave_key_queue(now, id);
  transactions_[to_index(id)] = TransactionState{};
}

void Control::dispatch_finished(double now, int id, const DispatchResult& result) {
  detect_stall(now);
  TransactionState& state = transactions_[to_index(id)];
  // A duplicate result must not free the node's capacity again. At most one dispatch is in flight at a time.
  if (state.in_flight == 0 || result.dispatch_number != state.dispatch_count - 1) return;
  Node& node = node_at(result.node);
  const bool succeeded = result.outcome == Outcome::kSucceeded;
  // A client may allow less time than the target latency. Its time-outs and late replies must not make nodes
  // look bad to other clients. This may hide a bad node where no client allows enough time.
  const bool short_deadline = state.deadline - state.arrived_at <
                              settings_.profiles[to_index(state.transaction.profile)].target_latency;
  const bool timed_out_on_short_deadline = short_deadline && result.outcome == Outcome::kTimedOut;
  const bool is_informative = now != stalled_at_ && !timed_out_on_short_deadline;
  const bool not_executed = result.outcome == Outcome::kQueueFull ||
                            result.outcome == Outcome::kConnectFailed || result.outcome == Outcome::kNotSent;
  const bool may_be_executing = result.outcome == Outcome::kTimedOut || result.outcome == Outcome::kReset ||
                                result.outcome == Outcome::kCancelled;
  state.in_flight -= 1;
  node.in_flight -= 1;
  node.units_in_flight -= state.transaction.units;
  if (!may_be_executing) node.idle_since = now;
  Volume& volume = volume_for(now, state.transaction);
  if (result.outcome != Outcome::kConnectFailed && result.outcome != Outcome::kNotSent)
    volume.pending_limit_units -= std::exchange(state.pending_limit_units, 0);
  if (is_informative && (succeeded || result.outcome == Outcome::kTimedOut)) {
    // A timed-out dispatch would have taken longer than it was awaited. The value of one result is limited,
    // so that a large transaction, a pause of the node or a lost connection does not pass for a long queue;
    // only consecutive bad results, as from a node that hangs, count in full. Values below the average count
    // more for the same reason.
    const double max_latency =
        kMaxLatencyStep * std::max(node.latency, kDelayTargetFraction * min_target_latency_);
    const double measured =
        succeeded ? result.elapsed : std::max(kMaxLatencyStep * result.elapsed, node.latency);
    const double latency = succeeded || !node.last_result_bad ? std::min(measured, max_latency) : measured;
    const double gain = latency < node.latency ? kLatencyDecreaseGain : kLatencyGain;
    node.latency += gain * (latency - node.latency);
    node.queueing_delay +=
        gain * (latency - node.best_unit_latency * state.transaction.units - node.queueing_delay);
  }
  const bool bad = result.outcome == Outcome::kTimedOut || result.outcome == Outcome::kQueueFull ||
                   (succeeded && !short_deadline && now > state.slo_deadline);
  if (is_informative && (bad || succeeded))
    bad_result_ratio_ += kResultGain * ((bad ? 1 : 0) - bad_result_ratio_);
  // Hundreds of schedulers that each send little can together overload a node. If results stay bad at the
  // probe interval already, each bad one widens the spacing of this scheduler's dispatches to the node, until
  // all schedulers together send about one per delay target. Only results of dispatches sent after the last
  // change count. A fast reply ends the spacing. A slow or hung node is spaced out in the same way, and where
  // replies get lost, one spacing may be without need.
  if (is_informative && now - result.elapsed >= node.min_spacing_changed_at) {
    const double delay_target = kDelayTargetFraction * min_target_latency_;
    if (bad) {
      if (node.last_spacing >= kProbeInterval &&
          (node.last_result_bad || bad_result_ratio_ > kSheddingThreshold)) {
        const double spacing = std::min(std::max(kSpacingGrowth * node.min_spacing, node.last_spacing),
                                        delay_target * settings_.scheduler_count);
        node.min_spacing = spacing * std::uniform_real_distribution(kMinJitter, kMaxJitter)(random_);
        node.min_spacing_changed_at = now;
      }
    } else if (succeeded &&
               result.elapsed - node.best_unit_latency * state.transaction.units < delay_target) {
      node.min_spacing = 0;
    }
    if (bad || succeeded) node.last_result_bad = bad;
  }
  if (succeeded) {
    node.served_units += state.transaction.units;
    if (is_informative) {
      node.sample_time += result.elapsed;
      node.sample_units += state.transaction.units;
      node.sample_count += 1;
    }
    volume.served_units += state.transaction.units;
    if (!state.answered && !volume.client_timeouts.empty())
      volume.client_timeouts[to_index(state.transaction.profile)] *= kClientTimeoutRecovery;
  }
  if (!timed_out_on_short_deadline && result.outcome != Outcome::kNotSent) {
    node.success_rate += kResultGain * ((succeeded ? 1 : 0) - node.success_rate);
    if (result.dispatch_number > 0)
      node.retry_success_rate += kResultGain * ((succeeded ? 1 : 0) - node.retry_success_rate);
  }
  volume.served_units_by_others += result.units_by_others;
  volume.usage_reported = volume.usage_reported || result.units_by_others > 0 || result.usage_reported;
  state.may_have_executed = state.may_have_executed || !not_executed;
  const Profile& profile = settings_.profiles[to_index(state.transaction.profile)];
  if (may_be_executing && profile.ordered_by_key && state.transaction.has_key) {
    KeyQueue& key_queue = key_queues_[state.transaction.key];
    key_queue.quiet_until = std::max(key_queue.quiet_until, now + settings_.key_quiet_time);
  }
  if (result.transaction_finished || state.answered) {
    state.answered = true;
    release_if_finished(now, id);
  } else if (result.outcome == Outcome::kNotSent ||
             now + deadline_margin_ >= std::min(state.slo_deadline, state.deadline) ||
             !retry_is_allowed(now, state, node) || !retry_is_promising(state, node)) {
    reject_or_expire(now, id);
  } else {
    state.not_before = now + kRetryBackoff * state.dispatch_count;
    enqueue(id);
  }
  process_shard(now, node.shard);
}

void Control::transaction_abandoned(double now, int id) {
  TransactionState& state = transactions_[to_index(id)];
  if (!state.answered) {
    // Work for clients that leave early and retry is wasted, so the time they were seen to wait bounds the
    // SLO deadlines of their volume and profile. Successes widen the bound again: a few broken connections do
    // not lower it.
    std::vector<double>& client_timeouts = volume_for(now, state.transaction).client_timeouts;
    if (client_timeouts.empty()) client_timeouts.assign(settings_.profiles.size(), kInfinity);
    double& client_timeout = client_timeouts[to_index(state.transaction.profile)];
    client_timeout =
        std::min(client_timeout, settings_.profiles[to_index(state.transaction.profile)].target_latency);
    client_timeout += kLatencyGain * (now - state.arrived_at - client_timeout);
    remember_unserved(now, state);
  }
  state.answered = true;
  const bool was_queued = state.queued;
  release_if_finished(now, id);
  // The queue's bounds are not narrowed here, as one client may abandon thousands of transactions at once.
  if (was_queued) std::erase(shard_queues_[to_index(state.transaction.shard + 1)].ids, id);
  process_shard(now, state.transaction.shard);
}

void Control::timer_fired(double now) {
  detect_stall(now);
  if (now >= next_list_request_at_) request_endpoint_list(now);
  if (now >= next_update_at_) run_periodic_update(now);
  while (now >= next_update_at_) next_update_at_ += kUpdatePeriod;
  process_all_queues(now);
}

// ---- Queues ----

void Control::enqueue(int id) {
  TransactionState& state = transactions_[to_index(id)];
  state.queued = true;
  state.queue_sequence = ++last_queue_sequence_;
  ++queued_count_;
  if (shard_queues_.size() <= to_index(state.transaction.shard + 1))
    shard_queues_.resize(to_index(state.transaction.shard + 1) + 1);
  ShardQueue& queue = shard_queues_[to_index(state.transaction.shard + 1)];
  if (queue.ids.empty()) queue = ShardQueue{{}, kInfinity, kInfinity, kInfinity, 0, 0, false, false};
  queue.ids.push_back(id);
  extend_bounds(queue, state);
}

// The id stays in its shard queue until compact_queue().
void Control::dequeue(TransactionState& state) {
  queued_count_ -= std::exchange(state.queued, false) ? 1 : 0;
}

// Removes the ids of transactions that are no longer queued, and narrows the bounds to the remaining ones.
void Control::compact_queue(int shard) {
  ShardQueue& queue = shard_queues_[to_index(shard + 1)];
  std::erase_if(queue.ids, [&](int id) { return !transactions_[to_index(id)].queued; });
  queue = ShardQueue{std::move(queue.ids),           kInfinity, kInfinity, kInfinity, 0, 0, false,
                     queue.concurrency_limit_reached};
  for (int id : queue.ids) extend_bounds(queue, transactions_[to_index(id)]);
}

// Returns true if a pass over the shard's queue would change nothing: its node has no capacity for even the
// smallest transaction, there are no retries, and nothing is late or near its deadline. Saves the cost of
// scanning a long queue on each event. May return false needlessly, as the queue's bounds may be too wide.
// Benefit fractions are as of the last pass; a full scan assumes the highest.
bool Control::shard_is_blocked(double now, int shard, bool full_scan) {
  if (shard < 0 || shard_queues_.size() <= to_index(shard + 1)) return false;
  const ShardQueue& queue = shard_queues_[to_index(shard + 1)];
  if (queue.ids.empty() || queue.has_retries || now + deadline_margin_ >= queue.earliest_deadline)
    return false;
  const int node_index =
      to_index(shard) < current_node_of_shard_.size() ? current_node_of_shard_[to_index(shard)] : -1;
  if (node_index < 0) return now < queue.earliest_slo_deadline;
  Node& node = nodes_[to_index(node_index)];
  if (now + kQueueingDelayWeight * std::max(node.queueing_delay, 0.0) +
          node.best_unit_latency * queue.max_units >=
      queue.earliest_slo_deadline)
    return false;
  smallest_queued_.transaction.units = queue.min_units;
  smallest_queued_.benefit_fraction = full_scan ? 1 : queue.max_benefit_fraction;
  if (has_capacity(now, node, smallest_queued_)) return false;
  node.concurrency_limit_reached = node.concurrency_limit_reached || queue.concurrency_limit_reached;
  return true;
}

// ---- Dispatch ----

// Considers all queued transactions. Needed where time or an event at another shard has changed something;
// for the direct effects of an event, process_shard() is enough.
void Control::process_all_queues(double now) {
  for (std::size_t i = 0; i < shard_queues_.size(); ++i)
    collect_candidates(now, static_cast<int>(i) - 1, true);
  dispatch_candidates(now);
}

// Considers the transactions queued for the shard, and new objects, which any node may take.
void Control::process_shard(double now, int shard) {
  collect_candidates(now, -1, false);
  if (shard >= 0) collect_candidates(now, shard, false);
  dispatch_candidates(now);
}

void Control::collect_candidates(double now, int shard, bool full_scan) {
  if (shard_queues_.size() <= to_index(shard + 1) || shard_queues_[to_index(shard + 1)].ids.empty()) return;
  if (shard_is_blocked(now, shard, full_scan)) return;
  collected_shards_.push_back(shard);
  shard_queues_[to_index(shard + 1)].concurrency_limit_reached = false;
  for (int id : shard_queues_[to_index(shard + 1)].ids) add_candidate(now, id);
}

void Control::add_candidate(double now, int id) {
  TransactionState& state = transactions_[to_index(id)];
  state.value_per_unit = update_value_per_unit(now, state);
  candidates_.push_back(
      {state.value_per_unit / (kUrgencyOffset + std::max(state.slo_deadline - now, 0.0)), id});
}

// Runs one pass over the candidates, in order of priority. Answers those that can no longer meet their SLO
// deadline.
void Control::dispatch_candidates(double now) {
  std::sort(candidates_.begin(), candidates_.end(), [&](auto& a, auto& b) {
    return a.first != b.first ? a.first > b.first
                              : transactions_[to_index(a.second)].queue_sequence <
                                    transactions_[to_index(b.second)].queue_sequence;
  });
  ++pass_number_;
  for (const auto& [priority, id] : candidates_) {
    TransactionState& state = transactions_[to_index(id)];
    const int node_index = state.transaction.shard < 0 ? -1 : select_node(now, state);
    const bool node_is_full = node_index >= 0 && nodes_[to_index(node_index)].full_in_pass == pass_number_;
    // Late transactions would delay others past their SLO deadlines. One that is late only by the forecast is
    // sent after a probe interval without dispatches, to find out whether the forecast still holds.
    const Node* node = node_index >= 0 ? &nodes_[to_index(node_index)] : nullptr;
    const double forecast_latency = node ? kQueueingDelayWeight * std::max(node->queueing_delay, 0.0) +
                                               node->best_unit_latency * state.transaction.units
                                         : 0;
    const bool late = now + forecast_latency >= state.slo_deadline;
    const Verdict verdict = node_is_full || (late && (now >= state.slo_deadline || node->in_flight > 0 ||
                                                      now - node->last_dispatch_at < kProbeInterval))
                                ? Verdict::kNodeFull
                                : try_dispatch(now, id);
    if (verdict == Verdict::kNodeFull && !late && node_index >= 0)
      nodes_[to_index(node_index)].full_in_pass = pass_number_;
    if (!state.queued || (!late && now + deadline_margin_ < state.deadline)) continue;
    reject_or_expire(now, id);
  }
  candidates_.clear();
  for (const int shard : collected_shards_) compact_queue(shard);
  collected_shards_.clear();
  const double next_event_at =
      std::min(queued_count_ == 0 ? next_update_at_ : std::min(next_update_at_, now + kQueueScanInterval),
               next_list_request_at_);
  schedule_wakeup(now, std::max(next_event_at, now + kQueueScanInterval / 2));
}

// Applies the admission checks in turn and dispatches the transaction if it passes all of them.
Control::Verdict Control::try_dispatch(double now, int id) {
  TransactionState& state = transactions_[to_index(id)];
  const Profile& profile = settings_.profiles[to_index(state.transaction.profile)];
  if (now + deadline_margin_ >= state.deadline) {
    reject_or_expire(now, id);
    return Verdict::kDone;
  }
  if (now < state.not_before) return Verdict::kQueued;

  // Per-key FIFO.
  if (profile.ordered_by_key && state.transaction.has_key) {
    const KeyQueue& key_queue = key_queues_[state.transaction.key];
    if (key_queue.first != id || (state.dispatch_count == 0 && now < key_queue.quiet_until))
      return Verdict::kQueued;
  }

  // Node.
  const int node_index = select_node(now, state);
  if (node_index < 0) return Verdict::kQueued;
  Node& node = nodes_[to_index(node_index)];
  if (state.dispatch_count > 0 && !retry_is_allowed(now, state, node)) {
    reject_or_expire(now, id);
    return Verdict::kDone;
  }

  // The volume's limit; retries take no further tokens.
  Volume& volume = volume_for(now, state.transaction);
  const bool limited =
      state.transaction.plan >= 0 && settings_.plans[to_index(state.transaction.plan)].limit > 0;
  if (limited && state.dispatch_count == 0 && volume.limit_tokens < state.transaction.units)
    return Verdict::kQueued;

  // Slow start.
  if (warmup_allowance(now, node) < state.transaction.units) return Verdict::kQueued;

  // Gears: a loaded node serves volumes up to their cap only.
  if (node_load(node) >= kLoadedNodeThreshold && exceeds_gear_cap(volume) && volume.gear_tokens < 0)
    return Verdict::kQueued;

  // Load shedding: a surge at all nodes may be over before the spacing of each node has widened. The higher
  // the bad-result ratio, the fewer transactions are sent, picked at random in favour of higher benefit.
  if (bad_result_ratio_ > kSheddingThreshold &&
      state.random_draw > (1 - bad_result_ratio_) / (1 - kSheddingThreshold) * state.benefit_fraction)
    return Verdict::kQueued;

  // Concurrency limit.
  if (!has_capacity(now, node, state)) {
    node.concurrency_limit_reached = true;
    return Verdict::kNodeFull;
  }

  if (state.transaction.shard < 0) advance_rotation(node_index);
  // Dispatches held up by a connection or a partitioned network may reach the node seconds later, all at once
  // and together with a refilled bucket. Until they are known to have arrived, their units reduce the
  // bucket's capacity. This may slow a volume whose nodes take longer to reply than its burst lasts.
  if (limited && state.dispatch_count == 0) {
    volume.limit_tokens -= state.transaction.units;
    volume.pending_limit_units += state.pending_limit_units = state.transaction.units;
  }
  volume.gear_tokens =
      std::max(volume.gear_tokens - state.transaction.units, -settings_.max_transaction_units);
  if (volume.reservation_tokens <= 0) volume.units_beyond_reservation += state.transaction.units;
  volume.reservation_tokens =
      std::max(volume.reservation_tokens - state.transaction.units, -settings_.max_transaction_units);
  if (is_warming_up(now, node)) {
    node.warmup_sent.push_back({now, state.transaction.units});
    node.warmup_tokens =
        std::max(node.warmup_tokens - state.transaction.units, -settings_.max_transaction_units);
  }
  if (node.in_flight == 0) node.idle_since = now;
  node.last_spacing = node.last_dispatch_at > 0 ? now - node.last_dispatch_at : 0;
  node.last_dispatch_at = now;
  node.in_flight += 1;
  node.units_in_flight += state.transaction.units;
  if (state.dispatch_count > 0) current_retry_budget_slot(now).retries += 1;
  if (!state.may_have_executed) {  // copies zone and shard, as the node may be given another shard later
    state.dedup_until = now + profile.dedup_window - deadline_margin_;
    state.first_zone = node.zone;
    state.first_shard = node.shard;
  }
  state.dispatch_count += 1;
  state.in_flight += 1;
  dequeue(state);
  // Nodes drop transactions that time out in their queues, so the time-out keeps late work from delaying the
  // rest. Late replies still earn part of the benefit: the fewer results are bad, the longer past the SLO
  // deadline they are awaited, up to the tightest target latency.
  const double health = std::max(1 - bad_result_ratio_ / kSheddingThreshold, 0.0);
  double times_out_at = std::min(state.slo_deadline + health * min_target_latency_, state.deadline);
  // A retry must not wait for a connection until after the deduplication window.
  if (state.may_have_executed && profile.idempotency == Idempotency::kDeduplicated)
    times_out_at = std::min(times_out_at, state.dedup_until);
  actions_.dispatch(id, node_index, times_out_at - now);
  return Verdict::kDone;
}

// Returns the benefit per unit of a dispatch now, and updates the benefit fraction.
double Control::update_value_per_unit(double now, TransactionState& state) {
  const Profile& profile = settings_.profiles[to_index(state.transaction.profile)];
  if (state.transaction.plan < 0) return profile.benefit;
  const Plan& plan = settings_.plans[to_index(state.transaction.plan)];
  const Volume& volume = volume_for(now, state.transaction);
  const double shares_used =
      volume.units_beyond_reservation / std::max(plan.weight * usual_rate_per_weight_, 1e-9);
  const double factor_beyond_reservation =
      std::max(settings_.spare_benefit_factor, settings_.share_benefit_factor / (1 + shares_used));
  state.benefit_fraction =
      (volume.reservation_tokens > 0 ? 1 : factor_beyond_reservation) * profile.benefit / max_benefit_;
  return state.benefit_fraction * max_benefit_ * plan.benefit_factor;
}

// ---- Answers ----

// Answers a transaction that is not served: rejects it if the client may safely retry, else expires it.
void Control::reject_or_expire(double now, int id) {
  TransactionState& state = transactions_[to_index(id)];
  dequeue(state);
  state.answered = true;
  remember_unserved(now, state);
  if (now >= state.deadline || !client_retry_is_harmless(state)) {
    actions_.expire(id);
  } else {
    actions_.reject(id, retry_after(state));
  }
  release_if_finished(now, id);
}

// Whether the client may try again without a second effect, whenever its retry comes and runs. It may do so
// until the profile's deadline, which covers all of its attempts. By then the nodes may have forgotten the
// transaction.
bool Control::client_retry_is_harmless(const TransactionState& state) const {
  if (!state.may_have_executed && state.in_flight == 0) return true;
  const Profile& profile = settings_.profiles[to_index(state.transaction.profile)];
  if (profile.idempotency == Idempotency::kIdempotent) return true;
  return profile.idempotency == Idempotency::kDeduplicated && profile.dedup_scope == DedupScope::kFleet &&
         state.arrived_at + profile.deadline <= state.dedup_until;
}

double Control::retry_after(const TransactionState& state) const {
  return std::min(settings_.max_retry_after,
                  settings_.profiles[to_index(state.transaction.profile)].target_latency);
}

// Answers a transaction that has just arrived and for which there is no room. Leaves nothing behind.
void Control::refuse_at_once(double now, int id) {
  TransactionState& state = transactions_[to_index(id)];
  state.answered = true;
  if (now >= state.deadline) actions_.expire(id);
  else actions_.reject(id, retry_after(state));
  state.in_use = false;
  actions_.release(id);
}

// Keeps what is needed to recognise the client's retry, as long as that could still be dispatched.
void Control::remember_unserved(double now, const TransactionState& state) {
  if (!state.transaction.has_key) return;
  if (now + deadline_margin_ >= state.deadline + kRetryDeadlineTolerance) return;
  if (unserved_.size() >= settings_.max_table_entries && !unserved_.contains(state.transaction.key)) {
    if (now < next_unserved_expiry_at_) return;
    next_unserved_expiry_at_ = now + kTableExpiryInterval;
    std::erase_if(unserved_, [&](const auto& entry) { return now >= entry.second.deadline; });
    if (unserved_.size() >= settings_.max_table_entries) return;
  }
  unserved_[state.transaction.key] = {state.transaction.volume, state.transaction.profile, state.deadline,
                                      state.slo_deadline};
}

// Releases an answered transaction once no dispatch of it is in flight.
void Control::release_if_finished(double now, int id) {
  TransactionState& state = transactions_[to_index(id)];
  dequeue(state);
  if (state.in_flight > 0 || !state.in_use) return;
  if (settings_.profiles[to_index(state.transaction.profile)].ordered_by_key && state.transaction.has_key) {
    leave_key_queue(now, id);
  }
  if (state.pending_limit_units > 0)
    volumes_[to_index(state.transaction.volume)].pending_limit_units -=
        std::exchange(state.pending_limit_units, 0);
  state.in_use = false;
  actions_.release(id);
}

// ---- Per-key order ----

// Whether a transaction of the key can be queued. The table may be full of keys that are quiet.
bool Control::key_table_has_room(double now, std::uint64_t key) {
  if (key_queues_.size() < settings_.max_table_entries || key_queues_.contains(key)) return true;
  if (now < next_key_expiry_at_) return false;
  next_key_expiry_at_ = now + kTableExpiryInterval;
  erase_expired_keys(now);
  return key_queues_.size() < settings_.max_table_entries;
}

void Control::join_key_queue(int id, std::uint64_t key) {
  KeyQueue& queue = key_queues_[key];
  TransactionState& state = transactions_[to_index(id)];
  state.previous_of_key = queue.last;
  state.next_of_key = -1;
  (queue.last < 0 ? queue.first : transactions_[to_index(queue.last)].next_of_key) = id;
  queue.last = id;
}

void Control::leave_key_queue(double now, int id) {
  TransactionState& state = transactions_[to_index(id)];
  const auto found = key_queues_.find(state.transaction.key);
  KeyQueue& queue = found->second;
  const int previous = std::exchange(state.previous_of_key, -1);
  const int next = std::exchange(state.next_of_key, -1);
  (previous < 0 ? queue.first : transactions_[to_index(previous)].next_of_key) = next;
  (next < 0 ? queue.last : transactions_[to_index(next)].previous_of_key) = previous;
  if (queue.first < 0 && now >= queue.quiet_until) key_queues_.erase(found);
}

void Control::erase_expired_keys(double now) {
  std::erase_if(key_queues_,
                [&](const auto& entry) { return entry.second.first < 0 && now >= entry.second.quiet_until; });
}

// ---- Retries ----

// Draws at random, by the success rate of recent retries at the node.
bool Control::retry_is_promising(const TransactionState& state, const Node& node) {
  if (state.dispatch_count >= settings_.max_dispatches) return false;
  const double probability = std::max(kMinRetryProbability, std::min(1.0, 2 * node.retry_success_rate));
  return std::uniform_real_distribution(0.0, 1.0)(random_) < probability;
}

// Checks the retry budget, and that a repeat at the node has no further effect.
bool Control::retry_is_allowed(double now, const TransactionState& state, const Node& node) {
  if (settings_.has_retry_budget) {
    double arrivals = 0;
    double retries = 1;
    const RetryBudgetSlot* current = &current_retry_budget_slot(now);
    for (const RetryBudgetSlot& slot : retry_budget_) {
      retries += slot.retries;
      if (slot.number + kRetryBudgetSlots > current->number)
        arrivals += slot.arrivals;  // wholly in the window
    }
    if (retries > settings_.retry_budget_base + settings_.retry_budget_ratio * arrivals) return false;
  }
  if (!state.may_have_executed) return true;
  const Profile& profile = settings_.profiles[to_index(state.transaction.profile)];
  if (profile.idempotency == Idempotency::kIdempotent) return true;
  if (profile.idempotency == Idempotency::kNonIdempotent || now >= state.dedup_until) return false;
  return profile.dedup_scope == DedupScope::kFleet ||
         (profile.dedup_scope == DedupScope::kZone && state.first_zone == node.zone) ||
         (profile.dedup_scope == DedupScope::kShard && state.first_shard == node.shard);
}

// Clears expired slots and returns that of `now`.
RetryBudgetSlot& Control::current_retry_budget_slot(double now) {
  const auto number =
      settings_.has_retry_budget
          ? static_cast<std::int64_t>(now / (settings_.retry_budget_window / kRetryBudgetSlots))
          : 0;
  for (RetryBudgetSlot& slot : retry_budget_) {
    if (slot.number + kRetryBudgetSlots < number) slot = RetryBudgetSlot{};
  }
  RetryBudgetSlot& current = retry_budget_[static_cast<std::size_t>(number % (kRetryBudgetSlots + 1))];
  current.number = number;
  return current;
}

// ---- Nodes ----

Node& Control::node_at(int index) {
  if (nodes_.size() <= to_index(index)) nodes_.resize(to_index(index) + 1);
  return nodes_[to_index(index)];
}

// Returns the current node of the transaction's shard, for a new object one picked by rotation, or -1.
int Control::select_node(double now, const TransactionState& state) {
  if (state.transaction.shard < 0) return pick_by_rotation(now, state);
  return to_index(state.transaction.shard) < current_node_of_shard_.size()
             ? current_node_of_shard_[to_index(state.transaction.shard)]
             : -1;
}

// Smooth weighted round robin over the ready nodes with capacity. The weight is the inverse of the latency
// per unit, times the success rate. Returns -1 if there is no such node.
int Control::pick_by_rotation(double now, const TransactionState& state) {
  double rate_sum = 0;
  int sampled_nodes = 0;
  for (const Node& node : nodes_) {
    if (node.state == NodeState::kReady && node.samples > 0) {
      rate_sum += 1 / current_unit_latency(node);
      ++sampled_nodes;
    }
  }
  const double mean_rate = sampled_nodes > 0 ? rate_sum / sampled_nodes : 1;
  int best = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    node.rotation_weight = 0;
    if (node.state != NodeState::kReady || !has_capacity(now, node, state) ||
        warmup_allowance(now, node) < state.transaction.units) {
      continue;
    }
    node.rotation_weight = (node.samples > 0 ? 1 / current_unit_latency(node) : mean_rate) *
                           std::max(node.success_rate, kMinRotationHealth);
    if (best < 0 || node.rotation_credit + node.rotation_weight >
                        nodes_[to_index(best)].rotation_credit + nodes_[to_index(best)].rotation_weight) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

// Updates the credits after a dispatch to the picked node, with the weights of the last pick_by_rotation().
void Control::advance_rotation(int picked) {
  double weight_sum = 0;
  for (Node& node : nodes_) {
    node.rotation_credit += node.rotation_weight;
    weight_sum += node.rotation_weight;
  }
  nodes_[to_index(picked)].rotation_credit -= weight_sum;
}

// Lower quartile of the recent samples, in seconds per unit; leaves out samples raised by a flush pause.
double Control::current_unit_latency(const Node& node) const {
  auto sorted = node.recent_unit_latency;
  const int count = std::min(node.samples, kLatencySamples);
  std::nth_element(sorted.begin(), sorted.begin() + count / 4, sorted.begin() + count);
  return std::max(sorted[to_index(count / 4)], 1e-6);
}

// Load in [0, 1): the fraction of the current latency that exceeds the best.
double Control::node_load(const Node& node) const {
  return node.samples > 0 ? 1 - node.best_unit_latency / current_unit_latency(node) : 0;
}

// Whether the node's concurrency limit admits the transaction.
bool Control::has_capacity(double now, const Node& node, const TransactionState& state) const {
  if (node.in_flight >= kMaxConcurrency) return false;
  // Transactions beyond the reservation may use only part of the limit, to leave room for more beneficial
  // ones of other schedulers. Where no scheduler has such ones, that room is lost.
  const double limit_fraction = std::sqrt(state.benefit_fraction);
  if (now - node.last_dispatch_at < node.min_spacing / state.benefit_fraction) return false;
  const double delay_target = limit_fraction * kDelayTargetFraction * min_target_latency_;
  if (node.units_in_flight + state.transaction.units <= node.service_rate * delay_target) return true;
  // Even the minimum is too much if hundreds of schedulers use it. While the queueing delay is above target,
  // it falls steeply; below one dispatch, it becomes a pause between dispatches. A slow or a small node has
  // the same effect, and so have a few very long transactions, without need.
  const double min_concurrency = limit_fraction * kMinConcurrency *
                                 std::pow(std::min(1.0, delay_target / std::max(node.queueing_delay, 1e-6)),
                                          kConcurrencyBackoffExponent);
  if (min_concurrency >= 1) return node.in_flight < static_cast<int>(min_concurrency);
  return node.in_flight == 0 &&
         now - node.idle_since >= std::min(node.latency * (1 / min_concurrency - 1), kProbeInterval);
}

bool Control::is_warming_up(double now, const Node& node) const {
  return settings_.has_slow_start && node.started_at > 0 && now < node.started_at + settings_.warmup_time;
}

// Slow start. Returns the units that may be sent to the node now; infinity if it is not warming up.
//
// The schedulers must not overload a started node together. Its capacity grows evenly from the initial share.
// One part is allotted by usual rate: the shard's usual rates of all schedulers add up to what its node
// served, so each scheduler may send its own usual rate, scaled to the node's age. The rest, for schedulers
// without a usual rate, is a number of safe units per overload window. Where an even share of them is less
// than the largest transaction, the schedulers take turns in the order of their indices.
double Control::warmup_allowance(double now, Node& node) {
  if (!is_warming_up(now, node)) return kInfinity;
  const double initial_share = std::max(settings_.initial_capacity_share, kMinInitialCapacityShare);
  // Clocks differ between hosts: a node's start may lie in the future.
  const double progress = std::max(now - node.started_at, 0.0) / settings_.warmup_time;
  // Starts each process with a random fraction of one unit, so that the schedulers' first dispatches spread.
  // Once for each process of the node: otherwise each call would draw tokens anew.
  if (node.warmup_started_at != node.started_at) {
    node.warmup_started_at = node.started_at;
    node.warmup_refilled_at = now;
    node.warmup_tokens = std::uniform_real_distribution(0.0, 1.0)(random_);
  }
  const double usual_rate =
      to_index(node.shard) < shard_service_rate_.size() ? shard_service_rate_[to_index(node.shard)] : 0;
  const double rate_factor =
      kWarmupUsualFraction * settings_.overload_multiple * (initial_share + (1 - initial_share) * progress);
  node.warmup_tokens =
      std::min(node.warmup_tokens + (now - node.warmup_refilled_at) * rate_factor * usual_rate,
               settings_.max_transaction_units);
  node.warmup_refilled_at = now;
  std::erase_if(node.warmup_sent, [&](const SentUnits& sent) {
    return sent.at < now - settings_.overload_window * kOverloadWindowMargin;
  });
  double units_sent = 0;
  for (const SentUnits& sent : node.warmup_sent) units_sent += sent.units;
  // A restarted scheduler does not know what it sent before, so it sends no safe units for one overload
  // window to nodes that started before it. They may be missing in the first window after a start.
  if (node.started_at <= started_at_ && now < started_at_ + settings_.overload_window * kOverloadWindowMargin)
    return node.warmup_tokens;
  const int schedulers = std::max(settings_.scheduler_count, 1);
  const double turn_time = kTurnLength * settings_.overload_window;
  const double turn = std::floor(std::max(now - node.started_at, 0.0) / turn_time);
  const double turn_progress = std::min(1.0, turn * turn_time / settings_.warmup_time);
  const double safe_units = (1 - kWarmupUsualFraction) * settings_.safe_start_units *
                            (initial_share + (1 - initial_share) * turn_progress) / initial_share;
  if (safe_units / schedulers >= settings_.max_transaction_units)
    return std::max(safe_units / schedulers - units_sent, node.warmup_tokens);
  const bool own_turn = static_cast<int>(turn) % schedulers == settings_.scheduler_index % schedulers;
  const bool send_phase =
      now - node.started_at - turn * turn_time < kTurnSendPhase * settings_.overload_window;
  return std::max(own_turn && send_phase ? safe_units - units_sent : 0, node.warmup_tokens);
}

// ---- Volumes ----

// Returns the transaction's volume, with its token buckets refilled.
Volume& Control::volume_for(double now, const Transaction& transaction) {
  if (volumes_.size() <= to_index(transaction.volume)) volumes_.resize(to_index(transaction.volume) + 1);
  Volume& volume = volumes_[to_index(transaction.volume)];
  const int max_schedulers = std::max(settings_.scheduler_count, 1);
  const int schedulers = transaction.volume_schedulers > 0
                             ? std::min(transaction.volume_schedulers, max_schedulers)
                             : max_schedulers;
  if (!volume.in_use) {
    volume.in_use = true;
    volume.plan = transaction.plan;
    volume.scheduler_count = schedulers;
    // A restarted scheduler does not know which tokens it spent before, so its buckets were empty at its
    // start. This may hold work back in the first second after a start.
    volume.refilled_at = started_at_;
  }
  volume.scheduler_count = std::max(volume.scheduler_count, schedulers);
  if (volume.plan < 0 || now <= volume.refilled_at) return volume;
  const Plan& plan = settings_.plans[to_index(volume.plan)];
  const double elapsed = now - volume.refilled_at;
  const double share = scheduler_share(volume);
  volume.refilled_at = now;
  volume.limit_tokens = std::min(volume.limit_tokens + elapsed * plan.limit / volume.scheduler_count,
                                 plan.burst / volume.scheduler_count - volume.pending_limit_units);
  const double reserved_rate = plan.reservation * share;
  volume.reservation_tokens = std::min(volume.reservation_tokens + elapsed * reserved_rate,
                                       reserved_rate * kUpdatePeriod + settings_.max_transaction_units);
  const double gear_rate = std::max(gear_cap(volume, volume.gear) * share, plan.reservation);
  volume.gear_tokens = std::min(volume.gear_tokens + elapsed * gear_rate, settings_.max_transaction_units);
  return volume;
}

// Fraction of the volume's served units that this scheduler handles: by the nodes' reports, else an even
// share.
double Control::scheduler_share(const Volume& volume) const {
  const double served = volume.served_units + volume.served_units_by_others;
  return volume.usage_reported && served > 0
             ? std::max(volume.served_units / served, kMinShareFraction / volume.scheduler_count)
             : 1.0 / volume.scheduler_count;
}

// The cap of a gear, in units per second over all schedulers. Doubles with each gear, from the larger of
// reservation and usual rate up to the limit.
double Control::gear_cap(const Volume& volume, int gear) const {
  if (volume.plan < 0) return kInfinity;
  const Plan& plan = settings_.plans[to_index(volume.plan)];
  const double base = std::max(plan.reservation, plan.usual_rate);
  const double top = plan.limit > 0 ? plan.limit : kMaxGearMultiple * base;
  return std::min(base * std::pow(2.0, gear), top);
}

// Whether a volume below its top gear requests more than this scheduler's reported share of its cap, or than
// all of it without reports.
bool Control::exceeds_gear_cap(const Volume& volume) const {
  const double cap = gear_cap(volume, volume.gear);
  if (gear_cap(volume, volume.gear + 1) <= cap) return false;
  return std::max(volume.arrival_rate, volume.arrived_units) >
         cap * (volume.usage_reported ? scheduler_share(volume) : 1);
}

// ---- Time ----

void Control::schedule_wakeup(double now, double time) {
  // Without the tolerance, a timer that fired slightly early would pass for pending, and no other would
  // follow.
  if (next_wakeup_at_ > now + kTimerTolerance && time >= next_wakeup_at_) return;
  next_wakeup_at_ = time;
  actions_.wake_at(time);
}

// Recognises by an overdue wake-up that this process was suspended. Arrivals handled now have waited for up
// to the length of the stall, and the elapsed times of dispatches tell nothing about their nodes. What
// arrives in time just then, from clients that allow little time, may suffer from it.
void Control::detect_stall(double now) {
  if (now == stalled_at_ || now < next_wakeup_at_ + kStallThreshold) return;
  stalled_at_ = now;
  stalled_for_ = now - next_wakeup_at_;
}

// Moves gears, updates moving averages and drops expired entries. Runs once per period.
void Control::run_periodic_update(double now) {
  for (Volume& volume : volumes_) {
    if (!volume.in_use) continue;
    volume.arrival_rate = volume.arrived_units / kUpdatePeriod;
    const double share = scheduler_share(volume);
    const double load = volume.arrived_units > 0 ? volume.node_load_units / volume.arrived_units : 0;
    const double cap = gear_cap(volume, volume.gear);
    if (volume.arrival_rate > kGearUpUtilization * cap * share && gear_cap(volume, volume.gear + 1) > cap) {
      if (load < kLoadedNodeThreshold) volume.gear += 1;
    } else if (volume.gear > 0 && volume.arrival_rate < gear_cap(volume, volume.gear - 1) * share) {
      volume.gear -= 1;
    }
    volume.arrived_units = volume.node_load_units = 0;
    volume.served_units *= kUsageDecay;
    volume.served_units_by_others *= kUsageDecay;
    volume.units_beyond_reservation *= kUsageDecay;
    for (double& client_timeout : volume.client_timeouts) client_timeout *= kClientTimeoutGrowth;
  }
  for (Node& node : nodes_) {
    const double served = node.served_units / kUpdatePeriod;
    if (served > node.service_rate) {
      node.service_rate = served;
    } else if (node.concurrency_limit_reached) {
      node.service_rate = kServiceRateDecay * node.service_rate + (1 - kServiceRateDecay) * served;
    }
    node.min_spacing *= kNodeDelayDecay;
    node.queueing_delay *= kNodeDelayDecay;
    if (node.state == NodeState::kReady && node.shard >= 0 && !is_warming_up(now, node)) {
      if (shard_service_rate_.size() <= to_index(node.shard))
        shard_service_rate_.resize(to_index(node.shard) + 1);
      double& rate = shard_service_rate_[to_index(node.shard)];
      rate = kShardRateDecay * rate + (1 - kShardRateDecay) * served;
    }
    node.served_units = 0;
    node.concurrency_limit_reached = false;
    if (node.sample_count >= kMinSampleReplies) {
      node.recent_unit_latency[to_index(node.samples % kLatencySamples)] =
          node.sample_time / node.sample_units;
      node.samples += 1;
      node.sample_time = node.sample_units = node.sample_count = 0;
      const double current = current_unit_latency(node);
      node.best_unit_latency =
          node.samples == 1 ? current : std::min(node.best_unit_latency * kBestLatencyGrowth, current);
    }
  }
  std::erase_if(unserved_, [&](const auto& entry) { return now >= entry.second.deadline; });
  erase_expired_keys(now);
}

void Control::request_endpoint_list(double now) {
  actions_.request_endpoint_list();
  next_list_request_at_ = now + kMaxListRequestInterval;
}

}  // namespace heronworks
