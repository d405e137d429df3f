// Evaluates the rules of a scenario for a client's transaction, independently of the schedulers. Clients,
// stand-in nodes and the checker take the profile and the ordering key from here.
#pragma once

#include <memory>
#include <optional>

#include "config/expression_rules.h"
#include "nvme/spec.h"

namespace heronworks::lab {

struct RuleResult {
  int profile = -1;  // -1: no rule sets one
  std::optional<std::uint64_t> ordering_key;
};

class ScenarioRules {
 public:
  explicit ScenarioRules(std::shared_ptr<const config::ExpressionRules> rules) : rules_(std::move(rules)) {}

  // Evaluates the rules as if none of them rejected the transaction; a rejected transaction needs no
  // profile.
  RuleResult evaluate(const nvme::Sqe& sqe, const std::string& plan, std::uint32_t block_bytes,
                      const std::string& client, const std::string& address);

  // Parses [rules] of a scenario. A rule that sets a profile or a key must depend only on properties that
  // stay the same across retries and must apply to all matching transactions.
  static std::shared_ptr<const config::ExpressionRules> read(const std::string& text, const std::string& file,
                                                             const std::vector<std::string>& profile_names,
                                                             const std::vector<Profile>& profiles,
                                                             config::Problems& problems);

 private:
  std::shared_ptr<const config::ExpressionRules> rules_;
  expr::Machine machine_;
};

}  // namespace heronworks::lab
