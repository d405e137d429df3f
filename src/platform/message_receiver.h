// Receives HTTP messages on one connection within the memory budget.
#pragma once

#include <memory>

#include "http/reader.h"
#include "platform/memory_budget.h"

namespace heronworks::platform {

// A complete message and what it accounts for in the budget. A body may outlive the connection on which it
// was received, as long as it is being sent on.
struct HeldMessage {
  http::Message message;
  MemoryCharge charge;
};
using HeldMessagePtr = std::shared_ptr<const HeldMessage>;

// Reads one message after the other. Ask read_allowance() before each read of the socket. Memory for a body
// of known length is accounted for and allocated at once, so that no copy is made while it grows, and two
// bodies of which each has a part do not wait for each other.
class MessageReceiver {
 public:
  MessageReceiver(http::MessageKind kind, http::MessageLimits limits, MemoryBudget& budget, MemoryUse use)
      : kind_(kind), limits_(limits), reader_(kind, limits), charge_(budget, use) {}

  // The number of bytes that may be read now; 0: the budget has no room.
  std::size_t read_allowance();
  // As Reader::put() and Reader::put_eof().
  std::size_t put(std::span<const std::uint8_t> bytes) { return reader_.put(bytes); }
  bool put_eof() { return reader_.put_eof(); }
  // Accounts for what has been put, and for `unconsumed` bytes that were not. try_account() does nothing and
  // returns false if there is no room for it.
  void account(std::size_t unconsumed);
  bool try_account(std::size_t unconsumed);
  // Reads on until the message is complete, whether the budget has room or not.
  void ignore_budget() { ignores_budget_ = true; }
  bool ignores_budget() const { return ignores_budget_; }
  HeldMessagePtr take_message();
  // Discards what has been put, and prepares for another message.
  void reset();

  const http::Reader& reader() const { return reader_; }

 private:
  std::size_t room() const { return ignores_budget_ ? SIZE_MAX : charge_.room(); }
  std::size_t head_allowance() const;
  std::size_t body_allowance();
  bool grow_body(std::size_t capacity);

  const http::MessageKind kind_;
  const http::MessageLimits limits_;
  http::Reader reader_;
  MemoryCharge charge_;
  bool ignores_budget_ = false;
};

}  // namespace heronworks::platform
