// Register machine and disassembler.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstring>

#include "expr/program.h"

namespace heronworks::expr {
namespace {

constexpr std::size_t kBytesPerStep = 32;  // of strings, that one step processes

constexpr const char* kOpcodeNames[] = {"move",
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
static_assert(std::size(kOpcodeNames) == static_cast<std::size_t>(Opcode::kSeconds) + 1);

}  // namespace

const char* to_string(Failure failure) {
  static constexpr const char* kNames[] = {"none", "overflow", "division by zero", "lossy conversion",
                                           "result not finite"};
  return kNames[static_cast<std::size_t>(failure)];
}

bool is_jump(Opcode opcode) {
  return opcode == Opcode::kJump || opcode == Opcode::kJumpIfFalse || opcode == Opcode::kJumpIfTrue;
}

bool has_two_operands(Opcode opcode) {
  return (opcode >= Opcode::kAddInt && opcode <= Opcode::kLessAddress) ||
         (opcode >= Opcode::kStartsWith && opcode <= Opcode::kContains) ||
         (opcode >= Opcode::kMinInt && opcode <= Opcode::kMinDouble);
}

std::uint64_t instruction_steps(Opcode, std::size_t bytes) {
  return 1 + (bytes + kBytesPerStep - 1) / kBytesPerStep;
}

std::string Program::disassemble() const {
  const auto operand_to_string = [&](Operand operand) {
    const std::size_t index = operand & kOperandIndexMask;
    switch (static_cast<OperandKind>(operand >> kOperandKindShift)) {
      case OperandKind::kRegister:
        return "r" + std::to_string(index);
      case OperandKind::kConstant:
        return constants[index].to_source();
      case OperandKind::kField:
        return std::string(fields()[index].name);
    }
    return std::string();
  };
  std::string out;
  for (std::size_t i = 0; i < instructions.size(); ++i) {
    const Instruction& instruction = instructions[i];
    char line[160];
    std::snprintf(line, sizeof line, "%4zu  %-16s", i,
                  kOpcodeNames[static_cast<std::size_t>(instruction.opcode)]);
    out += line;
    if (is_jump(instruction.opcode)) {
      out += (instruction.opcode == Opcode::kJump ? "" : " " + operand_to_string(instruction.left)) + " to " +
             std::to_string(instruction.immediate);
    } else {
      out += " r" + std::to_string(instruction.destination) + " = " + operand_to_string(instruction.left) +
             (has_two_operands(instruction.opcode) ? ", " + operand_to_string(instruction.right) : "");
    }
    out += "\n";
  }
  return out;
}

// Stable format: XXH3 64 with seed 0 over, for each argument, one byte with the number of its BaseType, 8
// bytes with its length in little-endian order, and its bytes (numbers in little-endian, addresses in network
// order).
std::uint64_t hash_values(const std::vector<Type>& types, const Value* values) {
  XXH3_state_t state;
  XXH3_64bits_reset(&state);
  for (std::size_t i = 0; i < types.size(); ++i) {
    const Value& value = values[i];
    const void* data = &value.as_uint;
    std::uint64_t size = 8;
    const std::uint8_t bool_byte = types[i].base == BaseType::kBool && value.as_bool ? 1 : 0;
    if (types[i] == kString || types[i] == kBytes) {
      data = value.as_text.data;
      size = value.as_text.size;
    } else if (types[i] == kAddress) {
      data = value.as_address.data();
      size = 16;
    } else if (types[i] == kBool) {
      data = &bool_byte;
      size = 1;
    }
    const auto base = static_cast<std::uint8_t>(types[i].base);
    XXH3_64bits_update(&state, &base, 1);
    XXH3_64bits_update(&state, &size, 8);
    if (size > 0) XXH3_64bits_update(&state, data, size);
  }
  return XXH3_64bits_digest(&state);
}

Failure Machine::run(const Program& program, const Record& record, Value& result) {
  auto& registers = registers_;
  if (scratch_.size() < program.scratch_bytes) scratch_.resize(program.scratch_bytes);
  std::size_t scratch_used = 0;
  // Stores the count on every return.
  struct StepCounter {
    std::uint64_t& total;
    std::uint64_t count = 0;
    ~StepCounter() { total = count; }
  } steps{steps_used_};
  const auto add_byte_steps = [&](std::size_t bytes) {
    steps.count += (bytes + kBytesPerStep - 1) / kBytesPerStep;
  };
  const Value* const operand_bases[] = {registers.data(), program.constant_values.data(),
                                        record.values.data()};
  const Instruction* const instructions = program.instructions.data();
  const std::size_t count = program.instructions.size();
  for (std::size_t i = 0; i < count; ++i) {
    const Instruction& instruction = instructions[i];
    const Value& left =
        operand_bases[instruction.left >> kOperandKindShift][instruction.left & kOperandIndexMask];
    const Value& right =
        operand_bases[instruction.right >> kOperandKindShift][instruction.right & kOperandIndexMask];
    Value& destination = registers[instruction.destination];
    ++steps.count;
    switch (instruction.opcode) {
      case Opcode::kMove:
        destination = left;
        break;
      case Opcode::kNot:
        destination = Value(!left.as_bool);
        break;
      case Opcode::kNegateInt:
        if (left.as_int == INT64_MIN) return Failure::kOverflow;
        destination = Value(-left.as_int);
        break;
      case Opcode::kNegateDouble:
        destination = Value(-left.as_double);
        break;
      case Opcode::kAddInt: {
        std::int64_t number = 0;
        if (__builtin_add_overflow(left.as_int, right.as_int, &number)) return Failure::kOverflow;
        destination = Value(number);
        break;
      }
      case Opcode::kAddUint: {
        std::uint64_t number = 0;
        if (__builtin_add_overflow(left.as_uint, right.as_uint, &number)) return Failure::kOverflow;
        destination = Value(number);
        break;
      }
      case Opcode::kSubtractInt: {
        std::int64_t number = 0;
        if (__builtin_sub_overflow(left.as_int, right.as_int, &number)) return Failure::kOverflow;
        destination = Value(number);
        break;
      }
      case Opcode::kSubtractUint:
        if (right.as_uint > left.as_uint) return Failure::kOverflow;
        destination = Value(left.as_uint - right.as_uint);
        break;
      case Opcode::kMultiplyInt: {
        std::int64_t number = 0;
        if (__builtin_mul_overflow(left.as_int, right.as_int, &number)) return Failure::kOverflow;
        destination = Value(number);
        break;
      }
      case Opcode::kMultiplyUint: {
        std::uint64_t number = 0;
        if (__builtin_mul_overflow(left.as_uint, right.as_uint, &number)) return Failure::kOverflow;
        destination = Value(number);
        break;
      }
      case Opcode::kDivideInt:
        if (right.as_int == 0) return Failure::kDivisionByZero;
        if (left.as_int == INT64_MIN && right.as_int == -1) return Failure::kOverflow;
        destination = Value(left.as_int / right.as_int);
        break;
      case Opcode::kDivideUint:
        if (right.as_uint == 0) return Failure::kDivisionByZero;
        destination = Value(left.as_uint / right.as_uint);
        break;
      case Opcode::kRemainderInt:
        if (right.as_int == 0) return Failure::kDivisionByZero;
        destination = Value(right.as_int == -1 ? std::int64_t{0} : left.as_int % right.as_int);
        break;
      case Opcode::kRemainderUint:
        if (right.as_uint == 0) return Failure::kDivisionByZero;
        destination = Value(left.as_uint % right.as_uint);
        break;
      case Opcode::kAddDouble:
        destination = Value(left.as_double + right.as_double);
        if (!std::isfinite(destination.as_double)) return Failure::kNotFinite;
        break;
      case Opcode::kSubtractDouble:
        destination = Value(left.as_double - right.as_double);
        if (!std::isfinite(destination.as_double)) return Failure::kNotFinite;
        break;
      case Opcode::kMultiplyDouble:
        destination = Value(left.as_double * right.as_double);
        if (!std::isfinite(destination.as_double)) return Failure::kNotFinite;
        break;
      case Opcode::kDivideDouble:
        if (right.as_double == 0) return Failure::kDivisionByZero;
        destination = Value(left.as_double / right.as_double);
        if (!std::isfinite(destination.as_double)) return Failure::kNotFinite;
        break;
      case Opcode::kJoin: {
        add_byte_steps(left.as_text.size + right.as_text.size);
        char* output = scratch_.data() + scratch_used;
        scratch_used += left.as_text.size + right.as_text.size;
        if (left.as_text.size > 0) std::memcpy(output, left.as_text.data, left.as_text.size);
        if (right.as_text.size > 0)
          std::memcpy(output + left.as_text.size, right.as_text.data, right.as_text.size);
        destination = Value(std::string_view(output, left.as_text.size + right.as_text.size));
        break;
      }
      case Opcode::kEqualWord:
        destination = Value(left.as_uint == right.as_uint);
        break;
      case Opcode::kEqualDouble:
        destination = Value(left.as_double == right.as_double);
        break;
      case Opcode::kEqualText:
        add_byte_steps(std::min(left.as_text.size, right.as_text.size));
        destination = Value(left.as_text.view() == right.as_text.view());
        break;
      case Opcode::kEqualAddress:
        destination = Value(left.as_address == right.as_address);
        break;
      case Opcode::kLessInt:
        destination = Value(left.as_int < right.as_int);
        break;
      case Opcode::kLessUint:
        destination = Value(left.as_uint < right.as_uint);
        break;
      case Opcode::kLessDouble:
        destination = Value(left.as_double < right.as_double);
        break;
      case Opcode::kLessText:
        add_byte_steps(std::min(left.as_text.size, right.as_text.size));
        destination = Value(left.as_text.view() < right.as_text.view());
        break;
      case Opcode::kLessAddress:
        destination = Value(left.as_address < right.as_address);
        break;
      case Opcode::kInWords:
        destination = Value(program.word_sets[instruction.immediate].contains(left.as_uint));
        break;
      case Opcode::kInTexts:
        add_byte_steps(left.as_text.size);
        destination = Value(program.text_sets[instruction.immediate].contains(left.as_text.view()));
        break;
      case Opcode::kInNetworks:
        destination = Value(program.network_sets[instruction.immediate]->contains(left.as_address));
        break;
      case Opcode::kJump:
        i = instruction.immediate - 1;
        break;
      case Opcode::kJumpIfFalse:
        if (!left.as_bool) i = instruction.immediate - 1;
        break;
      case Opcode::kJumpIfTrue:
        if (left.as_bool) i = instruction.immediate - 1;
        break;
      case Opcode::kStartsWith:
        add_byte_steps(right.as_text.size);
        destination = Value(left.as_text.view().starts_with(right.as_text.view()));
        break;
      case Opcode::kEndsWith:
        add_byte_steps(right.as_text.size);
        destination = Value(left.as_text.view().ends_with(right.as_text.view()));
        break;
      case Opcode::kContains:
        add_byte_steps(left.as_text.size + right.as_text.size);
        destination = Value(left.as_text.view().find(right.as_text.view()) != std::string_view::npos);
        break;
      case Opcode::kMatches:
        add_byte_steps(8 * left.as_text.size);
        destination = Value(re2::RE2::PartialMatch(re2::StringPiece(left.as_text.data, left.as_text.size),
                                                   *program.regexes[instruction.immediate]));
        break;
      case Opcode::kLower: {
        add_byte_steps(left.as_text.size);
        char* output = scratch_.data() + scratch_used;
        scratch_used += left.as_text.size;
        for (std::size_t k = 0; k < left.as_text.size; ++k) {
          const char c = left.as_text.data[k];
          output[k] = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        }
        destination = Value(std::string_view(output, left.as_text.size));
        break;
      }
      case Opcode::kByteSize:
        destination = Value(static_cast<std::uint64_t>(left.as_text.size));
        break;
      case Opcode::kHash: {
        const auto& types = program.hash_argument_types[instruction.immediate];
        for (std::size_t k = 0; k < types.size(); ++k) {
          if (types[k] == kString || types[k] == kBytes)
            add_byte_steps(registers[instruction.left + k].as_text.size);
        }
        destination = Value(hash_values(types, &registers[instruction.left]));
        break;
      }
      case Opcode::kMinInt:
        destination = instruction.immediate == 1 ? Value(std::max(left.as_int, right.as_int))
                                                 : Value(std::min(left.as_int, right.as_int));
        break;
      case Opcode::kMinUint:
        destination = instruction.immediate == 1 ? Value(std::max(left.as_uint, right.as_uint))
                                                 : Value(std::min(left.as_uint, right.as_uint));
        break;
      case Opcode::kMinDouble:
        destination = instruction.immediate == 1 ? Value(std::max(left.as_double, right.as_double))
                                                 : Value(std::min(left.as_double, right.as_double));
        break;
      case Opcode::kAbsInt:
        if (left.as_int == INT64_MIN) return Failure::kOverflow;
        destination = Value(left.as_int < 0 ? -left.as_int : left.as_int);
        break;
      case Opcode::kAbsDouble:
        destination = Value(std::fabs(left.as_double));
        break;
      case Opcode::kIntFromUint:
        if (left.as_uint > INT64_MAX) return Failure::kLossyConversion;
        destination = Value(static_cast<std::int64_t>(left.as_uint));
        break;
      case Opcode::kIntFromDouble:
        if (!(left.as_double >= -0x1p63 && left.as_double < 0x1p63) ||
            left.as_double != std::trunc(left.as_double))
          return Failure::kLossyConversion;
        destination = Value(static_cast<std::int64_t>(left.as_double));
        break;
      case Opcode::kUintFromInt:
        if (left.as_int < 0) return Failure::kLossyConversion;
        destination = Value(static_cast<std::uint64_t>(left.as_int));
        break;
      case Opcode::kUintFromDouble:
        if (!(left.as_double >= 0 && left.as_double < 0x1p64) || left.as_double != std::trunc(left.as_double))
          return Failure::kLossyConversion;
        destination = Value(static_cast<std::uint64_t>(left.as_double));
        break;
      case Opcode::kDoubleFromInt: {
        const auto number = static_cast<double>(left.as_int);
        if (number >= 0x1p63 || static_cast<std::int64_t>(number) != left.as_int)
          return Failure::kLossyConversion;
        destination = Value(number);
        break;
      }
      case Opcode::kDoubleFromUint: {
        const auto number = static_cast<double>(left.as_uint);
        if (number >= 0x1p64 || static_cast<std::uint64_t>(number) != left.as_uint)
          return Failure::kLossyConversion;
        destination = Value(number);
        break;
      }
      case Opcode::kSeconds:
        destination = Value(static_cast<double>(left.as_int) / 1e9);
        break;
    }
  }
  result = registers[0];
  return Failure::kNone;
}

}  // namespace heronworks::expr
