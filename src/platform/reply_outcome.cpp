#include "platform/reply_outcome.h"

namespace heronworks::platform {
namespace {

// Whether `bytes` begin with the head, and with what there is of the body, of another copy of `reply`.
bool begins_with_copy(const http::Message& reply, std::span<const std::uint8_t> bytes) {
  http::Reader reader(http::MessageKind::kResponse, kReplyLimits);
  reader.put(bytes);
  if (reader.error() != http::ParseError::kNone || !reader.head_done()) return false;
  if (reader.message().status != reply.status || reader.message().fields != reply.fields) return false;
  if (reader.done()) return reader.message().body == reply.body;
  return reply.body.starts_with(reader.take_body());
}

}  // namespace

Outcome outcome_of(const http::Message& reply, std::span<const std::uint8_t> excess) {
  if (!excess.empty() && !begins_with_copy(reply, excess)) return Outcome::kError;
  if (reply.status == 200) return Outcome::kSucceeded;
  const std::string* rejected = reply.find_field("X-Rejected");
  if ((reply.status == 503 || reply.status == 504) && rejected && *rejected == "1") {
    return Outcome::kQueueFull;
  }
  return Outcome::kError;
}

}  // namespace heronworks::platform
