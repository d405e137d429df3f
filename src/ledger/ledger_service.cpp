#include "ledger/ledger_service.h"

#include <stdexcept>

#include "ledger/ledger_reader.h"

namespace heronworks::ledger {
namespace {

constexpr double kTimerInterval = 0.5;    // s; bounds how late a period without traffic is sealed
constexpr double kMaxFillForSeals = 0.9;  // of the writer's queue

}  // namespace

LedgerService::LedgerService(Loop& loop, store::FileSystem& files, const LedgerServiceOptions& options,
                             LedgerServiceOwner& owner)
    : loop_(loop), owner_(owner), state_(options.state) {
  store::ReplayResult replay;
  store::FileError error;
  std::string invalid_record;
  store::LogOptions log_options;
  log_options.segment_bytes = options.segment_bytes;
  log_options.keep_all_segments = true;  // the entries themselves are the bills' source
  auto log = store::Log::open(files, options.folder + "/entries", log_options,
                              replay_into(state_, invalid_record), replay, error);
  if (!log) throw std::runtime_error("cannot open the ledger: " + error.to_string());
  if (!invalid_record.empty())
    throw std::runtime_error("cannot open the ledger: " + options.folder + ": " + invalid_record);
  if (replay.torn_write) owner_.on_ledger_event("ledger.cut", replay.torn_write->to_string());
  for (const store::FileError& unusable : replay.unusable_snapshots)
    owner_.on_ledger_event("ledger.snapshot_set_aside", unusable.to_string());
  durable_sequence_ = log->last_sequence();
  writer_ = std::make_unique<store::LogWriter>(loop, std::move(log), options.writer, *this);
  clock_.emplace(state_.time(), loop.now(), loop.now() + wall_offset(), options.state.period);
  state_.open(ledger_time(), options.new_ledger, options.scheduler, records_);
  snapshot_period_ = state_.current_period();
  write(records_);
  on_timer();
}

LedgerService::~LedgerService() { loop_.cancel(timer_); }

double LedgerService::ledger_time() {
  const double mono = loop_.now();
  return clock_->time(mono, mono + wall_offset());
}

bool LedgerService::accepts() const {
  const double oldest_delay =
      pending_batches_.empty() ? 0 : loop_.now() - pending_batches_.front().written_at;
  return backpressure_.accepts(writer_->read_only(), writer_->queue_fill(), oldest_delay);
}

std::uint64_t LedgerService::record_usage(const UsageEntry& usage) {
  state_.record_usage(ledger_time(), usage, records_);
  write(records_);
  return writer_->last_sequence();
}

void LedgerService::write(std::vector<std::string>& records) {
  for (std::string& record : records) {
    // Does not happen while BackpressurePolicy::kMaxQueueFill leaves room for all accepted transactions.
    if (writer_->append(std::move(record)) == 0) throw std::runtime_error("the ledger's write queue is full");
  }
  records.clear();
  const std::uint64_t last = writer_->last_sequence();
  if (last <= durable_sequence_) return;
  const double now = loop_.iteration_time();
  if (!pending_batches_.empty() && pending_batches_.back().written_at == now)
    pending_batches_.back().last_sequence = last;
  else pending_batches_.push_back({last, now});
}

void LedgerService::on_timer() {
  const double now = ledger_time();
  if (clock_->wall_clock_distrusted() != wall_clock_distrusted_) {
    wall_clock_distrusted_ = clock_->wall_clock_distrusted();
    if (wall_clock_distrusted_) {
      state_.add_note(now,
                      "the wall clock leapt by more than a period and is not believed until the next start",
                      records_);
      owner_.on_ledger_event("ledger.clock_doubted", "");
    }
  }
  // While the queue is nearly full, sealing waits, which leaves the room to entries.
  if (writer_->queue_fill() < kMaxFillForSeals) {
    state_.advance(now, records_);
    write(records_);
  }
  if (state_.current_period() != snapshot_period_ && writer_->request_snapshot(state_.snapshot()))
    snapshot_period_ = state_.current_period();
  timer_ = loop_.run_at(loop_.now() + kTimerInterval, [this] { on_timer(); });
}

void LedgerService::on_durable(std::uint64_t sequence) {
  durable_sequence_ = sequence;
  while (!pending_batches_.empty() && pending_batches_.front().last_sequence <= sequence)
    pending_batches_.pop_front();
  owner_.on_entries_durable(sequence);
}

void LedgerService::on_read_only_changed(bool read_only, const std::string& reason) {
  owner_.on_ledger_read_only_changed(read_only, reason);
}

}  // namespace heronworks::ledger
