// The grammar of HTTP/1.1 requests (RFC 9110, 9112) and of the parts of a URI (RFC 3986) that they contain.
#pragma once

#include <optional>
#include <string_view>

namespace heronworks::http {

// RFC 9110, 5.6.2.
bool is_token(std::string_view text);
// RFC 9110, 5.5: a field's value without white space round it.
bool is_field_value(std::string_view text);
// RFC 9110, 7.2, with a host that is not empty (4.2.1): the value of Host, and the authority of a target.
bool is_host_and_port(std::string_view text);

// The parts of a request target (RFC 9112, 3.2). They refer to the text that was parsed.
struct RequestTarget {
  std::string_view authority;  // of the absolute form; empty: the origin form
  std::string_view path;
  std::string_view path_and_query;
};

// Parses the origin form, and the absolute form of the scheme "http" without user information. Stricter than
// RFC 3986: refuses paths that another reader could normalize to another path, that is dot segments, an
// encoded slash or NUL, and an empty first segment.
std::optional<RequestTarget> parse_request_target(std::string_view text);

}  // namespace heronworks::http
