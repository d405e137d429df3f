// The ledger's time: the wall clock made monotonic, so that nothing is added to a sealed period. Takes both
// clocks as arguments.
//
// After the wall clock steps back, ledger time advances at kSlewRate of the monotonic clock until the wall
// clock has caught up. A forward jump of up to `max_jump` is followed at once. A larger one is not trusted:
// ledger time advances by the monotonic clock and wall_clock_distrusted() is true until the wall clock is
// back in range. A new instance (a process restart) trusts the wall clock again.
#pragma once

#include <algorithm>

namespace heronworks::ledger {

class MonotonicLedgerClock {
 public:
  static constexpr double kSlewRate = 0.9;  // ledger seconds a second

  // `last`: the newest time in the ledger, s since 1970; 0 for a new one. `max_jump`: s.
  MonotonicLedgerClock(double last, double mono, double wall, double max_jump)
      : max_jump_(max_jump), now_(std::max(last, wall)), mono_(mono) {}

  // Ledger time in s since 1970, for readings of the monotonic and the wall clock in s.
  double time(double mono, double wall) {
    const double elapsed = std::max(mono - mono_, 0.0);
    mono_ = std::max(mono_, mono);
    const double expected = now_ + elapsed;
    wall_clock_distrusted_ = wall - expected > max_jump_;
    if (wall >= expected && !wall_clock_distrusted_) now_ = wall;
    else now_ = wall_clock_distrusted_ ? expected : std::max(now_ + kSlewRate * elapsed, wall);
    return now_;
  }
  bool wall_clock_distrusted() const { return wall_clock_distrusted_; }

 private:
  const double max_jump_;  // s
  double now_;
  double mono_;
  bool wall_clock_distrusted_ = false;
};

}  // namespace heronworks::ledger
