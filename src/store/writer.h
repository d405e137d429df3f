// A log's thread: takes records from the loop, makes them durable in groups (all that came while the last
// group was on its way to the disk), and tells the loop. The loop never waits for the disk.
//
// Bounded: past `most_records` or `most_bytes` not yet durable, `append` refuses. After a failure the writer
// is read-only, keeps what it holds, and tries to mend the log every kRetry seconds.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "loop/loop.h"
#include "store/log.h"

namespace heronworks::store {

class WriterOwner {
 public:
  virtual ~WriterOwner() = default;
  // In the loop. All records up to `sequence` are durable.
  virtual void durable(std::uint64_t sequence) = 0;
  // The log went read-only, or takes records again.
  virtual void writer_state(bool read_only, const std::string& reason) = 0;
};

struct WriterOptions {
  std::size_t most_records = 65536;
  std::size_t most_bytes = std::size_t{32} << 20;
  std::size_t group = 4096;  // records of one group at most; 1: a sync for each record
};

class Writer final : private PollHandler {
 public:
  Writer(Loop& loop, std::unique_ptr<Log> log, const WriterOptions& options, WriterOwner& owner);
  // Writes what it holds, unless the log is read-only.
  ~Writer() override;

  // The record's sequence number; 0 if there is no room.
  std::uint64_t append(std::string record);
  // A snapshot of all that was appended so far, once that is durable. False while one is on its way.
  bool snapshot(std::string content);

  std::uint64_t last() const { return last_; }
  std::size_t held() const;  // records not yet durable, as of the loop
  double fill() const;       // part of its bounds that is used
  bool read_only() const { return read_only_; }

  static constexpr double kRetry = 0.25;  // s

 private:
  void on_readable() override;
  void on_writable() override {}
  void on_hangup() override {}
  void work();

  Loop& loop_;
  std::unique_ptr<Log> log_;  // the thread's
  const WriterOptions options_;
  WriterOwner& owner_;
  std::uint64_t last_ = 0;
  std::uint64_t durable_ = 0;
  std::size_t bytes_ = 0;          // not yet durable
  std::deque<std::size_t> sizes_;  // of those, in order
  bool read_only_ = false;
  bool snapshot_out_ = false;
  Fd wake_read_;
  Fd wake_write_;

  std::mutex mutex_;  // for what follows
  std::condition_variable wanted_;
  std::vector<std::string> queue_;  // bounded by append
  std::optional<std::pair<std::uint64_t, std::string>> snapshot_;
  std::uint64_t told_durable_ = 0;
  bool told_read_only_ = false;
  bool told_snapshot_ = false;
  std::string told_reason_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace heronworks::store
