#include "platform/run.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "platform/scheduler.h"

namespace heronworks::platform {
namespace {

constexpr int kMaxLogLinesPerSecond = 40;
constexpr int kMaxDebugLinesPerSecond = 2000;  // one for each request, and some

}  // namespace

int run() {
  // Signals that arrive before the loop handles them stay pending.
  sigset_t handled_signals;
  sigemptyset(&handled_signals);
  for (const int s : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&handled_signals, s);
  sigprocmask(SIG_BLOCK, &handled_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const Environment environment = [](const char* name) { return std::getenv(name); };
  Config config;
  try {
    config = read_config(environment);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronworks: %s\n", error.what());
    return 2;
  }
  const MonotonicClock clock;
  Loop loop(clock);
  const char* level = std::getenv("HERONWORKS_LOG");
  const bool is_debug = level != nullptr && std::string_view(level) == "debug";
  Log log("", level == nullptr ? "info" : level, is_debug ? kMaxDebugLinesPerSecond : kMaxLogLinesPerSecond);
  Scheduler scheduler(loop, std::move(config), log);
  loop.on_signal(SIGHUP, [&] {
    try {
      scheduler.reload(read_config(environment));
    } catch (const std::exception& error) {
      log.error(loop.now(), "reload.failed", {{"reason", error.what()}});
    }
  });
  log.info(loop.now(), "started");
  // All handlers are installed by the first loop iteration.
  loop.defer([&] { sigprocmask(SIG_UNBLOCK, &handled_signals, nullptr); });
  run_until_signal(loop, [&](auto done) { scheduler.drain(std::move(done)); });
  log.info(loop.now(), "stopped");
  return 0;
}

}  // namespace heronworks::platform
