// Rules on requests that concern HTTP and no application (RFC 9110, 9112), beyond what Reader checks.
#pragma once

#include <optional>
#include <string>

#include "http/grammar.h"
#include "http/message.h"

namespace heronworks::http {

// Why a request is refused.
struct RequestFault {
  int status = 0;  // of the response
  std::string reason;
};

// Checks a complete request, or its head: version, Host, Expect, Content-Range and trailer fields. `target`
// is that of the request.
std::optional<RequestFault> find_request_fault(const Message& request, const RequestTarget& target);

}  // namespace heronworks::http
