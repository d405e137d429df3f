// A single-threaded event loop: descriptor readiness by epoll(7), timers in a binary heap, and signals by the
// self-pipe trick. Callbacks run on the loop's thread and must not block.
//
// An iteration polls, handles the events of all but clients, gives clients that have sent something their
// turns for a bounded time, and then runs timers. So nodes, discovery, accepting, writing and timers never
// wait for what clients send, and clients wait for one turn of each other client at most.
#pragma once

#include <sys/epoll.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <unordered_map>
#include <vector>

#include "loop/arrival_queue.h"
#include "loop/clock.h"
#include "loop/fd.h"
#include "loop/ready_queue.h"

namespace heronworks {

// Receives the readiness events of one watched descriptor.
class PollHandler {
 public:
  virtual ~PollHandler() = default;
  virtual void on_readable() = 0;
  // Called only while write interest is set.
  virtual void on_writable() = 0;
  // An error or hang-up was reported without readability.
  virtual void on_hangup() = 0;
  // The peer ended its sending, maybe behind data that is still unread. Called before on_readable(), and
  // again in each iteration, while the descriptor is watched for that.
  virtual void on_peer_shutdown() {}
};

// When the readability of a descriptor is handled.
enum class PollPriority {
  kService,      // in the iteration that finds it
  kClientInput,  // when its turn among those of this priority has come
};

// What a descriptor is watched for besides errors.
struct PollInterest {
  bool read = true;
  bool write = false;
  bool peer_shutdown = false;  // also behind data that is not read

  bool operator==(const PollInterest&) const = default;
};

class Loop {
 public:
  using Action = std::function<void()>;
  using TimerId = std::uint64_t;  // 0 is never a valid id

  explicit Loop(const Clock& clock);

  double now() const { return clock_.now(); }
  // The time at which the current iteration polled or started to run timers. All events of one poll share it.
  double iteration_time() const { return iteration_time_; }
  // A lower bound for the time at which data read in this iteration, or turn, arrived at the host. It is the
  // time of the iteration that found the descriptor ready, unless the loop had not polled for more than
  // kStallSeconds: then it is the time of the poll before that stall. It stays there for another
  // kStallRecoverySeconds, while peers send what they could not send to a full receive buffer. Kernel receive
  // timestamps cannot replace this, since the kernel merges consecutive segments under the newest timestamp.
  // The bound holds only while some timer wakes the loop more often than every kStallSeconds.
  double earliest_arrival() const { return std::min(earliest_arrival_of_iteration(), turn_ready_since_); }
  static constexpr double kStallSeconds = 0.05;          // longer than a normal iteration takes
  static constexpr double kStallRecoverySeconds = 0.05;  // time for peers to drain their send buffers

  // Passes `id` to the handler once everything that arrived earlier has been read, in the order of `time`:
  // after all descriptors that are ready, and connections that wait to be accepted, have had a turn.
  void deliver_in_order(ArrivalTime time, ArrivalHandler& handler, std::uint64_t id) {
    arrivals_.push(time, handler, id);
  }
  // The handler gets none of what it waits for. To be called before it is destroyed.
  void cancel_deliveries(const ArrivalHandler& handler) { arrivals_.remove(handler); }
  // A message that has to be delivered in order is not complete, and more of it has arrived: what was read of
  // it arrived at `time`. What arrived later is not delivered before the descriptor has had another turn.
  void hold_deliveries(ArrivalTime time) { deliveries_held_ = deliveries_held_ || time <= arrival_limit_; }
  // The same, for connections that wait to be accepted.
  void hold_deliveries() { deliveries_held_ = true; }
  // To be called before timestamps are converted: the clocks are compared in each iteration from then on.
  void track_arrivals();
  // When a message with that receive timestamp arrived.
  ArrivalTime arrival_time(WallTime timestamp);
  // A lower bound for the arrival of what this iteration reads, for bytes without a receive timestamp.
  ArrivalTime previous_poll_arrival_time() const { return previous_poll_arrival_time_; }

  // Starts to watch for reads. Returns false if epoll refuses the descriptor, for lack of memory or by a
  // limit of the system. Must be undone by unwatch() before the descriptor is closed. May be called from
  // callbacks, as may the next three.
  bool watch(int fd, PollHandler& handler, PollPriority priority = PollPriority::kService);
  void set_interest(int fd, PollInterest interest);
  void unwatch(int fd);
  // on_readable() is called when the descriptor's turn among clients' input comes, readable or not.
  void request_turn(int fd);

  // Runs `action` once, in the first iteration at or after `time`. Timers with equal times run in the order
  // in which they were set. Cancelling a timer that has run or was cancelled before has no effect.
  TimerId run_at(double time, Action action);
  void cancel(TimerId timer) { timers_.erase(timer); }

  // Runs `action` in this iteration, after the current callback returns and after actions deferred before.
  void defer(Action action) { deferred_.push_back(std::move(action)); }

  // Runs `action` on the loop's thread whenever `signal` is delivered to the process.
  void on_signal(int signal, Action action);

  // Runs iterations until stop() is called.
  void run();
  void stop() { stopped_ = true; }
  // Runs one iteration: waits up to `max_wait` seconds for the first event or timer, then handles all that
  // are ready.
  void run_once(double max_wait);

  // Scratch space for one read. Shared by all connections, so that idle ones need no read buffer.
  std::span<std::uint8_t> scratch() { return scratch_; }

  // Timers that are set and have neither run nor been cancelled.
  std::size_t timer_count() const { return timers_.size(); }

 private:
  struct TimerEntry {
    double time;
    TimerId id;
    bool operator>(const TimerEntry& other) const {
      return time != other.time ? time > other.time : id > other.id;
    }
  };
  struct Registration {
    PollHandler* handler;
    PollPriority priority;
    std::uint32_t generation;
    std::uint32_t events;
    bool has_turn = false;  // is in ready_
  };

  double earliest_arrival_of_iteration() const {
    return iteration_time_ <= stall_detected_at_ + kStallRecoverySeconds ? last_poll_before_stall_
                                                                         : iteration_time_;
  }
  int poll(double max_wait);
  void handle_event(const epoll_event& event);
  void handle_signals();
  void note_poll();
  void run_turns();
  void run_turn(const ReadyQueue::Entry& entry);
  PollHandler* handler_of(int fd, std::uint32_t generation);
  void begin_deliveries();
  void deliver_arrivals();

  void run_deferred();
  void run_timers();
  void compact_timer_heap();

  const Clock& clock_;
  Fd epoll_;
  std::unordered_map<int, Registration> registrations_;  // by descriptor
  std::uint32_t last_generation_ = 0;
  std::vector<TimerEntry> timer_heap_;          // min-heap by time; may contain cancelled timers
  std::unordered_map<TimerId, Action> timers_;  // pending timers
  TimerId last_timer_ = 0;
  std::vector<std::uint8_t> scratch_ = std::vector<std::uint8_t>(std::size_t{64} << 10);
  std::vector<Action> deferred_;
  std::vector<epoll_event> events_;  // of one poll
  ReadyQueue ready_;                 // each descriptor at most once
  double turn_ready_since_ = kNoTurn;
  ArrivalQueue arrivals_;  // at most one for each request that the handlers hold
  // Those up to arrival_limit_ are delivered once the turns up to last_turn_before_ are over.
  ArrivalTime arrival_limit_ = 0;
  std::uint64_t last_turn_before_ = 0;
  enum class Delivery { kIdle, kAwaitsPoll, kAwaitsTurns } delivery_ = Delivery::kIdle;
  bool deliveries_held_ = false;
  int polls_held_ = 0;
  bool tracks_arrivals_ = false;
  ArrivalClock arrival_clock_;
  ArrivalTime previous_poll_arrival_time_;
  std::unordered_map<int, Action> signal_actions_;
  Fd signal_read_;
  Fd signal_write_;
  static constexpr double kNoTurn = std::numeric_limits<double>::infinity();
  double iteration_time_ = 0;
  double last_poll_time_ = 0;
  double last_poll_before_stall_ = 0;
  double stall_detected_at_ = -1e9;
  bool stopped_ = false;
};

}  // namespace heronworks
