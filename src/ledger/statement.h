// A tenant's statement for one period: usage by volume, plan, profile and billing tier, and corrections. Its
// total equals the units of the ledgers' entries and corrections.
#pragma once

#include <map>
#include <tuple>

#include "ledger/ledger_reader.h"

namespace heronworks::ledger {

struct StatementLine {
  std::uint64_t transactions = 0;
  std::uint64_t units = 0;
  std::uint64_t bytes = 0;
};

struct Statement {
  std::string tenant;
  std::int64_t period = 0;
  double period_length = 0;  // s
  bool sealed = true;        // in every ledger that has entries of the period
  // By volume, plan, profile and billing tier.
  std::map<std::tuple<std::uint32_t, std::string, std::string, int>, StatementLine> lines;
  std::vector<wire::Correction> corrections;
  std::uint64_t repeats = 0;   // retries of billed transactions, free of charge
  std::int64_t total() const;  // units
};

// Returns false with `error` if a ledger is invalid or the ledgers' periods have different lengths.
bool make_statement(store::FileSystem& files, const std::vector<std::string>& folders,
                    const std::string& tenant, std::int64_t period, Statement& statement,
                    store::FileError& error);

std::string render_text(const Statement& statement);
std::string render_html(const Statement& statement);

}  // namespace heronworks::ledger
