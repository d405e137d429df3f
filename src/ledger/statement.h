// What a tenant is asked to pay for in one period: lines by volume, plan, profile and standing, corrections,
// totals that add up to the ledgers' entries to the unit.
#pragma once

#include <map>
#include <tuple>

#include "ledger/reading.h"

namespace heronworks::ledger {

struct Line {
  std::uint64_t transactions = 0;
  std::uint64_t units = 0;
  std::uint64_t bytes = 0;
};

struct Statement {
  std::string tenant;
  std::int64_t period = 0;
  double period_length = 0;  // s
  bool sealed = true;        // in every ledger that has entries of it
  std::map<std::tuple<std::uint32_t, std::string, std::string, int>, Line>
      lines;  // volume, plan, profile, standing
  std::vector<wire::Correction> corrections;
  std::uint64_t repeats = 0;  // tries again of what was billed, free of charge
  std::int64_t total() const;
};

bool make_statement(store::FileSystem& files, const std::vector<std::string>& folders,
                    const std::string& tenant, std::int64_t period, Statement& statement,
                    store::FileError& fault);

// Through the templates of the program, or those of a file.
std::string as_text(const Statement& s);
std::string as_html(const Statement& s);

}  // namespace heronworks::ledger
