// The nearest word: see nearest.h.
#include "expr/nearest.h"

#include <algorithm>
#include <utility>

namespace heronworks::expr {
namespace {

std::size_t edits(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t change = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, change});
    }
  }
  return row[b.size()];
}

}  // namespace

std::string nearest(std::string_view word, const std::vector<std::string>& words) {
  if (word.size() > 64) return "";  // no slip of the pen
  std::string best;
  std::size_t least = std::max<std::size_t>(2, word.size() / 3) + 1;
  for (const std::string& w : words) {
    if (const auto n = edits(word, w); n < least) {
      least = n;
      best = w;
    }
  }
  return best;
}

}  // namespace heronworks::expr
