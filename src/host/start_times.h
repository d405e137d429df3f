// Start times of nodes on the loop's clock.
#pragma once

#include <algorithm>
#include <vector>

namespace heronworks {

// Endpoint lists give start times on the wall clock, which may be stepped at any time. Each is converted
// once, by the offset between the clocks that holds when the node is first listed with it, so that a later
// step changes neither its age nor that of nodes that start after the step.
class StartTimes {
 public:
  // `started_at`: Unix time, 0: long ago. `wall_offset`: Unix time less loop time. `is_new`: the index
  // belongs to another node than before. All in seconds. Returns 0 for long ago, else more than that.
  double to_loop_time(int node, double started_at, bool is_new, double wall_offset) {
    const auto index = static_cast<std::size_t>(node);
    if (index >= by_node_.size()) by_node_.resize(index + 1);
    Entry& entry = by_node_[index];
    if (is_new || entry.wall != started_at)
      entry = {started_at, started_at == 0 ? 0 : std::max(started_at - wall_offset, kEarliest)};
    return entry.loop;
  }

 private:
  static constexpr double kEarliest = 1e-6;  // s
  struct Entry {
    double wall = 0;
    double loop = 0;
  };
  std::vector<Entry> by_node_;  // as many as nodes were known at the same time
};

}  // namespace heronworks
