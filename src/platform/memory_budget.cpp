#include "platform/memory_budget.h"

#include <algorithm>

namespace heronworks::platform {
namespace {

std::size_t difference_or_zero(std::size_t a, std::size_t b) { return a > b ? a - b : 0; }

}  // namespace

MemoryBudget::MemoryBudget(double memory_bytes, std::size_t max_connections)
    : memory_bytes_(memory_bytes > 0 ? memory_bytes : kDefaultMemoryBytes),
      requests_(make_part(kRequestFraction * memory_bytes_, max_connections)),
      replies_(make_part(kReplyFraction * memory_bytes_, max_connections)) {}

MemoryBudget::Part MemoryBudget::make_part(double bytes, std::size_t max_connections) {
  Part part;
  part.limit = std::max(static_cast<std::size_t>(bytes), kMinPartBytes);
  const auto for_small = static_cast<std::size_t>(kSmallFraction * static_cast<double>(part.limit));
  part.limit_for_large = part.limit - for_small;
  part.small = for_small / std::max<std::size_t>(max_connections, 1);
  return part;
}

std::size_t MemoryBudget::part_in_use(MemoryUse use) const {
  if (use == MemoryUse::kReply) return bytes_in_use(use);
  return bytes_in_use(MemoryUse::kRequest) + bytes_in_use(MemoryUse::kReadAhead);
}

std::size_t MemoryBudget::room(MemoryUse use, std::size_t held) const {
  const Part& part = part_of(use);
  const std::size_t in_use = part_in_use(use);
  const std::size_t for_large = difference_or_zero(part.limit_for_large, in_use);
  if (use == MemoryUse::kReadAhead) {
    const auto read_ahead_limit = std::min(
        static_cast<std::size_t>(kReadAheadFraction * static_cast<double>(part.limit)), kMaxReadAheadBytes);
    return std::min(for_large, difference_or_zero(read_ahead_limit, bytes_in_use(use)));
  }
  const std::size_t for_small =
      std::min(difference_or_zero(part.limit, in_use), difference_or_zero(part.small, held));
  return std::max(for_large, for_small);
}

void MemoryBudget::resize(MemoryUse use, std::size_t before, std::size_t after) {
  std::size_t& in_use = in_use_[static_cast<std::size_t>(use)];
  in_use = in_use - before + after;
}

}  // namespace heronworks::platform
