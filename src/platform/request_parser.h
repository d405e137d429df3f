// Converts a client's HTTP request to a transaction.
#pragma once

#include <variant>

#include "http/request_rules.h"
#include "platform/config.h"

namespace heronworks::platform {

struct ParsedRequest {
  std::string call_id;           // assigned by the client
  std::string_view node_target;  // the origin form of the request's target; refers to the request
  std::uint64_t volume = 0;
  Transaction transaction;  // without the volume's index
};

// A fault's reason names the field; it is sent as the response's body.
std::variant<ParsedRequest, http::RequestFault> parse_request(const http::Message& request,
                                                              const Config& config);

// The key of a request whose class keeps order by key, by its class and target alone. The request may be
// incomplete behind its head, or invalid in other fields.
std::optional<std::uint64_t> parse_order_key(const http::Message& request, const Config& config);

}  // namespace heronworks::platform
