// Converts the kernel's receive timestamps, which are on the wall clock, to the monotonic clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace heronworks {

// Nanoseconds of CLOCK_MONOTONIC.
using ArrivalTime = std::int64_t;
// Nanoseconds of CLOCK_REALTIME, as in receive timestamps (socket(7), SO_TIMESTAMPNS).
using WallTime = std::int64_t;

// Both clocks, read at the same time.
struct ClockReading {
  ArrivalTime monotonic = 0;
  WallTime wall = 0;

  WallTime offset() const { return wall - monotonic; }
};

// Reads both clocks.
ClockReading read_clocks();

// The wall clock may be stepped at any time, by an hour as well. The converter is shown both clocks before
// and after the arrivals that it converts, so that it knows the offset on either side of each step.
class ArrivalClock {
 public:
  explicit ArrivalClock(ClockReading now) : latest_(now) {}

  // To be called often, with readings in ascending order of the monotonic clock.
  void observe(ClockReading now);
  // When a message with that receive timestamp arrived: no later than the latest reading.
  ArrivalTime to_monotonic(WallTime timestamp) const;
  ArrivalTime now() const { return latest_.monotonic; }

 private:
  // The last reading before a step and the first one after it.
  struct Step {
    ClockReading before;
    ClockReading after;
  };
  // A larger change of the offset between two readings is a step. Adjustments of the clock's rate are far
  // below, and so is the time between reading the one and the other clock.
  static constexpr WallTime kMinStepNanoseconds = 1'000'000;
  static constexpr std::size_t kMaxSteps = 8;  // older ones are forgotten

  ClockReading latest_;
  std::array<Step, kMaxSteps> steps_{};  // the latest first
  std::size_t step_count_ = 0;
};

}  // namespace heronworks
