// Writer thread of a log: takes records from the event loop, makes them durable by group commit (all records
// that arrive during one commit form the next group) and notifies the loop, which never waits for the disk.
//
// Bounded: `append` refuses records beyond the limits of LogWriterOptions. After a write error the writer is
// in read-only mode: it keeps its pending records and tries to resume the log every kResumeInterval seconds.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "loop/loop.h"
#include "store/log.h"

namespace heronworks::store {

// Called on the event loop's thread.
class LogWriterObserver {
 public:
  virtual ~LogWriterObserver() = default;
  // All records up to `sequence` are durable.
  virtual void on_durable(std::uint64_t sequence) = 0;
  // The log entered or left read-only mode. `reason` is the error that caused it.
  virtual void on_read_only_changed(bool read_only, const std::string& reason) = 0;
};

// Limits on the records that are not durable yet, and on a commit.
struct LogWriterOptions {
  std::size_t max_pending_records = 65536;
  std::size_t max_pending_bytes = std::size_t{32} << 20;
  std::size_t max_group_records = 4096;  // 1: an fsync for each record
};

class LogWriter final : private PollHandler {
 public:
  // Starts the thread. Throws std::runtime_error if no pipe can be created.
  LogWriter(Loop& loop, std::unique_ptr<Log> log, const LogWriterOptions& options,
            LogWriterObserver& observer);
  // Commits the pending records, unless the log is in read-only mode.
  ~LogWriter() override;

  // Queues a record. Returns its sequence number; 0 if the queue is full.
  std::uint64_t append(std::string record);
  // Has a snapshot of all records appended so far written once they are durable. Returns false if another
  // snapshot is in progress. A failed snapshot is not reported.
  bool request_snapshot(std::string content);

  std::uint64_t last_sequence() const { return last_sequence_; }
  std::size_t pending_count() const;  // records that the loop has not been told are durable
  double queue_fill() const;          // used part of the limits on pending records, 0 to 1
  bool read_only() const { return read_only_; }

  static constexpr double kResumeInterval = 0.25;  // s

 private:
  void on_readable() override;
  void on_writable() override {}
  void on_hangup() override {}
  void run_thread();

  // Used by the loop's thread, unless noted.
  Loop& loop_;
  std::unique_ptr<Log> log_;        // used only by the writer thread once it runs
  const LogWriterOptions options_;  // read by both threads
  LogWriterObserver& observer_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t durable_sequence_ = 0;
  std::size_t pending_bytes_ = 0;
  std::deque<std::size_t> pending_sizes_;  // bytes of each pending record, oldest first
  bool read_only_ = false;
  bool snapshot_in_progress_ = false;
  Fd wake_pipe_read_;  // wakes the loop
  Fd wake_pipe_write_;

  std::mutex mutex_;  // guards the members below, except thread_
  std::condition_variable work_available_;
  std::vector<std::string> queue_;                                           // bounded by append
  std::optional<std::pair<std::uint64_t, std::string>> requested_snapshot_;  // sequence covered, content
  // Written by the writer thread, read by the loop.
  std::uint64_t reported_durable_sequence_ = 0;
  bool reported_read_only_ = false;
  bool reported_snapshot_finished_ = false;
  std::string reported_reason_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace heronworks::store
