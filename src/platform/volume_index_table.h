// Maps volumes to small indices.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace heronworks::platform {

// A volume id is scoped by its plan: the same id under another plan is another volume with token buckets of
// its own. Otherwise the plan of the first request would apply to all later requests of the volume.
struct VolumeName {
  std::uint64_t volume = 0;
  int plan = 0;
  bool operator==(const VolumeName&) const = default;
};

// Assigns an index to each volume, at most kMaxVolumes of them, as clients may name a new volume with each
// request. When the table is full, a volume without an open transaction is evicted, the least recently used
// first; one of which nothing was dispatched before all others. A volume that has spent tokens of its limit
// stays until they have been refilled, so that it has the same limit if it returns. While there is none to
// evict, requests of new volumes are rejected.
//
// Call acquire() when a transaction arrives, spend() when it is dispatched and release() when the decision
// module has released it.
class VolumeIndexTable {
 public:
  static constexpr std::size_t kMaxVolumes = 4096;

  struct Assignment {
    int index = 0;
    bool reused = false;  // the index is new to this volume
  };

  // Returns nothing if the table is full and no volume can be evicted.
  std::optional<Assignment> acquire(VolumeName volume, double now);
  // Tokens of the volume were spent that take `refill_seconds` to be refilled; 0: it has no limit.
  void spend(VolumeName volume, double now, double refill_seconds);
  void release(VolumeName volume);
  std::size_t size() const { return index_by_name_.size(); }

 private:
  static constexpr int kNone = -1;
  // An eviction looks at so many of the least recently used volumes.
  static constexpr int kMaxVolumesToSearch = 64;

  struct Entry {
    VolumeName volume;
    double refilled_at = 0;  // when the tokens spent are there again
    int open_transactions = 0;
    int previous = kNone;  // in order of use, the least recently used first
    int next = kNone;
    bool was_dispatched = false;
  };
  struct NameHash {
    std::size_t operator()(const VolumeName& name) const;
  };

  Entry& entry_of(VolumeName volume) { return entries_[static_cast<std::size_t>(index_by_name_.at(volume))]; }
  int find_evictable(double now) const;
  void unlink(int index);
  void link_first(int index);
  void link_last(int index);

  std::deque<Entry> entries_;  // by index; grows without being copied
  std::unordered_map<VolumeName, int, NameHash> index_by_name_;
  int first_ = kNone;
  int last_ = kNone;
};

}  // namespace heronworks::platform
