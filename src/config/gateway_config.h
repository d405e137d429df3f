// The configuration of one scheduler, as `heronworks serve CONFIG.toml` reads it. docs/operate.md describes
// each field; times are seconds there and here.
#pragma once

#include <optional>

#include "config/rules.h"
#include "loop/fd.h"
#include "settings.h"

namespace heronworks::config {

enum class Operation { kRead, kWrite, kAppend };

// Which transactions get a profile. First match wins.
struct Rule {
  std::optional<Operation> operation;
  std::uint32_t least_blocks = 0;
  std::uint32_t most_blocks = 0;  // 0: any
  std::uint32_t first_volume = 0;
  std::uint32_t last_volume = 0;  // 0: any
  int profile = 0;
};

// Namespaces `first` to `last`, all on one plan, reached through `hosts` schedulers.
struct Volumes {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
  int plan = 0;
  int hosts = 1;
  std::string tenant;  // who pays; that of the whole range
};

// [ledger]: none where `folder` is empty.
struct LedgerConfig {
  std::string folder;
  double period = 3600;  // s
  double remembers = 0;  // s for which a client's identity of a transaction is known
  std::size_t identities = 200000;
  bool waits = true;         // answers wait for their entries
  std::size_t group = 4096;  // entries that one sync covers, at most
};

struct GatewayConfig {
  Settings settings;
  std::vector<std::string> profile_names;
  std::vector<std::string> plan_names;
  Address listen;
  std::string subsystem;
  Address list;
  std::string list_subsystem;
  std::string node_subsystem;
  std::string saved_list;  // path; empty: none
  std::string host_name;
  std::vector<Volumes> volumes;
  std::vector<Rule> rules;            // [[match]]: the default where no expression's rule holds
  std::shared_ptr<const Rules> expr;  // [[rule]]

  // A volume's blocks: zones of `zone_blocks`, zone z on shard z modulo `shards`.
  std::uint32_t block_bytes = 4096;
  std::uint32_t zone_blocks = 0;
  std::uint32_t zones = 0;
  std::uint32_t shards = 0;
  std::uint32_t unit_blocks = 1;
  std::uint32_t key_blocks = 1;

  LedgerConfig ledger;

  int most_connections = 0;
  int queue_size = 0;
  int most_open = 0;           // transactions
  std::size_t most_bytes = 0;  // of writes held
  int node_depth = 0;          // commands out at a node, with those timed out and not ended yet
  double connect_timeout = 0;
  double idle_close = 0;
  double keep_alive = 0;
  double way_back = 0;   // s before a client's cut-off by which its answer is sent
  bool digests = false;  // to nodes and the list

  std::string log_file;  // empty: standard error
  std::string log_level;
  int log_lines = 0;  // a second

  std::uint64_t volume_blocks() const { return std::uint64_t{zones} * zone_blocks; }
};

// Complete and checked, or nothing and the problems.
std::optional<GatewayConfig> read_gateway(const std::string& path, Problems& problems);

// Shared with the lab's days: [[profile]], [[plan]], and the tables [sharing], [budget], [cold].
// `late_parts`, of the benefit that a late answer earns, are for verdicts only: a scheduler's configuration
// has none.
void read_profiles(Section& root, Settings& settings, std::vector<std::string>& names,
                   std::vector<double>* late_parts = nullptr);
void read_plans(Section& root, Settings& settings, std::vector<std::string>& names);
void read_rules(Section& root, Settings& settings);
std::vector<Rule> read_matches(Section& root, const std::vector<std::string>& profiles);

}  // namespace heronworks::config
