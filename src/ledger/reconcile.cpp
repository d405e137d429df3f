// Reconciliation: see reconcile.h.
#include "ledger/reconcile.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <queue>
#include <stdexcept>
#include <tuple>

namespace heronworks::ledger {
namespace {

// One billed entry, or a client's word, as it is sorted.
struct Item {
  std::uint64_t identity = 0;
  std::int64_t at = 0;
  std::uint64_t entry = 0;
  std::int64_t period = 0;
  std::int64_t units = 0;  // net of corrections
  std::uint32_t entered = 0;
  std::uint32_t volume = 0;
  std::uint32_t tenant = 0;
  std::int32_t ledger = -1;  // place among the folders; -1: a client
  auto key() const { return std::tie(identity, volume, at, ledger, entry); }
};

class Runs {
 public:
  Runs(std::string folder, std::size_t most)
      : folder_(std::move(folder)), most_(std::max<std::size_t>(most, 16)) {
    std::filesystem::create_directories(folder_);
  }
  ~Runs() {
    std::error_code ignored;
    for (const std::string& p : paths_) std::filesystem::remove(p, ignored);
  }
  void add(const Item& i) {
    items_.push_back(i);
    if (items_.size() >= most_) spill();
  }
  // All, in order.
  void merge(const std::function<void(const Item&)>& each) {
    if (paths_.empty()) {
      sort();
      for (const Item& i : items_) each(i);
      return;
    }
    spill();
    struct Source {
      std::ifstream file;
      std::vector<Item> buffer;
      std::size_t next = 0;
      bool more(std::size_t most) {
        if (next < buffer.size()) return true;
        buffer.resize(most);
        file.read(reinterpret_cast<char*>(buffer.data()), static_cast<std::streamsize>(most * sizeof(Item)));
        buffer.resize(static_cast<std::size_t>(file.gcount()) / sizeof(Item));
        next = 0;
        return !buffer.empty();
      }
    };
    std::vector<Source> sources(paths_.size());
    const std::size_t part = std::max<std::size_t>(most_ / (2 * sources.size()), 16);
    const auto later = [&](std::size_t a, std::size_t b) {
      return sources[b].buffer[sources[b].next].key() < sources[a].buffer[sources[a].next].key();
    };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(later)> heads(later);
    for (std::size_t i = 0; i < sources.size(); ++i) {
      sources[i].file.open(paths_[i], std::ios::binary);
      if (sources[i].more(part)) heads.push(i);
    }
    while (!heads.empty()) {
      const std::size_t i = heads.top();
      heads.pop();
      each(sources[i].buffer[sources[i].next++]);
      if (sources[i].more(part)) heads.push(i);
    }
  }
  std::size_t runs() const { return std::max<std::size_t>(paths_.size(), 1); }

 private:
  void sort() {
    std::sort(items_.begin(), items_.end(), [](const Item& a, const Item& b) { return a.key() < b.key(); });
  }
  void spill() {
    if (items_.empty()) return;
    sort();
    paths_.push_back(folder_ + "/run-" + std::to_string(paths_.size()));
    std::ofstream f(paths_.back(), std::ios::binary);
    f.write(reinterpret_cast<const char*>(items_.data()),
            static_cast<std::streamsize>(items_.size() * sizeof(Item)));
    f.close();
    if (!f) throw std::runtime_error("cannot write " + paths_.back());
    items_.clear();
  }
  const std::string folder_;
  const std::size_t most_;
  std::vector<Item> items_;
  std::vector<std::string> paths_;
};

}  // namespace

const char* name(Finding f) {
  static constexpr const char* kNames[] = {"billed twice", "units differ", "not by clients",
                                           "not in ledgers"};
  return kNames[static_cast<std::size_t>(f)];
}

bool reconcile(store::FileSystem& files, const std::vector<std::string>& folders,
               const ReconcileOptions& options, const std::function<void(const Found&)>& found,
               Reconciled& result, store::FileError& fault) {
  result = {};
  Runs runs(options.scratch, options.most_in_memory);
  std::vector<std::uint64_t> names;
  std::vector<std::string> tenants;  // as many as pay
  std::map<std::string, std::uint32_t, std::less<>> tenant_numbers;
  for (std::size_t l = 0; l < folders.size(); ++l) {
    Desk desk;
    if (!read_desk(files, folders[l], desk, fault)) return false;
    std::map<std::uint64_t, std::int64_t> corrected;  // by entry; as many as were corrected
    for (const wire::Correction& c : desk.corrections) corrected[c.entry()] += c.units();
    // Entries of one period wait for its seal; a period that never gets one is left out. Two readings, so
    // that none has to be kept: the first tells the seals.
    LedgerFacts facts;
    if (!read_ledger(files, folders[l], {}, facts, fault)) return false;
    const std::uint64_t sealed = facts.closed.empty() ? 0 : facts.closed.back().last();
    Visitor visitor;
    visitor.entry = [&](const wire::Entry& e, std::string_view) {
      if (e.number() > sealed && !options.open_too) {
        ++result.unsealed;
        return;
      }
      ++result.entries;
      if (e.repeat_of() != 0) {
        ++result.repeats;
        return;
      }
      std::int64_t units = e.units();
      if (const auto c = corrected.find(e.number()); c != corrected.end()) units += c->second;
      result.units += static_cast<std::uint64_t>(units);
      if (e.unnamed()) return;
      auto t = tenant_numbers.find(e.tenant());
      if (t == tenant_numbers.end()) {
        t = tenant_numbers.emplace(e.tenant(), static_cast<std::uint32_t>(tenants.size())).first;
        tenants.push_back(e.tenant());
      }
      runs.add({e.identity(), e.at(), e.number(), e.period(), units, e.units(), e.volume(), t->second,
                static_cast<std::int32_t>(l)});
    };
    if (!read_ledger(files, folders[l], visitor, facts, fault)) return false;
    names.push_back(facts.ledger);
  }
  if (!options.clients.empty()) {
    std::ifstream in(options.clients);
    if (!in) {
      fault = {options.clients, 0, "cannot be read", 0};
      return false;
    }
    Item i;
    i.at = INT64_MIN;  // before the entries of its identity
    while (in >> i.identity >> i.volume >> i.units) {
      ++result.by_clients;
      runs.add(i);
    }
    if (!in.eof()) {
      fault = {options.clients, 0,
               "line " + std::to_string(result.by_clients + 1) + " is not identity, volume, units", 0};
      return false;
    }
  }
  std::vector<Item> group;  // of one identity and volume; as many as billed it
  const auto close = [&] {
    if (group.empty()) return;
    ++result.identities;
    const auto tell = [&](Finding what, const Item& i, std::int64_t units, const Item* kept) {
      ++result.found[static_cast<std::size_t>(what)];
      Found f;
      f.what = what;
      f.ledger = i.ledger >= 0 ? names[static_cast<std::size_t>(i.ledger)] : 0;
      f.entry = i.entry;
      f.identity = i.identity;
      f.tenant = i.ledger >= 0 ? tenants[i.tenant] : "";
      f.volume = i.volume;
      f.period = i.period;
      f.units = units;
      if (kept) {
        f.kept_ledger = names[static_cast<std::size_t>(kept->ledger)];
        f.kept_entry = kept->entry;
      }
      found(f);
    };
    const bool client = group.front().ledger < 0;
    const Item* kept = nullptr;
    bool any = false;
    for (const Item& i : group) {
      if (i.ledger < 0) continue;
      any = true;
      if (i.units <= 0) continue;  // taken back already
      if (!kept) {
        kept = &i;
        continue;
      }
      // The first one stands; of the same nanosecond, the one of the folder named first.
      tell(Finding::kBilledTwice, i, -i.units, kept);
      if (i.entered != kept->entered) tell(Finding::kUnitsDiffer, i, 0, kept);
    }
    if (!options.clients.empty()) {
      if (!client && kept) tell(Finding::kNotByClients, *kept, -kept->units, nullptr);
      if (client && !any) tell(Finding::kNotInLedgers, group.front(), 0, nullptr);
      if (client && kept && kept->units != group.front().units)
        tell(Finding::kUnitsDiffer, *kept, group.front().units - kept->units, nullptr);
    }
    group.clear();
  };
  runs.merge([&](const Item& i) {
    if (!group.empty() && (group.front().identity != i.identity || group.front().volume != i.volume)) close();
    group.push_back(i);
  });
  close();
  result.runs = runs.runs();
  return true;
}

}  // namespace heronworks::ledger
