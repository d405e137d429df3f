// The log's thread: see writer.h.
#include "store/writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <stdexcept>

namespace heronworks::store {

Writer::Writer(Loop& loop, std::unique_ptr<Log> log, const WriterOptions& options, WriterOwner& owner)
    : loop_(loop), log_(std::move(log)), options_(options), owner_(owner) {
  last_ = durable_ = told_durable_ = log_->last();
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) throw std::runtime_error("no pipe");
  wake_read_ = Fd(ends[0]);
  wake_write_ = Fd(ends[1]);
  loop_.watch(wake_read_.get(), *this);
  // Signals are the loop's.
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  thread_ = std::thread([this] { work(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

Writer::~Writer() {
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  wanted_.notify_one();
  thread_.join();
  loop_.unwatch(wake_read_.get());
}

std::size_t Writer::held() const { return sizes_.size(); }

double Writer::fill() const {
  return std::max(static_cast<double>(sizes_.size()) / static_cast<double>(options_.most_records),
                  static_cast<double>(bytes_) / static_cast<double>(options_.most_bytes));
}

std::uint64_t Writer::append(std::string record) {
  if (sizes_.size() >= options_.most_records || bytes_ + record.size() > options_.most_bytes) return 0;
  bytes_ += record.size();
  sizes_.push_back(record.size());
  bool first = false;
  {
    const std::lock_guard lock(mutex_);
    first = queue_.empty();
    queue_.push_back(std::move(record));
  }
  if (first) wanted_.notify_one();
  return ++last_;
}

bool Writer::snapshot(std::string content) {
  if (snapshot_out_) return false;
  snapshot_out_ = true;
  {
    const std::lock_guard lock(mutex_);
    snapshot_.emplace(last_, std::move(content));
  }
  wanted_.notify_one();
  return true;
}

// In the loop: what the thread has done since.
void Writer::on_readable() {
  char drop[64];
  while (::read(wake_read_.get(), drop, sizeof drop) > 0) {
  }
  std::uint64_t upto = 0;
  bool read_only = false;
  std::string reason;
  {
    const std::lock_guard lock(mutex_);
    upto = told_durable_;
    read_only = told_read_only_;
    reason = told_reason_;
    if (std::exchange(told_snapshot_, false)) snapshot_out_ = false;
  }
  if (read_only != read_only_) {
    read_only_ = read_only;
    owner_.writer_state(read_only, reason);
  }
  if (upto > durable_) {
    for (; durable_ < upto; ++durable_) {
      bytes_ -= sizes_.front();
      sizes_.pop_front();
    }
    owner_.durable(upto);
  }
}

void Writer::work() {
  std::vector<std::string> taken;
  std::size_t next = 0;  // of taken
  bool marked_badly = false;
  const auto tell = [&](auto change) {
    {
      const std::lock_guard lock(mutex_);
      change();
    }
    const char one = 1;
    // A full pipe wakes the loop as well.
    if (::write(wake_write_.get(), &one, 1) < 0 && errno != EAGAIN) return;
  };
  const auto failed = [&](int code) {
    tell([&] {
      told_read_only_ = true;
      told_reason_ = std::strerror(code);
    });
  };
  while (true) {
    std::optional<std::pair<std::uint64_t, std::string>> snapshot;
    bool ending = false;
    if (next == taken.size()) {
      taken.clear();
      next = 0;
    }
    {
      std::unique_lock lock(mutex_);
      if (log_->read_only()) {
        wanted_.wait_for(lock, std::chrono::duration<double>(kRetry), [&] { return ending_; });
      } else if (taken.empty() && log_->pending() == 0) {
        wanted_.wait(lock, [&] { return ending_ || !queue_.empty() || snapshot_; });
      }
      ending = ending_;
      if (taken.empty()) taken.swap(queue_);
      if (!log_->read_only()) snapshot.swap(snapshot_);
    }
    if (log_->read_only()) {
      if (ending) return;  // what is held was never said to be durable
      if (log_->mend() != 0) continue;
    }
    while (next < taken.size() && log_->pending() < options_.group) log_->append(view(taken[next++]));
    if (log_->pending() > 0) {
      if (const int e = log_->commit(); e != 0) {
        failed(e);
        continue;
      }
      tell([&] {
        told_durable_ = log_->durable();
        told_read_only_ = false;
      });
      bool more = next < taken.size();
      if (!more) {
        const std::lock_guard lock(mutex_);
        more = !queue_.empty();
      }
      if (!more) log_->mark();
      if (log_->read_only()) {
        marked_badly = true;  // nothing waits for it, so no commit will say that it is over
        failed(EIO);
      }
    } else if (!log_->read_only() && std::exchange(marked_badly, false)) {
      tell([&] { told_read_only_ = false; });
    }
    if (snapshot) {
      if (log_->durable() < snapshot->first) {  // not yet: what it covers comes first
        const std::lock_guard lock(mutex_);
        snapshot_ = std::move(snapshot);
      } else {
        // One that fails is only not there; the log is as it was.
        static_cast<void>(log_->snapshot(snapshot->first, view(snapshot->second)));
        tell([&] { told_snapshot_ = true; });
      }
    }
    if (ending && next == taken.size() && !snapshot) {
      const std::lock_guard lock(mutex_);
      if (queue_.empty()) return;
    }
  }
}

}  // namespace heronworks::store
