// Admission control: bounds the open transactions and the write data held, and divides both among tenants.
//
// A tenant that keeps its connections full must not exhaust a bound for the others. The first half of each
// bound is open to all tenants. In the second half, a tenant is rejected once it has used its even share; the
// shares are computed so that one is left for a tenant that has no open transaction yet. This also catches a
// tenant whose node hangs; it may reject work of a tenant that is alone for the moment.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace heronworks::gateway {

// Call can_admit() for a new command, acquire() if it is accepted, and release() when its transaction is
// forgotten. Tenants are indices below `tenants`.
class AdmissionControl {
 public:
  static constexpr double kUnreservedFraction = 0.5;  // of a bound; open to any one tenant

  AdmissionControl(std::size_t tenants, double max_transactions, double max_bytes)
      : usage_by_tenant_(tenants), limit_{max_transactions, max_bytes} {}

  bool can_admit(std::size_t tenant, double bytes) const {
    const Usage& own = usage_by_tenant_[tenant];
    const std::size_t others = active_tenants_ - (own.transactions > 0 ? 1 : 0);
    // A share for each other active tenant, for this one, and for one that is still inactive, if there is
    // one.
    const double shares = static_cast<double>(std::min(others + 2, usage_by_tenant_.size()));
    return fits(total_.transactions, own.transactions, 1, limit_.transactions, shares) &&
           fits(total_.bytes, own.bytes, bytes, limit_.bytes, shares);
  }
  void acquire(std::size_t tenant, double bytes) {
    active_tenants_ += usage_by_tenant_[tenant].transactions == 0 ? 1 : 0;
    add(usage_by_tenant_[tenant], 1, bytes);
    add(total_, 1, bytes);
  }
  void release(std::size_t tenant, double bytes) {
    add(usage_by_tenant_[tenant], -1, -bytes);
    add(total_, -1, -bytes);
    active_tenants_ -= usage_by_tenant_[tenant].transactions == 0 ? 1 : 0;
  }
  bool empty() const { return total_.transactions == 0 && total_.bytes == 0 && active_tenants_ == 0; }

 private:
  struct Usage {
    double transactions = 0;
    double bytes = 0;
  };
  static void add(Usage& usage, double transactions, double bytes) {
    usage.transactions += transactions;
    usage.bytes += bytes;
  }
  static bool fits(double total, double own, double added, double limit, double shares) {
    if (total + added > limit) return false;
    return total + added <= kUnreservedFraction * limit || own + added <= std::max(limit / shares, added);
  }

  std::vector<Usage> usage_by_tenant_;
  Usage total_;
  const Usage limit_;
  std::size_t active_tenants_ = 0;  // with at least one open transaction
};

}  // namespace heronworks::gateway
