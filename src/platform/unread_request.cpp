#include "platform/unread_request.h"

#include <algorithm>
#include <string_view>
#include <vector>

namespace heronworks::platform {
namespace {

constexpr std::string_view kLastChunk = "0\r\n\r\n";  // RFC 9112, 7.1, without trailer fields

}  // namespace

void UnreadRequest::look(const http::Reader& reader, std::span<const std::uint8_t> unconsumed,
                         const Stream& stream, const http::MessageLimits& limits,
                         std::span<std::uint8_t> buffer, const OrderKey& order_key) {
  if (arrival_) return;
  const std::size_t unread = stream.unread_bytes();
  const std::size_t arrived = unconsumed.size() + unread;
  if (arrived == seen_bytes_) return;
  seen_bytes_ = arrived;
  if (!head_known_) look_at_head(reader, unconsumed, stream, limits, buffer, order_key);
  if (!head_known_) return;
  if (!size_ && !ends_like_chunked(unconsumed, unread, stream, buffer)) return;
  const std::size_t size = size_.value_or(arrived);
  if (arrived < size) return;
  arrival_ = size <= unconsumed.size() ? stream.last_arrival()
                                       : stream.arrival_of_unread(size - unconsumed.size(), buffer);
}

void UnreadRequest::look_at_head(const http::Reader& reader, std::span<const std::uint8_t> unconsumed,
                                 const Stream& stream, const http::MessageLimits& limits,
                                 std::span<std::uint8_t> buffer, const OrderKey& order_key) {
  if (reader.head_done() && !reader.done()) {
    head_known_ = true;
    key_ = order_key(reader.message());
    size_ = reader.missing_body_bytes();
    return;
  }
  const auto front = unconsumed.first(std::min(unconsumed.size(), limits.head_bytes));
  std::vector<std::uint8_t> bytes(front.begin(), front.end());
  if (front.size() == unconsumed.size()) {
    const auto space = buffer.first(std::min(buffer.size(), limits.head_bytes - front.size()));
    bytes.insert(bytes.end(), space.begin(), space.begin() + static_cast<std::ptrdiff_t>(stream.peek(space)));
  }
  http::Reader head_reader(http::MessageKind::kRequest, limits);
  const std::size_t used = head_reader.put(bytes);
  head_known_ = head_reader.head_done() || head_reader.error() != http::ParseError::kNone;
  if (!head_reader.head_done() || head_reader.error() != http::ParseError::kNone) return;
  key_ = order_key(head_reader.message());
  if (head_reader.done()) size_ = used;
  else if (const auto missing = head_reader.missing_body_bytes()) size_ = used + *missing;
}

bool UnreadRequest::ends_like_chunked(std::span<const std::uint8_t> unconsumed, std::size_t unread,
                                      const Stream& stream, std::span<std::uint8_t> buffer) const {
  std::string end(
      unconsumed.end() - static_cast<std::ptrdiff_t>(std::min(unconsumed.size(), kLastChunk.size())),
      unconsumed.end());
  if (unread > buffer.size()) return false;
  const std::size_t peeked = stream.peek(buffer);
  end.append(buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(peeked));
  return end.ends_with(kLastChunk);
}

}  // namespace heronworks::platform
