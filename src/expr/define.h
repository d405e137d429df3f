// Named definitions that all rules of a set share. A definition stands for its expression: it is put in the
// place of its name before types are checked, so that it costs what it would cost there, and the set finds
// equal parts again.
#pragma once

#include <map>

#include "expr/networks.h"
#include "expr/syntax.h"

namespace heronworks::expr {

class Definitions {
 public:
  // May use those that were added before. False, with all its faults, if it is no definition.
  bool add(const std::string& name, std::string_view source, const NetworkSets& sets, const Limits& limits,
           std::vector<Fault>& faults);

  // Puts definitions in the place of their names. False, with the figure, if the tree grows over the limit.
  bool expand(std::unique_ptr<Tree>& tree, const Limits& limits, std::vector<Fault>& faults) const;

 private:
  bool expand(std::unique_ptr<Tree>& tree, std::vector<std::string>& lets, const Limits& limits,
              std::size_t& nodes, std::vector<Fault>& faults) const;

  struct Known {
    std::unique_ptr<Tree> tree;
    std::size_t nodes = 0;
  };
  std::map<std::string, Known> known_;  // as many as the configuration has
};

}  // namespace heronworks::expr
