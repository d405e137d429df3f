// Indices for nodes and transactions.
#include "host/node_numbers.h"

#include <doctest/doctest.h>

#include "host/slots.h"

using namespace heronworks;

namespace {

NodeEntry list(NodeNumbers& n, double now, const std::string& name, NodeState listing = NodeState::kReady) {
  NodeEntry e = n.begin(name);
  e.state = listing;
  e.shard = 3;
  n.listed(now, e);
  return e;
}

const auto idle = [](int) { return false; };

}  // namespace

TEST_CASE("node numbers: a name keeps its number, and is fresh once") {
  NodeNumbers n;
  CHECK(list(n, 1, "a").index_reused);
  CHECK(list(n, 1, "b").node == 1);
  const NodeEntry again = n.begin("a");
  CHECK(!again.index_reused);
  CHECK(again.node == 0);
  CHECK(again.shard == 3);  // what was listed of it
  CHECK(n.entry(1).state == NodeState::kReady);
}

TEST_CASE("node numbers: what a whole list leaves out is gone; gone for long and idle, its number goes on") {
  NodeNumbers n;
  list(n, 1, "a");
  n.only(2, {list(n, 2, "b")});
  CHECK(n.entry(0).state == NodeState::kRemoved);
  CHECK(n.entry(1).state == NodeState::kReady);
  n.only(11.9, {list(n, 11.9, "b")});  // gone since 2, however often it is left out
  CHECK(n.let_go(11.9, 10, idle).empty());
  CHECK(n.let_go(12, 10, [](int) { return true; }).empty());
  CHECK(n.let_go(12, 10, idle) == std::vector<int>{0});
  CHECK(!n.knows("a"));
  CHECK(n.entry(0).state == NodeState::kRemoved);
  CHECK(n.let_go(99, 10, idle).empty());
  const NodeEntry later = list(n, 12, "c");
  CHECK(later.node == 0);
  CHECK(later.index_reused);
  CHECK(n.entry(0).shard == 3);
  CHECK(n.known() == 2);
}

TEST_CASE("node numbers: one that comes back in time keeps its number, and its time begins anew") {
  NodeNumbers n;
  list(n, 1, "a");
  list(n, 2, "a", NodeState::kRemoved);
  list(n, 5, "a", NodeState::kRemoved);
  CHECK(n.let_go(11, 10, idle).empty());
  CHECK(!list(n, 11, "a", NodeState::kDraining).index_reused);
  CHECK(n.let_go(99, 10, idle).empty());
  list(n, 20, "a", NodeState::kRemoved);
  CHECK(n.let_go(29, 10, idle).empty());
  CHECK(n.let_go(30, 10, idle).size() == 1);
}

TEST_CASE("slots: an index is taken again, as new") {
  Slots<std::string> slots;
  const int a = slots.take();
  slots[a] = "a";
  CHECK(slots.take() == 1);
  CHECK(slots.open() == 2);
  CHECK(slots.index_of(slots[1]) == 1);
  slots.give(a);
  CHECK(slots.open() == 1);
  CHECK(slots.take() == a);
  CHECK(slots[a].empty());
}
