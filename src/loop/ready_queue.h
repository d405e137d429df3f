// Descriptors that are ready and wait for their turn.
#pragma once

#include <cstdint>
#include <deque>

namespace heronworks {

// Round robin: descriptors have their turns in the order in which they became ready, one turn each, and line
// up again behind all others if there is more for them to do. The caller sees to it that a descriptor is
// queued once at most.
class ReadyQueue {
 public:
  struct Entry {
    int fd = -1;
    std::uint32_t generation = 0;  // of the descriptor's registration
    std::uint64_t sequence = 0;    // of the entry, ascending from 1
    double ready_since = 0;        // a lower bound for the arrival of what is read in this turn, in seconds
  };

  bool empty() const { return entries_.empty(); }
  void push(int fd, std::uint32_t generation, double ready_since) {
    entries_.push_back({fd, generation, ++last_sequence_, ready_since});
  }
  // Must not be called while the queue is empty.
  Entry pop() {
    const Entry entry = entries_.front();
    entries_.pop_front();
    return entry;
  }
  // All entries up to this one have had their turn.
  std::uint64_t passed_sequence() const { return empty() ? last_sequence_ : entries_.front().sequence - 1; }
  std::uint64_t last_sequence() const { return last_sequence_; }

 private:
  std::deque<Entry> entries_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace heronworks
