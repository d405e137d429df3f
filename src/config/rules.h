// [[rule]] and [sets] of a configuration: rules in the expression language, with the file's places in
// complaints.
#pragma once

#include "config/reader.h"
#include "expr/rules.h"
#include "settings.h"

namespace heronworks::config {

// A version of the rules; immutable once read. The set holds pointers into the networks.
struct Rules {
  std::unique_ptr<expr::NetworkSets> networks = std::make_unique<expr::NetworkSets>();
  expr::RuleSet set;
};

// Reads [sets], [[definition]] and [[rule]] of `root`. Nothing and the problems if any of it is wrong; an
// empty set if there is none.
std::optional<Rules> read_expr_rules(Section& root, const std::vector<std::string>& profile_names,
                                     const std::vector<Profile>& profiles, Problems& problems);

// The rules of a whole file, for `heronworks expr check`; the names of its [[profile]] tables are enough.
std::optional<Rules> read_rules_file(const std::string& path, Problems& problems);

}  // namespace heronworks::config
