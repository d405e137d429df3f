// Small indices for nodes by name, and when one is given away: decisions only.
//
// How to call it: `begin` for each entry of a list, fill in what the list says, `listed`; `only` after a
// whole list; `let_go` now and then. Danger: machines are replaced for years, and each name would keep its
// place and what a front holds for it. One that has been gone for `after` seconds and is not busy is let go
// of; a later one gets its number, as `index_reused`. May hurt a node that is away for longer: it is unheard
// again.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "state.h"

namespace heronworks {

class NodeNumbers {
 public:
  bool knows(const std::string& name) const { return numbers_.contains(name); }
  // The entry as last listed. An unknown name gets a number: `index_reused`, and gone until it is listed.
  NodeEntry begin(const std::string& name);
  void listed(double now, const NodeEntry& entry);
  // Those that are not among them are gone.
  void only(double now, const std::vector<NodeEntry>& entries);
  // As last listed; of a number that nobody has, gone.
  const NodeEntry& entry(int node) const { return nodes_[static_cast<std::size_t>(node)].entry; }
  // The numbers let go of, in order.
  std::vector<int> let_go(double now, double after, const std::function<bool(int)>& busy);

  std::size_t known() const { return numbers_.size(); }
  int most() const { return static_cast<int>(nodes_.size()); }  // numbers run from 0 to this less 1

 private:
  struct Node {
    std::string name;  // empty: free
    NodeEntry entry;
    double gone_at = 0;
  };
  static NodeEntry unlisted(int node);
  void gone(double now, Node& node);

  std::vector<Node> nodes_;             // as many as were known at once
  std::map<std::string, int> numbers_;  // emptied by let_go
  std::vector<int> free_;
};

}  // namespace heronworks
