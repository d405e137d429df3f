// Indices for nodes: see node_numbers.h.
#include "host/node_numbers.h"

#include <set>

namespace heronworks {

NodeEntry NodeNumbers::unlisted(int node) {
  NodeEntry e;
  e.node = node;
  e.state = NodeState::kRemoved;
  return e;
}

NodeEntry NodeNumbers::begin(const std::string& name) {
  if (const auto at = numbers_.find(name); at != numbers_.end()) return entry(at->second);
  int node = most();
  if (free_.empty()) {
    nodes_.emplace_back();
  } else {
    node = free_.back();
    free_.pop_back();
  }
  numbers_[name] = node;
  nodes_[static_cast<std::size_t>(node)] = {name, unlisted(node), 0};
  NodeEntry e = unlisted(node);
  e.index_reused = true;
  return e;
}

void NodeNumbers::listed(double now, const NodeEntry& entry) {
  Node& n = nodes_[static_cast<std::size_t>(entry.node)];
  if (entry.state == NodeState::kRemoved) gone(now, n);
  n.entry = entry;
  n.entry.index_reused = false;
}

void NodeNumbers::gone(double now, Node& node) {
  if (node.entry.state != NodeState::kRemoved) node.gone_at = now;
  node.entry.state = NodeState::kRemoved;
}

void NodeNumbers::only(double now, const std::vector<NodeEntry>& entries) {
  std::set<int> named;
  for (const NodeEntry& e : entries) named.insert(e.node);
  for (Node& n : nodes_) {
    if (!n.name.empty() && !named.contains(n.entry.node)) gone(now, n);
  }
}

std::vector<int> NodeNumbers::let_go(double now, double after, const std::function<bool(int)>& busy) {
  std::vector<int> out;
  for (int i = 0; i < most(); ++i) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    if (n.name.empty() || n.entry.state != NodeState::kRemoved || now < n.gone_at + after || busy(i))
      continue;
    numbers_.erase(n.name);
    n = {"", unlisted(i), 0};
    free_.push_back(i);
    out.push_back(i);
  }
  return out;
}

}  // namespace heronworks
