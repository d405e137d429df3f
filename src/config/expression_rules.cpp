#include "config/expression_rules.h"

#include <fstream>

namespace heronworks::config {
namespace {

constexpr std::size_t kMaxLabelBytes = 512;  // names and values of one ledger entry

void read_sets(Section& root, expr::NetworkSets& sets) {
  Section sets_table = root.section("sets");
  for (const std::string& name : sets_table.keys()) {
    Section set = sets_table.section(name);
    std::vector<std::string> entries = set.texts("networks");
    const std::string file = set.text("file", "");
    if (!file.empty()) {  // one entry per line; # starts a comment
      std::ifstream in(file);
      if (!in) set.add_problem("file", "cannot open '" + file + "'");
      std::string line;
      while (std::getline(in, line)) {
        line = line.substr(0, line.find('#'));
        const auto first = line.find_first_not_of(" \t\r");
        if (first == std::string::npos) continue;
        entries.push_back(line.substr(first, line.find_last_not_of(" \t\r") - first + 1));
      }
    }
    set.reject_unknown_keys();
    std::string reason;
    if (!expr::NetworkSet::parse(entries, sets[name], reason)) set.add_problem("networks", reason);
  }
}

}  // namespace

std::optional<ExpressionRules> read_expression_rules(Section& root,
                                                     const std::vector<std::string>& profile_names,
                                                     const std::vector<Profile>& profiles,
                                                     Problems& problems) {
  const std::size_t problems_before = problems.size();
  ExpressionRules rules;
  read_sets(root, *rules.networks);
  expr::Definitions definitions;
  for (Section& s : root.list("definition")) {
    const std::string name = s.require_text("name");
    const std::string is = s.require_text("is");
    s.reject_unknown_keys();
    std::vector<expr::Diagnostic> diagnostics;
    if (!name.empty() && !is.empty()) definitions.add(name, is, *rules.networks, expr::Limits{}, diagnostics);
    for (const expr::Diagnostic& diagnostic : diagnostics)
      s.add_problem("is", expr::format_diagnostic(is, diagnostic));
  }
  std::vector<Section> tables = root.list("rule");
  std::vector<expr::RuleSource> sources;
  for (Section& s : tables) {
    expr::RuleSource rule;
    rule.name = s.text("name", "rule " + std::to_string(sources.size() + 1));
    rule.when = s.require_text("when");
    rule.key = s.text("key", "");
    rule.units = s.text("units", "");
    if (s.has("profile")) rule.profile = s.one_of("profile", profile_names, -1);
    rule.reject_reason = s.text("turn_back", "");
    rule.max_share = s.number("most_share", 1, 0, 1);
    Section labels = s.section("labels");
    for (const std::string& name : labels.keys()) rule.labels.emplace_back(name, labels.text(name, ""));
    std::size_t label_bytes = 0;
    for (const auto& [name, value] : rule.labels) label_bytes += name.size() + value.size();
    if (label_bytes > kMaxLabelBytes)
      s.add_problem("labels", "names and values have " + std::to_string(label_bytes) +
                                  " bytes in total, at most " + std::to_string(kMaxLabelBytes) +
                                  " are allowed");
    s.reject_unknown_keys();
    sources.push_back(std::move(rule));
  }
  std::vector<bool> ordered;
  for (const Profile& p : profiles) ordered.push_back(p.ordered_by_key);
  std::vector<expr::RuleDiagnostic> diagnostics;
  auto set =
      expr::RuleSet::make(sources, definitions, *rules.networks, expr::Limits{}, {}, ordered, diagnostics);
  for (const expr::RuleDiagnostic& diagnostic : diagnostics) {
    const expr::RuleSource& rule = sources[diagnostic.rule];
    const std::string text = diagnostic.field == "when"  ? rule.when
                             : diagnostic.field == "key" ? rule.key
                                                         : rule.units;
    if (diagnostic.field.empty()) root.add_problem("rule", diagnostic.diagnostic.message);
    else
      tables[diagnostic.rule].add_problem(diagnostic.field,
                                          expr::format_diagnostic(text, diagnostic.diagnostic));
  }
  if (problems.size() > problems_before || !set) return std::nullopt;
  rules.set = std::move(*set);
  return rules;
}

std::optional<ExpressionRules> read_rules_file(const std::string& path, Problems& problems) {
  const toml::table table = load_toml(path, problems);
  if (!problems.empty()) return std::nullopt;
  Section root(table, "", path, problems);
  std::vector<std::string> names;
  std::vector<Profile> profiles;
  for (Section& s : root.list("profile")) {
    names.push_back(s.require_text("name"));
    profiles.emplace_back();
    profiles.back().ordered_by_key = s.flag("in_order", false);
  }
  return read_expression_rules(root, names, profiles, problems);
}

}  // namespace heronworks::config
