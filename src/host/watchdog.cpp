#include "host/watchdog.h"

#include <csignal>

namespace heronworks {

Watchdog::Watchdog(Loop& loop, Log& log) : loop_(loop), log_(log), expected_at_(loop.now()) { check(); }

void Watchdog::check() {
  const double now = loop_.now();
  if (now - expected_at_ > Loop::kStallSeconds) {
    log_.warn(now, "stood_still", {{"seconds", now - expected_at_}});
  }
  expected_at_ = now + kPeriodSeconds;
  timer_ = loop_.run_at(expected_at_, [this] { check(); });
}

void run_until_signal(Loop& loop, const std::function<void(std::function<void()>)>& drain) {
  bool draining = false;
  const auto stop = [&] {
    if (!std::exchange(draining, true)) drain([&] { loop.stop(); });
  };
  loop.on_signal(SIGTERM, stop);
  loop.on_signal(SIGINT, stop);
  loop.run();
}

}  // namespace heronworks
