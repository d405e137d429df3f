// The event loop: see loop.h.
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

std::atomic<int> signal_pipe{-1};  // all that a signal handler may touch

void signal_came(int signal) {
  const int saved = errno;
  const auto byte = static_cast<unsigned char>(signal);
  [[maybe_unused]] const auto n = ::write(signal_pipe.load(), &byte, 1);  // full: one is on its way already
  errno = saved;
}

}  // namespace

Loop::Loop(const Clock& clock) : clock_(clock), turn_time_(clock.now()), looked_at_(turn_time_) {
  int ends[2];
  if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe for signals");
  signal_read_ = Fd(ends[0]);
  signal_write_ = Fd(ends[1]);
  polled_.push_back({signal_read_.get(), POLLIN, 0});
}

void Loop::watch(int fd, Pollable& owner) {
  slots_[fd] = {polled_.size(), &owner, ++births_};
  polled_.push_back({fd, POLLIN, 0});
}

void Loop::interest(int fd, bool read, bool write) {
  const auto slot = slots_.find(fd);
  if (slot == slots_.end()) return;
  polled_[slot->second.index].events = static_cast<short>((read ? POLLIN : 0) | (write ? POLLOUT : 0));
}

void Loop::unwatch(int fd) {
  const auto slot = slots_.find(fd);
  if (slot == slots_.end()) return;
  const auto index = slot->second.index;
  slots_.erase(slot);
  polled_[index] = polled_.back();
  polled_.pop_back();
  if (index < polled_.size()) slots_[polled_[index].fd].index = index;
}

Loop::Timer Loop::at(double time, Action action) {
  const Timer id = ++last_timer_;
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
  while (!stopped_) turn(3600);
}

void Loop::run_deferred() {
  while (!deferred_.empty()) {
    std::vector<Action> actions;
    actions.swap(deferred_);
    for (Action& a : actions) a();
  }
}

void Loop::run_timers() {
  turn_time_ = clock_.now();
  while (!heap_.empty() && heap_.front().time <= turn_time_) {
    const Timer id = heap_.front().id;
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

void Loop::turn(double most) {
  run_deferred();
  while (!heap_.empty() && !timers_.contains(heap_.front().id)) {
    std::pop_heap(heap_.begin(), heap_.end(), std::greater<>());
    heap_.pop_back();
  }
  double wait = most;
  if (!heap_.empty()) wait = std::clamp(heap_.front().time - clock_.now(), 0.0, most);
  timespec left{static_cast<time_t>(wait), static_cast<long>((wait - std::floor(wait)) * 1e9)};
  const int ready = ::ppoll(polled_.data(), polled_.size(), &left, nullptr);
  if (ready < 0) return;  // interrupted: nothing was looked at
  turn_time_ = clock_.now();
  const double last_look = std::exchange(looked_at_, turn_time_);
  if (turn_time_ - last_look > kStall) {
    if (turn_time_ > stall_seen_ + kSettle) stall_from_ = last_look;
    stall_seen_ = turn_time_;
  }
  if (ready > 0) {
    // Callbacks may watch and unwatch: go by a copy of what is ready, and check that each is still the same.
    struct Ready {
      int fd;
      short events;
      std::uint64_t birth;
    };
    std::vector<Ready> events;
    events.reserve(static_cast<std::size_t>(ready));
    for (const pollfd& p : polled_) {
      if (p.revents == 0) continue;
      const auto slot = slots_.find(p.fd);
      events.push_back({p.fd, p.revents, slot == slots_.end() ? 0 : slot->second.birth});
    }
    for (const Ready& e : events) {
      if (e.fd == signal_read_.get()) {
        unsigned char bytes[64];
        const auto n = ::read(e.fd, bytes, sizeof bytes);
        for (ssize_t i = 0; i < n; ++i) {
          if (const auto s = signals_.find(bytes[i]); s != signals_.end()) s->second();
        }
        run_deferred();
        continue;
      }
      const auto alive = [&]() -> Pollable* {
        const auto slot = slots_.find(e.fd);
        return slot != slots_.end() && slot->second.birth == e.birth ? slot->second.owner : nullptr;
      };
      if (e.events & POLLIN) {
        if (Pollable* p = alive()) p->readable();
      }
      if (e.events & POLLOUT) {
        if (Pollable* p = alive()) p->writable();
      }
      if ((e.events & (POLLERR | POLLHUP | POLLNVAL)) && !(e.events & POLLIN)) {
        if (Pollable* p = alive()) p->broken();
      }
      run_deferred();
    }
  }
  run_timers();
}

}  // namespace heronworks
