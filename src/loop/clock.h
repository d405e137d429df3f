// Time sources: the monotonic clock of the host, and a manually advanced one for tests.
#pragma once

#include <cstdint>
#include <ctime>

namespace heronworks {

// Time in seconds on the scale of CLOCK_MONOTONIC, which all processes of a host share.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual double now() const = 0;
};

class MonotonicClock final : public Clock {
 public:
  double now() const override {
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
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

// CLOCK_REALTIME minus CLOCK_MONOTONIC, in seconds. Subtracting it converts a wall-clock time, such as one
// sent by another host, to the local monotonic clock.
inline double wall_offset() {
  timespec wall{};
  timespec mono{};
  clock_gettime(CLOCK_REALTIME, &wall);
  clock_gettime(CLOCK_MONOTONIC, &mono);
  return static_cast<double>(wall.tv_sec - mono.tv_sec) +
         1e-9 * static_cast<double>(wall.tv_nsec - mono.tv_nsec);
}

}  // namespace heronworks
