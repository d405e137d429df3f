// Timers, streams and back pressure of the event loop.
#include <doctest/doctest.h>
#include <signal.h>
#include <unistd.h>

#include "loop/stream.h"

using namespace heronworks;

namespace {

struct Sink final : StreamHandler {
  std::string bytes;
  std::string reason;
  bool up = false;
  std::size_t most = SIZE_MAX;  // uses at most so many bytes at a time
  void on_connected() override { up = true; }
  std::size_t on_received(std::span<const std::uint8_t> b) override {
    const auto n = std::min(b.size(), most);
    bytes.append(b.begin(), b.begin() + static_cast<std::ptrdiff_t>(n));
    return n;
  }
  void on_closed(const std::string& r) override { reason = r; }
};

template <typename Until>
bool run_until(Loop& loop, Until done) {
  for (int i = 0; i < 5000 && !done(); ++i) loop.run_once(0.01);
  return done();
}

}  // namespace

TEST_CASE("timers run in the order of their times, then of their setting; a cancelled one never") {
  ManualClock clock(10);
  Loop loop(clock);
  std::string ran;
  loop.run_at(11, [&] { ran += "b"; });
  loop.run_at(10.5, [&] { ran += "a"; });
  loop.run_at(11, [&] { ran += "c"; });
  const auto cancelled = loop.run_at(11, [&] { ran += "x"; });
  loop.cancel(cancelled);
  loop.run_once(0);
  CHECK(ran.empty());
  clock.advance(1);
  loop.run_once(0);
  CHECK(ran == "abc");
  CHECK(loop.timer_count() == 0);
}

TEST_CASE("a timer that sets another for now does not starve the loop, and old cancelled ones are dropped") {
  ManualClock clock;
  Loop loop(clock);
  int ran = 0;
  for (int i = 0; i < 10000; ++i) loop.cancel(loop.run_at(1e6, [] {}));
  loop.run_at(0, [&] {
    ++ran;
    loop.defer([&] { ++ran; });
  });
  loop.run_once(0);
  CHECK(ran == 2);
  CHECK(loop.timer_count() == 0);
}

TEST_CASE("signals come through the loop") {
  const MonotonicClock clock;
  Loop loop(clock);
  int came = 0;
  loop.on_signal(SIGUSR1, [&] { ++came; });
  ::kill(::getpid(), SIGUSR1);
  CHECK(run_until(loop, [&] { return came == 1; }));
}

TEST_CASE("the earliest arrival is the turn, or the last look where the loop stood still") {
  ManualClock clock(5);
  Loop loop(clock);
  loop.run_once(0);
  clock.advance(0.01);
  loop.run_once(0);
  CHECK(loop.earliest_arrival() == doctest::Approx(5.01));
  clock.advance(2);
  loop.run_once(0);
  CHECK(loop.earliest_arrival() == doctest::Approx(5.01));
  CHECK(loop.iteration_time() == doctest::Approx(7.01));
  clock.advance(0.02);  // what a full receive buffer had kept back
  loop.run_once(0);
  CHECK(loop.earliest_arrival() == doctest::Approx(5.01));
  clock.advance(0.04);
  loop.run_once(0);
  CHECK(loop.earliest_arrival() == doctest::Approx(7.07));
}

TEST_CASE("streams: a reader that reads nothing makes the sender's bytes wait, and nobody else's") {
  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<Stream>> served;
  std::vector<std::unique_ptr<Sink>> sinks;
  Listener listener(loop, listen_on({"127.0.0.1", 0}), [&](Fd fd) {
    sinks.push_back(std::make_unique<Sink>());
    served.push_back(std::make_unique<Stream>(loop, std::move(fd), *sinks.back()));
  });
  Sink slow, quick;
  Stream a(loop, connect_to(listener.address()), slow, true);
  REQUIRE(run_until(loop, [&] { return served.size() == 1 && slow.up; }));
  Stream b(loop, connect_to(listener.address()), quick, true);
  REQUIRE(run_until(loop, [&] { return served.size() == 2 && quick.up; }));
  a.pause(true);
  const std::string big(8 << 20, 'x');
  served[0]->send({reinterpret_cast<const std::uint8_t*>(big.data()), big.size()});
  CHECK(served[0]->unsent() > 0);
  CHECK(served[0]->total_written() + served[0]->unsent() == big.size());
  served[1]->send({reinterpret_cast<const std::uint8_t*>("hello"), 5});
  CHECK(run_until(loop, [&] { return quick.bytes == "hello"; }));
  CHECK(slow.bytes.empty());
  a.pause(false);
  CHECK(run_until(loop, [&] { return slow.bytes.size() == big.size(); }));
  CHECK(served[0]->unsent() == 0);
}

TEST_CASE("streams: unused bytes come again, a closed peer is told, a refused connection too") {
  const MonotonicClock clock;
  Loop loop(clock);
  Sink in;
  in.most = 3;
  std::unique_ptr<Stream> served;
  auto listener = std::make_unique<Listener>(loop, listen_on({"127.0.0.1", 0}), [&](Fd fd) {
    served = std::make_unique<Stream>(loop, std::move(fd), in);
  });
  const Address at = listener->address();
  Sink out;
  {
    Stream s(loop, connect_to(at), out, true);
    REQUIRE(run_until(loop, [&] { return out.up && served != nullptr; }));
    s.send({reinterpret_cast<const std::uint8_t*>("abcd"), 4});
    REQUIRE(run_until(loop, [&] { return in.bytes == "abc"; }));
    s.send({reinterpret_cast<const std::uint8_t*>("ef"), 2});
    CHECK(run_until(loop, [&] { return in.bytes == "abcdef"; }));
  }
  CHECK(run_until(loop, [&] { return in.reason == "closed by the peer"; }));
  listener.reset();
  Sink refused;
  Stream s(loop, connect_to(at), refused, true);
  CHECK(run_until(loop, [&] { return refused.reason == "Connection refused"; }));
  CHECK_FALSE(refused.up);
}

TEST_CASE("addresses: numeric only, both families") {
  CHECK(Address::parse("127.0.0.1:80")->to_string() == "127.0.0.1:80");
  CHECK(Address::parse("[::1]:80")->to_string() == "[::1]:80");
  for (const char* bad :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", "::1:80", "box:80"}) {
    CHECK_FALSE(Address::parse(bad));
  }
}
