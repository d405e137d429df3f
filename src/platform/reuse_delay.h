// Decides how long a connection to a node stays idle after a reply before it carries the next request. Free
// of I/O and clocks.
//
// HTTP/1.1 replies carry no request id (RFC 9112, 9.2). A node may send a duplicate of a reply some
// milliseconds after the reply; on a connection that carries another request by then, it would be taken for
// that request's reply. On an idle connection it is recognised as data that belongs to no request. So
// connections stay idle for longer than some milliseconds, and once duplicates are seen, for several times as
// long as they take.
#pragma once

#include <algorithm>

namespace heronworks::platform {

class ReuseDelay {
 public:
  static constexpr double kMinSeconds = 0.025;
  static constexpr double kMaxSeconds = 1.0;
  static constexpr double kLatenessFactor = 4;   // the delay over the latest duplicate's lateness
  static constexpr double kMemorySeconds = 300;  // for which a duplicate's lateness counts

  double seconds(double now) const { return now < remembered_until_ ? extended_ : kMinSeconds; }

  // Data arrived at `now` on a connection that had been idle for `idle_seconds` since its last reply. What
  // arrives too late to be covered is no duplicate, but something that the node sends before it closes.
  void on_late_data(double now, double idle_seconds) {
    const double needed = kLatenessFactor * idle_seconds;
    if (needed <= kMinSeconds || needed > kMaxSeconds) return;
    extended_ = std::max(needed, seconds(now));
    remembered_until_ = now + kMemorySeconds;
  }

 private:
  double extended_ = kMinSeconds;  // in force until remembered_until_
  double remembered_until_ = 0;
};

}  // namespace heronworks::platform
