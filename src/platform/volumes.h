// Small indices for volumes, and who may be let go: decisions only.
//
// A volume is one of its plan: what names the same volume under another plan is another's, with stores of its
// own. Danger: the first request that names a volume fixes by which plan all later ones are measured, also
// those that name theirs; a volume first named under a plan without a limit never got any of its limit.
//
// How to call it: `index` as a transaction lands, `ended` once it is forgotten. Danger: volumes come and go
// for years, and a client may name a new one with each request; each would keep its place in the module's
// table. So there are at most kMost, and the one unused for longest gives its index away once nothing of it
// is open and it has been unused for `rest`: by then its store of the limit is full again, as a new volume's
// is, so nothing is forgotten that a rule asks for. May hurt new volumes for that long while all are in use:
// they are turned back.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace heronworks::platform {

struct VolumeName {
  std::uint64_t volume = 0;
  int plan = 0;
  auto operator<=>(const VolumeName&) const = default;
};

class Volumes {
 public:
  static constexpr std::size_t kMost = 4096;

  struct Place {
    int index = 0;
    bool fresh = false;  // another volume had it before, or none
  };

  explicit Volumes(double rest) : rest_(rest) {}

  // Nothing if there is no room now.
  std::optional<Place> index(double now, VolumeName volume) {
    auto at = known_.find(volume);
    bool fresh = false;
    if (at == known_.end()) {
      int index = static_cast<int>(known_.size());
      if (known_.size() >= kMost) {
        const auto& oldest = used_.front();
        if (oldest.open > 0 || now < oldest.at + rest_) return std::nullopt;
        index = oldest.index;
        known_.erase(oldest.volume);
        used_.pop_front();
      }
      used_.push_back({volume, index, 0, now});
      at = known_.emplace(volume, std::prev(used_.end())).first;
      fresh = true;
    }
    const auto use = at->second;
    use->at = now;
    ++use->open;
    used_.splice(used_.end(), used_, use);
    return Place{use->index, fresh};
  }
  void ended(double now, VolumeName volume) {
    const auto use = known_.at(volume);
    use->at = now;
    --use->open;
    used_.splice(used_.end(), used_, use);
  }
  std::size_t size() const { return known_.size(); }

 private:
  struct Use {
    VolumeName volume;
    int index;
    int open;
    double at;
  };
  const double rest_;
  std::list<Use> used_;                                   // longest unused first; at most kMost
  std::map<VolumeName, std::list<Use>::iterator> known_;  // the same
};

}  // namespace heronworks::platform
