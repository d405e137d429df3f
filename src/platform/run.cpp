// The program's part on the platform: see run.h.
#include "platform/run.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "platform/scheduler.h"

namespace heronworks::platform {
namespace {

constexpr int kLogLines = 40;  // a second; what is beyond is counted

}  // namespace

int run() {
  // What comes before the loop listens to signals waits.
  sigset_t ours;
  sigemptyset(&ours);
  for (const int s : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&ours, s);
  sigprocmask(SIG_BLOCK, &ours, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const Variables variables = [](const char* name) { return std::getenv(name); };
  Config config;
  try {
    config = read_config(variables);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "heronworks: %s\n", fault.what());
    return 2;
  }
  const MonotonicClock clock;
  Loop loop(clock);
  const char* level = std::getenv("HERONWORKS_LOG");
  Log log("", level == nullptr ? "info" : level, kLogLines);
  Scheduler scheduler(loop, std::move(config), log);
  loop.on_signal(SIGHUP, [&] {
    try {
      scheduler.reload(read_config(variables));
    } catch (const std::exception& fault) {
      log.error(loop.now(), "reload.failed", {{"reason", fault.what()}});
    }
  });
  log.info(loop.now(), "started");
  // The three are let in once the loop listens to all of them, in its first turn.
  loop.defer([&] { sigprocmask(SIG_UNBLOCK, &ours, nullptr); });
  run_until_signal(loop, [&](auto done) { scheduler.drain(std::move(done)); });
  log.info(loop.now(), "stopped");
  return 0;
}

}  // namespace heronworks::platform
