// The event loop: see loop.h.
#include "loop/loop.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <stdexcept>

namespace heronworks {
namespace {

constexpr std::size_t kAtOnce = 256;  // events of one look; what is beyond comes with the next

std::atomic<int> signal_pipe{-1};  // all that a signal handler may touch

void signal_came(int signal) {
  const int saved = errno;
  const auto byte = static_cast<unsigned char>(signal);
  [[maybe_unused]] const auto n = ::write(signal_pipe.load(), &byte, 1);  // full: one is on its way already
  errno = saved;
}

// What an event carries: the descriptor, and which of those that had this number was meant.
std::uint64_t key(int fd, std::uint32_t birth) {
  return std::uint64_t{birth} << 32 | static_cast<std::uint32_t>(fd);
}

}  // namespace

Loop::Loop(const Clock& clock) : clock_(clock), iteration_time_(clock.now()), looked_at_(iteration_time_) {
  int ends[2];
  if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
  signal_read_ = Fd(ends[0]);
  signal_write_ = Fd(ends[1]);
  epoll_ = Fd(::epoll_create1(EPOLL_CLOEXEC));
  epoll_event event{EPOLLIN, {.u64 = key(signal_read_.get(), 0)}};
  if (!epoll_ || ::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, signal_read_.get(), &event) != 0) {
    throw std::runtime_error("no epoll");
  }
}

void Loop::watch(int fd, PollHandler& owner) {
  if (++births_ == 0) ++births_;  // 0 is the signals'
  slots_[fd] = {&owner, births_, EPOLLIN};
  epoll_event event{EPOLLIN, {.u64 = key(fd, births_)}};
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) != 0)
    throw std::runtime_error("epoll takes no more");
}

void Loop::set_interest(int fd, bool read, bool write) {
  const auto slot = slots_.find(fd);
  if (slot == slots_.end()) return;
  const std::uint32_t events = (read ? EPOLLIN : 0U) | (write ? EPOLLOUT : 0U);
  if (slot->second.events == events) return;
  slot->second.events = events;
  epoll_event event{events, {.u64 = key(fd, slot->second.birth)}};
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_MOD, fd, &event);
}

void Loop::unwatch(int fd) {
  if (slots_.erase(fd) > 0) ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

// Up to the nanosecond where the kernel can (5.11), else up to the millisecond.
int Loop::wait(double most, std::span<epoll_event> events) {
  const timespec left{static_cast<time_t>(most), static_cast<long>((most - std::floor(most)) * 1e9)};
  const int ready =
      ::epoll_pwait2(epoll_.get(), events.data(), static_cast<int>(events.size()), &left, nullptr);
  if (ready >= 0 || errno != ENOSYS) return ready;
  return ::epoll_wait(epoll_.get(), events.data(), static_cast<int>(events.size()),
                      static_cast<int>(std::ceil(most * 1e3)));
}

Loop::TimerId Loop::run_at(double time, Action action) {
  const TimerId id = ++last_timer_;
  timers_.emplace(id, std::move(action));
  heap_.push_back({time, id});
  std::push_heap(heap_.begin(), heap_.end(), std::greater<>());
  drop_stale_timers();
  return id;
}

// Cancelled timers stay in the heap until their time; here they are kept under three quarters of it.
void Loop::drop_stale_timers() {
  if (heap_.size() < 64 || heap_.size() < 4 * timers_.size()) return;
  std::erase_if(heap_, [&](const Due& d) { return !timers_.contains(d.id); });
  std::make_heap(heap_.begin(), heap_.end(), std::greater<>());
}

void Loop::on_signal(int signal, Action action) {
  signals_[signal] = std::move(action);
  signal_pipe.store(signal_write_.get());
  struct sigaction sa {};
  sa.sa_handler = signal_came;
  sa.sa_flags = SA_RESTART;
  sigaction(signal, &sa, nullptr);
}

void Loop::run() {
  stopped_ = false;
  while (!stopped_) run_once(3600);
}

void Loop::run_deferred() {
  while (!deferred_.empty()) {
    std::vector<Action> actions;
    actions.swap(deferred_);
    for (Action& a : actions) a();
  }
}

void Loop::run_timers() {
  iteration_time_ = clock_.now();
  while (!heap_.empty() && heap_.front().time <= iteration_time_) {
    const TimerId id = heap_.front().id;
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    heap_.pop_back();
    const auto timer = timers_.find(id);
    if (timer == timers_.end()) continue;
    const Action action = std::move(timer->second);
    timers_.erase(timer);
    action();
    run_deferred();
  }
}

void Loop::run_once(double most) {
  run_deferred();
  while (!heap_.empty() && !timers_.contains(heap_.front().id)) {
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    heap_.pop_back();
  }
  if (!heap_.empty()) most = std::clamp(heap_.front().time - clock_.now(), 0.0, most);
  std::array<epoll_event, kAtOnce> events;
  const int ready = wait(most, events);
  if (ready < 0) return;  // interrupted: nothing was looked at
  iteration_time_ = clock_.now();
  const double last_look = std::exchange(looked_at_, iteration_time_);
  if (iteration_time_ - last_look > kStallSeconds) {
    if (iteration_time_ > stall_seen_ + kStallRecoverySeconds) stall_from_ = last_look;
    stall_seen_ = iteration_time_;
  }
  for (const epoll_event& e : std::span(events).first(static_cast<std::size_t>(ready))) {
    const int fd = static_cast<int>(e.data.u64 & 0xffffffff);
    const auto birth = static_cast<std::uint32_t>(e.data.u64 >> 32);
    if (birth == 0) {
      unsigned char bytes[64];
      const auto n = ::read(fd, bytes, sizeof bytes);
      for (ssize_t i = 0; i < n; ++i) {
        if (const auto s = signals_.find(bytes[i]); s != signals_.end()) s->second();
      }
      run_deferred();
      continue;
    }
    // Callbacks may watch and unwatch: each time it is checked that the owner is still the same.
    const auto alive = [&]() -> PollHandler* {
      const auto slot = slots_.find(fd);
      return slot != slots_.end() && slot->second.birth == birth ? slot->second.owner : nullptr;
    };
    if (e.events & EPOLLIN) {
      if (PollHandler* p = alive()) p->on_readable();
    }
    if (e.events & EPOLLOUT) {
      if (PollHandler* p = alive()) p->on_writable();
    }
    if ((e.events & (EPOLLERR | EPOLLHUP)) && !(e.events & EPOLLIN)) {
      if (PollHandler* p = alive()) p->on_hangup();
    }
    run_deferred();
  }
  run_timers();
}

}  // namespace heronworks
