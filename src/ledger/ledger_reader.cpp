#include "ledger/ledger_reader.h"

#include <cerrno>

namespace heronworks::ledger {
namespace {

std::string_view text_view(store::ByteView bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

constexpr int kMaxReadAttempts = 5;  // a read can fail while the log's writer changes its files

}  // namespace

store::ReplayHandler replay_into(LedgerState& state, std::string& error) {
  return {[&](std::uint64_t, store::ByteView snapshot) { return state.restore(text_view(snapshot)); },
          [&](std::uint64_t sequence, store::ByteView record) {
            if (!error.empty()) return;
            error = state.replay(text_view(record));
            if (!error.empty()) error = "record " + std::to_string(sequence) + ": " + error;
          }};
}

bool read_ledger(store::FileSystem& files, const std::string& folder, const LedgerVisitor& visitor,
                 LedgerSummary& summary, store::FileError& error) {
  summary = {};
  LedgerStateOptions options;
  options.max_identities = 0;  // entries in the log already state what they repeat
  LedgerState state(options);
  std::string invalid_record;
  const store::ReplayHandler handler{
      {}, [&](std::uint64_t sequence, store::ByteView bytes) {
        if (!invalid_record.empty()) return;
        invalid_record = state.replay(text_view(bytes));
        if (!invalid_record.empty()) {
          invalid_record = "record " + std::to_string(sequence) + ": " + invalid_record;
          return;
        }
        wire::Record record;
        if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return;
        if (record.has_entry()) {
          if (visitor.on_entry) visitor.on_entry(record.entry(), text_view(bytes));
        } else if (record.has_closed()) {
          summary.sealed_periods.push_back(record.closed());
          if (visitor.on_period_sealed) visitor.on_period_sealed(record.closed(), text_view(bytes));
        } else if (record.has_opened()) {
          summary.ledger_id = record.opened().ledger();
          summary.scheduler = record.opened().scheduler();
          summary.period_length = 1e-9 * static_cast<double>(record.opened().period_length());
        } else if (record.has_note()) {
          summary.notes.push_back(record.note());
        }
      }};
  if (!store::read_log(files, folder + "/entries", false, handler, summary.replay, error)) return false;
  if (!summary.replay.unusable_snapshots.empty()) {
    error = summary.replay.unusable_snapshots.front();
    return false;
  }
  if (!invalid_record.empty()) {
    error = {folder + "/entries", 0, invalid_record, 0};
    return false;
  }
  summary.entry_count = state.entry_count();
  summary.open_units = state.period_units();
  summary.open_period = state.current_period();
  return true;
}

void Adjustments::apply(std::string_view bytes) {
  wire::DeskRecord record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return;
  if (record.has_correction()) corrections.push_back(record.correction());
  if (record.has_intent()) intents[record.intent().id()] = record.intent();
  if (record.has_committed()) committed[record.committed().id()] = record.committed();
}

bool read_adjustments(store::FileSystem& files, const std::string& folder, Adjustments& adjustments,
                      store::FileError& error) {
  for (int attempt = 0; attempt < kMaxReadAttempts; ++attempt) {
    adjustments = {};
    store::ReplayResult replay;
    const store::ReplayHandler handler{
        {}, [&](std::uint64_t, store::ByteView record) { adjustments.apply(text_view(record)); }};
    if (store::read_log(files, folder + "/desk", false, handler, replay, error)) return true;
    if (error.code == ENOENT && replay.segment_count == 0) return true;  // the log does not exist
  }
  return false;
}

std::unique_ptr<store::Log> open_adjustment_log(store::FileSystem& files, const std::string& folder,
                                                Adjustments& adjustments, store::FileError& error) {
  adjustments = {};
  store::ReplayResult replay;
  store::LogOptions options;
  options.keep_all_segments = true;
  const store::ReplayHandler handler{
      {}, [&](std::uint64_t, store::ByteView record) { adjustments.apply(text_view(record)); }};
  return store::Log::open(files, folder + "/desk", options, handler, replay, error);
}

int append_adjustment(store::Log& log, Adjustments& adjustments, const wire::DeskRecord& record) {
  const std::string bytes = record.SerializeAsString();
  log.append(store::byte_view(bytes));
  if (const int error = log.commit(); error != 0) return error;
  adjustments.apply(bytes);
  return 0;
}

}  // namespace heronworks::ledger
