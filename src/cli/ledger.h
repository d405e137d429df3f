// The `heronworks ledger` commands: inspect, verify, seal, correct, export and reconcile ledgers, and print
// statements.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace heronworks::cli {

// Adds the commands to `app`. Parsing sets `chosen` to the function that runs the given command and returns
// its exit code. `chosen` must outlive `app`.
void add_ledger_commands(CLI::App& app, std::function<int()>& chosen);

}  // namespace heronworks::cli
