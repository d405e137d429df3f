// Reads a number from the whole of a text. Standard library only.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <type_traits>

namespace heronworks {

// Nothing if the text is no such number, has more behind it, or is not finite. `base` is for whole numbers.
template <typename Number>
std::optional<Number> read_number(std::string_view text, [[maybe_unused]] int base = 10) {
  Number number{};
  const char* const end = text.data() + text.size();
  std::from_chars_result r{};
  if constexpr (std::is_floating_point_v<Number>) r = std::from_chars(text.data(), end, number);
  else r = std::from_chars(text.data(), end, number, base);
  if (r.ec != std::errc() || r.ptr != end) return std::nullopt;
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(number)) return std::nullopt;  // from_chars takes "nan" and "inf"
  }
  return number;
}

}  // namespace heronworks
