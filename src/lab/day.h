// A day: the world and what goes wrong in it, from a TOML file. The same file means the same on sockets and,
// later, in the model. docs/lab.md describes each field.
#pragma once

#include <random>

#include "config/gateway_config.h"

namespace heronworks::lab {

struct Work {
  int profile = 0;
  config::Operation operation = config::Operation::kRead;
  double share = 1;
  int least_units = 1;
  int most_units = 1;
  double fresh = 0;  // part of reads that go to objects appended before
};

struct Customers {
  int plan = 0;
  double share = 1;  // of the usual traffic
  int volumes = 1;
  int least_hosts = 1;
  int most_hosts = 1;
  int least_shards = 1;
  int most_shards = 1;
};

enum class Trouble {
  kSlow,
  kHang,
  kFastErrors,
  kAnswersLost,
  kAgeing,
  kPauses,
  kHeavy,
  kCrash,
  kDrain,
  kListDown,
  kReportsLate,
  kSurge,
  kPlanSurge,
  kVolumeSurge,
  kLeadMoves,
  kSchedulerKilled,
  kSchedulerStopped,
  kClientLeaves,
  kDiskFull,
};

const std::vector<std::string>& trouble_names();

// One trouble of the script, at one target. Times are seconds from the day's start.
struct Act {
  Trouble trouble = Trouble::kSlow;
  double from = 0;
  double to = 0;
  int target = -1;  // node, scheduler, plan or volume; -1: all
  double size = 1;
  bool by_reset = false;
};

struct Day {
  std::string file;
  std::string name;
  double seconds = 10;
  std::uint64_t seed = 1;
  int schedulers = 1;
  int nodes = 1;
  int zones = 1;  // places; node n stands in place n modulo this
  double answer_slack = 0.05;
  double drain_grace = 0.25;
  Settings settings;  // but index and seed
  std::vector<std::string> profile_names;
  std::vector<double> late_parts;  // of a profile's benefit that a late answer earns in the verdict
  std::vector<std::string> plan_names;
  std::vector<config::MatchRule> matches;
  std::vector<Work> work;
  std::vector<Customers> customers;

  std::uint32_t block_bytes = 4096;
  std::uint32_t zone_blocks = 256;
  std::uint32_t zones_a_volume = 64;
  std::uint32_t unit_blocks = 1;
  std::uint32_t key_blocks = 16;

  // Nodes.
  int cores = 2;
  int queue = 64;
  double unit_time = 0.004;  // s of one core
  double least_speed = 1;
  double most_speed = 1;
  double work_spread = 0.3;  // coefficient of variation of a command's work
  double deferred = 0;       // part of a write's work that is done at the next flush
  double flush_every = 2;
  double pause_every = 0;  // 0: none
  double pause_time = 0.1;
  double meter_late = 0.3;
  double repeat_saving = 0.9;

  // The list.
  double notice = 0.3;  // s from a change to its being listed
  double call_time = 0.002;

  // Clients.
  int connections = 2;      // to each scheduler
  double load = 0.5;        // of what the nodes can do
  bool retry_lost = false;  // also what was redoable when its connection broke, through another scheduler
  int retries = 1;
  double backoff = 0.05;
  double lead_part = 0.6;  // of a volume's traffic that its leading scheduler gets

  double ledger_period = 0;  // s; 0: the schedulers keep no ledgers
  std::string rules;         // [[rule]] and [sets] for the schedulers, TOML as written
  std::shared_ptr<const config::ExpressionRules> read_rules;  // the same, for the stand-ins and the checker

  std::vector<Act> acts;  // in order of time

  int volumes() const;
  double capacity() const;  // units a second of all nodes, at speed 1 and in the mean of speeds
};

// Complete, checked and with its troubles drawn, or nothing and the problems. `seed` 0: the file's.
std::optional<Day> read_day(const std::string& path, std::uint64_t seed, config::Problems& problems);

// What a volume is, the same for all who ask: from the day's seed.
struct VolumeFacts {
  int plan = 0;
  double share = 0;             // of the usual traffic
  std::vector<int> schedulers;  // the first leads at the start
  std::vector<int> shards;
};
std::vector<VolumeFacts> volumes_of(const Day& day);
double node_speed(const Day& day, int node);

// The lives of a node: process `life` runs from `from` to `to`; cold unless it is the first.
struct Life {
  double from = -1e9;
  double to = 1e9;
  double drained_at = 1e9;  // from then on the list calls it draining
};
std::vector<Life> lives_of(const Day& day, int node);

// The configuration of scheduler `index`, as TOML text; without the day's rules.
std::string gateway_toml(const Day& day, int index, std::uint16_t port, std::uint16_t list_port,
                         const std::string& folder);

}  // namespace heronworks::lab
