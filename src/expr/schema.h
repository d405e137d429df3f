// Tables of the transaction's fields and of the language's functions. The type checker, the reference page
// and shell completion are all derived from them.
#pragma once

#include <span>

#include "expr/type.h"

namespace heronworks::expr {

struct Field {
  const char* name;
  Type type;
  std::size_t max_bytes;       // of a string
  bool stable_across_retries;  // a retry of the transaction has the same value
  const char* description;
};

// In the order of Record::values.
std::span<const Field> fields();
inline constexpr std::size_t kFieldCount = 14;
int find_field(std::string_view name);  // -1: none

// The field values of one transaction. Strings are not owned; they must outlive the evaluation.
struct Record {
  std::array<Value, kFieldCount> values;
};

// Indexes Record::values.
enum class FieldId : std::uint8_t {
  kVolume,
  kPlan,
  kOperation,
  kOpcode,
  kLba,
  kBlocks,
  kLength,
  kLabel,
  kClientName,
  kClientAddress,
  kTry,
  kHour,
  kWeekday,
  kTimeOfDay,
};

enum class FunctionId : std::uint8_t {
  kStartsWith,
  kEndsWith,
  kContains,
  kMatches,
  kLower,
  kByteSize,
  kHash,
  kMin,
  kMax,
  kAbs,
  kToInt,
  kToUint,
  kToDouble,
  kSeconds,
  kToAddress,
  kToNetwork,
};

struct Function {
  const char* name;
  FunctionId id;
  const char* signature;  // for the reference page and for diagnostics
  std::size_t min_args;
  std::size_t max_args;
  const char* description;
};

std::span<const Function> functions();
const Function* find_function(std::string_view name);  // nullptr: none

// The field, function or keyword that `name` was probably meant to be; empty if none is similar.
std::string suggest_name(std::string_view name);

// The reference of fields and functions, in Markdown.
std::string reference_markdown();

// The words that a shell may complete, one a line.
std::string completion_words();

}  // namespace heronworks::expr
