// Reads a scheduler's settings by their dotted names. SettingsFields abstracts the source of the names and
// values, such as a line of text or nested JSON.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "settings.h"

namespace heronworks {

// Looks up a field by name: "allowed.idle-close", "policies.0.name". A list's length is "policies.count".
class SettingsFields {
 public:
  virtual ~SettingsFields() = default;
  virtual std::optional<std::string_view> find(std::string_view name) const = 0;
  // Reports that the field is missing or invalid. Does not return.
  [[noreturn]] virtual void fail(std::string_view name) const = 0;

  // These call fail() if the value is invalid, or if the field is missing and no `absent` is given.
  std::string_view text(std::string_view name) const;  // not empty
  double number(std::string_view name) const;          // finite
  double number(std::string_view name, double absent) const;
  std::int64_t integer(std::string_view name, std::int64_t absent) const;
  bool flag(std::string_view name) const;  // false if absent
};

// Settings together with the names of the profiles and plans, in the same order.
struct NamedSettings {
  Settings settings;  // the caller sets the seed
  std::vector<std::string> profile_names;
  std::vector<std::string> plan_names;
};

// Calls fields.fail() for the first invalid field.
NamedSettings read_settings(const SettingsFields& fields);

}  // namespace heronworks
