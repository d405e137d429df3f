#include "ledger/ledger_state.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "ledger/ledger.pb.h"

namespace heronworks::ledger {
namespace {

std::int64_t nanoseconds(double seconds) { return static_cast<std::int64_t>(std::llround(seconds * 1e9)); }

}  // namespace

ChainHasher::ChainHasher()
    : algorithm_(EVP_MD_fetch(nullptr, "SHA256", nullptr), EVP_MD_free),
      context_(EVP_MD_CTX_new(), EVP_MD_CTX_free) {
  if (!algorithm_ || !context_) throw std::runtime_error("OpenSSL provides no SHA-256");
}

Digest ChainHasher::next(const Digest& previous, std::string_view bytes) {
  Digest out;
  if (EVP_DigestInit_ex2(context_.get(), algorithm_.get(), nullptr) != 1 ||
      EVP_DigestUpdate(context_.get(), previous.data(), previous.size()) != 1 ||
      EVP_DigestUpdate(context_.get(), bytes.data(), bytes.size()) != 1 ||
      EVP_DigestFinal_ex(context_.get(), out.data(), nullptr) != 1)
    throw std::runtime_error("OpenSSL failed to compute a SHA-256 digest");
  return out;
}

Digest chain_digest(const Digest& previous, std::string_view bytes) {
  return ChainHasher().next(previous, bytes);
}

std::string to_hex(std::string_view bytes) {
  static const char* kHexDigits = "0123456789abcdef";
  std::string out;
  for (const char c : bytes) {
    out += kHexDigits[static_cast<unsigned char>(c) >> 4];
    out += kHexDigits[static_cast<unsigned char>(c) & 15];
  }
  return out;
}

LedgerState::LedgerState(const LedgerStateOptions& options)
    : options_(options), period_length_ns_(nanoseconds(options.period)) {}

bool LedgerState::restore(std::string_view snapshot) {
  wire::State state;
  if (!state.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())) ||
      state.digest().size() != sizeof(Digest) || state.identities_size() != state.numbers_size() ||
      state.identities_size() != state.times_size() || state.identities_size() != state.volumes_size() ||
      state.period_length() <= 0)
    return false;
  ledger_id_ = state.ledger();
  entry_count_ = state.entries();
  time_ns_ = state.time();
  period_ = state.period();
  first_entry_ = state.first();
  period_units_ = state.units();
  period_repeats_ = state.repeats();
  period_length_ns_ = state.period_length();
  std::copy(state.digest().begin(), state.digest().end(), reinterpret_cast<char*>(digest_.data()));
  recent_identities_.clear();
  identities_by_age_.clear();
  for (int i = 0; i < state.identities_size(); ++i) {
    const IdentityKey key{state.identities(i), state.volumes(i)};
    recent_identities_[key] = state.numbers(i);
    identities_by_age_.push_back({state.times(i), key});
  }
  return true;
}

std::string LedgerState::snapshot() const {
  wire::State state;
  state.set_ledger(ledger_id_);
  state.set_entries(entry_count_);
  state.set_time(time_ns_);
  state.set_period(period_);
  state.set_first(first_entry_);
  state.set_units(period_units_);
  state.set_repeats(period_repeats_);
  state.set_digest(std::string(digest_view(digest_)));
  state.set_period_length(period_length_ns_);
  for (const RecentIdentity& recent : identities_by_age_) {
    state.add_identities(recent.key.identity);
    state.add_volumes(recent.key.volume);
    state.add_numbers(recent_identities_.at(recent.key));
    state.add_times(recent.recorded_ns);
  }
  return state.SerializeAsString();
}

std::string LedgerState::replay(std::string_view bytes) {
  wire::Record record;
  if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return "not a valid ledger record";
  if (record.has_entry()) {
    const wire::Entry& entry = record.entry();
    if (entry.number() != entry_count_ + 1)
      return "entry " + std::to_string(entry.number()) + " found where entry " +
             std::to_string(entry_count_ + 1) + " was expected";
    if (entry.period() < period_)
      return "entry " + std::to_string(entry.number()) + " belongs to period " +
             std::to_string(entry.period()) + ", which has ended";
    if (entry.period() > period_ && period_ >= 0 && first_entry_ <= entry_count_)
      return "period " + std::to_string(period_) + " is not sealed";
    if (entry.period() > period_) {
      period_ = entry.period();
      first_entry_ = entry.number();
    }
    ++entry_count_;
    time_ns_ = std::max(time_ns_, entry.at());
    if (entry.repeat_of() == 0) period_units_ += entry.units();
    else ++period_repeats_;
    digest_ = hasher_.next(digest_, bytes);
    if (entry.repeat_of() == 0 && !entry.unnamed())
      add_identity({entry.identity(), entry.volume()}, entry.number());
  } else if (record.has_closed()) {
    const wire::Closed& seal = record.closed();
    if (seal.period() < period_) return "period " + std::to_string(seal.period()) + " is sealed twice";
    if (seal.digest() != digest_view(digest_) || seal.last() != entry_count_ ||
        seal.units() != period_units_ || seal.repeats() != period_repeats_)
      return "the seal of period " + std::to_string(seal.period()) + " does not match its entries";
    time_ns_ = std::max(time_ns_, seal.at());
    period_ = std::max(seal.period() + 1, period_of(seal.at()));
    first_entry_ = entry_count_ + 1;
    period_units_ = period_repeats_ = 0;
    digest_ = Digest{};
  } else if (record.has_opened()) {
    ledger_id_ = record.opened().ledger();
    period_length_ns_ = record.opened().period_length();
    time_ns_ = std::max(time_ns_, record.opened().at());
  } else if (record.has_note()) {
    time_ns_ = std::max(time_ns_, record.note().at());
  }
  return "";
}

void LedgerState::open(double time, std::uint64_t new_ledger, std::uint32_t scheduler,
                       std::vector<std::string>& out) {
  if (ledger_id_ == 0) ledger_id_ = new_ledger;
  // period_length_ns_ is the stored one for a ledger that exists; the configured one is ignored.
  seal_ended_period(nanoseconds(time), out);
  wire::Record record;
  auto& opened = *record.mutable_opened();
  opened.set_ledger(ledger_id_);
  opened.set_scheduler(scheduler);
  opened.set_at(time_ns_);
  opened.set_period_length(period_length_ns_);
  out.push_back(record.SerializeAsString());
}

// Seals the current period if it has ended, even without entries. Periods that passed while the scheduler was
// not running are not sealed; entry numbers have no gaps across them.
void LedgerState::seal_ended_period(std::int64_t time_ns, std::vector<std::string>& out) {
  time_ns_ = std::max(time_ns_, time_ns);
  const std::int64_t current = period_of(time_ns_);
  if (period_ < 0) period_ = current;
  if (current <= period_) return;
  wire::Record record;
  auto& seal = *record.mutable_closed();
  seal.set_period(period_);
  seal.set_first(first_entry_);
  seal.set_last(entry_count_);
  seal.set_units(period_units_);
  seal.set_repeats(period_repeats_);
  seal.set_digest(std::string(digest_view(digest_)));
  seal.set_at(time_ns_);
  out.push_back(record.SerializeAsString());
  period_ = current;
  first_entry_ = entry_count_ + 1;
  period_units_ = period_repeats_ = 0;
  digest_ = Digest{};
}

void LedgerState::advance(double time, std::vector<std::string>& out) {
  seal_ended_period(nanoseconds(time), out);
  evict_identities();
}

void LedgerState::add_note(double time, const std::string& text, std::vector<std::string>& out) {
  seal_ended_period(nanoseconds(time), out);
  wire::Record record;
  record.mutable_note()->set_text(text);
  record.mutable_note()->set_at(time_ns_);
  out.push_back(record.SerializeAsString());
}

void LedgerState::record_usage(double time, const UsageEntry& usage, std::vector<std::string>& out) {
  seal_ended_period(nanoseconds(time), out);
  wire::Record record;
  wire::Entry& entry = *record.mutable_entry();
  entry.set_number(++entry_count_);
  entry.set_identity(usage.identity);
  entry.set_tenant(usage.tenant.data(), usage.tenant.size());
  entry.set_volume(usage.volume);
  entry.set_plan(usage.plan.data(), usage.plan.size());
  entry.set_profile(usage.profile.data(), usage.profile.size());
  entry.set_units(usage.units);
  entry.set_bytes(usage.bytes);
  entry.set_standing(static_cast<wire::Standing>(usage.tier));
  entry.set_at(time_ns_);
  entry.set_period(period_);
  entry.set_client(usage.client.data(), usage.client.size());
  entry.set_attempt(usage.attempt);
  entry.set_unnamed(usage.unnamed);
  if (usage.labels) {
    for (const auto& [name, value] : *usage.labels) {
      auto& label = *entry.add_labels();
      label.set_name(name);
      label.set_value(value);
    }
  }
  // A retry of a transaction that was billed already bills nothing.
  const auto billed =
      usage.unnamed ? recent_identities_.end() : recent_identities_.find({usage.identity, usage.volume});
  if (billed != recent_identities_.end()) {
    entry.set_repeat_of(billed->second);
    ++period_repeats_;
  } else {
    period_units_ += usage.units;
    if (!usage.unnamed) add_identity({usage.identity, usage.volume}, entry_count_);
  }
  out.push_back(record.SerializeAsString());
  digest_ = hasher_.next(digest_, out.back());
}

void LedgerState::add_identity(const IdentityKey& key, std::uint64_t entry_number) {
  if (!recent_identities_.emplace(key, entry_number).second) return;
  identities_by_age_.push_back({time_ns_, key});
  evict_identities();
}

void LedgerState::evict_identities() {
  while (!identities_by_age_.empty() &&
         (identities_by_age_.front().recorded_ns < time_ns_ - nanoseconds(options_.dedup_window) ||
          identities_by_age_.size() > options_.max_identities)) {
    if (identities_by_age_.front().recorded_ns >= time_ns_ - nanoseconds(options_.dedup_window))
      ++evicted_identities_;
    recent_identities_.erase(identities_by_age_.front().key);
    identities_by_age_.pop_front();
  }
}

}  // namespace heronworks::ledger
