// From a command to what the module is told of it. Nothing else looks at the configuration's [[rule]],
// [[match]] and [[volumes]]. The first rule that holds and is under its share decides; where none does,
// [[match]].
#pragma once

#include <optional>

#include "config/gateway_config.h"
#include "expr/share_limiter.h"
#include "nvme/spec.h"
#include "state.h"

namespace heronworks::gateway {

// Who sent a command.
struct ClientFacts {
  std::string name;
  expr::Address address{};
};

struct Matched {
  Transaction transaction;  // without its time left
  std::size_t tenant = 0;   // a number under Matcher::tenants
  int rule = -1;            // that decided; -1: none
  bool turn_back = false;   // by that rule's word
  int failures = 0;         // rules whose evaluation failed, and so did not match
  int failed = -1;          // the last of them
};

class Matcher {
 public:
  explicit Matcher(const config::GatewayConfig& config);

  // Whether there is such a volume.
  bool knows(std::uint32_t nsid) const { return find(nsid) != nullptr; }
  std::size_t tenants() const { return tenants_; }
  const std::string& tenant_of(std::uint32_t nsid) const { return find(nsid)->tenant; }

  // An error status where the command is not one that a volume takes. `now` is the loop's, `wall` seconds
  // since 1970.
  std::optional<Matched> match(const nvme::Sqe& sqe, const ClientFacts& client, double now, double wall,
                               nvme::Status& refused);

  const expr::RuleSet& rules() const { return config_.expr->set; }
  const expr::ShareLimiter& gate() const { return gate_; }

 private:
  const config::Volumes* find(std::uint32_t nsid) const;
  void by_rules(const nvme::Sqe& sqe, const ClientFacts& client, double now, double wall, Matched& m);
  void local_time(double wall, expr::Record& record);

  const config::GatewayConfig& config_;
  std::vector<config::Volumes> sorted_;
  std::vector<int> first_index_;     // of each range's first volume among all
  std::vector<std::size_t> tenant_;  // of each range, a number under tenants_
  std::size_t tenants_ = 0;
  expr::Machine machine_;
  expr::ShareLimiter gate_;
  long minute_ = -1;  // of which the local time is known
  std::int64_t minute_of_day_ = 0;
  std::int64_t weekday_ = 1;
};

}  // namespace heronworks::gateway
