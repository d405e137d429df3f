// The loop looks at its sockets at least this often, so that it knows when it stood still, and says so.
#pragma once

#include "log/log.h"
#include "loop/loop.h"

namespace heronworks {

class Beat {
 public:
  static constexpr double kEvery = 0.02;  // s; well under Loop::kStallSeconds

  Beat(Loop& loop, Log& log);
  ~Beat() { loop_.cancel(timer_); }
  Beat(const Beat&) = delete;
  Beat& operator=(const Beat&) = delete;

 private:
  void next();

  Loop& loop_;
  Log& log_;
  Loop::TimerId timer_ = 0;
  double due_;
};

// Runs the loop until SIGTERM or SIGINT came and what `drain` was told to call is called.
void run_until_told(Loop& loop, const std::function<void(std::function<void()>)>& drain);

}  // namespace heronworks
