// Every ordering of a few events on the gateway, with a manual clock: node responses, a lost connection, a
// client that disconnects, a draining node, and time. No command may be answered twice, and no resource may
// remain in use at the end.
#include <doctest/doctest.h>

#include <algorithm>

#include "gateway_fixture.h"

using namespace heronworks;
using namespace heronworks::test;
namespace st = heronworks::nvme::status;

namespace {

struct Totals {
  int orderings = 0;
  int succeeded = 0;
  int rejected = 0;
  int expired = 0;
  int abandoned = 0;
  int retried_reads = 0;
};

// One client reads from shard 0 and appends; another one writes and may disconnect.
class OrderingFixture : public BasicGatewayFixture<ManualClock> {
 public:
  enum Event {
    kFirstNodeResponds,
    kAllNodesRespond,
    kAllNodesFull,
    kConnectionsReset,
    kClientDisconnects,
    kNodeDrains,
    kTimePasses
  };

  OrderingFixture() {
    start(false);
    REQUIRE(run_until([&] { return endpoint_list.requests > 0; }));
    settle();
    client_a_ = &client();
    client_b_ = &client();
    for (auto& n : nodes) n->auto_response.reset();
    advance(0.1);  // reservation tokens accumulate
    client_a_->read(1, 0);
    client_a_->append(2);
    client_b_->write(3, 1);
    REQUIRE(run_until([&] { return scheduler->counts().arrived == 3; }));
    REQUIRE(run_until([&] { return received() == 3; }));
  }
  std::size_t received() const { return nodes[0]->commands.size() + nodes[1]->commands.size(); }
  void settle() {
    for (int i = 0; i < 6; ++i) loop.run_once(0);
  }
  void apply(Event e) {
    switch (e) {
      case kFirstNodeResponds:
        respond(*nodes[0], st::kOk);
        break;
      case kAllNodesRespond:
        for (auto& n : nodes) respond(*n, st::kOk);
        break;
      case kAllNodesFull:
        for (auto& n : nodes) respond(*n, st::kCommandInterrupted);
        break;
      case kConnectionsReset:
        for (auto& n : nodes) n->target->reset_all_connections();
        break;
      case kClientDisconnects:
        client_b_->host->close("disconnect");
        break;
      case kNodeDrains: {
        auto to = all_ready();
        to[0].state = NodeState::kDraining;
        endpoint_list.update(to);
        settle();
        settle();
        commands_at_drain_ = nodes[0]->commands.size();
        break;
      }
      case kTimePasses:
        advance(0.7);
        break;
    }
    settle();
    CHECK_FALSE(client_a_->completed_twice);
    CHECK(client_a_->completions.size() <= 2);
    if (commands_at_drain_) CHECK(nodes[0]->commands.size() == *commands_at_drain_);
  }
  // In steps, so that timers fire in order.
  void advance(double seconds) {
    for (int i = 0; i < 70; ++i) {
      clock.advance(seconds / 70);
      loop.run_once(0);
    }
  }
  void finish(Totals& totals) {
    for (int i = 0; i < 4; ++i) advance(0.7);
    settle();
    const gateway::Counts& c = scheduler->counts();
    CHECK(client_a_->completions.size() == 2);
    CHECK(scheduler->open() == 0);
    CHECK(scheduler->admission_empty());
    CHECK(c.arrived == 3);
    CHECK(c.succeeded + c.rejected + c.expired + c.abandoned == 3);
    CHECK(c.refused + c.rejected_at_admission == 0);
    std::map<std::uint64_t, std::vector<std::uint8_t>> reached;
    for (auto& n : nodes) {
      for (const auto& k : n->commands) reached[k.sqe.idempotency_key()].push_back(k.sqe.opcode);
    }
    CHECK(c.dispatched >= received());
    // The append is retried only after a node rejected it without execution.
    CHECK(reached[1002].size() <= 1 + full_responses_);
    totals.retried_reads += reached[1001].size() > 1;
    totals.succeeded += static_cast<int>(c.succeeded);
    totals.rejected += static_cast<int>(c.rejected);
    totals.expired += static_cast<int>(c.expired);
    totals.abandoned += static_cast<int>(c.abandoned);
    ++totals.orderings;
  }

 private:
  // Responds to all commands, newest first, so that completions arrive out of order.
  void respond(ScriptedNode& n, nvme::Status status) {
    for (std::size_t i = n.commands.size(); i > 0; --i) n.respond(i - 1, status);
    if (status == st::kCommandInterrupted) ++full_responses_;
  }
  TestClient* client_a_ = nullptr;
  TestClient* client_b_ = nullptr;
  std::optional<std::size_t> commands_at_drain_;
  std::size_t full_responses_ = 0;
};

}  // namespace

TEST_CASE("every ordering of responses, resets, a client disconnect, a draining node and time") {
  Totals totals;
  for (const auto& first :
       {std::vector{OrderingFixture::kFirstNodeResponds, OrderingFixture::kConnectionsReset,
                    OrderingFixture::kClientDisconnects, OrderingFixture::kNodeDrains,
                    OrderingFixture::kTimePasses},
        std::vector{OrderingFixture::kAllNodesRespond, OrderingFixture::kAllNodesFull,
                    OrderingFixture::kClientDisconnects, OrderingFixture::kNodeDrains,
                    OrderingFixture::kTimePasses}}) {
    auto order = first;
    std::sort(order.begin(), order.end());
    do {
      OrderingFixture fixture;
      std::string text;
      for (const auto e : order) {
        text += std::to_string(e) + " ";
        INFO(text);
        fixture.apply(e);
      }
      INFO(text);
      fixture.finish(totals);
    } while (std::next_permutation(order.begin(), order.end()));
  }
  MESSAGE(totals.orderings, " orderings: ", totals.succeeded, " succeeded, ", totals.rejected, " rejected, ",
          totals.expired, " expired, ", totals.abandoned, " abandoned, ", totals.retried_reads,
          " reads were retried");
  CHECK(totals.orderings == 240);
  CHECK(totals.succeeded > 0);
  CHECK(totals.rejected > 0);
  CHECK(totals.expired > 0);
  CHECK(totals.abandoned > 0);
  CHECK(totals.retried_reads > 0);
}
