// Type checker, constant folder, code generator and verifier.
#include <algorithm>
#include <bitset>
#include <cmath>
#include <cstring>

#include "expr/program.h"

namespace heronworks::expr {
namespace {

bool is_integer(Type t) { return t == kInt || t == kUint; }
bool is_text(Type t) { return t == kString || t == kBytes; }
bool is_signed_word(Type t) { return t == kInt || t == kDuration; }
bool is_unsigned_word(Type t) { return t == kUint || t == kSize; }
bool has_order(Type t) {
  return is_signed_word(t) || is_unsigned_word(t) || t == kDouble || is_text(t) || t == kAddress;
}

class Compiler {
 public:
  Compiler(const NetworkSets& network_sets, const Limits& limits, std::vector<Diagnostic>& diagnostics,
           bool is_folding)
      : network_sets_(network_sets), limits_(limits), diagnostics_(diagnostics), is_folding_(is_folding) {}

  std::optional<Program> run(AstNode& tree, std::optional<Type> required_type) {
    const std::size_t errors_before = diagnostics_.size();
    check(tree);
    if (diagnostics_.size() == errors_before && required_type) {
      convert_literal(tree, *required_type);
      if (tree.type != *required_type)
        report(tree, "expected type " + required_type->to_string() + ", got " + tree.type.to_string());
    }
    if (diagnostics_.size() == errors_before && tree.type.shape != TypeShape::kScalar)
      report(tree, "an expression cannot result in a " + tree.type.to_string());
    if (diagnostics_.size() == errors_before && tree.type == kNetwork)
      report(tree, "a network can only be the right operand of 'in'");
    if (diagnostics_.size() > errors_before) return std::nullopt;
    program_.result_type = tree.type;
    emit(tree, 0);
    program_.register_count = std::max<std::size_t>(program_.register_count, 1);
    if (program_.instructions.size() > limits_.max_instructions)
      report(tree, "program has " + std::to_string(program_.instructions.size()) + " instructions, at most " +
                       std::to_string(limits_.max_instructions) + " are allowed");
    if (program_.scratch_bytes > limits_.max_scratch_bytes)
      report(tree, "program may compute " + std::to_string(program_.scratch_bytes) +
                       " bytes of text, at most " + std::to_string(limits_.max_scratch_bytes) +
                       " are allowed");
    if (program_.max_steps > limits_.max_steps)
      report(tree, "expression may cost " + std::to_string(program_.max_steps) + " steps, at most " +
                       std::to_string(limits_.max_steps) + " are allowed");
    if (diagnostics_.size() > errors_before) return std::nullopt;
    for (const Constant& constant : program_.constants) {
      program_.constant_values.push_back(is_text(constant.type) ? Value(std::string_view(constant.bytes))
                                                                : constant.value);
    }
    // The addresses of literal sets are final only now.
    std::size_t next_literal = 0;
    for (const NetworkSet*& set : program_.network_sets)
      set = set == nullptr ? &program_.literal_network_sets[next_literal++] : set;
    return std::move(program_);
  }

 private:
  void report(const AstNode& node, std::string message) {
    diagnostics_.push_back({node.location, std::move(message)});
  }

  // Converts an int constant to `target` (uint or double) if that is lossless; leaves other nodes alone.
  static void convert_literal(AstNode& node, Type target) {
    if (node.kind != NodeKind::kConstant || node.type != kInt) return;
    const std::int64_t number = node.constant.value.as_int;
    if (target == kUint && number >= 0) node.constant.value = Value(static_cast<std::uint64_t>(number));
    else if (target == kDouble && number <= (std::int64_t{1} << 53) && number >= -(std::int64_t{1} << 53))
      node.constant.value = Value(static_cast<double>(number));
    else return;
    node.constant.type = node.type = target;
  }
  static void convert_literals(AstNode& left, AstNode& right) {
    convert_literal(left, right.type);
    convert_literal(right, left.type);
  }

  // Sets the type of `node` and its children, and folds constants. Reports all errors that it finds.
  void check(AstNode& node) {
    const std::size_t errors_before = diagnostics_.size();
    // The name of a let is visible in its body only.
    if (node.kind == NodeKind::kLet) {
      check(*node.children[0]);
      if (node.children[0]->type.shape != TypeShape::kScalar || node.children[0]->type == kNetwork)
        report(*node.children[0], "'let' requires a single value, got " + node.children[0]->type.to_string());
      if (std::any_of(lets_.begin(), lets_.end(), [&](const AstNode* let) { return let->name == node.name; }))
        report(node, "'" + node.name + "' is already defined by an enclosing 'let'");
      lets_.push_back(&node);
      check(*node.children[1]);
      lets_.pop_back();
      node.type = node.children[1]->type;
      node.max_bytes = node.children[1]->max_bytes;
      return;
    }
    for (auto& child : node.children) check(*child);
    if (diagnostics_.size() > errors_before) return;
    switch (node.kind) {
      case NodeKind::kConstant:
        node.type = node.constant.type;
        node.max_bytes = node.constant.bytes.size();
        return;
      case NodeKind::kField:
        node.type = fields()[static_cast<std::size_t>(node.field)].type;
        node.max_bytes = fields()[static_cast<std::size_t>(node.field)].max_bytes;
        return;
      case NodeKind::kIdentifier:
        return check_identifier(node);
      case NodeKind::kNetworkSet:
        if (!network_sets_.contains(node.name))
          report(node, "unknown network set '$" + node.name + "'" + suggest_set(node.name));
        node.type = {BaseType::kNetwork, TypeShape::kSet};
        return;
      case NodeKind::kList:
        return check_list(node);
      case NodeKind::kRange:
        return check_range(node);
      case NodeKind::kUnary:
        check_unary(node);
        break;
      case NodeKind::kBinary:
        check_binary(node);
        break;
      case NodeKind::kConditional:
        check_conditional(node);
        break;
      case NodeKind::kCall:
        check_call(node);
        break;
      case NodeKind::kLet:
        break;
    }
    if (diagnostics_.size() == errors_before) fold(node);
  }

  std::string suggest_set(const std::string& name) const {
    for (const auto& [candidate, set] : network_sets_) {
      if (candidate.substr(0, 2) == name.substr(0, 2)) return "; did you mean $" + candidate + "?";
    }
    return "";
  }

  void check_identifier(AstNode& node) {
    for (std::size_t i = 0; i < lets_.size(); ++i) {
      if (lets_[i]->name != node.name) continue;
      node.let_index = static_cast<int>(i);
      node.type = lets_[i]->children[0]->type;
      node.max_bytes = lets_[i]->children[0]->max_bytes;
      return;
    }
    const std::string suggestion = suggest_name(node.name);
    report(node, "unknown name '" + node.name + "'" +
                     (suggestion.empty() ? "" : "; did you mean " + suggestion + "?"));
  }

  void check_list(AstNode& node) {
    if (node.children.empty()) return report(node, "a list must not be empty");
    const Type item_type = node.children[0]->type;
    for (auto& item : node.children) {
      if (item->kind != NodeKind::kConstant) return report(*item, "list items must be literals");
      if (item->type != item_type)
        return report(*item, "list items must have the same type, expected " + item_type.to_string() +
                                 ", got " + item->type.to_string());
    }
    if (item_type.shape != TypeShape::kScalar) return report(node, "list items must be single values");
    node.type = {item_type.base, TypeShape::kList};
  }

  void check_range(AstNode& node) {
    AstNode& lower = *node.children[0];
    AstNode& upper = *node.children[1];
    convert_literals(lower, upper);
    if (lower.type != upper.type)
      return report(node, "range bounds must have the same type, got " + lower.type.to_string() + " and " +
                              upper.type.to_string());
    if (!has_order(lower.type) || is_text(lower.type))
      return report(node, "unsupported range of " + lower.type.to_string());
    if (lower.kind != NodeKind::kConstant || upper.kind != NodeKind::kConstant)
      return report(node, "range bounds must be literals");
    const bool empty =
        is_signed_word(lower.type)     ? lower.constant.value.as_int > upper.constant.value.as_int
        : is_unsigned_word(lower.type) ? lower.constant.value.as_uint > upper.constant.value.as_uint
        : lower.type == kDouble        ? lower.constant.value.as_double > upper.constant.value.as_double
                                       : lower.constant.value.as_address > upper.constant.value.as_address;
    if (empty) return report(node, "empty range: the lower bound exceeds the upper bound");
    node.type = {lower.type.base, TypeShape::kRange};
  }

  void check_unary(AstNode& node) {
    const Type type = node.children[0]->type;
    if (node.op == Operator::kNot ? type != kBool : type != kInt && type != kDouble && type != kDuration)
      return report(node, std::string("unary operator '") + symbol(node.op) + "' cannot be applied to " +
                              type.to_string());
    node.type = type;
  }

  void report_operand_types(AstNode& node) {
    report(node, std::string("operator '") + symbol(node.op) + "' cannot be applied to " +
                     node.children[0]->type.to_string() + " and " + node.children[1]->type.to_string());
  }

  void check_binary(AstNode& node) {
    AstNode& left = *node.children[0];
    AstNode& right = *node.children[1];
    if (node.op == Operator::kIn) return check_in(node);
    convert_literals(left, right);
    const bool same_scalar_type =
        left.type == right.type && left.type.shape == TypeShape::kScalar && left.type != kNetwork;
    switch (node.op) {
      case Operator::kOr:
      case Operator::kAnd:
        if (left.type != kBool || right.type != kBool) report_operand_types(node);
        node.type = kBool;
        return;
      case Operator::kEqual:
      case Operator::kNotEqual:
        if (!same_scalar_type) report_operand_types(node);
        node.type = kBool;
        return;
      case Operator::kLess:
      case Operator::kLessOrEqual:
      case Operator::kGreater:
      case Operator::kGreaterOrEqual:
        if (!same_scalar_type || !has_order(left.type)) report_operand_types(node);
        node.type = kBool;
        return;
      case Operator::kAdd:
        if (!same_scalar_type || left.type == kBool || left.type == kAddress)
          return report_operand_types(node);
        node.type = left.type;
        node.max_bytes = left.max_bytes + right.max_bytes;
        if (is_text(node.type) && node.max_bytes > limits_.max_text_bytes)
          report(node, "concatenation may have " + std::to_string(node.max_bytes) + " bytes, at most " +
                           std::to_string(limits_.max_text_bytes) + " are allowed");
        return;
      case Operator::kSubtract:
        if (!same_scalar_type || left.type == kBool || left.type == kAddress || is_text(left.type))
          return report_operand_types(node);
        node.type = left.type;
        return;
      case Operator::kMultiply:
      case Operator::kDivide:
        if ((left.type == kDuration && right.type == kInt) || (left.type == kSize && right.type == kUint))
          return void(node.type = left.type);
        if (left.type == kSize && right.type == kInt) {
          convert_literal(right, kUint);
          if (right.type == kUint) return void(node.type = kSize);
        }
        if (!same_scalar_type || (!is_integer(left.type) && left.type != kDouble))
          return report_operand_types(node);
        node.type = left.type;
        return;
      case Operator::kRemainder:
        if (!same_scalar_type || (!is_integer(left.type) && left.type != kDuration && left.type != kSize))
          return report_operand_types(node);
        node.type = left.type;
        return;
      default:
        return;
    }
  }

  void check_in(AstNode& node) {
    AstNode& left = *node.children[0];
    AstNode& right = *node.children[1];
    node.type = kBool;
    if (left.type.shape != TypeShape::kScalar) return report_operand_types(node);
    if (right.kind == NodeKind::kList) {
      for (auto& item : right.children) convert_literal(*item, left.type);
      if (std::all_of(right.children.begin(), right.children.end(),
                      [&](auto& item) { return item->type == left.type; }))
        right.type = {left.type.base, TypeShape::kList};
      convert_literal(left, {right.type.base, TypeShape::kScalar});
    }
    if (right.kind == NodeKind::kRange) {
      for (auto& item : right.children) convert_literal(*item, left.type);
      right.type = {right.children[0]->type.base, TypeShape::kRange};
    }
    const bool is_network = right.type.base == BaseType::kNetwork;
    if (is_network ? left.type != kAddress
                   : right.type.shape == TypeShape::kScalar || right.type.base != left.type.base)
      return report_operand_types(node);
    if (left.type == kDouble && right.type.shape == TypeShape::kList)
      return report(node, "'in' does not support a list of double; use a range");
    if (left.type == kBool) return report_operand_types(node);
  }

  void check_conditional(AstNode& node) {
    if (node.children[0]->type != kBool)
      return report(*node.children[0],
                    "expected type bool before '?', got " + node.children[0]->type.to_string());
    convert_literals(*node.children[1], *node.children[2]);
    if (node.children[1]->type != node.children[2]->type ||
        node.children[1]->type.shape != TypeShape::kScalar || node.children[1]->type == kNetwork)
      return report(node, "both branches of a conditional must be single values of the same type, got " +
                              node.children[1]->type.to_string() + " and " +
                              node.children[2]->type.to_string());
    node.type = node.children[1]->type;
    node.max_bytes = std::max(node.children[1]->max_bytes, node.children[2]->max_bytes);
  }

  void check_call(AstNode& node) {
    const auto type = [&](std::size_t i) { return node.children[i]->type; };
    const auto report_signature = [&] {
      report(node, std::string("wrong arguments; expected ") + node.function->signature);
    };
    const auto is_string_literal = [&](std::size_t i) {
      return node.children[i]->kind == NodeKind::kConstant && type(i) == kString;
    };
    switch (node.function->id) {
      case FunctionId::kStartsWith:
      case FunctionId::kEndsWith:
      case FunctionId::kContains:
        if (type(0) != kString || type(1) != kString) return report_signature();
        node.type = kBool;
        return;
      case FunctionId::kMatches: {
        if (type(0) != kString || !is_string_literal(1)) return report_signature();
        const std::string& pattern = node.children[1]->constant.bytes;
        if (pattern.size() > limits_.max_regex_bytes)
          return report(*node.children[1], "regular expression has " + std::to_string(pattern.size()) +
                                               " bytes, at most " + std::to_string(limits_.max_regex_bytes) +
                                               " are allowed");
        re2::RE2::Options options;
        options.set_log_errors(false);
        options.set_max_mem(static_cast<std::int64_t>(limits_.max_regex_memory_bytes));
        const re2::RE2 regex(pattern, options);
        if (!regex.ok()) return report(*node.children[1], "invalid regular expression: " + regex.error());
        node.type = kBool;
        return;
      }
      case FunctionId::kLower:
        if (type(0) != kString) return report_signature();
        node.type = kString;
        node.max_bytes = node.children[0]->max_bytes;
        return;
      case FunctionId::kByteSize:
        if (!is_text(type(0))) return report_signature();
        node.type = kUint;
        return;
      case FunctionId::kHash:
        for (std::size_t i = 0; i < node.children.size(); ++i) {
          if (type(i).shape != TypeShape::kScalar || type(i) == kNetwork) return report_signature();
        }
        node.type = kUint;
        return;
      case FunctionId::kMin:
      case FunctionId::kMax:
        convert_literals(*node.children[0], *node.children[1]);
        if (type(0) != type(1) || !has_order(type(0)) || is_text(type(0)) || type(0) == kAddress)
          return report_signature();
        node.type = type(0);
        return;
      case FunctionId::kAbs:
        if (type(0) != kInt && type(0) != kDouble && type(0) != kDuration) return report_signature();
        node.type = type(0);
        return;
      case FunctionId::kToInt:
        if (type(0) != kUint && type(0) != kDouble && type(0) != kSize && type(0) != kDuration)
          return report_signature();
        node.type = kInt;
        return;
      case FunctionId::kToUint:
        if (type(0) != kInt && type(0) != kDouble && type(0) != kSize) return report_signature();
        node.type = kUint;
        return;
      case FunctionId::kToDouble:
        if (!is_integer(type(0))) return report_signature();
        node.type = kDouble;
        return;
      case FunctionId::kSeconds:
        if (type(0) != kDuration) return report_signature();
        node.type = kDouble;
        return;
      case FunctionId::kToAddress:
      case FunctionId::kToNetwork: {
        if (!is_string_literal(0)) return report_signature();
        Constant constant;
        const std::string& source = node.children[0]->constant.bytes;
        if (node.function->id == FunctionId::kToAddress) {
          const auto address = parse_address(source);
          if (!address) return report(*node.children[0], "invalid address '" + source + "'");
          constant.type = kAddress;
          constant.value = Value(*address);
        } else {
          const auto network = parse_network(source);
          if (!network)
            return report(
                *node.children[0],
                "invalid network '" + source + "'; expected a prefix without host bits, such as 10.0.0.0/8");
          constant.type = kNetwork;
          constant.value = Value(network->first);
          constant.prefix_length = network->second;
        }
        node.kind = NodeKind::kConstant;
        node.constant = std::move(constant);
        node.type = node.constant.type;
        node.children.clear();
        return;
      }
    }
  }

  // Replaces an expression of constants by its value. One that fails would fail on every evaluation and is an
  // error.
  void fold(AstNode& node) {
    if (is_folding_ || node.kind == NodeKind::kConstant) return;
    const auto is_constant = [](const std::unique_ptr<AstNode>& child) {
      return child->kind == NodeKind::kConstant ||
             (!child->children.empty() &&
              (child->kind == NodeKind::kList || child->kind == NodeKind::kRange));
    };
    if (!std::all_of(node.children.begin(), node.children.end(), is_constant)) return;
    Compiler compiler(network_sets_, limits_, diagnostics_, true);
    const Type type = node.type;
    const auto program = compiler.run(node, std::nullopt);
    if (!program) return;
    Machine machine;
    Value value;
    const Failure failure = machine.run(*program, Record{}, value);
    if (failure != Failure::kNone)
      return report(node, std::string("constant expression fails: ") + to_string(failure));
    Constant constant;
    constant.type = type;
    if (is_text(type)) constant.bytes.assign(value.as_text.data, value.as_text.size);
    else constant.value = value;
    node.kind = NodeKind::kConstant;
    node.name.clear();
    node.function = nullptr;
    node.children.clear();
    node.constant = std::move(constant);
  }

  // ---- Code generation ----

  // Reserves register `depth`. Lower registers hold values that are still needed.
  std::uint8_t use_register(std::size_t depth, const AstNode& node) {
    if (depth >= limits_.max_registers) {
      if (!operand_limit_exceeded_)
        report(node, "expression needs more than " + std::to_string(limits_.max_registers) + " registers");
      operand_limit_exceeded_ = true;
      return 0;
    }
    program_.register_count = std::max(program_.register_count, depth + 1);
    return static_cast<std::uint8_t>(depth);
  }

  // Returns the index of the instruction. `bytes`: upper bound of the strings that it processes.
  std::size_t append(Opcode opcode, std::uint8_t destination, Operand left = 0, Operand right = 0,
                     std::size_t immediate = 0, std::size_t bytes = 0) {
    program_.instructions.push_back(
        {opcode, destination, left, right, static_cast<std::uint32_t>(immediate)});
    program_.max_steps += instruction_steps(opcode, bytes);
    return program_.instructions.size() - 1;
  }
  // Lets the instruction at index `jump` jump to the next instruction to be appended.
  void set_jump_target(std::size_t jump) {
    program_.instructions[jump].immediate = static_cast<std::uint32_t>(program_.instructions.size());
  }

  // The operand that holds the value of `node`. Constants, fields and names of a let are read in place; other
  // nodes are evaluated into register `depth`.
  Operand value(AstNode& node, std::size_t depth) {
    if (node.kind == NodeKind::kConstant) {
      if (program_.constants.size() >= kOperandIndexMask) {
        if (!operand_limit_exceeded_)
          report(node, "expression has more than " + std::to_string(kOperandIndexMask) + " constants");
        operand_limit_exceeded_ = true;
        return 0;
      }
      program_.constants.push_back(node.constant);
      return make_operand(OperandKind::kConstant, program_.constants.size() - 1);
    }
    if (node.kind == NodeKind::kField) {
      program_.stable_across_retries = program_.stable_across_retries &&
                                       fields()[static_cast<std::size_t>(node.field)].stable_across_retries;
      return make_operand(OperandKind::kField, static_cast<std::size_t>(node.field));
    }
    if (node.kind == NodeKind::kIdentifier) return let_operands_[static_cast<std::size_t>(node.let_index)];
    emit(node, depth);
    return make_operand(OperandKind::kRegister, depth);
  }

  // Appends code that evaluates `node` into register `depth` and does not change lower registers.
  void emit(AstNode& node, std::size_t depth) {
    const std::uint8_t destination = use_register(depth, node);
    if (operand_limit_exceeded_) return;
    switch (node.kind) {
      case NodeKind::kConstant:
      case NodeKind::kField:
      case NodeKind::kIdentifier:
        append(Opcode::kMove, destination, value(node, depth));
        return;
      case NodeKind::kLet: {
        const Operand let_value = value(*node.children[0], depth);
        let_operands_.push_back(let_value);
        const bool in_register = let_value == make_operand(OperandKind::kRegister, depth);
        const Operand body = in_register ? value(*node.children[1], depth + 1) : destination;
        if (!in_register) emit(*node.children[1], depth);
        let_operands_.pop_back();
        if (in_register) append(Opcode::kMove, destination, body);
        return;
      }
      case NodeKind::kUnary:
        append(node.op == Operator::kNot ? Opcode::kNot
               : node.type == kDouble    ? Opcode::kNegateDouble
                                         : Opcode::kNegateInt,
               destination, value(*node.children[0], depth));
        return;
      case NodeKind::kBinary:
        return emit_binary(node, depth, destination);
      case NodeKind::kConditional: {
        const auto jump_to_else = append(Opcode::kJumpIfFalse, 0, value(*node.children[0], depth));
        emit(*node.children[1], depth);
        const auto jump_to_end = append(Opcode::kJump, 0);
        set_jump_target(jump_to_else);
        emit(*node.children[2], depth);
        set_jump_target(jump_to_end);
        return;
      }
      case NodeKind::kCall:
        return emit_call(node, depth, destination);
      default:
        return;  // network sets, lists and ranges are operands of `in` only
    }
  }

  void emit_binary(AstNode& node, std::size_t depth, std::uint8_t destination) {
    AstNode& left = *node.children[0];
    AstNode& right = *node.children[1];
    if (node.op == Operator::kOr || node.op == Operator::kAnd) {
      emit(left, depth);
      const auto short_circuit =
          append(node.op == Operator::kOr ? Opcode::kJumpIfTrue : Opcode::kJumpIfFalse, 0, destination);
      emit(right, depth);
      set_jump_target(short_circuit);
      return;
    }
    if (node.op == Operator::kIn) return emit_in(node, depth, destination);
    const Operand left_operand = value(left, depth);
    const Operand right_operand =
        value(right, left_operand == make_operand(OperandKind::kRegister, depth) ? depth + 1 : depth);
    const Type type = left.type;
    const std::size_t bytes = left.max_bytes + right.max_bytes;
    const auto opcode_for_type = [&](Opcode for_signed, Opcode for_unsigned, Opcode for_double) {
      return type == kDouble ? for_double : is_signed_word(type) ? for_signed : for_unsigned;
    };
    switch (node.op) {
      case Operator::kAdd:
        if (is_text(type)) {
          program_.scratch_bytes += node.max_bytes;
          append(Opcode::kJoin, destination, left_operand, right_operand, 0, bytes);
        } else {
          append(opcode_for_type(Opcode::kAddInt, Opcode::kAddUint, Opcode::kAddDouble), destination,
                 left_operand, right_operand);
        }
        return;
      case Operator::kSubtract:
        append(opcode_for_type(Opcode::kSubtractInt, Opcode::kSubtractUint, Opcode::kSubtractDouble),
               destination, left_operand, right_operand);
        return;
      case Operator::kMultiply:
        append(opcode_for_type(Opcode::kMultiplyInt, Opcode::kMultiplyUint, Opcode::kMultiplyDouble),
               destination, left_operand, right_operand);
        return;
      case Operator::kDivide:
        append(opcode_for_type(Opcode::kDivideInt, Opcode::kDivideUint, Opcode::kDivideDouble), destination,
               left_operand, right_operand);
        return;
      case Operator::kRemainder:
        append(opcode_for_type(Opcode::kRemainderInt, Opcode::kRemainderUint, Opcode::kRemainderUint),
               destination, left_operand, right_operand);
        return;
      default:
        break;
    }
    const Opcode less = is_text(type) ? Opcode::kLessText
                        : type == kAddress
                            ? Opcode::kLessAddress
                            : opcode_for_type(Opcode::kLessInt, Opcode::kLessUint, Opcode::kLessDouble);
    const Opcode equal = is_text(type)      ? Opcode::kEqualText
                         : type == kAddress ? Opcode::kEqualAddress
                         : type == kDouble  ? Opcode::kEqualDouble
                                            : Opcode::kEqualWord;
    switch (node.op) {
      case Operator::kEqual:
        append(equal, destination, left_operand, right_operand, 0, bytes);
        return;
      case Operator::kNotEqual:
        append(equal, destination, left_operand, right_operand, 0, bytes);
        break;
      case Operator::kLess:
        append(less, destination, left_operand, right_operand, 0, bytes);
        return;
      case Operator::kGreater:
        append(less, destination, right_operand, left_operand, 0, bytes);
        return;
      case Operator::kLessOrEqual:
        append(less, destination, right_operand, left_operand, 0, bytes);
        break;
      case Operator::kGreaterOrEqual:
        append(less, destination, left_operand, right_operand, 0, bytes);
        break;
      default:
        return;
    }
    append(Opcode::kNot, destination, destination);
  }

  void emit_in(AstNode& node, std::size_t depth, std::uint8_t destination) {
    AstNode& left = *node.children[0];
    AstNode& right = *node.children[1];
    if (right.type.shape == TypeShape::kRange) {
      // Not below the lower bound and not above the upper one.
      const Opcode less = is_signed_word(left.type)     ? Opcode::kLessInt
                          : is_unsigned_word(left.type) ? Opcode::kLessUint
                          : left.type == kDouble        ? Opcode::kLessDouble
                                                        : Opcode::kLessAddress;
      const std::uint8_t outside = use_register(depth + 2, node);
      const Operand value_operand = value(left, depth);
      append(less, outside, value_operand, value(*right.children[0], depth + 1));
      const auto below = append(Opcode::kJumpIfTrue, 0, outside);
      append(less, outside, value(*right.children[1], depth + 1), value_operand);
      set_jump_target(below);
      append(Opcode::kNot, destination, outside);
      return;
    }
    const Operand value_operand = value(left, depth);
    if (right.type.base == BaseType::kNetwork) {
      if (right.kind == NodeKind::kNetworkSet) {
        program_.network_sets.push_back(&network_sets_.at(right.name));
      } else {
        std::vector<std::string> entries;
        const auto strip_net = [](const Constant& network) {
          const std::string source = network.to_source();  // net("10.0.0.0/8")
          return source.substr(5, source.size() - 7);
        };
        if (right.kind == NodeKind::kConstant) entries.push_back(strip_net(right.constant));
        for (const auto& item : right.children) entries.push_back(strip_net(item->constant));
        NetworkSet set;
        std::string error;
        NetworkSet::parse(entries, set, error);
        program_.literal_network_sets.push_back(std::move(set));
        program_.network_sets.push_back(nullptr);  // run() sets it to the literal set
      }
      // The lookup is a binary search that compares 16 bytes each time.
      append(Opcode::kInNetworks, destination, value_operand, 0, program_.network_sets.size() - 1,
             16 * (1 + static_cast<std::size_t>(std::log2(
                           1.0 + static_cast<double>(right.kind == NodeKind::kNetworkSet
                                                         ? network_sets_.at(right.name).range_count()
                                                         : right.children.size())))));
      return;
    }
    if (is_text(left.type)) {
      StringSet set;
      for (const auto& item : right.children) set.insert(item->constant.bytes);
      program_.text_sets.push_back(std::move(set));
      append(Opcode::kInTexts, destination, value_operand, 0, program_.text_sets.size() - 1, left.max_bytes);
      return;
    }
    if (left.type == kAddress) {  // a set of single addresses
      std::vector<std::string> entries;
      for (const auto& item : right.children) {
        const std::string source = item->constant.to_source();  // ip("10.0.0.1")
        entries.push_back(source.substr(4, source.size() - 6));
      }
      NetworkSet set;
      std::string error;
      NetworkSet::parse(entries, set, error);
      program_.literal_network_sets.push_back(std::move(set));
      program_.network_sets.push_back(nullptr);
      append(Opcode::kInNetworks, destination, value_operand, 0, program_.network_sets.size() - 1, 64);
      return;
    }
    std::unordered_set<std::uint64_t> set;
    for (const auto& item : right.children) set.insert(item->constant.value.as_uint);
    program_.word_sets.push_back(std::move(set));
    append(Opcode::kInWords, destination, value_operand, 0, program_.word_sets.size() - 1);
  }

  void emit_call(AstNode& node, std::size_t depth, std::uint8_t destination) {
    const std::size_t count = node.function->id == FunctionId::kMatches ? 1 : node.children.size();
    std::size_t bytes = 0;
    // hash() reads its arguments from consecutive registers.
    const bool consecutive = node.function->id == FunctionId::kHash;
    Operand left_operand = destination;
    Operand right_operand = 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (consecutive) emit(*node.children[i], depth + i);
      else (i == 0 ? left_operand : right_operand) = value(*node.children[i], depth + i);
      bytes += node.children[i]->max_bytes;
    }
    const Type type = node.children[0]->type;
    switch (node.function->id) {
      case FunctionId::kStartsWith:
        append(Opcode::kStartsWith, destination, left_operand, right_operand, 0, bytes);
        return;
      case FunctionId::kEndsWith:
        append(Opcode::kEndsWith, destination, left_operand, right_operand, 0, bytes);
        return;
      case FunctionId::kContains:
        append(Opcode::kContains, destination, left_operand, right_operand, 0, 4 * bytes);
        return;
      case FunctionId::kMatches: {
        re2::RE2::Options options;
        options.set_log_errors(false);
        options.set_max_mem(static_cast<std::int64_t>(limits_.max_regex_memory_bytes));
        program_.regexes.push_back(std::make_unique<re2::RE2>(node.children[1]->constant.bytes, options));
        append(Opcode::kMatches, destination, left_operand, 0, program_.regexes.size() - 1,
               8 * bytes + node.children[1]->constant.bytes.size());
        return;
      }
      case FunctionId::kLower:
        program_.scratch_bytes += node.max_bytes;
        append(Opcode::kLower, destination, left_operand, 0, 0, bytes);
        return;
      case FunctionId::kByteSize:
        append(Opcode::kByteSize, destination, left_operand);
        return;
      case FunctionId::kHash: {
        std::vector<Type> types;
        for (const auto& argument : node.children) types.push_back(argument->type);
        program_.hash_argument_types.push_back(std::move(types));
        append(Opcode::kHash, destination, left_operand, 0, program_.hash_argument_types.size() - 1,
               bytes + 16 * count);
        return;
      }
      case FunctionId::kMin:
      case FunctionId::kMax: {
        const Opcode opcode = type == kDouble        ? Opcode::kMinDouble
                              : is_signed_word(type) ? Opcode::kMinInt
                                                     : Opcode::kMinUint;
        append(opcode, destination, left_operand, right_operand,
               node.function->id == FunctionId::kMax ? 1 : 0);
        return;
      }
      case FunctionId::kAbs:
        append(type == kDouble ? Opcode::kAbsDouble : Opcode::kAbsInt, destination, left_operand);
        return;
      case FunctionId::kToInt:
        if (type == kDuration)
          return append(Opcode::kMove, destination, left_operand), void();  // is stored in nanoseconds
        append(type == kDouble ? Opcode::kIntFromDouble : Opcode::kIntFromUint, destination, left_operand);
        return;
      case FunctionId::kToUint:
        if (type == kSize) return append(Opcode::kMove, destination, left_operand), void();
        append(type == kDouble ? Opcode::kUintFromDouble : Opcode::kUintFromInt, destination, left_operand);
        return;
      case FunctionId::kToDouble:
        append(type == kInt ? Opcode::kDoubleFromInt : Opcode::kDoubleFromUint, destination, left_operand);
        return;
      case FunctionId::kSeconds:
        append(Opcode::kSeconds, destination, left_operand);
        return;
      default:
        return;
    }
  }

  const NetworkSets& network_sets_;
  const Limits& limits_;
  std::vector<Diagnostic>& diagnostics_;
  const bool is_folding_;
  std::vector<AstNode*> lets_;
  std::vector<Operand> let_operands_;
  bool operand_limit_exceeded_ = false;
  Program program_;
};

}  // namespace

std::optional<Program> compile(AstNode& tree, const NetworkSets& network_sets, const Limits& limits,
                               std::optional<Type> required_type, std::vector<Diagnostic>& diagnostics) {
  auto program = Compiler(network_sets, limits, diagnostics, false).run(tree, required_type);
  if (!program) return program;
  if (const std::string problem = verify(*program); !problem.empty()) {
    diagnostics.push_back({{}, "internal error: compiled program failed verification: " + problem});
    return std::nullopt;
  }
  return program;
}

std::optional<Program> compile(std::string_view source, const NetworkSets& network_sets, const Limits& limits,
                               std::optional<Type> required_type, std::vector<Diagnostic>& diagnostics) {
  const auto tree = parse(source, limits, diagnostics);
  return tree ? compile(*tree, network_sets, limits, required_type, diagnostics) : std::nullopt;
}

// Tracks which registers are written on every path to an instruction. Since jumps go forward only, one pass
// in order of the instructions is enough.
std::string verify(const Program& program) {
  using Written = std::bitset<256>;
  if (std::count(program.network_sets.begin(), program.network_sets.end(), nullptr) > 0)
    return "unresolved network set";
  if (program.register_count == 0 || program.register_count > 256) return "invalid number of registers";
  if (program.constant_values.size() != program.constants.size()) return "constant without a value";
  std::vector<std::optional<Written>> written_before(program.instructions.size() + 1);
  written_before[0].emplace();
  const auto propagate = [&](std::size_t next, const Written& written) {
    written_before[next] = written_before[next] ? *written_before[next] & written : written;
  };
  for (std::size_t i = 0; i < program.instructions.size(); ++i) {
    if (!written_before[i]) continue;  // unreachable
    Written written = *written_before[i];
    const Instruction& instruction = program.instructions[i];
    const auto at = " at instruction " + std::to_string(i);
    const auto is_defined = [&](Operand operand) {
      const std::size_t index = operand & kOperandIndexMask;
      switch (static_cast<OperandKind>(operand >> kOperandKindShift)) {
        case OperandKind::kRegister:
          return index < program.register_count && written[index];
        case OperandKind::kConstant:
          return index < program.constants.size();
        case OperandKind::kField:
          return index < kFieldCount;
      }
      return false;
    };
    if (instruction.opcode > Opcode::kSeconds) return "unknown opcode" + at;
    if (is_jump(instruction.opcode) &&
        (instruction.immediate <= i || instruction.immediate > program.instructions.size()))
      return "jump that does not go forward" + at;
    if (instruction.opcode == Opcode::kInWords      ? instruction.immediate >= program.word_sets.size()
        : instruction.opcode == Opcode::kInTexts    ? instruction.immediate >= program.text_sets.size()
        : instruction.opcode == Opcode::kInNetworks ? instruction.immediate >= program.network_sets.size()
        : instruction.opcode == Opcode::kMatches    ? instruction.immediate >= program.regexes.size()
        : instruction.opcode == Opcode::kHash ? instruction.immediate >= program.hash_argument_types.size()
                                              : false)
      return "table index out of range" + at;
    if (instruction.opcode == Opcode::kHash) {
      for (std::size_t k = 0; k < program.hash_argument_types[instruction.immediate].size(); ++k) {
        if (instruction.left + k >= program.register_count || !written[instruction.left + k])
          return "read of an undefined operand" + at;
      }
    } else if (instruction.opcode != Opcode::kJump &&
               (!is_defined(instruction.left) ||
                (has_two_operands(instruction.opcode) && !is_defined(instruction.right)))) {
      return "read of an undefined operand" + at;
    }
    // The machine computes the addresses of both operands even if the opcode uses none.
    const auto in_range = [&](Operand operand) {
      const std::size_t index = operand & kOperandIndexMask;
      const auto kind = static_cast<OperandKind>(operand >> kOperandKindShift);
      return kind == OperandKind::kRegister   ? index < 256
             : kind == OperandKind::kConstant ? index < program.constants.size()
                                              : index < kFieldCount;
    };
    if (!in_range(instruction.left) || !in_range(instruction.right) ||
        (instruction.left >> kOperandKindShift) > 2 || (instruction.right >> kOperandKindShift) > 2)
      return "operand out of range" + at;
    if (is_jump(instruction.opcode)) {
      propagate(instruction.immediate, written);
      if (instruction.opcode != Opcode::kJump) propagate(i + 1, written);
      continue;
    }
    if (instruction.destination >= program.register_count) return "destination register out of range" + at;
    written[instruction.destination] = true;
    propagate(i + 1, written);
  }
  return written_before.back() && (*written_before.back())[0] ? "" : "result not written on every path";
}

}  // namespace heronworks::expr
