// Tables of fields and functions: see schema.h.
#include "expr/schema.h"

#include "expr/nearest.h"

namespace heronworks::expr {
namespace {

constexpr Field kFieldTable[] = {
    {"volume", kUint, 0, true, "number of the volume (namespace)"},
    {"plan", kString, 64, true, "name of the plan that the volume stands on"},
    {"operation", kString, 8, true, "`\"read\"`, `\"write\"` or `\"append\"`"},
    {"opcode", kUint, 0, true, "opcode on the wire"},
    {"lba", kUint, 0, true, "first block; 0 for an append"},
    {"blocks", kUint, 0, true, "number of blocks"},
    {"length", kSize, 0, true, "bytes"},
    {"label", kUint, 0, true, "the client's label of the transaction; 0 where it gives none"},
    {"client.name", kString, 223, true, "name by which the client connected (host NQN)"},
    {"client.address", kAddress, 0, false, "address from which it connected"},
    {"try", kUint, 0, false, "number of the client's try, from 0"},
    {"time.hour", kInt, 0, false, "local hour, 0 to 23"},
    {"time.weekday", kInt, 0, false, "1 Monday to 7 Sunday"},
    {"time.of_day", kDuration, 0, false, "since local midnight"},
};
static_assert(std::size(kFieldTable) == kFields);

constexpr Function kFunctionTable[] = {
    {"starts_with", Call::kStartsWith, "starts_with(string, string) -> bool", 2, 2,
     "the first begins with the second"},
    {"ends_with", Call::kEndsWith, "ends_with(string, string) -> bool", 2, 2,
     "the first ends with the second"},
    {"contains", Call::kContains, "contains(string, string) -> bool", 2, 2, "the second stands in the first"},
    {"matches", Call::kMatches, "matches(string, literal) -> bool", 2, 2,
     "the regular expression (RE2) matches somewhere in the string"},
    {"lower", Call::kLower, "lower(string) -> string", 1, 1, "ASCII letters made small"},
    {"size", Call::kLength, "size(string or bytes) -> uint", 1, 1, "number of bytes"},
    {"hash", Call::kHash, "hash(any, ...) -> uint", 1, 8,
     "64 bits of XXH3 over type and bytes of each argument; the same in every version"},
    {"min", Call::kMin, "min(T, T) -> T", 2, 2, "the lesser of two numbers, durations or sizes"},
    {"max", Call::kMax, "max(T, T) -> T", 2, 2, "the greater"},
    {"abs", Call::kAbs, "abs(int, double or duration) -> same", 1, 1,
     "without sign; an error for the least int"},
    {"int", Call::kToInt, "int(uint, double, size or duration) -> int", 1, 1,
     "an error if it does not fit or has a fraction; a duration gives nanoseconds"},
    {"uint", Call::kToUint, "uint(int, double or size) -> uint", 1, 1,
     "an error if it does not fit or has a fraction"},
    {"double", Call::kToDouble, "double(int or uint) -> double", 1, 1, "an error if it would lose digits"},
    {"seconds", Call::kSeconds, "seconds(duration) -> double", 1, 1, "as a number"},
    {"ip", Call::kToAddress, "ip(literal) -> address", 1, 1, "an IPv4 or IPv6 address"},
    {"net", Call::kToNetwork, "net(literal) -> network", 1, 1,
     "a network in prefix form, such as 10.0.0.0/8"},
};

constexpr std::string_view kWords[] = {"true", "false", "in", "let", "not"};

}  // namespace

std::span<const Field> fields() { return kFieldTable; }

int find_field(std::string_view name) {
  for (std::size_t i = 0; i < kFields; ++i) {
    if (kFieldTable[i].name == name) return static_cast<int>(i);
  }
  return -1;
}

std::span<const Function> functions() { return kFunctionTable; }

const Function* find_function(std::string_view name) {
  for (const Function& f : kFunctionTable) {
    if (f.name == name) return &f;
  }
  return nullptr;
}

std::string nearest_name(std::string_view name) {
  std::vector<std::string> words(std::begin(kWords), std::end(kWords));
  for (const Field& f : kFieldTable) words.emplace_back(f.name);
  for (const Function& f : kFunctionTable) words.emplace_back(f.name);
  return nearest(name, words);
}

std::string reference() {
  std::string out =
      "## Fields of a transaction\n\n| field | type | the same for every try | what |\n| --- | --- | --- | "
      "--- |\n";
  for (const Field& f : kFieldTable) {
    out += std::string("| `") + f.name + "` | " + f.type.text() + " | " + (f.stable ? "yes" : "no") + " | " +
           f.doc + " |\n";
  }
  out += "\n## Functions\n\n| function | what |\n| --- | --- |\n";
  for (const Function& f : kFunctionTable) out += std::string("| `") + f.signature + "` | " + f.doc + " |\n";
  return out;
}

std::string completion() {
  std::string out;
  for (const Field& f : kFieldTable) out += std::string(f.name) + "\n";
  for (const Function& f : kFunctionTable) out += std::string(f.name) + "(\n";
  for (const auto w : kWords) out += std::string(w) + "\n";
  return out;
}

}  // namespace heronworks::expr
