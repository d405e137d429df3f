// Storage of one shard and the usage meter of all nodes, in memory-mapped files that survive a restart of
// the process.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "lab/scenario.h"

namespace heronworks::lab {

class MappedFile {
 public:
  MappedFile(const std::string& path,
             std::size_t bytes);  // creates the file if needed; throws std::runtime_error
  ~MappedFile();
  MappedFile(const MappedFile&) = delete;
  MappedFile& operator=(const MappedFile&) = delete;
  std::uint8_t* data() const { return data_; }

 private:
  std::uint8_t* data_ = nullptr;
  std::size_t bytes_ = 0;
};

class ShardStorage {
 public:
  ShardStorage(const std::string& path, const Scenario& scenario, int shard);
  // Returns the bytes of the blocks, or nothing if they are not on this shard.
  std::optional<std::span<std::uint8_t>> blocks_at(int volume, std::uint64_t lba, std::uint32_t blocks) const;
  // Appends to the first zone with enough room, starting with zone `hint`, and returns the first LBA.
  std::optional<std::uint64_t> append(int volume, std::uint32_t blocks, std::uint64_t hint);

 private:
  const Scenario& scenario_;
  const int shard_;
  const std::uint64_t zones_per_volume_;  // on this shard
  const std::uint64_t zone_bytes_;
  const std::size_t blocks_offset_;  // bytes of the zone write pointers, which precede the blocks
  MappedFile file_;
};

// Units served per volume and second, summed over all nodes.
class UsageMeter {
 public:
  UsageMeter(const std::string& path, const Scenario& scenario);
  void add(int volume, double t, std::uint32_t units);
  std::uint32_t in_second(int volume, long second) const;

 private:
  static constexpr long kRingSeconds = 16;  // ring buffer
  struct Cell {
    std::atomic<std::int64_t> second;
    std::atomic<std::uint32_t> units;
  };
  Cell& cell(int volume, long second) const;
  MappedFile file_;
};

}  // namespace heronworks::lab
