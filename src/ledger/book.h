// What is entered, under which number and period, and when a period is sealed: decisions only, no I/O, no
// clock.
//
// How to call it: `replay` each record of the log (after `restore`, if there is a snapshot), then `open`,
// then `honoured` and `tick` with the ledger's time, which never goes back. Each call appends the records to
// write, as bytes, in order.
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

#include "ledger/standing.h"

namespace heronworks::ledger {

using Digest = std::array<std::uint8_t, 32>;

struct BookOptions {
  double period = 3600;   // s
  double remembers = 60;  // s for which a client's identity of a volume's transaction is known
  std::size_t identities =
      200000;  // at most; the oldest are forgotten, and reconciliation finds their repeats
};

// An honoured transaction.
struct Use {
  std::uint64_t identity = 0;
  bool unnamed = false;
  std::string_view tenant;
  std::uint32_t volume = 0;
  std::string_view plan;
  std::string_view profile;
  std::uint32_t units = 0;
  std::uint64_t bytes = 0;
  Standing standing = Standing::kSpare;
  std::string_view client;
  std::uint32_t attempt = 0;
  const std::vector<std::pair<std::string, std::string>>* labels = nullptr;
};

// SHA-256 of the digest before and the bytes. Kept by who needs many: finding the algorithm costs more than
// using it.
class Hasher {
 public:
  Hasher();
  Digest chained(const Digest& before, std::string_view bytes);

 private:
  std::unique_ptr<EVP_MD, void (*)(EVP_MD*)> algorithm_;
  std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> context_;
};
Digest chained(const Digest& before, std::string_view bytes);  // one alone

class Book {
 public:
  explicit Book(const BookOptions& options);

  bool restore(std::string_view snapshot);
  // Empty, or what is wrong with the record: a number out of turn, a digest that does not hold.
  std::string replay(std::string_view record);
  std::string snapshot() const;

  void open(double time, std::uint64_t new_ledger, std::uint32_t scheduler, std::vector<std::string>& out);
  void honoured(double time, const Use& use, std::vector<std::string>& out);
  void tick(double time, std::vector<std::string>& out);
  void note(double time, const std::string& text, std::vector<std::string>& out);
  // The period that runs.
  std::int64_t period() const { return period_; }

  std::uint64_t ledger() const { return ledger_; }
  std::uint64_t entries() const { return entries_; }
  std::uint64_t forgotten() const { return forgotten_; }  // identities, for want of room
  std::uint64_t units() const { return units_; }          // billed in this period
  std::uint64_t repeats() const { return repeats_; }
  double time() const { return 1e-9 * static_cast<double>(time_); }
  std::size_t identities() const { return known_.size(); }

 private:
  void close_up_to(std::int64_t time, std::vector<std::string>& out);
  // Clients pick identities each on their own: they tell one volume's transactions apart, not two volumes'.
  struct Key {
    std::uint64_t identity = 0;
    std::uint32_t volume = 0;
    bool operator==(const Key&) const = default;
  };
  struct KeyHash {
    std::size_t operator()(const Key& k) const { return k.identity ^ k.volume * 0x9e3779b97f4a7c15ULL; }
  };
  void remember(const Key& key, std::uint64_t number);
  void forget();
  std::int64_t period_of(std::int64_t time) const { return time / period_length_; }

  const BookOptions options_;
  std::int64_t period_length_;
  std::uint64_t ledger_ = 0;
  std::uint64_t entries_ = 0;
  std::int64_t time_ = 0;  // ns
  std::int64_t period_ = -1;
  std::uint64_t first_ = 1;  // entry of the period
  std::uint64_t units_ = 0;
  std::uint64_t repeats_ = 0;
  Digest digest_{};
  Hasher hasher_;
  struct Known {
    std::int64_t at;
    Key key;
  };
  std::unordered_map<Key, std::uint64_t, KeyHash> known_;  // to the entry's number; emptied by forget()
  std::deque<Known> order_;
  std::uint64_t forgotten_ = 0;
};

std::string hex(std::string_view bytes);
inline std::string_view text(const Digest& d) { return {reinterpret_cast<const char*>(d.data()), d.size()}; }

}  // namespace heronworks::ledger
