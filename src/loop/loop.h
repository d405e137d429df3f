// One thread, epoll(7), timers from a heap, signals through a pipe. Everything else hangs from it by small
// interfaces and never blocks.
#pragma once

#include <sys/epoll.h>

#include <cstdint>
#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

#include "loop/clock.h"
#include "loop/fd.h"

namespace heronworks {

// What a descriptor's owner is told. `writable` comes only while it was asked for.
class PollHandler {
 public:
  virtual ~PollHandler() = default;
  virtual void on_readable() = 0;
  virtual void on_writable() = 0;
  virtual void on_hangup() = 0;  // error or hang-up, once nothing is left to read
};

class Loop {
 public:
  using Action = std::function<void()>;
  using TimerId = std::uint64_t;  // 0 is none

  explicit Loop(const Clock& clock);

  double now() const { return clock_.now(); }
  // When this turn found what there is to do: one time for all that came together.
  double iteration_time() const { return iteration_time_; }
  // The earliest time at which what is read in this turn can have come: this turn, unless the loop had not
  // looked for longer than a stall; then its last look. For a little while after a stall the same, since what
  // a full receive buffer kept back in the sender's comes only now. The kernel's marks do not tell, as it
  // joins what came in a row under the newest mark. Sure only while some timer wakes the loop more often than
  // kStallSeconds.
  double earliest_arrival() const {
    return iteration_time_ <= stall_seen_ + kStallRecoverySeconds ? stall_from_ : iteration_time_;
  }
  static constexpr double kStallSeconds = 0.05;          // s; longer than a turn ever takes
  static constexpr double kStallRecoverySeconds = 0.05;  // s in which a sender's buffers empty once they can

  // The owner must call `unwatch` before the descriptor closes. Safe inside callbacks.
  void watch(int fd, PollHandler& owner);
  void set_interest(int fd, bool read, bool write);
  void unwatch(int fd);

  // Runs once, at the first turn at or after `time`. A cancelled timer never runs; cancelling an old one
  // does nothing. Timers of one time run in the order in which they were set.
  TimerId run_at(double time, Action action);
  void cancel(TimerId timer) { timers_.erase(timer); }

  // Runs later in this turn, after the callback that asked; in the order of asking.
  void defer(Action action) { deferred_.push_back(std::move(action)); }

  // `action` runs in the loop after the signal came.
  void on_signal(int signal, Action action);

  void run();
  void stop() { stopped_ = true; }
  // One turn: waits up to `most` seconds for the first event or timer.
  void run_once(double most);

  // Room to read into for whoever reads now, so that connections that are idle hold none.
  std::span<std::uint8_t> scratch() { return scratch_; }

  std::size_t timer_count() const { return timers_.size(); }

 private:
  struct Due {
    double time;
    TimerId id;
    bool operator>(const Due& o) const { return time != o.time ? time > o.time : id > o.id; }
  };
  struct Slot {
    PollHandler* owner;
    std::uint32_t birth;
    std::uint32_t events;
  };

  int wait(double most, std::span<epoll_event> events);

  void run_deferred();
  void run_timers();
  void drop_stale_timers();

  const Clock& clock_;
  Fd epoll_;
  std::unordered_map<int, Slot> slots_;  // by descriptor; emptied by unwatch
  std::uint32_t births_ = 0;
  std::vector<Due> heap_;                       // may hold cancelled ones; rebuilt when they are the most
  std::unordered_map<TimerId, Action> timers_;  // emptied as they run or are cancelled
  TimerId last_timer_ = 0;
  std::vector<std::uint8_t> scratch_ = std::vector<std::uint8_t>(std::size_t{64} << 10);
  std::vector<Action> deferred_;  // emptied each turn
  std::unordered_map<int, Action> signals_;
  Fd signal_read_;
  Fd signal_write_;
  double iteration_time_ = 0;
  double looked_at_ = 0;  // when the newest turn looked
  double stall_from_ = 0;
  double stall_seen_ = -1e9;
  bool stopped_ = false;
};

}  // namespace heronworks
