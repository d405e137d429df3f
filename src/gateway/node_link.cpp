// The connection to one node: see node_link.h.
#include "gateway/node_link.h"

#include <algorithm>
#include <utility>

namespace heronworks::gateway {
namespace {

constexpr double kDrainStuck = 0.1;  // s after which bytes still here at a draining node close the connection

Outcome outcome_of(const nvme::Completion& c) {
  if (!c.arrived) return c.written ? Outcome::kReset : Outcome::kConnectFailed;
  const nvme::Status s = c.status();
  if (s.ok()) return Outcome::kSucceeded;
  if (s == nvme::status::kCommandInterrupted) return Outcome::kQueueFull;  // a node's word that it never ran
  if (s == nvme::status::kAbortRequested) return Outcome::kTimedOut;       // its time was up before it began
  return Outcome::kError;
}

}  // namespace

NodeLink::NodeLink(Loop& loop, int node, Options options, NodeLinkOwner& owner)
    : loop_(loop), node_(node), options_(std::move(options)), owner_(owner), used_at_(loop.now()) {
  idle_ = loop_.run_at(loop_.now() + options_.idle_close, [this] { check_idle(); });
}

NodeLink::~NodeLink() {
  loop_.cancel(idle_);
  loop_.cancel(stuck_);
  for (auto& [token, entry] : sent_) loop_.cancel(entry.timer);
}

void NodeLink::open() {
  if (!host_) host_ = std::make_unique<nvme::Host>(loop_, options_.host, *this);
}

void NodeLink::send(Dispatch dispatch) {
  used_at_ = loop_.now();
  draining_ = false;
  const auto token = ++last_token_;
  const double until = dispatch.until;
  Entry& entry = sent_[token];
  entry.dispatch = std::move(dispatch);
  entry.timer = loop_.run_at(until, [this, token] { timed_out(token); });
  if (waiting_.size() >= options_.most_waiting) {
    // Told later: the module is in the middle of its decision.
    loop_.cancel(entry.timer);
    entry.timer = loop_.run_at(loop_.now(), [this, token] {
      if (auto node = sent_.extract(token)) finish(std::move(node.mapped()), Outcome::kConnectFailed, {});
    });
    return;
  }
  waiting_.push_back(token);
  open();
  pump();
}

// Danger: answers that never come keep their identifiers, until none is left and the node seems unreachable
// for good; and a write that timed out before its data was asked for would run long after its key has rested,
// so it never gets it. Once half are lost, or such data was asked for, nothing new goes out, and when all
// that is awaited has ended the connection is made anew. May hold others back for one time-out.
bool NodeLink::worn_out() {
  if (!host_ || !host_->ready()) return false;
  const auto awaited = static_cast<std::ptrdiff_t>(sent_.size() - waiting_.size());
  const bool lost =
      2 * (static_cast<std::ptrdiff_t>(host_->outstanding()) - awaited) >= options_.host.io_queue_size;
  if (!lost && !host_->data_requested_after_cancel()) return false;
  if (awaited == 0) {
    renewing_ = true;
    host_->close(lost ? "too many answers never came" : "data was asked for after its time");
  }
  return true;
}

void NodeLink::pump() {
  if (worn_out()) return;
  while (host_ && host_->ready() && host_->can_submit() && host_->unsent_bytes() == 0 && !waiting_.empty()) {
    const auto token = waiting_.front();
    waiting_.pop_front();
    const auto found = sent_.find(token);
    if (found == sent_.end()) continue;
    Dispatch& d = found->second.dispatch;
    d.sqe.set_time_left(std::max(d.until - loop_.now(), 1e-6));
    host_->submit(token, d.sqe, std::move(d.out), d.in);
  }
}

void NodeLink::on_ready() {
  owner_.link_changed(node_, "node.connected", "");
  pump();
}

void NodeLink::on_completed(std::uint64_t token, nvme::Completion&& completion) {
  if (auto node = sent_.extract(token)) {
    finish(std::move(node.mapped()), outcome_of(completion), std::move(completion));
  }
  pump();
}

void NodeLink::finish(Entry entry, Outcome outcome, nvme::Completion&& completion) {
  loop_.cancel(entry.timer);
  owner_.ended(node_, entry.dispatch, outcome, std::move(completion));
}

// Out of time. What was never written is known never to have run.
void NodeLink::timed_out(std::uint64_t token) {
  const auto at = std::find(waiting_.begin(), waiting_.end(), token);
  const bool written = at == waiting_.end();
  if (!written) waiting_.erase(at);
  else if (host_) host_->cancel(token);
  auto node = sent_.extract(token);
  if (node) finish(std::move(node.mapped()), written ? Outcome::kTimedOut : Outcome::kConnectFailed, {});
  pump();
}

void NodeLink::end_waiting(Outcome outcome) {
  std::deque<std::uint64_t> tokens;
  tokens.swap(waiting_);
  for (const auto token : tokens) {
    if (auto node = sent_.extract(token)) finish(std::move(node.mapped()), outcome, {});
  }
}

void NodeLink::on_disconnected(const std::string& reason) {
  owner_.link_changed(node_, "node.lost", reason);
  host_.reset();
  if (!std::exchange(renewing_, false)) return end_waiting(Outcome::kConnectFailed);
  if (!waiting_.empty()) open();
}

void NodeLink::drain() {
  draining_ = true;
  end_waiting(Outcome::kConnectFailed);
  if (!host_ || host_->unsent_bytes() == 0) return;
  loop_.cancel(stuck_);
  stuck_ = loop_.run_at(loop_.now() + kDrainStuck, [this] {
    if (draining_ && host_ && host_->unsent_bytes() > 0)
      host_->close("bytes stuck on the way to a draining node");
  });
}

void NodeLink::restart(const std::string& reason) {
  if (host_) host_->close(reason);
}

void NodeLink::check_idle() {
  const double now = loop_.now();
  if (host_ && sent_.empty() && host_->outstanding() == 0 &&
      (draining_ || now - used_at_ >= options_.idle_close)) {
    host_.reset();
    owner_.link_changed(node_, "node.closed", draining_ ? "drained" : "idle");
  }
  idle_ = loop_.run_at(now + options_.idle_close / 4, [this] { check_idle(); });
}

}  // namespace heronworks::gateway
