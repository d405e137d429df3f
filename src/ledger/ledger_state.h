// State of the usage ledger: entry numbers, billing periods, detection of repeated transactions and the hash
// chain. No I/O and no clock of its own.
//
// Usage: restore() the snapshot if there is one, replay() each log record after it, then call open(). After
// that, call record_usage() and advance() with the ledger's time (MonotonicLedgerClock), which never goes
// back. Each call appends the serialized records to write to `out`, in order.
#pragma once

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ledger/billing_tier.h"

namespace heronworks::ledger {

using Digest = std::array<std::uint8_t, 32>;  // SHA-256

struct LedgerStateOptions {
  double period = 3600;      // s
  double dedup_window = 60;  // s for which a repeat of a billed identity is detected
  // Identities kept for detection. Beyond it the oldest are evicted; reconciliation still finds their
  // repeats.
  std::size_t max_identities = 200000;
};

// A succeeded transaction to bill.
struct UsageEntry {
  std::uint64_t identity = 0;
  bool unnamed = false;  // the client gave no identity; repeats cannot be detected
  std::string_view tenant;
  std::uint32_t volume = 0;
  std::string_view plan;
  std::string_view profile;
  std::uint32_t units = 0;
  std::uint64_t bytes = 0;
  BillingTier tier = BillingTier::kSpare;
  std::string_view client;
  std::uint32_t attempt = 0;
  const std::vector<std::pair<std::string, std::string>>* labels = nullptr;
};

// Computes the digests of a hash chain: SHA-256 over the previous digest and the bytes of a record. Reusing
// an instance avoids fetching the algorithm from OpenSSL for each digest. Throws std::runtime_error if
// OpenSSL fails.
class ChainHasher {
 public:
  ChainHasher();
  Digest next(const Digest& previous, std::string_view bytes);

 private:
  std::unique_ptr<EVP_MD, void (*)(EVP_MD*)> algorithm_;
  std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context_;
};
// ChainHasher::next with a temporary hasher.
Digest chain_digest(const Digest& previous, std::string_view bytes);

class LedgerState {
 public:
  explicit LedgerState(const LedgerStateOptions& options);

  // Loads a snapshot. Returns false and changes nothing if it is malformed.
  bool restore(std::string_view snapshot);
  // Applies a log record. Returns an empty string, or what is wrong with the record: a wrong entry number, a
  // missing seal, or a seal whose digest or totals do not match.
  std::string replay(std::string_view record);
  std::string snapshot() const;

  // Starts a process's work on the ledger. `new_ledger` is the id of a ledger without records.
  void open(double time, std::uint64_t new_ledger, std::uint32_t scheduler, std::vector<std::string>& out);
  void record_usage(double time, const UsageEntry& usage, std::vector<std::string>& out);
  // Seals the current period if it is over and evicts expired identities.
  void advance(double time, std::vector<std::string>& out);
  void add_note(double time, const std::string& text, std::vector<std::string>& out);
  // Number of the period that entries are recorded in; -1 if there is none yet.
  std::int64_t current_period() const { return period_; }

  std::uint64_t ledger_id() const { return ledger_id_; }
  std::uint64_t entry_count() const { return entry_count_; }
  // Identities evicted within the dedup window because of max_identities.
  std::uint64_t evicted_identities() const { return evicted_identities_; }
  std::uint64_t period_units() const { return period_units_; }  // billed in the current period
  std::uint64_t period_repeats() const { return period_repeats_; }
  double time() const { return 1e-9 * static_cast<double>(time_ns_); }  // s since 1970
  std::size_t recent_identity_count() const { return recent_identities_.size(); }

 private:
  void seal_ended_period(std::int64_t time_ns, std::vector<std::string>& out);
  // Clients choose identities independently for each volume, so an identity is unique only within a volume.
  struct IdentityKey {
    std::uint64_t identity = 0;
    std::uint32_t volume = 0;
    bool operator==(const IdentityKey&) const = default;
  };
  struct IdentityKeyHash {
    std::size_t operator()(const IdentityKey& key) const {
      return key.identity ^ key.volume * 0x9e3779b97f4a7c15ULL;
    }
  };
  void add_identity(const IdentityKey& key, std::uint64_t entry_number);
  void evict_identities();
  std::int64_t period_of(std::int64_t time_ns) const { return time_ns / period_length_ns_; }

  const LedgerStateOptions options_;
  std::int64_t period_length_ns_;
  std::uint64_t ledger_id_ = 0;
  std::uint64_t entry_count_ = 0;
  std::int64_t time_ns_ = 0;  // newest time in the ledger, since 1970
  std::int64_t period_ = -1;
  std::uint64_t first_entry_ = 1;  // of the current period
  std::uint64_t period_units_ = 0;
  std::uint64_t period_repeats_ = 0;
  Digest digest_{};  // of the current period's entries
  ChainHasher hasher_;
  struct RecentIdentity {
    std::int64_t recorded_ns;
    IdentityKey key;
  };
  // Number of the entry that billed the identity; bounded by evict_identities().
  std::unordered_map<IdentityKey, std::uint64_t, IdentityKeyHash> recent_identities_;
  std::deque<RecentIdentity> identities_by_age_;  // oldest first
  std::uint64_t evicted_identities_ = 0;
};

std::string to_hex(std::string_view bytes);
inline std::string_view digest_view(const Digest& digest) {
  return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

}  // namespace heronworks::ledger
