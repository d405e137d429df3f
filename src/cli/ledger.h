// heronworks ledger: what is in ledgers, and what operators add to them.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace heronworks::cli {

// Adds the verbs; `chosen` is set to what is to be run, which returns an exit code.
void add_ledger_verbs(CLI::App& app, std::function<int()>& chosen);

}  // namespace heronworks::cli
