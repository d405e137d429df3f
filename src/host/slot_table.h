// A table of reusable slots with small integer indices.
#pragma once

#include <cstddef>
#include <vector>

#include "release_memory.h"

namespace heronworks {

// Stores per-transaction state from arrival until the decision module releases the transaction. The table
// grows to the largest number of slots in use at the same time, which the caller bounds.
template <typename Slot>
class SlotTable {
 public:
  // Returns the index of a default-constructed slot. Invalidates references to other slots.
  int allocate() {
    if (free_.empty()) {
      slots_.emplace_back();
      return static_cast<int>(slots_.size()) - 1;
    }
    const int index = free_.back();
    free_.pop_back();
    return index;
  }
  void release(int index) {
    release_memory((*this)[index]);
    free_.push_back(index);
  }
  Slot& operator[](int index) { return slots_[static_cast<std::size_t>(index)]; }
  int index_of(const Slot& slot) const { return static_cast<int>(&slot - slots_.data()); }
  std::size_t in_use() const { return slots_.size() - free_.size(); }
  // Iteration includes free slots, which are default-constructed.
  auto begin() const { return slots_.begin(); }
  auto end() const { return slots_.end(); }

 private:
  std::vector<Slot> slots_;
  std::vector<int> free_;
};

}  // namespace heronworks
