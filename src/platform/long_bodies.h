// What long bodies may hold of the process's memory, all together: decisions only.
//
// How to call it: `resize` as a body grows or goes, with the bytes it held and holds now; where it says no,
// nothing changed and the body must go. Bodies up to kShort are bounded by the connections that there may be.
// Danger: a hundred peers send long bodies at once, and the process is killed for its memory. May hurt long
// ones that come together: those beyond are turned back.
#pragma once

#include <algorithm>
#include <cstddef>

namespace heronworks::platform {

class LongBodies {
 public:
  static constexpr std::size_t kShort = std::size_t{64} << 10;   // bytes that any body may have
  static constexpr std::size_t kLongest = std::size_t{1} << 20;  // of one; the protocol names none
  static constexpr double kPart = 0.1;  // of the memory; a body is copied twice on its way
  static constexpr std::size_t kLeast = 4 * kLongest;

  explicit LongBodies(double memory) : most_(std::max(static_cast<std::size_t>(kPart * memory), kLeast)) {}

  bool resize(std::size_t before, std::size_t now) {
    const std::size_t sum = held_ - beyond(before) + beyond(now);
    if (sum > most_ && now > before) return false;
    held_ = sum;
    return true;
  }
  std::size_t held() const { return held_; }  // beyond kShort of each

 private:
  static std::size_t beyond(std::size_t body) { return body > kShort ? body - kShort : 0; }
  const std::size_t most_;
  std::size_t held_ = 0;
};

}  // namespace heronworks::platform
