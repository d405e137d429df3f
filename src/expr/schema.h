// The fields of a transaction and the functions of the language: one table each, from which checks, the
// reference page and completion come.
#pragma once

#include <span>

#include "expr/type.h"

namespace heronworks::expr {

struct Field {
  const char* name;
  Type type;
  std::size_t most;  // bytes, of texts
  bool stable;       // the same for every try of a transaction
  const char* doc;
};

// In the order of Record::values.
std::span<const Field> fields();
inline constexpr std::size_t kFields = 14;
int find_field(std::string_view name);  // -1: none

// The values of one transaction. Texts must outlive the match.
struct Record {
  std::array<Value, kFields> values;
};

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

enum class Call : std::uint8_t {
  kStartsWith,
  kEndsWith,
  kContains,
  kMatches,
  kLower,
  kLength,
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
  Call call;
  const char* signature;  // as the reference shows it
  std::size_t least_args;
  std::size_t most_args;
  const char* doc;
};

std::span<const Function> functions();
const Function* find_function(std::string_view name);

// The nearest of all names of fields, functions and words; empty if none is near.
std::string nearest_name(std::string_view name);

// The pages for operators, in Markdown, and one name a line for completion.
std::string reference();
std::string completion();

}  // namespace heronworks::expr
