#include "http/writer.h"

#include <string>

namespace heronworks::http {

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

Writer& Writer::request_line(std::string_view method, std::string_view target) {
  append(method);
  append(" ");
  append(target);
  append(" HTTP/1.1\r\n");
  return *this;
}

Writer& Writer::status_line(int status) {
  append("HTTP/1.1 ");
  append(std::to_string(status));
  append(" ");
  append(reason_phrase(status));
  append("\r\n");
  return *this;
}

Writer& Writer::field(std::string_view name, std::string_view value) {
  append(name);
  append(": ");
  append(value);
  append("\r\n");
  return *this;
}

void Writer::body(std::string_view bytes) {
  end_with_length(bytes.size());
  append(bytes);
}

void Writer::end_with_length(std::size_t bytes) {
  field("Content-Length", std::to_string(bytes));
  append("\r\n");
}

}  // namespace heronworks::http
