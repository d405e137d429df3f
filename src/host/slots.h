// Small indices for transactions and what a front keeps of each, from landing until the module forgets it.
// As many slots as were ever open at once; a front's bound on what is open bounds them.
#pragma once

#include <cstddef>
#include <vector>

namespace heronworks {

template <typename Slot>
class Slots {
 public:
  // The index of a new slot. References to others may end with it.
  int take() {
    if (free_.empty()) {
      slots_.emplace_back();
      return static_cast<int>(slots_.size()) - 1;
    }
    const int index = free_.back();
    free_.pop_back();
    return index;
  }
  void give(int index) {
    (*this)[index] = Slot{};
    free_.push_back(index);
  }
  Slot& operator[](int index) { return slots_[static_cast<std::size_t>(index)]; }
  int index_of(const Slot& slot) const { return static_cast<int>(&slot - slots_.data()); }
  std::size_t open() const { return slots_.size() - free_.size(); }
  // Those that are free too, as new.
  auto begin() const { return slots_.begin(); }
  auto end() const { return slots_.end(); }

 private:
  std::vector<Slot> slots_;
  std::vector<int> free_;
};

}  // namespace heronworks
