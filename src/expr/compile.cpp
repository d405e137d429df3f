// From a tree to a program: types, folding, code, verification. See program.h.
#include <algorithm>
#include <bitset>
#include <cmath>
#include <cstring>

#include "expr/program.h"

namespace heronworks::expr {
namespace {

bool whole(Type t) { return t == kInt || t == kUint; }
bool text(Type t) { return t == kString || t == kBytes; }
bool signed_word(Type t) { return t == kInt || t == kDuration; }
bool unsigned_word(Type t) { return t == kUint || t == kSize; }
bool ordered(Type t) {
  return signed_word(t) || unsigned_word(t) || t == kDouble || text(t) || t == kAddress;
}

class Compiler {
 public:
  Compiler(const NetworkSets& sets, const Limits& limits, std::vector<Fault>& faults, bool folding)
      : sets_(sets), limits_(limits), faults_(faults), folding_(folding) {}

  std::optional<Program> run(Tree& tree, std::optional<Type> wanted) {
    const std::size_t before = faults_.size();
    check(tree);
    if (faults_.size() == before && wanted) {
      adapt(tree, *wanted);
      if (tree.type != *wanted)
        fault(tree, "a " + wanted->text() + " is expected, this is a " + tree.type.text());
    }
    if (faults_.size() == before && tree.type.shape != Shape::kOne)
      fault(tree, "a " + tree.type.text() + " is no result");
    if (faults_.size() == before && tree.type == kNetwork) fault(tree, "a network stands only after `in`");
    if (faults_.size() > before) return std::nullopt;
    p_.result = tree.type;
    emit(tree, 0);
    p_.registers = std::max<std::size_t>(p_.registers, 1);
    if (p_.code.size() > limits_.instructions)
      fault(tree, std::to_string(p_.code.size()) + " instructions, at most " +
                      std::to_string(limits_.instructions) + " are allowed");
    if (p_.scratch > limits_.scratch)
      fault(tree, std::to_string(p_.scratch) + " bytes of computed texts, at most " +
                      std::to_string(limits_.scratch) + " are allowed");
    if (p_.cost > limits_.cost)
      fault(tree, "it may cost " + std::to_string(p_.cost) + " steps, at most " +
                      std::to_string(limits_.cost) + " are allowed");
    if (faults_.size() > before) return std::nullopt;
    for (const Constant& c : p_.constants) {
      p_.values.push_back(text(c.type) ? Value(std::string_view(c.bytes)) : c.value);
    }
    std::size_t own = 0;
    for (const Networks*& n : p_.networks) n = n == nullptr ? &p_.own_networks[own++] : n;
    return std::move(p_);
  }

 private:
  void fault(const Tree& t, std::string what) { faults_.push_back({t.place, std::move(what)}); }

  // A whole literal may stand for another type that holds it without loss.
  static void adapt(Tree& t, Type want) {
    if (t.node != Node::kConstant || t.type != kInt) return;
    const std::int64_t v = t.constant.value.i;
    if (want == kUint && v >= 0) t.constant.value = Value(static_cast<std::uint64_t>(v));
    else if (want == kDouble && v <= (std::int64_t{1} << 53) && v >= -(std::int64_t{1} << 53))
      t.constant.value = Value(static_cast<double>(v));
    else return;
    t.constant.type = t.type = want;
  }
  static void adapt_both(Tree& a, Tree& b) {
    adapt(a, b.type);
    adapt(b, a.type);
  }

  void check(Tree& t) {
    const std::size_t before = faults_.size();
    // A let is in sight of its body only.
    if (t.node == Node::kLet) {
      check(*t.args[0]);
      if (t.args[0]->type.shape != Shape::kOne || t.args[0]->type == kNetwork)
        fault(*t.args[0], "a let holds one value");
      if (std::any_of(lets_.begin(), lets_.end(), [&](const Tree* l) { return l->text == t.text; }))
        fault(t, "'" + t.text + "' is named already");
      lets_.push_back(&t);
      check(*t.args[1]);
      lets_.pop_back();
      t.type = t.args[1]->type;
      t.most = t.args[1]->most;
      return;
    }
    for (auto& a : t.args) check(*a);
    if (faults_.size() > before) return;
    switch (t.node) {
      case Node::kConstant:
        t.type = t.constant.type;
        t.most = t.constant.bytes.size();
        return;
      case Node::kField:
        t.type = fields()[static_cast<std::size_t>(t.field)].type;
        t.most = fields()[static_cast<std::size_t>(t.field)].most;
        return;
      case Node::kName:
        return check_name(t);
      case Node::kSet:
        if (!sets_.contains(t.text)) fault(t, "there is no set '$" + t.text + "'" + near_set(t.text));
        t.type = {Base::kNetwork, Shape::kSet};
        return;
      case Node::kList:
        return check_list(t);
      case Node::kRange:
        return check_range(t);
      case Node::kUnary:
        check_unary(t);
        break;
      case Node::kBinary:
        check_binary(t);
        break;
      case Node::kCondition:
        check_condition(t);
        break;
      case Node::kCall:
        check_call(t);
        break;
      case Node::kLet:
        break;
    }
    if (faults_.size() == before) fold(t);
  }

  std::string near_set(const std::string& name) const {
    for (const auto& [known, set] : sets_) {
      if (known.substr(0, 2) == name.substr(0, 2)) return "; did you mean $" + known + "?";
    }
    return "";
  }

  void check_name(Tree& t) {
    for (std::size_t i = 0; i < lets_.size(); ++i) {
      if (lets_[i]->text != t.text) continue;
      t.slot = static_cast<int>(i);
      t.type = lets_[i]->args[0]->type;
      t.most = lets_[i]->args[0]->most;
      return;
    }
    const std::string near = nearest_name(t.text);
    fault(t, "unknown name '" + t.text + "'" + (near.empty() ? "" : "; did you mean " + near + "?"));
  }

  void check_list(Tree& t) {
    if (t.args.empty()) return fault(t, "an empty list has no type");
    const Type one = t.args[0]->type;
    for (auto& a : t.args) {
      if (a->node != Node::kConstant) return fault(*a, "a list holds literals only");
      if (a->type != one) return fault(*a, "a list of " + one.text() + " holds no " + a->type.text());
    }
    if (one.shape != Shape::kOne) return fault(t, "a list holds single values");
    t.type = {one.base, Shape::kList};
  }

  void check_range(Tree& t) {
    Tree& a = *t.args[0];
    Tree& b = *t.args[1];
    adapt_both(a, b);
    if (a.type != b.type) return fault(t, "a range from " + a.type.text() + " to " + b.type.text());
    if (!ordered(a.type) || text(a.type)) return fault(t, "no range of " + a.type.text());
    if (a.node != Node::kConstant || b.node != Node::kConstant)
      return fault(t, "the ends of a range are literals");
    const bool empty = signed_word(a.type)     ? a.constant.value.i > b.constant.value.i
                       : unsigned_word(a.type) ? a.constant.value.u > b.constant.value.u
                       : a.type == kDouble     ? a.constant.value.d > b.constant.value.d
                                               : a.constant.value.a > b.constant.value.a;
    if (empty) return fault(t, "a range from its end to its start holds nothing");
    t.type = {a.type.base, Shape::kRange};
  }

  void check_unary(Tree& t) {
    const Type a = t.args[0]->type;
    if (t.op == Op::kNot ? a != kBool : a != kInt && a != kDouble && a != kDuration)
      return fault(t, std::string(name(t.op)) + " has no meaning for a " + a.text());
    t.type = a;
  }

  void mistake(Tree& t) {
    fault(t, std::string("'") + name(t.op) + "' has no meaning between a " + t.args[0]->type.text() +
                 " and a " + t.args[1]->type.text());
  }

  void check_binary(Tree& t) {
    Tree& a = *t.args[0];
    Tree& b = *t.args[1];
    if (t.op == Op::kIn) return check_in(t);
    adapt_both(a, b);
    const bool same = a.type == b.type && a.type.shape == Shape::kOne && a.type != kNetwork;
    switch (t.op) {
      case Op::kOr:
      case Op::kAnd:
        if (a.type != kBool || b.type != kBool) mistake(t);
        t.type = kBool;
        return;
      case Op::kEqual:
      case Op::kUnequal:
        if (!same) mistake(t);
        t.type = kBool;
        return;
      case Op::kLess:
      case Op::kAtMost:
      case Op::kGreater:
      case Op::kAtLeast:
        if (!same || !ordered(a.type)) mistake(t);
        t.type = kBool;
        return;
      case Op::kAdd:
        if (!same || a.type == kBool || a.type == kAddress) return mistake(t);
        t.type = a.type;
        t.most = a.most + b.most;
        if (text(t.type) && t.most > limits_.text)
          fault(t, "a text of up to " + std::to_string(t.most) + " bytes, at most " +
                       std::to_string(limits_.text) + " are allowed");
        return;
      case Op::kSubtract:
        if (!same || a.type == kBool || a.type == kAddress || text(a.type)) return mistake(t);
        t.type = a.type;
        return;
      case Op::kMultiply:
      case Op::kDivide:
        if ((a.type == kDuration && b.type == kInt) || (a.type == kSize && b.type == kUint))
          return void(t.type = a.type);
        if (a.type == kSize && b.type == kInt) {
          adapt(b, kUint);
          if (b.type == kUint) return void(t.type = kSize);
        }
        if (!same || (!whole(a.type) && a.type != kDouble)) return mistake(t);
        t.type = a.type;
        return;
      case Op::kRemainder:
        if (!same || (!whole(a.type) && a.type != kDuration && a.type != kSize)) return mistake(t);
        t.type = a.type;
        return;
      default:
        return;
    }
  }

  void check_in(Tree& t) {
    Tree& a = *t.args[0];
    Tree& b = *t.args[1];
    t.type = kBool;
    if (a.type.shape != Shape::kOne) return mistake(t);
    if (b.node == Node::kList) {
      for (auto& item : b.args) adapt(*item, a.type);
      if (std::all_of(b.args.begin(), b.args.end(), [&](auto& i) { return i->type == a.type; }))
        b.type = {a.type.base, Shape::kList};
      adapt(a, {b.type.base, Shape::kOne});
    }
    if (b.node == Node::kRange) {
      for (auto& item : b.args) adapt(*item, a.type);
      b.type = {b.args[0]->type.base, Shape::kRange};
    }
    const bool network = b.type.base == Base::kNetwork;
    if (network ? a.type != kAddress : b.type.shape == Shape::kOne || b.type.base != a.type.base)
      return mistake(t);
    if (a.type == kDouble && b.type.shape == Shape::kList)
      return fault(t, "doubles are not looked up; write a range");
    if (a.type == kBool) return mistake(t);
  }

  void check_condition(Tree& t) {
    if (t.args[0]->type != kBool)
      return fault(*t.args[0], "a bool is expected before ?, this is a " + t.args[0]->type.text());
    adapt_both(*t.args[1], *t.args[2]);
    if (t.args[1]->type != t.args[2]->type || t.args[1]->type.shape != Shape::kOne ||
        t.args[1]->type == kNetwork)
      return fault(t, "a " + t.args[1]->type.text() + " or a " + t.args[2]->type.text() +
                          ": both must be of one type");
    t.type = t.args[1]->type;
    t.most = std::max(t.args[1]->most, t.args[2]->most);
  }

  void check_call(Tree& t) {
    const auto type = [&](std::size_t i) { return t.args[i]->type; };
    const auto wrong = [&] { fault(t, std::string("it is called as ") + t.function->signature); };
    const auto literal = [&](std::size_t i) {
      return t.args[i]->node == Node::kConstant && type(i) == kString;
    };
    switch (t.function->call) {
      case Call::kStartsWith:
      case Call::kEndsWith:
      case Call::kContains:
        if (type(0) != kString || type(1) != kString) return wrong();
        t.type = kBool;
        return;
      case Call::kMatches: {
        if (type(0) != kString || !literal(1)) return wrong();
        const std::string& pattern = t.args[1]->constant.bytes;
        if (pattern.size() > limits_.regex)
          return fault(*t.args[1], "a regular expression of " + std::to_string(pattern.size()) +
                                       " bytes, at most " + std::to_string(limits_.regex) + " are allowed");
        re2::RE2::Options o;
        o.set_log_errors(false);
        o.set_max_mem(static_cast<std::int64_t>(limits_.regex_memory));
        const re2::RE2 test(pattern, o);
        if (!test.ok()) return fault(*t.args[1], "regular expression: " + test.error());
        t.type = kBool;
        return;
      }
      case Call::kLower:
        if (type(0) != kString) return wrong();
        t.type = kString;
        t.most = t.args[0]->most;
        return;
      case Call::kLength:
        if (!text(type(0))) return wrong();
        t.type = kUint;
        return;
      case Call::kHash:
        for (std::size_t i = 0; i < t.args.size(); ++i) {
          if (type(i).shape != Shape::kOne || type(i) == kNetwork) return wrong();
        }
        t.type = kUint;
        return;
      case Call::kMin:
      case Call::kMax:
        adapt_both(*t.args[0], *t.args[1]);
        if (type(0) != type(1) || !ordered(type(0)) || text(type(0)) || type(0) == kAddress) return wrong();
        t.type = type(0);
        return;
      case Call::kAbs:
        if (type(0) != kInt && type(0) != kDouble && type(0) != kDuration) return wrong();
        t.type = type(0);
        return;
      case Call::kToInt:
        if (type(0) != kUint && type(0) != kDouble && type(0) != kSize && type(0) != kDuration)
          return wrong();
        t.type = kInt;
        return;
      case Call::kToUint:
        if (type(0) != kInt && type(0) != kDouble && type(0) != kSize) return wrong();
        t.type = kUint;
        return;
      case Call::kToDouble:
        if (!whole(type(0))) return wrong();
        t.type = kDouble;
        return;
      case Call::kSeconds:
        if (type(0) != kDuration) return wrong();
        t.type = kDouble;
        return;
      case Call::kToAddress:
      case Call::kToNetwork: {
        if (!literal(0)) return wrong();
        Constant c;
        const std::string& source = t.args[0]->constant.bytes;
        if (t.function->call == Call::kToAddress) {
          const auto a = parse_address(source);
          if (!a) return fault(*t.args[0], "'" + source + "' is no address");
          c.type = kAddress;
          c.value = Value(*a);
        } else {
          const auto n = parse_network(source);
          if (!n) return fault(*t.args[0], "'" + source + "' is no network, or has bits beyond its prefix");
          c.type = kNetwork;
          c.value = Value(n->first);
          c.prefix = n->second;
        }
        t.node = Node::kConstant;
        t.constant = std::move(c);
        t.type = t.constant.type;
        t.args.clear();
        return;
      }
    }
  }

  // What stands on literals alone is computed now, by the same machine; what fails now would fail always.
  void fold(Tree& t) {
    if (folding_ || t.node == Node::kConstant) return;
    const auto literal = [](const std::unique_ptr<Tree>& a) {
      return a->node == Node::kConstant ||
             (!a->args.empty() && (a->node == Node::kList || a->node == Node::kRange));
    };
    if (!std::all_of(t.args.begin(), t.args.end(), literal)) return;
    Compiler inner(sets_, limits_, faults_, true);
    const Type type = t.type;
    const auto program = inner.run(t, std::nullopt);
    if (!program) return;
    Machine machine;
    Value v;
    const Failure failure = machine.run(*program, Record{}, v);
    if (failure != Failure::kNone) return fault(t, std::string("a constant with an error: ") + name(failure));
    Constant c;
    c.type = type;
    if (text(type)) c.bytes.assign(v.s.data, v.s.size);
    else c.value = v;
    t.node = Node::kConstant;
    t.text.clear();
    t.function = nullptr;
    t.args.clear();
    t.constant = std::move(c);
  }

  // ---- Code ----

  std::uint8_t reg(std::size_t depth, const Tree& t) {
    if (depth >= limits_.registers) {
      if (!full_) fault(t, "more than " + std::to_string(limits_.registers) + " values at a time");
      full_ = true;
      return 0;
    }
    p_.registers = std::max(p_.registers, depth + 1);
    return static_cast<std::uint8_t>(depth);
  }

  std::size_t put(Code code, std::uint8_t to, Operand a = 0, Operand b = 0, std::size_t index = 0,
                  std::size_t bytes = 0) {
    p_.code.push_back({code, to, a, b, static_cast<std::uint32_t>(index)});
    p_.cost += steps(code, bytes);
    return p_.code.size() - 1;
  }
  void land(std::size_t jump) { p_.code[jump].index = static_cast<std::uint32_t>(p_.code.size()); }

  // Where the value of a part is found: where it stands already, or in register `depth` once its code has
  // run.
  Operand value(Tree& t, std::size_t depth) {
    if (t.node == Node::kConstant) {
      if (p_.constants.size() >= kIndexMask) {
        if (!full_) fault(t, "more than " + std::to_string(kIndexMask) + " constants");
        full_ = true;
        return 0;
      }
      p_.constants.push_back(t.constant);
      return operand(Home::kConstant, p_.constants.size() - 1);
    }
    if (t.node == Node::kField) {
      p_.stable = p_.stable && fields()[static_cast<std::size_t>(t.field)].stable;
      return operand(Home::kField, static_cast<std::size_t>(t.field));
    }
    if (t.node == Node::kName) return lets_at_[static_cast<std::size_t>(t.slot)];
    emit(t, depth);
    return operand(Home::kRegister, depth);
  }

  // Into register `depth`.
  void emit(Tree& t, std::size_t depth) {
    const std::uint8_t to = reg(depth, t);
    if (full_) return;
    switch (t.node) {
      case Node::kConstant:
      case Node::kField:
      case Node::kName:
        put(Code::kMove, to, value(t, depth));
        return;
      case Node::kLet: {
        const Operand named = value(*t.args[0], depth);
        lets_at_.push_back(named);
        const bool here = named == operand(Home::kRegister, depth);
        const Operand body = here ? value(*t.args[1], depth + 1) : to;
        if (!here) emit(*t.args[1], depth);
        lets_at_.pop_back();
        if (here) put(Code::kMove, to, body);
        return;
      }
      case Node::kUnary:
        put(t.op == Op::kNot    ? Code::kNot
            : t.type == kDouble ? Code::kNegateDouble
                                : Code::kNegateInt,
            to, value(*t.args[0], depth));
        return;
      case Node::kBinary:
        return emit_binary(t, depth, to);
      case Node::kCondition: {
        const auto no = put(Code::kJumpIfFalse, 0, value(*t.args[0], depth));
        emit(*t.args[1], depth);
        const auto out = put(Code::kJump, 0);
        land(no);
        emit(*t.args[2], depth);
        land(out);
        return;
      }
      case Node::kCall:
        return emit_call(t, depth, to);
      default:
        return;  // sets, lists and ranges are part of `in`
    }
  }

  void emit_binary(Tree& t, std::size_t depth, std::uint8_t to) {
    Tree& a = *t.args[0];
    Tree& b = *t.args[1];
    if (t.op == Op::kOr || t.op == Op::kAnd) {
      emit(a, depth);
      const auto done = put(t.op == Op::kOr ? Code::kJumpIfTrue : Code::kJumpIfFalse, 0, to);
      emit(b, depth);
      land(done);
      return;
    }
    if (t.op == Op::kIn) return emit_in(t, depth, to);
    const Operand ra = value(a, depth);
    const Operand rb = value(b, ra == operand(Home::kRegister, depth) ? depth + 1 : depth);
    const Type type = a.type;
    const std::size_t bytes = a.most + b.most;
    const auto pick = [&](Code i, Code u, Code d) { return type == kDouble ? d : signed_word(type) ? i : u; };
    switch (t.op) {
      case Op::kAdd:
        if (text(type)) {
          p_.scratch += t.most;
          put(Code::kJoin, to, ra, rb, 0, bytes);
        } else {
          put(pick(Code::kAddInt, Code::kAddUint, Code::kAddDouble), to, ra, rb);
        }
        return;
      case Op::kSubtract:
        put(pick(Code::kSubtractInt, Code::kSubtractUint, Code::kSubtractDouble), to, ra, rb);
        return;
      case Op::kMultiply:
        put(pick(Code::kMultiplyInt, Code::kMultiplyUint, Code::kMultiplyDouble), to, ra, rb);
        return;
      case Op::kDivide:
        put(pick(Code::kDivideInt, Code::kDivideUint, Code::kDivideDouble), to, ra, rb);
        return;
      case Op::kRemainder:
        put(pick(Code::kRemainderInt, Code::kRemainderUint, Code::kRemainderUint), to, ra, rb);
        return;
      default:
        break;
    }
    const Code less = text(type)         ? Code::kLessText
                      : type == kAddress ? Code::kLessAddress
                                         : pick(Code::kLessInt, Code::kLessUint, Code::kLessDouble);
    const Code equal = text(type)         ? Code::kEqualText
                       : type == kAddress ? Code::kEqualAddress
                       : type == kDouble  ? Code::kEqualDouble
                                          : Code::kEqualWord;
    switch (t.op) {
      case Op::kEqual:
        put(equal, to, ra, rb, 0, bytes);
        return;
      case Op::kUnequal:
        put(equal, to, ra, rb, 0, bytes);
        break;
      case Op::kLess:
        put(less, to, ra, rb, 0, bytes);
        return;
      case Op::kGreater:
        put(less, to, rb, ra, 0, bytes);
        return;
      case Op::kAtMost:
        put(less, to, rb, ra, 0, bytes);
        break;
      case Op::kAtLeast:
        put(less, to, ra, rb, 0, bytes);
        break;
      default:
        return;
    }
    put(Code::kNot, to, to);
  }

  void emit_in(Tree& t, std::size_t depth, std::uint8_t to) {
    Tree& a = *t.args[0];
    Tree& b = *t.args[1];
    if (b.type.shape == Shape::kRange) {
      // Not under the first and not over the second.
      const Code less = signed_word(a.type)     ? Code::kLessInt
                        : unsigned_word(a.type) ? Code::kLessUint
                        : a.type == kDouble     ? Code::kLessDouble
                                                : Code::kLessAddress;
      const std::uint8_t out = reg(depth + 2, t);
      const Operand it = value(a, depth);
      put(less, out, it, value(*b.args[0], depth + 1));
      const auto under = put(Code::kJumpIfTrue, 0, out);
      put(less, out, value(*b.args[1], depth + 1), it);
      land(under);
      put(Code::kNot, to, out);
      return;
    }
    const Operand it = value(a, depth);
    if (b.type.base == Base::kNetwork) {
      if (b.node == Node::kSet) {
        p_.networks.push_back(&sets_.at(b.text));
      } else {
        std::vector<std::string> entries;
        const auto bare = [](const Constant& c) {
          const std::string s = c.text();
          return s.substr(5, s.size() - 7);
        };
        if (b.node == Node::kConstant) entries.push_back(bare(b.constant));
        for (const auto& i : b.args) entries.push_back(bare(i->constant));
        Networks n;
        std::string reason;
        Networks::make(entries, n, reason);
        p_.own_networks.push_back(std::move(n));
        p_.networks.push_back(nullptr);  // the next of its own
      }
      put(Code::kInNetworks, to, it, 0, p_.networks.size() - 1,
          16 * (1 + static_cast<std::size_t>(
                        std::log2(1.0 + static_cast<double>(b.node == Node::kSet ? sets_.at(b.text).ranges()
                                                                                 : b.args.size())))));
      return;
    }
    if (text(a.type)) {
      Texts set;
      for (const auto& i : b.args) set.insert(i->constant.bytes);
      p_.texts.push_back(std::move(set));
      put(Code::kInTexts, to, it, 0, p_.texts.size() - 1, a.most);
      return;
    }
    if (a.type == kAddress) {  // few: one network each
      std::vector<std::string> entries;
      for (const auto& i : b.args) {
        const std::string s = i->constant.text();
        entries.push_back(s.substr(4, s.size() - 6));
      }
      Networks n;
      std::string reason;
      Networks::make(entries, n, reason);
      p_.own_networks.push_back(std::move(n));
      p_.networks.push_back(nullptr);
      put(Code::kInNetworks, to, it, 0, p_.networks.size() - 1, 64);
      return;
    }
    std::unordered_set<std::uint64_t> set;
    for (const auto& i : b.args) set.insert(i->constant.value.u);
    p_.words.push_back(std::move(set));
    put(Code::kInWords, to, it, 0, p_.words.size() - 1);
  }

  void emit_call(Tree& t, std::size_t depth, std::uint8_t to) {
    const std::size_t count = t.function->call == Call::kMatches ? 1 : t.args.size();
    std::size_t bytes = 0;
    const bool in_a_row = t.function->call == Call::kHash;  // its arguments stand in registers side by side
    Operand ra = to;
    Operand rb = 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (in_a_row) emit(*t.args[i], depth + i);
      else (i == 0 ? ra : rb) = value(*t.args[i], depth + i);
      bytes += t.args[i]->most;
    }
    const Type type = t.args[0]->type;
    switch (t.function->call) {
      case Call::kStartsWith:
        put(Code::kStartsWith, to, ra, rb, 0, bytes);
        return;
      case Call::kEndsWith:
        put(Code::kEndsWith, to, ra, rb, 0, bytes);
        return;
      case Call::kContains:
        put(Code::kContains, to, ra, rb, 0, 4 * bytes);
        return;
      case Call::kMatches: {
        re2::RE2::Options o;
        o.set_log_errors(false);
        o.set_max_mem(static_cast<std::int64_t>(limits_.regex_memory));
        p_.expressions.push_back(std::make_unique<re2::RE2>(t.args[1]->constant.bytes, o));
        put(Code::kMatches, to, ra, 0, p_.expressions.size() - 1,
            8 * bytes + t.args[1]->constant.bytes.size());
        return;
      }
      case Call::kLower:
        p_.scratch += t.most;
        put(Code::kLower, to, ra, 0, 0, bytes);
        return;
      case Call::kLength:
        put(Code::kLength, to, ra);
        return;
      case Call::kHash: {
        std::vector<Type> types;
        for (const auto& a : t.args) types.push_back(a->type);
        p_.hashed.push_back(std::move(types));
        put(Code::kHash, to, ra, 0, p_.hashed.size() - 1, bytes + 16 * count);
        return;
      }
      case Call::kMin:
      case Call::kMax: {
        const Code least = type == kDouble     ? Code::kMinDouble
                           : signed_word(type) ? Code::kMinInt
                                               : Code::kMinUint;
        put(least, to, ra, rb, t.function->call == Call::kMax ? 1 : 0);
        return;
      }
      case Call::kAbs:
        put(type == kDouble ? Code::kAbsDouble : Code::kAbsInt, to, ra);
        return;
      case Call::kToInt:
        if (type == kDuration) return put(Code::kMove, to, ra), void();  // nanoseconds already
        put(type == kDouble ? Code::kIntFromDouble : Code::kIntFromUint, to, ra);
        return;
      case Call::kToUint:
        if (type == kSize) return put(Code::kMove, to, ra), void();
        put(type == kDouble ? Code::kUintFromDouble : Code::kUintFromInt, to, ra);
        return;
      case Call::kToDouble:
        put(type == kInt ? Code::kDoubleFromInt : Code::kDoubleFromUint, to, ra);
        return;
      case Call::kSeconds:
        put(Code::kSeconds, to, ra);
        return;
      default:
        return;
    }
  }

  const NetworkSets& sets_;
  const Limits& limits_;
  std::vector<Fault>& faults_;
  const bool folding_;
  std::vector<Tree*> lets_;
  std::vector<Operand> lets_at_;
  bool full_ = false;
  Program p_;
};

}  // namespace

std::optional<Program> compile(Tree& tree, const NetworkSets& sets, const Limits& limits,
                               std::optional<Type> wanted, std::vector<Fault>& faults) {
  auto p = Compiler(sets, limits, faults, false).run(tree, wanted);
  if (!p) return p;
  if (const std::string why = verify(*p); !why.empty()) {
    faults.push_back({{}, "the program is not sound: " + why});
    return std::nullopt;
  }
  return p;
}

std::optional<Program> compile(std::string_view source, const NetworkSets& sets, const Limits& limits,
                               std::optional<Type> wanted, std::vector<Fault>& faults) {
  const auto tree = parse(source, limits, faults);
  return tree ? compile(*tree, sets, limits, wanted, faults) : std::nullopt;
}

// Every way that the jumps leave open is followed: what an instruction reads is written on all of them.
std::string verify(const Program& p) {
  using Written = std::bitset<256>;
  if (std::count(p.networks.begin(), p.networks.end(), nullptr) > 0) return "networks that are not there";
  if (p.registers == 0 || p.registers > 256) return "registers";
  if (p.values.size() != p.constants.size()) return "constants without values";
  std::vector<std::optional<Written>> before(p.code.size() + 1);
  before[0].emplace();
  const auto lead = [&](std::size_t to, const Written& w) { before[to] = before[to] ? *before[to] & w : w; };
  for (std::size_t i = 0; i < p.code.size(); ++i) {
    if (!before[i]) continue;  // no way leads here
    Written written = *before[i];
    const Instruction& in = p.code[i];
    const auto at = " at " + std::to_string(i);
    const auto read = [&](Operand o) {
      const std::size_t index = o & kIndexMask;
      switch (static_cast<Home>(o >> kHomeShift)) {
        case Home::kRegister:
          return index < p.registers && written[index];
        case Home::kConstant:
          return index < p.constants.size();
        case Home::kField:
          return index < kFields;
      }
      return false;
    };
    if (in.code > Code::kSeconds) return "an unknown instruction" + at;
    if (jumps(in.code) && (in.index <= i || in.index > p.code.size()))
      return "a jump that is not forward" + at;
    if (in.code == Code::kInWords      ? in.index >= p.words.size()
        : in.code == Code::kInTexts    ? in.index >= p.texts.size()
        : in.code == Code::kInNetworks ? in.index >= p.networks.size()
        : in.code == Code::kMatches    ? in.index >= p.expressions.size()
        : in.code == Code::kHash       ? in.index >= p.hashed.size()
                                       : false)
      return "an index out of range" + at;
    if (in.code == Code::kHash) {
      for (std::size_t k = 0; k < p.hashed[in.index].size(); ++k) {
        if (in.a + k >= p.registers || !written[in.a + k]) return "a value read that is not there" + at;
      }
    } else if (in.code != Code::kJump && (!read(in.a) || (reads_two(in.code) && !read(in.b)))) {
      return "a value read that is not there" + at;
    }
    // The machine looks at both, whether it needs them or not.
    const auto inside = [&](Operand o) {
      const std::size_t index = o & kIndexMask;
      const auto home = static_cast<Home>(o >> kHomeShift);
      return home == Home::kRegister   ? index < 256
             : home == Home::kConstant ? index < p.constants.size()
                                       : index < kFields;
    };
    if (!inside(in.a) || !inside(in.b) || (in.a >> kHomeShift) > 2 || (in.b >> kHomeShift) > 2)
      return "an operand out of range" + at;
    if (jumps(in.code)) {
      lead(in.index, written);
      if (in.code != Code::kJump) lead(i + 1, written);
      continue;
    }
    if (in.to >= p.registers) return "a register out of range" + at;
    written[in.to] = true;
    lead(i + 1, written);
  }
  return before.back() && (*before.back())[0] ? "" : "no result";
}

}  // namespace heronworks::expr
