// Tests of the expression language: parser, type checker, compiler, register machine, rules and share
// limiter.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <random>

#include "expr/rules.h"
#include "expr/share_limiter.h"
#include "reference_interpreter.h"

using namespace heronworks::expr;

namespace {

// Expands {{n:text}} and {{hex}} of the corpus, see hostile.txt.
std::string expand_escapes(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size();) {
    const auto end = text.compare(i, 2, "{{") == 0 ? text.find("}}", i) : std::string::npos;
    if (end == std::string::npos) {
      out += text[i++];
      continue;
    }
    const std::string escape = text.substr(i + 2, end - i - 2);
    const auto colon = escape.find(':');
    if (colon == std::string::npos) {
      out += static_cast<char>(std::stoi(escape, nullptr, 16));
    } else {
      for (int n = std::stoi(escape); n > 0; --n) out += escape.substr(colon + 1);
    }
    i = end + 2;
  }
  return out;
}

Record example_record() {
  Record record;
  const auto set = [&](const char* name, Value value) {
    record.values[static_cast<std::size_t>(find_field(name))] = value;
  };
  set("volume", Value(std::uint64_t{7}));
  set("plan", Value(std::string_view("socio-plus")));
  set("operation", Value(std::string_view("read")));
  set("opcode", Value(std::uint64_t{2}));
  set("lba", Value(std::uint64_t{4096}));
  set("blocks", Value(std::uint64_t{3}));
  set("length", Value(std::uint64_t{12288}));
  set("label", Value(std::uint64_t{99}));
  set("client.name", Value(std::string_view("nqn.2026-11.org.heronworks:Grid.4")));
  set("client.address", Value(*parse_address("10.18.74.7")));
  set("try", Value(std::uint64_t{0}));
  set("time.hour", Value(std::int64_t{9}));
  set("time.weekday", Value(std::int64_t{6}));
  set("time.of_day", Value(std::int64_t{9} * 3600 * 1000000000));
  return record;
}

struct Outcome {
  bool compiled = false;
  Failure failure = Failure::kNone;
  Value value;
  std::string error;
};

Outcome run(const std::string& source, std::optional<Type> required_type = kBool,
            const NetworkSets& network_sets = {}) {
  Outcome outcome;
  std::vector<Diagnostic> diagnostics;
  const auto program = compile(source, network_sets, Limits{}, required_type, diagnostics);
  for (const Diagnostic& diagnostic : diagnostics) outcome.error += diagnostic.message + "; ";
  if (!program) return outcome;
  outcome.compiled = true;
  Machine machine;
  outcome.failure = machine.run(*program, example_record(), outcome.value);
  CHECK(machine.steps_used() <= program->max_steps);
  return outcome;
}

bool holds(const std::string& source) {
  const Outcome outcome = run(source);
  INFO(source << ": " << outcome.error);
  REQUIRE(outcome.compiled);
  REQUIRE(outcome.failure == Failure::kNone);
  return outcome.value.as_bool;
}

}  // namespace

TEST_CASE("each invalid expression of the corpus is rejected with the expected error message") {
  std::ifstream file(EXPR_CORPUS);
  REQUIRE(file);
  std::string line;
  int count = 0;
  while (std::getline(file, line)) {
    if (line.empty() || line[0] == '#') continue;
    const auto separator = line.find(" || ");
    REQUIRE(separator != std::string::npos);
    const std::string expected_error = line.substr(0, separator);
    const Outcome outcome = run(expand_escapes(line.substr(separator + 4)));
    INFO(line.substr(0, 200) << "  error: " << outcome.error.substr(0, 300));
    CHECK_FALSE(outcome.compiled);
    CHECK(outcome.error.find(expected_error) != std::string::npos);
    ++count;
  }
  CHECK(count >= 150);
}

TEST_CASE("expressions that hold for the example record") {
  for (const char* source : {"true",
                             "!false",
                             "volume == 7",
                             "volume == 7u",
                             "7 == volume",
                             "volume in [1, 7, 9]",
                             "!(volume in [1, 2])",
                             "volume in 5..7",
                             "!(volume in 8..9)",
                             "plan == \"socio-plus\"",
                             "plan in ['base', 'socio-plus']",
                             "starts_with(plan, \"socio\")",
                             "ends_with(plan, 'plus')",
                             "contains(client.name, \"Grid\")",
                             "matches(client.name, \"[Gg]rid\\\\.[0-9]+$\")",
                             "lower(client.name) == \"nqn.2026-11.org.heronworks:grid.4\"",
                             "length == 12KiB",
                             "length >= 1B && length < 1MiB",
                             "length / 4096 == 3B",
                             "length * 2 == 24KiB",
                             "client.address in net(\"10.0.0.0/8\")",
                             "!(client.address in net(\"10.18.75.0/24\"))",
                             "client.address in [net(\"192.168.0.0/16\"), net(\"10.18.0.0/16\")]",
                             "client.address == ip(\"10.18.74.7\")",
                             "client.address in [ip(\"10.18.74.7\"), ip(\"::1\")]",
                             "client.address in ip(\"10.18.0.0\")..ip(\"10.18.255.255\")",
                             "time.of_day >= 9h && time.of_day < 12h",
                             "time.weekday == 6 && time.hour in 8..12",
                             "seconds(time.of_day) == 32400.0",
                             "1 + 2 * 3 == 7",
                             "(1 + 2) * 3 == 9",
                             "-3 + 3 == 0",
                             "7 % 4 == 3",
                             "true || volume / (volume - 7) == 1",
                             "volume == 7 ? true : volume / 0u == 1u",
                             "let big = length > 8KiB; big && operation == \"read\"",
                             "let a = 2; let b = a + 1; b == 3",
                             "min(volume, 3) == 3u",
                             "max(1.5, 2) == 2.0",
                             "abs(-4) == 4",
                             "size(plan) == 10",
                             "int(volume) - 8 == -1",
                             "double(volume) / 2 == 3.5",
                             "uint(3) == 3u",
                             "hash(volume, plan) == hash(7u, \"socio-plus\")",
                             "hash(volume) != hash(lba)",
                             "\"a\" + 'b' == \"ab\"",
                             "b\"\\xff\" == b\"\\xff\"",
                             "0x10 == 16",
                             "true # and a comment"}) {
    INFO(std::string(source));
    CHECK(holds(source));
  }
}

TEST_CASE("comments end with their line, and their number is bounded by the size of the source only") {
  CHECK(run("true # x\n&& # y # z\r\n true#").value.as_bool);
  std::string many;
  for (int i = 0; i < 8000; ++i) many += "#\n";
  const Outcome outcome = run(many + "true");
  CHECK(outcome.compiled);
  CHECK(outcome.value.as_bool);
}

TEST_CASE("each evaluation failure has its reason, and short-circuit evaluation avoids them") {
  CHECK(run("volume / (volume - 7) == 1").failure == Failure::kDivisionByZero);
  CHECK(run("volume - 8 == 1").failure == Failure::kOverflow);
  CHECK(run("lba * 18446744073709551615u == 1").failure == Failure::kOverflow);
  CHECK(
      run("int(hash(plan)) == int(hash(plan)) || true").failure ==
      (run("hash(plan) <= 9223372036854775807u").value.as_bool ? Failure::kNone : Failure::kLossyConversion));
  CHECK(run("false && volume - 8 == 1").failure == Failure::kNone);
}

TEST_CASE("hash() keeps the same values in every version") {
  CHECK(run("hash(7u)", kUint).value.as_uint == 10266298165769343549ULL);
  CHECK(run("hash(\"socio\", 7u, true)", kUint).value.as_uint == 8215627523350381023ULL);
}

TEST_CASE("a formatted diagnostic shows line, column and a caret") {
  std::vector<Diagnostic> diagnostics;
  const std::string source = "volume == 7 &&\n  plann == \"x\"";
  CHECK_FALSE(compile(source, {}, Limits{}, kBool, diagnostics));
  REQUIRE(diagnostics.size() == 1);
  CHECK(format_diagnostic(source, diagnostics[0]) ==
        "line 2, column 3: unknown name 'plann'; did you mean plan?\n    plann == \"x\"\n    ^");
}

TEST_CASE("all type errors of an expression are reported together") {
  std::vector<Diagnostic> diagnostics;
  CHECK_FALSE(compile("plann == 1 && volume == \"a\" && tim.hour > 3", {}, Limits{}, kBool, diagnostics));
  CHECK(diagnostics.size() == 3);
}

TEST_CASE("an expression that may exceed the limit of steps is rejected with the number of steps") {
  std::vector<Diagnostic> diagnostics;
  Limits limits;
  limits.max_steps = 40;
  CHECK_FALSE(compile("contains(client.name, \"x\") && contains(client.name, \"y\")", {}, limits, kBool,
                      diagnostics));
  REQUIRE(diagnostics.size() == 1);
  CHECK(diagnostics[0].message.find("expression may cost") == 0);
  CHECK(diagnostics[0].message.find("at most 40 are allowed") != std::string::npos);
}

TEST_CASE("verify() rejects programs that would be unsafe to run") {
  std::vector<Diagnostic> diagnostics;
  const auto valid_program = [&] {
    return std::move(*compile("volume == 7 && lba < 5", {}, Limits{}, kBool, diagnostics));
  };
  CHECK(verify(valid_program()).empty());
  const auto first_jump = [](const Program& program) {
    return static_cast<std::size_t>(std::find_if(program.instructions.begin(), program.instructions.end(),
                                                 [](auto& i) { return is_jump(i.opcode); }) -
                                    program.instructions.begin());
  };
  for (int defect = 0; defect < 8; ++defect) {
    INFO(defect);
    Program program = valid_program();
    auto& instructions = program.instructions;
    if (defect == 0) instructions[first_jump(program)].immediate = 0;                   // backward jump
    if (defect == 1) instructions.erase(instructions.begin());                          // read before write
    if (defect == 2) instructions[0].right = make_operand(OperandKind::kConstant, 99);  // no such constant
    if (defect == 3) instructions[0].destination = 200;                                 // no such register
    if (defect == 4) instructions.clear();                                              // no result
    if (defect == 5) instructions[0].left = make_operand(OperandKind::kField, kFieldCount);  // no such field
    if (defect == 6)  // a path that does not write the result
      instructions.insert(instructions.begin(),
                          {Opcode::kJumpIfTrue, 0, make_operand(OperandKind::kField, 0), 0, 2});
    if (defect == 7) instructions[0].left = 0xffff;  // no such operand kind
    CHECK_FALSE(verify(program).empty());
  }
}

TEST_CASE("network sets merge ranges, hold IPv4 and IPv6, and cover the first and last address") {
  NetworkSet set;
  std::string error;
  REQUIRE(NetworkSet::parse({"10.0.0.0/9", "10.128.0.0/9", "192.168.1.5", "2001:db8::/32",
                             "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"},
                            set, error));
  CHECK(set.range_count() == 4);
  for (const char* inside : {"10.0.0.0", "10.255.255.255", "192.168.1.5", "2001:db8:ffff::1",
                             "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"})
    CHECK(set.contains(*parse_address(inside)));
  for (const char* outside : {"9.255.255.255", "11.0.0.0", "192.168.1.4", "192.168.1.6",
                              "2001:db9::", "::", "ffff:ffff:ffff:ffff:ffff:ffff:ffff:fffe"})
    CHECK_FALSE(set.contains(*parse_address(outside)));
  CHECK_FALSE(NetworkSet::parse({"10.0.0.0/8", "10.0.0.1/8"}, set, error));
  CHECK(error == "entry 2: '10.0.0.1/8' is neither an address nor a network");
  REQUIRE(NetworkSet::parse({"::/0"}, set, error));
  CHECK(set.contains(*parse_address("::")));
  CHECK(set.contains(*parse_address("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff")));
  REQUIRE(NetworkSet::parse({}, set, error));
  CHECK_FALSE(set.contains(*parse_address("::1")));
  NetworkSets sets;
  REQUIRE(NetworkSet::parse({"10.18.0.0/16"}, sets["office"], error));
  CHECK(run("client.address in $office", kBool, sets).value.as_bool);
  CHECK(run("client.address in $offices", kBool, sets).error.find("did you mean $office?") !=
        std::string::npos);
}

TEST_CASE("the first matching rule wins; a rule whose evaluation fails does not match") {
  std::vector<RuleSource> sources;
  const auto add = [&](const char* when) {
    RuleSource source;
    source.when = when;
    sources.push_back(source);
  };
  add("volume == 8");
  add("volume / (volume - 7) == 1");  // division by zero on the example record
  add("volume in [6, 9] && plan == \"x\"");
  add("plan == \"base\"");
  add("length > 1MiB");
  add("7 == volume && lba == 4096");
  add("true");
  std::vector<RuleDiagnostic> diagnostics;
  const auto set = RuleSet::make(sources, {}, {}, Limits{}, {}, {}, diagnostics);
  REQUIRE(set);
  Machine machine;
  const auto match = set->match(machine, example_record());
  CHECK(match.rule == 5);
  CHECK(match.failure_count == 1);
  CHECK(match.last_failed_rule == 1);
  CHECK(match.last_failure == Failure::kDivisionByZero);
  CHECK(set->match(machine, example_record(), 6).rule == 6);
  CHECK(set->match(machine, example_record(), 7).rule == -1);
  CHECK(set->index_field(0) == "volume");
  CHECK(set->index_field(3) == "plan");
  CHECK(set->index_field(4) == "each");
}

TEST_CASE(
    "errors of all rules are reported; an ordered profile rejects a key that may change between retries") {
  std::vector<RuleSource> sources(3);
  sources[0].when = "volum == 1";
  sources[1].when = "true";
  sources[1].key = "hash(try, volume)";
  sources[1].profile = 0;
  sources[2].when = "true";
  sources[2].key = "plan";
  std::vector<RuleDiagnostic> diagnostics;
  CHECK_FALSE(RuleSet::make(sources, {}, {}, Limits{}, {}, {true}, diagnostics));
  REQUIRE(diagnostics.size() == 3);
  CHECK(diagnostics[0].rule == 0);
  CHECK(diagnostics[1].diagnostic.message.find("must be the same for every retry") != std::string::npos);
  CHECK(diagnostics[2].field == "key");
  diagnostics.clear();
  sources.erase(sources.begin());
  sources.pop_back();
  CHECK(RuleSet::make(sources, {}, {}, Limits{}, {}, {false}, diagnostics));
  RuleSet::Budget small_budget;
  small_budget.max_steps = 2;
  CHECK_FALSE(RuleSet::make(sources, {}, {}, Limits{}, small_budget, {false}, diagnostics));
  CHECK(diagnostics[0].diagnostic.message.find("all rules together may cost") == 0);
}

TEST_CASE("definitions are shared by rules, report their own errors and cannot grow exponentially") {
  Definitions definitions;
  std::vector<Diagnostic> diagnostics;
  const auto add = [&](const char* name, const std::string& source) {
    diagnostics.clear();
    return definitions.add(name, source, {}, Limits{}, diagnostics);
  };
  CHECK(add("small", "blocks <= 4"));
  CHECK(add("fits", "small && operation == 'read'"));
  CHECK(add("place", "lba / 16"));
  CHECK_FALSE(add("small", "true"));
  CHECK(diagnostics[0].message == "definition 'small' already exists");
  for (const char* invalid_name : {"volume", "hash", "let", "in", "true", "a b", "", "9"})
    CHECK_FALSE(add(invalid_name, "true"));
  CHECK_FALSE(add("wrong", "blocks == 'x'"));
  CHECK_FALSE(add("unknown", "smal && true"));
  CHECK(diagnostics[0].message.find("unknown name 'smal'") == 0);
  std::vector<RuleSource> sources(3);
  sources[0].when = "small && lba == 1";
  sources[1].when = "fits && let place = 3; place == 3";
  sources[2].when = "fits && plan == 'socio-plus'";
  sources[2].key = "hash(place)";
  std::vector<RuleDiagnostic> rule_diagnostics;
  CHECK_FALSE(RuleSet::make(sources, definitions, {}, Limits{}, {}, {}, rule_diagnostics));
  REQUIRE(rule_diagnostics.size() == 1);
  CHECK(rule_diagnostics[0].diagnostic.message == "'let' cannot reuse the name of the definition 'place'");
  sources[1].when = "fits && let here = place; here == 3";
  rule_diagnostics.clear();
  const auto set = RuleSet::make(sources, definitions, {}, Limits{}, {}, {}, rule_diagnostics);
  REQUIRE(set);
  CHECK(set->shared_condition_count() == 1);  // `small`; `operation == 'read'` is implied by an index
  Machine machine;
  CHECK(set->match(machine, example_record()).rule == 2);
  // Each definition uses the one before twice, so its size doubles until the limit of nodes is reached.
  std::string last = "small";
  bool added = true;
  int count = 0;
  for (; added && count < 64; ++count) {
    const std::string name = "twice" + std::to_string(count);
    added = add(name.c_str(), last + " || " + last);
    last = name;
  }
  CHECK_FALSE(added);
  CHECK(count < 14);
  CHECK(diagnostics[0].message.find("exceeds 4096 syntax nodes") != std::string::npos);
}

TEST_CASE("shared conditions and indexes do not change which rule matches") {
  const std::vector<std::string> conditions = {"volume == 7",
                                               "volume in [3, 7, 9]",
                                               "plan == 'socio-plus'",
                                               "plan in ['x', 'base']",
                                               "operation == 'read'",
                                               "blocks <= 2",
                                               "lba / (lba - 4096) == 1",
                                               "volume / (volume - 6) == 7",
                                               "true",
                                               "starts_with(plan, 'socio')",
                                               "length > 1MiB",
                                               "lba - 4095 == 1u",
                                               "volume == 8",
                                               "!(blocks > 2)",
                                               "false || blocks == 3"};
  std::minstd_rand random(5);
  int matched = 0;
  int failed = 0;
  for (int round = 0; round < 3000; ++round) {
    std::vector<RuleSource> sources(1 + random() % 9);
    for (RuleSource& source : sources) {
      source.when = conditions[random() % conditions.size()];
      for (auto more = random() % 4; more > 0; --more)
        source.when += " && " + conditions[random() % conditions.size()];
    }
    std::vector<RuleDiagnostic> diagnostics;
    const auto set = RuleSet::make(sources, {}, {}, Limits{}, {}, {}, diagnostics);
    REQUIRE(set);
    Machine machine;
    const auto match = set->match(machine, example_record());
    int first_match = -1;
    std::string rules_text;
    for (std::size_t i = 0; i < sources.size() && first_match < 0; ++i) {
      rules_text += sources[i].when + "\n";
      const Outcome outcome = run(sources[i].when);
      REQUIRE(outcome.compiled);
      failed += outcome.failure != Failure::kNone ? 1 : 0;
      if (outcome.failure == Failure::kNone && outcome.value.as_bool) first_match = static_cast<int>(i);
    }
    INFO(rules_text);
    REQUIRE(match.rule == first_match);
    matched += first_match >= 0 ? 1 : 0;
  }
  CHECK(matched > 500);
  CHECK(failed > 500);
}

TEST_CASE("a rule applies to its share of the transactions of a sliding window and to a few more") {
  ShareLimiter limiter({1, 0.1, 0});
  std::string applied;
  for (int i = 0; i < 100; ++i) {
    const double now = 100 + 0.05 * i;
    limiter.count_transaction(now);
    limiter.try_apply(now, 0);
    if (limiter.try_apply(now, 1)) applied += std::to_string(i) + " ";
    limiter.try_apply(now, 2);
  }
  CHECK(applied == "0 1 2 3 4 9 19 29 39 49 59 69 79 89 99 ");
  CHECK(limiter.applied(0) == 100);
  CHECK(limiter.applied(2) == 5);
  CHECK(limiter.denied(2) == 95);
  limiter.count_transaction(120);  // the counts have left the window
  CHECK(limiter.try_apply(120, 2));
}

// ---- Random well-typed expressions ----

namespace {

// Generates an expression from random bytes, one for each choice, so that a failing expression shrinks with
// the bytes. Without bytes left it generates fields and literals.
class ExpressionGenerator {
 public:
  explicit ExpressionGenerator(std::vector<std::uint8_t> bytes) : bytes_(std::move(bytes)) {}

  std::string expression(Type type, int max_depth) {
    if (max_depth <= 0 || position_ >= bytes_.size()) return leaf(type);
    const std::size_t choice = next(8);
    if (choice == 0)
      return "(" + expression(kBool, max_depth - 1) + " ? " + expression(type, max_depth - 1) + " : " +
             expression(type, max_depth - 1) + ")";
    if (choice == 1 || type == kAddress) return leaf(type);
    if (type == kBool) return bool_expression(max_depth - 1);
    if (type == kString)
      return choice < 5
                 ? "(" + expression(type, max_depth - 1) + " + " + expression(type, max_depth - 1) + ")"
                 : "lower(" + expression(type, max_depth - 1) + ")";
    if (type == kDouble && choice == 2) return "double(" + expression(kInt, max_depth - 1) + ")";
    if (type == kDouble && choice == 3) return "seconds(" + expression(kDuration, max_depth - 1) + ")";
    if (type == kInt && choice == 2) return "int(" + expression(kUint, max_depth - 1) + ")";
    if (type == kUint && choice == 2) return "uint(" + expression(kInt, max_depth - 1) + ")";
    if (choice == 3)
      return std::string(next(2) == 0 ? "min(" : "max(") + expression(type, max_depth - 1) + ", " +
             expression(type, max_depth - 1) + ")";
    if (choice == 4 && type != kUint && type != kSize) return "-(" + expression(type, max_depth - 1) + ")";
    const bool has_unit = type == kDuration || type == kSize;
    const std::vector<std::string> operators =
        has_unit          ? std::vector<std::string>{" + ", " - ", " % "}
        : type == kDouble ? std::vector<std::string>{" + ", " - ", " * ", " / "}
                          : std::vector<std::string>{" + ", " - ", " * ", " / ", " % "};
    return "(" + expression(type, max_depth - 1) + operators[next(operators.size())] +
           expression(type, max_depth - 1) + ")";
  }

 private:
  // A choice from 0 to `count` - 1; 0 without bytes left.
  std::size_t next(std::size_t count) { return position_ < bytes_.size() ? bytes_[position_++] % count : 0; }

  std::string bool_expression(int max_depth) {
    static const Type kTypes[] = {kInt, kUint, kDouble, kString, kDuration, kSize, kAddress};
    static const char* kComparisons[] = {" == ", " != ", " < ", " <= ", " > ", " >= "};
    const std::size_t choice = next(10);
    if (choice == 0) return "!" + expression(kBool, max_depth);
    if (choice == 1) return "(" + expression(kBool, max_depth) + " && " + expression(kBool, max_depth) + ")";
    if (choice == 2) return "(" + expression(kBool, max_depth) + " || " + expression(kBool, max_depth) + ")";
    if (choice == 3) return "(" + expression(kInt, max_depth) + " in [1, 7, -9])";
    if (choice == 4) return "(" + expression(kUint, max_depth) + " in 3u..4096u)";
    if (choice == 5) return "(" + expression(kString, max_depth) + " in [\"a\", \"socio\"])";
    if (choice == 6)
      return "starts_with(" + expression(kString, max_depth) + ", " + expression(kString, max_depth) + ")";
    if (choice == 7)
      return "contains(" + expression(kString, max_depth) + ", " + expression(kString, max_depth) + ")";
    const Type type = kTypes[next(std::size(kTypes))];
    return "(" + expression(type, max_depth) + kComparisons[next(std::size(kComparisons))] +
           expression(type, max_depth) + ")";
  }

  std::string leaf(Type type) {
    std::vector<std::string> candidates;
    for (const Field& field : fields()) {
      if (field.type == type) candidates.push_back(field.name);
    }
    const auto add = [&](std::vector<std::string> literals) {
      candidates.insert(candidates.end(), literals.begin(), literals.end());
    };
    if (type == kBool) add({"true", "false"});
    if (type == kInt)
      add({"0", "1", "7", "-1", "-9", "9223372036854775807", "(-9223372036854775807 - 1)", "4096"});
    if (type == kUint) add({"0u", "1u", "7u", "18446744073709551615u", "4096u"});
    if (type == kDouble) add({"0.0", "1.5", "-2.25", "1000000.0", "0.1"});
    if (type == kString) add({"\"\"", "\"a\"", "\"socio\"", "\"PLUS\"", "\"\\n\\\"\"", "\"é\""});
    if (type == kDuration) add({"0s", "1ns", "9h", "3m", "106751d"});
    if (type == kSize) add({"0B", "1B", "4KiB", "12KiB", "16777215TiB"});
    if (type == kAddress) add({"ip(\"10.18.74.7\")", "ip(\"::1\")"});
    return candidates[next(candidates.size())];
  }

  std::vector<std::uint8_t> bytes_;
  std::size_t position_ = 0;
};

}  // namespace

TEST_CASE(
    "random expressions: machine and reference interpreter agree, steps are bounded, source round-trips") {
  int evaluated = 0;
  int failed = 0;
  const bool good = rc::check([&] {
    const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(80, rc::gen::arbitrary<std::uint8_t>());
    const std::string source = ExpressionGenerator(bytes).expression(kBool, 6);
    std::vector<Diagnostic> diagnostics;
    const auto tree = parse(source, Limits{}, diagnostics);
    RC_ASSERT(tree != nullptr);
    const auto reparsed = parse(tree->to_source(), Limits{}, diagnostics);
    RC_ASSERT(reparsed != nullptr);
    RC_ASSERT(reparsed->to_source() == tree->to_source());
    const auto program = compile(*tree, {}, Limits{}, kBool, diagnostics);
    // A constant subexpression that fails, or a limit, is a compile error.
    if (!program) {
      RC_LOG() << source << "\n" << diagnostics[0].message << "\n";
      RC_ASSERT(!diagnostics.empty() && (diagnostics[0].message.find("constant expression fails") == 0 ||
                                         diagnostics[0].message.find("at most") != std::string::npos));
      return;
    }
    Machine machine;
    Value value;
    const Record record = example_record();
    const Failure failure = machine.run(*program, record, value);
    RC_ASSERT(machine.steps_used() <= program->max_steps);
    std::map<std::string, reference::Result> lets;
    const auto expected = reference::evaluate(*tree, record, lets);
    RC_ASSERT(expected.failed == (failure != Failure::kNone));
    if (!expected.failed) RC_ASSERT((expected.integer != 0) == value.as_bool);
    ++evaluated;
    failed += expected.failed ? 1 : 0;
  });
  CHECK(good);
  CHECK(evaluated > 20);
}
