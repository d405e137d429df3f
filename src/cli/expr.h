// Implements the subcommands of `heronworks expr`. Each function returns the exit code.
#pragma once

#include <string>

namespace heronworks::cli {

// Checks the rules of a configuration, or of a file that holds rules only, and prints their costs.
int expr_check(const std::string& path);

// Prints the type, cost and program of an expression.
int expr_explain(const std::string& source);

// Evaluates an expression. `transaction`: a JSON object with the fields, or the path of a file that holds
// one.
int expr_eval(const std::string& source, const std::string& transaction);

// Prints the reference of fields and functions.
int expr_reference();

// Measures and prints the time of one match of a rule set.
int expr_bench();

}  // namespace heronworks::cli
