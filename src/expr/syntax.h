// Syntax tree, parser and printer of the expression language. The parser is a Pratt parser;
// docs/expressions.md compares it with a parser library.
#pragma once

#include <memory>
#include <optional>

#include "expr/schema.h"
#include "expr/type.h"

namespace heronworks::expr {

enum class NodeKind : std::uint8_t {
  kConstant,  // literal, or folded
  kField,
  kIdentifier,  // of a let or a definition
  kNetworkSet,  // $name
  kUnary,
  kBinary,
  kConditional,  // a ? b : c
  kCall,
  kLet,    // let name = a; b
  kList,   // [a, b]
  kRange,  // a..b, only after `in`
};

enum class Operator : std::uint8_t {
  kOr,
  kAnd,
  kEqual,
  kNotEqual,
  kLess,
  kLessOrEqual,
  kGreater,
  kGreaterOrEqual,
  kIn,
  kAdd,
  kSubtract,
  kMultiply,
  kDivide,
  kRemainder,
  kNot,
  kNegate,
};
const char* symbol(Operator op);

struct AstNode {
  NodeKind kind = NodeKind::kConstant;
  SourceLocation location;
  Operator op = Operator::kOr;  // of a unary or binary node
  Constant constant;
  int field = -1;    // index into fields()
  std::string name;  // of a field, an identifier, a let or a network set
  const Function* function = nullptr;
  std::vector<std::unique_ptr<AstNode>> children;

  // Set by the type checker.
  Type type;
  std::size_t max_bytes = 0;  // of a string or bytes value
  int let_index = -1;         // of an identifier: its let among the enclosing ones, outermost first

  // Fully parenthesized source, which parses to an equal tree.
  std::string to_source() const;
  bool equals(const AstNode& other) const;
};

// Returns nullptr and appends to `diagnostics` if `source` is not a valid expression.
std::unique_ptr<AstNode> parse(std::string_view source, const Limits& limits,
                               std::vector<Diagnostic>& diagnostics);

// Parses "10.0.0.1" or "::1".
std::optional<Address> parse_address(std::string_view text);
// Parses "10.0.0.0/8" into base address and prefix length of 128 bits. Rejects set bits beyond the prefix.
std::optional<std::pair<Address, std::uint8_t>> parse_network(std::string_view text);

}  // namespace heronworks::expr
