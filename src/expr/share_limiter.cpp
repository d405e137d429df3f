#include "expr/share_limiter.h"

#include <cmath>

namespace heronworks::expr {

void ShareLimiter::Window::add(double now) {
  const auto second = static_cast<std::int64_t>(std::floor(now));
  const auto slot = static_cast<std::size_t>(
      ((second % static_cast<std::int64_t>(kWindowSeconds)) + kWindowSeconds) % kWindowSeconds);
  if (seconds[slot] != second) counts[slot] = 0;
  seconds[slot] = second;
  counts[slot] += 1;
}

double ShareLimiter::Window::sum(double now) const {
  const auto second = static_cast<std::int64_t>(std::floor(now));
  double total = 0;
  for (std::size_t i = 0; i < kWindowSeconds; ++i) {
    if (second - seconds[i] < static_cast<std::int64_t>(kWindowSeconds)) total += counts[i];
  }
  return total;
}

ShareLimiter::ShareLimiter(std::vector<double> max_shares) {
  for (const double share : max_shares) {
    rules_.emplace_back();
    rules_.back().max_share = share;
  }
}

void ShareLimiter::count_transaction(double now) { all_transactions_.add(now); }

// Guards against a rule whose condition is broader than intended, which would give a special profile to all
// transactions or reject them all. With little traffic, chance alone may exceed a share.
bool ShareLimiter::try_apply(double now, int rule) {
  RuleState& state = rules_[static_cast<std::size_t>(rule)];
  if (state.max_share < 1 &&
      state.window.sum(now) + 1 > kMinPerWindow + state.max_share * all_transactions_.sum(now)) {
    ++state.denied;
    return false;
  }
  state.window.add(now);
  ++state.applied;
  return true;
}

}  // namespace heronworks::expr
