// A simple interpreter that evaluates the syntax tree directly. Tests compare the compiler and the register
// machine with it; it shares nothing with them but the type-checked tree.
#pragma once

#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "expr/program.h"

namespace heronworks::expr::reference {

using Integer = __int128_t;  // holds the result of any 64-bit operation, so that overflow is visible
struct Result {
  bool failed = false;
  Type type;
  Integer integer = 0;  // bool, int, uint, duration, size
  double real = 0;
  std::string text;
  Address address{};
};

inline bool fits(Type type, Integer integer) {
  const bool is_signed = type == kInt || type == kDuration;
  return is_signed ? integer >= INT64_MIN && integer <= INT64_MAX : integer >= 0 && integer <= UINT64_MAX;
}

inline Result from_constant(const Constant& constant) {
  Result result;
  result.type = constant.type;
  if (constant.type == kDouble) result.real = constant.value.as_double;
  else if (constant.type == kString || constant.type == kBytes) result.text = constant.bytes;
  else if (constant.type == kAddress || constant.type == kNetwork) result.address = constant.value.as_address;
  else if (constant.type == kBool) result.integer = constant.value.as_bool;
  else
    result.integer = constant.type == kInt || constant.type == kDuration ? Integer{constant.value.as_int}
                                                                         : Integer{constant.value.as_uint};
  return result;
}

inline int compare(const Result& a, const Result& b) {
  if (a.type == kDouble) return a.real < b.real ? -1 : a.real > b.real ? 1 : 0;
  if (a.type == kString || a.type == kBytes) return a.text.compare(b.text);
  if (a.type == kAddress) return a.address < b.address ? -1 : a.address > b.address ? 1 : 0;
  return a.integer < b.integer ? -1 : a.integer > b.integer ? 1 : 0;
}

inline Result evaluate(const AstNode& node, const Record& record, std::map<std::string, Result>& lets) {
  Result result;
  result.type = node.type;
  const auto fail = [&] {
    result.failed = true;
    return result;
  };
  if (node.kind == NodeKind::kConstant) return from_constant(node.constant);
  if (node.kind == NodeKind::kIdentifier) return lets.at(node.name);
  if (node.kind == NodeKind::kField) {
    Constant constant;
    constant.type = node.type;
    constant.value = record.values[static_cast<std::size_t>(node.field)];
    if (node.type == kString) constant.bytes = std::string(constant.value.as_text.view());
    return from_constant(constant);
  }
  if (node.kind == NodeKind::kLet) {
    const Result value = evaluate(*node.children[0], record, lets);
    if (value.failed) return value;
    lets[node.name] = value;
    return evaluate(*node.children[1], record, lets);
  }
  const Result left = evaluate(*node.children[0], record, lets);
  if (left.failed) return left;
  if (node.kind == NodeKind::kConditional)
    return evaluate(*node.children[left.integer != 0 ? 1 : 2], record, lets);
  if (node.kind == NodeKind::kUnary) {
    result.integer = node.op == Operator::kNot ? Integer{left.integer == 0} : -left.integer;
    result.real = -left.real;
    return node.type != kDouble && !fits(node.type, result.integer) ? fail() : result;
  }
  if (node.kind == NodeKind::kBinary && (node.op == Operator::kOr || node.op == Operator::kAnd)) {
    if ((left.integer != 0) == (node.op == Operator::kOr)) return left;
    return evaluate(*node.children[1], record, lets);
  }
  if (node.kind == NodeKind::kBinary && node.op == Operator::kIn) {
    const AstNode& set = *node.children[1];
    if (set.kind == NodeKind::kRange) {
      result.integer = compare(left, from_constant(set.children[0]->constant)) >= 0 &&
                       compare(left, from_constant(set.children[1]->constant)) <= 0;
    } else {
      for (const auto& item : set.children)
        result.integer = result.integer != 0 || compare(left, from_constant(item->constant)) == 0;
    }
    return result;
  }
  std::vector<Result> args{left};
  for (std::size_t i = 1; i < node.children.size(); ++i) {
    args.push_back(evaluate(*node.children[i], record, lets));
    if (args.back().failed) return args.back();
  }
  if (node.kind == NodeKind::kCall) {
    const auto& text = left.text;
    switch (node.function->id) {
      case FunctionId::kStartsWith:
        result.integer = text.substr(0, args[1].text.size()) == args[1].text;
        return result;
      case FunctionId::kEndsWith:
        result.integer = text.size() >= args[1].text.size() &&
                         text.substr(text.size() - args[1].text.size()) == args[1].text;
        return result;
      case FunctionId::kContains:
        result.integer = text.find(args[1].text) != std::string::npos;
        return result;
      case FunctionId::kLower:
        result.text = text;
        for (char& c : result.text) c = c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
        return result;
      case FunctionId::kByteSize:
        result.integer = static_cast<Integer>(text.size());
        return result;
      case FunctionId::kMin:
        return compare(args[1], left) < 0 ? args[1] : left;
      case FunctionId::kMax:
        return compare(left, args[1]) < 0 ? args[1] : left;
      case FunctionId::kAbs:
        result.integer = left.integer < 0 ? -left.integer : left.integer;
        result.real = std::fabs(left.real);
        return node.type != kDouble && !fits(node.type, result.integer) ? fail() : result;
      case FunctionId::kToInt:
      case FunctionId::kToUint:
        if (left.type == kDouble && (std::trunc(left.real) != left.real || std::fabs(left.real) > 1e30))
          return fail();
        result.integer = left.type == kDouble ? static_cast<Integer>(left.real) : left.integer;
        return fits(node.type, result.integer) ? result : fail();
      case FunctionId::kToDouble:
        result.real = static_cast<double>(left.integer);
        return static_cast<Integer>(result.real) == left.integer ? result : fail();
      case FunctionId::kSeconds:
        result.real = static_cast<double>(left.integer) / 1e9;
        return result;
      default:
        return fail();
    }
  }
  const Result& right = args[1];
  switch (node.op) {
    case Operator::kEqual:
      result.integer = compare(left, right) == 0;
      return result;
    case Operator::kNotEqual:
      result.integer = compare(left, right) != 0;
      return result;
    case Operator::kLess:
      result.integer = compare(left, right) < 0;
      return result;
    case Operator::kLessOrEqual:
      result.integer = compare(left, right) <= 0;
      return result;
    case Operator::kGreater:
      result.integer = compare(left, right) > 0;
      return result;
    case Operator::kGreaterOrEqual:
      result.integer = compare(left, right) >= 0;
      return result;
    default:
      break;
  }
  if (node.type == kString || node.type == kBytes) {
    result.text = left.text + right.text;
    return result;
  }
  if (node.type == kDouble) {
    if (node.op == Operator::kDivide && right.real == 0) return fail();
    result.real = node.op == Operator::kAdd        ? left.real + right.real
                  : node.op == Operator::kSubtract ? left.real - right.real
                  : node.op == Operator::kMultiply ? left.real * right.real
                                                   : left.real / right.real;
    return std::isfinite(result.real) ? result : fail();
  }
  if ((node.op == Operator::kDivide || node.op == Operator::kRemainder) && right.integer == 0) return fail();
  result.integer = node.op == Operator::kAdd        ? left.integer + right.integer
                   : node.op == Operator::kSubtract ? left.integer - right.integer
                   : node.op == Operator::kMultiply ? left.integer * right.integer
                   : node.op == Operator::kDivide   ? left.integer / right.integer
                                                    : left.integer % right.integer;
  return fits(node.type, result.integer) ? result : fail();
}

}  // namespace heronworks::expr::reference
