// Deduplication of writes by a stand-in node.
#include "lab/node.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <filesystem>

#include "lab/scenario.h"
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

TEST_CASE("a repeated idempotency key is deduplicated on the same volume and executed on another") {
  const std::string folder = "/tmp/heronworks-test-" + std::to_string(::getpid()) + "-node";
  std::filesystem::create_directories(folder);
  config::Problems problems;
  const auto scenario = read_scenario(SHORT_DAY, 1, problems);
  REQUIRE(scenario);
  const MonotonicClock clock;
  Loop loop(clock);
  Recorder record(folder + "/record");
  NodeOptions o;
  o.listen = {"127.0.0.1", 0};
  o.start = clock.now() + 3600;  // before any fault is active
  o.folder = folder;
  StandInNode node(loop, *scenario, o, record, [] {});
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
  const auto quote =
      static_cast<int>(std::find(scenario->profile_names.begin(), scenario->profile_names.end(), "quote") -
                       scenario->profile_names.begin());
  const auto write = [&](std::uint64_t token, std::uint32_t volume) {
    nvme::Sqe c;
    c.opcode = nvme::opcode::kWrite;
    c.nsid = volume;
    c.set_blocks(1);
    c.set_idempotency_key(tagged_key(7, quote));
    host.submit(token, c, std::make_shared<const nvme::Bytes>(scenario->block_bytes, std::uint8_t(token)), 0);
    REQUIRE(until([&] { return client.answers.contains(token); }));
    CHECK(client.answers[token].ok());
  };
  write(1, 1);
  write(2, 2);
  write(3, 1);
  std::vector<std::pair<int, std::string>> ran;
  for (const Event& e : read_records({folder + "/record"})) {
    if (e.kind == EventKind::kExecuted) ran.push_back({e.volume, e.outcome});
  }
  CHECK(ran == std::vector<std::pair<int, std::string>>{{0, ""}, {1, ""}, {0, "repeat"}});
  std::filesystem::remove_all(folder);
}
