// A scenario: nodes, schedulers, clients and the faults injected into them, read from a TOML file.
// docs/lab.md describes each field.
#pragma once

#include <random>

#include "config/gateway_config.h"

namespace heronworks::lab {

struct Workload {
  int profile = 0;
  config::Operation operation = config::Operation::kRead;
  double share = 1;
  int min_units = 1;
  int max_units = 1;
  double recent_fraction = 0;  // fraction of reads that target recently appended data
};

struct VolumeGroup {
  int plan = 0;
  double share = 1;  // of the total traffic
  int volumes = 1;
  int min_hosts = 1;
  int max_hosts = 1;
  int min_shards = 1;
  int max_shards = 1;
};

enum class FaultKind {
  kSlow,
  kHang,
  kFastErrors,
  kAnswersLost,
  kAgeing,
  kPauses,
  kHeavyTransactions,
  kCrash,
  kDrain,
  kDiscoveryDown,
  kUsageReportsLate,
  kSurge,
  kPlanSurge,
  kVolumeSurge,
  kPrimaryMoves,
  kSchedulerKilled,
  kSchedulerStopped,
  kClientDisconnects,
  kDiskFull,
};

const std::vector<std::string>& fault_kind_names();

// A fault injected at one target, active from `from` to `to`, in seconds since the start of the scenario.
struct FaultEvent {
  FaultKind kind = FaultKind::kSlow;
  double from = 0;
  double to = 0;
  int target = -1;  // node, scheduler, plan or volume; -1: no single target
  double magnitude = 1;
  bool by_reset = false;
};

struct Scenario {
  std::string file;
  std::string name;
  double seconds = 10;
  std::uint64_t seed = 1;
  int schedulers = 1;
  int nodes = 1;
  int zones = 1;  // node n is in zone n modulo `zones`
  double answer_slack = 0.05;
  double drain_grace = 0.25;
  Settings settings;  // without scheduler index and seed
  std::vector<std::string> profile_names;
  std::vector<double> late_benefit_fractions;  // by profile: fraction of the benefit that a late answer earns
  std::vector<std::string> plan_names;
  std::vector<config::MatchRule> matches;
  std::vector<Workload> workloads;
  std::vector<VolumeGroup> volume_groups;

  std::uint32_t block_bytes = 4096;
  std::uint32_t zone_blocks = 256;
  std::uint32_t zones_per_volume = 64;
  std::uint32_t unit_blocks = 1;
  std::uint32_t key_blocks = 16;

  // Nodes
  int cores = 2;
  int queue = 64;
  double unit_time = 0.004;  // core-seconds of one unit at speed 1
  double min_speed = 1;
  double max_speed = 1;
  double work_variation = 0.3;   // coefficient of variation of the work of a command
  double deferred_fraction = 0;  // fraction of a write's work that is postponed to the next flush
  double flush_interval = 2;
  double pause_interval = 0;  // s; 0: no pauses
  double pause_duration = 0.1;
  double usage_report_delay = 0.3;
  double dedup_saving = 0.9;

  // Discovery service
  double notice_delay = 0.3;  // s from a change of a node until the list shows it
  double response_delay = 0.002;

  // Clients
  int connections_per_scheduler = 2;
  double load_fraction = 0.5;  // fraction of the nodes' capacity
  bool retry_lost_connections =
      false;  // retry idempotent transactions through another scheduler after a connection loss
  int max_retries = 1;
  double backoff = 0.05;
  double primary_fraction = 0.6;  // fraction of a volume's traffic that goes to its primary scheduler

  double ledger_period = 0;  // s; 0: no ledgers
  std::string rules_toml;    // [[rule]] and [sets] of the schedulers, as written
  std::shared_ptr<const config::ExpressionRules>
      parsed_rules;  // parsed `rules_toml`, for clients, nodes and the checker

  std::vector<FaultEvent> fault_events;  // ordered by `from`

  int volumes() const;
  double capacity() const;  // units/s of all nodes, at the mean node speed
};

// Reads and validates a scenario file and draws the targets of its faults. Returns nothing and appends to
// `problems` if the file is invalid. A `seed` of 0 uses the seed of the file.
std::optional<Scenario> read_scenario(const std::string& path, std::uint64_t seed,
                                      config::Problems& problems);

// Plan, traffic share, schedulers and shards of a volume. Derived from the seed, so that all processes
// agree.
struct VolumeLayout {
  int plan = 0;
  double share = 0;             // of the total traffic
  std::vector<int> schedulers;  // the first is the volume's primary at the start
  std::vector<int> shards;
};
std::vector<VolumeLayout> volume_layouts(const Scenario& scenario);
double node_speed(const Scenario& scenario, int node);

// Lifetime of one process of a node, in seconds since the start of the scenario. Every process but the
// first goes through slow start.
struct ProcessLifetime {
  double from = -1e9;
  double to = 1e9;
  double drained_at = 1e9;  // listed as draining from this time on
};
std::vector<ProcessLifetime> node_lifetimes(const Scenario& scenario, int node);

// Returns the TOML configuration of scheduler `index`, without the rules of the scenario.
std::string gateway_toml(const Scenario& scenario, int index, std::uint16_t port, std::uint16_t list_port,
                         const std::string& folder);

}  // namespace heronworks::lab
