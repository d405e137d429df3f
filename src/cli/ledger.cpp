#include "cli/ledger.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>

#include "ledger/period_export.h"
#include "ledger/reconcile.h"
#include "ledger/statement.h"

namespace heronworks::cli {
namespace {

using namespace heronworks::ledger;

// Arguments of all ledger commands; each command reads its own.
struct LedgerArguments {
  std::string folder;
  std::vector<std::string> folders;
  std::string tenant;
  std::string receiver;
  std::string who;
  std::string why;
  std::string proposals_in;
  std::string format = "records";
  std::string scratch_folder;
  std::string client_report;
  std::string proposals_out;
  std::string output_file;
  std::int64_t period = -1;
  std::int64_t units = 0;
  std::uint64_t entry = 0;
  std::uint64_t first_entry = 1;
  std::uint64_t max_printed = 50;
  std::size_t max_entries_in_memory = 500000;
  double timeout = 60;  // s
  bool html = false;
  bool include_unsealed = false;
};

int fail(const store::FileError& error) {
  std::fprintf(stderr, "heronworks: %s\n", error.to_string().c_str());
  return 2;
}

std::string ledger_id_text(std::uint64_t ledger_id) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(ledger_id));
  return text;
}

int print_status(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  LedgerSummary summary;
  Adjustments adjustments;
  store::FileError error;
  if (!read_ledger(files, arguments.folder, {}, summary, error) ||
      !read_adjustments(files, arguments.folder, adjustments, error))
    return fail(error);
  std::printf("ledger %s of scheduler %u: %llu entries in %zu segments of %.1f MiB, %zu corrections\n",
              ledger_id_text(summary.ledger_id).c_str(), summary.scheduler,
              static_cast<unsigned long long>(summary.entry_count), summary.replay.segment_count,
              static_cast<double>(summary.replay.bytes_read) / 1048576, adjustments.corrections.size());
  if (summary.replay.torn_write) std::printf("%s\n", summary.replay.torn_write->to_string().c_str());
  for (const wire::Note& note : summary.notes) std::printf("note: %s\n", note.text().c_str());
  std::printf("%10s %12s %12s %12s %8s  %s\n", "period", "first", "last", "units", "repeats", "exported");
  for (const wire::Closed& seal : summary.sealed_periods) {
    std::string exported;
    for (const auto& [id, intent] : adjustments.intents) {
      if (intent.period() == seal.period())
        exported += (exported.empty() ? "" : ", ") + id +
                    (adjustments.committed.contains(id) ? "" : " (not finished)");
    }
    std::printf("%10lld %12llu %12llu %12llu %8llu  %s\n", static_cast<long long>(seal.period()),
                static_cast<unsigned long long>(seal.first()), static_cast<unsigned long long>(seal.last()),
                static_cast<unsigned long long>(seal.units()),
                static_cast<unsigned long long>(seal.repeats()), exported.c_str());
  }
  std::printf("%10lld  runs, %llu units so far\n", static_cast<long long>(summary.open_period),
              static_cast<unsigned long long>(summary.open_units));
  return 0;
}

int print_entries(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  store::FileError error;
  LedgerSummary summary;
  std::uint64_t printed = 0;
  LedgerVisitor visitor;
  visitor.on_entry = [&](const wire::Entry& entry, std::string_view) {
    if (entry.number() < arguments.first_entry || printed >= arguments.max_printed ||
        (arguments.period >= 0 && entry.period() != arguments.period) ||
        (!arguments.tenant.empty() && entry.tenant() != arguments.tenant))
      return;
    ++printed;
    std::printf(
        "%llu identity %llu tenant %s volume %u plan %s profile %s units %u bytes %llu standing %d period "
        "%lld%s\n",
        static_cast<unsigned long long>(entry.number()), static_cast<unsigned long long>(entry.identity()),
        entry.tenant().c_str(), entry.volume(), entry.plan().c_str(), entry.profile().c_str(), entry.units(),
        static_cast<unsigned long long>(entry.bytes()), static_cast<int>(entry.standing()),
        static_cast<long long>(entry.period()),
        entry.repeat_of() ? (" repeats " + std::to_string(entry.repeat_of())).c_str() : "");
  };
  return read_ledger(files, arguments.folder, visitor, summary, error) ? 0 : fail(error);
}

int verify_ledger(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  store::FileError error;
  LedgerSummary summary;
  Adjustments adjustments;
  if (!read_ledger(files, arguments.folder, {}, summary, error) ||
      !read_adjustments(files, arguments.folder, adjustments, error))
    return fail(error);
  std::printf("%llu entries, %zu seals: all hold\n", static_cast<unsigned long long>(summary.entry_count),
              summary.sealed_periods.size());
  if (summary.replay.torn_write)
    std::printf("%s (left by a crash; the next start of the scheduler removes it)\n",
                summary.replay.torn_write->to_string().c_str());
  return 0;
}

// Seals a period that has ended, for a scheduler that does not run any more.
int seal_ended_period(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  store::FileError error;
  store::ReplayResult replay;
  LedgerState state{LedgerStateOptions{}};
  std::string invalid_record;
  store::LogOptions options;
  options.keep_all_segments = true;
  const auto log = store::Log::open(files, arguments.folder + "/entries", options,
                                    replay_into(state, invalid_record), replay, error);
  if (!log) return fail(error);
  if (!invalid_record.empty()) return fail({arguments.folder, 0, invalid_record, 0});
  std::vector<std::string> records;
  const double now =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  state.advance(std::max(now, state.time()), records);
  for (const std::string& record : records) log->append(store::byte_view(record));
  if (const int code = log->commit(); code != 0)
    return fail({arguments.folder, 0, "cannot be written", code});
  std::printf(records.empty() ? "nothing to close\n" : "closed\n");
  return 0;
}

int add_corrections(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  store::FileError error;
  LedgerSummary summary;
  // The correction given by options, or those lines of the file that name this ledger.
  struct RequestedCorrection {
    std::uint64_t entry;
    std::int64_t units;
    std::string why;
  };
  std::vector<RequestedCorrection> requested;
  if (!read_ledger(files, arguments.folder, {}, summary, error)) return fail(error);
  if (arguments.proposals_in.empty()) {
    if (arguments.entry == 0 || arguments.units == 0 || arguments.why.empty())
      return fail({"correct", 0, "either --from, or all of --entry, --units and --why are required", 0});
    requested.push_back({arguments.entry, arguments.units, arguments.why});
  } else {
    std::ifstream file(arguments.proposals_in);
    if (!file) return fail({arguments.proposals_in, 0, "cannot be read", 0});
    std::string line;
    for (int line_number = 1; std::getline(file, line); ++line_number) {
      std::istringstream fields(line);
      std::string ledger_id;
      RequestedCorrection correction{};
      if (!(fields >> ledger_id >> correction.entry >> correction.units) || ledger_id.size() != 16)
        return fail({arguments.proposals_in + ", line " + std::to_string(line_number), 0,
                     "does not have the form: ledger entry units reason", 0});
      std::getline(fields >> std::ws, correction.why);
      if (ledger_id == ledger_id_text(summary.ledger_id)) requested.push_back(correction);
    }
  }
  Adjustments adjustments;
  const auto log = open_adjustment_log(files, arguments.folder, adjustments, error);
  if (!log) return fail(error);
  std::map<std::uint64_t, wire::Entry> entries;  // that are to be corrected
  for (const RequestedCorrection& correction : requested) entries[correction.entry];
  LedgerVisitor visitor;
  visitor.on_entry = [&](const wire::Entry& entry, std::string_view) {
    if (const auto found = entries.find(entry.number()); found != entries.end()) found->second = entry;
  };
  if (!read_ledger(files, arguments.folder, visitor, summary, error)) return fail(error);
  int added = 0;
  int already_present = 0;
  for (const RequestedCorrection& correction : requested) {
    const wire::Entry& entry = entries[correction.entry];
    if (entry.number() == 0)
      return fail({arguments.folder, 0, "the ledger has no entry " + std::to_string(correction.entry), 0});
    std::int64_t billed_units = entry.repeat_of() == 0 ? entry.units() : 0;
    bool present = false;
    for (const wire::Correction& existing : adjustments.corrections) {
      if (existing.entry() != correction.entry) continue;
      billed_units += existing.units();
      present = present || (existing.units() == correction.units && existing.why() == correction.why);
    }
    if (present && !arguments.proposals_in.empty()) {  // applying proposals is idempotent
      ++already_present;
      continue;
    }
    if (billed_units + correction.units < 0)
      return fail({arguments.folder, 0,
                   "entry " + std::to_string(correction.entry) + " bills " + std::to_string(billed_units) +
                       " units, which cannot be reduced by " + std::to_string(-correction.units),
                   0});
    wire::DeskRecord record;
    auto& added_correction = *record.mutable_correction();
    added_correction.set_ledger(summary.ledger_id);
    added_correction.set_entry(correction.entry);
    added_correction.set_identity(entry.identity());
    added_correction.set_tenant(entry.tenant());
    added_correction.set_volume(entry.volume());
    added_correction.set_period(entry.period());
    added_correction.set_units(correction.units);
    added_correction.set_who(arguments.who);
    added_correction.set_why(correction.why);
    added_correction.set_at(std::chrono::duration_cast<std::chrono::nanoseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count());
    if (const int code = append_adjustment(*log, adjustments, record); code != 0)
      return fail({arguments.folder + "/desk", 0, "cannot be written", code});
    ++added;
  }
  std::printf("%d corrections made, %d were there already\n", added, already_present);
  return 0;
}

int export_periods(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  store::FileError error;
  const auto receiver = Address::parse(arguments.receiver);
  if (!receiver) return fail({arguments.receiver, 0, "is not a numeric address with a port", 0});
  const ExportFormat format = arguments.format == "csv" ? ExportFormat::kCsv : ExportFormat::kRecords;
  Adjustments adjustments;
  const auto log = open_adjustment_log(files, arguments.folder, adjustments, error);
  if (!log) return fail(error);
  LedgerSummary summary;
  if (!read_ledger(files, arguments.folder, {}, summary, error)) return fail(error);
  int failures = 0;
  for (const wire::Closed& seal : summary.sealed_periods) {
    if (arguments.period >= 0 && seal.period() != arguments.period) continue;
    std::string content;
    LedgerSummary export_summary;
    if (!build_export(files, arguments.folder, seal.period(), format, content, export_summary, error))
      return fail(error);
    const ExportResult result = run_export(*log, adjustments, summary.ledger_id, seal.period(), format,
                                           content, *receiver, arguments.timeout);
    std::printf("%s: %s\n", result.id.c_str(), result.message.c_str());
    failures += result.succeeded ? 0 : 1;
  }
  return failures == 0 ? 0 : 1;
}

int reconcile_ledgers(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  store::FileError error;
  ReconcileOptions options;
  options.scratch_folder =
      arguments.scratch_folder.empty()
          ? (std::filesystem::temp_directory_path() / ("heronworks-reconcile-" + std::to_string(::getpid())))
                .string()
          : arguments.scratch_folder;
  options.max_entries_in_memory = arguments.max_entries_in_memory;
  options.include_unsealed = arguments.include_unsealed;
  options.client_report = arguments.client_report;
  std::ofstream proposals;
  if (!arguments.proposals_out.empty()) proposals.open(arguments.proposals_out);
  std::uint64_t found_count = 0;
  const auto on_discrepancy = [&](const Discrepancy& discrepancy) {
    if (++found_count <= arguments.max_printed)
      std::printf(
          "%s: identity %llu, entry %llu of %s, tenant %s, volume %u, period %lld%s%s\n",
          discrepancy_name(discrepancy.kind), static_cast<unsigned long long>(discrepancy.identity),
          static_cast<unsigned long long>(discrepancy.entry), ledger_id_text(discrepancy.ledger_id).c_str(),
          discrepancy.tenant.c_str(), discrepancy.volume, static_cast<long long>(discrepancy.period),
          discrepancy.correction_units != 0
              ? (", correct by " + std::to_string(discrepancy.correction_units)).c_str()
              : "",
          discrepancy.kept_entry != 0 ? (", billed by entry " + std::to_string(discrepancy.kept_entry) +
                                         " of " + ledger_id_text(discrepancy.kept_ledger_id))
                                            .c_str()
                                      : "");
    if (discrepancy.correction_units != 0 && proposals.is_open())
      proposals << ledger_id_text(discrepancy.ledger_id) << " " << discrepancy.entry << " "
                << discrepancy.correction_units << " " << discrepancy_name(discrepancy.kind) << ", identity "
                << discrepancy.identity << "\n";
  };
  ReconciliationSummary result;
  if (!reconcile(files, arguments.folders, options, on_discrepancy, result, error)) return fail(error);
  if (arguments.scratch_folder.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(options.scratch_folder, ignored);
  }
  if (found_count > arguments.max_printed)
    std::printf("and %llu more\n", static_cast<unsigned long long>(found_count - arguments.max_printed));
  std::printf(
      "%zu ledgers, %llu entries (%llu repeats), %llu identities, %llu units billed, %llu entries not sealed "
      "yet; %zu runs\n",
      arguments.folders.size(), static_cast<unsigned long long>(result.entries),
      static_cast<unsigned long long>(result.repeats), static_cast<unsigned long long>(result.identities),
      static_cast<unsigned long long>(result.units), static_cast<unsigned long long>(result.unsealed),
      result.sorted_runs);
  std::printf("billed twice %llu, units differ %llu, not by clients %llu, not in ledgers %llu\n",
              static_cast<unsigned long long>(result.discrepancies[0]),
              static_cast<unsigned long long>(result.discrepancies[1]),
              static_cast<unsigned long long>(result.discrepancies[2]),
              static_cast<unsigned long long>(result.discrepancies[3]));
  return found_count == 0 ? 0 : 1;
}

int print_statement(const LedgerArguments& arguments) {
  store::PosixFileSystem files;
  store::FileError error;
  Statement statement;
  if (!make_statement(files, arguments.folders, arguments.tenant, arguments.period, statement, error))
    return fail(error);
  const std::string text = arguments.html ? render_html(statement) : render_text(statement);
  if (arguments.output_file.empty()) {
    std::fputs(text.c_str(), stdout);
    return 0;
  }
  std::ofstream file(arguments.output_file);
  file << text;
  file.close();
  return file ? 0 : fail({arguments.output_file, 0, "cannot be written", 0});
}

}  // namespace

void add_ledger_commands(CLI::App& app, std::function<int()>& chosen) {
  auto* ledger = app.add_subcommand("ledger", "inspect, correct, export and reconcile usage ledgers");
  ledger->require_subcommand(1);
  const auto arguments = std::make_shared<LedgerArguments>();
  const auto add_command = [&](const char* name, const char* help, int (*run)(const LedgerArguments&)) {
    auto* command = ledger->add_subcommand(name, help);
    command->callback([&chosen, arguments, run] { chosen = [arguments, run] { return run(*arguments); }; });
    return command;
  };
  const auto with_folder = [&](CLI::App* command) {
    command->add_option("folder", arguments->folder, "folder of the ledger")
        ->required()
        ->check(CLI::ExistingDirectory);
    return command;
  };
  const auto with_folders = [&](CLI::App* command) {
    command->add_option("folders", arguments->folders, "folders of the ledgers")
        ->required()
        ->check(CLI::ExistingDirectory);
    return command;
  };
  with_folder(add_command(
      "status", "print periods, seals and exports; also while a scheduler writes the ledger", print_status));
  auto* show = with_folder(add_command("show", "print entries", print_entries));
  show->add_option("--first", arguments->first_entry, "number of the first entry to print");
  show->add_option("--count", arguments->max_printed, "most entries to print");
  show->add_option("--period", arguments->period, "only entries of this period");
  show->add_option("--tenant", arguments->tenant, "only entries of this tenant");
  with_folder(add_command("verify", "verify every checksum, entry number and seal", verify_ledger));
  with_folder(add_command("close", "seal a period that has ended, for a scheduler that does not run any more",
                          seal_ended_period));
  auto* correct = with_folder(add_command(
      "correct", "add units to, or subtract them from, what an entry bills; the entry itself is kept",
      add_corrections));
  correct->add_option("--entry", arguments->entry, "number of the entry");
  correct->add_option("--units", arguments->units, "units to add; negative to subtract");
  correct->add_option("--who", arguments->who, "person responsible for the correction")->required();
  correct->add_option("--why", arguments->why, "reason, shown on the statement");
  correct->add_option("--from", arguments->proposals_in,
                      "file of proposals by `reconcile`; those for other ledgers are skipped");
  auto* export_command = with_folder(
      add_command("export", "send sealed periods to a receiver, each exactly once", export_periods));
  export_command->add_option("--to", arguments->receiver, "address and port")->required();
  export_command->add_option("--period", arguments->period, "export only this period");
  export_command->add_option("--form", arguments->format, "records or csv")
      ->check(CLI::IsMember({"records", "csv"}));
  export_command->add_option("--patience", arguments->timeout, "timeout for each period, s");
  auto* reconcile_command = with_folders(
      add_command("reconcile", "compare ledgers and find transactions that were billed twice or not at all",
                  reconcile_ledgers));
  reconcile_command->add_option(
      "--clients", arguments->client_report,
      "file of transactions that succeeded by the clients' report, a line each: identity volume units");
  reconcile_command->add_option("--proposals", arguments->proposals_out,
                                "file to write proposed corrections to, for `correct --from`");
  reconcile_command->add_option("--scratch", arguments->scratch_folder, "folder for temporary files");
  reconcile_command->add_option("--memory", arguments->max_entries_in_memory,
                                "most entries to hold in memory");
  reconcile_command->add_option("--count", arguments->max_printed, "most discrepancies to print");
  reconcile_command->add_flag("--open-too", arguments->include_unsealed,
                              "include entries of periods that are not sealed");
  auto* statement =
      with_folders(add_command("statement", "print what a tenant pays for a period", print_statement));
  statement->add_option("--tenant", arguments->tenant)->required();
  statement->add_option("--period", arguments->period)->required();
  statement->add_flag("--html", arguments->html, "HTML instead of plain text");
  statement->add_option("--out", arguments->output_file, "file to write instead of standard output");
}

}  // namespace heronworks::cli
