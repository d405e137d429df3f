#include "platform/fingerprint_set.h"

#include <algorithm>
#include <utility>

namespace heronworks::platform {

std::size_t FingerprintSet::find(Fingerprint value) const {
  std::size_t slot = home_of(value);
  while (slots_[slot] != kEmpty && slots_[slot] != value) slot = next(slot);
  return slot;
}

void FingerprintSet::insert(Fingerprint value) {
  if (4 * (size_ + 1) > 3 * slots_.size()) grow();
  Fingerprint& slot = slots_[find(stored(value))];
  if (slot == kEmpty) ++size_;
  slot = stored(value);
}

// Moves later values of the run back, so that none of them is cut off from its home by an empty slot.
void FingerprintSet::erase(Fingerprint value) {
  if (!contains(value)) return;
  std::size_t gap = find(stored(value));
  for (std::size_t slot = next(gap); slots_[slot] != kEmpty; slot = next(slot)) {
    const std::size_t mask = slots_.size() - 1;
    const bool home_is_behind_gap = ((slot - home_of(slots_[slot])) & mask) < ((slot - gap) & mask);
    if (home_is_behind_gap) continue;
    slots_[gap] = slots_[slot];
    gap = slot;
  }
  slots_[gap] = kEmpty;
  --size_;
}

void FingerprintSet::grow() {
  const std::vector<Fingerprint> old =
      std::exchange(slots_, std::vector<Fingerprint>(std::max(kMinSlots, 2 * slots_.size())));
  for (const Fingerprint value : old) {
    if (value != kEmpty) slots_[find(value)] = value;
  }
}

}  // namespace heronworks::platform
