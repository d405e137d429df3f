// Limits the file descriptors that client and node connections use.
#pragma once

#include <cstddef>

namespace heronworks::platform {

// Clients and nodes may each use half of the descriptors, less a reserve, so that clients that open many
// connections leave enough descriptors to reach nodes. The reserve covers the discovery connections (the old
// and the new one), files, the next accepted socket and evicted client connections that are being closed.
//
// Call acquire() before a descriptor is opened and release() after it is closed.
class DescriptorBudget {
 public:
  enum class User { kClients, kNodes };
  static constexpr std::size_t kReserve = 24;
  static constexpr std::size_t kReservedForEvicted = 8;  // part of kReserve

  explicit DescriptorBudget(std::size_t total) : limit_per_user_((total - kReserve) / 2) {}

  // Returns false if the user's limit is reached.
  bool acquire(User user) {
    std::size_t& used = user == User::kClients ? clients_ : nodes_;
    if (used >= limit_per_user_) return false;
    ++used;
    return true;
  }
  std::size_t limit_per_user() const { return limit_per_user_; }
  void release(User user) { --(user == User::kClients ? clients_ : nodes_); }
  std::size_t in_use(User user) const { return user == User::kClients ? clients_ : nodes_; }

 private:
  std::size_t limit_per_user_;
  std::size_t clients_ = 0;
  std::size_t nodes_ = 0;
};

}  // namespace heronworks::platform
