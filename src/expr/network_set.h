// Immutable sets of IP networks.
#pragma once

#include <map>
#include <string>

#include "expr/type.h"

namespace heronworks::expr {

class NetworkSet {
 public:
  // Replaces `out` by the union of `entries`, each an address or a network in prefix form. If an entry is
  // invalid, returns false, names the entry in `error` and leaves `out` unchanged.
  static bool parse(const std::vector<std::string>& entries, NetworkSet& out, std::string& error);
  bool contains(const Address& address) const;
  std::size_t range_count() const { return range_starts_.size(); }

 private:
  // An address as a 128-bit number.
  struct AddressNumber {
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const AddressNumber&) const = default;
  };
  static AddressNumber to_number(const Address& address);
  // Disjoint ranges in ascending order, for binary search; the last address is inclusive.
  std::vector<AddressNumber> range_starts_;
  std::vector<AddressNumber> range_lasts_;
};

// Network sets by name.
using NetworkSets = std::map<std::string, NetworkSet>;

}  // namespace heronworks::expr
