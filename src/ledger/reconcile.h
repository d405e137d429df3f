// Ledgers of schedulers that never talk, held against each other: what was billed twice, under different
// units, or against what clients say. Memory is bounded by Options::most_in_memory whatever the number of
// entries: sorted runs in files, merged. Running it again after its corrections were made proposes nothing.
#pragma once

#include <functional>

#include "ledger/reading.h"

namespace heronworks::ledger {

struct ReconcileOptions {
  std::string scratch;                  // folder for runs; emptied at the end
  std::size_t most_in_memory = 500000;  // entries
  bool open_too = false;                // entries of periods that are not sealed
  std::string clients;                  // file: identity, volume, units a line, of what clients were told
};

enum class Finding {
  kBilledTwice,   // the same identity, billed by several entries
  kUnitsDiffer,   // and under different units
  kNotByClients,  // an entry that no client knows to be honoured: its answer was in flight when something
                  // died
  kNotInLedgers,  // honoured by the clients' word and not entered
};
const char* name(Finding finding);

struct Found {
  Finding what = Finding::kBilledTwice;
  std::uint64_t ledger = 0;
  std::uint64_t entry = 0;
  std::uint64_t identity = 0;
  std::string tenant;
  std::uint32_t volume = 0;
  std::int64_t period = 0;
  std::int64_t units = 0;  // that a correction would add; 0: none is proposed
  std::uint64_t kept_ledger = 0;
  std::uint64_t kept_entry = 0;
};

struct Reconciled {
  std::uint64_t entries = 0;
  std::uint64_t repeats = 0;  // entries that bill nothing
  std::uint64_t units = 0;    // billed, corrections included, proposals not
  std::uint64_t identities = 0;
  std::uint64_t unsealed = 0;    // entries left out
  std::uint64_t by_clients = 0;  // lines of the clients' file
  std::uint64_t found[4] = {};   // by Finding
  std::size_t runs = 0;
};

// False with a fault where a ledger is refused. `found` is told in order of identity.
bool reconcile(store::FileSystem& files, const std::vector<std::string>& folders,
               const ReconcileOptions& options, const std::function<void(const Found&)>& found,
               Reconciled& result, store::FileError& fault);

}  // namespace heronworks::ledger
