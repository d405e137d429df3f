// Orders what has been received on different connections by the time at which it arrived at the host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "loop/arrival_clock.h"

namespace heronworks {

// Receives what was held in an ArrivalQueue.
class ArrivalHandler {
 public:
  virtual ~ArrivalHandler() = default;
  // `id` is that of the push().
  virtual void on_arrival(std::uint64_t id) = 0;
};

// A priority queue of arrivals: the earliest first, those of the same time in the order in which they were
// pushed. Callers bound the number of entries.
class ArrivalQueue {
 public:
  struct Arrival {
    ArrivalTime time = 0;
    std::uint64_t sequence = 0;
    ArrivalHandler* handler = nullptr;
    std::uint64_t id = 0;
  };

  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  void push(ArrivalTime time, ArrivalHandler& handler, std::uint64_t id);
  // The following two must not be called while the queue is empty.
  ArrivalTime earliest() const { return heap_.front().time; }
  Arrival pop();
  // The latest time in the queue; 0 if it is empty. Visits each entry.
  ArrivalTime latest() const;
  // Removes all arrivals for the handler, which may then be destroyed. Visits each entry.
  void remove(const ArrivalHandler& handler);

 private:
  std::vector<Arrival> heap_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace heronworks
