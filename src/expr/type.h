// Types, values, diagnostics and limits of the expression language. Nothing in src/expr performs I/O.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronworks::expr {

enum class BaseType : std::uint8_t {
  kBool,
  kInt,
  kUint,
  kDouble,
  kString,
  kBytes,
  kDuration,
  kSize,
  kAddress,
  kNetwork,
};
enum class TypeShape : std::uint8_t { kScalar, kList, kSet, kRange };

struct Type {
  BaseType base = BaseType::kBool;
  TypeShape shape = TypeShape::kScalar;
  bool operator==(const Type&) const = default;
  std::string to_string() const;
};

inline constexpr Type kBool{BaseType::kBool}, kInt{BaseType::kInt}, kUint{BaseType::kUint},
    kDouble{BaseType::kDouble}, kString{BaseType::kString}, kBytes{BaseType::kBytes},
    kDuration{BaseType::kDuration}, kSize{BaseType::kSize}, kAddress{BaseType::kAddress},
    kNetwork{BaseType::kNetwork};

// 16 bytes in network order; IPv4 as its mapped IPv6 address.
using Address = std::array<std::uint8_t, 16>;

// Unowned bytes of a string or bytes value. Trivial, unlike std::string_view, so that a union can hold it.
struct TextRef {
  const char* data;
  std::size_t size;
  std::string_view view() const { return {data, size}; }
};

// An untagged scalar. The static type, checked before a program runs, tells which member is active.
union Value {
  std::int64_t as_int;    // int, and duration in nanoseconds
  std::uint64_t as_uint;  // uint, and size in bytes
  double as_double;
  bool as_bool;
  TextRef as_text;  // string and bytes
  Address as_address;
  Value() : as_address{} {}
  explicit Value(std::int64_t v) : as_address{} { as_int = v; }
  explicit Value(std::uint64_t v) : as_address{} { as_uint = v; }
  explicit Value(double v) : as_address{} { as_double = v; }
  explicit Value(bool v) : as_address{} { as_bool = v; }
  explicit Value(std::string_view v) : as_text{v.data(), v.size()} {}
  explicit Value(const Address& v) : as_address(v) {}
};

// A value known at compile time. Owns its bytes.
struct Constant {
  Type type;
  Value value;                     // of a scalar other than string and bytes; the base address of a network
  std::string bytes;               // of a string or bytes scalar
  std::uint8_t prefix_length = 0;  // of a network: bits, of 128
  std::vector<Constant> items;     // of a list or set; the two bounds of a range
  bool operator==(const Constant& other) const;
  std::string to_source() const;  // as a literal of the language
};

struct SourceLocation {
  std::size_t offset = 0;  // bytes from the start of the expression
};

// An error found in an expression.
struct Diagnostic {
  SourceLocation location;
  std::string message;
};

// Bounds on one expression; an expression that exceeds any of them is rejected.
struct Limits {
  std::size_t max_source_bytes = 16384;
  std::size_t max_nesting = 64;  // levels of nested subexpressions
  std::size_t max_nodes = 4096;  // of the syntax tree
  std::size_t max_items = 4096;  // of one literal list, or arguments of one call
  std::size_t max_instructions = 8192;
  std::size_t max_registers = 250;
  std::size_t max_regex_bytes = 512;  // of the pattern of one regular expression
  std::size_t max_regex_memory_bytes = 1 << 18;
  std::size_t max_text_bytes = 4096;      // of one computed string or bytes value
  std::size_t max_scratch_bytes = 16384;  // of all computed string and bytes values of one expression
  std::uint64_t max_steps = 20000;        // that one evaluation may take, see docs/expressions.md
};

// "line 1, column 5: message", followed by the source line and a caret under the column.
std::string format_diagnostic(std::string_view source, const Diagnostic& diagnostic);

}  // namespace heronworks::expr
