#include "host/node_index_table.h"

#include <set>

namespace heronworks {

NodeEntry NodeIndexTable::removed_entry(int node) {
  NodeEntry entry;
  entry.node = node;
  entry.state = NodeState::kRemoved;
  return entry;
}

NodeEntry NodeIndexTable::find_or_add(const std::string& name) {
  if (const auto found = indices_.find(name); found != indices_.end()) return entry(found->second);
  int node = index_limit();
  if (free_indices_.empty()) {
    nodes_.emplace_back();
  } else {
    node = free_indices_.back();
    free_indices_.pop_back();
  }
  indices_[name] = node;
  nodes_[static_cast<std::size_t>(node)] = {name, removed_entry(node), 0};
  NodeEntry added = removed_entry(node);
  added.index_reused = true;
  return added;
}

void NodeIndexTable::update(double now, const NodeEntry& entry) {
  Node& node = nodes_[static_cast<std::size_t>(entry.node)];
  if (entry.state == NodeState::kRemoved) mark_removed(now, node);
  node.entry = entry;
  node.entry.index_reused = false;
}

void NodeIndexTable::mark_removed(double now, Node& node) {
  if (node.entry.state != NodeState::kRemoved) node.removed_at = now;
  node.entry.state = NodeState::kRemoved;
}

void NodeIndexTable::remove_absent(double now, const std::vector<NodeEntry>& entries) {
  std::set<int> present;
  for (const NodeEntry& entry : entries) present.insert(entry.node);
  for (Node& node : nodes_) {
    if (!node.name.empty() && !present.contains(node.entry.node)) mark_removed(now, node);
  }
}

std::vector<int> NodeIndexTable::evict(double now, double retention,
                                       const std::function<bool(int)>& is_busy) {
  std::vector<int> evicted;
  for (int i = 0; i < index_limit(); ++i) {
    Node& node = nodes_[static_cast<std::size_t>(i)];
    if (node.name.empty() || node.entry.state != NodeState::kRemoved || now < node.removed_at + retention ||
        is_busy(i))
      continue;
    indices_.erase(node.name);
    node = {"", removed_entry(i), 0};
    free_indices_.push_back(i);
    evicted.push_back(i);
  }
  return evicted;
}

}  // namespace heronworks
