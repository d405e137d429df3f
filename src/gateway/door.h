// Who may still land while the bounds on what is open fill up: decisions only.
//
// How to call it: `takes` before a command lands, then `landed`, and `left` once its transaction is
// forgotten. Tenants are small numbers. The lower half of each bound is anybody's. Danger: one tenant that
// keeps its connections full uses all of a bound, and the others are turned back for it. So in the upper
// half a tenant at or over its even part is turned back, and the parts leave one for a tenant that has
// nothing open yet. Other trouble that it should catch: a tenant whose node hangs. May hurt a tenant that
// is alone today among several.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace heronworks::gateway {

class Door {
 public:
  static constexpr double kAnybodys = 0.5;  // part of a bound; a tenant alone can count on it

  Door(std::size_t tenants, double most_open, double most_bytes)
      : held_(tenants), most_{most_open, most_bytes} {}

  bool takes(std::size_t tenant, double bytes) const {
    const Held& own = held_[tenant];
    const std::size_t others = holders_ - (own.open > 0 ? 1 : 0);
    // Parts for the others that hold something, for this one, and for one more, as long as there is one more.
    const double parts = static_cast<double>(std::min(others + 2, held_.size()));
    return fits(all_.open, own.open, 1, most_.open, parts) &&
           fits(all_.bytes, own.bytes, bytes, most_.bytes, parts);
  }
  void landed(std::size_t tenant, double bytes) {
    holders_ += held_[tenant].open == 0 ? 1 : 0;
    add(held_[tenant], 1, bytes);
    add(all_, 1, bytes);
  }
  void left(std::size_t tenant, double bytes) {
    add(held_[tenant], -1, -bytes);
    add(all_, -1, -bytes);
    holders_ -= held_[tenant].open == 0 ? 1 : 0;
  }
  bool empty() const { return all_.open == 0 && all_.bytes == 0 && holders_ == 0; }

 private:
  struct Held {
    double open = 0;  // transactions
    double bytes = 0;
  };
  static void add(Held& h, double open, double bytes) {
    h.open += open;
    h.bytes += bytes;
  }
  static bool fits(double all, double own, double more, double most, double parts) {
    if (all + more > most) return false;
    return all + more <= kAnybodys * most || own + more <= std::max(most / parts, more);
  }

  std::vector<Held> held_;  // by tenant; as many as are configured
  Held all_;
  const Held most_;
  std::size_t holders_ = 0;  // tenants with something open
};

}  // namespace heronworks::gateway
