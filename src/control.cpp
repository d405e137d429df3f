// The decisions of heronworks, all of them.
//
// How to call it: build a Control with the settings of one scheduler and a ControlActions, then call one
// method for each thing that happens, with the time in seconds. It acts by calling the ControlActions before
// it returns. Interface: control.h; settings.h and state.h hold the plain types. docs/design.md says why,
// docs/on-call.md what one sees.
#include "control.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace heronworks {
namespace {

// From the paper.
constexpr double kPeriod = 1.0;         // s between two moves of a gear
constexpr double kPromoteAbove = 0.95;  // part of the cap slice that arrivals must exceed

// Starting values of the design page.
constexpr double kThreshold = 0.8;  // load from which a node counts as loaded
constexpr double kTopGears = 8;     // top cap without a limit, in gear 0s
constexpr double kAimPart = 0.5;    // part of the tightest contract time that units out may fill
constexpr int kLeastOut = 4;        // transactions that may always be out at a node
constexpr int kMostOut = 32;        // transactions out at a node, whatever it manages
constexpr int kFlushPeriods = 4;    // shorter rises of latency are flush pauses, not load

// Ours.
constexpr double kBucketReplies = 3;  // replies that a mean needs, so that one large reply does not make it
constexpr double kBestDrift = 1.01;   // a bucket: best latency is forgotten slowly, as nodes change for good
constexpr double kKeep = 0.7;         // a second: what is kept of a volume's told and own service
constexpr double kRateKeep = 0.7;     // a second: what is kept of the learned rate while the bound is reached
constexpr double kLatencyGain = 0.2;  // weight of the newest reply in a node's recent latency
constexpr double kFallGain = 0.4;     // the same for a reply that is quicker than that
constexpr double kLeastFall = 4;      // power; steep, so that the latency of a crowd stays near the aim
constexpr double kMostJump = 2;       // latency that one reply may tell, in recent latencies
constexpr double kWaitMargin = 0.7;   // recent waits to have time for; under 1, as a wait may be an old pause
constexpr double kSweep = 0.01;       // s between two looks at what is held
constexpr double kStallAfter = 0.05;  // s by which a wake-up is late when this scheduler stood still
constexpr double kClockSlack = 1e-5;  // s by which a wake-up may seem early; hosts' clocks are rounded
constexpr double kAnswerMargin = 0.03;  // s before the cut-off at which a held transaction is answered
constexpr double kSlackUnit = 2.0;      // s: how little the time left counts beside the benefit
constexpr double kSameCutOff = 0.01;    // s by which the cut-offs of a try and its repeat may differ
constexpr double kPatienceDrift = 1.2;  // a second: how fast a client that left early is forgotten
constexpr double kStayed = 1.25;        // times that bound for each honoured one; it holds while half leave
constexpr double kTrialEvery = 0.5;   // s after which late work goes as a trial; longest pause under one out
constexpr double kAgainPause = 0.03;  // s before a further dispatch, times the dispatches so far
constexpr double kAgainFloor = 0.1;   // least chance of a further dispatch, so that health is found again
constexpr double kAgainGain = 0.1;    // weight of the newest where few come: further dispatches, bad replies
constexpr double kTurnTime = 1.25;    // turn at a cold node, in fall times; a window meets one turn only
constexpr double kTurnPart = 0.2;     // part of the fall time in which the scheduler in turn sends
constexpr double kColdSpan = 1.05;  // of the fall time for which what was sent counts; clocks differ a little
constexpr double kGapGrows = 2;     // gap after a bad reply, in gaps before
constexpr double kBadPart = 0.25;  // part of bad replies, all nodes: from it one makes a gap, work is thinned
constexpr double kNewsDrift = 0.9;  // a second: what is kept of a gap and a wait that nothing new is heard of
constexpr double kColdPart = 0.4;   // part of what pushes a cold node over that all may send it; work varies
constexpr double kManagedKeep = 0.9;  // a second: what is kept of a shard's usual service
constexpr int kBudgetSlots = 20;      // parts of the budget's window
constexpr double kAskFirst = 0.5;     // s before a failed call for the list is made again, doubling
constexpr double kAskMost = 1.4;      // s between calls at most; two failed ones fit in 6 s
constexpr double kNever = std::numeric_limits<double>::infinity();

static_assert(std::tuple_size_v<decltype(Node::recent_unit_latency)> == kFlushPeriods);

std::size_t at(int index) { return static_cast<std::size_t>(index); }

// The bounds on what waits there, to one more.
void widen(ShardQueue& w, const TransactionState& o) {
  w.earliest_slo_deadline = std::min(w.earliest_slo_deadline, o.slo_deadline);
  w.earliest_deadline = std::min(w.earliest_deadline, o.deadline);
  w.min_units = std::min(w.min_units, o.transaction.units);
  w.max_units = std::max(w.max_units, o.transaction.units);
  w.max_benefit_fraction = std::max(w.max_benefit_fraction, o.benefit_fraction);
  w.has_retries = w.has_retries || o.dispatch_count > 0;
}

}  // namespace

Control::Control(Settings settings, ControlActions& actions, double now)
    : settings_(std::move(settings)),
      actions_(actions),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed % 2147483647)),
      started_(now),
      answer_margin_(kAnswerMargin + 2 * settings_.clock_resolution),
      min_target_latency_(kNever),
      second_at_(now + kPeriod),
      next_list_request_at_(kNever),
      retry_budget_(kBudgetSlots + 1) {
  double rates = 0;
  double weights = 0;
  for (const Plan& p : settings_.plans) {
    rates += std::max(p.usual_rate, p.reservation);
    weights += p.weight;
  }
  unit_share_ = weights > 0 ? rates / weights : 0;
  for (const Profile& p : settings_.profiles) {
    min_target_latency_ = std::min(min_target_latency_, p.target_latency);
    best_benefit_ = std::max(best_benefit_, p.benefit);
  }
  if (settings_.requests_endpoint_list) request_endpoint_list(now);
  serve(now);
}

// ---- What can happen ----

void Control::update_nodes(double now, UpdateKind scope, const std::vector<NodeEntry>& entries) {
  if (scope == UpdateKind::kFailed) {
    // Danger: a list out of reach, or a broken watch, which look alike. Asking again is right for both; the
    // growing pause keeps schedulers from holding a service down that has just come back.
    failed_list_requests_ = std::min(failed_list_requests_ + 1, 8);
    const double pause = std::min(kAskMost, kAskFirst * std::pow(2, failed_list_requests_ - 1));
    next_list_request_at_ = now + pause * std::uniform_real_distribution(0.75, 1.25)(random_);
    return;
  }
  if (scope != UpdateKind::kPersisted) {
    failed_list_requests_ = 0;
    next_list_request_at_ = kNever;
  }
  if (scope != UpdateKind::kDelta) {
    for (Node& node : nodes_) node.state = NodeState::kRemoved;
  }
  for (const NodeEntry& e : entries) {
    Node& node = node_at(e.node);
    if (e.index_reused) node = Node{};
    if (node.listed &&
        e.started_at > node.started_at) {  // a new process: what was learned of the old one is void
      node.samples = 0;
      node.sample_units = node.sample_time = node.sample_count = 0;
      node.success_rate = node.retry_success_rate = 1;
    }
    node.listed = true;
    node.state = e.state;
    node.zone = e.zone;
    node.shard = e.shard;
    node.started_at = e.started_at;
  }
  newest_.clear();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (node.state != NodeState::kReady || node.shard < 0) continue;
    if (newest_.size() <= at(node.shard)) newest_.resize(at(node.shard) + 1, -1);
    int& newest = newest_[at(node.shard)];
    if (newest < 0 || node.started_at > nodes_[at(newest)].started_at) newest = static_cast<int>(i);
  }
  serve(now);
}

// Danger: the new service is asked as late as the old one, which was down, had got to; and a call that is out
// there already is begun anew when the old pause is over.
void Control::discovery_moved(double now) {
  failed_list_requests_ = 0;
  request_endpoint_list(now);
}

void Control::transaction_arrived(double now, int id, const Transaction& t) {
  note_stall(now);
  if (transactions_.size() <= at(id)) transactions_.resize(at(id) + 1);
  TransactionState& o = transactions_[at(id)];
  o = TransactionState{};
  o.in_use = true;
  o.transaction = t;
  const Profile& profile = settings_.profiles[at(t.profile)];
  // Danger: a client that tells hours left has what it left unserved remembered for as long.
  o.deadline = now + std::min(t.time_left, profile.deadline);
  // The contract time of a client's repeat began with its first try. Danger: clients in a hurry bring little
  // time on a first try too; so a repeat is known by what it is about and by the same cut-off as one answered
  // before.
  o.slo_deadline = std::min(now + profile.target_latency, o.deadline);
  if (now == stalled_at_) o.slo_deadline -= std::clamp(profile.deadline - t.time_left, 0.0, stalled_for_);
  o.arrived_at = now;
  o.random_draw = std::uniform_real_distribution(0.0, 1.0)(random_);
  if (t.index_reused && volumes_.size() > at(t.volume)) volumes_[at(t.volume)] = Volume{};
  Volume& v = volume_of(now, t);
  o.slo_deadline = std::min(o.slo_deadline, now + v.client_timeouts[at(t.profile)]);
  const auto past = t.has_key ? unserved_.find(t.key) : unserved_.end();
  if (past != unserved_.end() && past->second.volume == t.volume && past->second.profile == t.profile &&
      std::abs(past->second.deadline - o.deadline) < kSameCutOff) {
    o.slo_deadline = std::min(o.slo_deadline, past->second.slo_deadline);
  }
  retry_budget_slot(now).arrivals += 1;
  v.arrived_units += t.units;
  const int node = place(now, o);
  if (node >= 0) v.node_load_units += t.units * load(nodes_[at(node)]);
  if (profile.ordered_by_key && t.has_key) key_queues_[t.key].transactions.push_back(id);
  value_per_unit(now, o);
  hold(id);
  if (now == stalled_at_) {  // all that came meanwhile is looked at together
    wake(now, now + settings_.clock_resolution);
  } else if (stuck(now, t.shard, false)) {
    consider(now, id);
    look(now);
    if (!o.queued) shard_queues_[at(t.shard + 1)].ids.pop_back();
  } else {
    serve(now, t.shard);
  }
}

void Control::dispatch_finished(double now, int id, const DispatchResult& r) {
  note_stall(now);
  TransactionState& o = transactions_[at(id)];
  // Danger: a reply that comes twice frees room and goes on as if its dispatch had ended twice. One dispatch
  // is out at a time, so only the newest one's first reply counts.
  if (o.in_flight == 0 || r.dispatch_number != o.dispatch_count - 1) return;
  Node& node = node_at(r.node);
  const bool honoured = r.outcome == Outcome::kSucceeded;
  // Danger: a tenant whose transactions bring too little time makes nodes look bad to all. That they timed
  // out or came late tells of their time, not of the node. May hide a bad node where nobody brings enough.
  const bool hurried =
      o.deadline - o.arrived_at < settings_.profiles[at(o.transaction.profile)].target_latency;
  const bool too_soon = hurried && r.outcome == Outcome::kTimedOut;
  const bool tells = now != stalled_at_ && !too_soon;
  const bool never_ran = r.outcome == Outcome::kQueueFull || r.outcome == Outcome::kConnectFailed ||
                         r.outcome == Outcome::kNotSent;
  const bool may_still_run =
      r.outcome == Outcome::kTimedOut || r.outcome == Outcome::kReset || r.outcome == Outcome::kCancelled;
  o.in_flight -= 1;
  node.in_flight -= 1;
  node.units_in_flight -= o.transaction.units;
  if (!may_still_run) node.idle_since = now;
  Volume& v = volume_of(now, o.transaction);
  if (r.outcome != Outcome::kConnectFailed && r.outcome != Outcome::kNotSent)
    v.pending_limit_units -= std::exchange(o.pending_limit_units, 0);
  if (tells && (honoured || r.outcome == Outcome::kTimedOut)) {
    // A reply that was not waited for would have come later. Danger: one very heavy transaction, or a pause,
    // looks like a long queue; so what one reply may say is capped, and good news counts more. The same for
    // one that got lost among good ones, as on a connection that fell silent; a node that hangs answers none.
    const double most = kMostJump * std::max(node.latency, kAimPart * min_target_latency_);
    const double word = honoured ? r.elapsed : std::max(kMostJump * r.elapsed, node.latency);
    const double seen = honoured || !node.last_result_bad ? std::min(word, most) : word;
    const double gain = seen < node.latency ? kFallGain : kLatencyGain;
    node.latency += gain * (seen - node.latency);
    node.queueing_delay += gain * (seen - node.best_unit_latency * o.transaction.units - node.queueing_delay);
  }
  // Danger: each of hundreds of schedulers sends a node little, and all together drown it. So where even the
  // longest pause is not enough, each bad reply doubles the gap between this scheduler's dispatches there,
  // until all together would send one in each aim; only what was sent since the last change counts. A quick
  // reply ends it. Acts in any crowd and at a slow or hung node; may hurt, for a gap, where answers get lost.
  const bool bad = r.outcome == Outcome::kTimedOut || r.outcome == Outcome::kQueueFull ||
                   (honoured && !hurried && now > o.slo_deadline);
  if (tells && (bad || honoured)) bad_part_ += kAgainGain * ((bad ? 1 : 0) - bad_part_);
  if (tells && now - r.elapsed >= node.min_spacing_changed_at) {
    const double aim = kAimPart * min_target_latency_;
    if (bad) {
      if (node.last_spacing >= kTrialEvery && (node.last_result_bad || bad_part_ > kBadPart)) {
        const double grown = std::min(std::max(kGapGrows * node.min_spacing, node.last_spacing),
                                      aim * settings_.scheduler_count);
        node.min_spacing = grown * std::uniform_real_distribution(0.75, 1.25)(random_);
        node.min_spacing_changed_at = now;
      }
    } else if (honoured && r.elapsed - node.best_unit_latency * o.transaction.units < aim) {
      node.min_spacing = 0;
    }
    if (bad || honoured) node.last_result_bad = bad;
  }
  if (honoured) {
    node.served_units += o.transaction.units;
    if (tells) {
      node.sample_time += r.elapsed;
      node.sample_units += o.transaction.units;
      node.sample_count += 1;
    }
    v.served_units += o.transaction.units;
    if (!o.answered) v.client_timeouts[at(o.transaction.profile)] *= kStayed;
  }
  if (!too_soon && r.outcome != Outcome::kNotSent) {
    node.success_rate += kAgainGain * ((honoured ? 1 : 0) - node.success_rate);
    if (r.dispatch_number > 0)
      node.retry_success_rate += kAgainGain * ((honoured ? 1 : 0) - node.retry_success_rate);
  }
  v.served_units_by_others += r.units_by_others;
  v.usage_reported = v.usage_reported || r.units_by_others > 0 || r.usage_reported;
  o.may_have_executed = o.may_have_executed || !never_ran;
  const Profile& profile = settings_.profiles[at(o.transaction.profile)];
  if (may_still_run && profile.ordered_by_key && o.transaction.has_key) {
    KeyQueue& lane = key_queues_[o.transaction.key];
    lane.quiet_until = std::max(lane.quiet_until, now + settings_.key_quiet_time);
  }
  if (r.transaction_finished || o.answered) {
    o.answered = true;
    close(id);
  } else if (r.outcome == Outcome::kNotSent || now + answer_margin_ >= std::min(o.slo_deadline, o.deadline) ||
             !may_retry(now, o, node) || !wants_retry(o, node)) {
    answer(now, id);
  } else {
    o.not_before = now + kAgainPause * o.dispatch_count;
    hold(id);
  }
  serve(now, node.shard);
}

void Control::transaction_abandoned(double now, int id) {
  TransactionState& o = transactions_[at(id)];
  if (!o.answered) {
    // Danger: clients that leave long before their cut-off and come again at once; the work sent for them is
    // lost. What many of them waited bounds the contract time of their volume, nobody else's; each honoured
    // one widens the bound, so that the few whose connections break anyway do not make it.
    double& patience = volume_of(now, o.transaction).client_timeouts[at(o.transaction.profile)];
    patience = std::min(patience, settings_.profiles[at(o.transaction.profile)].target_latency);
    patience += kLatencyGain * (now - o.arrived_at - patience);
    if (o.transaction.has_key)
      unserved_[o.transaction.key] = {o.transaction.volume, o.transaction.profile, o.deadline,
                                      o.slo_deadline};
  }
  o.answered = true;
  const bool was_held = o.queued;
  close(id);
  // The bounds on what waits there stay as wide as they are: a client may leave with thousands at once.
  if (was_held) std::erase(shard_queues_[at(o.transaction.shard + 1)].ids, id);
  serve(now, o.transaction.shard);
}

void Control::timer_fired(double now) {
  note_stall(now);
  if (now >= next_list_request_at_) request_endpoint_list(now);
  if (now >= second_at_) second_passed(now);
  while (now >= second_at_) second_at_ += kPeriod;
  serve(now);
}

// ---- The path of a transaction ----

// From top to bottom: what a held transaction must pass before it goes out.
Control::Verdict Control::decide(double now, int id) {
  TransactionState& o = transactions_[at(id)];
  const Profile& profile = settings_.profiles[at(o.transaction.profile)];
  if (now + answer_margin_ >= o.deadline) {
    answer(now, id);
    return Verdict::kGone;
  }
  if (now < o.not_before) return Verdict::kQueued;

  // Its key: one at a time, in the order of landing, rested.
  if (profile.ordered_by_key && o.transaction.has_key) {
    const KeyQueue& lane = key_queues_[o.transaction.key];
    if (lane.transactions.front() != id || (o.dispatch_count == 0 && now < lane.quiet_until))
      return Verdict::kQueued;
  }

  // Its node: ready, and for a new object the next in rotation.
  const int index = place(now, o);
  if (index < 0) return Verdict::kQueued;
  Node& node = nodes_[at(index)];
  if (o.dispatch_count > 0 && !may_retry(now, o, node)) {
    answer(now, id);
    return Verdict::kGone;
  }

  // Its volume's slice of the limit, taken once.
  Volume& v = volume_of(now, o.transaction);
  const bool limited = o.transaction.plan >= 0 && settings_.plans[at(o.transaction.plan)].limit > 0;
  if (limited && o.dispatch_count == 0 && v.limit_tokens < o.transaction.units) return Verdict::kQueued;

  // A node just back bears little.
  if (warmup_room(now, node) < o.transaction.units) return Verdict::kQueued;

  // The gear: a volume over its cap waits at a loaded node.
  if (load(node) >= kThreshold && over_gear(v) && v.gear_tokens < 0) return Verdict::kQueued;

  // Danger: a surge everywhere is over before each node's gap has grown. While many replies of all nodes are
  // bad, only a part of the work goes out, the better rather.
  if (bad_part_ > kBadPart && o.random_draw > (1 - bad_part_) / (1 - kBadPart) * o.benefit_fraction)
    return Verdict::kQueued;

  // Our bound on units out.
  if (!has_room(now, node, o)) {
    node.bound_reached = true;
    return Verdict::kNodeFull;
  }

  if (o.transaction.shard < 0) rotated(index);
  // Danger: what waits for a connection, or in a network that is cut, comes to its node seconds later, all at
  // once, while the store has filled again. So it does not fill up by what may be still to come. May hurt a
  // volume whose nodes take longer to reply than its burst lasts.
  if (limited && o.dispatch_count == 0) {
    v.limit_tokens -= o.transaction.units;
    v.pending_limit_units += o.pending_limit_units = o.transaction.units;
  }
  v.gear_tokens = std::max(v.gear_tokens - o.transaction.units, -settings_.max_transaction_units);
  if (v.reservation_tokens <= 0) v.units_beyond_reservation += o.transaction.units;
  v.reservation_tokens =
      std::max(v.reservation_tokens - o.transaction.units, -settings_.max_transaction_units);
  if (is_warming_up(now, node)) {
    node.warmup_sent.push_back({now, o.transaction.units});
    node.warmup_tokens = std::max(node.warmup_tokens - o.transaction.units, -settings_.max_transaction_units);
  }
  if (node.in_flight == 0) node.idle_since = now;
  node.last_spacing = node.last_dispatch_at > 0 ? now - node.last_dispatch_at : 0;
  node.last_dispatch_at = now;
  node.in_flight += 1;
  node.units_in_flight += o.transaction.units;
  if (o.dispatch_count > 0) retry_budget_slot(now).retries += 1;
  if (!o.may_have_executed) {  // the group as it is now: a node may hold another shard later
    o.dedup_until = now + profile.dedup_window - answer_margin_;
    o.first_zone = node.zone;
    o.first_shard = node.shard;
  }
  o.dispatch_count += 1;
  o.in_flight += 1;
  release(o);
  // Danger: queues full of work whose contract time is past, so that nothing is in time. A node drops what
  // has timed out unbegun. Acts in any crowd; as answers a little late earn something too, the fewer replies
  // are bad the longer they are waited for, up to one tightest contract time more.
  const double calm = std::max(1 - bad_part_ / kBadPart, 0.0);
  double until = std::min(o.slo_deadline + calm * min_target_latency_, o.deadline);
  // Danger: a repeat that waits for its connection leaves when nobody knows it for a repeat any more.
  if (o.may_have_executed && profile.idempotency == Idempotency::kDeduplicated)
    until = std::min(until, o.dedup_until);
  actions_.dispatch(id, index, until - now);
  return Verdict::kGone;
}

// Looks at all that is held. What one event can change is looked at at once, see serve(now, shard); what time
// or another shard's event changes, at the next sweep.
void Control::serve(double now) {
  for (std::size_t i = 0; i < shard_queues_.size(); ++i) take(now, static_cast<int>(i) - 1, true);
  look(now);
}

// After an event at a shard: what is held for it, and new objects, which may go to its node.
void Control::serve(double now, int shard) {
  take(now, -1, false);
  if (shard >= 0) take(now, shard, false);
  look(now);
}

void Control::hold(int id) {
  TransactionState& o = transactions_[at(id)];
  o.queued = true;
  o.queue_sequence = ++last_queue_sequence_;
  ++queued_count_;
  if (shard_queues_.size() <= at(o.transaction.shard + 1))
    shard_queues_.resize(at(o.transaction.shard + 1) + 1);
  ShardQueue& w = shard_queues_[at(o.transaction.shard + 1)];
  if (w.ids.empty()) w = ShardQueue{{}, kNever, kNever, kNever, 0, 0, false, false};
  w.ids.push_back(id);
  widen(w, o);
}

void Control::release(TransactionState& o) { queued_count_ -= std::exchange(o.queued, false) ? 1 : 0; }

// Danger: a long queue is looked at with every event, and this scheduler drowns in its backlog. While a
// shard's node has no room even for the least of what waits for it, none may go again, and none is late or
// near its cut-off, a look would change nothing. May hurt where the bounds on what waits are too wide: it is
// looked at. What part of its benefit each earns is taken as at the last look, but by a sweep.
bool Control::stuck(double now, int shard, bool sweep) {
  if (shard < 0 || shard_queues_.size() <= at(shard + 1)) return false;
  const ShardQueue& w = shard_queues_[at(shard + 1)];
  if (w.ids.empty() || w.has_retries || now + answer_margin_ >= w.earliest_deadline) return false;
  const int index = at(shard) < newest_.size() ? newest_[at(shard)] : -1;
  if (index < 0) return now < w.earliest_slo_deadline;
  Node& node = nodes_[at(index)];
  if (now + kWaitMargin * std::max(node.queueing_delay, 0.0) + node.best_unit_latency * w.max_units >=
      w.earliest_slo_deadline)
    return false;
  smallest_.transaction.units = w.min_units;
  smallest_.benefit_fraction = sweep ? 1 : w.max_benefit_fraction;
  if (has_room(now, node, smallest_)) return false;
  node.bound_reached = node.bound_reached || w.bound_reached;
  return true;
}

void Control::take(double now, int shard, bool sweep) {
  if (shard_queues_.size() <= at(shard + 1) || shard_queues_[at(shard + 1)].ids.empty()) return;
  if (stuck(now, shard, sweep)) return;
  taken_.push_back(shard);
  shard_queues_[at(shard + 1)].bound_reached = false;
  for (int id : shard_queues_[at(shard + 1)].ids) consider(now, id);
}

void Control::consider(double now, int id) {
  TransactionState& o = transactions_[at(id)];
  o.value_per_unit = value_per_unit(now, o);
  order_.push_back({o.value_per_unit / (kSlackUnit + std::max(o.slo_deadline - now, 0.0)), id});
}

// The most worth first; what can no longer keep its contract time is answered.
void Control::look(double now) {
  std::sort(order_.begin(), order_.end(), [&](auto& a, auto& b) {
    return a.first != b.first
               ? a.first > b.first
               : transactions_[at(a.second)].queue_sequence < transactions_[at(b.second)].queue_sequence;
  });
  ++look_;
  for (const auto& [score, id] : order_) {
    TransactionState& o = transactions_[at(id)];
    const int index = o.transaction.shard < 0 ? -1 : place(now, o);
    const bool full = index >= 0 && nodes_[at(index)].full_in_pass == look_;
    // Danger: work that can no longer keep its contract time makes the next miss theirs. While it seems late
    // only it goes to a node that was sent nothing for a while, as a trial that finds out when an old latency
    // no longer holds.
    const Node* node = index >= 0 ? &nodes_[at(index)] : nullptr;
    const double latency = node ? kWaitMargin * std::max(node->queueing_delay, 0.0) +
                                      node->best_unit_latency * o.transaction.units
                                : 0;
    const bool late = now + latency >= o.slo_deadline;
    const Verdict verdict = full || (late && (now >= o.slo_deadline || node->in_flight > 0 ||
                                              now - node->last_dispatch_at < kTrialEvery))
                                ? Verdict::kNodeFull
                                : decide(now, id);
    if (verdict == Verdict::kNodeFull && !late && index >= 0) nodes_[at(index)].full_in_pass = look_;
    if (!o.queued || (!late && now + answer_margin_ < o.deadline)) continue;
    answer(now, id);
  }
  order_.clear();
  for (const int shard : taken_) tidy(shard);
  taken_.clear();
  const double wanted =
      std::min(queued_count_ == 0 ? second_at_ : std::min(second_at_, now + kSweep), next_list_request_at_);
  wake(now, std::max(wanted, now + kSweep / 2));
}

// Takes out what is not held any more, and narrows the bounds to what is.
void Control::tidy(int shard) {
  ShardQueue& w = shard_queues_[at(shard + 1)];
  std::erase_if(w.ids, [&](int id) { return !transactions_[at(id)].queued; });
  w = ShardQueue{std::move(w.ids), kNever, kNever, kNever, 0, 0, false, w.bound_reached};
  for (int id : w.ids) widen(w, transactions_[at(id)]);
}

void Control::wake(double now, double time) {
  // Danger: a wake-up that comes a rounding early looks as if it were still to come, and none follows it.
  if (next_wake_ > now + kClockSlack && time >= next_wake_) return;
  next_wake_ = time;
  actions_.wake_at(time);
}

// Danger: this scheduler stood still, and finds all that came meanwhile at once. Its contract time has been
// running, and what replies took says nothing of their nodes. Known by a wake-up that is long overdue; may
// hurt where clients in a hurry come just then.
void Control::note_stall(double now) {
  if (now == stalled_at_ || now < next_wake_ + kStallAfter) return;
  stalled_at_ = now;
  stalled_for_ = now - next_wake_;
}

// What a dispatch now would earn for each unit.
double Control::value_per_unit(double now, TransactionState& o) {
  const Profile& profile = settings_.profiles[at(o.transaction.profile)];
  if (o.transaction.plan < 0) return profile.benefit;
  const Plan& plan = settings_.plans[at(o.transaction.plan)];
  const Volume& v = volume_of(now, o.transaction);
  const double over = v.units_beyond_reservation / std::max(plan.weight * unit_share_, 1e-9);
  const double part = std::max(settings_.spare_benefit_factor, settings_.share_benefit_factor / (1 + over));
  o.benefit_fraction = (v.reservation_tokens > 0 ? 1 : part) * profile.benefit / best_benefit_;
  return o.benefit_fraction * best_benefit_ * plan.benefit_factor;
}

// The final answer for a transaction that is not to be served. At once, never held back.
void Control::answer(double now, int id) {
  TransactionState& o = transactions_[at(id)];
  const Profile& profile = settings_.profiles[at(o.transaction.profile)];
  const bool labelled =
      profile.idempotency == Idempotency::kDeduplicated && profile.dedup_scope == DedupScope::kFleet;
  const bool harmless = (!o.may_have_executed && o.in_flight == 0) ||
                        profile.idempotency == Idempotency::kIdempotent || labelled;
  release(o);
  o.answered = true;
  if (o.transaction.has_key)
    unserved_[o.transaction.key] = {o.transaction.volume, o.transaction.profile, o.deadline, o.slo_deadline};
  if (now >= o.deadline || !harmless) {
    actions_.expire(id);
  } else {
    actions_.reject(id, std::min(settings_.max_retry_after, profile.target_latency));
  }
  close(id);
}

// Frees what a transaction holds once it is over and none of its dispatches is out.
void Control::close(int id) {
  TransactionState& o = transactions_[at(id)];
  release(o);
  if (o.in_flight > 0 || !o.in_use) return;
  if (settings_.profiles[at(o.transaction.profile)].ordered_by_key && o.transaction.has_key) {
    auto& line = key_queues_[o.transaction.key].transactions;  // nearly always its first
    line.erase(std::find(line.begin(), line.end(), id));
  }
  if (o.pending_limit_units > 0)
    volumes_[at(o.transaction.volume)].pending_limit_units -= std::exchange(o.pending_limit_units, 0);
  o.in_use = false;
  actions_.release(id);
}

// ---- Further dispatches ----

// Follows how many of the recent further dispatches at the node succeeded.
bool Control::wants_retry(const TransactionState& o, const Node& node) {
  if (o.dispatch_count >= settings_.max_dispatches) return false;
  const double chance = std::max(kAgainFloor, std::min(1.0, 2 * node.retry_success_rate));
  return std::uniform_real_distribution(0.0, 1.0)(random_) < chance;
}

bool Control::may_retry(double now, const TransactionState& o, const Node& node) {
  if (settings_.has_retry_budget) {
    double landed = 0;
    double again = 1;
    const RetryBudgetSlot* newest = &retry_budget_slot(now);
    for (const RetryBudgetSlot& b : retry_budget_) {
      again += b.retries;
      if (b.slot + kBudgetSlots > newest->slot) landed += b.arrivals;  // parts wholly inside the window
    }
    if (again > settings_.retry_budget_base + settings_.retry_budget_ratio * landed) return false;
  }
  if (!o.may_have_executed) return true;
  const Profile& profile = settings_.profiles[at(o.transaction.profile)];
  if (profile.idempotency == Idempotency::kIdempotent) return true;
  if (profile.idempotency == Idempotency::kNonIdempotent || now >= o.dedup_until) return false;
  return profile.dedup_scope == DedupScope::kFleet ||
         (profile.dedup_scope == DedupScope::kZone && o.first_zone == node.zone) ||
         (profile.dedup_scope == DedupScope::kShard && o.first_shard == node.shard);
}

RetryBudgetSlot& Control::retry_budget_slot(double now) {
  const auto slot = settings_.has_retry_budget
                        ? static_cast<std::int64_t>(now / (settings_.retry_budget_window / kBudgetSlots))
                        : 0;
  for (RetryBudgetSlot& b : retry_budget_) {
    if (b.slot + kBudgetSlots < slot) b = RetryBudgetSlot{};
  }
  RetryBudgetSlot& b = retry_budget_[static_cast<std::size_t>(slot % (kBudgetSlots + 1))];
  b.slot = slot;
  return b;
}

// ---- Nodes ----

Node& Control::node_at(int index) {
  if (nodes_.size() <= at(index)) nodes_.resize(at(index) + 1);
  return nodes_[at(index)];
}

// The node for a transaction, or -1. A shard's newest ready node; for a new object, see rotate().
int Control::place(double now, const TransactionState& o) {
  if (o.transaction.shard < 0) return rotate(now, o);
  return at(o.transaction.shard) < newest_.size() ? newest_[at(o.transaction.shard)] : -1;
}

// Weighted rotation for new objects over the ready nodes with room. The weight is what a node has been seen
// to manage: units a second of latency, times the part of its replies that were good.
int Control::rotate(double now, const TransactionState& o) {
  double known = 0;
  int heard = 0;
  for (const Node& node : nodes_) {
    if (node.state == NodeState::kReady && node.samples > 0) {
      known += 1 / unit_time(node);
      ++heard;
    }
  }
  const double usual = heard > 0 ? known / heard : 1;
  int best = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    node.rotation_weight = 0;
    if (node.state != NodeState::kReady || !has_room(now, node, o) ||
        warmup_room(now, node) < o.transaction.units) {
      continue;
    }
    node.rotation_weight =
        (node.samples > 0 ? 1 / unit_time(node) : usual) * std::max(node.success_rate, kAgainFloor);
    if (best < 0 || node.rotation_credit + node.rotation_weight >
                        nodes_[at(best)].rotation_credit + nodes_[at(best)].rotation_weight) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

// Moves the rotation on after its pick was used.
void Control::rotated(int picked) {
  double sum = 0;
  for (Node& node : nodes_) {
    node.rotation_credit += node.rotation_weight;
    sum += node.rotation_weight;
  }
  nodes_[at(picked)].rotation_credit -= sum;
}

// Recent latency for each unit: low among the means over the time of a flush pause, which thus stays out.
double Control::unit_time(const Node& node) const {
  auto sorted = node.recent_unit_latency;
  const int count = std::min(node.samples, kFlushPeriods);
  std::nth_element(sorted.begin(), sorted.begin() + count / 4, sorted.begin() + count);
  return std::max(sorted[at(count / 4)], 1e-6);
}

double Control::load(const Node& node) const {
  return node.samples > 0 ? 1 - node.best_unit_latency / unit_time(node) : 0;
}

bool Control::has_room(double now, const Node& node, const TransactionState& o) const {
  if (node.in_flight >= kMostOut) return false;
  // Danger: the least number from each of many hosts is more than a node serves in the contract time. So
  // while the recent wait is over the bound's own aim, the least falls steeply; under one, a pause follows
  // each reply. Acts on any crowd: many hosts, a slow or a small node. May hurt where a few very long
  // transactions raise the latency.
  // Danger: cheap work that goes out while none better is at hand here stands before other hosts' better
  // work. So work beyond the reservation has a part of the bound only; may hurt where no host has better.
  const double part = std::sqrt(o.benefit_fraction);
  if (now - node.last_dispatch_at < node.min_spacing / o.benefit_fraction) return false;
  const double aim = part * kAimPart * min_target_latency_;
  if (node.units_in_flight + o.transaction.units <= node.service_rate * aim) return true;
  const double least =
      part * kLeastOut * std::pow(std::min(1.0, aim / std::max(node.queueing_delay, 1e-6)), kLeastFall);
  if (least >= 1) return node.in_flight < static_cast<int>(least);
  return node.in_flight == 0 &&
         now - node.idle_since >= std::min(node.latency * (1 / least - 1), kTrialEvery);
}

bool Control::is_warming_up(double now, const Node& node) const {
  return settings_.has_slow_start && node.started_at > 0 && now < node.started_at + settings_.warmup_time;
}

// Danger: all schedulers together push a node over that has just come up. What each was served of the shard
// before adds up to no more than the node managed, and at its age it manages at least a part that grows
// evenly. So each sends that part of its own usual rate, times a part of the stated multiple; with random
// starts under one unit, so that none goes at once and the first ones do not meet. Whoever has no usual rate
// there keeps to what these leave of the safe number of units: while an even part of it would not hold the
// largest transaction, the schedulers take turns by number, one in a fall time.
double Control::warmup_room(double now, Node& node) {
  if (!is_warming_up(now, node)) return kNever;
  const double share = std::max(settings_.initial_capacity_share, 0.01);
  const double age = std::max(now - node.started_at, 0.0) / settings_.warmup_time;
  // Danger: clocks of hosts differ, and a node may seem to come up later than now. Its store begins once for
  // each process, else each look fills it by chance again.
  if (node.warmup_started_at != node.started_at) {
    node.warmup_started_at = node.started_at;
    node.warmup_refilled_at = now;
    node.warmup_tokens = std::uniform_real_distribution(0.0, 1.0)(random_);
  }
  const double usual = at(node.shard) < managed_.size() ? managed_[at(node.shard)] : 0;
  const double part = kColdPart * settings_.overload_multiple * (share + (1 - share) * age);
  node.warmup_tokens = std::min(node.warmup_tokens + (now - node.warmup_refilled_at) * part * usual,
                                settings_.max_transaction_units);
  node.warmup_refilled_at = now;
  std::erase_if(node.warmup_sent,
                [&](const SentUnits& s) { return s.at < now - settings_.overload_window * kColdSpan; });
  double sent = 0;
  for (const SentUnits& s : node.warmup_sent) sent += s.units;
  // Danger: a scheduler that is killed and back at once has spent its part and forgotten it. So for one fall
  // time it sends none of the safe number to what came up before it. May hurt a first second after a start.
  if (node.started_at <= started_ && now < started_ + settings_.overload_window * kColdSpan)
    return node.warmup_tokens;
  const int schedulers = std::max(settings_.scheduler_count, 1);
  const double turn_time = kTurnTime * settings_.overload_window;
  const double turn = std::floor(std::max(now - node.started_at, 0.0) / turn_time);
  const double aged = std::min(1.0, turn * turn_time / settings_.warmup_time);
  const double safe = (1 - kColdPart) * settings_.safe_start_units * (share + (1 - share) * aged) / share;
  if (safe / schedulers >= settings_.max_transaction_units)
    return std::max(safe / schedulers - sent, node.warmup_tokens);
  const bool mine = static_cast<int>(turn) % schedulers == settings_.scheduler_index % schedulers;
  const bool open = now - node.started_at - turn * turn_time < kTurnPart * settings_.overload_window;
  return std::max(mine && open ? safe - sent : 0, node.warmup_tokens);
}

// ---- Volumes ----

Volume& Control::volume_of(double now, const Transaction& t) {
  if (volumes_.size() <= at(t.volume)) volumes_.resize(at(t.volume) + 1);
  Volume& v = volumes_[at(t.volume)];
  const int most = std::max(settings_.scheduler_count, 1);
  const int hosts = t.volume_schedulers > 0 ? std::min(t.volume_schedulers, most) : most;
  if (!v.in_use) {
    v.in_use = true;
    v.plan = t.plan;
    v.scheduler_count = hosts;
    v.client_timeouts.assign(settings_.profiles.size(), kNever);
    // Danger: a scheduler that died has spent its slice of the limit and forgotten it. So every slice is
    // empty at this scheduler's start. May hurt in the first second of a day.
    v.refilled_at = started_;
  }
  v.scheduler_count = std::max(v.scheduler_count, hosts);
  if (v.plan < 0 || now <= v.refilled_at) return v;
  const Plan& plan = settings_.plans[at(v.plan)];
  const double passed = now - v.refilled_at;
  const double share = reported_share(v);
  v.refilled_at = now;
  v.limit_tokens = std::min(v.limit_tokens + passed * plan.limit / v.scheduler_count,
                            plan.burst / v.scheduler_count - v.pending_limit_units);
  const double reserve = plan.reservation * share;
  v.reservation_tokens =
      std::min(v.reservation_tokens + passed * reserve, reserve * kPeriod + settings_.max_transaction_units);
  const double pace = std::max(cap(v, v.gear) * share, plan.reservation);
  v.gear_tokens = std::min(v.gear_tokens + passed * pace, settings_.max_transaction_units);
  return v;
}

double Control::reported_share(const Volume& v) const {
  const double sum = v.served_units + v.served_units_by_others;
  return v.usage_reported && sum > 0 ? std::max(v.served_units / sum, 0.1 / v.scheduler_count)
                                     : 1.0 / v.scheduler_count;
}

// The cap of a gear: doubling from the larger of reservation and usual rate, up to the limit.
double Control::cap(const Volume& v, int gear) const {
  if (v.plan < 0) return kNever;
  const Plan& plan = settings_.plans[at(v.plan)];
  const double base = std::max(plan.reservation, plan.usual_rate);
  const double top = plan.limit > 0 ? plan.limit : kTopGears * base;
  return std::min(base * std::pow(2.0, gear), top);
}

// Whether a volume below its top gear asks for more than its cap, or the share of it that it was told of.
bool Control::over_gear(const Volume& v) const {
  const double now_cap = cap(v, v.gear);
  if (cap(v, v.gear + 1) <= now_cap) return false;
  return std::max(v.arrival_rate, v.arrived_units) > now_cap * (v.usage_reported ? reported_share(v) : 1);
}

// Once a period: gears move one step, latencies and rates are learned.
void Control::second_passed(double now) {
  for (Volume& v : volumes_) {
    if (!v.in_use) continue;
    v.arrival_rate = v.arrived_units / kPeriod;
    const double share = reported_share(v);
    const double seen_load = v.arrived_units > 0 ? v.node_load_units / v.arrived_units : 0;
    const double now_cap = cap(v, v.gear);
    if (v.arrival_rate > kPromoteAbove * now_cap * share && cap(v, v.gear + 1) > now_cap) {
      if (seen_load < kThreshold) v.gear += 1;
    } else if (v.gear > 0 && v.arrival_rate < cap(v, v.gear - 1) * share) {
      v.gear -= 1;
    }
    v.arrived_units = v.node_load_units = 0;
    v.served_units *= kKeep;
    v.served_units_by_others *= kKeep;
    v.units_beyond_reservation *= kKeep;
    for (double& patience : v.client_timeouts) patience *= kPatienceDrift;
  }
  for (Node& node : nodes_) {
    const double served = node.served_units / kPeriod;
    if (served > node.service_rate) {
      node.service_rate = served;
    } else if (node.bound_reached) {
      node.service_rate = kRateKeep * node.service_rate + (1 - kRateKeep) * served;
    }
    node.min_spacing *= kNewsDrift;
    node.queueing_delay *= kNewsDrift;
    if (node.state == NodeState::kReady && node.shard >= 0 && !is_warming_up(now, node)) {
      if (managed_.size() <= at(node.shard)) managed_.resize(at(node.shard) + 1);
      double& managed = managed_[at(node.shard)];
      managed = kManagedKeep * managed + (1 - kManagedKeep) * served;
    }
    node.served_units = 0;
    node.bound_reached = false;
    if (node.sample_count >= kBucketReplies) {
      node.recent_unit_latency[at(node.samples % kFlushPeriods)] = node.sample_time / node.sample_units;
      node.samples += 1;
      node.sample_time = node.sample_units = node.sample_count = 0;
      const double recent = unit_time(node);
      node.best_unit_latency =
          node.samples == 1 ? recent : std::min(node.best_unit_latency * kBestDrift, recent);
    }
  }
  std::erase_if(unserved_, [&](const auto& p) { return now >= p.second.deadline; });
  std::erase_if(key_queues_,
                [&](const auto& l) { return l.second.transactions.empty() && now >= l.second.quiet_until; });
}

void Control::request_endpoint_list(double now) {
  actions_.request_endpoint_list();
  next_list_request_at_ = now + kAskMost;
}

}  // namespace heronworks
