// NodeIndexTable and SlotTable: assignment, removal and reuse of indices.
#include <doctest/doctest.h>

#include "host/node_index_table.h"
#include "host/slot_table.h"
#include "host/start_times.h"

using namespace heronworks;

namespace {

NodeEntry update(NodeIndexTable& table, double now, const std::string& name,
                 NodeState state = NodeState::kReady) {
  NodeEntry entry = table.find_or_add(name);
  entry.state = state;
  entry.shard = 3;
  table.update(now, entry);
  return entry;
}

const auto idle = [](int) { return false; };

}  // namespace

TEST_CASE("node index table: a name keeps its index and is reported as new once") {
  NodeIndexTable table;
  CHECK(update(table, 1, "a").index_reused);
  CHECK(update(table, 1, "b").node == 1);
  const NodeEntry again = table.find_or_add("a");
  CHECK(!again.index_reused);
  CHECK(again.node == 0);
  CHECK(again.shard == 3);  // from its update
  CHECK(table.entry(1).state == NodeState::kReady);
}

TEST_CASE("node index table: a node absent from a full list is evicted after the retention, unless busy") {
  NodeIndexTable table;
  update(table, 1, "a");
  table.remove_absent(2, {update(table, 2, "b")});
  CHECK(table.entry(0).state == NodeState::kRemoved);
  CHECK(table.entry(1).state == NodeState::kReady);
  table.remove_absent(11.9, {update(table, 11.9, "b")});  // "a" still counts as removed since 2
  CHECK(table.evict(11.9, 10, idle).empty());
  CHECK(table.evict(12, 10, [](int) { return true; }).empty());
  CHECK(table.evict(12, 10, idle) == std::vector<int>{0});
  CHECK(!table.contains("a"));
  CHECK(table.entry(0).state == NodeState::kRemoved);
  CHECK(table.evict(99, 10, idle).empty());
  const NodeEntry later = update(table, 12, "c");
  CHECK(later.node == 0);
  CHECK(later.index_reused);
  CHECK(table.entry(0).shard == 3);
  CHECK(table.size() == 2);
}

TEST_CASE("node index table: a node that returns before its eviction keeps its index") {
  NodeIndexTable table;
  update(table, 1, "a");
  update(table, 2, "a", NodeState::kRemoved);
  update(table, 5, "a", NodeState::kRemoved);
  CHECK(table.evict(11, 10, idle).empty());
  CHECK(!update(table, 11, "a", NodeState::kDraining).index_reused);
  CHECK(table.evict(99, 10, idle).empty());
  update(table, 20, "a", NodeState::kRemoved);  // the retention starts again
  CHECK(table.evict(29, 10, idle).empty());
  CHECK(table.evict(30, 10, idle).size() == 1);
}

TEST_CASE("slot table: a released index is allocated again with a default-constructed slot") {
  SlotTable<std::string> slots;
  const int first = slots.allocate();
  slots[first] = "a";
  CHECK(slots.allocate() == 1);
  CHECK(slots.in_use() == 2);
  CHECK(slots.index_of(slots[1]) == 1);
  slots.release(first);
  CHECK(slots.in_use() == 1);
  CHECK(slots.allocate() == first);
  CHECK(slots[first].empty());
}

// Guards against a node's age that changes with the wall clock: slow start would be lost, or never end.
TEST_CASE("start times: a step of the wall clock changes no node's age, nor that of nodes that start later") {
  StartTimes times;
  constexpr double kOffset = 1'700'000'000;
  constexpr double kStep = 3600;
  for (const double step : {kStep, -kStep}) {
    CAPTURE(step);
    CHECK(times.to_loop_time(0, kOffset + 50, true, kOffset) == doctest::Approx(50));
    CHECK(times.to_loop_time(0, kOffset + 50, false, kOffset + step) == doctest::Approx(50));
    CHECK(times.to_loop_time(0, kOffset + step + 90, false, kOffset + step) == doctest::Approx(90));
    CHECK(times.to_loop_time(1, kOffset + step + 95, true, kOffset + step) == doctest::Approx(95));
    CHECK(times.to_loop_time(2, 0, true, kOffset) == 0);
  }
}
