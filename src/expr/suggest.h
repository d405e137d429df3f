// Spelling suggestions for error messages.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heronworks::expr {

// The candidate with the smallest edit distance to `word`, the first among equals. Empty if none is similar.
std::string suggest(std::string_view word, const std::vector<std::string>& candidates);

}  // namespace heronworks::expr
