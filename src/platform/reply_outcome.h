// Decides what a node's reply says about the dispatch that it answers. Free of I/O.
#pragma once

#include <cstdint>
#include <span>

#include "http/reader.h"
#include "platform/memory_budget.h"
#include "state.h"

namespace heronworks::platform {

inline constexpr http::MessageLimits kReplyLimits{8192, MemoryBudget::kMaxBodyBytes, 64};

// The outcome of a dispatch with this complete reply. `excess` are the bytes that were received behind it,
// before the reply was used.
//
// Excess bytes mean that the reply's length is too small and its body cut off, or that the node sent more
// than the reply. A second copy of the reply shows the latter. Anything else cannot be told apart, so such a
// reply is an error that may have executed, whatever its status.
Outcome outcome_of(const http::Message& reply, std::span<const std::uint8_t> excess);

}  // namespace heronworks::platform
