#include "loop/arrival_clock.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>

namespace heronworks {
namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kMaxReadNanoseconds = 50'000;
constexpr int kMaxReads = 4;

std::int64_t read_clock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::int64_t{time.tv_sec} * kNanosecondsPerSecond + time.tv_nsec;
}

}  // namespace

ClockReading read_clocks() {
  ClockReading reading;
  // Repeated if the process was held up between the two.
  for (int i = 0; i < kMaxReads; ++i) {
    const std::int64_t before = read_clock(CLOCK_MONOTONIC);
    reading.wall = read_clock(CLOCK_REALTIME);
    reading.monotonic = read_clock(CLOCK_MONOTONIC);
    if (reading.monotonic - before <= kMaxReadNanoseconds) break;
  }
  return reading;
}

void ArrivalClock::observe(ClockReading now) {
  if (std::abs(now.offset() - latest_.offset()) >= kMinStepNanoseconds) {
    std::move_backward(steps_.begin(), steps_.end() - 1, steps_.end());
    steps_.front() = {latest_, now};
    step_count_ = std::min(step_count_ + 1, kMaxSteps);
  }
  latest_ = now;
}

// A time by the offset that holds now is right unless it lies before the latest step, or in the future: then
// the timestamp was taken before that step.
ArrivalTime ArrivalClock::to_monotonic(WallTime timestamp) const {
  ArrivalTime latest_possible = latest_.monotonic;
  ArrivalTime converted = timestamp - latest_.offset();
  for (std::size_t i = 0; i < step_count_; ++i) {
    const Step& step = steps_[i];
    if (converted >= step.before.monotonic && converted <= latest_possible) return converted;
    latest_possible = step.after.monotonic;
    converted = timestamp - step.before.offset();
  }
  return std::min(converted, latest_possible);
}

}  // namespace heronworks
