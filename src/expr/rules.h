// An ordered list of rules. The first rule whose `when` condition holds decides on a transaction: it sets
// the profile, key, units and labels, or rejects it. A rule set is immutable once built.
#pragma once

#include <unordered_map>

#include "expr/definitions.h"
#include "expr/program.h"

namespace heronworks::expr {

// A rule as configured.
struct RuleSource {
  std::string name;
  std::string when;
  std::string key;            // expression; empty: not set by the rule
  std::string units;          // expression; empty: not set by the rule
  int profile = -1;           // -1: not set by the rule
  std::string reject_reason;  // empty: the rule does not reject
  double max_share = 1;       // of all transactions that it may apply to
  std::vector<std::pair<std::string, std::string>> labels;
  std::size_t line = 0;  // in the configuration file
};

struct Rule {
  std::string name;
  // Indexes of the conditions that must all hold, in order, less the one that the rule's index implies.
  std::vector<std::uint32_t> conditions;
  std::uint64_t max_steps = 0;        // upper bound for `when` if no condition is shared
  bool stable_across_retries = true;  // `when` reads only fields that are
  std::optional<Program> key;
  std::optional<Program> units;
  int profile = -1;
  std::string reject_reason;
  double max_share = 1;
  std::vector<std::pair<std::string, std::string>> labels;
};

struct RuleDiagnostic {
  std::size_t rule = 0;
  std::string field;  // "when", "key" or "units"; empty: the rule set as a whole
  Diagnostic diagnostic;
};

class RuleSet {
 public:
  struct Budget {
    std::size_t max_rules = 4096;
    std::uint64_t max_steps = 400000;  // sum over all programs; a shared condition counts once
  };

  // Returns nothing and appends the errors of all rules to `diagnostics` if any rule is invalid.
  // `ordered_profiles[profile]`: whether the profile executes the transactions of a key in order; their key
  // must be stable across retries.
  static std::optional<RuleSet> make(const std::vector<RuleSource>& sources, const Definitions& definitions,
                                     const NetworkSets& network_sets, const Limits& limits,
                                     const Budget& budget, const std::vector<bool>& ordered_profiles,
                                     std::vector<RuleDiagnostic>& diagnostics);

  struct Match {
    int rule = -1;              // -1: none
    int failure_count = 0;      // rules that did not match because their evaluation failed
    int last_failed_rule = -1;  // -1: none
    Failure last_failure = Failure::kNone;
  };
  // The first matching rule with index `first_rule` or higher.
  Match match(Machine& machine, const Record& record, int first_rule = 0) const;

  const Rule& rule(int index) const { return rules_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return rules_.size(); }
  std::uint64_t max_steps() const { return max_steps_; }
  // The name of the field that the rule is indexed by, or "each" if it is evaluated for every transaction.
  std::string index_field(int rule) const;
  // Distinct conditions of all rules, and those of them that several rules share.
  std::size_t condition_count() const { return conditions_.size(); }
  std::size_t shared_condition_count() const { return shared_condition_count_; }

 private:
  struct Condition {
    Program program;
    int cache_slot = -1;  // of the machine, if several rules share the condition; -1: not shared
  };
  // The rules listed for one value of an index: a range of candidates_.
  struct CandidateRange {
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
  };
  // The rules that can only match if a field has one of certain values, by value.
  struct FieldIndex {
    int field = -1;
    std::unordered_map<std::uint64_t, CandidateRange> words;
    std::unordered_map<std::string, CandidateRange, StringHash, std::equal_to<>> texts;
  };
  bool holds(const Condition& condition, Machine& machine, const Record& record, Failure& failure) const;

  std::vector<Rule> rules_;
  std::vector<Condition> conditions_;
  std::vector<std::string> index_fields_;  // by rule, see index_field()
  std::vector<FieldIndex> indexes_;
  std::vector<std::uint32_t> candidates_;  // rules, ascending within each range
  CandidateRange unindexed_;
  std::size_t shared_condition_count_ = 0;
  std::uint64_t max_steps_ = 0;
};

}  // namespace heronworks::expr
