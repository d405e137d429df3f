#include "http/grammar.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "http/message.h"
#include "number.h"

namespace heronworks::http {
namespace {

bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_alpha(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool is_hex_digit(char c) { return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
bool is_one_of(char c, std::string_view characters) { return characters.find(c) != std::string_view::npos; }

bool is_token_character(char c) { return is_alpha(c) || is_digit(c) || is_one_of(c, "!#$%&'*+-.^_`|~"); }
// RFC 3986, 2.2 and 2.3.
bool is_unreserved_or_delimiter(char c) {
  return is_alpha(c) || is_digit(c) || is_one_of(c, "-._~") || is_one_of(c, "!$&'()*+,;=");
}

// Whether the text consists of characters that `is_allowed` accepts and of percent-encoded octets.
template <typename Predicate>
bool is_encoded_text(std::string_view text, Predicate is_allowed) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      if (i + 2 >= text.size() || !is_hex_digit(text[i + 1]) || !is_hex_digit(text[i + 2])) return false;
      i += 2;
    } else if (!is_allowed(text[i])) {
      return false;
    }
  }
  return true;
}

bool is_path_character(char c) { return is_unreserved_or_delimiter(c) || is_one_of(c, ":@/"); }
bool is_query_character(char c) { return is_path_character(c) || c == '?'; }

bool is_ip_literal(std::string_view text) {
  if (text.size() > 1 && (text[0] == 'v' || text[0] == 'V')) {  // IPvFuture
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot < 2 || dot + 1 == text.size()) return false;
    const auto version = text.substr(1, dot - 1);
    const auto address = text.substr(dot + 1);
    return std::all_of(version.begin(), version.end(), is_hex_digit) &&
           std::all_of(address.begin(), address.end(),
                       [](char c) { return is_unreserved_or_delimiter(c) || c == ':'; });
  }
  in6_addr ignored{};
  return inet_pton(AF_INET6, std::string(text).c_str(), &ignored) == 1;
}

// The part behind a host: nothing, or a colon and a port, which may be empty.
bool is_port_part(std::string_view text) {
  if (text.empty()) return true;
  if (text[0] != ':') return false;
  const std::string_view port = text.substr(1);
  return port.empty() || read_whole_number<std::uint16_t>(port).has_value();
}

bool is_dot_segment(std::string_view segment) {
  std::string decoded;
  for (std::size_t i = 0; i < segment.size(); ++i) {
    if (equals_ignore_case(segment.substr(i, 3), "%2e")) {
      decoded += '.';
      i += 2;
    } else {
      decoded += segment[i];
    }
  }
  return decoded == "." || decoded == "..";
}

bool has_one_reading(std::string_view path) {
  if (path.starts_with("//")) return false;
  for (std::size_t i = 0; i < path.size(); ++i) {
    const auto encoded = path.substr(i, 3);
    if (equals_ignore_case(encoded, "%2f") || encoded == "%00") return false;
  }
  while (!path.empty()) {
    path.remove_prefix(1);  // the slash
    const auto segment = path.substr(0, path.find('/'));
    if (is_dot_segment(segment)) return false;
    path.remove_prefix(segment.size());
  }
  return true;
}

}  // namespace

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_field_value(std::string_view text) {
  const auto is_white_space = [](char c) { return c == ' ' || c == '\t'; };
  if (text.empty()) return true;
  if (is_white_space(text.front()) || is_white_space(text.back())) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
  });
}

bool is_host_and_port(std::string_view text) {
  if (text.starts_with('[')) {
    const auto end = text.find(']');
    return end != std::string_view::npos && is_ip_literal(text.substr(1, end - 1)) &&
           is_port_part(text.substr(end + 1));
  }
  const auto host = text.substr(0, text.find(':'));
  return !host.empty() && is_encoded_text(host, is_unreserved_or_delimiter) &&
         is_port_part(text.substr(host.size()));
}

std::optional<RequestTarget> parse_request_target(std::string_view text) {
  constexpr std::string_view kScheme = "http://";
  RequestTarget target;
  if (equals_ignore_case(text.substr(0, kScheme.size()), kScheme)) {
    text.remove_prefix(kScheme.size());
    target.authority = text.substr(0, text.find_first_of("/?"));
    if (!is_host_and_port(target.authority)) return std::nullopt;
    text.remove_prefix(target.authority.size());
  }
  if (!text.starts_with('/')) return std::nullopt;
  target.path_and_query = text;
  target.path = text.substr(0, text.find('?'));
  const auto query = text.substr(std::min(target.path.size() + 1, text.size()));
  if (!is_encoded_text(target.path, is_path_character) || !is_encoded_text(query, is_query_character) ||
      !has_one_reading(target.path))
    return std::nullopt;
  return target;
}

}  // namespace heronworks::http
