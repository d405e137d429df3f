// The bytes of one shard, in a mapped sparse file, so that a process that replaces another finds them; and
// the meter, a mapped file in which all nodes count what they served.
#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "lab/day.h"

namespace heronworks::lab {

class Mapping {
 public:
  Mapping(const std::string& path,
          std::size_t bytes);  // created and sized at need; throws std::runtime_error
  ~Mapping();
  Mapping(const Mapping&) = delete;
  Mapping& operator=(const Mapping&) = delete;
  std::uint8_t* data() const { return data_; }

 private:
  std::uint8_t* data_ = nullptr;
  std::size_t bytes_ = 0;
};

class Disk {
 public:
  Disk(const std::string& path, const Day& day, int shard);
  // Whether volume and blocks lie on this shard; then where.
  std::optional<std::span<std::uint8_t>> at(int volume, std::uint64_t lba, std::uint32_t blocks) const;
  // Finds room for new blocks in a zone of this shard, from zone `hint` on, and takes it.
  std::optional<std::uint64_t> append(int volume, std::uint32_t blocks, std::uint64_t hint);

 private:
  const Day& day_;
  const int shard_;
  const std::uint64_t zones_here_;  // of each volume
  const std::uint64_t zone_bytes_;
  const std::size_t table_;  // bytes of the write pointers before the blocks
  Mapping mapping_;
};

// Units served for each volume in each second, by all nodes.
class Meter {
 public:
  Meter(const std::string& path, const Day& day);
  void add(int volume, double t, std::uint32_t units);
  std::uint32_t in_second(int volume, long second) const;

 private:
  static constexpr long kSeconds = 16;  // a ring: older ones are overwritten
  struct Cell {
    std::atomic<std::int64_t> second;
    std::atomic<std::uint32_t> units;
  };
  Cell& cell(int volume, long second) const;
  Mapping mapping_;
};

}  // namespace heronworks::lab
