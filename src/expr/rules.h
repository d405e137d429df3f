// A set of rules, in order: the first whose `when` holds gives a transaction its profile, key and labels, or
// turns it back. Made once, immutable, shared by the transactions that use it.
#pragma once

#include <unordered_map>

#include "expr/define.h"
#include "expr/program.h"

namespace heronworks::expr {

// As written, with its place in the file for complaints.
struct RuleSource {
  std::string name;
  std::string when;
  std::string key;        // empty: as without rules
  std::string units;      // empty: as without rules
  int profile = -1;       // -1: as without rules
  std::string turn_back;  // reason; empty: it is not turned back
  double most_share = 1;  // of all transactions that it may mark
  std::vector<std::pair<std::string, std::string>> labels;
  std::size_t line = 0;
};

struct Rule {
  std::string name;
  std::vector<std::uint32_t> parts;  // that must all hold, in order; what its index proves is left out
  std::uint64_t cost = 0;            // steps of `when` at most, were nothing shared
  bool stable = true;                // `when` reads only what is the same for every try
  std::optional<Program> key;
  std::optional<Program> units;
  int profile = -1;
  std::string turn_back;
  double most_share = 1;
  std::vector<std::pair<std::string, std::string>> labels;
};

struct RuleFault {
  std::size_t rule = 0;
  std::string field;  // "when", "key" or "units"
  Fault fault;
};

class RuleSet {
 public:
  struct Budget {
    std::size_t rules = 4096;
    std::uint64_t cost = 400000;  // steps of all programs together; a shared part counts once
  };

  // Nothing half done: all faults of all rules, or a set. `ordered(profile)`: whether a profile keeps order;
  // the key of its transactions must be the same for every try.
  static std::optional<RuleSet> make(const std::vector<RuleSource>& sources, const Definitions& definitions,
                                     const NetworkSets& sets, const Limits& limits, const Budget& budget,
                                     const std::vector<bool>& ordered, std::vector<RuleFault>& faults);

  struct Match {
    int rule = -1;     // -1: none
    int failures = 0;  // rules that did not match because their evaluation failed
    int failed = -1;   // the last of them
    Failure failure = Failure::kNone;
  };
  // The first rule from number `from` on.
  Match match(Machine& machine, const Record& record, int from = 0) const;

  const Rule& rule(int i) const { return rules_[static_cast<std::size_t>(i)]; }
  std::size_t size() const { return rules_.size(); }
  std::uint64_t cost() const { return cost_; }
  // Which index a rule is found by: a field's name, or "each" if it is tried for every transaction.
  std::string index_of(int rule) const;
  // Different parts of all rules, and those of them that several rules share.
  std::size_t parts() const { return parts_.size(); }
  std::size_t shared() const { return shared_; }

 private:
  // One thing that must hold, as several rules may demand it; worked out once for each transaction at most.
  struct Part {
    Program program;
    int slot = -1;  // among what the machine remembers; -1: one rule alone asks for it
  };
  // The rules of one value of an index: a stretch of candidates_.
  struct Stretch {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
  };
  // Rules that can only hold where one field has a given value.
  struct Index {
    int field = -1;
    std::unordered_map<std::uint64_t, Stretch> words;
    std::unordered_map<std::string, Stretch, TextHash, std::equal_to<>> texts;
  };
  bool holds(const Part& part, Machine& machine, const Record& record, Failure& failure) const;

  std::vector<Rule> rules_;
  std::vector<Part> parts_;
  std::vector<std::string> found_by_;      // by rule: the field of its index, or "each"
  std::vector<Index> indexes_;             // one for each field that some rules are found by
  std::vector<std::uint32_t> candidates_;  // rules, ascending within each stretch
  Stretch each_;                           // those that no index finds
  std::size_t shared_ = 0;
  std::uint64_t cost_ = 0;
};

}  // namespace heronworks::expr
