// The log's writer thread together with an event loop.
#include "store/log_writer.h"

#include <doctest/doctest.h>

#include "faulty_file_system.h"

using namespace heronworks;
using namespace heronworks::store;

namespace {

struct RecordingObserver final : LogWriterObserver {
  void on_durable(std::uint64_t sequence) override { durable_sequence = sequence; }
  void on_read_only_changed(bool read_only, const std::string& reason) override {
    read_only_changes.push_back(read_only);
    if (read_only) read_only_reason = reason;
  }
  std::uint64_t durable_sequence = 0;
  std::vector<bool> read_only_changes;
  std::string read_only_reason;
};

std::unique_ptr<Log> open_log(FileSystem& file_system) {
  ReplayResult result;
  FileError error;
  return Log::open(file_system, "/l", {2000, 2}, {}, result, error);
}

// Runs the loop until the condition holds. Returns false if it does not within 20 s.
bool run_until(Loop& loop, const std::function<bool()>& condition) {
  const double deadline = loop.now() + 20;
  while (!condition() && loop.now() < deadline) loop.run_once(0.01);
  return condition();
}

}  // namespace

TEST_CASE("the writer commits records in groups, notifies the loop and bounds its queue") {
  for (const std::size_t group : {std::size_t{1}, std::size_t{64}}) {
    test::FaultyFileSystem file_system;
    const MonotonicClock clock;
    Loop loop(clock);
    RecordingObserver observer;
    LogWriter writer(loop, open_log(file_system), {100, 4000, group}, observer);
    std::uint64_t appended = 0;
    int refused = 0;
    while (appended < 1000) {
      if (writer.append("record " + std::to_string(appended + 1)) != 0) {
        ++appended;
      } else {
        ++refused;
        CHECK(writer.queue_fill() > 0.9);
        loop.run_once(0.01);
      }
    }
    CHECK(refused > 0);
    REQUIRE(run_until(loop, [&] { return observer.durable_sequence == 1000; }));
    CHECK(writer.pending_count() == 0);
    CHECK(writer.request_snapshot("state"));
    CHECK_FALSE(writer.request_snapshot("again"));
    bool accepted = false;
    REQUIRE(run_until(loop, [&] { return accepted = accepted || writer.request_snapshot("again"); }));
    CHECK(observer.read_only_changes.empty());
  }
}

TEST_CASE("a full disk is reported as read-only mode; pending records are committed once there is space") {
  test::FaultyFileSystem file_system;
  const MonotonicClock clock;
  Loop loop(clock);
  RecordingObserver observer;
  {
    LogWriter writer(loop, open_log(file_system), {100, 100000, 64}, observer);
    writer.append("a");
    REQUIRE(run_until(loop, [&] { return observer.durable_sequence == 1; }));
    loop.run_once(0.05);
    file_system.capacity_bytes = 0;
    writer.append("b");
    writer.append("c");
    REQUIRE(run_until(loop, [&] { return writer.read_only(); }));
    CHECK(observer.durable_sequence == 1);
    CHECK(observer.read_only_reason == "No space left on device");
    CHECK(writer.append("d") != 0);  // still queued, within the limits
    file_system.capacity_bytes = UINT64_MAX;
    REQUIRE(run_until(loop, [&] { return observer.durable_sequence == 4; }));
    CHECK_FALSE(writer.read_only());
    CHECK(observer.read_only_changes == std::vector<bool>{true, false});
    writer.append("e");
  }
  std::string replayed;
  ReplayResult result;
  FileError error;
  const ReplayHandler handler{
      {}, [&](std::uint64_t, ByteView record) { replayed.append(record.begin(), record.end()); }};
  REQUIRE(read_log(file_system, "/l", true, handler, result, error));
  CHECK(replayed == "abcde");  // the destructor committed the last record
}
