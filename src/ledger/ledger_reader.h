// Reads a ledger, even while a scheduler writes it, and verifies it: entry numbers without gaps, every period
// sealed, every seal's digest and totals. Also reads and writes the adjustment log of the ledger's operators.
#pragma once

#include <functional>
#include <map>

#include "ledger/ledger.pb.h"
#include "ledger/ledger_state.h"
#include "store/log.h"

namespace heronworks::ledger {

struct LedgerSummary {
  std::uint64_t ledger_id = 0;
  std::uint32_t scheduler = 0;
  double period_length = 0;  // s
  std::uint64_t entry_count = 0;
  std::uint64_t open_units = 0;  // billed in the current period
  std::int64_t open_period = -1;
  std::vector<wire::Closed> sealed_periods;
  std::vector<wire::Note> notes;
  store::ReplayResult replay;
};

// Replays a log's snapshot and records into `state`. Stops at the first invalid record and describes it in
// `error`. Both must outlive the handler.
store::ReplayHandler replay_into(LedgerState& state, std::string& error);

// Called in order of the log; `bytes` is the record as written. Either may be empty.
struct LedgerVisitor {
  std::function<void(const wire::Entry&, std::string_view bytes)> on_entry;
  std::function<void(const wire::Closed&, std::string_view bytes)> on_period_sealed;
};

// Returns false with `error` if the ledger is invalid or cannot be read. The visitor may have been called by
// then.
bool read_ledger(store::FileSystem& files, const std::string& folder, const LedgerVisitor& visitor,
                 LedgerSummary& summary, store::FileError& error);

// ---- Adjustment log: corrections and export records that operators add. It is a log of its own, so that
// they can be added while a scheduler writes the entries. ----

struct Adjustments {
  std::vector<wire::Correction> corrections;
  std::map<std::string, wire::Intent> intents;       // by export id
  std::map<std::string, wire::Committed> committed;  // by export id
  void apply(std::string_view record);
};

// Succeeds with no adjustments if the log does not exist.
bool read_adjustments(store::FileSystem& files, const std::string& folder, Adjustments& adjustments,
                      store::FileError& error);
// Opens the log for appending and locks it. Returns null with `error` on failure.
std::unique_ptr<store::Log> open_adjustment_log(store::FileSystem& files, const std::string& folder,
                                                Adjustments& adjustments, store::FileError& error);
// Makes the record durable and applies it to `adjustments`. Returns 0, or an errno with `adjustments`
// unchanged.
int append_adjustment(store::Log& log, Adjustments& adjustments, const wire::DeskRecord& record);

}  // namespace heronworks::ledger
