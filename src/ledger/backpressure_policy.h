// Backpressure while the ledger's disk is slow or refuses writes. Stateless; all times are passed in.
//
// An answer is held until its entry is durable, so that nothing succeeds without being billed. It is held
// within the target latency, and no longer than lets it reach the client before the deadline. After that it
// is sent while its entry is still queued; a crash before the entry is durable then loses the entry, so such
// answers are counted. To avoid this, new transactions are rejected while the ledger is read-only, while the
// queue is filled to kMaxQueueFill, and while the oldest entry has waited for kMaxEntryDelay.
#pragma once

#include <algorithm>

namespace heronworks::ledger {

class BackpressurePolicy {
 public:
  static constexpr double kMaxQueueFill = 0.5;     // the rest is kept for transactions already accepted
  static constexpr double kMaxEntryDelay = 0.25;   // s
  static constexpr double kLateAnswerHold = 0.05;  // s that an answer past its target latency is held
  static constexpr double kDeadlineMargin = 0.02;  // s left for sending the answer

  // Whether new transactions are accepted. `queue_fill`: used part, 0 to 1; `oldest_delay`: s.
  bool accepts(bool read_only, double queue_fill, double oldest_delay) const {
    return !read_only && queue_fill < kMaxQueueFill && oldest_delay < kMaxEntryDelay;
  }
  // Time until which an answer that is ready at `now` is held for its entry. `target_at` and `deadline_at`
  // are the times at which the target latency and the deadline end.
  double hold_until(double now, double target_at, double deadline_at) const {
    return std::max(now, std::min(std::max(target_at, now + kLateAnswerHold), deadline_at - kDeadlineMargin));
  }
};

}  // namespace heronworks::ledger
