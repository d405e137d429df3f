// Type checker, compiler, verifier and register machine. A program is a flat list of instructions that jump
// forward only, so the sum of their costs bounds the cost of a run. docs/expressions.md lists the steps of
// each instruction.
#pragma once

#include <re2/re2.h>

#include <functional>
#include <unordered_set>

#include "expr/network_set.h"
#include "expr/syntax.h"

namespace heronworks::expr {

// Why an evaluation failed.
enum class Failure : std::uint8_t { kNone, kOverflow, kDivisionByZero, kLossyConversion, kNotFinite };
const char* to_string(Failure failure);

enum class Opcode : std::uint8_t {
  kMove,
  kNot,
  kNegateInt,
  kNegateDouble,
  kAddInt,
  kAddUint,
  kAddDouble,
  kJoin,
  kSubtractInt,
  kSubtractUint,
  kSubtractDouble,
  kMultiplyInt,
  kMultiplyUint,
  kMultiplyDouble,
  kDivideInt,
  kDivideUint,
  kDivideDouble,
  kRemainderInt,
  kRemainderUint,
  kEqualWord,
  kEqualDouble,
  kEqualText,
  kEqualAddress,
  kLessInt,
  kLessUint,
  kLessDouble,
  kLessText,
  kLessAddress,
  kInWords,
  kInTexts,
  kInNetworks,
  kJump,
  kJumpIfFalse,
  kJumpIfTrue,
  kStartsWith,
  kEndsWith,
  kContains,
  kMatches,
  kLower,
  kByteSize,
  kHash,
  kMinInt,
  kMinUint,
  kMinDouble,
  kAbsInt,
  kAbsDouble,
  kIntFromUint,
  kIntFromDouble,
  kUintFromInt,
  kUintFromDouble,
  kDoubleFromInt,
  kDoubleFromUint,
  kSeconds,
};

// A source operand: a register, a constant or a field of the transaction, with the kind in the upper bits.
// Constants and fields are read in place, without instructions that load them.
using Operand = std::uint16_t;
enum class OperandKind : std::uint8_t { kRegister, kConstant, kField };
inline constexpr int kOperandKindShift = 14;
inline constexpr Operand kOperandIndexMask = (1 << kOperandKindShift) - 1;
constexpr Operand make_operand(OperandKind kind, std::size_t index) {
  return static_cast<Operand>(static_cast<std::size_t>(kind) << kOperandKindShift | index);
}

// destination = left op right. `immediate` depends on the opcode: the instruction to jump to, an index into
// a table of the program (sets, regular expressions, argument types of a hash), or 1 for the greater value
// in kMin*.
struct Instruction {
  Opcode opcode = Opcode::kMove;
  std::uint8_t destination = 0;
  Operand left = 0;
  Operand right = 0;
  std::uint32_t immediate = 0;
};

// Lets string sets be searched by string_view.
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
};
using StringSet = std::unordered_set<std::string, StringHash, std::equal_to<>>;

struct Program {
  std::vector<Instruction> instructions;
  std::vector<Constant> constants;
  std::vector<Value> constant_values;  // of `constants`; their strings point into it
  std::vector<std::unordered_set<std::uint64_t>> word_sets;
  std::vector<StringSet> text_sets;
  std::vector<const NetworkSet*> network_sets;
  std::vector<NetworkSet> literal_network_sets;
  std::vector<std::unique_ptr<re2::RE2>> regexes;
  std::vector<std::vector<Type>> hash_argument_types;  // for each kHash
  Type result_type;
  std::size_t register_count = 0;
  std::size_t scratch_bytes = 0;      // upper bound of the computed strings and bytes of one run
  std::uint64_t max_steps = 0;        // upper bound of the steps of one run
  bool stable_across_retries = true;  // reads only fields that are
  std::string disassemble() const;
};

// Returns nothing and appends to `diagnostics` if the expression is invalid, exceeds a limit or is not of
// the required type. Annotates `tree` with types and folds its constants. The program keeps pointers into
// `network_sets`.
std::optional<Program> compile(AstNode& tree, const NetworkSets& network_sets, const Limits& limits,
                               std::optional<Type> required_type, std::vector<Diagnostic>& diagnostics);
std::optional<Program> compile(std::string_view source, const NetworkSets& network_sets, const Limits& limits,
                               std::optional<Type> required_type, std::vector<Diagnostic>& diagnostics);

// Why running the program would be unsafe; empty if it is safe.
std::string verify(const Program& program);

// Runs verified programs. Holds the registers and the memory for computed strings; not thread safe, one
// instance is meant to be reused by each thread.
class Machine {
 public:
  // A string or bytes `result` is valid until the next run.
  Failure run(const Program& program, const Record& record, Value& result);
  std::uint64_t steps_used() const { return steps_used_; }  // by the last run

  // The result of a condition that several rules share, evaluated at most once for each transaction.
  struct CachedCondition {
    std::uint32_t generation = 0;
    bool evaluated = false;
    bool holds = false;
    Failure failure = Failure::kNone;
  };
  // Discards all cached results; call it before each transaction.
  void reset_cache(std::size_t slots) {
    if (cache_.size() < slots) cache_.resize(slots);
    if (++generation_ == 0) cache_.assign(cache_.size(), {});  // the counter has wrapped around
  }
  CachedCondition& cached_condition(std::size_t slot) {
    CachedCondition& cached = cache_[slot];
    if (cached.generation != generation_) cached = {generation_, false, false, Failure::kNone};
    return cached;
  }

 private:
  std::vector<CachedCondition> cache_;  // sized for the largest rule set
  std::uint32_t generation_ = 0;
  std::array<Value, 256> registers_;
  std::vector<char> scratch_;
  std::uint64_t steps_used_ = 0;
};

// The language's hash() function; its result is part of the language and does not change between versions.
std::uint64_t hash_values(const std::vector<Type>& types, const Value* values);

bool is_jump(Opcode opcode);
bool has_two_operands(Opcode opcode);

// Upper bound of the steps of one instruction that processes up to `bytes` of strings.
std::uint64_t instruction_steps(Opcode opcode, std::size_t bytes);

}  // namespace heronworks::expr
