// What may have been meant: the nearest of some words by edits.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace heronworks::expr {

// Empty if none is near enough. Among equally near ones the first.
std::string nearest(std::string_view word, const std::vector<std::string>& words);

}  // namespace heronworks::expr
