#include "loop/loop.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <stdexcept>

namespace heronworks {
namespace {

constexpr std::size_t kMaxEventsPerPoll = 1024;  // further events are reported by the next poll
constexpr double kMaxWaitSeconds = 3600;
constexpr double kMaxTurnSecondsPerIteration = 0.002;
// A message of the largest size is read in fewer; a backlog of 1,024 connections is accepted in fewer.
constexpr int kMaxPollsHeld = 64;
constexpr int kMaxDeliveriesPerIteration = 256;
constexpr std::size_t kMinTimerHeapToCompact = 64;
constexpr std::uint32_t kSignalGeneration = 0;  // of the signal pipe; watched descriptors start at 1

std::atomic<int> signal_pipe{-1};  // write end, for the signal handler

// The signal handler: async-signal-safe calls only.
void write_signal_to_pipe(int signal) {
  const int saved_errno = errno;
  const auto byte = static_cast<unsigned char>(signal);
  // A full pipe drops the byte; the loop wakes up for those that are in it.
  [[maybe_unused]] const auto n = ::write(signal_pipe.load(), &byte, 1);
  errno = saved_errno;
}

// The user data of an epoll event: the descriptor and the generation of its registration, which tells apart
// successive users of one descriptor number.
std::uint64_t event_key(int fd, std::uint32_t generation) {
  return std::uint64_t{generation} << 32 | static_cast<std::uint32_t>(fd);
}

}  // namespace

Loop::Loop(const Clock& clock)
    : clock_(clock),
      events_(kMaxEventsPerPoll),
      arrival_clock_(read_clocks()),
      previous_poll_arrival_time_(arrival_clock_.now()),
      iteration_time_(clock.now()),
      last_poll_time_(iteration_time_) {
  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_NONBLOCK | O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create the signal pipe");
  }
  signal_read_ = Fd(pipe_ends[0]);
  signal_write_ = Fd(pipe_ends[1]);
  epoll_ = Fd(::epoll_create1(EPOLL_CLOEXEC));
  epoll_event event{EPOLLIN, {.u64 = event_key(signal_read_.get(), kSignalGeneration)}};
  if (!epoll_ || ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, signal_read_.get(), &event) != 0) {
    throw std::runtime_error("cannot create the epoll instance");
  }
}

bool Loop::watch(int fd, PollHandler& handler, PollPriority priority) {
  if (++last_generation_ == kSignalGeneration) ++last_generation_;
  registrations_[fd] = {&handler, priority, last_generation_, EPOLLIN};
  epoll_event event{EPOLLIN, {.u64 = event_key(fd, last_generation_)}};
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) == 0) return true;
  registrations_.erase(fd);
  return false;
}

void Loop::set_interest(int fd, PollInterest interest) {
  const auto registration = registrations_.find(fd);
  if (registration == registrations_.end()) return;
  const std::uint32_t events = (interest.read ? EPOLLIN : 0U) | (interest.write ? EPOLLOUT : 0U) |
                               (interest.peer_shutdown ? EPOLLRDHUP : 0U);
  if (registration->second.events == events) return;
  registration->second.events = events;
  epoll_event event{events, {.u64 = event_key(fd, registration->second.generation)}};
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &event);
}

void Loop::unwatch(int fd) {
  if (registrations_.erase(fd) > 0) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

void Loop::request_turn(int fd) {
  const auto found = registrations_.find(fd);
  if (found == registrations_.end() || std::exchange(found->second.has_turn, true)) return;
  ready_.push(fd, found->second.generation, earliest_arrival_of_iteration());
}

// Waits with nanosecond resolution where the kernel has epoll_pwait2(2) (Linux 5.11), else with milliseconds.
int Loop::poll(double max_wait) {
  const timespec timeout{static_cast<time_t>(max_wait),
                         static_cast<long>((max_wait - std::floor(max_wait)) * 1e9)};
  const int ready =
      ::epoll_pwait2(epoll_.get(), events_.data(), static_cast<int>(events_.size()), &timeout, nullptr);
  if (ready >= 0 || errno != ENOSYS) return ready;
  return ::epoll_wait(epoll_.get(), events_.data(), static_cast<int>(events_.size()),
                      static_cast<int>(std::ceil(max_wait * 1e3)));
}

Loop::TimerId Loop::run_at(double time, Action action) {
  const TimerId id = ++last_timer_;
  timers_.emplace(id, std::move(action));
  timer_heap_.push_back({time, id});
  std::push_heap(timer_heap_.begin(), timer_heap_.end(), std::greater<>());
  compact_timer_heap();
  return id;
}

// Cancelled timers stay in the heap until they are due. Rebuilds the heap when at least three quarters of it
// are cancelled.
void Loop::compact_timer_heap() {
  if (timer_heap_.size() < kMinTimerHeapToCompact || timer_heap_.size() < 4 * timers_.size()) return;
  std::erase_if(timer_heap_, [&](const TimerEntry& entry) { return !timers_.contains(entry.id); });
  std::make_heap(timer_heap_.begin(), timer_heap_.end(), std::greater<>());
}

void Loop::on_signal(int signal, Action action) {
  signal_actions_[signal] = std::move(action);
  signal_pipe.store(signal_write_.get());
  struct sigaction handler {};
  handler.sa_handler = write_signal_to_pipe;
  handler.sa_flags = SA_RESTART;
  sigaction(signal, &handler, nullptr);
}

void Loop::run() {
  stopped_ = false;
  while (!stopped_) run_once(kMaxWaitSeconds);
}

void Loop::run_deferred() {
  while (!deferred_.empty()) {
    std::vector<Action> actions;
    actions.swap(deferred_);
    for (Action& action : actions) action();
  }
}

void Loop::run_timers() {
  iteration_time_ = clock_.now();
  while (!timer_heap_.empty() && timer_heap_.front().time <= iteration_time_) {
    const TimerId id = timer_heap_.front().id;
    std::pop_heap(timer_heap_.begin(), timer_heap_.end(), std::greater<>());
    timer_heap_.pop_back();
    const auto timer = timers_.find(id);
    if (timer == timers_.end()) continue;
    const Action action = std::move(timer->second);
    timers_.erase(timer);
    action();
    run_deferred();
  }
}

void Loop::run_once(double max_wait) {
  run_deferred();
  while (!timer_heap_.empty() && !timers_.contains(timer_heap_.front().id)) {
    std::pop_heap(timer_heap_.begin(), timer_heap_.end(), std::greater<>());
    timer_heap_.pop_back();
  }
  if (!timer_heap_.empty()) max_wait = std::clamp(timer_heap_.front().time - clock_.now(), 0.0, max_wait);
  if (!arrivals_.empty() || !ready_.empty()) max_wait = 0;
  const int ready = poll(max_wait);
  if (ready < 0) return;  // interrupted by a signal
  note_poll();
  if (delivery_ == Delivery::kIdle) deliveries_held_ = false;
  for (int i = 0; i < ready; ++i) {
    handle_event(events_[static_cast<std::size_t>(i)]);
    run_deferred();
  }
  begin_deliveries();
  run_turns();
  deliver_arrivals();
  run_timers();
}

void Loop::note_poll() {
  iteration_time_ = clock_.now();
  if (tracks_arrivals_) {
    previous_poll_arrival_time_ = arrival_clock_.now();
    arrival_clock_.observe(read_clocks());
  }
  const double previous_poll_time = std::exchange(last_poll_time_, iteration_time_);
  if (iteration_time_ - previous_poll_time <= kStallSeconds) return;
  if (iteration_time_ > stall_detected_at_ + kStallRecoverySeconds)
    last_poll_before_stall_ = previous_poll_time;
  stall_detected_at_ = iteration_time_;
}

void Loop::track_arrivals() {
  if (!std::exchange(tracks_arrivals_, true)) arrival_clock_.observe(read_clocks());
}

// A message may have arrived after the latest reading of the clocks.
ArrivalTime Loop::arrival_time(WallTime timestamp) {
  const ArrivalTime arrival = arrival_clock_.to_monotonic(timestamp);
  if (arrival < arrival_clock_.now()) return arrival;
  arrival_clock_.observe(read_clocks());
  return arrival_clock_.to_monotonic(timestamp);
}

// Clients' input is handled for kMaxTurnSecondsPerIteration; whoever has had no turn by then comes first in
// the next iteration.
void Loop::run_turns() {
  const std::uint64_t last = ready_.last_sequence();
  const double end = clock_.now() + kMaxTurnSecondsPerIteration;
  while (ready_.passed_sequence() < last && clock_.now() <= end) {
    run_turn(ready_.pop());
    run_deferred();
  }
}

void Loop::run_turn(const ReadyQueue::Entry& entry) {
  PollHandler* const handler = handler_of(entry.fd, entry.generation);
  if (handler == nullptr) return;
  registrations_.at(entry.fd).has_turn = false;
  turn_ready_since_ = entry.ready_since;
  handler->on_readable();
  turn_ready_since_ = kNoTurn;
}

void Loop::handle_signals() {
  unsigned char signals[64];
  const auto n = ::read(signal_read_.get(), signals, sizeof signals);
  for (ssize_t i = 0; i < n; ++i) {
    if (const auto found = signal_actions_.find(signals[i]); found != signal_actions_.end()) found->second();
  }
}

// Callbacks may watch and unwatch descriptors, so the registration is looked up before each of them.
PollHandler* Loop::handler_of(int fd, std::uint32_t generation) {
  const auto found = registrations_.find(fd);
  return found != registrations_.end() && found->second.generation == generation ? found->second.handler
                                                                                 : nullptr;
}

void Loop::handle_event(const epoll_event& event) {
  const int fd = static_cast<int>(event.data.u64 & 0xffffffff);
  const auto generation = static_cast<std::uint32_t>(event.data.u64 >> 32);
  if (generation == kSignalGeneration) return handle_signals();
  if (event.events & EPOLLRDHUP) {
    if (PollHandler* handler = handler_of(fd, generation)) handler->on_peer_shutdown();
  }
  if (event.events & EPOLLIN) {
    if (PollHandler* handler = handler_of(fd, generation)) {
      if (registrations_.at(fd).priority == PollPriority::kClientInput) request_turn(fd);
      else handler->on_readable();
    }
  }
  if (event.events & EPOLLOUT) {
    if (PollHandler* handler = handler_of(fd, generation)) handler->on_writable();
  }
  if ((event.events & (EPOLLERR | EPOLLHUP)) && !(event.events & EPOLLIN)) {
    if (PollHandler* handler = handler_of(fd, generation)) handler->on_hangup();
  }
}

// What waits for its delivery now arrived before this iteration's poll: everything that arrived earlier still
// is among the descriptors that are ready.
void Loop::begin_deliveries() {
  if (arrivals_.empty()) return;
  if (delivery_ == Delivery::kIdle) {
    arrival_limit_ = arrivals_.latest();
    polls_held_ = 0;
  } else if (delivery_ == Delivery::kAwaitsTurns) {
    return;
  }
  delivery_ = Delivery::kAwaitsTurns;
  last_turn_before_ = ready_.last_sequence();
}

void Loop::deliver_arrivals() {
  if (delivery_ != Delivery::kAwaitsTurns || ready_.passed_sequence() < last_turn_before_) return;
  if (std::exchange(deliveries_held_, false) && ++polls_held_ < kMaxPollsHeld) {
    delivery_ = Delivery::kAwaitsPoll;
    return;
  }
  delivery_ = Delivery::kIdle;
  for (int i = 0; i < kMaxDeliveriesPerIteration; ++i) {
    if (arrivals_.empty() || arrivals_.earliest() > arrival_limit_) return;
    const ArrivalQueue::Arrival arrival = arrivals_.pop();
    arrival.handler->on_arrival(arrival.id);
    run_deferred();
  }
}

}  // namespace heronworks
