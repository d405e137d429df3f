// A set of 64-bit fingerprints that takes little memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace heronworks::platform {

// Open addressing with linear probing, at most half full: 16 to 32 bytes for each fingerprint. The values
// have to be evenly distributed, as those of a hash function are.
class FingerprintSet {
 public:
  using Fingerprint = std::uint64_t;

  bool contains(Fingerprint value) const { return !slots_.empty() && slots_[find(stored(value))] != kEmpty; }
  // Inserting what is there, and erasing what is not, has no effect.
  void insert(Fingerprint value);
  void erase(Fingerprint value);
  std::size_t size() const { return size_; }

 private:
  static constexpr Fingerprint kEmpty = 0;
  static constexpr std::size_t kMinSlots = 64;

  // 0 marks empty slots, and shares the fingerprint 1.
  static Fingerprint stored(Fingerprint value) { return value == kEmpty ? 1 : value; }
  std::size_t home_of(Fingerprint value) const {
    return static_cast<std::size_t>(value) & (slots_.size() - 1);
  }
  std::size_t next(std::size_t slot) const { return (slot + 1) & (slots_.size() - 1); }
  // The slot of the value, or the empty one where it belongs.
  std::size_t find(Fingerprint value) const;
  void grow();

  std::vector<Fingerprint> slots_;  // a power of 2 of them
  std::size_t size_ = 0;
};

}  // namespace heronworks::platform
