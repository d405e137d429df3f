// Limits the share of recent transactions that a rule may apply to.
//
// Call count_transaction() once for each transaction, then try_apply() for each rule that matches it, in
// order, until one returns true. A rule that has used up its share is treated as not matching.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace heronworks::expr {

class ShareLimiter {
 public:
  // `max_shares`: 0 to 1, for each rule.
  explicit ShareLimiter(std::vector<double> max_shares);

  // Times are in seconds and must not decrease.
  void count_transaction(double now);
  bool try_apply(double now, int rule);

  // Transactions that the rule was applied to, and those it was denied, since construction.
  std::uint64_t applied(int rule) const { return rules_[static_cast<std::size_t>(rule)].applied; }
  std::uint64_t denied(int rule) const { return rules_[static_cast<std::size_t>(rule)].denied; }

 private:
  static constexpr std::size_t kWindowSeconds = 10;
  // Transactions per window that a rule may always apply to: the share of very few means little.
  static constexpr double kMinPerWindow = 5;

  // A sliding window of counts, one slot for each second.
  struct Window {
    std::array<double, kWindowSeconds> counts{};
    std::array<std::int64_t, kWindowSeconds> seconds{};
    void add(double now);
    double sum(double now) const;
  };
  struct RuleState {
    double max_share = 1;
    Window window;
    std::uint64_t applied = 0;
    std::uint64_t denied = 0;
  };
  Window all_transactions_;
  std::vector<RuleState> rules_;
};

}  // namespace heronworks::expr
