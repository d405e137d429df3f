// Rules in a configuration: see rules.h.
#include "config/rules.h"

#include <fstream>

namespace heronworks::config {
namespace {

void read_sets(Section& root, expr::NetworkSets& sets) {
  Section all = root.section("sets");
  for (const std::string& name : all.keys()) {
    Section s = all.section(name);
    std::vector<std::string> entries = s.texts("networks");
    const std::string file = s.text("file", "");
    if (!file.empty()) {  // an entry a line, # starts a remark
      std::ifstream in(file);
      if (!in) s.complain("file", "cannot be read");
      std::string line;
      while (std::getline(in, line)) {
        line = line.substr(0, line.find('#'));
        const auto from = line.find_first_not_of(" \t\r");
        if (from == std::string::npos) continue;
        entries.push_back(line.substr(from, line.find_last_not_of(" \t\r") - from + 1));
      }
    }
    s.finish();
    std::string reason;
    if (!expr::NetworkSet::parse(entries, sets[name], reason)) s.complain("networks", reason);
  }
}

}  // namespace

std::optional<Rules> read_expr_rules(Section& root, const std::vector<std::string>& profile_names,
                                     const std::vector<Profile>& profiles, Problems& problems) {
  const std::size_t before = problems.size();
  Rules rules;
  read_sets(root, *rules.networks);
  expr::Definitions definitions;
  for (Section& s : root.list("definition")) {
    const std::string name = s.need_text("name");
    const std::string is = s.need_text("is");
    s.finish();
    std::vector<expr::Diagnostic> faults;
    if (!name.empty() && !is.empty()) definitions.add(name, is, *rules.networks, expr::Limits{}, faults);
    for (const expr::Diagnostic& f : faults) s.complain("is", expr::format_diagnostic(is, f));
  }
  std::vector<Section> tables = root.list("rule");
  std::vector<expr::RuleSource> sources;
  for (Section& s : tables) {
    expr::RuleSource r;
    r.name = s.text("name", "rule " + std::to_string(sources.size() + 1));
    r.when = s.need_text("when");
    r.key = s.text("key", "");
    r.units = s.text("units", "");
    if (s.has("profile")) r.profile = s.one_of("profile", profile_names, -1);
    r.reject_reason = s.text("turn_back", "");
    r.max_share = s.number("most_share", 1, 0, 1);
    Section labels = s.section("labels");
    for (const std::string& name : labels.keys()) r.labels.emplace_back(name, labels.text(name, ""));
    std::size_t bytes = 0;
    for (const auto& [name, value] : r.labels) bytes += name.size() + value.size();
    if (bytes > 512)
      s.complain("labels", "are of " + std::to_string(bytes) +
                               " bytes together, at most 512 go into an entry of the ledger");
    s.finish();
    sources.push_back(std::move(r));
  }
  std::vector<bool> ordered;
  for (const Profile& p : profiles) ordered.push_back(p.ordered_by_key);
  std::vector<expr::RuleDiagnostic> faults;
  auto set = expr::RuleSet::make(sources, definitions, *rules.networks, expr::Limits{}, {}, ordered, faults);
  for (const expr::RuleDiagnostic& f : faults) {
    const expr::RuleSource& r = sources[f.rule];
    const std::string text = f.field == "when" ? r.when : f.field == "key" ? r.key : r.units;
    if (f.field.empty()) root.complain("rule", f.diagnostic.message);
    else tables[f.rule].complain(f.field, expr::format_diagnostic(text, f.diagnostic));
  }
  if (problems.size() > before || !set) return std::nullopt;
  rules.set = std::move(*set);
  return rules;
}

std::optional<Rules> read_rules_file(const std::string& path, Problems& problems) {
  const toml::table table = load(path, problems);
  if (!problems.empty()) return std::nullopt;
  Section root(table, "", path, problems);
  std::vector<std::string> names;
  std::vector<Profile> profiles;
  for (Section& s : root.list("profile")) {
    names.push_back(s.need_text("name"));
    profiles.emplace_back();
    profiles.back().ordered_by_key = s.flag("in_order", false);
  }
  return read_expr_rules(root, names, profiles, problems);
}

}  // namespace heronworks::config
