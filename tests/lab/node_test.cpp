// A stand-in node by itself: what it takes for a repeat.
#include "lab/node.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>

#include "lab/day.h"
#include "nvme/host.h"

using namespace heronworks;
using namespace heronworks::lab;

namespace {

struct Client final : nvme::HostHandler {
  void on_ready() override { up = true; }
  void on_completed(std::uint64_t token, nvme::Completion&& c) override { answers[token] = c.status(); }
  void on_disconnected(const std::string&) override {}
  bool up = false;
  std::map<std::uint64_t, nvme::Status> answers;
};

}  // namespace

TEST_CASE("two volumes may pick one label: each has its write; the same volume's second is a repeat") {
  const std::string folder = "/tmp/heronworks-test-" + std::to_string(::getpid()) + "-node";
  std::filesystem::create_directories(folder);
  config::Problems problems;
  const auto day = read_day(SHORT_DAY, 1, problems);
  REQUIRE(day);
  const MonotonicClock clock;
  Loop loop(clock);
  Recorder record(folder + "/record");
  NodeOptions o;
  o.listen = {"127.0.0.1", 0};
  o.start = clock.now() + 3600;  // no trouble acts yet
  o.folder = folder;
  StandInNode node(loop, *day, o, record, [] {});
  Client client;
  nvme::HostOptions h;
  h.address = node.address();
  h.subnqn = kNodeSubsystem;
  nvme::Host host(loop, h, client);
  const auto until = [&](const std::function<bool()>& done) {
    const double end = clock.now() + 20;
    while (!done() && clock.now() < end) loop.run_once(0.01);
    return done();
  };
  REQUIRE(until([&] { return client.up; }));
  const auto quote = static_cast<int>(
      std::find(day->profile_names.begin(), day->profile_names.end(), "quote") - day->profile_names.begin());
  const auto write = [&](std::uint64_t token, std::uint32_t volume) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kWrite;
    c.nsid = volume;
    c.set_blocks(1);
    c.set_idempotency_key(label_of(7, quote));
    host.submit(token, c, std::make_shared<const nvme::Bytes>(day->block_bytes, std::uint8_t(token)), 0);
    REQUIRE(until([&] { return client.answers.contains(token); }));
    CHECK(client.answers[token].ok());
  };
  write(1, 1);
  write(2, 2);
  write(3, 1);
  std::vector<std::pair<int, std::string>> ran;
  for (const Event& e : read_records({folder + "/record"})) {
    if (e.kind == Kind::kRan) ran.push_back({e.volume, e.outcome});
  }
  CHECK(ran == std::vector<std::pair<int, std::string>>{{0, ""}, {1, ""}, {0, "repeat"}});
  std::filesystem::remove_all(folder);
}
