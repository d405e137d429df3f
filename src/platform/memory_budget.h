// Divides the memory that peers may make the process hold.
#pragma once

#include <array>
#include <cstddef>
#include <utility>

namespace heronworks::platform {

// What bytes are held for.
enum class MemoryUse {
  kRequest,    // requests, from their first byte until they are answered and no longer being sent to a node
  kReadAhead,  // what clients send behind an open request
  kReply,      // replies, from their first byte until they are written to the client's socket
};

// One budget for all that the process holds for its peers, a fixed part of its memory. Requests with what is
// read ahead, and replies, have a part each, so that neither can stop the other.
//
// The last kSmallFraction of each part is for holders that are small: each connection that there can be may
// then hold small_bytes() at the same time. So large messages do not keep small ones out.
//
// Holders ask room() before they grow. The budget itself refuses nothing: what does not fit stays unread.
class MemoryBudget {
 public:
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
  static constexpr double kRequestFraction = 0.3;  // of the process's memory
  static constexpr double kReplyFraction = 0.2;
  static constexpr double kSmallFraction = 0.3;       // of either part
  static constexpr double kReadAheadFraction = 0.25;  // of the requests' part, at most
  // At most, whatever the memory: what is read ahead serves only to see the close of a client behind it.
  static constexpr std::size_t kMaxReadAheadBytes = std::size_t{512} << 10;
  static constexpr double kMaxRetainedFraction = 0.06;  // of the process's memory, freed but not returned
  static constexpr double kTableFraction = 0.04;        // for the decision module's tables of what is over
  static constexpr std::size_t kTableEntryBytes = 160;  // of one entry of each, as allocated
  static constexpr double kDefaultMemoryBytes = 128 * 1024.0 * 1024.0;
  static constexpr std::size_t kMinPartBytes = 2 * kMaxBodyBytes;  // fits a message of any legal size

  // `memory_bytes`: what the process may use; 0: unknown. `max_connections`: of clients, and as many of
  // nodes.
  MemoryBudget(double memory_bytes, std::size_t max_connections);

  // The number of bytes by which a holder of `held` bytes may grow now.
  std::size_t room(MemoryUse use, std::size_t held) const;
  // Accounts for a holder that changes from `before` to `after` bytes, with or without room for it.
  void resize(MemoryUse use, std::size_t before, std::size_t after);

  std::size_t bytes_in_use(MemoryUse use) const { return in_use_[static_cast<std::size_t>(use)]; }
  // Of the part that `use` belongs to.
  std::size_t limit(MemoryUse use) const { return part_of(use).limit; }
  std::size_t small_bytes(MemoryUse use) const { return part_of(use).small; }
  // For Settings::max_table_entries.
  std::size_t max_table_entries() const {
    return static_cast<std::size_t>(kTableFraction * memory_bytes_) / kTableEntryBytes;
  }
  // Whether freed memory should be returned to the operating system: the process has `anonymous` bytes of it,
  // of which `allocated` are in use.
  bool retains_too_much(std::size_t anonymous, std::size_t allocated) const {
    return static_cast<double>(anonymous) >
           static_cast<double>(allocated) + kMaxRetainedFraction * memory_bytes_;
  }
  // The use's part is used up, also for small holders.
  bool exhausted(MemoryUse use) const { return part_in_use(use) >= limit(use); }

 private:
  struct Part {
    std::size_t limit = 0;
    std::size_t limit_for_large = 0;
    std::size_t small = 0;
  };
  static Part make_part(double bytes, std::size_t max_connections);
  const Part& part_of(MemoryUse use) const { return use == MemoryUse::kReply ? replies_ : requests_; }
  std::size_t part_in_use(MemoryUse use) const;

  const double memory_bytes_;
  const Part requests_;
  const Part replies_;
  std::array<std::size_t, 3> in_use_{};  // by MemoryUse
};

// The bytes that one holder accounts for. They are returned when it is destroyed.
class MemoryCharge {
 public:
  MemoryCharge(MemoryBudget& budget, MemoryUse use) : budget_(&budget), use_(use) {}
  MemoryCharge(MemoryCharge&& other) noexcept
      : budget_(other.budget_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&&) = delete;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  ~MemoryCharge() { set(0); }

  std::size_t bytes() const { return bytes_; }
  std::size_t room() const { return budget_->room(use_, bytes_); }
  // Changes the charge, with or without room for it.
  void set(std::size_t bytes) {
    if (bytes == bytes_) return;
    budget_->resize(use_, bytes_, bytes);
    bytes_ = bytes;
  }
  // Returns false, without any change, if there is no room for the growth.
  bool try_set(std::size_t bytes) {
    if (bytes > bytes_ && bytes - bytes_ > room()) return false;
    set(bytes);
    return true;
  }

 private:
  MemoryBudget* budget_;
  MemoryUse use_;
  std::size_t bytes_ = 0;
};

}  // namespace heronworks::platform
