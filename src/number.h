// Conversion of text to numbers.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <type_traits>

namespace heronworks {

// Returns nullopt unless the whole text is a number in the range of `Number`; infinities and NaN are refused.
// `base` applies to integers only.
template <typename Number>
std::optional<Number> read_number(std::string_view text, [[maybe_unused]] int base = 10) {
  Number number{};
  const char* const end = text.data() + text.size();
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<Number>) result = std::from_chars(text.data(), end, number);
  else result = std::from_chars(text.data(), end, number, base);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  if constexpr (std::is_floating_point_v<Number>) {
    if (!std::isfinite(number)) return std::nullopt;  // from_chars accepts "nan" and "inf"
  }
  return number;
}

// The same for whole numbers in decimal digits alone, without a sign.
template <typename Number>
std::optional<Number> read_whole_number(std::string_view text) {
  static_assert(std::is_integral_v<Number>);
  if (!text.empty() && text.front() == '-') return std::nullopt;
  return read_number<Number>(text);
}

}  // namespace heronworks
