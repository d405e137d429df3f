#include "expr/suggest.h"

#include <algorithm>
#include <utility>

namespace heronworks::expr {
namespace {

constexpr std::size_t kMaxWordBytes = 64;  // longer words are hardly misspelled names

// Levenshtein distance.
std::size_t edit_distance(std::string_view from, std::string_view to) {
  std::vector<std::size_t> row(to.size() + 1);
  for (std::size_t j = 0; j <= to.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= from.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= to.size(); ++j) {
      const std::size_t substitution = diagonal + (from[i - 1] == to[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
    }
  }
  return row[to.size()];
}

}  // namespace

std::string suggest(std::string_view word, const std::vector<std::string>& candidates) {
  if (word.size() > kMaxWordBytes) return "";
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const std::string& candidate : candidates) {
    if (const auto distance = edit_distance(word, candidate); distance < best_distance) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

}  // namespace heronworks::expr
