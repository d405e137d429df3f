// The loop's beat, and its end: see beat.h.
#include "host/beat.h"

#include <csignal>

namespace heronworks {

Beat::Beat(Loop& loop, Log& log) : loop_(loop), log_(log), due_(loop.now()) { next(); }

void Beat::next() {
  const double now = loop_.now();
  if (now - due_ > Loop::kStallSeconds) log_.warn(now, "stood_still", {{"seconds", now - due_}});
  due_ = now + kEvery;
  timer_ = loop_.run_at(due_, [this] { next(); });
}

void run_until_told(Loop& loop, const std::function<void(std::function<void()>)>& drain) {
  bool draining = false;
  const auto stop = [&] {
    if (!std::exchange(draining, true)) drain([&] { loop.stop(); });
  };
  loop.on_signal(SIGTERM, stop);
  loop.on_signal(SIGINT, stop);
  loop.run();
}

}  // namespace heronworks
