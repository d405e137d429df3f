// The call ids that a request may not carry, because another request carried them before.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "platform/fingerprint_set.h"

namespace heronworks::platform {

// By the platform's protocol each request, and each retry of a client, has a call id of its own. An id is
// known from the moment its request is taken until `retention` seconds after the transaction has ended, when
// no dispatch of it can reach a node any more.
//
// Ended transactions are bounded in number: beyond it the oldest is forgotten early. Those that were
// dispatched are counted apart, so that ids of requests that were refused at once do not displace them.
class CallIdTable {
 public:
  static constexpr std::size_t kMaxDispatched = 8192;
  static constexpr std::size_t kMaxNotDispatched = 2048;

  // `seed`: secret, so that clients cannot construct ids that are taken for one another.
  CallIdTable(double retention, std::uint64_t seed) : retention_(retention), seed_(seed) {}

  bool contains(double now, std::string_view id);
  // A transaction with this id begins.
  void begin(std::string_view id);
  // It has ended: it is answered or its client has left, and no dispatch of it is in flight.
  void end(double now, std::string_view id, bool was_dispatched);
  std::size_t size() const { return known_.size(); }

 private:
  // Of an id; keeps the table small, whatever the ids' length.
  using Fingerprint = FingerprintSet::Fingerprint;
  struct Ended {
    Fingerprint id = 0;
    double forget_at = 0;
  };
  // The longest ended first.
  using EndedQueue = std::deque<Ended>;

  Fingerprint fingerprint(std::string_view id) const;
  void forget_ended(double now, EndedQueue& ended);
  void forget_first(EndedQueue& ended);

  const double retention_;  // s
  const std::uint64_t seed_;
  FingerprintSet known_;  // of open transactions and those in the queues
  EndedQueue dispatched_;
  EndedQueue not_dispatched_;
};

}  // namespace heronworks::platform
