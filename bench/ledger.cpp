// Ledger throughput and size per entry, recovery with and without a snapshot, and reconciliation of several
// ledgers. Argument: entries of the largest ledger (default 1,000,000).
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>

#include "ledger/reconcile.h"

using namespace heronworks;
using namespace heronworks::ledger;

namespace {

double now_seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Writes entries with identities from `first_identity` on, in group commits. Returns the seconds taken,
// without the snapshot.
double write_ledger(store::FileSystem& files, const std::string& folder, std::uint64_t entry_count,
                    std::uint64_t first_identity, bool snapshot) {
  store::ReplayResult state;
  store::FileError error;
  store::LogOptions options;
  options.keep_all_segments = true;
  const auto log = store::Log::open(files, folder + "/entries", options, {}, state, error);
  if (!log) std::exit(1);
  LedgerState ledger({3600, 60, 200000});
  std::vector<std::string> records;
  ledger.open(1e9, first_identity + 1, 0, records);
  const double start = now_seconds();
  for (std::uint64_t i = 0; i < entry_count; ++i) {
    UsageEntry entry;
    entry.identity = first_identity + i;
    entry.tenant = "cooperative";
    entry.volume = static_cast<std::uint32_t>(1 + i % 300);
    entry.plan = "standard";
    entry.profile = "read";
    entry.units = static_cast<std::uint32_t>(1 + i % 8);
    entry.bytes = 4096 * entry.units;
    entry.client = "nqn.2026-11.org.heronworks:client.7";
    ledger.record_usage(1e9 + 0.0001 * static_cast<double>(i), entry, records);
    for (const std::string& record : records) log->append(store::byte_view(record));
    records.clear();
    if (log->pending_count() >= 1000 && log->commit() != 0) std::exit(1);
  }
  ledger.advance(1e9 + 0.0001 * static_cast<double>(entry_count) + 7200, records);
  for (const std::string& record : records) log->append(store::byte_view(record));
  if (log->commit() != 0) std::exit(1);
  log->write_durability_marker();
  const double elapsed = now_seconds() - start;
  if (snapshot && log->write_snapshot(log->last_sequence(), store::byte_view(ledger.snapshot())) != 0)
    std::exit(1);
  return elapsed;
}

double recover(store::FileSystem& files, const std::string& folder) {
  const double start = now_seconds();
  store::ReplayResult state;
  store::FileError error;
  LedgerState ledger({3600, 60, 200000});
  std::string replay_error;
  store::LogOptions options;
  options.keep_all_segments = true;
  if (!store::Log::open(files, folder + "/entries", options, replay_into(ledger, replay_error), state,
                        error) ||
      !replay_error.empty())
    std::exit(1);
  return now_seconds() - start;
}

double peak_memory_mib() {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t max_entries = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000000;
  const std::string root = "/var/tmp/heronworks-ledger-bench-" + std::to_string(::getpid());
  store::PosixFileSystem files;
  std::printf("%12s %14s %12s %14s %14s\n", "entries", "entries/s", "bytes each", "recovery s",
              "with snapshot");
  for (std::uint64_t entry_count = max_entries / 10; entry_count <= max_entries; entry_count *= 10) {
    const std::string folder = root + "/" + std::to_string(entry_count);
    const double elapsed = write_ledger(files, folder, entry_count, 0, false);
    double bytes = 0;
    for (const auto& file : std::filesystem::directory_iterator(folder + "/entries"))
      bytes += static_cast<double>(file.file_size());
    const double recovery_time = recover(files, folder);
    std::filesystem::remove_all(folder);
    write_ledger(files, folder, entry_count, 0, true);
    std::printf("%12llu %14.0f %12.1f %14.2f %14.3f\n", static_cast<unsigned long long>(entry_count),
                static_cast<double>(entry_count) / elapsed, bytes / static_cast<double>(entry_count),
                recovery_time, recover(files, folder));
    std::filesystem::remove_all(folder);
  }
  std::printf("%12s %10s %12s %14s %12s\n", "ledgers", "entries", "s", "entries/s", "most MiB");
  std::vector<std::string> folders;
  std::uint64_t total_entries = 0;
  for (int i = 0; i < 10; ++i) {
    folders.push_back(root + "/l" + std::to_string(i));
    write_ledger(files, folders.back(), max_entries / 10,
                 static_cast<std::uint64_t>(i) * max_entries / 10 - (i > 0 ? 5 : 0), false);
    total_entries += max_entries / 10;
    if (i != 0 && i != 2 && i != 9) continue;
    ReconcileOptions options;
    options.scratch_folder = root + "/runs";
    ReconciliationSummary result;
    store::FileError error;
    const double start = now_seconds();
    if (!reconcile(
            files, folders, options, [](const Discrepancy&) {}, result, error))
      return 1;
    std::printf("%12zu %10llu %12.2f %14.0f %12.0f  billed twice %llu\n", folders.size(),
                static_cast<unsigned long long>(total_entries), now_seconds() - start,
                static_cast<double>(total_entries) / (now_seconds() - start), peak_memory_mib(),
                static_cast<unsigned long long>(result.discrepancies[0]));
  }
  std::filesystem::remove_all(root);
  return 0;
}
