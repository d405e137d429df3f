// Serializes HTTP/1.1 messages (RFC 9112) with Content-Length framing.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace heronworks::http {

// Appends one message to a buffer: the request or status line first, then fields, then the body. Does not
// validate: methods, targets, names and values must not contain CR or LF.
class Writer {
 public:
  explicit Writer(std::vector<std::uint8_t>& out) : out_(out) {}
  Writer& request_line(std::string_view method, std::string_view target);
  Writer& status_line(int status);
  Writer& field(std::string_view name, std::string_view value);
  // Ends the message with a Content-Length field and `bytes`, which may be empty.
  void body(std::string_view bytes);
  // Ends the head of a message whose body of `bytes` bytes follows separately.
  void end_with_length(std::size_t bytes);
  // Ends a request that has no body, without a Content-Length field.
  void end_without_body() { append("\r\n"); }

 private:
  void append(std::string_view text) { out_.insert(out_.end(), text.begin(), text.end()); }
  std::vector<std::uint8_t>& out_;
};

// "Status" for codes that the gateway does not use.
std::string_view reason_phrase(int status);

}  // namespace heronworks::http
