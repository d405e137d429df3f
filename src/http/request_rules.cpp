#include "http/request_rules.h"

#include <algorithm>
#include <array>

namespace heronworks::http {
namespace {

constexpr int kBadRequest = 400;
constexpr int kExpectationFailed = 417;
constexpr int kVersionNotSupported = 505;

// RFC 9110, 6.5.1: fields that frame or route a message have no effect behind its content.
constexpr std::array<std::string_view, 4> kNoTrailerFields{"Content-Length", "Transfer-Encoding", "Host",
                                                           "Expect"};

bool has_body(const Message& request) {
  const std::string* length = request.find_field("Content-Length");
  return request.count_fields("Transfer-Encoding") > 0 || (length != nullptr && *length != "0");
}

std::optional<RequestFault> find_host_fault(const Message& request, const RequestTarget& target) {
  if (request.count_fields("Host") != 1) return RequestFault{kBadRequest, "Host"};
  const std::string& host = *request.find_field("Host");
  if (!is_host_and_port(host)) return RequestFault{kBadRequest, "Host"};
  if (!target.authority.empty() && !equals_ignore_case(target.authority, host))
    return RequestFault{kBadRequest, "Host is not that of the target"};
  return std::nullopt;
}

// RFC 9110, 10.1.1.
std::optional<RequestFault> find_expectation_fault(const Message& request) {
  const auto expectations = request.count_fields("Expect");
  if (expectations == 0) return std::nullopt;
  if (expectations > 1 || !equals_ignore_case(*request.find_field("Expect"), "100-continue"))
    return RequestFault{kExpectationFailed, "Expect"};
  if (request.method == "GET" && !has_body(request))
    return RequestFault{kExpectationFailed, "Expect without a body"};
  return std::nullopt;
}

}  // namespace

std::optional<RequestFault> find_request_fault(const Message& request, const RequestTarget& target) {
  if (request.minor_version != 1) return RequestFault{kVersionNotSupported, "HTTP version"};
  if (auto fault = find_host_fault(request, target)) return fault;
  if (auto fault = find_expectation_fault(request)) return fault;
  // RFC 9110, 14.5.
  if (request.method == "PUT" && request.count_fields("Content-Range") > 0)
    return RequestFault{kBadRequest, "Content-Range"};
  for (const Field& field : request.trailer_fields) {
    const auto is_name = [&](std::string_view name) { return equals_ignore_case(field.name, name); };
    if (std::any_of(kNoTrailerFields.begin(), kNoTrailerFields.end(), is_name))
      return RequestFault{kBadRequest, "trailer field " + field.name};
  }
  return std::nullopt;
}

}  // namespace heronworks::http
