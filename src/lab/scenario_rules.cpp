#include "lab/scenario_rules.h"

namespace heronworks::lab {

RuleResult ScenarioRules::evaluate(const nvme::Sqe& sqe, const std::string& plan, std::uint32_t block_bytes,
                                   const std::string& client, const std::string& address) {
  RuleResult out;
  if (!rules_ || rules_->set.size() == 0) return out;
  expr::Record record;
  const auto set = [&](const char* field, expr::Value v) {
    record.values[static_cast<std::size_t>(expr::find_field(field))] = v;
  };
  const bool append = sqe.opcode == nvme::opcode::kZoneAppend;
  set("volume", expr::Value(std::uint64_t{sqe.nsid}));
  set("plan", expr::Value(std::string_view(plan)));
  set("operation", expr::Value(std::string_view(append                               ? "append"
                                                : sqe.opcode == nvme::opcode::kWrite ? "write"
                                                                                     : "read")));
  set("opcode", expr::Value(std::uint64_t{sqe.opcode}));
  set("lba", expr::Value(append ? std::uint64_t{0} : sqe.slba()));
  set("blocks", expr::Value(std::uint64_t{sqe.blocks()}));
  set("length", expr::Value(std::uint64_t{sqe.blocks()} * block_bytes));
  set("label", expr::Value(sqe.idempotency_key()));
  set("client.name", expr::Value(std::string_view(client)));
  set("client.address", expr::Value(expr::parse_address(address).value_or(expr::Address{})));
  int from = 0;
  while (true) {
    const auto m = rules_->set.match(machine_, record, from);
    if (m.rule < 0) return out;
    const expr::Rule& rule = rules_->set.rule(m.rule);
    if (rule.reject_reason.empty()) {
      out.profile = rule.profile;
      expr::Value key;
      if (rule.key && machine_.run(*rule.key, record, key) == expr::Failure::kNone)
        out.ordering_key = key.as_uint;
      return out;
    }
    from = m.rule + 1;
  }
}

std::shared_ptr<const config::ExpressionRules> ScenarioRules::read(
    const std::string& text, const std::string& file, const std::vector<std::string>& profile_names,
    const std::vector<Profile>& profiles, config::Problems& problems) {
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& e) {
    problems.push_back(
        {file, e.source().begin.line, e.source().begin.column, "rules.text", std::string(e.description())});
    return nullptr;
  }
  config::Section root(table, "rules.text", file, problems);
  auto rules = config::read_expression_rules(root, profile_names, profiles, problems);
  if (!rules) return nullptr;
  for (std::size_t i = 0; i < rules->set.size(); ++i) {
    const expr::Rule& r = rules->set.rule(static_cast<int>(i));
    if (r.reject_reason.empty() && (r.profile >= 0 || r.key) && (!r.stable_across_retries || r.max_share < 1))
      root.add_problem(
          "rule",
          "'" + r.name + "' sets a profile or key, so it must be stable across retries and have no share");
    if (r.units) root.add_problem("rule", "'" + r.name + "' sets units, which stand-in nodes do not support");
  }
  return std::make_shared<const config::ExpressionRules>(std::move(*rules));
}

}  // namespace heronworks::lab
