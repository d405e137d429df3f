// Recovery of the log after a crash at any call, a failure of any call and the corruption of any byte. All
// cases are enumerated.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "store/log.h"

#include <doctest/doctest.h>

#include "faulty_file_system.h"

using namespace heronworks;
using namespace heronworks::store;
using test::FaultyFileSystem;
using test::UnsyncedData;

namespace {

constexpr int kRecordCount = 45;
const std::string kDirectory = "/ledger";

std::string record(std::uint64_t n) { return "record " + std::to_string(n) + std::string(n % 23, '.'); }

// State rebuilt by a replay: all records so far, one per line.
struct ReplayedState {
  std::string text;
  std::uint64_t last_sequence = 0;
  ReplayHandler handler() {
    return {[this](std::uint64_t sequence, ByteView content) {
              text.assign(content.begin(), content.end());
              last_sequence = sequence;
              return true;
            },
            [this](std::uint64_t sequence, ByteView payload) {
              CHECK(sequence == last_sequence + 1);
              last_sequence = sequence;
              text += std::string(payload.begin(), payload.end()) + "\n";
            }};
  }
};

std::string expected_text(std::uint64_t last_sequence) {
  std::string text;
  for (std::uint64_t n = 1; n <= last_sequence; ++n) text += record(n) + "\n";
  return text;
}

const LogOptions kSmallSegments{300, 2};

// Opens the log and appends the missing records up to kRecordCount, in groups of three with a snapshot after
// every ten. Raises `acknowledged` to the last sequence number reported as durable. Resumes after write
// errors; `resumes_left` limits the attempts.
void run_workload(FaultyFileSystem& file_system, std::uint64_t& acknowledged, int resumes_left = 0) {
  ReplayedState state;
  ReplayResult result;
  FileError error;
  const auto log = Log::open(file_system, kDirectory, kSmallSegments, state.handler(), result, error);
  INFO(error.to_string());
  // An injected failure may make the open fail.
  if (!log && resumes_left > 0) return run_workload(file_system, acknowledged, resumes_left - 1);
  REQUIRE(log);
  CHECK(state.text == expected_text(state.last_sequence));
  CHECK(state.last_sequence >= acknowledged);
  std::uint64_t next = state.last_sequence + 1;
  std::uint64_t snapshot_sequence = result.snapshot_sequence;
  const auto commit = [&] {
    while (log->commit() != 0) {
      REQUIRE(resumes_left-- > 0);
      CHECK(log->read_only());
      CHECK(log->durable_sequence() >= acknowledged);
      while (log->resume() != 0) REQUIRE(resumes_left-- > 0);
    }
    acknowledged = std::max(acknowledged, log->durable_sequence());
  };
  while (next <= kRecordCount) {
    for (int i = 0; i < 3 && next <= kRecordCount; ++i, ++next) {
      CHECK(log->append(byte_view(record(next))) == next);
      state.text += record(next) + "\n";
    }
    commit();
    if (next - 1 >= snapshot_sequence + 10) {
      snapshot_sequence = next - 1;
      // A failed snapshot leaves the log as it was.
      static_cast<void>(log->write_snapshot(next - 1, byte_view(state.text)));
    }
    if (next % 2 == 0) log->write_durability_marker();
    if (log->read_only()) {
      while (log->resume() != 0) REQUIRE(resumes_left-- > 0);
    }
  }
  log->write_durability_marker();
}

void check_all_records_present(FaultyFileSystem& file_system) {
  ReplayedState state;
  ReplayResult result;
  FileError error;
  REQUIRE_MESSAGE(read_log(file_system, kDirectory, true, state.handler(), result, error), error.to_string());
  CHECK(state.last_sequence == kRecordCount);
  CHECK(state.text == expected_text(kRecordCount));
}

}  // namespace

TEST_CASE("without faults the log replays every record, is compacted and has one writer") {
  FaultyFileSystem file_system;
  std::uint64_t acknowledged = 0;
  run_workload(file_system, acknowledged);
  CHECK(acknowledged == kRecordCount);
  check_all_records_present(file_system);
  ReplayResult result;
  FileError error;
  REQUIRE(read_log(file_system, kDirectory, false, {}, result, error));
  CHECK(result.first_sequence > 1);  // compaction removed segments
  const auto log = Log::open(file_system, kDirectory, kSmallSegments, {}, result, error);
  REQUIRE(log);
  CHECK_FALSE(Log::open(file_system, kDirectory, kSmallSegments, {}, result, error));
  CHECK(error.message == "the log is in use by another process");
}

TEST_CASE("after a crash before or after any call, recovery keeps all acknowledged records in order") {
  FaultyFileSystem without_faults;
  std::uint64_t acknowledged = 0;
  run_workload(without_faults, acknowledged);
  const long calls = without_faults.calls;
  CHECK(calls > 60);
  int crashes = 0;
  for (long at = 0; at < calls; ++at) {
    for (const bool after : {false, true}) {
      for (const UnsyncedData unsynced :
           {UnsyncedData::kLost, UnsyncedData::kKept, UnsyncedData::kTorn, UnsyncedData::kReordered}) {
        const bool deterministic = unsynced == UnsyncedData::kLost || unsynced == UnsyncedData::kKept;
        for (unsigned seed = 0; seed < (deterministic ? 1u : 6u); ++seed) {
          FaultyFileSystem file_system;
          file_system.crash_at = at;
          file_system.crash_after_effect = after;
          acknowledged = 0;
          try {
            run_workload(file_system, acknowledged);
          } catch (const test::Crash&) {
            ++crashes;
          }
          INFO("crash " << (after ? "after" : "before") << " call " << at << ", " << file_system.last_call
                        << ", unsynced data " << static_cast<int>(unsynced) << ", seed " << seed);
          file_system.lose_power(unsynced, seed);
          run_workload(file_system, acknowledged);
          check_all_records_present(file_system);
        }
      }
    }
  }
  CHECK(crashes == calls * 2 * 14);
}

TEST_CASE("a second crash during recovery from the first loses no acknowledged record") {
  for (long first = 3; first < 90; first += 4) {
    for (long second = 0; second < 12; ++second) {
      FaultyFileSystem file_system;
      std::uint64_t acknowledged = 0;
      for (const long at : {first, second}) {
        file_system.calls = 0;
        file_system.crash_at = at;
        try {
          run_workload(file_system, acknowledged);
        } catch (const test::Crash&) {
        }
        file_system.lose_power(UnsyncedData::kTorn, static_cast<unsigned>(first * 31 + at));
      }
      run_workload(file_system, acknowledged);
      check_all_records_present(file_system);
    }
  }
}

TEST_CASE("after one or five failures from any call on, acknowledged records survive a power loss") {
  FaultyFileSystem without_faults;
  std::uint64_t acknowledged = 0;
  run_workload(without_faults, acknowledged);
  for (long at = 0; at < without_faults.calls; ++at) {
    for (const int code : {EIO, ENOSPC}) {
      for (const long count : {1L, 5L}) {
        FaultyFileSystem file_system;
        file_system.fail_at = at;
        file_system.fail_count = count;
        file_system.fail_errno = code;
        acknowledged = 0;
        INFO("call " << at << " fails " << count << " times, " << file_system.last_call);
        run_workload(file_system, acknowledged, 20);
        CHECK(acknowledged == kRecordCount);
        file_system.lose_power(UnsyncedData::kLost, 1);
        check_all_records_present(file_system);
      }
    }
  }
}

TEST_CASE("a full disk makes the log read-only until there is space") {
  FaultyFileSystem file_system;
  ReplayedState state;
  ReplayResult result;
  FileError error;
  const auto log = Log::open(file_system, kDirectory, kSmallSegments, state.handler(), result, error);
  REQUIRE(log);
  log->append(byte_view(record(1)));
  REQUIRE(log->commit() == 0);
  file_system.capacity_bytes = 90;
  log->append(byte_view(record(2)));
  log->append(byte_view(record(3)));
  CHECK(log->commit() == ENOSPC);
  CHECK(log->read_only());
  CHECK(log->durable_sequence() == 1);
  CHECK(log->commit() == EROFS);
  CHECK(log->write_snapshot(1, byte_view(std::string("x"))) == EROFS);
  CHECK(log->resume() == 0);  // truncation needs no space
  CHECK(log->commit() == ENOSPC);
  CHECK(log->durable_sequence() == 1);
  file_system.capacity_bytes = UINT64_MAX;
  CHECK(log->resume() == 0);
  CHECK(log->commit() == 0);
  CHECK(log->durable_sequence() == 3);
}

TEST_CASE(
    "a flipped bit anywhere in a closed log is reported, as an error with path and offset or in the result") {
  FaultyFileSystem file_system;
  std::uint64_t acknowledged = 0;
  run_workload(file_system, acknowledged);
  int errors = 0;
  int unusable_snapshots = 0;
  int torn_writes = 0;
  for (const std::string& path : file_system.paths()) {
    for (std::size_t at = 0; at < file_system.content(path).size(); ++at) {
      char& byte = file_system.content(path)[at];
      byte = static_cast<char>(byte ^ 1 << at % 8);
      ReplayedState state;
      ReplayResult result;
      FileError error;
      INFO(path << " byte " << at << ": " << error.to_string());
      if (!read_log(file_system, kDirectory, true, state.handler(), result, error)) {
        ++errors;
        CHECK(error.path == path);
        CHECK(error.offset <= at);
      } else {
        CHECK(state.text == expected_text(kRecordCount));
        unusable_snapshots += result.unusable_snapshots.empty() ? 0 : 1;
        torn_writes += result.torn_write ? 1 : 0;
        // Recovery skips segments that the snapshot covers; a full read must find the corruption there.
        if (result.unusable_snapshots.empty() && !result.torn_write)
          CHECK((!read_log(file_system, kDirectory, false, {}, result, error) ||
                 !result.unusable_snapshots.empty()));
      }
      byte = static_cast<char>(byte ^ 1 << at % 8);
    }
  }
  CHECK(errors > 100);
  CHECK(unusable_snapshots > 100);
  CHECK(torn_writes == 24);  // the bytes of the final durability marker
}

TEST_CASE("a missing segment is reported with the records it held") {
  FaultyFileSystem file_system;
  std::uint64_t acknowledged = 0;
  run_workload(file_system, acknowledged);
  std::vector<std::string> segments;
  for (const auto& path : file_system.paths()) {
    if (path.find("/log-") != std::string::npos) segments.push_back(path);
  }
  REQUIRE(segments.size() >= 3);
  file_system.remove(segments[segments.size() - 2]);
  ReplayResult result;
  FileError error;
  CHECK_FALSE(read_log(file_system, kDirectory, false, {}, result, error));
  CHECK(error.message.find("are missing") != std::string::npos);
  for (const auto& path : file_system.paths()) {
    if (path.find("/snapshot-") != std::string::npos) file_system.remove(path);
  }
  CHECK_FALSE(Log::open(file_system, kDirectory, kSmallSegments, {}, result, error));
  CHECK(error.message.find("are missing") != std::string::npos);
}
