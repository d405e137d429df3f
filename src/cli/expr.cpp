// heronworks expr: check, explain, evaluate and time expressions and rules.
#include "cli/expr.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/expression_rules.h"
#include "expr/rules.h"

namespace heronworks::cli {
namespace {

std::string whole_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

// Values of a transaction from JSON, by the names and types of the schema; what is left out is 0 or empty.
bool read_record(const std::string& text, expr::Record& record, std::vector<std::string>& texts,
                 std::string& reason) {
  const auto j = nlohmann::json::parse(text, nullptr, false);
  if (!j.is_object()) return reason = "a JSON object is expected", false;
  texts.reserve(expr::kFields);
  for (const auto& [key, value] : j.items()) {
    const int f = expr::find_field(key);
    if (f < 0)
      return reason = "unknown field '" + key + "'; did you mean " + expr::nearest_name(key) + "?", false;
    const expr::Type t = expr::fields()[static_cast<std::size_t>(f)].type;
    expr::Value& v = record.values[static_cast<std::size_t>(f)];
    if (t == expr::kString && value.is_string()) {
      texts.push_back(value.get<std::string>());
      v = expr::Value(std::string_view(texts.back()));
    } else if (t == expr::kAddress && value.is_string() && expr::parse_address(value.get<std::string>())) {
      v = expr::Value(*expr::parse_address(value.get<std::string>()));
    } else if ((t == expr::kUint || t == expr::kSize) && value.is_number_unsigned()) {
      v = expr::Value(value.get<std::uint64_t>());
    } else if ((t == expr::kInt || t == expr::kDuration) && value.is_number_integer()) {
      v = expr::Value(value.get<std::int64_t>());
    } else {
      return reason = "'" + key + "' must be a " + t.text(), false;
    }
  }
  return true;
}

std::optional<expr::Program> compiled(const std::string& source) {
  std::vector<expr::Fault> faults;
  auto p = expr::compile(source, {}, expr::Limits{}, std::nullopt, faults);
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", expr::shown(source, f).c_str());
  return p;
}

double resident() {  // MiB
  std::ifstream statm("/proc/self/statm");
  double all = 0;
  double pages = 0;
  statm >> all >> pages;
  return pages * 4096 / 1048576;
}

std::string value_text(expr::Type type, const expr::Value& v) {
  expr::Constant c;
  c.type = type;
  if (type == expr::kString || type == expr::kBytes) c.bytes = std::string(v.s.view());
  else c.value = v;
  return c.text();
}

}  // namespace

int expr_check(const std::string& path) {
  config::Problems problems;
  const auto rules = config::read_rules_file(path, problems);
  for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.to_string().c_str());
  if (!rules) return 2;
  std::printf("%zu rules of %zu different parts, %zu of them shared; %llu steps at most\n", rules->set.size(),
              rules->set.parts(), rules->set.shared(), static_cast<unsigned long long>(rules->set.cost()));
  for (std::size_t i = 0; i < rules->set.size(); ++i) {
    const auto& r = rules->set.rule(static_cast<int>(i));
    std::printf("%4zu  %-24s found by %-12s at most %llu steps\n", i, r.name.c_str(),
                rules->set.index_of(static_cast<int>(i)).c_str(), static_cast<unsigned long long>(r.cost));
  }
  return 0;
}

int expr_explain(const std::string& source) {
  const auto p = compiled(source);
  if (!p) return 2;
  std::printf("type %s, at most %llu steps, %zu registers, %zu bytes of computed texts, %s\n%s",
              p->result.text().c_str(), static_cast<unsigned long long>(p->cost), p->registers, p->scratch,
              p->stable ? "the same for every try" : "may change between tries", p->listing().c_str());
  return 0;
}

int expr_eval(const std::string& source, const std::string& transaction) {
  const auto p = compiled(source);
  if (!p) return 2;
  expr::Record record;
  std::vector<std::string> texts;
  std::string reason;
  if (!read_record(transaction.starts_with("{") ? transaction : whole_file(transaction), record, texts,
                   reason)) {
    std::fprintf(stderr, "transaction: %s\n", reason.c_str());
    return 2;
  }
  expr::Machine machine;
  expr::Value v;
  if (const auto f = machine.run(*p, record, v); f != expr::Failure::kNone) {
    std::printf("error: %s\n", expr::name(f));
    return 1;
  }
  std::printf("%s\n", value_text(p->result, v).c_str());
  return 0;
}

int expr_reference() {
  std::printf(
      "# Expressions: reference\n\nMade by `heronworks expr reference` from the tables that the checks "
      "use.\n\n%s",
      expr::reference().c_str());
  return 0;
}

// ns for one match, by number of rules, found by an index and each tried; and by size of a set of networks.
int expr_bench() {
  expr::Record record;
  const std::string plan = "socio-plus";
  const std::string name = "nqn.2026-11.org.heronworks:client.7";
  const auto set = [&](const char* field, expr::Value v) {
    record.values[static_cast<std::size_t>(expr::find_field(field))] = v;
  };
  set("plan", expr::Value(std::string_view(plan)));
  set("operation", expr::Value(std::string_view("read")));
  set("client.name", expr::Value(std::string_view(name)));
  set("client.address", expr::Value(*expr::parse_address("10.200.3.4")));
  set("blocks", expr::Value(std::uint64_t{3}));
  expr::Machine machine;
  const auto time = [&](const expr::RuleSet& rules) {
    using Clock = std::chrono::steady_clock;
    constexpr int kCount = 200000;
    double best = 1e18;
    std::uint64_t seen = 0;
    for (int round = 0; round < 5; ++round) {
      const auto from = Clock::now();
      for (int i = 0; i < kCount; ++i) {
        set("volume", expr::Value(static_cast<std::uint64_t>(i % 1000)));
        seen += static_cast<std::uint64_t>(rules.match(machine, record).rule + 1);
      }
      best = std::min(best, std::chrono::duration<double, std::nano>(Clock::now() - from).count() / kCount);
    }
    return seen == 1 ? 0 : best;
  };
  const auto make = [&](const std::vector<std::string>& whens, const expr::NetworkSets& sets) {
    std::vector<expr::RuleSource> sources(whens.size());
    for (std::size_t i = 0; i < whens.size(); ++i) sources[i].when = whens[i];
    std::vector<expr::RuleFault> faults;
    return std::move(*expr::RuleSet::make(sources, {}, sets, expr::Limits{}, {}, {}, faults));
  };
  std::printf("ns for one match, best of 5 rounds\n%-10s %12s %12s\n", "rules", "by an index", "each tried");
  for (const int n : {1, 10, 100, 1000}) {
    std::vector<std::string> indexed;
    std::vector<std::string> each;
    for (int i = 0; i < n; ++i) {
      indexed.push_back("volume == " + std::to_string(i));
      each.push_back("volume >= " + std::to_string(i) + " && volume <= " + std::to_string(i));
    }
    std::printf("%-10d %12.0f %12.0f\n", n, time(make(indexed, {})), time(make(each, {})));
  }
  std::printf("a typical rule: %.0f ns\n",
              time(make({"plan == \"socio-plus\" && operation == \"read\" && blocks <= 4 && "
                         "starts_with(client.name, \"nqn.2026\")"},
                        {})));
  {
    std::vector<std::string> many;
    for (int i = 0; i < 1000; ++i) {
      many.push_back("plan == \"socio-plus\" && operation == \"read\" && blocks <= " +
                     std::to_string(i % 7 + 1) + " && volume in [" + std::to_string(3 * i) + ", " +
                     std::to_string(3 * i + 1) + "] && starts_with(client.name, \"nqn.2026\")");
    }
    const double before = resident();
    const auto from = std::chrono::steady_clock::now();
    const auto rules = make(many, {});
    const double ms =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from).count();
    std::printf(
        "1,000 rules of five conditions: %.1f ms to load, %.2f MiB, %zu of %zu parts shared, %.0f ns for one "
        "match\n",
        ms, resident() - before, rules.shared(), rules.parts(), time(rules));
  }
  std::printf("%-10s %12s %12s %12s\n", "networks", "ns", "ms to load", "MiB");
  for (const int n : {10, 1000, 100000}) {
    std::vector<std::string> entries;
    for (int i = 0; i < n; ++i) {
      entries.push_back("10." + std::to_string(i / 256 / 2 % 256) + "." + std::to_string(i % 256) + "." +
                        std::to_string(i / 256 % 2 * 128) + "/26");
    }
    expr::NetworkSets sets;
    std::string reason;
    const double before = resident();
    const auto from = std::chrono::steady_clock::now();
    expr::Networks::make(entries, sets["all"], reason);
    const double ms =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from).count();
    const double mib = resident() - before;
    std::printf("%-10zu %12.0f %12.2f %12.2f\n", sets["all"].ranges(),
                time(make({"client.address in $all"}, sets)), ms, mib);
  }
  return 0;
}

}  // namespace heronworks::cli
