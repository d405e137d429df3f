// The expression language: what is refused and why, what programs compute, rules, their index and shares.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <random>

#include "expr/gate.h"
#include "expr/rules.h"
#include "plain.h"

using namespace heronworks::expr;

namespace {

// {{n:text}} and {{hex}} of the corpus.
std::string expanded(const std::string& s) {
  std::string out;
  for (std::size_t i = 0; i < s.size();) {
    const auto end = s.compare(i, 2, "{{") == 0 ? s.find("}}", i) : std::string::npos;
    if (end == std::string::npos) {
      out += s[i++];
      continue;
    }
    const std::string inside = s.substr(i + 2, end - i - 2);
    const auto colon = inside.find(':');
    if (colon == std::string::npos) {
      out += static_cast<char>(std::stoi(inside, nullptr, 16));
    } else {
      for (int n = std::stoi(inside); n > 0; --n) out += inside.substr(colon + 1);
    }
    i = end + 2;
  }
  return out;
}

Record record() {
  Record r;
  const auto set = [&](const char* name, Value v) {
    r.values[static_cast<std::size_t>(find_field(name))] = v;
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
  return r;
}

struct Outcome {
  bool compiled = false;
  Failure failure = Failure::kNone;
  Value value;
  std::string fault;
};

Outcome run(const std::string& source, std::optional<Type> wanted = kBool, const NetworkSets& sets = {}) {
  Outcome o;
  std::vector<Fault> faults;
  const auto p = compile(source, sets, Limits{}, wanted, faults);
  for (const Fault& f : faults) o.fault += f.text + "; ";
  if (!p) return o;
  o.compiled = true;
  Machine m;
  o.failure = m.run(*p, record(), o.value);
  CHECK(m.spent() <= p->cost);
  return o;
}

bool holds(const std::string& source) {
  const Outcome o = run(source);
  INFO(source << ": " << o.fault);
  REQUIRE(o.compiled);
  REQUIRE(o.failure == Failure::kNone);
  return o.value.b;
}

}  // namespace

TEST_CASE("the hostile corpus: each is refused, for its reason") {
  std::ifstream file(EXPR_CORPUS);
  REQUIRE(file);
  std::string line;
  int count = 0;
  while (std::getline(file, line)) {
    if (line.empty() || line[0] == '#') continue;
    const auto bars = line.find(" || ");
    // The sign || may be part of the reason.
    const auto at = line.compare(0, 16, "did you mean ||?") == 0 || line.compare(0, 4, "'||'") == 0
                        ? line.find(" || ", bars == std::string::npos ? 0 : 5)
                        : bars;
    REQUIRE(at != std::string::npos);
    const std::string reason = line.substr(0, at);
    const Outcome o = run(expanded(line.substr(at + 4)));
    INFO(line.substr(0, 200) << "  says: " << o.fault.substr(0, 300));
    CHECK_FALSE(o.compiled);
    CHECK(o.fault.find(reason) != std::string::npos);
    ++count;
  }
  CHECK(count >= 150);
}

TEST_CASE("what programs compute") {
  for (const char* yes : {"true",
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
                          "true # and a remark"}) {
    INFO(std::string(yes));
    CHECK(holds(yes));
  }
}

TEST_CASE("comments: to the end of their line, and as many as a source holds") {
  CHECK(run("true # x\n&& # y # z\r\n true#").value.b);
  std::string many;
  for (int i = 0; i < 8000; ++i) many += "#\n";
  const Outcome o = run(many + "true");
  CHECK(o.compiled);
  CHECK(o.value.b);
}

TEST_CASE("errors on a transaction have a kind, and short circuits keep from them") {
  CHECK(run("volume / (volume - 7) == 1").failure == Failure::kDivision);
  CHECK(run("volume - 8 == 1").failure == Failure::kOverflow);
  CHECK(run("lba * 18446744073709551615u == 1").failure == Failure::kOverflow);
  CHECK(run("int(hash(plan)) == int(hash(plan)) || true").failure ==
        (run("hash(plan) <= 9223372036854775807u").value.b ? Failure::kNone : Failure::kConversion));
  CHECK(run("false && volume - 8 == 1").failure == Failure::kNone);
}

TEST_CASE("hash is the same in every version") {
  CHECK(run("hash(7u)", kUint).value.u == 10266298165769343549ULL);
  CHECK(run("hash(\"socio\", 7u, true)", kUint).value.u == 8215627523350381023ULL);
}

TEST_CASE("a fault is shown with line, column and a caret") {
  std::vector<Fault> faults;
  const std::string source = "volume == 7 &&\n  plann == \"x\"";
  CHECK_FALSE(compile(source, {}, Limits{}, kBool, faults));
  REQUIRE(faults.size() == 1);
  CHECK(shown(source, faults[0]) ==
        "line 2, column 3: unknown name 'plann'; did you mean plan?\n    plann == \"x\"\n    ^");
}

TEST_CASE("several faults of one expression come together") {
  std::vector<Fault> faults;
  CHECK_FALSE(compile("plann == 1 && volume == \"a\" && tim.hour > 3", {}, Limits{}, kBool, faults));
  CHECK(faults.size() == 3);
}

TEST_CASE("a budget: what may cost too much is refused with the figure") {
  std::vector<Fault> faults;
  Limits l;
  l.cost = 40;
  CHECK_FALSE(compile("contains(client.name, \"x\") && contains(client.name, \"y\")", {}, l, kBool, faults));
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].text.find("it may cost") == 0);
  CHECK(faults[0].text.find("at most 40 are allowed") != std::string::npos);
}

TEST_CASE("programs that are not sound do not run") {
  std::vector<Fault> faults;
  const auto good = [&] {
    return std::move(*compile("volume == 7 && lba < 5", {}, Limits{}, kBool, faults));
  };
  CHECK(verify(good()).empty());
  const auto jump = [](const Program& p) {
    return static_cast<std::size_t>(
        std::find_if(p.code.begin(), p.code.end(), [](auto& i) { return jumps(i.code); }) - p.code.begin());
  };
  for (int kind = 0; kind < 8; ++kind) {
    INFO(kind);
    Program p = good();
    if (kind == 0) p.code[jump(p)].index = 0;                     // a jump backwards
    if (kind == 1) p.code.erase(p.code.begin());                  // read before written
    if (kind == 2) p.code[0].b = operand(Home::kConstant, 99);    // no such constant
    if (kind == 3) p.code[0].to = 200;                            // no such register
    if (kind == 4) p.code.clear();                                // no result
    if (kind == 5) p.code[0].a = operand(Home::kField, kFields);  // no such field
    if (kind == 6)
      p.code.insert(p.code.begin(),
                    {Code::kJumpIfTrue, 0, operand(Home::kField, 0), 0, 2});  // a way without a value
    if (kind == 7) p.code[0].a = 0xffff;                                      // no such home
    CHECK_FALSE(verify(p).empty());
  }
}

TEST_CASE("sets of networks: joined, both families, the ends of the space") {
  Networks n;
  std::string reason;
  REQUIRE(Networks::make({"10.0.0.0/9", "10.128.0.0/9", "192.168.1.5", "2001:db8::/32",
                          "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"},
                         n, reason));
  CHECK(n.ranges() == 4);
  for (const char* in : {"10.0.0.0", "10.255.255.255", "192.168.1.5", "2001:db8:ffff::1",
                         "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"})
    CHECK(n.contains(*parse_address(in)));
  for (const char* out : {"9.255.255.255", "11.0.0.0", "192.168.1.4", "192.168.1.6",
                          "2001:db9::", "::", "ffff:ffff:ffff:ffff:ffff:ffff:ffff:fffe"})
    CHECK_FALSE(n.contains(*parse_address(out)));
  CHECK_FALSE(Networks::make({"10.0.0.0/8", "10.0.0.1/8"}, n, reason));
  CHECK(reason == "entry 2, '10.0.0.1/8', is no address and no network");
  REQUIRE(Networks::make({"::/0"}, n, reason));
  CHECK(n.contains(*parse_address("::")));
  CHECK(n.contains(*parse_address("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff")));
  REQUIRE(Networks::make({}, n, reason));
  CHECK_FALSE(n.contains(*parse_address("::1")));
  NetworkSets sets;
  REQUIRE(Networks::make({"10.18.0.0/16"}, sets["office"], reason));
  CHECK(run("client.address in $office", kBool, sets).value.b);
  CHECK(run("client.address in $offices", kBool, sets).fault.find("did you mean $office?") !=
        std::string::npos);
}

TEST_CASE("rules: first match wins, an error is no match, an index changes nothing") {
  std::vector<RuleSource> sources;
  const auto add = [&](const char* when) {
    RuleSource s;
    s.when = when;
    sources.push_back(s);
  };
  add("volume == 8");
  add("volume / (volume - 7) == 1");  // fails on this transaction
  add("volume in [6, 9] && plan == \"x\"");
  add("plan == \"base\"");
  add("length > 1MiB");
  add("7 == volume && lba == 4096");
  add("true");
  std::vector<RuleFault> faults;
  const auto set = RuleSet::make(sources, {}, {}, Limits{}, {}, {}, faults);
  REQUIRE(set);
  Machine m;
  const auto match = set->match(m, record());
  CHECK(match.rule == 5);
  CHECK(match.failures == 1);
  CHECK(match.failed == 1);
  CHECK(match.failure == Failure::kDivision);
  CHECK(set->match(m, record(), 6).rule == 6);
  CHECK(set->match(m, record(), 7).rule == -1);
  CHECK(set->index_of(0) == "volume");
  CHECK(set->index_of(3) == "plan");
  CHECK(set->index_of(4) == "each");
}

TEST_CASE("rules: all faults at once; a key that changes between tries is refused where order is kept") {
  std::vector<RuleSource> sources(3);
  sources[0].when = "volum == 1";
  sources[1].when = "true";
  sources[1].key = "hash(try, volume)";
  sources[1].profile = 0;
  sources[2].when = "true";
  sources[2].key = "plan";
  std::vector<RuleFault> faults;
  CHECK_FALSE(RuleSet::make(sources, {}, {}, Limits{}, {}, {true}, faults));
  REQUIRE(faults.size() == 3);
  CHECK(faults[0].rule == 0);
  CHECK(faults[1].fault.text.find("must be the same for every try") != std::string::npos);
  CHECK(faults[2].field == "key");
  faults.clear();
  sources.erase(sources.begin());
  sources.pop_back();
  CHECK(RuleSet::make(sources, {}, {}, Limits{}, {}, {false}, faults));
  RuleSet::Budget small;
  small.cost = 2;
  CHECK_FALSE(RuleSet::make(sources, {}, {}, Limits{}, small, {false}, faults));
  CHECK(faults[0].fault.text.find("all rules together may cost") == 0);
}

TEST_CASE("definitions: rules share them; each fault is told at its place; doubling is refused") {
  Definitions d;
  std::vector<Fault> faults;
  const auto add = [&](const char* name, const std::string& is) {
    faults.clear();
    return d.add(name, is, {}, Limits{}, faults);
  };
  CHECK(add("small", "blocks <= 4"));
  CHECK(add("fits", "small && operation == 'read'"));
  CHECK(add("place", "lba / 16"));
  CHECK_FALSE(add("small", "true"));
  CHECK(faults[0].text == "'small' is defined already");
  for (const char* taken : {"volume", "hash", "let", "in", "true", "a b", "", "9"})
    CHECK_FALSE(add(taken, "true"));
  CHECK_FALSE(add("wrong", "blocks == 'x'"));
  CHECK_FALSE(add("unknown", "smal && true"));
  CHECK(faults[0].text.find("unknown name 'smal'") == 0);
  std::vector<RuleSource> sources(3);
  sources[0].when = "small && lba == 1";
  sources[1].when = "fits && let place = 3; place == 3";
  sources[2].when = "fits && plan == 'socio-plus'";
  sources[2].key = "hash(place)";
  std::vector<RuleFault> rule_faults;
  CHECK_FALSE(RuleSet::make(sources, d, {}, Limits{}, {}, {}, rule_faults));
  REQUIRE(rule_faults.size() == 1);
  CHECK(rule_faults[0].fault.text == "'place' is a definition already");
  sources[1].when = "fits && let here = place; here == 3";
  rule_faults.clear();
  const auto set = RuleSet::make(sources, d, {}, Limits{}, {}, {}, rule_faults);
  REQUIRE(set);
  CHECK(set->shared() == 1);  // small, of all three; that it reads, an index proves
  Machine m;
  CHECK(set->match(m, record()).rule == 2);
  // Each twice the one before: at 4,096 parts it ends, long before memory does.
  std::string last = "small";
  bool good = true;
  int steps = 0;
  for (; good && steps < 64; ++steps) {
    const std::string name = "twice" + std::to_string(steps);
    good = add(name.c_str(), last + " || " + last);
    last = name;
  }
  CHECK_FALSE(good);
  CHECK(steps < 14);
  CHECK(faults[0].text.find("written out it has over 4096 parts") != std::string::npos);
}

TEST_CASE("rules that share parts and are found by indexes match as each alone would") {
  const std::vector<std::string> pool = {"volume == 7",
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
    for (RuleSource& s : sources) {
      s.when = pool[random() % pool.size()];
      for (auto more = random() % 4; more > 0; --more) s.when += " && " + pool[random() % pool.size()];
    }
    std::vector<RuleFault> faults;
    const auto set = RuleSet::make(sources, {}, {}, Limits{}, {}, {}, faults);
    REQUIRE(set);
    Machine m;
    const auto match = set->match(m, record());
    int first = -1;
    std::string text;
    for (std::size_t i = 0; i < sources.size() && first < 0; ++i) {
      text += sources[i].when + "\n";
      const Outcome o = run(sources[i].when);
      REQUIRE(o.compiled);
      failed += o.failure != Failure::kNone ? 1 : 0;
      if (o.failure == Failure::kNone && o.value.b) first = static_cast<int>(i);
    }
    INFO(text);
    REQUIRE(match.rule == first);
    matched += first >= 0 ? 1 : 0;
  }
  CHECK(matched > 500);
  CHECK(failed > 500);
}

TEST_CASE("shares: a rule marks its part and a few, over any ten seconds, printed") {
  Gate gate({1, 0.1, 0});
  std::string trace;
  for (int i = 0; i < 100; ++i) {
    const double now = 100 + 0.05 * i;
    gate.landed(now);
    gate.passes(now, 0);
    if (gate.passes(now, 1)) trace += std::to_string(i) + " ";
    gate.passes(now, 2);
  }
  CHECK(trace == "0 1 2 3 4 9 19 29 39 49 59 69 79 89 99 ");
  CHECK(gate.marked(0) == 100);
  CHECK(gate.marked(2) == 5);
  CHECK(gate.held_back(2) == 95);
  gate.landed(120);  // the window has passed
  CHECK(gate.passes(120, 2));
}

// ---- Random programs, well typed by construction ----

namespace {

// Spends drawn bytes as choices, so that a failing program shrinks with them; out of bytes it writes
// literals.
class Writer {
 public:
  explicit Writer(std::vector<std::uint8_t> bytes) : bytes_(std::move(bytes)) {}

  std::string of(Type t, int depth) {
    if (depth <= 0 || at_ >= bytes_.size()) return leaf(t);
    const std::size_t kind = next(8);
    if (kind == 0)
      return "(" + of(kBool, depth - 1) + " ? " + of(t, depth - 1) + " : " + of(t, depth - 1) + ")";
    if (kind == 1 || t == kAddress) return leaf(t);
    if (t == kBool) return boolean(depth - 1);
    if (t == kString)
      return kind < 5 ? "(" + of(t, depth - 1) + " + " + of(t, depth - 1) + ")"
                      : "lower(" + of(t, depth - 1) + ")";
    if (t == kDouble && kind == 2) return "double(" + of(kInt, depth - 1) + ")";
    if (t == kDouble && kind == 3) return "seconds(" + of(kDuration, depth - 1) + ")";
    if (t == kInt && kind == 2) return "int(" + of(kUint, depth - 1) + ")";
    if (t == kUint && kind == 2) return "uint(" + of(kInt, depth - 1) + ")";
    if (kind == 3)
      return std::string(next(2) == 0 ? "min(" : "max(") + of(t, depth - 1) + ", " + of(t, depth - 1) + ")";
    if (kind == 4 && t != kUint && t != kSize) return "-(" + of(t, depth - 1) + ")";
    const bool scaled = t == kDuration || t == kSize;
    const std::vector<std::string> ops = scaled ? std::vector<std::string>{" + ", " - ", " % "}
                                         : t == kDouble
                                             ? std::vector<std::string>{" + ", " - ", " * ", " / "}
                                             : std::vector<std::string>{" + ", " - ", " * ", " / ", " % "};
    return "(" + of(t, depth - 1) + ops[next(ops.size())] + of(t, depth - 1) + ")";
  }

 private:
  std::size_t next(std::size_t below) { return at_ < bytes_.size() ? bytes_[at_++] % below : 0; }

  std::string boolean(int depth) {
    static const Type kTypes[] = {kInt, kUint, kDouble, kString, kDuration, kSize, kAddress};
    static const char* kCompare[] = {" == ", " != ", " < ", " <= ", " > ", " >= "};
    const std::size_t kind = next(10);
    if (kind == 0) return "!" + of(kBool, depth);
    if (kind == 1) return "(" + of(kBool, depth) + " && " + of(kBool, depth) + ")";
    if (kind == 2) return "(" + of(kBool, depth) + " || " + of(kBool, depth) + ")";
    if (kind == 3) return "(" + of(kInt, depth) + " in [1, 7, -9])";
    if (kind == 4) return "(" + of(kUint, depth) + " in 3u..4096u)";
    if (kind == 5) return "(" + of(kString, depth) + " in [\"a\", \"socio\"])";
    if (kind == 6) return "starts_with(" + of(kString, depth) + ", " + of(kString, depth) + ")";
    if (kind == 7) return "contains(" + of(kString, depth) + ", " + of(kString, depth) + ")";
    const Type t = kTypes[next(std::size(kTypes))];
    return "(" + of(t, depth) + kCompare[next(std::size(kCompare))] + of(t, depth) + ")";
  }

  std::string leaf(Type t) {
    std::vector<std::string> all;
    for (const Field& f : fields()) {
      if (f.type == t) all.push_back(f.name);
    }
    const auto add = [&](std::vector<std::string> more) { all.insert(all.end(), more.begin(), more.end()); };
    if (t == kBool) add({"true", "false"});
    if (t == kInt)
      add({"0", "1", "7", "-1", "-9", "9223372036854775807", "(-9223372036854775807 - 1)", "4096"});
    if (t == kUint) add({"0u", "1u", "7u", "18446744073709551615u", "4096u"});
    if (t == kDouble) add({"0.0", "1.5", "-2.25", "1000000.0", "0.1"});
    if (t == kString) add({"\"\"", "\"a\"", "\"socio\"", "\"PLUS\"", "\"\\n\\\"\"", "\"é\""});
    if (t == kDuration) add({"0s", "1ns", "9h", "3m", "106751d"});
    if (t == kSize) add({"0B", "1B", "4KiB", "12KiB", "16777215TiB"});
    if (t == kAddress) add({"ip(\"10.18.74.7\")", "ip(\"::1\")"});
    return all[next(all.size())];
  }

  std::vector<std::uint8_t> bytes_;
  std::size_t at_ = 0;
};

}  // namespace

TEST_CASE(
    "random programs: the machine and the plain interpreter agree, cost is bounded, printing is faithful") {
  int ran = 0;
  int failed = 0;
  const bool good = rc::check([&] {
    const auto bytes = *rc::gen::container<std::vector<std::uint8_t>>(80, rc::gen::arbitrary<std::uint8_t>());
    const std::string source = Writer(bytes).of(kBool, 6);
    std::vector<Fault> faults;
    const auto tree = parse(source, Limits{}, faults);
    RC_ASSERT(tree != nullptr);
    const auto again = parse(tree->print(), Limits{}, faults);
    RC_ASSERT(again != nullptr);
    RC_ASSERT(again->print() == tree->print());
    const auto program = compile(*tree, {}, Limits{}, kBool, faults);
    // A constant that fails is refused; there is nothing to run then.
    if (!program) {
      RC_LOG() << source << "\n" << faults[0].text << "\n";
      RC_ASSERT(!faults.empty() && (faults[0].text.find("a constant with an error") == 0 ||
                                    faults[0].text.find("at most") != std::string::npos));
      return;
    }
    Machine machine;
    Value v;
    const Record r = record();
    const Failure f = machine.run(*program, r, v);
    RC_ASSERT(machine.spent() <= program->cost);
    std::map<std::string, plain::Result> lets;
    const auto expected = plain::walk(*tree, r, lets);
    RC_ASSERT(expected.failed == (f != Failure::kNone));
    if (!expected.failed) RC_ASSERT((expected.word != 0) == v.b);
    ++ran;
    failed += expected.failed ? 1 : 0;
  });
  CHECK(good);
  CHECK(ran > 20);
}
