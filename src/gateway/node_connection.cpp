#include "gateway/node_connection.h"

#include <algorithm>
#include <utility>

namespace heronworks::gateway {
namespace {

constexpr double kDrainWriteTimeout = 0.1;  // s for bytes not yet written when the node begins to drain

Outcome outcome_of(const nvme::Completion& c) {
  if (!c.arrived) return c.written ? Outcome::kReset : Outcome::kConnectFailed;
  const nvme::Status s = c.status();
  if (s.ok()) return Outcome::kSucceeded;
  if (s == nvme::status::kCommandInterrupted) return Outcome::kQueueFull;  // rejected without execution
  if (s == nvme::status::kAbortRequested) return Outcome::kTimedOut;  // expired at the node before execution
  return Outcome::kError;
}

}  // namespace

NodeConnection::NodeConnection(Loop& loop, int node, Options options, NodeConnectionOwner& owner)
    : loop_(loop), node_(node), options_(std::move(options)), owner_(owner), last_used_at_(loop.now()) {
  idle_timer_ = loop_.run_at(loop_.now() + options_.idle_timeout, [this] { check_idle(); });
}

NodeConnection::~NodeConnection() {
  loop_.cancel(idle_timer_);
  loop_.cancel(drain_timer_);
  for (auto& [token, pending] : pending_) loop_.cancel(pending.timer);
}

void NodeConnection::open() {
  if (!host_) host_ = std::make_unique<nvme::Host>(loop_, options_.host, *this);
}

void NodeConnection::send(Dispatch dispatch) {
  last_used_at_ = loop_.now();
  draining_ = false;
  const auto token = ++last_token_;
  const double deadline = dispatch.deadline;
  PendingDispatch& pending = pending_[token];
  pending.dispatch = std::move(dispatch);
  pending.timer = loop_.run_at(deadline, [this, token] { timed_out(token); });
  if (queue_.size() >= options_.max_queued) {
    // Reported from the loop, as the caller is in the middle of its decision.
    loop_.cancel(pending.timer);
    pending.timer = loop_.run_at(loop_.now(), [this, token] {
      if (auto node = pending_.extract(token)) finish(std::move(node.mapped()), Outcome::kConnectFailed, {});
    });
    return;
  }
  queue_.push_back(token);
  open();
  send_queued();
}

// Returns true while the connection must not take new commands, and closes it once no dispatch awaits a
// response. This guards against two failures: timed out commands that are never answered use up the command
// identifiers (the limit is half of them); and a node that requests the data of a timed out write would
// execute the write after the quiet time of its key, so it must not get the data.
bool NodeConnection::close_if_degraded() {
  if (!host_ || !host_->ready()) return false;
  const auto awaiting_response = static_cast<std::ptrdiff_t>(pending_.size() - queue_.size());
  const bool half_lost = 2 * (static_cast<std::ptrdiff_t>(host_->outstanding()) - awaiting_response) >=
                         options_.host.io_queue_size;
  if (!half_lost && !host_->data_requested_after_cancel()) return false;
  if (awaiting_response == 0) {
    reconnecting_ = true;
    host_->close(half_lost ? "half of the command identifiers are lost to commands that timed out"
                           : "the node requested data of a write that had timed out");
  }
  return true;
}

void NodeConnection::send_queued() {
  if (close_if_degraded()) return;
  while (host_ && host_->ready() && host_->can_submit() && host_->unsent_bytes() == 0 && !queue_.empty()) {
    const auto token = queue_.front();
    queue_.pop_front();
    const auto found = pending_.find(token);
    if (found == pending_.end()) continue;
    Dispatch& dispatch = found->second.dispatch;
    dispatch.sqe.set_time_left(std::max(dispatch.deadline - loop_.now(), 1e-6));
    host_->submit(token, dispatch.sqe, std::move(dispatch.write_data), dispatch.read_bytes);
  }
}

void NodeConnection::on_ready() {
  owner_.connection_changed(node_, "node.connected", "");
  send_queued();
}

void NodeConnection::on_completed(std::uint64_t token, nvme::Completion&& completion) {
  if (auto node = pending_.extract(token)) {
    finish(std::move(node.mapped()), outcome_of(completion), std::move(completion));
  }
  send_queued();
}

void NodeConnection::finish(PendingDispatch pending, Outcome outcome, nvme::Completion&& completion) {
  loop_.cancel(pending.timer);
  owner_.dispatch_ended(node_, pending.dispatch, outcome, std::move(completion));
}

void NodeConnection::timed_out(std::uint64_t token) {
  const auto position = std::find(queue_.begin(), queue_.end(), token);
  const bool written = position == queue_.end();
  if (!written) queue_.erase(position);
  else if (host_) host_->cancel(token);
  auto node = pending_.extract(token);
  if (node) finish(std::move(node.mapped()), written ? Outcome::kTimedOut : Outcome::kConnectFailed, {});
  send_queued();
}

void NodeConnection::finish_queued(Outcome outcome) {
  std::deque<std::uint64_t> tokens;
  tokens.swap(queue_);
  for (const auto token : tokens) {
    if (auto node = pending_.extract(token)) finish(std::move(node.mapped()), outcome, {});
  }
}

void NodeConnection::on_disconnected(const std::string& reason) {
  owner_.connection_changed(node_, "node.lost", reason);
  host_.reset();
  if (!std::exchange(reconnecting_, false)) return finish_queued(Outcome::kConnectFailed);
  if (!queue_.empty()) open();
}

void NodeConnection::drain() {
  draining_ = true;
  finish_queued(Outcome::kConnectFailed);
  if (!host_ || host_->unsent_bytes() == 0) return;
  loop_.cancel(drain_timer_);
  drain_timer_ = loop_.run_at(loop_.now() + kDrainWriteTimeout, [this] {
    if (draining_ && host_ && host_->unsent_bytes() > 0) host_->close("writing to a draining node timed out");
  });
}

void NodeConnection::reset(const std::string& reason) {
  if (host_) host_->close(reason);
}

void NodeConnection::check_idle() {
  const double now = loop_.now();
  if (host_ && pending_.empty() && host_->outstanding() == 0 &&
      (draining_ || now - last_used_at_ >= options_.idle_timeout)) {
    host_.reset();
    owner_.connection_changed(node_, "node.closed", draining_ ? "drained" : "idle");
  }
  idle_timer_ = loop_.run_at(now + options_.idle_timeout / 4, [this] { check_idle(); });
}

}  // namespace heronworks::gateway
