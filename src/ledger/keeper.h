// The ledger of a running scheduler: the book on the loop, its records on the store's thread.
//
// Bounded: the writer's queue. `takes` says when no new transaction may be taken, long before that is full;
// entries of those that were taken always find room, as there are never more of them than the queue holds.
#pragma once

#include <functional>
#include <memory>

#include "ledger/book.h"
#include "ledger/clock_rule.h"
#include "ledger/pressure.h"
#include "store/log_writer.h"

namespace heronworks::ledger {

struct KeeperOptions {
  std::string folder;  // of the ledger; its entries stand in "entries" below it
  BookOptions book;
  store::LogWriterOptions writer;
  std::uint64_t segment_bytes = std::uint64_t{64} << 20;
  std::uint32_t scheduler = 0;
  std::uint64_t new_ledger = 0;  // name of a ledger that begins
};

class KeeperOwner {
 public:
  virtual ~KeeperOwner() = default;
  virtual void entered(std::uint64_t ticket) = 0;  // all entries up to this ticket are durable
  virtual void ledger_state(bool read_only, const std::string& reason) = 0;
  virtual void ledger_note(const char* event, const std::string& text) = 0;
};

class Keeper final : public store::LogWriterObserver {
 public:
  // Throws std::runtime_error where the ledger is refused.
  Keeper(Loop& loop, store::FileSystem& files, const KeeperOptions& options, KeeperOwner& owner);
  ~Keeper() override;

  bool takes() const;
  // The ticket of its entry.
  std::uint64_t honoured(const Use& use);
  const Pressure& pressure() const { return pressure_; }
  const Book& book() const { return book_; }

 private:
  void on_durable(std::uint64_t sequence) override;
  void on_read_only_changed(bool read_only, const std::string& reason) override;
  double time();
  void tick();
  void write(std::vector<std::string>& records);

  Loop& loop_;
  KeeperOwner& owner_;
  Pressure pressure_;
  Book book_;
  std::optional<ClockRule> clock_;
  std::unique_ptr<store::LogWriter> writer_;
  std::vector<std::string> records_;  // scratch
  std::deque<std::pair<std::uint64_t, double>>
      groups_;  // a mark a turn: ticket and when; emptied as they are durable
  std::uint64_t durable_ = 0;
  std::int64_t snapshot_period_ = -1;
  bool doubted_ = false;
  Loop::TimerId tick_ = 0;
};

}  // namespace heronworks::ledger
