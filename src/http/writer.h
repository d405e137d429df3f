// Writes messages of HTTP/1.1 (RFC 9112), framed by Content-Length.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace heronworks::http {

// Appends to `out`. The caller answers for names and values without CR and LF.
class Writer {
 public:
  explicit Writer(std::vector<std::uint8_t>& out) : out_(out) {}
  Writer& request_line(std::string_view method, std::string_view target);
  Writer& status_line(int status);
  Writer& field(std::string_view name, std::string_view value);
  void body(std::string_view bytes);         // ends the message; a request without any gets no length
  void end_without_body() { text("\r\n"); }  // the same for a request without a body

 private:
  void text(std::string_view s) { out_.insert(out_.end(), s.begin(), s.end()); }
  std::vector<std::uint8_t>& out_;
};

std::string_view reason_phrase(int status);

}  // namespace heronworks::http
