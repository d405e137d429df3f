// The tier that a volume's units are billed under. Units within this scheduler's slice of the reservation are
// billed as reservation, those beyond it but within its slice of the usual rate as share, the rest as spare.
// The reservation and the usual rate are divided among the schedulers of the hosts that reach the volume, as
// schedulers do not communicate.
#pragma once

#include <algorithm>
#include <vector>

namespace heronworks::ledger {

enum class BillingTier { kReservation, kShare, kSpare };

class BillingTierTracker {
 public:
  static constexpr double kBurstWindow = 1;  // s of a rate that may be used at once

  // Classifies `units` served at `now` (s) and counts them against the tier. Rates in units/s, of this
  // scheduler's slice.
  BillingTier classify(double now, int volume, double reservation, double usual_rate, double units) {
    if (volumes_.size() <= static_cast<std::size_t>(volume))
      volumes_.resize(static_cast<std::size_t>(volume) + 1);
    VolumeBuckets& buckets = volumes_[static_cast<std::size_t>(volume)];
    if (buckets.reservation.try_use(now, reservation, units)) return BillingTier::kReservation;
    return buckets.share.try_use(now, std::max(usual_rate - reservation, 0.0), units) ? BillingTier::kShare
                                                                                      : BillingTier::kSpare;
  }

 private:
  struct Bucket {
    double used = 0;        // units
    double updated_at = 0;  // s
    bool try_use(double now, double rate, double units) {
      used = std::max(used - std::max(now - updated_at, 0.0) * rate, 0.0);
      updated_at = std::max(updated_at, now);
      // A transaction larger than the window fits into an empty bucket.
      if (rate <= 0 || (used > 0 && used + units > rate * kBurstWindow)) return false;
      used += units;
      return true;
    }
  };
  struct VolumeBuckets {
    Bucket reservation;
    Bucket share;
  };
  std::vector<VolumeBuckets> volumes_;  // by volume; bounded by their number
};

}  // namespace heronworks::ledger
