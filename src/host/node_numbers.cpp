// Indices for nodes: see node_numbers.h.
#include "host/node_numbers.h"

#include <set>

namespace heronworks {

Entry NodeNumbers::unlisted(int node) {
  Entry e;
  e.node = node;
  e.listing = Listing::kGone;
  return e;
}

Entry NodeNumbers::begin(const std::string& name) {
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
  Entry e = unlisted(node);
  e.fresh = true;
  return e;
}

void NodeNumbers::listed(double now, const Entry& entry) {
  Node& n = nodes_[static_cast<std::size_t>(entry.node)];
  if (entry.listing == Listing::kGone) gone(now, n);
  n.entry = entry;
  n.entry.fresh = false;
}

void NodeNumbers::gone(double now, Node& node) {
  if (node.entry.listing != Listing::kGone) node.gone_at = now;
  node.entry.listing = Listing::kGone;
}

void NodeNumbers::only(double now, const std::vector<Entry>& entries) {
  std::set<int> named;
  for (const Entry& e : entries) named.insert(e.node);
  for (Node& n : nodes_) {
    if (!n.name.empty() && !named.contains(n.entry.node)) gone(now, n);
  }
}

std::vector<int> NodeNumbers::let_go(double now, double after, const std::function<bool(int)>& busy) {
  std::vector<int> out;
  for (int i = 0; i < most(); ++i) {
    Node& n = nodes_[static_cast<std::size_t>(i)];
    if (n.name.empty() || n.entry.listing != Listing::kGone || now < n.gone_at + after || busy(i)) continue;
    numbers_.erase(n.name);
    n = {"", unlisted(i), 0};
    free_.push_back(i);
    out.push_back(i);
  }
  return out;
}

}  // namespace heronworks
