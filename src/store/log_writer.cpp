#include "store/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <stdexcept>

namespace heronworks::store {

LogWriter::LogWriter(Loop& loop, std::unique_ptr<Log> log, const LogWriterOptions& options,
                     LogWriterObserver& observer)
    : loop_(loop), log_(std::move(log)), options_(options), observer_(observer) {
  last_sequence_ = durable_sequence_ = reported_durable_sequence_ = log_->last_sequence();
  int pipe_ends[2];
  if (::pipe2(pipe_ends, O_CLOEXEC | O_NONBLOCK) != 0)
    throw std::runtime_error("cannot create the log writer's wake-up pipe");
  wake_pipe_read_ = Fd(pipe_ends[0]);
  wake_pipe_write_ = Fd(pipe_ends[1]);
  if (!loop_.watch(wake_pipe_read_.get(), *this))
    throw std::runtime_error("cannot watch the log writer's pipe");
  // The new thread inherits a full signal mask: signals are handled by the loop's thread.
  sigset_t all_signals;
  sigset_t previous_mask;
  sigfillset(&all_signals);
  pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
  thread_ = std::thread([this] { run_thread(); });
  pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
}

LogWriter::~LogWriter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_available_.notify_one();
  thread_.join();
  loop_.unwatch(wake_pipe_read_.get());
}

std::size_t LogWriter::pending_count() const { return pending_sizes_.size(); }

double LogWriter::queue_fill() const {
  return std::max(
      static_cast<double>(pending_sizes_.size()) / static_cast<double>(options_.max_pending_records),
      static_cast<double>(pending_bytes_) / static_cast<double>(options_.max_pending_bytes));
}

std::uint64_t LogWriter::append(std::string record) {
  if (pending_sizes_.size() >= options_.max_pending_records ||
      pending_bytes_ + record.size() > options_.max_pending_bytes)
    return 0;
  pending_bytes_ += record.size();
  pending_sizes_.push_back(record.size());
  bool queue_was_empty = false;
  {
    const std::lock_guard lock(mutex_);
    queue_was_empty = queue_.empty();
    queue_.push_back(std::move(record));
  }
  if (queue_was_empty) work_available_.notify_one();
  return ++last_sequence_;
}

bool LogWriter::request_snapshot(std::string content) {
  if (snapshot_in_progress_) return false;
  snapshot_in_progress_ = true;
  {
    const std::lock_guard lock(mutex_);
    requested_snapshot_.emplace(last_sequence_, std::move(content));
  }
  work_available_.notify_one();
  return true;
}

// Takes over what the writer thread has reported and notifies the observer.
void LogWriter::on_readable() {
  char discarded[64];
  while (::read(wake_pipe_read_.get(), discarded, sizeof discarded) > 0) {
  }
  std::uint64_t durable_sequence = 0;
  bool read_only = false;
  std::string reason;
  {
    const std::lock_guard lock(mutex_);
    durable_sequence = reported_durable_sequence_;
    read_only = reported_read_only_;
    reason = reported_reason_;
    if (std::exchange(reported_snapshot_finished_, false)) snapshot_in_progress_ = false;
  }
  if (read_only != read_only_) {
    read_only_ = read_only;
    observer_.on_read_only_changed(read_only, reason);
  }
  if (durable_sequence > durable_sequence_) {
    for (; durable_sequence_ < durable_sequence; ++durable_sequence_) {
      pending_bytes_ -= pending_sizes_.front();
      pending_sizes_.pop_front();
    }
    observer_.on_durable(durable_sequence);
  }
}

void LogWriter::run_thread() {
  std::vector<std::string> batch;  // taken from the queue
  std::size_t next_in_batch = 0;   // the first one not yet appended to the log
  bool marker_failed = false;
  const auto report = [&](auto update) {
    {
      const std::lock_guard lock(mutex_);
      update();
    }
    const char wake_byte = 1;
    // EAGAIN: the pipe is full, so the loop wakes up anyway.
    if (::write(wake_pipe_write_.get(), &wake_byte, 1) < 0 && errno != EAGAIN) return;
  };
  const auto report_read_only = [&](int error) {
    report([&] {
      reported_read_only_ = true;
      reported_reason_ = std::strerror(error);
    });
  };
  while (true) {
    std::optional<std::pair<std::uint64_t, std::string>> snapshot;
    bool stopping = false;
    if (next_in_batch == batch.size()) {
      batch.clear();
      next_in_batch = 0;
    }
    {
      std::unique_lock lock(mutex_);
      if (log_->read_only()) {
        work_available_.wait_for(lock, std::chrono::duration<double>(kResumeInterval),
                                 [&] { return stopping_; });
      } else if (batch.empty() && log_->pending_count() == 0) {
        work_available_.wait(lock, [&] { return stopping_ || !queue_.empty() || requested_snapshot_; });
      }
      stopping = stopping_;
      if (batch.empty()) batch.swap(queue_);
      if (!log_->read_only()) snapshot.swap(requested_snapshot_);
    }
    if (log_->read_only()) {
      if (stopping) return;  // the pending records were never reported as durable
      if (log_->resume() != 0) continue;
    }
    while (next_in_batch < batch.size() && log_->pending_count() < options_.max_group_records)
      log_->append(byte_view(batch[next_in_batch++]));
    if (log_->pending_count() > 0) {
      if (const int e = log_->commit(); e != 0) {
        report_read_only(e);
        continue;
      }
      report([&] {
        reported_durable_sequence_ = log_->durable_sequence();
        reported_read_only_ = false;
      });
      bool more_queued = next_in_batch < batch.size();
      if (!more_queued) {
        const std::lock_guard lock(mutex_);
        more_queued = !queue_.empty();
      }
      if (!more_queued) log_->write_durability_marker();
      if (log_->read_only()) {
        marker_failed = true;  // no record is pending, so no commit will report the end of read-only mode
        report_read_only(EIO);
      }
    } else if (!log_->read_only() && std::exchange(marker_failed, false)) {
      report([&] { reported_read_only_ = false; });
    }
    const bool had_snapshot = snapshot.has_value();
    if (snapshot) {
      if (log_->durable_sequence() < snapshot->first) {  // retried once the records it covers are durable
        const std::lock_guard lock(mutex_);
        requested_snapshot_ = std::move(snapshot);
      } else {
        // A failed snapshot leaves the log as it was.
        static_cast<void>(log_->write_snapshot(snapshot->first, byte_view(snapshot->second)));
        report([&] { reported_snapshot_finished_ = true; });
      }
    }
    if (stopping && next_in_batch == batch.size() && !had_snapshot) {
      const std::lock_guard lock(mutex_);
      if (queue_.empty()) return;
    }
  }
}

}  // namespace heronworks::store
