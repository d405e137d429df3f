// Maps volumes to small indices.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace heronworks::platform {

// A volume id is scoped by its plan: the same id under another plan is another volume with token buckets of
// its own. Otherwise the plan of the first request would apply to all later requests of the volume.
struct VolumeName {
  std::uint64_t volume = 0;
  int plan = 0;
  auto operator<=>(const VolumeName&) const = default;
};

// Assigns an index to each volume, at most kMaxVolumes of them, as clients may name a new volume with each
// request. When the table is full, the least recently used volume is evicted if it has no open transaction
// and has been unused for the retention period. The retention must be long enough for a token bucket to
// refill, so that a volume that returns after its eviction has the same limit as before. While all volumes
// are in use, requests of new ones are rejected. A volume of which nothing was dispatched has spent no tokens
// and is evicted first, without a retention period.
//
// Call acquire() when a transaction arrives, retain() when it is dispatched and release() when the decision
// module has released it.
class VolumeIndexTable {
 public:
  static constexpr std::size_t kMaxVolumes = 4096;

  struct Assignment {
    int index = 0;
    bool reused = false;  // the index is new to this volume
  };

  explicit VolumeIndexTable(double retention) : retention_(retention) {}  // s

  // Returns nothing if the table is full and no volume can be evicted.
  std::optional<Assignment> acquire(double now, VolumeName volume) {
    auto found = by_name_.find(volume);
    bool reused = false;
    if (found == by_name_.end()) {
      int index = static_cast<int>(by_name_.size());
      if (by_name_.size() >= kMaxVolumes) {
        const auto& oldest = by_last_use_.front();
        const bool in_retention = oldest.retained && now < oldest.last_used_at + retention_;
        if (oldest.open_transactions > 0 || in_retention) return std::nullopt;
        index = oldest.index;
        by_name_.erase(oldest.volume);
        by_last_use_.pop_front();
      }
      by_last_use_.push_back({volume, index, 0, now, false});
      found = by_name_.emplace(volume, std::prev(by_last_use_.end())).first;
      reused = true;
    }
    const auto entry = found->second;
    entry->last_used_at = now;
    ++entry->open_transactions;
    by_last_use_.splice(by_last_use_.end(), by_last_use_, entry);
    return Assignment{entry->index, reused};
  }
  void retain(VolumeName volume) { by_name_.at(volume)->retained = true; }
  void release(double now, VolumeName volume) {
    const auto entry = by_name_.at(volume);
    entry->last_used_at = now;
    --entry->open_transactions;
    const bool evicted_first = entry->open_transactions == 0 && !entry->retained;
    by_last_use_.splice(evicted_first ? by_last_use_.begin() : by_last_use_.end(), by_last_use_, entry);
  }
  std::size_t size() const { return by_name_.size(); }

 private:
  struct Entry {
    VolumeName volume;
    int index;
    int open_transactions;
    double last_used_at;
    bool retained;  // a transaction was dispatched
  };
  const double retention_;
  std::list<Entry> by_last_use_;  // least recently used first
  std::map<VolumeName, std::list<Entry>::iterator> by_name_;
};

}  // namespace heronworks::platform
