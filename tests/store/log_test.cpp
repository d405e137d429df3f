// The log through every crash, every failing call and every flipped bit: enumerated, none sampled.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "store/log.h"

#include <doctest/doctest.h>

#include "faulty.h"

using namespace heronworks;
using namespace heronworks::store;
using test::FaultyFiles;
using test::Loss;

namespace {

constexpr int kRecords = 45;
const std::string kFolder = "/ledger";

std::string record(std::uint64_t n) { return "record " + std::to_string(n) + std::string(n % 23, '.'); }

// What an owner keeps: all records so far, one a line.
struct Book {
  std::string text;
  std::uint64_t last = 0;
  Reader reader() {
    return {[this](std::uint64_t upto, View content) {
              text.assign(content.begin(), content.end());
              last = upto;
              return true;
            },
            [this](std::uint64_t sequence, View r) {
              CHECK(sequence == last + 1);
              last = sequence;
              text += std::string(r.begin(), r.end()) + "\n";
            }};
  }
};

std::string expected(std::uint64_t last) {
  std::string text;
  for (std::uint64_t n = 1; n <= last; ++n) text += record(n) + "\n";
  return text;
}

const LogOptions kSmall{300, 2};

// Goes on from where the log stands to kRecords: groups of three, a snapshot after each tenth. `acknowledged`
// is raised by what was said to be durable. Mends after failures, at most so often.
void play(FaultyFiles& files, std::uint64_t& acknowledged, int mends = 0) {
  Book book;
  LogState state;
  Fault fault;
  const auto log = Log::open(files, kFolder, kSmall, book.reader(), state, fault);
  INFO(fault.shown());
  if (!log && mends > 0) return play(files, acknowledged, mends - 1);  // a failing call may refuse the start
  REQUIRE(log);
  CHECK(book.text == expected(book.last));
  CHECK(book.last >= acknowledged);
  std::uint64_t next = book.last + 1;
  std::uint64_t snapshot_at = state.snapshot;
  const auto commit = [&] {
    while (log->commit() != 0) {
      REQUIRE(mends-- > 0);
      CHECK(log->read_only());
      CHECK(log->durable() >= acknowledged);
      while (log->mend() != 0) REQUIRE(mends-- > 0);
    }
    acknowledged = std::max(acknowledged, log->durable());
  };
  while (next <= kRecords) {
    for (int i = 0; i < 3 && next <= kRecords; ++i, ++next) {
      CHECK(log->append(view(record(next))) == next);
      book.text += record(next) + "\n";
    }
    commit();
    if (next - 1 >= snapshot_at + 10) {
      snapshot_at = next - 1;
      static_cast<void>(log->snapshot(next - 1, view(book.text)));  // one that fails is only not there
    }
    if (next % 2 == 0) log->mark();
    if (log->read_only()) {
      while (log->mend() != 0) REQUIRE(mends-- > 0);
    }
  }
  log->mark();
}

void check_whole(FaultyFiles& files) {
  Book book;
  LogState state;
  Fault fault;
  REQUIRE_MESSAGE(read_log(files, kFolder, true, book.reader(), state, fault), fault.shown());
  CHECK(book.last == kRecords);
  CHECK(book.text == expected(kRecords));
}

}  // namespace

TEST_CASE("a log without trouble: recovered whole, compacted, one owner") {
  FaultyFiles files;
  std::uint64_t acknowledged = 0;
  play(files, acknowledged);
  CHECK(acknowledged == kRecords);
  check_whole(files);
  LogState state;
  Fault fault;
  REQUIRE(read_log(files, kFolder, false, {}, state, fault));
  CHECK(state.first > 1);  // what no snapshot needs is gone
  const auto owner = Log::open(files, kFolder, kSmall, {}, state, fault);
  REQUIRE(owner);
  CHECK_FALSE(Log::open(files, kFolder, kSmall, {}, state, fault));
  CHECK(fault.text == "has another owner");
}

TEST_CASE(
    "a crash before and after every call, with every kind of loss: a prefix that has all that was promised") {
  FaultyFiles whole;
  std::uint64_t acknowledged = 0;
  play(whole, acknowledged);
  const long calls = whole.calls;
  CHECK(calls > 60);
  int crashes = 0;
  for (long at = 0; at < calls; ++at) {
    for (const bool after : {false, true}) {
      for (const Loss loss : {Loss::kAll, Loss::kNone, Loss::kTorn, Loss::kReordered}) {
        for (unsigned seed = 0; seed < (loss == Loss::kAll || loss == Loss::kNone ? 1u : 6u); ++seed) {
          FaultyFiles files;
          files.crash_at = at;
          files.crash_after = after;
          acknowledged = 0;
          try {
            play(files, acknowledged);
          } catch (const test::Crash&) {
            ++crashes;
          }
          INFO("crash " << (after ? "after" : "before") << " call " << at << ", " << files.last_call
                        << ", loss " << static_cast<int>(loss) << ", seed " << seed);
          files.power_loss(loss, seed);
          play(files, acknowledged);
          check_whole(files);
        }
      }
    }
  }
  CHECK(crashes == calls * 2 * 14);
}

TEST_CASE("a second crash while it recovers from the first") {
  for (long first = 3; first < 90; first += 4) {
    for (long second = 0; second < 12; ++second) {
      FaultyFiles files;
      std::uint64_t acknowledged = 0;
      for (const long at : {first, second}) {
        files.calls = 0;
        files.crash_at = at;
        try {
          play(files, acknowledged);
        } catch (const test::Crash&) {
        }
        files.power_loss(Loss::kTorn, static_cast<unsigned>(first * 31 + at));
      }
      play(files, acknowledged);
      check_whole(files);
    }
  }
}

TEST_CASE(
    "every call fails, once and five times in a row, and what was promised outlives the next loss of power") {
  FaultyFiles whole;
  std::uint64_t acknowledged = 0;
  play(whole, acknowledged);
  for (long at = 0; at < whole.calls; ++at) {
    for (const int code : {EIO, ENOSPC}) {
      for (const long times : {1L, 5L}) {
        FaultyFiles files;
        files.fail_at = at;
        files.fail_for = times;
        files.fail_with = code;
        acknowledged = 0;
        INFO("call " << at << " fails " << times << " times, " << files.last_call);
        play(files, acknowledged, 20);
        CHECK(acknowledged == kRecords);
        files.power_loss(Loss::kAll, 1);
        check_whole(files);
      }
    }
  }
}

TEST_CASE("a full disk: read-only, then on again once there is room") {
  FaultyFiles files;
  Book book;
  LogState state;
  Fault fault;
  const auto log = Log::open(files, kFolder, kSmall, book.reader(), state, fault);
  REQUIRE(log);
  log->append(view(record(1)));
  REQUIRE(log->commit() == 0);
  files.room = 90;
  log->append(view(record(2)));
  log->append(view(record(3)));
  CHECK(log->commit() == ENOSPC);
  CHECK(log->read_only());
  CHECK(log->durable() == 1);
  CHECK(log->commit() == EROFS);
  CHECK(log->snapshot(1, view(std::string("x"))) == EROFS);
  CHECK(log->mend() == 0);  // cutting needs no room
  CHECK(log->commit() == ENOSPC);
  CHECK(log->durable() == 1);
  files.room = UINT64_MAX;
  CHECK(log->mend() == 0);
  CHECK(log->commit() == 0);
  CHECK(log->durable() == 3);
}

TEST_CASE("any one bit of a closed log flipped: refused with file and offset, or said, never passed over") {
  FaultyFiles files;
  std::uint64_t acknowledged = 0;
  play(files, acknowledged);
  int refused = 0;
  int set_aside = 0;
  int cut = 0;
  for (const std::string& path : files.paths()) {
    for (std::size_t at = 0; at < files.content(path).size(); ++at) {
      char& byte = files.content(path)[at];
      byte = static_cast<char>(byte ^ 1 << at % 8);
      Book book;
      LogState state;
      Fault fault;
      INFO(path << " byte " << at << ": " << fault.shown());
      if (!read_log(files, kFolder, true, book.reader(), state, fault)) {
        ++refused;
        CHECK(fault.file == path);
        CHECK(fault.offset <= at);
      } else {
        CHECK(book.text == expected(kRecords));
        set_aside += state.set_aside.empty() ? 0 : 1;
        cut += state.cut ? 1 : 0;
        // What the snapshot covers is not read for recovery; a reading of all finds it.
        if (state.set_aside.empty() && !state.cut)
          CHECK((!read_log(files, kFolder, false, {}, state, fault) || !state.set_aside.empty()));
      }
      byte = static_cast<char>(byte ^ 1 << at % 8);
    }
  }
  CHECK(refused > 100);
  CHECK(set_aside > 100);
  CHECK(cut == 24);  // the closing mark itself
}

TEST_CASE("missing files are refused by name") {
  FaultyFiles files;
  std::uint64_t acknowledged = 0;
  play(files, acknowledged);
  std::vector<std::string> segments;
  for (const auto& path : files.paths()) {
    if (path.find("/log-") != std::string::npos) segments.push_back(path);
  }
  REQUIRE(segments.size() >= 3);
  files.remove(segments[segments.size() - 2]);
  LogState state;
  Fault fault;
  CHECK_FALSE(read_log(files, kFolder, false, {}, state, fault));
  CHECK(fault.text.find("are missing") != std::string::npos);
  for (const auto& path : files.paths()) {
    if (path.find("/snapshot-") != std::string::npos) files.remove(path);
  }
  CHECK_FALSE(Log::open(files, kFolder, kSmall, {}, state, fault));
  CHECK(fault.text.find("are missing") != std::string::npos);
}
