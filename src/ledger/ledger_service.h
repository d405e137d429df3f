// The ledger of a running scheduler. Keeps the LedgerState on the event loop and writes its records through
// the store's writer thread.
//
// Bounded by the writer's queue: accepts() turns false long before the queue is full, which leaves room for
// the entries of all transactions accepted before.
#pragma once

#include <functional>
#include <memory>

#include "ledger/backpressure_policy.h"
#include "ledger/ledger_state.h"
#include "ledger/monotonic_ledger_clock.h"
#include "store/log_writer.h"

namespace heronworks::ledger {

struct LedgerServiceOptions {
  std::string folder;  // of the ledger; the entry log is in "entries" below it
  LedgerStateOptions state;
  store::LogWriterOptions writer;
  std::uint64_t segment_bytes = std::uint64_t{64} << 20;
  std::uint32_t scheduler = 0;
  std::uint64_t new_ledger = 0;  // id for a ledger that does not exist yet
};

// Called on the event loop's thread.
class LedgerServiceOwner {
 public:
  virtual ~LedgerServiceOwner() = default;
  // All entries up to this sequence number (see LedgerService::record_usage) are durable.
  virtual void on_entries_durable(std::uint64_t sequence) = 0;
  virtual void on_ledger_read_only_changed(bool read_only, const std::string& reason) = 0;
  // An event for the operator's log.
  virtual void on_ledger_event(const char* event, const std::string& text) = 0;
};

class LedgerService final : public store::LogWriterObserver {
 public:
  // Throws std::runtime_error if the ledger is corrupt, in use or cannot be opened.
  LedgerService(Loop& loop, store::FileSystem& files, const LedgerServiceOptions& options,
                LedgerServiceOwner& owner);
  ~LedgerService() override;

  // Whether new transactions may be accepted; see BackpressurePolicy.
  bool accepts() const;
  // Queues the entry of a succeeded transaction. Returns its sequence number in the log. Throws
  // std::runtime_error if the queue is full, which accepts() prevents.
  std::uint64_t record_usage(const UsageEntry& usage);
  const BackpressurePolicy& backpressure() const { return backpressure_; }
  const LedgerState& state() const { return state_; }

 private:
  void on_durable(std::uint64_t sequence) override;
  void on_read_only_changed(bool read_only, const std::string& reason) override;
  double ledger_time();
  void on_timer();
  void write(std::vector<std::string>& records);

  // The records written in one iteration of the loop.
  struct PendingBatch {
    std::uint64_t last_sequence;
    double written_at;  // loop time
  };

  Loop& loop_;
  LedgerServiceOwner& owner_;
  BackpressurePolicy backpressure_;
  LedgerState state_;
  std::optional<MonotonicLedgerClock> clock_;
  std::unique_ptr<store::LogWriter> writer_;
  std::vector<std::string> records_;          // reused buffer
  std::deque<PendingBatch> pending_batches_;  // not durable yet, oldest first; bounded by the writer's queue
  std::uint64_t durable_sequence_ = 0;
  std::int64_t snapshot_period_ = -1;
  bool wall_clock_distrusted_ = false;
  Loop::TimerId timer_ = 0;
};

}  // namespace heronworks::ledger
