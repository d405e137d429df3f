// Checked, compiled and run. A program is flat, jumps forward only and is verified before it may run, so its
// cost is the sum of its instructions' at most. docs/expressions.md has the steps.
#pragma once

#include <re2/re2.h>

#include <functional>
#include <unordered_set>

#include "expr/networks.h"
#include "expr/syntax.h"

namespace heronworks::expr {

enum class Failure : std::uint8_t { kNone, kOverflow, kDivision, kConversion, kNotFinite };
const char* name(Failure failure);

enum class Code : std::uint8_t {
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
  kLength,
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

// What an instruction reads: a register, a constant or a field of the transaction, so that these need no
// instruction of their own.
using Operand = std::uint16_t;
enum class Home : std::uint8_t { kRegister, kConstant, kField };
inline constexpr int kHomeShift = 14;
inline constexpr Operand kIndexMask = (1 << kHomeShift) - 1;
constexpr Operand operand(Home home, std::size_t index) {
  return static_cast<Operand>(static_cast<std::size_t>(home) << kHomeShift | index);
}

// to = a op b; `index` is a set, expression or the instruction to jump to.
struct Instruction {
  Code code = Code::kMove;
  std::uint8_t to = 0;
  Operand a = 0;
  Operand b = 0;
  std::uint32_t index = 0;
};

struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
};
using Texts = std::unordered_set<std::string, TextHash, std::equal_to<>>;

struct Program {
  std::vector<Instruction> code;
  std::vector<Constant> constants;
  std::vector<Value> values;  // of the constants, as the machine reads them
  std::vector<std::unordered_set<std::uint64_t>> words;
  std::vector<Texts> texts;
  std::vector<const Networks*> networks;
  std::vector<Networks> own_networks;
  std::vector<std::unique_ptr<re2::RE2>> expressions;
  std::vector<std::vector<Type>> hashed;  // types of the arguments of each hash
  Type result;
  std::size_t registers = 0;
  std::size_t scratch = 0;  // bytes of computed texts
  std::uint64_t cost = 0;   // steps at most
  bool stable = true;       // reads only what is the same for every try
  std::string listing() const;
};

// The type of the whole must be `wanted` (any, if none is). Constants are folded in `tree`.
std::optional<Program> compile(Tree& tree, const NetworkSets& sets, const Limits& limits,
                               std::optional<Type> wanted, std::vector<Fault>& faults);
std::optional<Program> compile(std::string_view source, const NetworkSets& sets, const Limits& limits,
                               std::optional<Type> wanted, std::vector<Fault>& faults);

// Why a program must not run; empty if it may.
std::string verify(const Program& program);

// Registers and room for computed texts; one for each thread, used again and again.
class Machine {
 public:
  // The result stands until the next run.
  Failure run(const Program& program, const Record& record, Value& result);
  std::uint64_t spent() const { return spent_; }  // steps of the last run

  // What several rules ask of one transaction, worked out once.
  struct Known {
    std::uint32_t round = 0;
    bool worked_out = false;
    bool holds = false;
    Failure failure = Failure::kNone;
  };
  void forget(std::size_t slots) {
    if (known_.size() < slots) known_.resize(slots);
    if (++round_ == 0) known_.assign(known_.size(), {});  // the number has gone round
  }
  Known& known(std::size_t slot) {
    Known& k = known_[slot];
    if (k.round != round_) k = {round_, false, false, Failure::kNone};
    return k;
  }

 private:
  std::vector<Known> known_;  // as many as the largest rule set shares
  std::uint32_t round_ = 0;
  std::array<Value, 256> registers_;
  std::vector<char> scratch_;
  std::uint64_t spent_ = 0;
};

std::uint64_t hash_of(const std::vector<Type>& types, const Value* values);

bool jumps(Code code);
bool reads_two(Code code);

// Steps of one instruction on texts of so many bytes.
std::uint64_t steps(Code code, std::size_t bytes);

}  // namespace heronworks::expr
