// From a command to what the module is told of it. The narrow place for richer matching: nothing else looks at
// the configuration's [[match]] and [[volumes]].
#pragma once

#include <optional>

#include "config/gateway_config.h"
#include "nvme/wire.h"
#include "state.h"

namespace heronworks::gateway {

// What a volume is: the plan it stands on and the hosts that it is reached through.
class Matcher {
 public:
  explicit Matcher(const config::GatewayConfig& config);

  // Whether there is such a volume.
  bool knows(std::uint32_t nsid) const { return find(nsid) != nullptr; }

  // A transaction without its time left; an error status where the command is not one that a volume takes.
  std::optional<Transaction> match(const nvme::Sqe& sqe, nvme::Status& refused) const;

 private:
  const config::Volumes* find(std::uint32_t nsid) const;

  const config::GatewayConfig& config_;
  std::vector<config::Volumes> sorted_;
  std::vector<int> first_index_;  // of each range's first volume among all
};

}  // namespace heronworks::gateway
