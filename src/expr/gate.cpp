// Shares of rules: see gate.h.
#include "expr/gate.h"

#include <cmath>

namespace heronworks::expr {

void Gate::Window::add(double now) {
  const auto second = static_cast<std::int64_t>(std::floor(now));
  const auto slot =
      static_cast<std::size_t>(((second % static_cast<std::int64_t>(kSlots)) + kSlots) % kSlots);
  if (seconds[slot] != second) counts[slot] = 0;
  seconds[slot] = second;
  counts[slot] += 1;
}

double Gate::Window::sum(double now) const {
  const auto second = static_cast<std::int64_t>(std::floor(now));
  double total = 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    if (second - seconds[i] < static_cast<std::int64_t>(kSlots)) total += counts[i];
  }
  return total;
}

Gate::Gate(std::vector<double> most_shares) {
  for (const double share : most_shares) {
    rules_.emplace_back();
    rules_.back().most_share = share;
  }
}

void Gate::landed(double now) { all_.add(now); }

// Danger: a rule that is wider than its author thought marks everything, and a profile for the few, or a
// turn-back, falls on all. Its share bounds that. May hurt where traffic is so little that chance alone
// passes the share.
bool Gate::passes(double now, int rule) {
  State& s = rules_[static_cast<std::size_t>(rule)];
  if (s.most_share < 1 && s.window.sum(now) + 1 > kFree + s.most_share * all_.sum(now)) {
    ++s.held_back;
    return false;
  }
  s.window.add(now);
  ++s.marked;
  return true;
}

}  // namespace heronworks::expr
