// What a scheduler holds for its peers, and when it lets go of it.
#include <doctest/doctest.h>

#include "platform_fixture.h"

using namespace heronworks;
using test::PlatformFixture;

namespace {

std::size_t total_bytes(const platform::SchedulerMemory& memory) {
  return memory.open_requests + memory.clients.incomplete_requests + memory.clients.unconsumed_input +
         memory.clients.unsent_replies + memory.nodes.unsent_requests + memory.nodes.incomplete_replies;
}

}  // namespace

// Guards against objects that are reset but keep the capacity of their strings and buffers.
TEST_CASE("the memory of requests and replies is freed once they are done, on connections that stay open") {
  PlatformFixture fixture;
  fixture.node0.reply = test::http_reply(200, std::string(250'000, 'y'));
  fixture.start();
  constexpr std::size_t kConnections = 8;
  for (std::size_t i = 0; i < kConnections; ++i) {
    fixture.client().send(fixture.write("w" + std::to_string(i), std::string(200'000, 'x')));
  }
  REQUIRE(fixture.run_until([&] {
    return std::all_of(fixture.clients.begin(), fixture.clients.end(),
                       [&](const auto& c) { return fixture.body(*c).size() == 250'000; });
  }));
  fixture.run_for(0.01);
  CHECK(fixture.scheduler->node_connections().idle_connections() > 0);
  constexpr std::size_t kBytesOfEmptyStrings = 64;
  CHECK(total_bytes(fixture.scheduler->memory()) <= kConnections * kBytesOfEmptyStrings);
}
