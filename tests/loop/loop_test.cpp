// Timers, deferred actions and signals of the event loop; streams and their backpressure; address parsing.
#include <doctest/doctest.h>
#include <signal.h>
#include <unistd.h>

#include "loop/stream.h"

using namespace heronworks;

namespace {

// Records what a stream reports.
struct RecordingHandler final : StreamHandler {
  std::string received;
  std::string close_reason;
  bool connected = false;
  std::size_t max_consumed = SIZE_MAX;  // bytes per call
  void on_connected() override { connected = true; }
  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const auto n = std::min(bytes.size(), max_consumed);
    received.append(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(n));
    return n;
  }
  void on_closed(const std::string& reason) override { close_reason = reason; }
};

std::span<const std::uint8_t> as_bytes(std::string_view text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

template <typename Condition>
bool run_until(Loop& loop, Condition condition) {
  for (int i = 0; i < 5000 && !condition(); ++i) loop.run_once(0.01);
  return condition();
}

}  // namespace

TEST_CASE("timers run by time, then in the order they were set; cancelled timers do not run") {
  ManualClock clock(10);
  Loop loop(clock);
  std::string order;
  loop.run_at(11, [&] { order += "b"; });
  loop.run_at(10.5, [&] { order += "a"; });
  loop.run_at(11, [&] { order += "c"; });
  const auto cancelled = loop.run_at(11, [&] { order += "x"; });
  loop.cancel(cancelled);
  loop.run_once(0);
  CHECK(order.empty());
  clock.advance(1);
  loop.run_once(0);
  CHECK(order == "abc");
  CHECK(loop.timer_count() == 0);
}

TEST_CASE("an action deferred by a timer runs in the same iteration, and cancelled timers are not counted") {
  ManualClock clock;
  Loop loop(clock);
  int runs = 0;
  for (int i = 0; i < 10000; ++i) loop.cancel(loop.run_at(1e6, [] {}));
  loop.run_at(0, [&] {
    ++runs;
    loop.defer([&] { ++runs; });
  });
  loop.run_once(0);
  CHECK(runs == 2);
  CHECK(loop.timer_count() == 0);
}

TEST_CASE("a signal runs its action on the loop") {
  const MonotonicClock clock;
  Loop loop(clock);
  int signals = 0;
  loop.on_signal(SIGUSR1, [&] { ++signals; });
  ::kill(::getpid(), SIGUSR1);
  CHECK(run_until(loop, [&] { return signals == 1; }));
}

TEST_CASE("earliest_arrival is the iteration time, or the last poll before a stall") {
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
  clock.advance(0.02);  // within kStallRecoverySeconds
  loop.run_once(0);
  CHECK(loop.earliest_arrival() == doctest::Approx(5.01));
  clock.advance(0.04);
  loop.run_once(0);
  CHECK(loop.earliest_arrival() == doctest::Approx(7.07));
}

// Guards against clients whose input keeps nodes, timers or each other waiting.
TEST_CASE("turns: client input has its turn behind services, one read of each connection at a time") {
  const MonotonicClock clock;
  Loop loop(clock);
  constexpr std::size_t kReadBytes = 4096;
  struct Recorder final : StreamHandler {
    Recorder(std::string& o, char n) : order(o), name(n) {}
    std::size_t on_received(std::span<const std::uint8_t> bytes) override {
      order += name;
      return bytes.size();
    }
    void on_closed(const std::string&) override {}
    std::string& order;
    const char name;
  };
  std::string order;
  std::vector<Fd> accepted;
  Listener listener(loop, listen_on({"127.0.0.1", 0}), [&](Fd fd) { accepted.push_back(std::move(fd)); });
  std::vector<Fd> peers;
  for (int i = 0; i < 3; ++i) peers.push_back(connect_to(listener.address()));
  REQUIRE(run_until(loop, [&] { return accepted.size() == 3; }));
  Recorder first(order, 'a');
  Recorder second(order, 'b');
  Recorder service(order, 's');
  Stream::Options options;
  options.max_read = kReadBytes;
  options.free_when_empty = true;
  options.priority = PollPriority::kClientInput;
  Stream first_stream(loop, std::move(accepted[0]), first, false, options);
  Stream second_stream(loop, std::move(accepted[1]), second, false, options);
  Stream service_stream(loop, std::move(accepted[2]), service);
  const std::string three_reads(3 * kReadBytes, 'x');
  REQUIRE(::write(peers[0].get(), three_reads.data(), three_reads.size()) > 0);
  REQUIRE(::write(peers[1].get(), "x", 1) == 1);
  REQUIRE(::write(peers[2].get(), "x", 1) == 1);
  loop.run_once(0);
  CHECK(order == "sab");
  loop.run_once(0);
  loop.run_once(0);
  CHECK(order == "sabaa");
}

TEST_CASE("turns: a client's turn that was asked for comes without anything to read, and once") {
  const MonotonicClock clock;
  Loop loop(clock);
  struct Counter final : PollHandler {
    void on_readable() override { ++turns; }
    void on_writable() override {}
    void on_hangup() override {}
    int turns = 0;
  } handler;
  const Fd socket = listen_on({"127.0.0.1", 0});
  REQUIRE(loop.watch(socket.get(), handler, PollPriority::kClientInput));
  loop.request_turn(socket.get());
  loop.request_turn(socket.get());
  loop.run_once(0);
  loop.run_once(0);
  CHECK(handler.turns == 1);
  loop.request_turn(socket.get());
  loop.unwatch(socket.get());
  loop.run_once(0);
  CHECK(handler.turns == 1);
}

// Guards against a wall clock that is stepped between arrivals and so changes their order.
TEST_CASE("arrival clock: receive timestamps are converted across steps of the wall clock") {
  constexpr std::int64_t kSecond = 1'000'000'000;
  constexpr std::int64_t kHour = 3600 * kSecond;
  for (const std::int64_t step : {kHour, -kHour, 2 * kSecond, -2 * kSecond}) {
    CAPTURE(step);
    const std::int64_t offset = 1000 * kHour;
    ArrivalClock clock({10 * kSecond, 10 * kSecond + offset});
    clock.observe({11 * kSecond, 11 * kSecond + offset});
    const std::int64_t before = 11 * kSecond + kSecond / 4;
    const std::int64_t after = 11 * kSecond + kSecond / 2;
    clock.observe({12 * kSecond, 12 * kSecond + offset + step});  // stepped in between
    CHECK(clock.to_monotonic(before + offset) == before);
    CHECK(clock.to_monotonic(after + offset + step) == after);
    // And back.
    clock.observe({13 * kSecond, 13 * kSecond + offset});
    const std::int64_t latest = 12 * kSecond + kSecond / 2;
    CHECK(clock.to_monotonic(latest + offset) == latest);
    CHECK(clock.to_monotonic(latest + offset + step) == latest);
    // What arrived before the first step and is read only now. A clock that was set back shows the same time
    // twice; then the later one is assumed.
    const std::int64_t earlier = 10 * kSecond + kSecond / 2;
    const bool shown_twice = step == -2 * kSecond;
    CHECK(clock.to_monotonic(earlier + offset) == (shown_twice ? earlier - step : earlier));
  }
}

TEST_CASE("arrival clock: no message arrived later than the latest reading") {
  ArrivalClock clock({1000, 5000});
  CHECK(clock.to_monotonic(5500) == 1000);
  clock.observe({2000, 6000});
  CHECK(clock.to_monotonic(5500) == 1500);
}

TEST_CASE("streams: a peer that does not read delays only its own connection") {
  const MonotonicClock clock;
  Loop loop(clock);
  std::vector<std::unique_ptr<Stream>> accepted;
  std::vector<std::unique_ptr<RecordingHandler>> accepted_handlers;
  Listener listener(loop, listen_on({"127.0.0.1", 0}), [&](Fd fd) {
    accepted_handlers.push_back(std::make_unique<RecordingHandler>());
    accepted.push_back(std::make_unique<Stream>(loop, std::move(fd), *accepted_handlers.back()));
  });
  RecordingHandler slow_handler, fast_handler;
  Stream slow(loop, connect_to(listener.address()), slow_handler, true);
  REQUIRE(run_until(loop, [&] { return accepted.size() == 1 && slow_handler.connected; }));
  Stream fast(loop, connect_to(listener.address()), fast_handler, true);
  REQUIRE(run_until(loop, [&] { return accepted.size() == 2 && fast_handler.connected; }));
  slow.pause(true);
  const std::string large(8 << 20, 'x');
  accepted[0]->send(as_bytes(large));
  CHECK(accepted[0]->unsent() > 0);
  CHECK(accepted[0]->total_written() + accepted[0]->unsent() == large.size());
  accepted[1]->send(as_bytes("hello"));
  CHECK(run_until(loop, [&] { return fast_handler.received == "hello"; }));
  CHECK(slow_handler.received.empty());
  slow.pause(false);
  CHECK(run_until(loop, [&] { return slow_handler.received.size() == large.size(); }));
  CHECK(accepted[0]->unsent() == 0);
}

TEST_CASE(
    "streams: unconsumed bytes are passed again; a peer's close and a refused connection are reported") {
  const MonotonicClock clock;
  Loop loop(clock);
  RecordingHandler server_handler;
  server_handler.max_consumed = 3;
  std::unique_ptr<Stream> accepted;
  auto listener = std::make_unique<Listener>(loop, listen_on({"127.0.0.1", 0}), [&](Fd fd) {
    accepted = std::make_unique<Stream>(loop, std::move(fd), server_handler);
  });
  const Address address = listener->address();
  RecordingHandler client_handler;
  {
    Stream client(loop, connect_to(address), client_handler, true);
    REQUIRE(run_until(loop, [&] { return client_handler.connected && accepted != nullptr; }));
    client.send(as_bytes("abcd"));
    REQUIRE(run_until(loop, [&] { return server_handler.received == "abc"; }));
    client.send(as_bytes("ef"));
    CHECK(run_until(loop, [&] { return server_handler.received == "abcdef"; }));
  }
  CHECK(run_until(loop, [&] { return server_handler.close_reason == "closed by the peer"; }));
  listener.reset();
  RecordingHandler refused_handler;
  Stream refused(loop, connect_to(address), refused_handler, true);
  CHECK(run_until(loop, [&] { return refused_handler.close_reason == "Connection refused"; }));
  CHECK_FALSE(refused_handler.connected);
}

TEST_CASE("addresses: numeric IPv4 and IPv6 with a port are parsed, anything else is not") {
  CHECK(Address::parse("127.0.0.1:80")->to_string() == "127.0.0.1:80");
  CHECK(Address::parse("[::1]:80")->to_string() == "[::1]:80");
  for (const char* invalid :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", "::1:80", "box:80"}) {
    CHECK_FALSE(Address::parse(invalid));
  }
}
