// Reconciliation of the ledgers of schedulers that do not communicate: finds transactions that were billed
// more than once or with different units, or that contradict what clients report.
//
// Uses an external merge sort; memory is bounded by ReconcileOptions::max_entries_in_memory whatever the
// number of entries. After the proposed corrections were applied, another run proposes none.
#pragma once

#include <functional>

#include "ledger/ledger_reader.h"

namespace heronworks::ledger {

struct ReconcileOptions {
  std::string scratch_folder;  // for sorted runs, which are removed at the end
  std::size_t max_entries_in_memory = 500000;
  bool include_unsealed = false;  // include entries of periods that are not sealed
  std::string client_report;      // file with a line "identity volume units" for each succeeded transaction;
                                  // empty: none
};

enum class DiscrepancyKind {
  kBilledTwice,         // several entries bill the same identity
  kUnitsDiffer,         // entries of one identity differ in units, or from the client report
  kUnknownToClients,    // an entry whose success no client saw; its answer was lost
  kMissingFromLedgers,  // succeeded by the clients' report, but no ledger has an entry
};
// The printed name, which corrections also carry as their reason.
const char* discrepancy_name(DiscrepancyKind kind);

struct Discrepancy {
  DiscrepancyKind kind = DiscrepancyKind::kBilledTwice;
  std::uint64_t ledger_id = 0;
  std::uint64_t entry = 0;
  std::uint64_t identity = 0;
  std::string tenant;
  std::uint32_t volume = 0;
  std::int64_t period = 0;
  std::int64_t correction_units = 0;  // proposed, to be added to the entry; 0: no correction is proposed
  std::uint64_t kept_ledger_id = 0;   // of the entry that stays billed; 0: none
  std::uint64_t kept_entry = 0;
};

struct ReconciliationSummary {
  std::uint64_t entries = 0;
  std::uint64_t repeats = 0;  // entries that bill nothing
  std::uint64_t units = 0;    // billed, with corrections but without proposed ones
  std::uint64_t identities = 0;
  std::uint64_t unsealed = 0;           // entries left out
  std::uint64_t client_lines = 0;       // lines of the client report
  std::uint64_t discrepancies[4] = {};  // by DiscrepancyKind
  std::size_t sorted_runs = 0;
};

// Calls `on_discrepancy` in order of identity. Returns false with `error` if a ledger or the client report is
// invalid. Throws std::runtime_error if a sorted run cannot be written.
bool reconcile(store::FileSystem& files, const std::vector<std::string>& folders,
               const ReconcileOptions& options, const std::function<void(const Discrepancy&)>& on_discrepancy,
               ReconciliationSummary& summary, store::FileError& error);

}  // namespace heronworks::ledger
