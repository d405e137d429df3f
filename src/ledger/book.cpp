// The book: see book.h.
#include "ledger/book.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "ledger/ledger.pb.h"

namespace heronworks::ledger {
namespace {

std::int64_t nanoseconds(double s) { return static_cast<std::int64_t>(std::llround(s * 1e9)); }

}  // namespace

Hasher::Hasher()
    : algorithm_(EVP_MD_fetch(nullptr, "SHA256", nullptr), EVP_MD_free),
      context_(EVP_MD_CTX_new(), EVP_MD_CTX_free) {
  if (!algorithm_ || !context_) throw std::runtime_error("no SHA-256");
}

Digest Hasher::chained(const Digest& before, std::string_view bytes) {
  Digest out;
  if (EVP_DigestInit_ex2(context_.get(), algorithm_.get(), nullptr) != 1 ||
      EVP_DigestUpdate(context_.get(), before.data(), before.size()) != 1 ||
      EVP_DigestUpdate(context_.get(), bytes.data(), bytes.size()) != 1 ||
      EVP_DigestFinal_ex(context_.get(), out.data(), nullptr) != 1)
    throw std::runtime_error("SHA-256 failed");
  return out;
}

Digest chained(const Digest& before, std::string_view bytes) { return Hasher().chained(before, bytes); }

std::string hex(std::string_view bytes) {
  static const char* kDigits = "0123456789abcdef";
  std::string out;
  for (const char c : bytes) {
    out += kDigits[static_cast<unsigned char>(c) >> 4];
    out += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return out;
}

Book::Book(const BookOptions& options) : options_(options), period_length_(nanoseconds(options.period)) {}

bool Book::restore(std::string_view snapshot) {
  wire::State s;
  if (!s.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())) || s.digest().size() != 32 ||
      s.identities_size() != s.numbers_size() || s.identities_size() != s.times_size() ||
      s.identities_size() != s.volumes_size() || s.period_length() <= 0)
    return false;
  ledger_ = s.ledger();
  entries_ = s.entries();
  time_ = s.time();
  period_ = s.period();
  first_ = s.first();
  units_ = s.units();
  repeats_ = s.repeats();
  period_length_ = s.period_length();
  std::copy(s.digest().begin(), s.digest().end(), reinterpret_cast<char*>(digest_.data()));
  known_.clear();
  order_.clear();
  for (int i = 0; i < s.identities_size(); ++i) {
    const Key key{s.identities(i), s.volumes(i)};
    known_[key] = s.numbers(i);
    order_.push_back({s.times(i), key});
  }
  return true;
}

std::string Book::snapshot() const {
  wire::State s;
  s.set_ledger(ledger_);
  s.set_entries(entries_);
  s.set_time(time_);
  s.set_period(period_);
  s.set_first(first_);
  s.set_units(units_);
  s.set_repeats(repeats_);
  s.set_digest(std::string(text(digest_)));
  s.set_period_length(period_length_);
  for (const Known& k : order_) {
    s.add_identities(k.key.identity);
    s.add_volumes(k.key.volume);
    s.add_numbers(known_.at(k.key));
    s.add_times(k.at);
  }
  return s.SerializeAsString();
}

std::string Book::replay(std::string_view bytes) {
  wire::Record r;
  if (!r.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return "not a ledger's record";
  if (r.has_entry()) {
    const wire::Entry& e = r.entry();
    if (e.number() != entries_ + 1)
      return "entry " + std::to_string(e.number()) + " where " + std::to_string(entries_ + 1) + " was due";
    if (e.period() < period_)
      return "entry " + std::to_string(e.number()) + " falls into period " + std::to_string(e.period()) +
             ", which is over";
    if (e.period() > period_ && period_ >= 0 && first_ <= entries_)
      return "period " + std::to_string(period_) + " has no seal";
    if (e.period() > period_) {
      period_ = e.period();
      first_ = e.number();
    }
    ++entries_;
    time_ = std::max(time_, e.at());
    if (e.repeat_of() == 0) units_ += e.units();
    else ++repeats_;
    digest_ = hasher_.chained(digest_, bytes);
    if (e.repeat_of() == 0 && !e.unnamed()) remember({e.identity(), e.volume()}, e.number());
  } else if (r.has_closed()) {
    const wire::Closed& c = r.closed();
    if (c.period() < period_) return "period " + std::to_string(c.period()) + " is closed twice";
    if (c.digest() != text(digest_) || c.last() != entries_ || c.units() != units_ || c.repeats() != repeats_)
      return "the seal of period " + std::to_string(c.period()) + " does not hold";
    time_ = std::max(time_, c.at());
    period_ = std::max(c.period() + 1, period_of(c.at()));
    first_ = entries_ + 1;
    units_ = repeats_ = 0;
    digest_ = Digest{};
  } else if (r.has_opened()) {
    ledger_ = r.opened().ledger();
    period_length_ = r.opened().period_length();
    time_ = std::max(time_, r.opened().at());
  } else if (r.has_note()) {
    time_ = std::max(time_, r.note().at());
  }
  return "";
}

void Book::open(double time, std::uint64_t new_ledger, std::uint32_t scheduler,
                std::vector<std::string>& out) {
  if (ledger_ == 0) ledger_ = new_ledger;
  // A new length takes effect between two periods only.
  close_up_to(nanoseconds(time), out);
  wire::Record r;
  auto& o = *r.mutable_opened();
  o.set_ledger(ledger_);
  o.set_scheduler(scheduler);
  o.set_at(time_);
  o.set_period_length(period_length_);
  out.push_back(r.SerializeAsString());
}

// Closes what is over: the period that ran, whether it has entries or not. Periods in which this scheduler
// was away have no seal of their own; the numbers of entries leave no gap.
void Book::close_up_to(std::int64_t time, std::vector<std::string>& out) {
  time_ = std::max(time_, time);
  const std::int64_t now = period_of(time_);
  if (period_ < 0) period_ = now;
  if (now <= period_) return;
  wire::Record r;
  auto& c = *r.mutable_closed();
  c.set_period(period_);
  c.set_first(first_);
  c.set_last(entries_);
  c.set_units(units_);
  c.set_repeats(repeats_);
  c.set_digest(std::string(text(digest_)));
  c.set_at(time_);
  out.push_back(r.SerializeAsString());
  period_ = now;
  first_ = entries_ + 1;
  units_ = repeats_ = 0;
  digest_ = Digest{};
}

void Book::tick(double time, std::vector<std::string>& out) {
  close_up_to(nanoseconds(time), out);
  forget();
}

void Book::note(double time, const std::string& what, std::vector<std::string>& out) {
  close_up_to(nanoseconds(time), out);
  wire::Record r;
  r.mutable_note()->set_text(what);
  r.mutable_note()->set_at(time_);
  out.push_back(r.SerializeAsString());
}

void Book::honoured(double time, const Use& use, std::vector<std::string>& out) {
  close_up_to(nanoseconds(time), out);
  wire::Record r;
  wire::Entry& e = *r.mutable_entry();
  e.set_number(++entries_);
  e.set_identity(use.identity);
  e.set_tenant(use.tenant.data(), use.tenant.size());
  e.set_volume(use.volume);
  e.set_plan(use.plan.data(), use.plan.size());
  e.set_profile(use.profile.data(), use.profile.size());
  e.set_units(use.units);
  e.set_bytes(use.bytes);
  e.set_standing(static_cast<wire::Standing>(use.standing));
  e.set_at(time_);
  e.set_period(period_);
  e.set_client(use.client.data(), use.client.size());
  e.set_attempt(use.attempt);
  e.set_unnamed(use.unnamed);
  if (use.labels) {
    for (const auto& [name, value] : *use.labels) {
      auto& l = *e.add_labels();
      l.set_name(name);
      l.set_value(value);
    }
  }
  // A client that tries again what was honoured already pays once.
  const auto before = use.unnamed ? known_.end() : known_.find({use.identity, use.volume});
  if (before != known_.end()) {
    e.set_repeat_of(before->second);
    ++repeats_;
  } else {
    units_ += use.units;
    if (!use.unnamed) remember({use.identity, use.volume}, entries_);
  }
  out.push_back(r.SerializeAsString());
  digest_ = hasher_.chained(digest_, out.back());
}

void Book::remember(const Key& key, std::uint64_t number) {
  if (!known_.emplace(key, number).second) return;
  order_.push_back({time_, key});
  forget();
}

void Book::forget() {
  while (!order_.empty() && (order_.front().at < time_ - nanoseconds(options_.remembers) ||
                             order_.size() > options_.identities)) {
    if (order_.front().at >= time_ - nanoseconds(options_.remembers)) ++forgotten_;
    known_.erase(order_.front().key);
    order_.pop_front();
  }
}

}  // namespace heronworks::ledger
