// An HTTP/1.1 message, request or response, as plain values.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace heronworks::http {

struct Field {
  std::string name;
  std::string value;

  bool operator==(const Field&) const = default;
};

// Why a message can't be read.
enum class ParseError { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

struct Message {
  std::string method;         // requests only
  std::string target;         // requests only; not decoded
  int status = 0;             // responses only
  int minor_version = 1;      // of HTTP/1.x
  bool keep_alive = true;     // whether the connection can carry another message after this one
  std::vector<Field> fields;  // of the header section
  std::vector<Field> trailer_fields;
  std::string body;  // content, without chunked framing

  // The value of the first field with this name, nullptr if there is none. Names are case-insensitive.
  const std::string* find_field(std::string_view name) const;
  std::size_t count_fields(std::string_view name) const;
  // Memory allocated by this message.
  std::size_t memory_bytes() const;
};

// Compares ASCII letters without regard to case.
bool equals_ignore_case(std::string_view a, std::string_view b);

}  // namespace heronworks::http
