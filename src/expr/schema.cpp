#include "expr/schema.h"

#include "expr/suggest.h"

namespace heronworks::expr {
namespace {

constexpr Field kFieldTable[] = {
    {"volume", kUint, 0, true, "number of the volume (namespace)"},
    {"plan", kString, 64, true, "name of the plan of the volume"},
    {"operation", kString, 8, true, "`\"read\"`, `\"write\"` or `\"append\"`"},
    {"opcode", kUint, 0, true, "opcode on the wire"},
    {"lba", kUint, 0, true, "number of the first block; 0 for an append"},
    {"blocks", kUint, 0, true, "number of blocks"},
    {"length", kSize, 0, true, "length in bytes"},
    {"label", kUint, 0, true, "label set by the client; 0 if it sets none"},
    {"client.name", kString, 223, true, "host NQN that the client connected with"},
    {"client.address", kAddress, 0, false, "address that the client connected from"},
    {"try", kUint, 0, false, "number of the client's attempt, from 0"},
    {"time.hour", kInt, 0, false, "hour in local time, 0 to 23"},
    {"time.weekday", kInt, 0, false, "day of the week in local time, 1 (Monday) to 7 (Sunday)"},
    {"time.of_day", kDuration, 0, false, "time since midnight, local time"},
};
static_assert(std::size(kFieldTable) == kFieldCount);

constexpr Function kFunctionTable[] = {
    {"starts_with", FunctionId::kStartsWith, "starts_with(string, string) -> bool", 2, 2,
     "whether the first string starts with the second"},
    {"ends_with", FunctionId::kEndsWith, "ends_with(string, string) -> bool", 2, 2,
     "whether the first string ends with the second"},
    {"contains", FunctionId::kContains, "contains(string, string) -> bool", 2, 2,
     "whether the first string contains the second"},
    {"matches", FunctionId::kMatches, "matches(string, literal) -> bool", 2, 2,
     "whether the regular expression (RE2) matches any part of the string"},
    {"lower", FunctionId::kLower, "lower(string) -> string", 1, 1,
     "the string with ASCII letters converted to lower case"},
    {"size", FunctionId::kByteSize, "size(string or bytes) -> uint", 1, 1, "number of bytes"},
    {"hash", FunctionId::kHash, "hash(any, ...) -> uint", 1, 8,
     "64-bit XXH3 hash over type and bytes of each argument; the same in every version"},
    {"min", FunctionId::kMin, "min(T, T) -> T", 2, 2, "the smaller of two numbers, durations or sizes"},
    {"max", FunctionId::kMax, "max(T, T) -> T", 2, 2, "the larger of two numbers, durations or sizes"},
    {"abs", FunctionId::kAbs, "abs(int, double or duration) -> same", 1, 1,
     "the absolute value; an error for the smallest int or duration"},
    {"int", FunctionId::kToInt, "int(uint, double, size or duration) -> int", 1, 1,
     "conversion, a duration to nanoseconds; an error if the value does not fit or has a fraction"},
    {"uint", FunctionId::kToUint, "uint(int, double or size) -> uint", 1, 1,
     "conversion; an error if the value does not fit or has a fraction"},
    {"double", FunctionId::kToDouble, "double(int or uint) -> double", 1, 1,
     "conversion; an error if it would lose precision"},
    {"seconds", FunctionId::kSeconds, "seconds(duration) -> double", 1, 1, "the duration in seconds"},
    {"ip", FunctionId::kToAddress, "ip(literal) -> address", 1, 1, "an IPv4 or IPv6 address"},
    {"net", FunctionId::kToNetwork, "net(literal) -> network", 1, 1,
     "a network in prefix form, such as 10.0.0.0/8"},
};

constexpr std::string_view kKeywords[] = {"true", "false", "in", "let", "not"};

}  // namespace

std::span<const Field> fields() { return kFieldTable; }

int find_field(std::string_view name) {
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    if (kFieldTable[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

std::span<const Function> functions() { return kFunctionTable; }

const Function* find_function(std::string_view name) {
  for (const Function& function : kFunctionTable) {
    if (function.name == name) return &function;
  }
  return nullptr;
}

std::string suggest_name(std::string_view name) {
  std::vector<std::string> candidates(std::begin(kKeywords), std::end(kKeywords));
  for (const Field& field : kFieldTable) candidates.emplace_back(field.name);
  for (const Function& function : kFunctionTable) candidates.emplace_back(function.name);
  return suggest(name, candidates);
}

std::string reference_markdown() {
  std::string out =
      "## Fields of a transaction\n\n| field | type | stable across retries | description |\n"
      "| --- | --- | --- | --- |\n";
  for (const Field& field : kFieldTable) {
    out += std::string("| `") + field.name + "` | " + field.type.to_string() + " | " +
           (field.stable_across_retries ? "yes" : "no") + " | " + field.description + " |\n";
  }
  out += "\n## Functions\n\n| function | description |\n| --- | --- |\n";
  for (const Function& function : kFunctionTable)
    out += std::string("| `") + function.signature + "` | " + function.description + " |\n";
  return out;
}

std::string completion_words() {
  std::string out;
  for (const Field& field : kFieldTable) out += std::string(field.name) + "\n";
  for (const Function& function : kFunctionTable) out += std::string(function.name) + "(\n";
  for (const auto keyword : kKeywords) out += std::string(keyword) + "\n";
  return out;
}

}  // namespace heronworks::expr
