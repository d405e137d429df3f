// Limits the memory that large message bodies use together.
#pragma once

#include <algorithm>
#include <cstddef>

namespace heronworks::platform {

// Guards against running out of memory when many peers send large bodies at the same time. Only the bytes
// beyond kSmallBodyBytes of each body count; smaller bodies are bounded by the number of connections. Large
// bodies that come together are discarded beyond the budget.
//
// Call resize() whenever a body grows or is freed. If it returns false, the body must be discarded.
class LargeBodyBudget {
 public:
  static constexpr std::size_t kSmallBodyBytes = std::size_t{64} << 10;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
  static constexpr double kMemoryFraction = 0.1;  // a body is copied twice while it is forwarded
  static constexpr std::size_t kMinBudgetBytes = 4 * kMaxBodyBytes;

  explicit LargeBodyBudget(double memory_bytes)
      : limit_(std::max(static_cast<std::size_t>(kMemoryFraction * memory_bytes), kMinBudgetBytes)) {}

  // Accounts for one body that changes from `before` to `now` bytes. Returns false, without any change, if it
  // would grow beyond the budget.
  bool resize(std::size_t before, std::size_t now) {
    const std::size_t sum = bytes_in_use_ - counted_bytes(before) + counted_bytes(now);
    if (sum > limit_ && now > before) return false;
    bytes_in_use_ = sum;
    return true;
  }
  std::size_t bytes_in_use() const { return bytes_in_use_; }

 private:
  static std::size_t counted_bytes(std::size_t body) {
    return body > kSmallBodyBytes ? body - kSmallBodyBytes : 0;
  }
  const std::size_t limit_;
  std::size_t bytes_in_use_ = 0;
};

}  // namespace heronworks::platform
