// The log's thread beside a loop.
#include "store/writer.h"

#include <doctest/doctest.h>

#include "faulty.h"

using namespace heronworks;
using namespace heronworks::store;

namespace {

struct Owner final : WriterOwner {
  void durable(std::uint64_t sequence) override { upto = sequence; }
  void writer_state(bool read_only, const std::string& reason) override {
    states.push_back(read_only);
    if (read_only) why = reason;
  }
  std::uint64_t upto = 0;
  std::vector<bool> states;
  std::string why;
};

std::unique_ptr<Log> open(Files& files) {
  LogState state;
  Fault fault;
  return Log::open(files, "/l", {2000, 2}, {}, state, fault);
}

bool until(Loop& loop, const std::function<bool()>& done) {
  const double end = loop.now() + 20;
  while (!done() && loop.now() < end) loop.run_once(0.01);
  return done();
}

}  // namespace

TEST_CASE("groups become durable, the loop is told; what is held is bounded") {
  for (const std::size_t group : {std::size_t{1}, std::size_t{64}}) {
    test::FaultyFiles files;
    const MonotonicClock clock;
    Loop loop(clock);
    Owner owner;
    Writer writer(loop, open(files), {100, 4000, group}, owner);
    std::uint64_t sent = 0;
    int refused = 0;
    while (sent < 1000) {
      if (writer.append("record " + std::to_string(sent + 1)) != 0) {
        ++sent;
      } else {
        ++refused;
        CHECK(writer.fill() > 0.9);
        loop.run_once(0.01);
      }
    }
    CHECK(refused > 0);
    REQUIRE(until(loop, [&] { return owner.upto == 1000; }));
    CHECK(writer.held() == 0);
    CHECK(writer.snapshot("state"));
    CHECK_FALSE(writer.snapshot("again"));
    bool taken = false;
    REQUIRE(until(loop, [&] { return taken = taken || writer.snapshot("again"); }));
    CHECK(owner.states.empty());
  }
}

TEST_CASE("a disk that fails: read-only is told, what was taken is kept, and goes on by itself") {
  test::FaultyFiles files;
  const MonotonicClock clock;
  Loop loop(clock);
  Owner owner;
  {
    Writer writer(loop, open(files), {100, 100000, 64}, owner);
    writer.append("a");
    REQUIRE(until(loop, [&] { return owner.upto == 1; }));
    loop.run_once(0.05);
    files.room = 0;
    writer.append("b");
    writer.append("c");
    REQUIRE(until(loop, [&] { return writer.read_only(); }));
    CHECK(owner.upto == 1);
    CHECK(owner.why == "No space left on device");
    CHECK(writer.append("d") != 0);  // still taken, up to the bounds
    files.room = UINT64_MAX;
    REQUIRE(until(loop, [&] { return owner.upto == 4; }));
    CHECK_FALSE(writer.read_only());
    CHECK(owner.states == std::vector<bool>{true, false});
    writer.append("e");
  }
  std::string all;
  LogState state;
  Fault fault;
  const Reader reader{{}, [&](std::uint64_t, View r) { all.append(r.begin(), r.end()); }};
  REQUIRE(read_log(files, "/l", true, reader, state, fault));
  CHECK(all == "abcde");  // the last was written as the writer ended
}
