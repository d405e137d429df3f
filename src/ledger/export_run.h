// One export over a socket, journalled at the desk. Blocks in a loop of its own; for commands, not for
// schedulers.
#pragma once

#include "ledger/export.h"
#include "ledger/reading.h"
#include "loop/stream.h"

namespace heronworks::ledger {

enum class Form { kRecords, kCsv };

// What is sent of one closed period: its records as written, each after its length (u32, little endian); or a
// line of CSV for each entry, after one of names.
bool export_bytes(store::FileSystem& files, const std::string& folder, std::int64_t period, Form form,
                  std::string& bytes, LedgerFacts& facts, store::FileError& fault);
// Stable over crashes: of ledger, period, form and content.
std::string export_id(std::uint64_t ledger, std::int64_t period, Form form, std::string_view bytes);

struct ExportResult {
  bool good = false;
  std::string why;
  std::string id;
};

// `desk` is open to add to. Crashes of this process at any point are mended by running it again.
ExportResult run_export(store::Log& log, Desk& desk, std::uint64_t ledger, std::int64_t period, Form form,
                        const std::string& bytes, const Address& to, double patience);

}  // namespace heronworks::ledger
