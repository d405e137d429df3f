// The one reader of a scheduler's settings, by the dotted names that the operators give them. Where the names
// come from, a line of the drill's wire or nested JSON, is the affair of whoever implements SettingsFields.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings.h"

namespace heronworks {

// Gives the text of a field: "allowed.idle-close", "policies.0.name"; a list's length is "policies.count".
class SettingsFields {
 public:
  virtual ~SettingsFields() = default;
  virtual std::optional<std::string_view> find(std::string_view name) const = 0;
  [[noreturn]] virtual void fail(std::string_view name) const = 0;  // the field is missing or makes no sense

  std::string_view text(std::string_view name) const;
  double number(std::string_view name) const;  // finite
  double number(std::string_view name, double absent) const;
  std::int64_t integer(std::string_view name, std::int64_t absent) const;
  bool flag(std::string_view name) const;  // false if absent
};

// A profile's or plan's number is its place here, as in Settings.
struct NamedSettings {
  Settings settings;  // the seed is the caller's to set
  std::vector<std::string> profiles;
  std::vector<std::string> plans;
};

// Fails through `fields` at the first field that makes no sense.
NamedSettings read_settings(const SettingsFields& fields);

}  // namespace heronworks
