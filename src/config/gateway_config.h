// The configuration file of the NVMe/TCP gateway, as read by `heronworks serve CONFIG.toml`. Times are in
// seconds. docs/operate.md describes the settings.
#pragma once

#include <optional>

#include "config/expression_rules.h"
#include "loop/fd.h"
#include "settings.h"

namespace heronworks::config {

enum class Operation { kRead, kWrite, kAppend };

// [[match]]: assigns a profile to the transactions that satisfy all conditions. The first match wins.
struct MatchRule {
  std::optional<Operation> operation;
  std::uint32_t min_blocks = 0;
  std::uint32_t max_blocks = 0;  // 0: unlimited
  std::uint32_t first_volume = 0;
  std::uint32_t last_volume = 0;  // 0: unlimited
  int profile = 0;
};

// [[volumes]]: the namespaces `first` to `last`, each served by `schedulers` schedulers.
struct VolumeRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  int plan = 0;
  int schedulers = 1;
  std::string tenant;  // that is billed
};

// [ledger]: disabled if `folder` is empty.
struct LedgerConfig {
  std::string folder;
  double period = 3600;     // s
  double dedup_window = 0;  // s for which a client's retry is recognised and not billed again
  std::size_t max_identities = 200000;
  bool durable_before_response = true;   // responses wait until their entries are durable
  std::size_t max_group_entries = 4096;  // entries per sync
};

struct GatewayConfig {
  Settings settings;
  std::vector<std::string> profile_names;
  std::vector<std::string> plan_names;
  Address listen;
  std::string subsystem;
  Address discovery_address;
  std::string discovery_subsystem;
  std::string node_subsystem;
  std::string saved_list_path;  // of the endpoint list; empty: not saved
  std::string host_name;
  std::vector<VolumeRange> volumes;
  std::vector<MatchRule> matches;                // [[match]]: applies where no [[rule]] holds
  std::shared_ptr<const ExpressionRules> rules;  // [[rule]]

  // Layout of a volume: `zones` zones of `zone_blocks` blocks; zone z lies on shard z modulo `shards`.
  std::uint32_t block_bytes = 4096;
  std::uint32_t zone_blocks = 0;
  std::uint32_t zones = 0;
  std::uint32_t shards = 0;
  std::uint32_t unit_blocks = 1;  // blocks per unit
  std::uint32_t key_blocks = 1;   // blocks per ordering key

  LedgerConfig ledger;

  int max_connections = 0;  // of clients
  int queue_size = 0;
  int max_open_transactions = 0;
  std::size_t max_write_bytes = 0;  // held for open transactions
  int node_queue_depth = 0;         // commands at a node, including timed out ones not yet answered
  double connect_timeout = 0;
  double idle_timeout = 0;  // of node connections
  double keep_alive = 0;
  double response_margin = 0;  // time before the client's deadline by which the response is sent
  bool pdu_digests = false;    // header and data digests on connections to nodes and discovery controller

  std::string log_file;  // empty: standard error
  std::string log_level;
  int max_log_lines = 0;  // per second

  std::uint64_t volume_blocks() const { return std::uint64_t{zones} * zone_blocks; }
};

// Reads and checks a configuration. Returns nothing and adds to `problems` if it is invalid.
std::optional<GatewayConfig> read_gateway_config(const std::string& path, Problems& problems);

// Parts that the lab's days have in common with a gateway configuration: [[profile]], [[plan]], the tables
// [sharing], [budget] and [cold], and [[match]].
// `late_parts`, if given, receives the part of its benefit that a late answer earns, by profile. Only days
// have that setting.
void read_profiles(Section& root, Settings& settings, std::vector<std::string>& names,
                   std::vector<double>* late_parts = nullptr);
void read_plans(Section& root, Settings& settings, std::vector<std::string>& names);
void read_scheduling(Section& root, Settings& settings);
std::vector<MatchRule> read_matches(Section& root, const std::vector<std::string>& profiles);

}  // namespace heronworks::config
