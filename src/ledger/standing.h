// Under what a volume's units are billed: decisions only. What one scheduler serves within its slice of the
// reservation is reserved; beyond that, within its slice of the usual rate, a share; beyond both, spare.
// Slices are of the hosts that the volume is reached through, as those of limits are, since schedulers share
// nothing.
#pragma once

#include <algorithm>
#include <vector>

namespace heronworks::ledger {

enum class Standing { kReservation, kShare, kSpare };

class Standings {
 public:
  static constexpr double kWindow =
      1;  // s of a rate that may be used in one go: members are billed by the second

  // Rates in units a second, of this scheduler's slice.
  Standing of(double now, int volume, double reservation, double usual, double units) {
    if (volumes_.size() <= static_cast<std::size_t>(volume))
      volumes_.resize(static_cast<std::size_t>(volume) + 1);
    Two& v = volumes_[static_cast<std::size_t>(volume)];
    if (v.reserved.take(now, reservation, units)) return Standing::kReservation;
    return v.share.take(now, std::max(usual - reservation, 0.0), units) ? Standing::kShare : Standing::kSpare;
  }

 private:
  struct Bucket {
    double used = 0;  // units of the window
    double at = 0;
    bool take(double now, double rate, double units) {
      used = std::max(used - std::max(now - at, 0.0) * rate, 0.0);
      at = std::max(at, now);
      // A transaction larger than a second's worth counts whole when the window is empty.
      if (rate <= 0 || (used > 0 && used + units > rate * kWindow)) return false;
      used += units;
      return true;
    }
  };
  struct Two {
    Bucket reserved;
    Bucket share;
  };
  std::vector<Two> volumes_;  // by volume; as many as there are
};

}  // namespace heronworks::ledger
