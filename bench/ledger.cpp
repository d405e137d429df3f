// Ledgers of a million entries and more: bytes an entry, entries a second, recovery with and without a
// snapshot, reconciliation against the number of entries. Arguments: entries of the largest (1,000,000).
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

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Entries from `from` on, in groups as a busy scheduler's.
double fill(store::FileSystem& files, const std::string& folder, std::uint64_t entries, std::uint64_t from,
            bool snapshot) {
  store::ReplayResult state;
  store::FileError fault;
  store::LogOptions options;
  options.keep_all_segments = true;
  const auto log = store::Log::open(files, folder + "/entries", options, {}, state, fault);
  if (!log) std::exit(1);
  LedgerState book({3600, 60, 200000});
  std::vector<std::string> records;
  book.open(1e9, from + 1, 0, records);
  const double start = now();
  for (std::uint64_t i = 0; i < entries; ++i) {
    UsageEntry u;
    u.identity = from + i;
    u.tenant = "cooperative";
    u.volume = static_cast<std::uint32_t>(1 + i % 300);
    u.plan = "standard";
    u.profile = "read";
    u.units = static_cast<std::uint32_t>(1 + i % 8);
    u.bytes = 4096 * u.units;
    u.client = "nqn.2026-11.org.heronworks:client.7";
    book.record_usage(1e9 + 0.0001 * static_cast<double>(i), u, records);
    for (const std::string& r : records) log->append(store::byte_view(r));
    records.clear();
    if (log->pending_count() >= 1000 && log->commit() != 0) std::exit(1);
  }
  book.advance(1e9 + 0.0001 * static_cast<double>(entries) + 7200, records);
  for (const std::string& r : records) log->append(store::byte_view(r));
  if (log->commit() != 0) std::exit(1);
  log->write_durability_marker();
  const double took = now() - start;
  if (snapshot && log->write_snapshot(log->last_sequence(), store::byte_view(book.snapshot())) != 0)
    std::exit(1);
  return took;
}

double recover(store::FileSystem& files, const std::string& folder) {
  const double start = now();
  store::ReplayResult state;
  store::FileError fault;
  LedgerState book({3600, 60, 200000});
  std::string wrong;
  store::LogOptions options;
  options.keep_all_segments = true;
  if (!store::Log::open(files, folder + "/entries", options, replay_into(book, wrong), state, fault) ||
      !wrong.empty())
    std::exit(1);
  return now() - start;
}

double most_memory() {
  rusage u{};
  ::getrusage(RUSAGE_SELF, &u);
  return static_cast<double>(u.ru_maxrss) / 1024;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t most = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000000;
  const std::string root = "/var/tmp/heronworks-ledger-bench-" + std::to_string(::getpid());
  store::PosixFileSystem files;
  std::printf("%12s %14s %12s %14s %14s\n", "entries", "entries/s", "bytes each", "recovery s",
              "with snapshot");
  for (std::uint64_t n = most / 10; n <= most; n *= 10) {
    const std::string folder = root + "/" + std::to_string(n);
    const double took = fill(files, folder, n, 0, false);
    double bytes = 0;
    for (const auto& f : std::filesystem::directory_iterator(folder + "/entries"))
      bytes += static_cast<double>(f.file_size());
    const double without = recover(files, folder);
    std::filesystem::remove_all(folder);
    fill(files, folder, n, 0, true);
    std::printf("%12llu %14.0f %12.1f %14.2f %14.3f\n", static_cast<unsigned long long>(n),
                static_cast<double>(n) / took, bytes / static_cast<double>(n), without,
                recover(files, folder));
    std::filesystem::remove_all(folder);
  }
  std::printf("%12s %10s %12s %14s %12s\n", "ledgers", "entries", "s", "entries/s", "most MiB");
  std::vector<std::string> folders;
  std::uint64_t all = 0;
  for (int i = 0; i < 10; ++i) {
    folders.push_back(root + "/l" + std::to_string(i));
    fill(files, folders.back(), most / 10, static_cast<std::uint64_t>(i) * most / 10 - (i > 0 ? 5 : 0),
         false);
    all += most / 10;
    if (i != 0 && i != 2 && i != 9) continue;
    ReconcileOptions o;
    o.scratch_folder = root + "/runs";
    ReconciliationSummary r;
    store::FileError fault;
    const double start = now();
    if (!reconcile(
            files, folders, o, [](const Discrepancy&) {}, r, fault))
      return 1;
    std::printf("%12zu %10llu %12.2f %14.0f %12.0f  billed twice %llu\n", folders.size(),
                static_cast<unsigned long long>(all), now() - start,
                static_cast<double>(all) / (now() - start), most_memory(),
                static_cast<unsigned long long>(r.discrepancies[0]));
  }
  std::filesystem::remove_all(root);
  return 0;
}
