#include "platform/message_receiver.h"

#include <algorithm>

namespace heronworks::platform {
namespace {

constexpr std::size_t kHeadReadBytes = std::size_t{8} << 10;
constexpr std::size_t kBodyReadBytes = std::size_t{64} << 10;
constexpr std::size_t kMinReadBytes = 256;
constexpr std::size_t kMinBodyGrowthBytes = std::size_t{4} << 10;
constexpr std::size_t kBodyGrowthDivisor = 4;  // a body of unknown length grows by this part of its memory
// A parsed head takes more memory than its bytes on the wire.
constexpr std::size_t kParsedHeadFactor = 2;

}  // namespace

std::size_t MessageReceiver::read_allowance() {
  if (reader_.done()) return kHeadReadBytes;
  return reader_.head_done() ? body_allowance() : head_allowance();
}

std::size_t MessageReceiver::head_allowance() const {
  const std::size_t bytes = std::min(kHeadReadBytes, room() / kParsedHeadFactor);
  return bytes < kMinReadBytes ? 0 : bytes;
}

std::size_t MessageReceiver::body_allowance() {
  const std::size_t capacity = reader_.body_capacity();
  const std::size_t received = reader_.buffered_body_bytes();
  if (const auto missing = reader_.missing_body_bytes()) {
    if (!grow_body(received + *missing)) return 0;
    return std::clamp(*missing, kMinReadBytes, kBodyReadBytes);
  }
  // Beyond the limit there has to be room to see that the body exceeds it.
  const std::size_t max_capacity = limits_.body_bytes + kMinBodyGrowthBytes;
  if (capacity < received + kMinReadBytes) {
    const std::size_t growth = std::min(std::max(capacity / kBodyGrowthDivisor, kMinBodyGrowthBytes), room());
    if (growth < kMinReadBytes || !grow_body(std::min(capacity + growth, max_capacity))) return 0;
  }
  return std::clamp(reader_.body_capacity() - received, kMinReadBytes, kBodyReadBytes);
}

// Returns false if the budget has no room for that capacity.
bool MessageReceiver::grow_body(std::size_t capacity) {
  const std::size_t before = reader_.body_capacity();
  if (capacity <= before) return true;
  if (capacity - before > room()) return false;
  charge_.set(charge_.bytes() + capacity - before);
  reader_.reserve_body(capacity);
  return true;
}

void MessageReceiver::account(std::size_t unconsumed) { charge_.set(reader_.memory_bytes() + unconsumed); }

bool MessageReceiver::try_account(std::size_t unconsumed) {
  return charge_.try_set(reader_.memory_bytes() + unconsumed);
}

HeldMessagePtr MessageReceiver::take_message() {
  http::Message message = reader_.take_message();
  charge_.set(message.memory_bytes());
  auto held = std::make_shared<const HeldMessage>(HeldMessage{std::move(message), std::move(charge_)});
  reset();
  return held;
}

void MessageReceiver::reset() {
  reader_ = http::Reader(kind_, limits_);
  charge_.set(0);
  ignores_budget_ = false;
}

}  // namespace heronworks::platform
