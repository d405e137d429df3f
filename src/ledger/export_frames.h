// Framing of the export protocol: a length (u32, little endian) and a wire::Frame.
#pragma once

#include <cstring>
#include <span>

#include "ledger/ledger.pb.h"

namespace heronworks::ledger {

inline constexpr std::uint32_t kMaxFrameBytes = 1 << 20;

inline std::string encode_frame(const wire::Frame& frame) {
  const std::string body = frame.SerializeAsString();
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string out(4, '\0');
  std::memcpy(out.data(), &size, 4);
  return out + body;
}

// Calls `on_frame` for each complete frame. Returns the number of bytes consumed, or SIZE_MAX if the bytes
// are malformed or a frame is larger than kMaxFrameBytes.
template <typename OnFrame>
std::size_t decode_frames(std::span<const std::uint8_t> bytes, OnFrame on_frame) {
  std::size_t used = 0;
  while (bytes.size() - used >= 4) {
    std::uint32_t size = 0;
    std::memcpy(&size, bytes.data() + used, 4);
    if (size > kMaxFrameBytes) return SIZE_MAX;
    if (bytes.size() - used - 4 < size) break;
    wire::Frame frame;
    if (!frame.ParseFromArray(bytes.data() + used + 4, static_cast<int>(size))) return SIZE_MAX;
    used += 4 + size;
    on_frame(frame);
  }
  return used;
}

}  // namespace heronworks::ledger
