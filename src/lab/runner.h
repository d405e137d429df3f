// Plays a day on sockets: starts every stand-in and scheduler as a process of its own, plays the script, ends
// them, and has the record judged.
#pragma once

#include "lab/bills.h"
#include "lab/day.h"
#include "lab/verdict.h"

namespace heronworks::lab {

struct RunOptions {
  std::string self;             // path of heronworks-lab
  std::string scheduler;        // path of the program that serves
  std::string folder;           // empty: a new one that is removed at the end
  bool quiet = false;           // no line a second
  bool withhold_rules = false;  // from the schedulers, to see that the checker finds it out
  double lead = 1.5;            // s from the start of the processes to the start of the day
};

struct RunResult {
  Verdict verdict;
  std::optional<Bills> bills;  // where the day has ledgers
  double start = 0;
  std::vector<std::string> faults;  // processes that ended as they should not
  bool good() const { return verdict.kept() && faults.empty() && (!bills || bills->faults.empty()); }
};

RunResult run_day(const Day& day, const RunOptions& options);

Figures figures_of(const Day& day, double start);

}  // namespace heronworks::lab
