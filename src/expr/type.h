// Types, values and faults of the expression language. Plain data; no I/O anywhere in this package.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heronworks::expr {

enum class Base : std::uint8_t {
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
enum class Shape : std::uint8_t { kOne, kList, kSet, kRange };

struct Type {
  Base base = Base::kBool;
  Shape shape = Shape::kOne;
  bool operator==(const Type&) const = default;
  std::string text() const;
};

inline constexpr Type kBool{Base::kBool}, kInt{Base::kInt}, kUint{Base::kUint}, kDouble{Base::kDouble},
    kString{Base::kString}, kBytes{Base::kBytes}, kDuration{Base::kDuration}, kSize{Base::kSize},
    kAddress{Base::kAddress}, kNetwork{Base::kNetwork};

// 16 bytes in network order; IPv4 as its mapped IPv6 address.
using Address = std::array<std::uint8_t, 16>;

struct Text {
  const char* data;
  std::size_t size;
  std::string_view view() const { return {data, size}; }
};

// What a register holds. Which member counts is known from the type, which is checked before a program runs.
// Durations are nanoseconds in `i`, sizes bytes in `u`.
union Value {
  std::int64_t i;
  std::uint64_t u;
  double d;
  bool b;
  Text s;
  Address a;
  Value() : a{} {}
  explicit Value(std::int64_t v) : a{} { i = v; }
  explicit Value(std::uint64_t v) : a{} { u = v; }
  explicit Value(double v) : a{} { d = v; }
  explicit Value(bool v) : a{} { b = v; }
  explicit Value(std::string_view v) : s{v.data(), v.size()} {}
  explicit Value(const Address& v) : a(v) {}
};

// A value known before a program runs, with the bytes that it needs.
struct Constant {
  Type type;
  Value value;                  // of one: all but texts
  std::string bytes;            // of texts
  std::uint8_t prefix = 0;      // of a network: bits, of 128
  std::vector<Constant> items;  // of a list or set; the two ends of a range
  bool operator==(const Constant& o) const;
  std::string text() const;  // as it would be written
};

struct Place {
  std::size_t offset = 0;  // bytes from the start of the expression
};

// One fault: where, what was expected, and what may have been meant.
struct Fault {
  Place place;
  std::string text;
};

// What may be asked of an expression; over any of it, it is refused with the figure.
struct Limits {
  std::size_t source = 16384;  // bytes
  std::size_t nesting = 64;    // levels
  std::size_t nodes = 4096;    // of the tree
  std::size_t items = 4096;    // of one literal list or set
  std::size_t instructions = 8192;
  std::size_t registers = 250;
  std::size_t regex = 512;  // bytes of one regular expression
  std::size_t regex_memory = 1 << 18;
  std::size_t text = 4096;      // bytes that a computed text may have
  std::size_t scratch = 16384;  // bytes of all computed texts of one expression
  std::uint64_t cost = 20000;   // steps, see docs/expressions.md
};

// "line 1, column 5" of an offset, with the line and a caret under it.
std::string shown(std::string_view source, const Fault& fault);

}  // namespace heronworks::expr
