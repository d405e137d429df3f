// Whether a rule that holds may mark one more transaction: decisions only, no clock.
//
// How to call it: `landed` once for each transaction, then `passes` for each rule that holds, until one does.
// A rule over its share does not match, and the next ones are asked.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace heronworks::expr {

class Gate {
 public:
  explicit Gate(std::vector<double> most_shares);  // by rule

  void landed(double now);
  bool passes(double now, int rule);
  // Marked, and held back for the share, since the start.
  std::uint64_t marked(int rule) const { return rules_[static_cast<std::size_t>(rule)].marked; }
  std::uint64_t held_back(int rule) const { return rules_[static_cast<std::size_t>(rule)].held_back; }

 private:
  static constexpr std::size_t kSlots = 10;  // of one second each: the window that a share is taken over
  static constexpr double kFree =
      5;  // transactions that a rule may always mark in a window: few make no share

  struct Window {
    std::array<double, kSlots> counts{};
    std::array<std::int64_t, kSlots> seconds{};
    void add(double now);
    double sum(double now) const;
  };
  struct State {
    double most_share = 1;
    Window window;
    std::uint64_t marked = 0;
    std::uint64_t held_back = 0;
  };
  Window all_;
  std::vector<State> rules_;  // as many as there are rules
};

}  // namespace heronworks::expr
