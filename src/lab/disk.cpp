// Bytes and meter in mapped files: see disk.h.
#include "lab/disk.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace heronworks::lab {

Mapping::Mapping(const std::string& path, std::size_t bytes) : bytes_(bytes) {
  Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!fd || ::ftruncate(fd.get(), static_cast<off_t>(bytes)) != 0)
    throw std::runtime_error("cannot map " + path);
  void* p = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, fd.get(), 0);
  if (p == MAP_FAILED) throw std::runtime_error("cannot map " + path);
  data_ = static_cast<std::uint8_t*>(p);
}

Mapping::~Mapping() { ::munmap(data_, bytes_); }

Disk::Disk(const std::string& path, const Day& day, int shard)
    : day_(day),
      shard_(shard),
      zones_here_(day.zones_a_volume / static_cast<std::uint32_t>(day.nodes)),
      zone_bytes_(std::uint64_t{day.zone_blocks} * day.block_bytes),
      table_((static_cast<std::size_t>(day.volumes()) * zones_here_ * 4 + 4095) / 4096 * 4096),
      mapping_(path, table_ + static_cast<std::size_t>(day.volumes()) * zones_here_ * zone_bytes_) {}

std::optional<std::span<std::uint8_t>> Disk::at(int volume, std::uint64_t lba, std::uint32_t blocks) const {
  const std::uint64_t zone = lba / day_.zone_blocks;
  const auto nodes = static_cast<std::uint64_t>(day_.nodes);
  if (volume < 0 || volume >= day_.volumes() || zone >= day_.zones_a_volume ||
      zone % nodes != static_cast<std::uint64_t>(shard_) ||
      lba % day_.zone_blocks + blocks > day_.zone_blocks)
    return std::nullopt;
  const std::uint64_t index = static_cast<std::uint64_t>(volume) * zones_here_ + zone / nodes;
  return std::span(mapping_.data() + table_ + index * zone_bytes_ + lba % day_.zone_blocks * day_.block_bytes,
                   std::size_t{blocks} * day_.block_bytes);
}

std::optional<std::uint64_t> Disk::append(int volume, std::uint32_t blocks, std::uint64_t hint) {
  if (volume < 0 || volume >= day_.volumes() || blocks > day_.zone_blocks) return std::nullopt;
  // The lower half of a volume's zones here is for writes in place.
  const std::uint64_t first = zones_here_ / 2;
  for (std::uint64_t i = 0; i < zones_here_ - first; ++i) {
    const std::uint64_t own = first + (hint + i) % (zones_here_ - first);
    std::uint8_t* place = mapping_.data() + (static_cast<std::uint64_t>(volume) * zones_here_ + own) * 4;
    std::uint32_t used = 0;
    std::memcpy(&used, place, 4);
    if (used + blocks > day_.zone_blocks) continue;
    const std::uint32_t next = used + blocks;
    std::memcpy(place, &next, 4);
    return (own * static_cast<std::uint64_t>(day_.nodes) + static_cast<std::uint64_t>(shard_)) *
               day_.zone_blocks +
           used;
  }
  return std::nullopt;
}

Meter::Meter(const std::string& path, const Day& day)
    : mapping_(path, static_cast<std::size_t>(day.volumes()) * kSeconds * sizeof(Cell)) {}

Meter::Cell& Meter::cell(int volume, long second) const {
  return reinterpret_cast<Cell*>(mapping_.data())[static_cast<long>(volume) * kSeconds + (second % kSeconds)];
}

void Meter::add(int volume, double t, std::uint32_t units) {
  const long second = static_cast<long>(t);
  Cell& c = cell(volume, second);
  if (c.second.exchange(second) != second) c.units = 0;
  c.units += units;
}

std::uint32_t Meter::in_second(int volume, long second) const {
  const Cell& c = cell(volume, second);
  return c.second == second ? c.units.load() : 0;
}

}  // namespace heronworks::lab
