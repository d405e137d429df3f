// The [[rule]], [[definition]] and [sets] tables of a configuration: rules in the expression language.
// Problems name the position in the file and in the expression.
#pragma once

#include "config/reader.h"
#include "expr/rules.h"
#include "settings.h"

namespace heronworks::config {

// An immutable set of compiled rules, with the networks that it points into.
struct ExpressionRules {
  std::unique_ptr<expr::NetworkSets> networks = std::make_unique<expr::NetworkSets>();
  expr::RuleSet set;
};

// Reads [sets], [[definition]] and [[rule]] of `root`. Returns nothing and adds to `problems` if any of them
// is invalid, and an empty set if there are none.
std::optional<ExpressionRules> read_expression_rules(Section& root,
                                                     const std::vector<std::string>& profile_names,
                                                     const std::vector<Profile>& profiles,
                                                     Problems& problems);

// Reads the rules of a file, for `heronworks expr check`. Of [[profile]] only `name` and `in_order` are read.
std::optional<ExpressionRules> read_rules_file(const std::string& path, Problems& problems);

}  // namespace heronworks::config
