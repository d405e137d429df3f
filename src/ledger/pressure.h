// What to do while the disk is slower than the traffic, or refuses: decisions only, no clock.
//
// An answer waits for its entry, so that nothing is honoured that is not billed. It waits within the contract
// time, and no longer than leaves the client its answer in time; then it goes out ahead of its entry, which
// stays queued: a crash in between is the one way to lose an entry, and it is counted. New transactions are
// turned back before it comes to that: while the disk refuses, while more than kFull of the queue is used,
// and while the oldest entry waits for longer than kSlowDisk.
#pragma once

#include <algorithm>

namespace heronworks::ledger {

class Pressure {
 public:
  static constexpr double kFull = 0.5;       // part of the queue; the rest is for what was taken already
  static constexpr double kSlowDisk = 0.25;  // s; a disk that needs longer is in trouble
  static constexpr double kGrace = 0.05;     // s that an answer waits which is past its contract time
  static constexpr double kMargin = 0.02;    // s before the cut-off

  bool takes(bool read_only, double fill, double oldest) const {
    return !read_only && fill < kFull && oldest < kSlowDisk;
  }
  // Until when an answer that is there at `now` waits for its entry.
  double hold_until(double now, double contract_at, double cut_off_at) const {
    return std::max(now, std::min(std::max(contract_at, now + kGrace), cut_off_at - kMargin));
  }
};

}  // namespace heronworks::ledger
