// Parses one line of the simulator's protocol: a message name and "name=value" fields, separated by tabs.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings_reader.h"

namespace heronworks::drill {

// Malformed input. Ends the adapter.
struct ProtocolError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A parsed line. Refers to the text that it was parsed from.
class Line final : public SettingsFields {
 public:
  // `line_number` is used in error messages.
  Line(std::string_view text, std::size_t line_number) : line_number_(line_number) {
    while (true) {
      const auto tab = text.find('\t');
      parts_.push_back(text.substr(0, tab));
      if (tab == std::string_view::npos) break;
      text.remove_prefix(tab + 1);
    }
  }

  std::string_view message() const { return parts_[0]; }

  std::optional<std::string_view> find(std::string_view name) const override {
    for (std::size_t i = 1; i < parts_.size(); ++i) {
      const auto part = parts_[i];
      if (part.size() > name.size() && part[name.size()] == '=' && part.substr(0, name.size()) == name) {
        return part.substr(name.size() + 1);
      }
    }
    return std::nullopt;
  }

  using SettingsFields::integer;
  // Throws ProtocolError if the field is missing or not an integer.
  std::int64_t integer(std::string_view name) const {
    text(name);
    return integer(name, 0);
  }

  // Throws ProtocolError with the line number, the message, the field and its value.
  [[noreturn]] void fail(std::string_view name) const override {
    const auto value = find(name);
    const std::string problem =
        value ? "invalid value '" + std::string(*value) + "' in field '" : std::string("missing field '");
    throw ProtocolError("line " + std::to_string(line_number_) + ": " + std::string(message()) + ": " +
                        problem + std::string(name) + "'");
  }

 private:
  std::size_t line_number_;
  std::vector<std::string_view> parts_;  // the message name, then the fields
};

}  // namespace heronworks::drill
