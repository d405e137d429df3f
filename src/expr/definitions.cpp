#include "expr/definitions.h"

#include <algorithm>

#include "expr/program.h"

namespace heronworks::expr {
namespace {

std::size_t count_nodes(const AstNode& node) {
  std::size_t count = 1;
  for (const auto& child : node.children) count += count_nodes(*child);
  return count;
}

// Copies a parsed tree and moves all its nodes to `location`.
std::unique_ptr<AstNode> copy(const AstNode& node, SourceLocation location) {
  auto result = std::make_unique<AstNode>();
  result->kind = node.kind;
  result->location = location;
  result->op = node.op;
  result->constant = node.constant;
  result->field = node.field;
  result->name = node.name;
  result->function = node.function;
  for (const auto& child : node.children) result->children.push_back(copy(*child, location));
  return result;
}

}  // namespace

bool Definitions::add(const std::string& name, std::string_view source, const NetworkSets& network_sets,
                      const Limits& limits, std::vector<Diagnostic>& diagnostics) {
  const std::size_t errors_before = diagnostics.size();
  std::vector<Diagnostic> ignored;
  // The names of definitions follow the rules for the names of a let.
  const auto let = parse("let " + name + " = true; true", limits, ignored);
  if (!let || let->kind != NodeKind::kLet || let->name != name) {
    diagnostics.push_back({{}, "'" + name + "' is not a valid name for a definition, or is reserved"});
  } else if (definitions_.contains(name)) {
    diagnostics.push_back({{}, "definition '" + name + "' already exists"});
  }
  auto tree = parse(source, limits, diagnostics);
  if (!tree || !expand(tree, limits, diagnostics)) return false;
  Definition definition;
  definition.node_count = count_nodes(*tree);
  definition.tree = copy(*tree, {});
  // Compiled only for its errors, so that they are reported once and in the definition instead of in each
  // expression that uses it.
  compile(*tree, network_sets, limits, std::nullopt, diagnostics);
  if (diagnostics.size() > errors_before) return false;
  definitions_[name] = std::move(definition);
  return true;
}

bool Definitions::expand(std::unique_ptr<AstNode>& tree, const Limits& limits,
                         std::vector<Diagnostic>& diagnostics) const {
  std::vector<std::string> lets;
  std::size_t node_count = count_nodes(*tree);
  return expand(tree, lets, limits, node_count, diagnostics);
}

bool Definitions::expand(std::unique_ptr<AstNode>& node, std::vector<std::string>& lets, const Limits& limits,
                         std::size_t& node_count, std::vector<Diagnostic>& diagnostics) const {
  if (node->kind == NodeKind::kIdentifier && std::find(lets.begin(), lets.end(), node->name) == lets.end()) {
    const auto found = definitions_.find(node->name);
    if (found == definitions_.end()) return true;  // reported by the type checker
    // Bounds the growth of definitions that each use another one twice, which is exponential.
    node_count += found->second.node_count;
    if (node_count > limits.max_nodes) {
      diagnostics.push_back({node->location, "expanding definition '" + node->name + "' exceeds " +
                                                 std::to_string(limits.max_nodes) + " syntax nodes"});
      return false;
    }
    node = copy(*found->second.tree, node->location);
    return true;
  }
  if (node->kind == NodeKind::kLet) {
    if (definitions_.contains(node->name)) {
      diagnostics.push_back(
          {node->location, "'let' cannot reuse the name of the definition '" + node->name + "'"});
      return false;
    }
    if (!expand(node->children[0], lets, limits, node_count, diagnostics)) return false;
    lets.push_back(node->name);
    const bool expanded = expand(node->children[1], lets, limits, node_count, diagnostics);
    lets.pop_back();
    return expanded;
  }
  for (auto& child : node->children) {
    if (!expand(child, lets, limits, node_count, diagnostics)) return false;
  }
  return true;
}

}  // namespace heronworks::expr
