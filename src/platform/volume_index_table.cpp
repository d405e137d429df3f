#include "platform/volume_index_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace heronworks::platform {

std::size_t VolumeIndexTable::NameHash::operator()(const VolumeName& name) const {
  return XXH3_64bits_withSeed(&name.volume, sizeof name.volume, static_cast<std::uint64_t>(name.plan));
}

std::optional<VolumeIndexTable::Assignment> VolumeIndexTable::acquire(VolumeName volume, double now) {
  const auto found = index_by_name_.find(volume);
  int index = found == index_by_name_.end() ? kNone : found->second;
  const bool reused = index == kNone;
  if (reused) {
    if (entries_.size() < kMaxVolumes) {
      index = static_cast<int>(entries_.size());
      entries_.emplace_back();
    } else {
      index = find_evictable(now);
      if (index == kNone) return std::nullopt;
      index_by_name_.erase(entries_[static_cast<std::size_t>(index)].volume);
      unlink(index);
    }
    Entry& entry = entries_[static_cast<std::size_t>(index)];
    entry = {};
    entry.volume = volume;
    index_by_name_.emplace(volume, index);
  } else {
    unlink(index);
  }
  link_last(index);
  ++entries_[static_cast<std::size_t>(index)].open_transactions;
  return Assignment{index, reused};
}

void VolumeIndexTable::spend(VolumeName volume, double now, double refill_seconds) {
  Entry& entry = entry_of(volume);
  entry.was_dispatched = true;
  entry.refilled_at = std::max(entry.refilled_at, now) + refill_seconds;
}

void VolumeIndexTable::release(VolumeName volume) {
  const int index = index_by_name_.at(volume);
  Entry& entry = entries_[static_cast<std::size_t>(index)];
  --entry.open_transactions;
  unlink(index);
  if (entry.open_transactions == 0 && !entry.was_dispatched) link_first(index);
  else link_last(index);
}

int VolumeIndexTable::find_evictable(double now) const {
  int index = first_;
  for (int i = 0; i < kMaxVolumesToSearch && index != kNone; ++i) {
    const Entry& entry = entries_[static_cast<std::size_t>(index)];
    if (entry.open_transactions == 0 && entry.refilled_at <= now) return index;
    index = entry.next;
  }
  return kNone;
}

void VolumeIndexTable::unlink(int index) {
  Entry& entry = entries_[static_cast<std::size_t>(index)];
  (entry.previous == kNone ? first_ : entries_[static_cast<std::size_t>(entry.previous)].next) = entry.next;
  (entry.next == kNone ? last_ : entries_[static_cast<std::size_t>(entry.next)].previous) = entry.previous;
  entry.previous = entry.next = kNone;
}

void VolumeIndexTable::link_first(int index) {
  entries_[static_cast<std::size_t>(index)].next = first_;
  (first_ == kNone ? last_ : entries_[static_cast<std::size_t>(first_)].previous) = index;
  first_ = index;
}

void VolumeIndexTable::link_last(int index) {
  entries_[static_cast<std::size_t>(index)].previous = last_;
  (last_ == kNone ? first_ : entries_[static_cast<std::size_t>(last_)].next) = index;
  last_ = index;
}

}  // namespace heronworks::platform
