// The ledger's own time: decisions only. It never goes back, so that a closed period stays closed.
//
// It follows the wall clock. Where that steps back, it goes on at kSlow of the true pace until the wall has
// caught up. Where that leaps ahead, it follows at once up to one period; a longer leap is not believed by a
// running process: time goes on by the monotonic clock, and `doubted` says so. A restart believes the wall.
#pragma once

#include <algorithm>

namespace heronworks::ledger {

class ClockRule {
 public:
  static constexpr double kSlow = 0.9;  // an hour back is made good in ten; pace of bills, not of waits

  // `last`: the newest time in the ledger, s since 1970; 0 for a new one.
  ClockRule(double last, double mono, double wall, double most_leap)
      : most_leap_(most_leap), now_(std::max(last, wall)), mono_(mono) {}

  double time(double mono, double wall) {
    const double passed = std::max(mono - mono_, 0.0);
    mono_ = std::max(mono_, mono);
    const double expected = now_ + passed;
    doubted_ = wall - expected > most_leap_;
    if (wall >= expected && !doubted_) now_ = wall;
    else now_ = doubted_ ? expected : std::max(now_ + kSlow * passed, wall);
    return now_;
  }
  bool doubted() const { return doubted_; }

 private:
  const double most_leap_;
  double now_;
  double mono_;
  bool doubted_ = false;
};

}  // namespace heronworks::ledger
