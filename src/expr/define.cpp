// Definitions: see define.h.
#include "expr/define.h"

#include <algorithm>

#include "expr/program.h"

namespace heronworks::expr {
namespace {

std::size_t nodes_of(const Tree& t) {
  std::size_t n = 1;
  for (const auto& a : t.args) n += nodes_of(*a);
  return n;
}

std::unique_ptr<Tree> copy(const Tree& t, Place place) {
  auto c = std::make_unique<Tree>();
  c->node = t.node;
  c->place = place;  // faults point at the name, in the rule's own text
  c->op = t.op;
  c->constant = t.constant;
  c->field = t.field;
  c->text = t.text;
  c->function = t.function;
  for (const auto& a : t.args) c->args.push_back(copy(*a, place));
  return c;
}

}  // namespace

bool Definitions::add(const std::string& name, std::string_view source, const NetworkSets& sets,
                      const Limits& limits, std::vector<Fault>& faults) {
  const std::size_t before = faults.size();
  std::vector<Fault> ignored;
  const auto let =
      parse("let " + name + " = true; true", limits, ignored);  // where a let may not, it may not either
  if (!let || let->node != Node::kLet || let->text != name) {
    faults.push_back({{}, "'" + name + "' is no name for a definition, or is taken"});
  } else if (known_.contains(name)) {
    faults.push_back({{}, "'" + name + "' is defined already"});
  }
  auto tree = parse(source, limits, faults);
  if (!tree || !expand(tree, limits, faults)) return false;
  Known k;
  k.nodes = nodes_of(*tree);
  k.tree = copy(*tree, {});
  // Checked now, so that a fault is told once and at its own place, whoever uses it.
  compile(*tree, sets, limits, std::nullopt, faults);
  if (faults.size() > before) return false;
  known_[name] = std::move(k);
  return true;
}

bool Definitions::expand(std::unique_ptr<Tree>& tree, const Limits& limits,
                         std::vector<Fault>& faults) const {
  std::vector<std::string> lets;
  std::size_t nodes = nodes_of(*tree);
  return expand(tree, lets, limits, nodes, faults);
}

bool Definitions::expand(std::unique_ptr<Tree>& t, std::vector<std::string>& lets, const Limits& limits,
                         std::size_t& nodes, std::vector<Fault>& faults) const {
  if (t->node == Node::kName && std::find(lets.begin(), lets.end(), t->text) == lets.end()) {
    const auto d = known_.find(t->text);
    if (d == known_.end()) return true;  // the check will say so
    // Danger: definitions that use each other twice double at each step.
    nodes += d->second.nodes;
    if (nodes > limits.nodes) {
      faults.push_back({t->place, "with '" + t->text + "' written out it has over " +
                                      std::to_string(limits.nodes) + " parts"});
      return false;
    }
    t = copy(*d->second.tree, t->place);
    return true;
  }
  if (t->node == Node::kLet) {
    if (known_.contains(t->text)) {
      faults.push_back({t->place, "'" + t->text + "' is a definition already"});
      return false;
    }
    if (!expand(t->args[0], lets, limits, nodes, faults)) return false;
    lets.push_back(t->text);
    const bool good = expand(t->args[1], lets, limits, nodes, faults);
    lets.pop_back();
    return good;
  }
  for (auto& a : t->args) {
    if (!expand(a, lets, limits, nodes, faults)) return false;
  }
  return true;
}

}  // namespace heronworks::expr
