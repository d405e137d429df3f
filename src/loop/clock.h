// Where the time comes from: the machine's monotonic clock, or a hand-turned one for tests.
#pragma once

#include <ctime>

namespace heronworks {

// Seconds of CLOCK_MONOTONIC; all processes of one machine agree on it.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual double now() const = 0;
};

class MonotonicClock final : public Clock {
 public:
  double now() const override {
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
  }
};

class ManualClock final : public Clock {
 public:
  explicit ManualClock(double start = 0) : now_(start) {}
  double now() const override { return now_; }
  void advance(double seconds) { now_ += seconds; }

 private:
  double now_;
};

// Seconds of CLOCK_REALTIME less seconds of CLOCK_MONOTONIC: turns a time of another machine into ours.
inline double wall_offset() {
  timespec wall{};
  timespec mono{};
  clock_gettime(CLOCK_REALTIME, &wall);
  clock_gettime(CLOCK_MONOTONIC, &mono);
  return static_cast<double>(wall.tv_sec - mono.tv_sec) +
         1e-9 * static_cast<double>(wall.tv_nsec - mono.tv_nsec);
}

}  // namespace heronworks
