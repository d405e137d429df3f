// From text to a tree and back. A Pratt parser: docs/expressions.md weighs it against a parser library.
#pragma once

#include <memory>
#include <optional>

#include "expr/schema.h"
#include "expr/type.h"

namespace heronworks::expr {

enum class Node : std::uint8_t {
  kConstant,  // literal, or folded
  kField,
  kName,  // of a let
  kSet,   // a named set of networks, $name
  kUnary,
  kBinary,
  kCondition,  // a ? b : c
  kCall,
  kLet,    // let name = a; b
  kList,   // [a, b]
  kRange,  // a..b, only after `in`
};

enum class Op : std::uint8_t {
  kOr,
  kAnd,
  kEqual,
  kUnequal,
  kLess,
  kAtMost,
  kGreater,
  kAtLeast,
  kIn,
  kAdd,
  kSubtract,
  kMultiply,
  kDivide,
  kRemainder,
  kNot,
  kNegate,
};
const char* name(Op op);

struct Tree {
  Node node = Node::kConstant;
  Place place;
  Op op = Op::kOr;
  Constant constant;
  int field = -1;
  std::string text;  // of a name, a let or a set
  const Function* function = nullptr;
  std::vector<std::unique_ptr<Tree>> args;

  // Filled by check().
  Type type;
  std::size_t most = 0;  // bytes that a text may have
  int slot = -1;         // of a name: its let; of a set: its number

  std::string print() const;
  bool same(const Tree& o) const;
};

// Nothing, and all faults that were found, if it is no expression.
std::unique_ptr<Tree> parse(std::string_view source, const Limits& limits, std::vector<Fault>& faults);

// "10.0.0.1", "::1"; "10.0.0.0/8".
std::optional<Address> parse_address(std::string_view text);
std::optional<std::pair<Address, std::uint8_t>> parse_network(std::string_view text);

}  // namespace heronworks::expr
