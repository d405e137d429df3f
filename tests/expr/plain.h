// The slow, plain interpreter that the machine is tested against: it walks the tree and shares nothing with
// the compiler but the tree itself.
#pragma once

#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "expr/program.h"

namespace heronworks::expr::plain {

using Word = __int128_t;  // wide enough that overflow is seen by looking
struct Result {
  bool failed = false;
  Type type;
  Word word = 0;  // bool, int, uint, duration, size
  double real = 0;
  std::string text;
  Address address{};
};

inline bool fits(Type t, Word w) {
  const bool is_signed = t == kInt || t == kDuration;
  return is_signed ? w >= INT64_MIN && w <= INT64_MAX : w >= 0 && w <= UINT64_MAX;
}

inline Result constant(const Constant& c) {
  Result r;
  r.type = c.type;
  if (c.type == kDouble) r.real = c.value.d;
  else if (c.type == kString || c.type == kBytes) r.text = c.bytes;
  else if (c.type == kAddress || c.type == kNetwork) r.address = c.value.a;
  else if (c.type == kBool) r.word = c.value.b;
  else r.word = c.type == kInt || c.type == kDuration ? Word{c.value.i} : Word{c.value.u};
  return r;
}

inline int compare(const Result& a, const Result& b) {
  if (a.type == kDouble) return a.real < b.real ? -1 : a.real > b.real ? 1 : 0;
  if (a.type == kString || a.type == kBytes) return a.text.compare(b.text);
  if (a.type == kAddress) return a.address < b.address ? -1 : a.address > b.address ? 1 : 0;
  return a.word < b.word ? -1 : a.word > b.word ? 1 : 0;
}

inline Result walk(const Tree& t, const Record& record, std::map<std::string, Result>& lets) {
  Result r;
  r.type = t.type;
  const auto fail = [&] {
    r.failed = true;
    return r;
  };
  if (t.node == Node::kConstant) return constant(t.constant);
  if (t.node == Node::kName) return lets.at(t.text);
  if (t.node == Node::kField) {
    Constant c;
    c.type = t.type;
    c.value = record.values[static_cast<std::size_t>(t.field)];
    if (t.type == kString) c.bytes = std::string(c.value.s.view());
    return constant(c);
  }
  if (t.node == Node::kLet) {
    const Result a = walk(*t.args[0], record, lets);
    if (a.failed) return a;
    lets[t.text] = a;
    return walk(*t.args[1], record, lets);
  }
  const Result a = walk(*t.args[0], record, lets);
  if (a.failed) return a;
  if (t.node == Node::kCondition) return walk(*t.args[a.word != 0 ? 1 : 2], record, lets);
  if (t.node == Node::kUnary) {
    r.word = t.op == Op::kNot ? Word{a.word == 0} : -a.word;
    r.real = -a.real;
    return t.type != kDouble && !fits(t.type, r.word) ? fail() : r;
  }
  if (t.node == Node::kBinary && (t.op == Op::kOr || t.op == Op::kAnd)) {
    if ((a.word != 0) == (t.op == Op::kOr)) return a;
    return walk(*t.args[1], record, lets);
  }
  if (t.node == Node::kBinary && t.op == Op::kIn) {
    const Tree& b = *t.args[1];
    if (b.node == Node::kRange) {
      r.word =
          compare(a, constant(b.args[0]->constant)) >= 0 && compare(a, constant(b.args[1]->constant)) <= 0;
    } else {
      for (const auto& i : b.args) r.word = r.word != 0 || compare(a, constant(i->constant)) == 0;
    }
    return r;
  }
  std::vector<Result> args{a};
  for (std::size_t i = 1; i < t.args.size(); ++i) {
    args.push_back(walk(*t.args[i], record, lets));
    if (args.back().failed) return args.back();
  }
  if (t.node == Node::kCall) {
    const auto& text = a.text;
    switch (t.function->call) {
      case Call::kStartsWith:
        r.word = text.substr(0, args[1].text.size()) == args[1].text;
        return r;
      case Call::kEndsWith:
        r.word = text.size() >= args[1].text.size() &&
                 text.substr(text.size() - args[1].text.size()) == args[1].text;
        return r;
      case Call::kContains:
        r.word = text.find(args[1].text) != std::string::npos;
        return r;
      case Call::kLower:
        r.text = text;
        for (char& c : r.text) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
        return r;
      case Call::kLength:
        r.word = static_cast<Word>(text.size());
        return r;
      case Call::kMin:
        return compare(args[1], a) < 0 ? args[1] : a;
      case Call::kMax:
        return compare(a, args[1]) < 0 ? args[1] : a;
      case Call::kAbs:
        r.word = a.word < 0 ? -a.word : a.word;
        r.real = std::fabs(a.real);
        return t.type != kDouble && !fits(t.type, r.word) ? fail() : r;
      case Call::kToInt:
      case Call::kToUint:
        if (a.type == kDouble && (std::trunc(a.real) != a.real || std::fabs(a.real) > 1e30)) return fail();
        r.word = a.type == kDouble ? static_cast<Word>(a.real) : a.word;
        return fits(t.type, r.word) ? r : fail();
      case Call::kToDouble:
        r.real = static_cast<double>(a.word);
        return static_cast<Word>(r.real) == a.word ? r : fail();
      case Call::kSeconds:
        r.real = static_cast<double>(a.word) / 1e9;
        return r;
      default:
        return fail();
    }
  }
  const Result& b = args[1];
  switch (t.op) {
    case Op::kEqual:
      r.word = compare(a, b) == 0;
      return r;
    case Op::kUnequal:
      r.word = compare(a, b) != 0;
      return r;
    case Op::kLess:
      r.word = compare(a, b) < 0;
      return r;
    case Op::kAtMost:
      r.word = compare(a, b) <= 0;
      return r;
    case Op::kGreater:
      r.word = compare(a, b) > 0;
      return r;
    case Op::kAtLeast:
      r.word = compare(a, b) >= 0;
      return r;
    default:
      break;
  }
  if (t.type == kString || t.type == kBytes) {
    r.text = a.text + b.text;
    return r;
  }
  if (t.type == kDouble) {
    if (t.op == Op::kDivide && b.real == 0) return fail();
    r.real = t.op == Op::kAdd        ? a.real + b.real
             : t.op == Op::kSubtract ? a.real - b.real
             : t.op == Op::kMultiply ? a.real * b.real
                                     : a.real / b.real;
    return std::isfinite(r.real) ? r : fail();
  }
  if ((t.op == Op::kDivide || t.op == Op::kRemainder) && b.word == 0) return fail();
  r.word = t.op == Op::kAdd        ? a.word + b.word
           : t.op == Op::kSubtract ? a.word - b.word
           : t.op == Op::kMultiply ? a.word * b.word
           : t.op == Op::kDivide   ? a.word / b.word
                                   : a.word % b.word;
  return fits(t.type, r.word) ? r : fail();
}

}  // namespace heronworks::expr::plain
