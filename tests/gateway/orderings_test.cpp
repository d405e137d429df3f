// Every ordering of a few events on the real gateway, by a hand-turned clock: answers, a broken connection, a
// client that leaves, a drain in the list, time. After each event no client has two answers; at the end every
// count is back.
#include <doctest/doctest.h>

#include <algorithm>

#include "rig.h"

using namespace heronworks;
using namespace heronworks::test;
namespace st = heronworks::nvme::status;

namespace {

struct Seen {
  int orderings = 0;
  int honoured = 0;
  int turned_back = 0;
  int given_up = 0;
  int abandoned = 0;
  int again = 0;  // redoable work that reached a node twice
};

// A read of shard 0 and an append by one client, a write by another that leaves.
class World : public RigOn<ManualClock> {
 public:
  enum Event { kAnswersFirst, kAnswersAll, kFullAll, kBreaks, kLeaves, kDrains, kTime };

  World() {
    start(false);
    REQUIRE(until([&] { return list.asked > 0; }));
    settle();
    stays = &client();
    leaves = &client();
    for (auto& n : nodes) n->answers.reset();
    pass(0.1);  // slices of the reservation fill
    stays->read(1, 0);
    stays->append(2);
    leaves->write(3, 1);
    REQUIRE(until([&] { return scheduler->counts().landed == 3; }));
    REQUIRE(until([&] { return came() == 3; }));
  }
  std::size_t came() const { return nodes[0]->came.size() + nodes[1]->came.size(); }
  void settle() {
    for (int i = 0; i < 6; ++i) loop.run_once(0);
  }
  void happen(Event e) {
    switch (e) {
      case kAnswersFirst:
        answer(*nodes[0], st::kOk);
        break;
      case kAnswersAll:
        for (auto& n : nodes) answer(*n, st::kOk);
        break;
      case kFullAll:
        for (auto& n : nodes) answer(*n, st::kCommandInterrupted);
        break;
      case kBreaks:
        for (auto& n : nodes) n->target->reset_all_connections();
        break;
      case kLeaves:
        leaves->host->close("leaves");
        break;
      case kDrains: {
        auto to = all_ready();
        to[0].listing = NodeState::kDraining;
        list.change(to);
        settle();
        settle();
        at_drain_ = nodes[0]->came.size();
        break;
      }
      case kTime:
        pass(0.7);
        break;
    }
    settle();
    CHECK_FALSE(stays->twice);
    CHECK(stays->answers.size() <= 2);
    if (at_drain_) CHECK(nodes[0]->came.size() == *at_drain_);
  }
  // In steps, so that timers come in their order.
  void pass(double seconds) {
    for (int i = 0; i < 70; ++i) {
      clock.advance(seconds / 70);
      loop.run_once(0);
    }
  }
  void finish(Seen& seen) {
    for (int i = 0; i < 4; ++i) pass(0.7);
    settle();
    const gateway::Counts& c = scheduler->counts();
    CHECK(stays->answers.size() == 2);
    CHECK(scheduler->open() == 0);
    CHECK(scheduler->door_empty());
    CHECK(c.landed == 3);
    CHECK(c.honoured + c.turned_back + c.given_up + c.abandoned == 3);
    CHECK(c.refused + c.at_door == 0);
    std::map<std::uint64_t, std::vector<std::uint8_t>> reached;
    for (auto& n : nodes) {
      for (const auto& k : n->came) reached[k.sqe.idempotency_key()].push_back(k.sqe.opcode);
    }
    CHECK(c.dispatched >= came());
    // Of the append: once more only after the node's word that it never ran.
    CHECK(reached[1002].size() <= 1 + full_);
    seen.again += reached[1001].size() > 1;
    seen.honoured += static_cast<int>(c.honoured);
    seen.turned_back += static_cast<int>(c.turned_back);
    seen.given_up += static_cast<int>(c.given_up);
    seen.abandoned += static_cast<int>(c.abandoned);
    ++seen.orderings;
  }

 private:
  // All that is out there, the newest first: completions out of order.
  void answer(ScriptNode& n, nvme::Status status) {
    for (std::size_t i = n.came.size(); i > 0; --i) n.answer(i - 1, status);
    if (status == st::kCommandInterrupted) ++full_;
  }
  ScriptClient* stays = nullptr;
  ScriptClient* leaves = nullptr;
  std::optional<std::size_t> at_drain_;
  std::size_t full_ = 0;
};

}  // namespace

TEST_CASE("every ordering of answers, a break, a client that leaves, a drain and time, on the real gateway") {
  Seen seen;
  for (const auto& first :
       {std::vector{World::kAnswersFirst, World::kBreaks, World::kLeaves, World::kDrains, World::kTime},
        std::vector{World::kAnswersAll, World::kFullAll, World::kLeaves, World::kDrains, World::kTime}}) {
    auto order = first;
    std::sort(order.begin(), order.end());
    do {
      World w;
      std::string text;
      for (const auto e : order) {
        text += std::to_string(e) + " ";
        INFO(text);
        w.happen(e);
      }
      INFO(text);
      w.finish(seen);
    } while (std::next_permutation(order.begin(), order.end()));
  }
  MESSAGE(seen.orderings, " orderings: ", seen.honoured, " honoured, ", seen.turned_back, " turned back, ",
          seen.given_up, " given up, ", seen.abandoned, " abandoned, ", seen.again, " reads went again");
  CHECK(seen.orderings == 240);
  CHECK(seen.honoured > 0);
  CHECK(seen.turned_back > 0);
  CHECK(seen.given_up > 0);
  CHECK(seen.abandoned > 0);
  CHECK(seen.again > 0);
}
