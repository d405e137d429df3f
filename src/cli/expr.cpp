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

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  std::stringstream out;
  out << in.rdbuf();
  return out.str();
}

// Parses the fields of a transaction from a JSON object; missing fields are 0 or empty. The record refers to
// strings in `texts`.
bool parse_record(const std::string& json_text, expr::Record& record, std::vector<std::string>& texts,
                  std::string& error) {
  const auto json = nlohmann::json::parse(json_text, nullptr, false);
  if (!json.is_object()) return error = "expected a JSON object", false;
  texts.reserve(expr::kFieldCount);
  for (const auto& [key, value] : json.items()) {
    const int field = expr::find_field(key);
    if (field < 0)
      return error = "unknown field '" + key + "'; did you mean " + expr::suggest_name(key) + "?", false;
    const expr::Type type = expr::fields()[static_cast<std::size_t>(field)].type;
    expr::Value& field_value = record.values[static_cast<std::size_t>(field)];
    if (type == expr::kString && value.is_string()) {
      texts.push_back(value.get<std::string>());
      field_value = expr::Value(std::string_view(texts.back()));
    } else if (type == expr::kAddress && value.is_string() && expr::parse_address(value.get<std::string>())) {
      field_value = expr::Value(*expr::parse_address(value.get<std::string>()));
    } else if ((type == expr::kUint || type == expr::kSize) && value.is_number_unsigned()) {
      field_value = expr::Value(value.get<std::uint64_t>());
    } else if ((type == expr::kInt || type == expr::kDuration) && value.is_number_integer()) {
      field_value = expr::Value(value.get<std::int64_t>());
    } else {
      return error = "field '" + key + "' must be a " + type.to_string(), false;
    }
  }
  return true;
}

// Prints the errors if the expression is invalid.
std::optional<expr::Program> compile(const std::string& source) {
  std::vector<expr::Diagnostic> diagnostics;
  auto program = expr::compile(source, {}, expr::Limits{}, std::nullopt, diagnostics);
  for (const auto& diagnostic : diagnostics)
    std::fprintf(stderr, "%s\n", expr::format_diagnostic(source, diagnostic).c_str());
  return program;
}

double resident_mib() {
  std::ifstream statm("/proc/self/statm");
  double total_pages = 0;
  double resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * 4096 / 1048576;
}

std::string value_to_string(expr::Type type, const expr::Value& value) {
  expr::Constant constant;
  constant.type = type;
  if (type == expr::kString || type == expr::kBytes) constant.bytes = std::string(value.as_text.view());
  else constant.value = value;
  return constant.to_source();
}

}  // namespace

int expr_check(const std::string& path) {
  config::Problems problems;
  const auto rules = config::read_rules_file(path, problems);
  for (const auto& p : problems) std::fprintf(stderr, "%s\n", p.to_string().c_str());
  if (!rules) return 2;
  std::printf("%zu rules with %zu distinct conditions, %zu of them shared; at most %llu steps\n",
              rules->set.size(), rules->set.condition_count(), rules->set.shared_condition_count(),
              static_cast<unsigned long long>(rules->set.max_steps()));
  for (std::size_t i = 0; i < rules->set.size(); ++i) {
    const auto& rule = rules->set.rule(static_cast<int>(i));
    std::printf("%4zu  %-24s index %-12s at most %llu steps\n", i, rule.name.c_str(),
                rules->set.index_field(static_cast<int>(i)).c_str(),
                static_cast<unsigned long long>(rule.max_steps));
  }
  return 0;
}

int expr_explain(const std::string& source) {
  const auto program = compile(source);
  if (!program) return 2;
  std::printf("type %s, at most %llu steps, %zu registers, %zu bytes of computed text, %s\n%s",
              program->result_type.to_string().c_str(), static_cast<unsigned long long>(program->max_steps),
              program->register_count, program->scratch_bytes,
              program->stable_across_retries ? "stable across retries" : "may change between retries",
              program->disassemble().c_str());
  return 0;
}

int expr_eval(const std::string& source, const std::string& transaction) {
  const auto program = compile(source);
  if (!program) return 2;
  expr::Record record;
  std::vector<std::string> texts;
  std::string error;
  if (!parse_record(transaction.starts_with("{") ? transaction : read_file(transaction), record, texts,
                    error)) {
    std::fprintf(stderr, "transaction: %s\n", error.c_str());
    return 2;
  }
  expr::Machine machine;
  expr::Value value;
  if (const auto failure = machine.run(*program, record, value); failure != expr::Failure::kNone) {
    std::printf("error: %s\n", expr::to_string(failure));
    return 1;
  }
  std::printf("%s\n", value_to_string(program->result_type, value).c_str());
  return 0;
}

int expr_reference() {
  std::printf(
      "# Expression reference\n\nGenerated by `heronworks expr reference` from the tables of the type "
      "checker.\n\n%s",
      expr::reference_markdown().c_str());
  return 0;
}

// Measures the time of one match by the number of rules, with and without an index, and by the size of a
// network set.
int expr_bench() {
  expr::Record record;
  const std::string plan = "socio-plus";
  const std::string name = "nqn.2026-11.org.heronworks:client.7";
  const auto set = [&](const char* field, expr::Value value) {
    record.values[static_cast<std::size_t>(expr::find_field(field))] = value;
  };
  set("plan", expr::Value(std::string_view(plan)));
  set("operation", expr::Value(std::string_view("read")));
  set("client.name", expr::Value(std::string_view(name)));
  set("client.address", expr::Value(*expr::parse_address("10.200.3.4")));
  set("blocks", expr::Value(std::uint64_t{3}));
  expr::Machine machine;
  // Nanoseconds of one match, the best of several rounds.
  const auto measure_match = [&](const expr::RuleSet& rules) {
    using Clock = std::chrono::steady_clock;
    constexpr int kMatches = 200000;
    double best_ns = 1e18;
    std::uint64_t checksum = 0;  // keeps the matches from being optimized away
    for (int round = 0; round < 5; ++round) {
      const auto start = Clock::now();
      for (int i = 0; i < kMatches; ++i) {
        set("volume", expr::Value(static_cast<std::uint64_t>(i % 1000)));
        checksum += static_cast<std::uint64_t>(rules.match(machine, record).rule + 1);
      }
      best_ns = std::min(best_ns,
                         std::chrono::duration<double, std::nano>(Clock::now() - start).count() / kMatches);
    }
    return checksum == 1 ? 0 : best_ns;
  };
  const auto make_rules = [&](const std::vector<std::string>& conditions,
                              const expr::NetworkSets& network_sets) {
    std::vector<expr::RuleSource> sources(conditions.size());
    for (std::size_t i = 0; i < conditions.size(); ++i) sources[i].when = conditions[i];
    std::vector<expr::RuleDiagnostic> diagnostics;
    return std::move(*expr::RuleSet::make(sources, {}, network_sets, expr::Limits{}, {}, {}, diagnostics));
  };
  std::printf("ns for one match, best of 5 rounds\n%-10s %12s %12s\n", "rules", "indexed", "unindexed");
  for (const int n : {1, 10, 100, 1000}) {
    std::vector<std::string> indexed;
    std::vector<std::string> unindexed;
    for (int i = 0; i < n; ++i) {
      indexed.push_back("volume == " + std::to_string(i));
      unindexed.push_back("volume >= " + std::to_string(i) + " && volume <= " + std::to_string(i));
    }
    std::printf("%-10d %12.0f %12.0f\n", n, measure_match(make_rules(indexed, {})),
                measure_match(make_rules(unindexed, {})));
  }
  std::printf("a typical rule: %.0f ns\n",
              measure_match(make_rules({"plan == \"socio-plus\" && operation == \"read\" && blocks <= 4 && "
                                        "starts_with(client.name, \"nqn.2026\")"},
                                       {})));
  {
    std::vector<std::string> conditions;
    for (int i = 0; i < 1000; ++i) {
      conditions.push_back("plan == \"socio-plus\" && operation == \"read\" && blocks <= " +
                           std::to_string(i % 7 + 1) + " && volume in [" + std::to_string(3 * i) + ", " +
                           std::to_string(3 * i + 1) + "] && starts_with(client.name, \"nqn.2026\")");
    }
    const double mib_before = resident_mib();
    const auto start = std::chrono::steady_clock::now();
    const auto rules = make_rules(conditions, {});
    const double ms =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    std::printf(
        "1,000 rules of five conditions: %.1f ms to load, %.2f MiB, %zu of %zu conditions shared, %.0f ns "
        "for one "
        "match\n",
        ms, resident_mib() - mib_before, rules.shared_condition_count(), rules.condition_count(),
        measure_match(rules));
  }
  std::printf("%-10s %12s %12s %12s\n", "networks", "ns", "ms to load", "MiB");
  for (const int n : {10, 1000, 100000}) {
    std::vector<std::string> entries;
    for (int i = 0; i < n; ++i) {
      entries.push_back("10." + std::to_string(i / 256 / 2 % 256) + "." + std::to_string(i % 256) + "." +
                        std::to_string(i / 256 % 2 * 128) + "/26");
    }
    expr::NetworkSets sets;
    std::string error;
    const double mib_before = resident_mib();
    const auto start = std::chrono::steady_clock::now();
    expr::NetworkSet::parse(entries, sets["all"], error);
    const double ms =
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    const double mib = resident_mib() - mib_before;
    std::printf("%-10zu %12.0f %12.2f %12.2f\n", sets["all"].range_count(),
                measure_match(make_rules({"client.address in $all"}, sets)), ms, mib);
  }
  return 0;
}

}  // namespace heronworks::cli
