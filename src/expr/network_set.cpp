#include "expr/network_set.h"

#include <algorithm>
#include <boost/icl/interval_set.hpp>

#include "expr/syntax.h"

namespace heronworks::expr {

NetworkSet::AddressNumber NetworkSet::to_number(const Address& address) {
  AddressNumber number;
  for (std::size_t i = 0; i < 8; ++i) {
    number.high = number.high << 8 | address[i];
    number.low = number.low << 8 | address[i + 8];
  }
  return number;
}

bool NetworkSet::parse(const std::vector<std::string>& entries, NetworkSet& out, std::string& error) {
  // Half-open intervals, so that adjacent ranges are merged. The highest address, which cannot be inside a
  // half-open interval, is handled separately.
  using Interval = boost::icl::right_open_interval<AddressNumber>;
  boost::icl::interval_set<AddressNumber, std::less, Interval> set;
  bool has_highest_address = false;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const bool is_address = entries[i].find('/') == std::string::npos;
    std::optional<std::pair<Address, std::uint8_t>> network;
    if (!is_address) {
      network = parse_network(entries[i]);
    } else if (const auto address = parse_address(entries[i])) {
      network = std::pair{*address, std::uint8_t{128}};
    }
    if (!network)
      return error = "entry " + std::to_string(i + 1) + ": '" + entries[i] +
                     "' is neither an address nor a network",
             false;
    const AddressNumber first = to_number(network->first);
    AddressNumber last = first;
    const int host_bits = 128 - network->second;
    if (host_bits >= 64) {
      last.low = ~std::uint64_t{0};
      if (host_bits > 64)
        last.high |= host_bits == 128 ? ~std::uint64_t{0} : (std::uint64_t{1} << (host_bits - 64)) - 1;
    } else if (host_bits > 0) {
      last.low |= (std::uint64_t{1} << host_bits) - 1;
    }
    AddressNumber end = last;
    if (++end.low == 0 && ++end.high == 0) {
      has_highest_address = true;
      end = last;
    }
    if (first < end) set.add(Interval(first, end));
  }
  out = NetworkSet{};
  for (const auto& interval : set) {
    AddressNumber last = interval.upper();
    if (last.low-- == 0) --last.high;
    out.range_starts_.push_back(interval.lower());
    out.range_lasts_.push_back(last);
  }
  const AddressNumber highest{~std::uint64_t{0}, ~std::uint64_t{0}};
  if (has_highest_address) {
    out.range_starts_.push_back(highest);
    out.range_lasts_.push_back(highest);
  }
  return true;
}

bool NetworkSet::contains(const Address& address) const {
  const AddressNumber number = to_number(address);
  const auto after = std::upper_bound(range_starts_.begin(), range_starts_.end(), number);
  return after != range_starts_.begin() &&
         number <= range_lasts_[static_cast<std::size_t>(after - range_starts_.begin()) - 1];
}

}  // namespace heronworks::expr
