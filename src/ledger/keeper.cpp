// A running scheduler's ledger: see keeper.h.
#include "ledger/keeper.h"

#include <stdexcept>

#include "ledger/reading.h"

namespace heronworks::ledger {
namespace {

constexpr double kTick = 0.5;  // s between two looks at the clock when nothing comes

}  // namespace

Keeper::Keeper(Loop& loop, store::FileSystem& files, const KeeperOptions& options, KeeperOwner& owner)
    : loop_(loop), owner_(owner), book_(options.book) {
  store::ReplayResult state;
  store::FileError fault;
  std::string wrong;
  store::LogOptions log_options;
  log_options.segment_bytes = options.segment_bytes;
  log_options.keep_all_segments = true;  // the log is the ledger
  auto log =
      store::Log::open(files, options.folder + "/entries", log_options, into(book_, wrong), state, fault);
  if (!log) throw std::runtime_error("the ledger is refused: " + fault.to_string());
  if (!wrong.empty()) throw std::runtime_error("the ledger is refused: " + options.folder + ": " + wrong);
  if (state.torn_write) owner_.ledger_note("ledger.cut", state.torn_write->to_string());
  for (const store::FileError& f : state.unusable_snapshots)
    owner_.ledger_note("ledger.snapshot_set_aside", f.to_string());
  durable_ = log->last_sequence();
  writer_ = std::make_unique<store::LogWriter>(loop, std::move(log), options.writer, *this);
  clock_.emplace(book_.time(), loop.now(), loop.now() + wall_offset(), options.book.period);
  book_.open(time(), options.new_ledger, options.scheduler, records_);
  snapshot_period_ = book_.period();
  write(records_);
  tick();
}

Keeper::~Keeper() { loop_.cancel(tick_); }

double Keeper::time() {
  const double mono = loop_.now();
  return clock_->time(mono, mono + wall_offset());
}

bool Keeper::takes() const {
  const double oldest = groups_.empty() ? 0 : loop_.now() - groups_.front().second;
  return pressure_.takes(writer_->read_only(), writer_->queue_fill(), oldest);
}

std::uint64_t Keeper::honoured(const Use& use) {
  book_.honoured(time(), use, records_);
  write(records_);
  return writer_->last_sequence();
}

void Keeper::write(std::vector<std::string>& records) {
  for (std::string& r : records) {
    // The door leaves half of the queue for what was taken before it closed.
    if (writer_->append(std::move(r)) == 0) throw std::runtime_error("the ledger's queue is full");
  }
  records.clear();
  const std::uint64_t last = writer_->last_sequence();
  if (last <= durable_) return;
  const double at = loop_.iteration_time();
  if (!groups_.empty() && groups_.back().second == at) groups_.back().first = last;
  else groups_.push_back({last, at});
}

void Keeper::tick() {
  const double now = time();
  if (clock_->doubted() != doubted_) {
    doubted_ = clock_->doubted();
    if (doubted_) {
      book_.note(now, "the wall clock leapt by more than a period and is not believed until the next start",
                 records_);
      owner_.ledger_note("ledger.clock_doubted", "");
    }
  }
  // With the queue this full, seals wait: they are for later entries as well.
  if (writer_->queue_fill() < 0.9) {
    book_.tick(now, records_);
    write(records_);
  }
  if (book_.period() != snapshot_period_ && writer_->request_snapshot(book_.snapshot()))
    snapshot_period_ = book_.period();
  tick_ = loop_.run_at(loop_.now() + kTick, [this] { tick(); });
}

void Keeper::on_durable(std::uint64_t sequence) {
  durable_ = sequence;
  while (!groups_.empty() && groups_.front().first <= sequence) groups_.pop_front();
  owner_.entered(sequence);
}

void Keeper::on_read_only_changed(bool read_only, const std::string& reason) {
  owner_.ledger_state(read_only, reason);
}

}  // namespace heronworks::ledger
