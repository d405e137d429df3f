// What a day's own rules make of a client's transaction, worked out beside the schedulers and apart from
// them: the clients, the stand-in nodes and the checker take a transaction for what these say.
#pragma once

#include <memory>
#include <optional>

#include "config/rules.h"
#include "nvme/spec.h"

namespace heronworks::lab {

struct Ruled {
  int profile = -1;  // -1: no rule gives one
  std::optional<std::uint64_t> key;
};

class DayRules {
 public:
  explicit DayRules(std::shared_ptr<const config::Rules> rules) : rules_(std::move(rules)) {}

  // As if no rule turned it back: one that is turned back needs no profile.
  Ruled of(const nvme::Sqe& sqe, const std::string& plan, std::uint32_t block_bytes,
           const std::string& client, const std::string& address);

  // Reads [rules] of a day. A rule that gives a profile or a key must say the same to all who ask: it marks
  // all that it holds for, by what does not change.
  static std::shared_ptr<const config::Rules> read(const std::string& text, const std::string& file,
                                                   const std::vector<std::string>& profile_names,
                                                   const std::vector<Profile>& profiles,
                                                   config::Problems& problems);

 private:
  std::shared_ptr<const config::Rules> rules_;
  expr::Machine machine_;
};

}  // namespace heronworks::lab
