// heronworks ledger: see ledger.h.
#include "cli/ledger.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>

#include "ledger/export_run.h"
#include "ledger/reconcile.h"
#include "ledger/statement.h"

namespace heronworks::cli {
namespace {

using namespace heronworks::ledger;

struct Words {
  std::string folder;
  std::vector<std::string> folders;
  std::string tenant;
  std::string to;
  std::string who;
  std::string why;
  std::string from;
  std::string form = "records";
  std::string scratch;
  std::string clients;
  std::string proposals;
  std::string out;
  std::int64_t period = -1;
  std::int64_t units = 0;
  std::uint64_t entry = 0;
  std::uint64_t first = 1;
  std::uint64_t count = 50;
  std::size_t memory = 500000;
  double patience = 60;
  bool html = false;
  bool open_too = false;
};

int refuse(const store::FileError& f) {
  std::fprintf(stderr, "heronworks: %s\n", f.to_string().c_str());
  return 2;
}

std::string ledger_name(std::uint64_t l) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(l));
  return text;
}

int status(const Words& w) {
  store::PosixFileSystem files;
  LedgerFacts facts;
  Desk desk;
  store::FileError fault;
  if (!read_ledger(files, w.folder, {}, facts, fault) || !read_desk(files, w.folder, desk, fault))
    return refuse(fault);
  std::printf("ledger %s of scheduler %u: %llu entries in %zu segments of %.1f MiB, %zu corrections\n",
              ledger_name(facts.ledger).c_str(), facts.scheduler,
              static_cast<unsigned long long>(facts.entries), facts.log.segment_count,
              static_cast<double>(facts.log.bytes_read) / 1048576, desk.corrections.size());
  if (facts.log.torn_write) std::printf("%s\n", facts.log.torn_write->to_string().c_str());
  for (const wire::Note& n : facts.notes) std::printf("note: %s\n", n.text().c_str());
  std::printf("%10s %12s %12s %12s %8s  %s\n", "period", "first", "last", "units", "repeats", "exported");
  for (const wire::Closed& c : facts.closed) {
    std::string exported;
    for (const auto& [id, i] : desk.intents) {
      if (i.period() == c.period())
        exported +=
            (exported.empty() ? "" : ", ") + id + (desk.committed.contains(id) ? "" : " (not finished)");
    }
    std::printf("%10lld %12llu %12llu %12llu %8llu  %s\n", static_cast<long long>(c.period()),
                static_cast<unsigned long long>(c.first()), static_cast<unsigned long long>(c.last()),
                static_cast<unsigned long long>(c.units()), static_cast<unsigned long long>(c.repeats()),
                exported.c_str());
  }
  std::printf("%10lld  runs, %llu units so far\n", static_cast<long long>(facts.open_period),
              static_cast<unsigned long long>(facts.open_units));
  return 0;
}

int show(const Words& w) {
  store::PosixFileSystem files;
  store::FileError fault;
  LedgerFacts facts;
  std::uint64_t shown = 0;
  Visitor visitor;
  visitor.entry = [&](const wire::Entry& e, std::string_view) {
    if (e.number() < w.first || shown >= w.count || (w.period >= 0 && e.period() != w.period) ||
        (!w.tenant.empty() && e.tenant() != w.tenant))
      return;
    ++shown;
    std::printf(
        "%llu identity %llu tenant %s volume %u plan %s profile %s units %u bytes %llu standing %d period "
        "%lld%s\n",
        static_cast<unsigned long long>(e.number()), static_cast<unsigned long long>(e.identity()),
        e.tenant().c_str(), e.volume(), e.plan().c_str(), e.profile().c_str(), e.units(),
        static_cast<unsigned long long>(e.bytes()), static_cast<int>(e.standing()),
        static_cast<long long>(e.period()),
        e.repeat_of() ? (" repeats " + std::to_string(e.repeat_of())).c_str() : "");
  };
  return read_ledger(files, w.folder, visitor, facts, fault) ? 0 : refuse(fault);
}

int verify(const Words& w) {
  store::PosixFileSystem files;
  store::FileError fault;
  LedgerFacts facts;
  Desk desk;
  if (!read_ledger(files, w.folder, {}, facts, fault) || !read_desk(files, w.folder, desk, fault))
    return refuse(fault);
  std::printf("%llu entries, %zu seals: all hold\n", static_cast<unsigned long long>(facts.entries),
              facts.closed.size());
  if (facts.log.torn_write)
    std::printf("%s (a crash leaves one; the next start cuts it)\n",
                facts.log.torn_write->to_string().c_str());
  return 0;
}

// Seals what is over, for a scheduler that no longer runs.
int close_period(const Words& w) {
  store::PosixFileSystem files;
  store::FileError fault;
  store::ReplayResult state;
  Book book{BookOptions{}};
  std::string wrong;
  store::LogOptions options;
  options.keep_all_segments = true;
  const auto log = store::Log::open(files, w.folder + "/entries", options, into(book, wrong), state, fault);
  if (!log) return refuse(fault);
  if (!wrong.empty()) return refuse({w.folder, 0, wrong, 0});
  std::vector<std::string> records;
  const double now =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  book.tick(std::max(now, book.time()), records);
  for (const std::string& r : records) log->append(store::byte_view(r));
  if (const int e = log->commit(); e != 0) return refuse({w.folder, 0, "cannot be written", e});
  std::printf(records.empty() ? "nothing to close\n" : "closed\n");
  return 0;
}

int correct(const Words& w) {
  store::PosixFileSystem files;
  store::FileError fault;
  LedgerFacts facts;
  // What is to be corrected: one entry from the command line, or the lines of a file that name this ledger.
  struct Wanted {
    std::uint64_t entry;
    std::int64_t units;
    std::string why;
  };
  std::vector<Wanted> wanted;
  if (!read_ledger(files, w.folder, {}, facts, fault)) return refuse(fault);
  if (w.from.empty()) {
    if (w.entry == 0 || w.units == 0 || w.why.empty())
      return refuse({"correct", 0, "--entry, --units and --why are needed, or --from", 0});
    wanted.push_back({w.entry, w.units, w.why});
  } else {
    std::ifstream in(w.from);
    if (!in) return refuse({w.from, 0, "cannot be read", 0});
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
      std::istringstream words(line);
      std::string of;
      Wanted x{};
      if (!(words >> of >> x.entry >> x.units) || of.size() != 16)
        return refuse(
            {w.from + ", line " + std::to_string(number), 0, "is not ledger, entry, units, reason", 0});
      std::getline(words >> std::ws, x.why);
      if (of == ledger_name(facts.ledger)) wanted.push_back(x);
    }
  }
  Desk desk;
  const auto log = open_desk(files, w.folder, desk, fault);
  if (!log) return refuse(fault);
  std::map<std::uint64_t, wire::Entry> entries;  // those named
  for (const Wanted& x : wanted) entries[x.entry];
  Visitor visitor;
  visitor.entry = [&](const wire::Entry& e, std::string_view) {
    if (const auto at = entries.find(e.number()); at != entries.end()) at->second = e;
  };
  if (!read_ledger(files, w.folder, visitor, facts, fault)) return refuse(fault);
  int made = 0;
  int there = 0;
  for (const Wanted& x : wanted) {
    const wire::Entry& e = entries[x.entry];
    if (e.number() == 0) return refuse({w.folder, 0, "there is no entry " + std::to_string(x.entry), 0});
    std::int64_t net = e.repeat_of() == 0 ? e.units() : 0;
    bool same = false;
    for (const wire::Correction& c : desk.corrections) {
      if (c.entry() != x.entry) continue;
      net += c.units();
      same = same || (c.units() == x.units && c.why() == x.why);
    }
    if (same && !w.from.empty()) {  // proposals may be applied again
      ++there;
      continue;
    }
    if (net + x.units < 0)
      return refuse({w.folder, 0,
                     "entry " + std::to_string(x.entry) + " bills " + std::to_string(net) +
                         " units, which cannot be taken down by " + std::to_string(-x.units),
                     0});
    wire::DeskRecord r;
    auto& c = *r.mutable_correction();
    c.set_ledger(facts.ledger);
    c.set_entry(x.entry);
    c.set_identity(e.identity());
    c.set_tenant(e.tenant());
    c.set_volume(e.volume());
    c.set_period(e.period());
    c.set_units(x.units);
    c.set_who(w.who);
    c.set_why(x.why);
    c.set_at(std::chrono::duration_cast<std::chrono::nanoseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count());
    if (const int code = add_to_desk(*log, desk, r); code != 0)
      return refuse({w.folder + "/desk", 0, "cannot be written", code});
    ++made;
  }
  std::printf("%d corrections made, %d were there already\n", made, there);
  return 0;
}

int export_period(const Words& w) {
  store::PosixFileSystem files;
  store::FileError fault;
  const auto to = Address::parse(w.to);
  if (!to) return refuse({w.to, 0, "is no numeric address and port", 0});
  const Form form = w.form == "csv" ? Form::kCsv : Form::kRecords;
  Desk desk;
  const auto log = open_desk(files, w.folder, desk, fault);
  if (!log) return refuse(fault);
  LedgerFacts facts;
  if (!read_ledger(files, w.folder, {}, facts, fault)) return refuse(fault);
  int bad = 0;
  for (const wire::Closed& c : facts.closed) {
    if (w.period >= 0 && c.period() != w.period) continue;
    std::string bytes;
    LedgerFacts again;
    if (!export_bytes(files, w.folder, c.period(), form, bytes, again, fault)) return refuse(fault);
    const ExportResult r = run_export(*log, desk, facts.ledger, c.period(), form, bytes, *to, w.patience);
    std::printf("%s: %s\n", r.id.c_str(), r.why.c_str());
    bad += r.good ? 0 : 1;
  }
  return bad == 0 ? 0 : 1;
}

int reconcile_all(const Words& w) {
  store::PosixFileSystem files;
  store::FileError fault;
  ReconcileOptions o;
  o.scratch =
      w.scratch.empty()
          ? (std::filesystem::temp_directory_path() / ("heronworks-reconcile-" + std::to_string(::getpid())))
                .string()
          : w.scratch;
  o.most_in_memory = w.memory;
  o.open_too = w.open_too;
  o.clients = w.clients;
  std::ofstream proposals;
  if (!w.proposals.empty()) proposals.open(w.proposals);
  std::uint64_t told = 0;
  const auto found = [&](const Found& f) {
    if (++told <= w.count)
      std::printf(
          "%s: identity %llu, entry %llu of %s, tenant %s, volume %u, period %lld%s%s\n", name(f.what),
          static_cast<unsigned long long>(f.identity), static_cast<unsigned long long>(f.entry),
          ledger_name(f.ledger).c_str(), f.tenant.c_str(), f.volume, static_cast<long long>(f.period),
          f.units != 0 ? (", correct by " + std::to_string(f.units)).c_str() : "",
          f.kept_entry != 0
              ? (", billed by entry " + std::to_string(f.kept_entry) + " of " + ledger_name(f.kept_ledger))
                    .c_str()
              : "");
    if (f.units != 0 && proposals.is_open())
      proposals << ledger_name(f.ledger) << " " << f.entry << " " << f.units << " " << name(f.what)
                << ", identity " << f.identity << "\n";
  };
  Reconciled r;
  if (!reconcile(files, w.folders, o, found, r, fault)) return refuse(fault);
  if (w.scratch.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(o.scratch, ignored);
  }
  if (told > w.count) std::printf("and %llu more\n", static_cast<unsigned long long>(told - w.count));
  std::printf(
      "%zu ledgers, %llu entries (%llu repeats), %llu identities, %llu units billed, %llu entries not sealed "
      "yet; %zu runs\n",
      w.folders.size(), static_cast<unsigned long long>(r.entries),
      static_cast<unsigned long long>(r.repeats), static_cast<unsigned long long>(r.identities),
      static_cast<unsigned long long>(r.units), static_cast<unsigned long long>(r.unsealed), r.runs);
  std::printf("billed twice %llu, units differ %llu, not by clients %llu, not in ledgers %llu\n",
              static_cast<unsigned long long>(r.found[0]), static_cast<unsigned long long>(r.found[1]),
              static_cast<unsigned long long>(r.found[2]), static_cast<unsigned long long>(r.found[3]));
  return told == 0 ? 0 : 1;
}

int statement(const Words& w) {
  store::PosixFileSystem files;
  store::FileError fault;
  Statement s;
  if (!make_statement(files, w.folders, w.tenant, w.period, s, fault)) return refuse(fault);
  const std::string text = w.html ? as_html(s) : as_text(s);
  if (w.out.empty()) {
    std::fputs(text.c_str(), stdout);
    return 0;
  }
  std::ofstream f(w.out);
  f << text;
  f.close();
  return f ? 0 : refuse({w.out, 0, "cannot be written", 0});
}

}  // namespace

void add_ledger_verbs(CLI::App& app, std::function<int()>& chosen) {
  auto* l = app.add_subcommand("ledger", "use, periods, corrections, exports");
  l->require_subcommand(1);
  const auto w = std::make_shared<Words>();
  const auto verb = [&](const char* name, const char* what, int (*run)(const Words&)) {
    auto* v = l->add_subcommand(name, what);
    v->callback([&chosen, w, run] { chosen = [w, run] { return run(*w); }; });
    return v;
  };
  const auto one = [&](CLI::App* v) {
    v->add_option("folder", w->folder, "of the ledger")->required()->check(CLI::ExistingDirectory);
    return v;
  };
  const auto many = [&](CLI::App* v) {
    v->add_option("folders", w->folders, "of the ledgers")->required()->check(CLI::ExistingDirectory);
    return v;
  };
  one(verb("status", "periods, seals and exports; on a live ledger too", status));
  auto* s = one(verb("show", "entries", show));
  s->add_option("--first", w->first, "number of the first");
  s->add_option("--count", w->count, "how many");
  s->add_option("--period", w->period);
  s->add_option("--tenant", w->tenant);
  one(verb("verify", "every checksum, number and seal", verify));
  one(verb("close", "seal what is over, where the scheduler runs no more", close_period));
  auto* c = one(verb("correct", "add to or take from what an entry bills; the entry stays", correct));
  c->add_option("--entry", w->entry, "its number");
  c->add_option("--units", w->units, "to add; negative to take away");
  c->add_option("--who", w->who, "answers for it")->required();
  c->add_option("--why", w->why, "reason, as the statement shows it");
  c->add_option("--from", w->from, "proposals of `reconcile`, for all ledgers");
  auto* e = one(verb("export", "closed periods to a receiver, once each", export_period));
  e->add_option("--to", w->to, "address and port")->required();
  e->add_option("--period", w->period, "this one only");
  e->add_option("--form", w->form, "records or csv")->check(CLI::IsMember({"records", "csv"}));
  e->add_option("--patience", w->patience, "s for each period");
  auto* r = many(verb("reconcile", "hold ledgers against each other", reconcile_all));
  r->add_option("--clients", w->clients, "file of what clients were told: identity, volume, units a line");
  r->add_option("--proposals", w->proposals, "write corrections here, for `correct --from`");
  r->add_option("--scratch", w->scratch, "folder for runs");
  r->add_option("--memory", w->memory, "entries held in memory");
  r->add_option("--count", w->count, "findings printed");
  r->add_flag("--open-too", w->open_too, "with entries of periods that are not sealed");
  auto* st = many(verb("statement", "what a tenant pays for a period", statement));
  st->add_option("--tenant", w->tenant)->required();
  st->add_option("--period", w->period)->required();
  st->add_flag("--html", w->html);
  st->add_option("--out", w->out, "file, in place of standard output");
}

}  // namespace heronworks::cli
