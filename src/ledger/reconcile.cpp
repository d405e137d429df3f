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

constexpr std::size_t kMinBufferedRecords = 16;

// What the sorter orders: a billed entry, or a line of the client report. Written to run files as it is in
// memory.
struct UsageRecord {
  std::uint64_t identity = 0;
  std::int64_t recorded_ns = 0;
  std::uint64_t entry = 0;
  std::int64_t period = 0;
  std::int64_t units = 0;           // net of corrections
  std::uint32_t entered_units = 0;  // units of the entry without corrections
  std::uint32_t volume = 0;
  std::uint32_t tenant_index = 0;
  std::int32_t ledger_index = -1;  // index of the folder; -1: a line of the client report
  auto key() const { return std::tie(identity, volume, recorded_ns, ledger_index, entry); }
};

// External merge sort of usage records: sorts them in memory and writes a sorted run to a file whenever the
// buffer is full. Throws std::runtime_error if a run cannot be written.
class ExternalSorter {
 public:
  ExternalSorter(std::string scratch_folder, std::size_t max_in_memory)
      : scratch_folder_(std::move(scratch_folder)),
        max_in_memory_(std::max<std::size_t>(max_in_memory, kMinBufferedRecords)) {
    std::filesystem::create_directories(scratch_folder_);
  }
  ~ExternalSorter() {
    std::error_code ignored;
    for (const std::string& path : run_paths_) std::filesystem::remove(path, ignored);
  }
  void add(const UsageRecord& record) {
    buffer_.push_back(record);
    if (buffer_.size() >= max_in_memory_) write_run();
  }
  // Passes on all records in order of their keys.
  void merge(const std::function<void(const UsageRecord&)>& on_record) {
    if (run_paths_.empty()) {
      sort();
      for (const UsageRecord& record : buffer_) on_record(record);
      return;
    }
    write_run();
    struct RunReader {
      std::ifstream file;
      std::vector<UsageRecord> buffer;
      std::size_t next = 0;
      bool fill(std::size_t max_records) {
        if (next < buffer.size()) return true;
        buffer.resize(max_records);
        file.read(reinterpret_cast<char*>(buffer.data()),
                  static_cast<std::streamsize>(max_records * sizeof(UsageRecord)));
        buffer.resize(static_cast<std::size_t>(file.gcount()) / sizeof(UsageRecord));
        next = 0;
        return !buffer.empty();
      }
    };
    std::vector<RunReader> readers(run_paths_.size());
    const std::size_t records_per_reader =
        std::max<std::size_t>(max_in_memory_ / (2 * readers.size()), kMinBufferedRecords);
    const auto has_later_key = [&](std::size_t a, std::size_t b) {
      return readers[b].buffer[readers[b].next].key() < readers[a].buffer[readers[a].next].key();
    };
    std::priority_queue<std::size_t, std::vector<std::size_t>, decltype(has_later_key)> queue(has_later_key);
    for (std::size_t i = 0; i < readers.size(); ++i) {
      readers[i].file.open(run_paths_[i], std::ios::binary);
      if (readers[i].fill(records_per_reader)) queue.push(i);
    }
    while (!queue.empty()) {
      const std::size_t next = queue.top();
      queue.pop();
      on_record(readers[next].buffer[readers[next].next++]);
      if (readers[next].fill(records_per_reader)) queue.push(next);
    }
  }
  std::size_t run_count() const { return std::max<std::size_t>(run_paths_.size(), 1); }

 private:
  void sort() {
    std::sort(buffer_.begin(), buffer_.end(),
              [](const UsageRecord& a, const UsageRecord& b) { return a.key() < b.key(); });
  }
  void write_run() {
    if (buffer_.empty()) return;
    sort();
    run_paths_.push_back(scratch_folder_ + "/run-" + std::to_string(run_paths_.size()));
    std::ofstream file(run_paths_.back(), std::ios::binary);
    file.write(reinterpret_cast<const char*>(buffer_.data()),
               static_cast<std::streamsize>(buffer_.size() * sizeof(UsageRecord)));
    file.close();
    if (!file) throw std::runtime_error("cannot write sorted run " + run_paths_.back());
    buffer_.clear();
  }
  const std::string scratch_folder_;
  const std::size_t max_in_memory_;
  std::vector<UsageRecord> buffer_;
  std::vector<std::string> run_paths_;
};

}  // namespace

const char* discrepancy_name(DiscrepancyKind kind) {
  static constexpr const char* kNames[] = {"billed twice", "units differ", "not by clients",
                                           "not in ledgers"};
  return kNames[static_cast<std::size_t>(kind)];
}

bool reconcile(store::FileSystem& files, const std::vector<std::string>& folders,
               const ReconcileOptions& options, const std::function<void(const Discrepancy&)>& on_discrepancy,
               ReconciliationSummary& summary, store::FileError& error) {
  summary = {};
  ExternalSorter sorter(options.scratch_folder, options.max_entries_in_memory);
  std::vector<std::uint64_t> ledger_ids;
  std::vector<std::string> tenants;  // by tenant index
  std::map<std::string, std::uint32_t, std::less<>> tenant_indexes;
  for (std::size_t ledger = 0; ledger < folders.size(); ++ledger) {
    Adjustments adjustments;
    if (!read_adjustments(files, folders[ledger], adjustments, error)) return false;
    std::map<std::uint64_t, std::int64_t> corrected_units;  // by entry
    for (const wire::Correction& correction : adjustments.corrections)
      corrected_units[correction.entry()] += correction.units();
    // The ledger is read twice, as its last sealed entry must be known before entries are added.
    LedgerSummary ledger_summary;
    if (!read_ledger(files, folders[ledger], {}, ledger_summary, error)) return false;
    const std::uint64_t last_sealed_entry =
        ledger_summary.sealed_periods.empty() ? 0 : ledger_summary.sealed_periods.back().last();
    LedgerVisitor visitor;
    visitor.on_entry = [&](const wire::Entry& entry, std::string_view) {
      if (entry.number() > last_sealed_entry && !options.include_unsealed) {
        ++summary.unsealed;
        return;
      }
      ++summary.entries;
      if (entry.repeat_of() != 0) {
        ++summary.repeats;
        return;
      }
      std::int64_t units = entry.units();
      if (const auto correction = corrected_units.find(entry.number()); correction != corrected_units.end())
        units += correction->second;
      summary.units += static_cast<std::uint64_t>(units);
      if (entry.unnamed()) return;
      auto tenant = tenant_indexes.find(entry.tenant());
      if (tenant == tenant_indexes.end()) {
        tenant = tenant_indexes.emplace(entry.tenant(), static_cast<std::uint32_t>(tenants.size())).first;
        tenants.push_back(entry.tenant());
      }
      sorter.add({entry.identity(), entry.at(), entry.number(), entry.period(), units, entry.units(),
                  entry.volume(), tenant->second, static_cast<std::int32_t>(ledger)});
    };
    if (!read_ledger(files, folders[ledger], visitor, ledger_summary, error)) return false;
    ledger_ids.push_back(ledger_summary.ledger_id);
  }
  if (!options.client_report.empty()) {
    std::ifstream report(options.client_report);
    if (!report) {
      error = {options.client_report, 0, "cannot read the client report", 0};
      return false;
    }
    UsageRecord record;
    record.recorded_ns = INT64_MIN;  // sorts before the entries of its identity
    while (report >> record.identity >> record.volume >> record.units) {
      ++summary.client_lines;
      sorter.add(record);
    }
    if (!report.eof()) {
      error = {options.client_report, 0,
               "line " + std::to_string(summary.client_lines + 1) +
                   " of the client report does not have the form: identity volume units",
               0};
      return false;
    }
  }
  std::vector<UsageRecord> group;  // records of one identity and volume
  const auto check_group = [&] {
    if (group.empty()) return;
    ++summary.identities;
    const auto report = [&](DiscrepancyKind kind, const UsageRecord& record, std::int64_t correction_units,
                            const UsageRecord* kept) {
      ++summary.discrepancies[static_cast<std::size_t>(kind)];
      Discrepancy discrepancy;
      discrepancy.kind = kind;
      discrepancy.ledger_id =
          record.ledger_index >= 0 ? ledger_ids[static_cast<std::size_t>(record.ledger_index)] : 0;
      discrepancy.entry = record.entry;
      discrepancy.identity = record.identity;
      discrepancy.tenant = record.ledger_index >= 0 ? tenants[record.tenant_index] : "";
      discrepancy.volume = record.volume;
      discrepancy.period = record.period;
      discrepancy.correction_units = correction_units;
      if (kept) {
        discrepancy.kept_ledger_id = ledger_ids[static_cast<std::size_t>(kept->ledger_index)];
        discrepancy.kept_entry = kept->entry;
      }
      on_discrepancy(discrepancy);
    };
    const bool in_client_report = group.front().ledger_index < 0;
    const UsageRecord* kept = nullptr;
    bool in_ledgers = false;
    for (const UsageRecord& record : group) {
      if (record.ledger_index < 0) continue;
      in_ledgers = true;
      if (record.units <= 0) continue;  // corrected to nothing already
      if (!kept) {
        kept = &record;
        continue;
      }
      // The earliest entry stays billed; at the same time, that of the folder named first.
      report(DiscrepancyKind::kBilledTwice, record, -record.units, kept);
      if (record.entered_units != kept->entered_units) report(DiscrepancyKind::kUnitsDiffer, record, 0, kept);
    }
    if (!options.client_report.empty()) {
      if (!in_client_report && kept) report(DiscrepancyKind::kUnknownToClients, *kept, -kept->units, nullptr);
      if (in_client_report && !in_ledgers)
        report(DiscrepancyKind::kMissingFromLedgers, group.front(), 0, nullptr);
      if (in_client_report && kept && kept->units != group.front().units)
        report(DiscrepancyKind::kUnitsDiffer, *kept, group.front().units - kept->units, nullptr);
    }
    group.clear();
  };
  sorter.merge([&](const UsageRecord& record) {
    if (!group.empty() &&
        (group.front().identity != record.identity || group.front().volume != record.volume))
      check_group();
    group.push_back(record);
  });
  check_group();
  summary.sorted_runs = sorter.run_count();
  return true;
}

}  // namespace heronworks::ledger
