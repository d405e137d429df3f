// What can be told of a request that is not read yet: its place in the order of its key, and when it arrived.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "http/reader.h"
#include "loop/stream.h"

namespace heronworks::platform {

// Looks at the next request of a connection while it waits, for memory or behind an open request. Nothing is
// consumed, and nothing is kept but its key, its size and its arrival.
class UnreadRequest {
 public:
  // Returns the key of a request whose class keeps order by key.
  using OrderKey = std::function<std::optional<std::uint64_t>(const http::Message& head)>;

  // `reader`: has received the begin of the request. `unconsumed`: what the connection holds behind that; the
  // rest is unread on `stream`. `buffer`: for what is peeked at, overwritten.
  void look(const http::Reader& reader, std::span<const std::uint8_t> unconsumed, const Stream& stream,
            const http::MessageLimits& limits, std::span<std::uint8_t> buffer, const OrderKey& order_key);
  // Forgets the request: it has been read, or is not going to be.
  void reset() { *this = {}; }

  // nullopt: it keeps no order, or its head has not arrived.
  std::optional<std::uint64_t> key() const { return key_; }
  // When its last byte arrived; nullopt: that is not known to have arrived. A chunked body counts as complete
  // once what has arrived ends like one.
  std::optional<ArrivalTime> arrival() const { return arrival_; }

 private:
  void look_at_head(const http::Reader& reader, std::span<const std::uint8_t> unconsumed,
                    const Stream& stream, const http::MessageLimits& limits, std::span<std::uint8_t> buffer,
                    const OrderKey& order_key);
  bool ends_like_chunked(std::span<const std::uint8_t> unconsumed, std::size_t unread, const Stream& stream,
                         std::span<std::uint8_t> buffer) const;

  bool head_known_ = false;
  std::optional<std::uint64_t> key_;
  std::optional<std::size_t> size_;  // bytes behind what `reader` has received; nullopt: chunked
  std::optional<ArrivalTime> arrival_;
  std::size_t seen_bytes_ = 0;  // that had arrived at the last look
};

}  // namespace heronworks::platform
