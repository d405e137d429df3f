// One line of the drill's wire: its message and its fields.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings_reader.h"

namespace heronworks::drill {

// Raised on input that cannot be understood; ends the adapter.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line: its message and its fields.
class Line final : public SettingsFields {
 public:
  Line(std::string_view text, std::size_t number) : number_(number) {
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
  std::int64_t integer(std::string_view name) const {
    text(name);
    return integer(name, 0);
  }

  [[noreturn]] void fail(std::string_view name) const override {
    throw BadInput("line " + std::to_string(number_) + ": " + std::string(message()) + ": bad field '" +
                   std::string(name) + "'");
  }

 private:
  std::size_t number_;
  std::vector<std::string_view> parts_;
};

}  // namespace heronworks::drill
