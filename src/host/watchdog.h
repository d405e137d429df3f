// Detects stalls of the event loop, and runs the loop until the process is asked to terminate.
#pragma once

#include "log/log.h"
#include "loop/loop.h"

namespace heronworks {

// Logs a warning when the event loop was blocked for longer than Loop::kStallSeconds. Its timer also makes
// the loop poll often enough for Loop::earliest_arrival() to be accurate.
class Watchdog {
 public:
  static constexpr double kPeriodSeconds = 0.02;  // well under Loop::kStallSeconds

  Watchdog(Loop& loop, Log& log);
  ~Watchdog() { loop_.cancel(timer_); }
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

 private:
  void check();

  Loop& loop_;
  Log& log_;
  Loop::TimerId timer_ = 0;
  double expected_at_;  // when the next check is due
};

// Runs the loop. The first SIGTERM or SIGINT calls `drain`, which must call its argument once it is complete;
// this function returns after that call.
void run_until_signal(Loop& loop, const std::function<void(std::function<void()>)>& drain);

}  // namespace heronworks
