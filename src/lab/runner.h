// Runs a scenario on sockets: starts each stand-in and scheduler as a process, injects the faults, stops
// the processes and checks the record.
#pragma once

#include "lab/billing_check.h"
#include "lab/scenario.h"
#include "lab/verdict.h"

namespace heronworks::lab {

struct RunOptions {
  std::string self;             // path of heronworks-lab
  std::string scheduler;        // path of the scheduler program
  std::string folder;           // empty: a temporary folder, removed at the end
  bool quiet = false;           // no progress lines
  bool withhold_rules = false;  // from the schedulers, to test that the checker notices
  double startup_time = 1.5;    // s from starting the processes to the start of the scenario
};

struct RunResult {
  Verdict verdict;
  std::optional<BillingCheck> billing;  // set if the scenario has ledgers
  double start = 0;
  std::vector<std::string> failures;  // unexpected process exits
  bool passed() const {
    return verdict.passed() && failures.empty() && (!billing || billing->errors.empty());
  }
};

RunResult run_scenario(const Scenario& scenario, const RunOptions& options);

CheckerParameters checker_parameters(const Scenario& scenario, double start);

}  // namespace heronworks::lab
