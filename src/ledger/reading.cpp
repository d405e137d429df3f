// Reading: see reading.h.
#include "ledger/reading.h"

#include <cerrno>

namespace heronworks::ledger {
namespace {

std::string_view text(store::ByteView v) { return {reinterpret_cast<const char*>(v.data()), v.size()}; }

constexpr int kTries = 5;  // of a reading beside an owner that changes the files

}  // namespace

store::ReplayHandler into(Book& book, std::string& wrong) {
  return {[&](std::uint64_t, store::ByteView s) { return book.restore(text(s)); },
          [&](std::uint64_t sequence, store::ByteView r) {
            if (!wrong.empty()) return;
            wrong = book.replay(text(r));
            if (!wrong.empty()) wrong = "record " + std::to_string(sequence) + ": " + wrong;
          }};
}

bool read_ledger(store::FileSystem& files, const std::string& folder, const Visitor& visitor,
                 LedgerFacts& facts, store::FileError& fault) {
  facts = {};
  BookOptions options;
  options.identities = 0;  // of no use here
  Book book(options);
  std::string wrong;
  const store::ReplayHandler reader{{}, [&](std::uint64_t sequence, store::ByteView r) {
                                      if (!wrong.empty()) return;
                                      wrong = book.replay(text(r));
                                      if (!wrong.empty()) {
                                        wrong = "record " + std::to_string(sequence) + ": " + wrong;
                                        return;
                                      }
                                      wire::Record record;
                                      if (!record.ParseFromArray(r.data(), static_cast<int>(r.size())))
                                        return;
                                      if (record.has_entry()) {
                                        if (visitor.entry) visitor.entry(record.entry(), text(r));
                                      } else if (record.has_closed()) {
                                        facts.closed.push_back(record.closed());
                                        if (visitor.closed) visitor.closed(record.closed(), text(r));
                                      } else if (record.has_opened()) {
                                        facts.ledger = record.opened().ledger();
                                        facts.scheduler = record.opened().scheduler();
                                        facts.period_length =
                                            1e-9 * static_cast<double>(record.opened().period_length());
                                      } else if (record.has_note()) {
                                        facts.notes.push_back(record.note());
                                      }
                                    }};
  if (!store::read_log(files, folder + "/entries", false, reader, facts.log, fault)) return false;
  if (!facts.log.unusable_snapshots.empty()) {
    fault = facts.log.unusable_snapshots.front();
    return false;
  }
  if (!wrong.empty()) {
    fault = {folder + "/entries", 0, wrong, 0};
    return false;
  }
  facts.entries = book.entries();
  facts.open_units = book.units();
  facts.open_period = book.period();
  return true;
}

void Desk::take(std::string_view bytes) {
  wire::DeskRecord r;
  if (!r.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return;
  if (r.has_correction()) corrections.push_back(r.correction());
  if (r.has_intent()) intents[r.intent().id()] = r.intent();
  if (r.has_committed()) committed[r.committed().id()] = r.committed();
}

bool read_desk(store::FileSystem& files, const std::string& folder, Desk& desk, store::FileError& fault) {
  for (int i = 0; i < kTries; ++i) {
    desk = {};
    store::ReplayResult state;
    const store::ReplayHandler reader{{}, [&](std::uint64_t, store::ByteView r) { desk.take(text(r)); }};
    if (store::read_log(files, folder + "/desk", false, reader, state, fault)) return true;
    if (fault.code == ENOENT && state.segment_count == 0) return true;  // nobody has added anything
  }
  return false;
}

std::unique_ptr<store::Log> open_desk(store::FileSystem& files, const std::string& folder, Desk& desk,
                                      store::FileError& fault) {
  desk = {};
  store::ReplayResult state;
  store::LogOptions options;
  options.keep_all_segments = true;
  const store::ReplayHandler reader{{}, [&](std::uint64_t, store::ByteView r) { desk.take(text(r)); }};
  return store::Log::open(files, folder + "/desk", options, reader, state, fault);
}

int add_to_desk(store::Log& log, Desk& desk, const wire::DeskRecord& record) {
  const std::string bytes = record.SerializeAsString();
  log.append(store::byte_view(bytes));
  if (const int e = log.commit(); e != 0) return e;
  desk.take(bytes);
  return 0;
}

}  // namespace heronworks::ledger
