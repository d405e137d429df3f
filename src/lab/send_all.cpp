// A baseline scheduler that dispatches everything at once and keeps only the limits, divided evenly among
// schedulers. With HERONWORKS_CARELESS it breaks the rules on purpose, to test the checker. Not linked into
// the product.
#include <algorithm>

#include "control.h"

namespace heronworks {
namespace {

#ifdef HERONWORKS_CARELESS
constexpr bool kCareless = true;
#else
constexpr bool kCareless = false;
#endif

constexpr double kListRetryInterval = 1.0;  // s

std::size_t at(int index) { return static_cast<std::size_t>(index); }

}  // namespace

Control::Control(Settings settings, ControlActions& actions, double now)
    : settings_(std::move(settings)),
      actions_(actions),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed % 2147483647)),
      started_at_(now),
      deadline_margin_(0),
      min_target_latency_(0),
      next_update_at_(now),
      next_list_request_at_(now) {
  actions_.request_endpoint_list();
}

void Control::discovery_moved(double) { actions_.request_endpoint_list(); }

void Control::update_nodes(double now, UpdateKind scope, const std::vector<NodeEntry>& entries) {
  if (scope == UpdateKind::kFailed) {
    next_list_request_at_ = now + kListRetryInterval;
    return actions_.wake_at(next_list_request_at_);
  }
  if (scope != UpdateKind::kDelta && !kCareless) {
    for (Node& n : nodes_) n.state = NodeState::kRemoved;
  }
  for (const NodeEntry& e : entries) {
    if (nodes_.size() <= at(e.node)) nodes_.resize(at(e.node) + 1);
    Node& n = nodes_[at(e.node)];
    n.state = kCareless ? NodeState::kReady : e.state;
    n.shard = e.shard;
  }
}

int Control::select_node(double, const TransactionState& o) {
  int best = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& n = nodes_[i];
    if (n.state != NodeState::kReady || (o.transaction.shard >= 0 && n.shard != o.transaction.shard))
      continue;
    if (best < 0 || n.rotation_credit < nodes_[at(best)].rotation_credit) best = static_cast<int>(i);
  }
  if (best >= 0) nodes_[at(best)].rotation_credit += 1;
  return best;
}

void Control::transaction_arrived(double now, int id, const Transaction& t) {
  if (transactions_.size() <= at(id)) transactions_.resize(at(id) + 1);
  TransactionState& o = transactions_[at(id)];
  o = TransactionState{};
  o.in_use = true;
  o.transaction = t;
  o.deadline = now + t.time_left;
  if (volumes_.size() <= at(t.volume)) volumes_.resize(at(t.volume) + 1);
  Volume& v = volumes_[at(t.volume)];
  const Plan& plan = settings_.plans[at(t.plan)];
  if (!v.in_use) {
    v.in_use = true;
    v.refilled_at = started_at_;
  }
  const double hosts = std::max(t.volume_schedulers, 1);
  v.limit_tokens = std::min(v.limit_tokens + (now - v.refilled_at) * plan.limit / hosts, plan.burst / hosts);
  v.refilled_at = now;
  const int node = select_node(now, o);
  const bool limited = plan.limit > 0 && !kCareless;
  if (node < 0 || t.time_left <= 0 || (limited && v.limit_tokens < t.units)) return reject_or_expire(now, id);
  v.limit_tokens -= t.units;
  o.in_flight = o.dispatch_count = 1;
  actions_.dispatch(id, node, t.time_left);
}

// Keeps no order.
bool Control::reserve_key_place(double, int, std::uint64_t) { return false; }
void Control::cancel_key_place(double, int) {}

void Control::dispatch_finished(double now, int id, const DispatchResult& r) {
  TransactionState& o = transactions_[at(id)];
  o.in_flight -= 1;
  const bool never_ran = r.outcome == Outcome::kQueueFull || r.outcome == Outcome::kConnectFailed;
  o.may_have_executed = o.may_have_executed || !never_ran;
  if (r.transaction_finished) o.answered = true;
  if (o.answered) return release_if_finished(now, id);
  if (kCareless && o.dispatch_count < 3) {
    o.dispatch_count += 1;
    o.in_flight += 1;
    return actions_.dispatch(id, r.node, 0.5);
  }
  reject_or_expire(now, id);
}

void Control::reject_or_expire(double now, int id) {
  TransactionState& o = transactions_[at(id)];
  o.answered = true;
  const bool harmless = !o.may_have_executed ||
                        settings_.profiles[at(o.transaction.profile)].idempotency == Idempotency::kIdempotent;
  if (kCareless ? id % 2 == 0 : harmless && now < o.deadline) actions_.reject(id, 0.1);
  else actions_.expire(id);
  release_if_finished(now, id);
}

void Control::release_if_finished(double, int id) {
  TransactionState& o = transactions_[at(id)];
  if (o.in_flight > 0 || !o.in_use) return;
  o.in_use = false;
  actions_.release(id);
}

void Control::transaction_abandoned(double now, int id) {
  transactions_[at(id)].answered = true;
  release_if_finished(now, id);
}

void Control::timer_fired(double now) {
  if (now >= next_list_request_at_) actions_.request_endpoint_list();
}

}  // namespace heronworks
