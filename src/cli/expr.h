// The subcommands of `heronworks expr`; each returns an exit code.
#pragma once

#include <string>

namespace heronworks::cli {

int expr_check(const std::string& path);  // a configuration or a file of rules alone
int expr_explain(const std::string& source);
int expr_eval(const std::string& source, const std::string& transaction);  // JSON, or a file that holds it
int expr_reference();
int expr_bench();

}  // namespace heronworks::cli
