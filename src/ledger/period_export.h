// Exports one sealed period over a socket and records it in the adjustment log. Blocks, running an event loop
// of its own; meant for commands, not for schedulers.
#pragma once

#include "ledger/export_protocol.h"
#include "ledger/ledger_reader.h"
#include "loop/stream.h"

namespace heronworks::ledger {

enum class ExportFormat { kRecords, kCsv };

// Builds the content to export for a sealed period. kRecords: the period's records as written, each after its
// length (u32, little endian). kCsv: a header line, then a line for each entry. Returns false with `error` if
// the ledger is invalid or the period is not sealed.
bool build_export(store::FileSystem& files, const std::string& folder, std::int64_t period,
                  ExportFormat format, std::string& content, LedgerSummary& summary, store::FileError& error);
// Idempotency key of an export: depends only on ledger, period, format and content.
std::string export_id(std::uint64_t ledger_id, std::int64_t period, ExportFormat format,
                      std::string_view content);

struct ExportResult {
  bool succeeded = false;
  std::string message;
  std::string id;
};

// Sends `content` to `receiver` unless that was done before. `log` must be open for appending. Safe to run
// again after a crash at any point. `timeout`: s for the whole export.
ExportResult run_export(store::Log& log, Adjustments& adjustments, std::uint64_t ledger_id,
                        std::int64_t period, ExportFormat format, const std::string& content,
                        const Address& receiver, double timeout);

}  // namespace heronworks::ledger
