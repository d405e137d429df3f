// One HTTP/1.1 message, request or answer, as plain values. No policy.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace heronworks::http {

struct Field {
  std::string name;
  std::string value;
};

struct Message {
  std::string method;  // of a request
  std::string target;  // of a request, as it was written
  int status = 0;      // of an answer
  bool keep_alive = true;
  std::vector<Field> fields;  // of the head; trailers are passed over
  std::string body;           // without its framing

  // The value of the first field of this name, in any case; nullptr if there is none.
  const std::string* find_field(std::string_view name) const;
  std::size_t count_fields(std::string_view name) const;
};

bool equals_ignore_case(std::string_view a, std::string_view b);

}  // namespace heronworks::http
