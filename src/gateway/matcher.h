// Classifies commands: turns an NVMe command into the transaction that the decision module is told of. It
// alone evaluates the configuration's [[rule]], [[match]] and [[volumes]]. The first [[rule]] that holds and
// is below its share of the transactions decides; if there is none, [[match]] does.
#pragma once

#include <optional>

#include "config/gateway_config.h"
#include "expr/share_limiter.h"
#include "nvme/spec.h"
#include "state.h"

namespace heronworks::gateway {

// The client that sent a command.
struct ClientInfo {
  std::string name;
  expr::Address address{};
};

struct MatchResult {
  Transaction transaction;     // time_left is not set
  std::size_t tenant = 0;      // index below Matcher::tenant_count()
  int rule = -1;               // the rule that decided; -1: none
  bool rejected = false;       // by that rule
  int failed_evaluations = 0;  // of rules, which therefore did not match
  int last_failed_rule = -1;
};

class Matcher {
 public:
  explicit Matcher(const config::GatewayConfig& config);

  bool has_volume(std::uint32_t nsid) const { return find_range(nsid) != nullptr; }
  std::size_t tenant_count() const { return tenant_count_; }
  const std::string& tenant_name(std::uint32_t nsid) const { return find_range(nsid)->tenant; }

  // Sets `error` and returns nothing if the command is not valid for its volume. `now` is the loop's time,
  // `wall_time` is in seconds since 1970.
  std::optional<MatchResult> match(const nvme::Sqe& sqe, const ClientInfo& client, double now,
                                   double wall_time, nvme::Status& error);

  const expr::RuleSet& rules() const { return config_.rules->set; }
  const expr::ShareLimiter& share_limiter() const { return share_limiter_; }

 private:
  const config::VolumeRange* find_range(std::uint32_t nsid) const;
  void apply_rules(const nvme::Sqe& sqe, const ClientInfo& client, double now, double wall_time,
                   MatchResult& result);
  void set_local_time(double wall_time, expr::Record& record);

  const config::GatewayConfig& config_;
  std::vector<config::VolumeRange> ranges_;   // sorted by first volume
  std::vector<int> first_volume_index_;       // by range: the index of its first volume among all volumes
  std::vector<std::size_t> tenant_of_range_;  // by range: its tenant's index
  std::size_t tenant_count_ = 0;
  expr::Machine machine_;
  expr::ShareLimiter share_limiter_;
  long cached_minute_ = -1;  // since 1970; the next two belong to it
  std::int64_t minute_of_day_ = 0;
  std::int64_t weekday_ = 1;  // 1 is Monday, 7 is Sunday
};

}  // namespace heronworks::gateway
