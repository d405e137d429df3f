#include "core_share.h"

#include <unistd.h>

#include <csignal>

namespace heronworks::faults {
namespace {

void sleep_for(double seconds) { ::usleep(static_cast<useconds_t>(1e6 * seconds)); }

}  // namespace

CoreShare::CoreShare(pid_t process, double share) : process_(process) {
  if (share >= 1) return;
  helper_ = ChildProcess::run([process, share] {
    while (true) {
      if (::kill(process, SIGCONT) != 0) return 0;
      sleep_for(share * kPeriodSeconds);
      ::kill(process, SIGSTOP);
      sleep_for((1 - share) * kPeriodSeconds);
    }
  });
}

CoreShare::~CoreShare() {
  if (helper_.pid() == 0) return;
  helper_.kill_and_wait();
  ::kill(process_, SIGCONT);
}

}  // namespace heronworks::faults
