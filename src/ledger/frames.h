// Frames of the export: a length (u32, little endian) and a wire::Frame.
#pragma once

#include <cstring>
#include <span>

#include "ledger/ledger.pb.h"

namespace heronworks::ledger {

inline constexpr std::uint32_t kMostFrame = 1 << 20;  // bytes

inline std::string framed(const wire::Frame& f) {
  const std::string body = f.SerializeAsString();
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string out(4, '\0');
  std::memcpy(out.data(), &size, 4);
  return out + body;
}

// Hands over each whole frame; returns how many bytes were used, or SIZE_MAX if they are no frames.
template <typename Each>
std::size_t unframe(std::span<const std::uint8_t> bytes, Each each) {
  std::size_t used = 0;
  while (bytes.size() - used >= 4) {
    std::uint32_t size = 0;
    std::memcpy(&size, bytes.data() + used, 4);
    if (size > kMostFrame) return SIZE_MAX;
    if (bytes.size() - used - 4 < size) break;
    wire::Frame f;
    if (!f.ParseFromArray(bytes.data() + used + 4, static_cast<int>(size))) return SIZE_MAX;
    used += 4 + size;
    each(f);
  }
  return used;
}

}  // namespace heronworks::ledger
