// Converts a client's HTTP request to a transaction.
#pragma once

#include <variant>

#include "http/message.h"
#include "platform/config.h"

namespace heronworks::platform {

struct ParsedRequest {
  std::string call_id;  // assigned by the client
  std::uint64_t volume = 0;
  Transaction transaction;  // without the volume's index
};

struct RequestError {
  int status = 0;      // of the HTTP response
  std::string reason;  // the field at fault; sent as the response's body
};

std::variant<ParsedRequest, RequestError> parse_request(const http::Message& request, const Config& config);

}  // namespace heronworks::platform
