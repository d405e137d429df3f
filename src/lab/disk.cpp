#include "lab/disk.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace heronworks::lab {

MappedFile::MappedFile(const std::string& path, std::size_t bytes) : bytes_(bytes) {
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!fd || ::ftruncate(fd.get(), static_cast<off_t>(bytes)) != 0)
    throw std::runtime_error("cannot map " + path);
  void* p = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, fd.get(), 0);
  if (p == MAP_FAILED) throw std::runtime_error("cannot map " + path);
  data_ = static_cast<std::uint8_t*>(p);
}

MappedFile::~MappedFile() { ::munmap(data_, bytes_); }

ShardStorage::ShardStorage(const std::string& path, const Scenario& scenario, int shard)
    : scenario_(scenario),
      shard_(shard),
      zones_per_volume_(scenario.zones_per_volume / static_cast<std::uint32_t>(scenario.nodes)),
      zone_bytes_(std::uint64_t{scenario.zone_blocks} * scenario.block_bytes),
      blocks_offset_((static_cast<std::size_t>(scenario.volumes()) * zones_per_volume_ * 4 + 4095) / 4096 *
                     4096),
      file_(path, blocks_offset_ +
                      static_cast<std::size_t>(scenario.volumes()) * zones_per_volume_ * zone_bytes_) {}

std::optional<std::span<std::uint8_t>> ShardStorage::blocks_at(int volume, std::uint64_t lba,
                                                               std::uint32_t blocks) const {
  const std::uint64_t zone = lba / scenario_.zone_blocks;
  const auto nodes = static_cast<std::uint64_t>(scenario_.nodes);
  if (volume < 0 || volume >= scenario_.volumes() || zone >= scenario_.zones_per_volume ||
      zone % nodes != static_cast<std::uint64_t>(shard_) ||
      lba % scenario_.zone_blocks + blocks > scenario_.zone_blocks)
    return std::nullopt;
  const std::uint64_t index = static_cast<std::uint64_t>(volume) * zones_per_volume_ + zone / nodes;
  return std::span(file_.data() + blocks_offset_ + index * zone_bytes_ +
                       lba % scenario_.zone_blocks * scenario_.block_bytes,
                   std::size_t{blocks} * scenario_.block_bytes);
}

std::optional<std::uint64_t> ShardStorage::append(int volume, std::uint32_t blocks, std::uint64_t hint) {
  if (volume < 0 || volume >= scenario_.volumes() || blocks > scenario_.zone_blocks) return std::nullopt;
  // The lower half of a volume's zones on this shard is reserved for in-place writes.
  const std::uint64_t first = zones_per_volume_ / 2;
  for (std::uint64_t i = 0; i < zones_per_volume_ - first; ++i) {
    const std::uint64_t zone_index = first + (hint + i) % (zones_per_volume_ - first);
    std::uint8_t* write_pointer =
        file_.data() + (static_cast<std::uint64_t>(volume) * zones_per_volume_ + zone_index) * 4;
    std::uint32_t used = 0;
    std::memcpy(&used, write_pointer, 4);
    if (used + blocks > scenario_.zone_blocks) continue;
    const std::uint32_t next = used + blocks;
    std::memcpy(write_pointer, &next, 4);
    return (zone_index * static_cast<std::uint64_t>(scenario_.nodes) + static_cast<std::uint64_t>(shard_)) *
               scenario_.zone_blocks +
           used;
  }
  return std::nullopt;
}

UsageMeter::UsageMeter(const std::string& path, const Scenario& scenario)
    : file_(path, static_cast<std::size_t>(scenario.volumes()) * kRingSeconds * sizeof(Cell)) {}

UsageMeter::Cell& UsageMeter::cell(int volume, long second) const {
  return reinterpret_cast<Cell*>(
      file_.data())[static_cast<long>(volume) * kRingSeconds + (second % kRingSeconds)];
}

void UsageMeter::add(int volume, double t, std::uint32_t units) {
  const long second = static_cast<long>(t);
  Cell& c = cell(volume, second);
  if (c.second.exchange(second) != second) c.units = 0;
  c.units += units;
}

std::uint32_t UsageMeter::in_second(int volume, long second) const {
  const Cell& c = cell(volume, second);
  return c.second == second ? c.units.load() : 0;
}

}  // namespace heronworks::lab
