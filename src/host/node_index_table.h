// Maps node names to small indices.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "state.h"

namespace heronworks {

// Assigns an index to each node name and keeps the node's entry from the latest endpoint update. Nodes are
// replaced over time, so an index is reused once its node has been removed for long enough: otherwise the
// table, and every table that is keyed by these indices, would grow without bound. A node that returns after
// its eviction counts as new.
//
// For each endpoint in an update: find_or_add(), fill in the entry, update(). After a complete list:
// remove_absent(). Call evict() regularly.
class NodeIndexTable {
 public:
  bool contains(const std::string& name) const { return indices_.contains(name); }
  // The latest entry of the node. An unknown name is assigned an index; its entry has `index_reused` set and
  // is in state kRemoved until update().
  NodeEntry find_or_add(const std::string& name);
  void update(double now, const NodeEntry& entry);
  // Marks all nodes that have no entry in `entries` as removed.
  void remove_absent(double now, const std::vector<NodeEntry>& entries);
  // The latest entry at this index; in state kRemoved if the index is free.
  const NodeEntry& entry(int node) const { return nodes_[static_cast<std::size_t>(node)].entry; }
  // Frees the indices of nodes that were removed at least `retention` seconds ago and are not busy. Returns
  // them in ascending order.
  std::vector<int> evict(double now, double retention, const std::function<bool(int)>& is_busy);

  std::size_t size() const { return indices_.size(); }
  int index_limit() const { return static_cast<int>(nodes_.size()); }  // all indices are below this

 private:
  struct Node {
    std::string name;  // empty: the index is free
    NodeEntry entry;
    double removed_at = 0;
  };
  static NodeEntry removed_entry(int node);
  void mark_removed(double now, Node& node);

  std::vector<Node> nodes_;             // by index; as many as were known at the same time
  std::map<std::string, int> indices_;  // by name; erased by evict()
  std::vector<int> free_indices_;
};

}  // namespace heronworks
