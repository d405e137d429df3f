// Gives a process a share of a core, by stopping and continuing it in turn.
#pragma once

#include <sys/types.h>

#include "child_process.h"

namespace heronworks::faults {

// While it exists, the process runs for `share` of each period and is stopped for the rest. A share of 1 or
// more has no effect. The process is left running. A helper process of its own sends the signals, so that the
// share does not depend on what the caller does meanwhile.
class CoreShare {
 public:
  static constexpr double kPeriodSeconds = 0.04;

  CoreShare(pid_t process, double share);
  ~CoreShare();
  CoreShare(const CoreShare&) = delete;
  CoreShare& operator=(const CoreShare&) = delete;

 private:
  pid_t process_;
  ChildProcess helper_;
};

}  // namespace heronworks::faults
