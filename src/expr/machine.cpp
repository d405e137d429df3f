// The machine that runs programs, and the steps that it counts. See program.h.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>

#include "expr/program.h"

namespace heronworks::expr {
namespace {

constexpr std::size_t kBytesOfStep = 32;  // bytes of text that one step looks at

constexpr const char* kCodeNames[] = {"move",
                                      "not",
                                      "negate.int",
                                      "negate.double",
                                      "add.int",
                                      "add.uint",
                                      "add.double",
                                      "join",
                                      "subtract.int",
                                      "subtract.uint",
                                      "subtract.double",
                                      "multiply.int",
                                      "multiply.uint",
                                      "multiply.double",
                                      "divide.int",
                                      "divide.uint",
                                      "divide.double",
                                      "remainder.int",
                                      "remainder.uint",
                                      "equal.word",
                                      "equal.double",
                                      "equal.text",
                                      "equal.address",
                                      "less.int",
                                      "less.uint",
                                      "less.double",
                                      "less.text",
                                      "less.address",
                                      "in.words",
                                      "in.texts",
                                      "in.networks",
                                      "jump",
                                      "jump.if_false",
                                      "jump.if_true",
                                      "starts_with",
                                      "ends_with",
                                      "contains",
                                      "matches",
                                      "lower",
                                      "size",
                                      "hash",
                                      "min.int",
                                      "min.uint",
                                      "min.double",
                                      "abs.int",
                                      "abs.double",
                                      "int.from_uint",
                                      "int.from_double",
                                      "uint.from_int",
                                      "uint.from_double",
                                      "double.from_int",
                                      "double.from_uint",
                                      "seconds"};
static_assert(std::size(kCodeNames) == static_cast<std::size_t>(Code::kSeconds) + 1);

}  // namespace

const char* name(Failure f) {
  static constexpr const char* kNames[] = {"none", "overflow", "division by zero", "conversion that loses",
                                           "not finite"};
  return kNames[static_cast<std::size_t>(f)];
}

bool jumps(Code c) { return c == Code::kJump || c == Code::kJumpIfFalse || c == Code::kJumpIfTrue; }

bool reads_two(Code c) {
  return (c >= Code::kAddInt && c <= Code::kLessAddress) ||
         (c >= Code::kStartsWith && c <= Code::kContains) || (c >= Code::kMinInt && c <= Code::kMinDouble);
}

std::uint64_t steps(Code, std::size_t bytes) { return 1 + (bytes + kBytesOfStep - 1) / kBytesOfStep; }

std::string Program::listing() const {
  const auto shown = [&](Operand o) {
    const std::size_t index = o & kIndexMask;
    switch (static_cast<Home>(o >> kHomeShift)) {
      case Home::kRegister:
        return "r" + std::to_string(index);
      case Home::kConstant:
        return constants[index].text();
      case Home::kField:
        return std::string(fields()[index].name);
    }
    return std::string();
  };
  std::string out;
  for (std::size_t i = 0; i < code.size(); ++i) {
    const Instruction& in = code[i];
    char line[160];
    std::snprintf(line, sizeof line, "%4zu  %-16s", i, kCodeNames[static_cast<std::size_t>(in.code)]);
    out += line;
    if (jumps(in.code)) {
      out += (in.code == Code::kJump ? "" : " " + shown(in.a)) + " to " + std::to_string(in.index);
    } else {
      out +=
          " r" + std::to_string(in.to) + " = " + shown(in.a) + (reads_two(in.code) ? ", " + shown(in.b) : "");
    }
    out += "\n";
  }
  return out;
}

// Written down, and the same in every version: for each argument one byte of its type's number, 8 bytes of
// its length in little endian, then its bytes (words little endian, addresses in network order); XXH3 64
// bits, seed 0.
std::uint64_t hash_of(const std::vector<Type>& types, const Value* values) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  for (std::size_t i = 0; i < types.size(); ++i) {
    const Value& v = values[i];
    const void* data = &v.u;
    std::uint64_t size = 8;
    const std::uint8_t one = types[i].base == Base::kBool && v.b ? 1 : 0;
    if (types[i] == kString || types[i] == kBytes) {
      data = v.s.data;
      size = v.s.size;
    } else if (types[i] == kAddress) {
      data = v.a.data();
      size = 16;
    } else if (types[i] == kBool) {
      data = &one;
      size = 1;
    }
    const auto base = static_cast<std::uint8_t>(types[i].base);
    XXH3_64bits_update(&state, &base, 1);
    XXH3_64bits_update(&state, &size, 8);
    if (size > 0) XXH3_64bits_update(&state, data, size);
  }
  return XXH3_64bits_digest(&state);
}

Failure Machine::run(const Program& p, const Record& record, Value& result) {
  auto& r = registers_;
  if (scratch_.size() < p.scratch) scratch_.resize(p.scratch);
  std::size_t used = 0;
  struct Steps {  // told at the end, whichever it is
    std::uint64_t& to;
    std::uint64_t count = 0;
    ~Steps() { to = count; }
  } steps{spent_};
  const auto spend = [&](std::size_t bytes) { steps.count += (bytes + kBytesOfStep - 1) / kBytesOfStep; };
  const Value* const homes[] = {r.data(), p.values.data(), record.values.data()};
  const Instruction* const code = p.code.data();
  const std::size_t count = p.code.size();
  for (std::size_t i = 0; i < count; ++i) {
    const Instruction& in = code[i];
    const Value& a = homes[in.a >> kHomeShift][in.a & kIndexMask];
    const Value& b = homes[in.b >> kHomeShift][in.b & kIndexMask];
    Value& to = r[in.to];
    ++steps.count;
    switch (in.code) {
      case Code::kMove:
        to = a;
        break;
      case Code::kNot:
        to = Value(!a.b);
        break;
      case Code::kNegateInt:
        if (a.i == INT64_MIN) return Failure::kOverflow;
        to = Value(-a.i);
        break;
      case Code::kNegateDouble:
        to = Value(-a.d);
        break;
      case Code::kAddInt: {
        std::int64_t v = 0;
        if (__builtin_add_overflow(a.i, b.i, &v)) return Failure::kOverflow;
        to = Value(v);
        break;
      }
      case Code::kAddUint: {
        std::uint64_t v = 0;
        if (__builtin_add_overflow(a.u, b.u, &v)) return Failure::kOverflow;
        to = Value(v);
        break;
      }
      case Code::kSubtractInt: {
        std::int64_t v = 0;
        if (__builtin_sub_overflow(a.i, b.i, &v)) return Failure::kOverflow;
        to = Value(v);
        break;
      }
      case Code::kSubtractUint:
        if (b.u > a.u) return Failure::kOverflow;
        to = Value(a.u - b.u);
        break;
      case Code::kMultiplyInt: {
        std::int64_t v = 0;
        if (__builtin_mul_overflow(a.i, b.i, &v)) return Failure::kOverflow;
        to = Value(v);
        break;
      }
      case Code::kMultiplyUint: {
        std::uint64_t v = 0;
        if (__builtin_mul_overflow(a.u, b.u, &v)) return Failure::kOverflow;
        to = Value(v);
        break;
      }
      case Code::kDivideInt:
        if (b.i == 0) return Failure::kDivision;
        if (a.i == INT64_MIN && b.i == -1) return Failure::kOverflow;
        to = Value(a.i / b.i);
        break;
      case Code::kDivideUint:
        if (b.u == 0) return Failure::kDivision;
        to = Value(a.u / b.u);
        break;
      case Code::kRemainderInt:
        if (b.i == 0) return Failure::kDivision;
        to = Value(b.i == -1 ? std::int64_t{0} : a.i % b.i);
        break;
      case Code::kRemainderUint:
        if (b.u == 0) return Failure::kDivision;
        to = Value(a.u % b.u);
        break;
      case Code::kAddDouble:
        to = Value(a.d + b.d);
        if (!std::isfinite(to.d)) return Failure::kNotFinite;
        break;
      case Code::kSubtractDouble:
        to = Value(a.d - b.d);
        if (!std::isfinite(to.d)) return Failure::kNotFinite;
        break;
      case Code::kMultiplyDouble:
        to = Value(a.d * b.d);
        if (!std::isfinite(to.d)) return Failure::kNotFinite;
        break;
      case Code::kDivideDouble:
        if (b.d == 0) return Failure::kDivision;
        to = Value(a.d / b.d);
        if (!std::isfinite(to.d)) return Failure::kNotFinite;
        break;
      case Code::kJoin: {
        spend(a.s.size + b.s.size);
        char* at = scratch_.data() + used;
        used += a.s.size + b.s.size;
        if (a.s.size > 0) std::memcpy(at, a.s.data, a.s.size);
        if (b.s.size > 0) std::memcpy(at + a.s.size, b.s.data, b.s.size);
        to = Value(std::string_view(at, a.s.size + b.s.size));
        break;
      }
      case Code::kEqualWord:
        to = Value(a.u == b.u);
        break;
      case Code::kEqualDouble:
        to = Value(a.d == b.d);
        break;
      case Code::kEqualText:
        spend(std::min(a.s.size, b.s.size));
        to = Value(a.s.view() == b.s.view());
        break;
      case Code::kEqualAddress:
        to = Value(a.a == b.a);
        break;
      case Code::kLessInt:
        to = Value(a.i < b.i);
        break;
      case Code::kLessUint:
        to = Value(a.u < b.u);
        break;
      case Code::kLessDouble:
        to = Value(a.d < b.d);
        break;
      case Code::kLessText:
        spend(std::min(a.s.size, b.s.size));
        to = Value(a.s.view() < b.s.view());
        break;
      case Code::kLessAddress:
        to = Value(a.a < b.a);
        break;
      case Code::kInWords:
        to = Value(p.words[in.index].contains(a.u));
        break;
      case Code::kInTexts:
        spend(a.s.size);
        to = Value(p.texts[in.index].contains(a.s.view()));
        break;
      case Code::kInNetworks:
        to = Value(p.networks[in.index]->contains(a.a));
        break;
      case Code::kJump:
        i = in.index - 1;
        break;
      case Code::kJumpIfFalse:
        if (!a.b) i = in.index - 1;
        break;
      case Code::kJumpIfTrue:
        if (a.b) i = in.index - 1;
        break;
      case Code::kStartsWith:
        spend(b.s.size);
        to = Value(a.s.view().starts_with(b.s.view()));
        break;
      case Code::kEndsWith:
        spend(b.s.size);
        to = Value(a.s.view().ends_with(b.s.view()));
        break;
      case Code::kContains:
        spend(a.s.size + b.s.size);
        to = Value(a.s.view().find(b.s.view()) != std::string_view::npos);
        break;
      case Code::kMatches:
        spend(8 * a.s.size);
        to = Value(re2::RE2::PartialMatch(re2::StringPiece(a.s.data, a.s.size), *p.expressions[in.index]));
        break;
      case Code::kLower: {
        spend(a.s.size);
        char* at = scratch_.data() + used;
        used += a.s.size;
        for (std::size_t k = 0; k < a.s.size; ++k) {
          const char c = a.s.data[k];
          at[k] = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        to = Value(std::string_view(at, a.s.size));
        break;
      }
      case Code::kLength:
        to = Value(static_cast<std::uint64_t>(a.s.size));
        break;
      case Code::kHash: {
        const auto& types = p.hashed[in.index];
        for (std::size_t k = 0; k < types.size(); ++k) {
          if (types[k] == kString || types[k] == kBytes) spend(r[in.a + k].s.size);
        }
        to = Value(hash_of(types, &r[in.a]));
        break;
      }
      case Code::kMinInt:
        to = in.index == 1 ? Value(std::max(a.i, b.i)) : Value(std::min(a.i, b.i));
        break;
      case Code::kMinUint:
        to = in.index == 1 ? Value(std::max(a.u, b.u)) : Value(std::min(a.u, b.u));
        break;
      case Code::kMinDouble:
        to = in.index == 1 ? Value(std::max(a.d, b.d)) : Value(std::min(a.d, b.d));
        break;
      case Code::kAbsInt:
        if (a.i == INT64_MIN) return Failure::kOverflow;
        to = Value(a.i < 0 ? -a.i : a.i);
        break;
      case Code::kAbsDouble:
        to = Value(std::fabs(a.d));
        break;
      case Code::kIntFromUint:
        if (a.u > INT64_MAX) return Failure::kConversion;
        to = Value(static_cast<std::int64_t>(a.u));
        break;
      case Code::kIntFromDouble:
        if (!(a.d >= -0x1p63 && a.d < 0x1p63) || a.d != std::trunc(a.d)) return Failure::kConversion;
        to = Value(static_cast<std::int64_t>(a.d));
        break;
      case Code::kUintFromInt:
        if (a.i < 0) return Failure::kConversion;
        to = Value(static_cast<std::uint64_t>(a.i));
        break;
      case Code::kUintFromDouble:
        if (!(a.d >= 0 && a.d < 0x1p64) || a.d != std::trunc(a.d)) return Failure::kConversion;
        to = Value(static_cast<std::uint64_t>(a.d));
        break;
      case Code::kDoubleFromInt: {
        const auto d = static_cast<double>(a.i);
        if (d >= 0x1p63 || static_cast<std::int64_t>(d) != a.i) return Failure::kConversion;
        to = Value(d);
        break;
      }
      case Code::kDoubleFromUint: {
        const auto d = static_cast<double>(a.u);
        if (d >= 0x1p64 || static_cast<std::uint64_t>(d) != a.u) return Failure::kConversion;
        to = Value(d);
        break;
      }
      case Code::kSeconds:
        to = Value(static_cast<double>(a.i) / 1e9);
        break;
    }
  }
  result = r[0];
  return Failure::kNone;
}

}  // namespace heronworks::expr
