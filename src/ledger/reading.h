// Reads a ledger, live or not, and holds it to its own rules: numbers without gaps, seals that hold.
#pragma once

#include <functional>
#include <map>

#include "ledger/book.h"
#include "ledger/ledger.pb.h"
#include "store/log.h"

namespace heronworks::ledger {

struct LedgerFacts {
  std::uint64_t ledger = 0;
  std::uint32_t scheduler = 0;
  double period_length = 0;
  std::uint64_t entries = 0;
  std::uint64_t open_units = 0;  // of the period that runs
  std::int64_t open_period = -1;
  std::vector<wire::Closed> closed;  // as many as there were periods
  std::vector<wire::Note> notes;
  store::ReplayResult log;
};

// Hands a log's snapshot and records to a book; the first that does not fit is told in `wrong`.
store::ReplayHandler into(Book& book, std::string& wrong);

// Told in order; `bytes` are the record as written. Any may be empty.
struct Visitor {
  std::function<void(const wire::Entry&, std::string_view bytes)> entry;
  std::function<void(const wire::Closed&, std::string_view bytes)> closed;
};

// False with a fault that names file and offset, or the record.
bool read_ledger(store::FileSystem& files, const std::string& folder, const Visitor& visitor,
                 LedgerFacts& facts, store::FileError& fault);

// ---- What operators added: corrections and exports, in a log of their own, so that a scheduler may run
// meanwhile ----

struct Desk {
  std::vector<wire::Correction> corrections;    // as many as were made
  std::map<std::string, wire::Intent> intents;  // by id
  std::map<std::string, wire::Committed> committed;
  void take(std::string_view record);
};

bool read_desk(store::FileSystem& files, const std::string& folder, Desk& desk, store::FileError& fault);
// With the right to add; one at a time.
std::unique_ptr<store::Log> open_desk(store::FileSystem& files, const std::string& folder, Desk& desk,
                                      store::FileError& fault);
// Durable before it returns 0; else an errno, and nothing was added.
int add_to_desk(store::Log& log, Desk& desk, const wire::DeskRecord& record);

}  // namespace heronworks::ledger
