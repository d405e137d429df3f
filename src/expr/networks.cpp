// Sets of networks: see networks.h.
#include "expr/networks.h"

#include <algorithm>
#include <boost/icl/interval_set.hpp>

#include "expr/syntax.h"

namespace heronworks::expr {

Networks::Number Networks::number(const Address& a) {
  Number n;
  for (std::size_t i = 0; i < 8; ++i) {
    n.high = n.high << 8 | a[i];
    n.low = n.low << 8 | a[i + 8];
  }
  return n;
}

bool Networks::make(const std::vector<std::string>& entries, Networks& out, std::string& reason) {
  // Half-open intervals join where they touch. The very last address has no successor: it is kept apart.
  using Interval = boost::icl::right_open_interval<Number>;
  boost::icl::interval_set<Number, std::less, Interval> set;
  bool last_address = false;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const bool whole = entries[i].find('/') == std::string::npos;
    std::optional<std::pair<Address, std::uint8_t>> n;
    if (!whole) {
      n = parse_network(entries[i]);
    } else if (const auto a = parse_address(entries[i])) {
      n = std::pair{*a, std::uint8_t{128}};
    }
    if (!n)
      return reason =
                 "entry " + std::to_string(i + 1) + ", '" + entries[i] + "', is no address and no network",
             false;
    const Number from = number(n->first);
    Number last = from;
    const int free = 128 - n->second;
    if (free >= 64) {
      last.low = ~std::uint64_t{0};
      if (free > 64) last.high |= free == 128 ? ~std::uint64_t{0} : (std::uint64_t{1} << (free - 64)) - 1;
    } else if (free > 0) {
      last.low |= (std::uint64_t{1} << free) - 1;
    }
    Number end = last;
    if (++end.low == 0 && ++end.high == 0) {
      last_address = true;
      end = last;
    }
    if (from < end) set.add(Interval(from, end));
  }
  out = Networks{};
  for (const auto& interval : set) {
    Number last = interval.upper();
    if (last.low-- == 0) --last.high;
    out.starts_.push_back(interval.lower());
    out.lasts_.push_back(last);
  }
  const Number top{~std::uint64_t{0}, ~std::uint64_t{0}};
  if (last_address) {
    out.starts_.push_back(top);
    out.lasts_.push_back(top);
  }
  return true;
}

bool Networks::contains(const Address& a) const {
  const Number n = number(a);
  const auto after = std::upper_bound(starts_.begin(), starts_.end(), n);
  return after != starts_.begin() && n <= lasts_[static_cast<std::size_t>(after - starts_.begin()) - 1];
}

}  // namespace heronworks::expr
