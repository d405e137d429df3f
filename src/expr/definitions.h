// Named expressions that all rules of a set may use. A use is replaced by the definition's expression before
// types are checked, so it costs the same as if the expression were written in its place.
#pragma once

#include <map>

#include "expr/network_set.h"
#include "expr/syntax.h"

namespace heronworks::expr {

class Definitions {
 public:
  // Adds a definition, which may use those added before it. If it is invalid, returns false, appends its
  // errors to `diagnostics` and adds nothing.
  bool add(const std::string& name, std::string_view source, const NetworkSets& network_sets,
           const Limits& limits, std::vector<Diagnostic>& diagnostics);

  // Replaces the names of definitions in `tree` by their expressions. Returns false and appends to
  // `diagnostics` if the tree would exceed the limit of nodes or a let reuses the name of a definition.
  bool expand(std::unique_ptr<AstNode>& tree, const Limits& limits,
              std::vector<Diagnostic>& diagnostics) const;

 private:
  bool expand(std::unique_ptr<AstNode>& node, std::vector<std::string>& lets, const Limits& limits,
              std::size_t& node_count, std::vector<Diagnostic>& diagnostics) const;

  struct Definition {
    std::unique_ptr<AstNode> tree;
    std::size_t node_count = 0;
  };
  std::map<std::string, Definition> definitions_;
};

}  // namespace heronworks::expr
