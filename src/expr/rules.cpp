#include "expr/rules.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace heronworks::expr {
namespace {

// A condition that restricts one field to a list of values, and so can be looked up in an index.
struct EqualityCondition {
  int field = -1;
  std::vector<const Constant*> values;
  std::size_t position = 0;  // among the conditions of the rule
};

bool is_indexable(Type t) { return t == kInt || t == kUint || t == kString || t == kSize || t == kDuration; }

// Appends the operands of the && operators at the top of a type-checked tree.
void split_conjunction(AstNode& node, std::vector<AstNode*>& out) {
  if (node.kind == NodeKind::kBinary && node.op == Operator::kAnd) {
    split_conjunction(*node.children[0], out);
    split_conjunction(*node.children[1], out);
  } else {
    out.push_back(&node);
  }
}

std::optional<EqualityCondition> equality_condition(const AstNode& node, std::size_t position) {
  if (node.kind != NodeKind::kBinary) return std::nullopt;
  const AstNode* field = node.children[0].get();
  const AstNode* other = node.children[1].get();
  if (node.op == Operator::kEqual && field->kind == NodeKind::kConstant) std::swap(field, other);
  if (field->kind != NodeKind::kField || !is_indexable(field->type)) return std::nullopt;
  if (node.op == Operator::kEqual && other->kind == NodeKind::kConstant)
    return EqualityCondition{field->field, {&other->constant}, position};
  if (node.op != Operator::kIn || other->kind != NodeKind::kList) return std::nullopt;
  EqualityCondition condition{field->field, {}, position};
  for (const auto& item : other->children) condition.values.push_back(&item->constant);
  return condition;
}

}  // namespace

std::optional<RuleSet> RuleSet::make(const std::vector<RuleSource>& sources, const Definitions& definitions,
                                     const NetworkSets& network_sets, const Limits& limits,
                                     const Budget& budget, const std::vector<bool>& ordered_profiles,
                                     std::vector<RuleDiagnostic>& diagnostics) {
  const std::size_t errors_before = diagnostics.size();
  if (sources.size() > budget.max_rules) {
    diagnostics.push_back({0,
                           "",
                           {{},
                            std::to_string(sources.size()) + " rules, at most " +
                                std::to_string(budget.max_rules) + " are allowed"}});
    return std::nullopt;
  }
  RuleSet set;
  std::vector<std::unique_ptr<AstNode>> trees;
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const RuleSource& source = sources[i];
    Rule rule;
    rule.name = source.name;
    rule.profile = source.profile;
    rule.reject_reason = source.reject_reason;
    rule.max_share = source.max_share;
    rule.labels = source.labels;
    const auto compile_field = [&](const std::string& text, const char* field, Type type,
                                   std::unique_ptr<AstNode>& tree) {
      std::vector<Diagnostic> field_diagnostics;
      std::optional<Program> program;
      tree = parse(text, limits, field_diagnostics);
      if (tree && definitions.expand(tree, limits, field_diagnostics))
        program = compile(*tree, network_sets, limits, type, field_diagnostics);
      for (Diagnostic& diagnostic : field_diagnostics)
        diagnostics.push_back({i, field, std::move(diagnostic)});
      return program;
    };
    std::unique_ptr<AstNode> when_tree;
    std::unique_ptr<AstNode> unused_tree;
    const auto when = compile_field(source.when, "when", kBool, when_tree);
    if (!source.key.empty()) {
      rule.key = compile_field(source.key, "key", kUint, unused_tree);
      // A retry with another key would not wait for the transactions that it must follow.
      if (rule.key && !rule.key->stable_across_retries && source.profile >= 0 &&
          ordered_profiles[static_cast<std::size_t>(source.profile)]) {
        diagnostics.push_back({i,
                               "key",
                               {{},
                                "the key of a profile with in_order must be the same for every retry, but it "
                                "reads a field that may change between retries"}});
      }
      if (rule.key) set.max_steps_ += rule.key->max_steps;
    }
    if (!source.units.empty()) {
      rule.units = compile_field(source.units, "units", kUint, unused_tree);
      if (rule.units) set.max_steps_ += rule.units->max_steps;
    }
    if (!when) continue;
    rule.max_steps = when->max_steps;
    rule.stable_across_retries = when->stable_across_retries;
    if (rule.key && !rule.stable_across_retries && source.profile >= 0 &&
        ordered_profiles[static_cast<std::size_t>(source.profile)]) {
      diagnostics.push_back({i,
                             "when",
                             {{},
                              "a rule that sets the key of a profile with in_order must match every retry or "
                              "none, but it reads a field that may change between retries"}});
    }
    set.rules_.push_back(std::move(rule));
    trees.push_back(std::move(when_tree));
  }
  if (diagnostics.size() > errors_before) return std::nullopt;

  // Find the conditions that several rules share, compared by their printed source.
  std::vector<std::vector<EqualityCondition>> equality_conditions(trees.size());
  std::vector<std::vector<std::string>> conditions(trees.size());
  std::array<std::size_t, kFieldCount> conditions_on_field{};
  std::unordered_map<std::string, int> use_counts;
  for (std::size_t i = 0; i < trees.size(); ++i) {
    std::vector<AstNode*> conjuncts;
    split_conjunction(*trees[i], conjuncts);
    for (const AstNode* conjunct : conjuncts) {
      if (auto equality = equality_condition(*conjunct, conditions[i].size())) {
        ++conditions_on_field[static_cast<std::size_t>(equality->field)];
        equality_conditions[i].push_back(std::move(*equality));
      }
      conditions[i].push_back(conjunct->to_source());
      ++use_counts[conditions[i].back()];
    }
  }

  // Index each rule by its most selective equality condition: the one whose values the fewest rules require;
  // among equals, the one on the field that most rules use, which keeps the number of indexes low. The lookup
  // implies that condition, so it is not evaluated again.
  const auto value_key = [](int field, const Constant& constant) {
    return std::to_string(field) +
           (constant.type == kString ? "'" + constant.bytes : "=" + std::to_string(constant.value.as_uint));
  };
  std::unordered_map<std::string, std::size_t> rules_with_value;
  for (const auto& rule_conditions : equality_conditions) {
    for (const EqualityCondition& condition : rule_conditions) {
      for (const Constant* value : condition.values) ++rules_with_value[value_key(condition.field, *value)];
    }
  }
  const auto max_rules_per_value = [&](const EqualityCondition& condition) {
    std::size_t most = 0;
    for (const Constant* value : condition.values)
      most = std::max(most, rules_with_value[value_key(condition.field, *value)]);
    return most;
  };
  struct RulesByValue {
    std::map<std::uint64_t, std::vector<std::uint32_t>> words;
    std::map<std::string, std::vector<std::uint32_t>> texts;
  };
  std::map<int, RulesByValue> rules_by_field;
  std::vector<std::uint32_t> unindexed;
  for (std::size_t i = 0; i < trees.size(); ++i) {
    const auto best = std::min_element(
        equality_conditions[i].begin(), equality_conditions[i].end(),
        [&](const EqualityCondition& a, const EqualityCondition& b) {
          const std::size_t rules_a = max_rules_per_value(a);
          const std::size_t rules_b = max_rules_per_value(b);
          return rules_a != rules_b ? rules_a < rules_b
                                    : conditions_on_field[static_cast<std::size_t>(a.field)] >
                                          conditions_on_field[static_cast<std::size_t>(b.field)];
        });
    if (best == equality_conditions[i].end()) {
      unindexed.push_back(static_cast<std::uint32_t>(i));
      set.index_fields_.push_back("each");
      continue;
    }
    set.index_fields_.push_back(fields()[static_cast<std::size_t>(best->field)].name);
    for (const Constant* value : best->values) {
      RulesByValue& by_value = rules_by_field[best->field];
      auto& rules =
          value->type == kString ? by_value.texts[value->bytes] : by_value.words[value->value.as_uint];
      if (rules.empty() || rules.back() != i) rules.push_back(static_cast<std::uint32_t>(i));
    }
    --use_counts[conditions[i][best->position]];
    conditions[i].erase(conditions[i].begin() + static_cast<std::ptrdiff_t>(best->position));
  }
  const auto append_candidates = [&](const std::vector<std::uint32_t>& rules) {
    const auto begin = static_cast<std::uint32_t>(set.candidates_.size());
    set.candidates_.insert(set.candidates_.end(), rules.begin(), rules.end());
    return CandidateRange{begin, static_cast<std::uint32_t>(set.candidates_.size())};
  };
  set.unindexed_ = append_candidates(unindexed);
  for (const auto& [field, by_value] : rules_by_field) {
    FieldIndex& index = set.indexes_.emplace_back();
    index.field = field;
    for (const auto& [value, rules] : by_value.words) index.words[value] = append_candidates(rules);
    for (const auto& [value, rules] : by_value.texts) index.texts[value] = append_candidates(rules);
  }

  // Compile each shared condition into a program of its own, and each run of conditions between them into
  // one. Their sources passed the limits before definitions were expanded and all parentheses were printed.
  Limits relaxed_limits = limits;
  relaxed_limits.max_source_bytes *= 8;
  relaxed_limits.max_nodes *= 2;
  relaxed_limits.max_nesting *= 4;
  std::unordered_map<std::string, std::uint32_t> shared_conditions;
  const auto add_condition = [&](const std::string& source, bool shared) -> bool {
    std::vector<Diagnostic> ignored;
    auto program = compile(source, network_sets, relaxed_limits, kBool, ignored);
    if (!program)
      return diagnostics.push_back(
                 {0, "", {{}, "internal error: condition does not compile on its own: " + source}}),
             false;
    set.max_steps_ += program->max_steps;
    set.conditions_.push_back(
        {std::move(*program), shared ? static_cast<int>(set.shared_condition_count_++) : -1});
    return true;
  };
  for (std::size_t i = 0; i < trees.size(); ++i) {
    Rule& rule = set.rules_[i];
    std::string unshared;
    const auto add_unshared = [&] {
      if (unshared.empty()) return true;
      rule.conditions.push_back(static_cast<std::uint32_t>(set.conditions_.size()));
      return add_condition(std::exchange(unshared, ""), false);
    };
    for (const std::string& condition : conditions[i]) {
      if (use_counts[condition] < 2) {
        unshared += (unshared.empty() ? "(" : " && (") + condition + ")";
        continue;
      }
      if (!add_unshared()) return std::nullopt;
      const auto [shared, inserted] =
          shared_conditions.emplace(condition, static_cast<std::uint32_t>(set.conditions_.size()));
      if (inserted && !add_condition(condition, true)) return std::nullopt;
      rule.conditions.push_back(shared->second);
    }
    if (!add_unshared()) return std::nullopt;
  }
  if (set.max_steps_ > budget.max_steps) {
    diagnostics.push_back({0,
                           "",
                           {{},
                            "all rules together may cost " + std::to_string(set.max_steps_) +
                                " steps, at most " + std::to_string(budget.max_steps) + " are allowed"}});
    return std::nullopt;
  }
  return set;
}

bool RuleSet::holds(const Condition& condition, Machine& machine, const Record& record,
                    Failure& failure) const {
  Value value;
  if (condition.cache_slot < 0) {
    failure = machine.run(condition.program, record, value);
    return failure == Failure::kNone && value.as_bool;
  }
  Machine::CachedCondition& cached = machine.cached_condition(static_cast<std::size_t>(condition.cache_slot));
  if (!cached.evaluated) {
    cached.failure = machine.run(condition.program, record, value);
    cached.holds = cached.failure == Failure::kNone && value.as_bool;
    cached.evaluated = true;
  }
  failure = cached.failure;
  return cached.holds;
}

RuleSet::Match RuleSet::match(Machine& machine, const Record& record, int first_rule) const {
  machine.reset_cache(shared_condition_count_);
  // Merges the ascending candidate lists of all indexes, which yields the candidates in the order of the
  // rules.
  std::array<std::pair<const std::uint32_t*, const std::uint32_t*>, kFieldCount + 1> lists;
  std::size_t count = 0;
  const auto add_list = [&](CandidateRange range) {
    const std::uint32_t* const end = candidates_.data() + range.end;
    const std::uint32_t* const begin =
        std::lower_bound(candidates_.data() + range.begin, end, static_cast<std::uint32_t>(first_rule));
    if (begin != end) lists[count++] = {begin, end};
  };
  if (unindexed_.end > 0) add_list(unindexed_);
  for (const FieldIndex& index : indexes_) {
    const Value& value = record.values[static_cast<std::size_t>(index.field)];
    if (!index.texts.empty()) {
      if (const auto found = index.texts.find(value.as_text.view()); found != index.texts.end())
        add_list(found->second);
    } else if (const auto found = index.words.find(value.as_uint); found != index.words.end()) {
      add_list(found->second);
    }
  }
  Match match;
  while (count > 0) {
    std::size_t least = 0;
    for (std::size_t i = 1; i < count; ++i) {
      if (*lists[i].first < *lists[least].first) least = i;
    }
    const std::uint32_t rule = *lists[least].first++;
    if (lists[least].first == lists[least].second) lists[least] = lists[--count];
    Failure failure = Failure::kNone;
    const auto& conditions = rules_[rule].conditions;
    if (std::all_of(conditions.begin(), conditions.end(), [&](std::uint32_t condition) {
          return holds(conditions_[condition], machine, record, failure);
        })) {
      match.rule = static_cast<int>(rule);
      return match;
    }
    if (failure != Failure::kNone) {
      ++match.failure_count;
      match.last_failed_rule = static_cast<int>(rule);
      match.last_failure = failure;
    }
  }
  return match;
}

std::string RuleSet::index_field(int rule) const { return index_fields_[static_cast<std::size_t>(rule)]; }

}  // namespace heronworks::expr
