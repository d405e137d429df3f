// Ledgers against clients: see bills.h.
#include "lab/bills.h"

#include <fstream>
#include <map>
#include <set>

#include "ledger/reconcile.h"
#include "ledger/statement.h"

namespace heronworks::lab {

std::string tenant_of(int volume) { return "club-" + std::to_string(volume % 7); }
std::string ledger_folder(const std::string& folder, int scheduler) {
  return folder + "/ledger-" + std::to_string(scheduler);
}

std::string Bills::line() const {
  std::string s = "ledgers: " + std::to_string(entries) + " entries, " + std::to_string(honoured) +
                  " honoured by clients; billed twice " + std::to_string(twice) + ", in flight " +
                  std::to_string(in_flight) + ", not entered " + std::to_string(lost) + " (" +
                  std::to_string(ahead) + " answered ahead), " + std::to_string(repeats) + " repeats, " +
                  std::to_string(corrections) + " corrections; " +
                  (faults.empty() ? "adds up by tenant and volume\n" : "WRONG\n");
  for (const auto& f : faults) s += "  " + f + "\n";
  return s;
}

Bills check_bills(const Day& day, const std::vector<Event>& events, const std::string& folder) {
  Bills b;
  const auto wrong = [&](const std::string& what) {
    if (b.faults.size() < 10) b.faults.push_back(what);
  };
  // What clients were told, and whose connection broke.
  struct Told {
    int volume;
    std::int64_t units;
  };
  std::map<std::uint64_t, Told> told;
  std::set<std::uint64_t> broken;
  std::map<std::uint64_t, const Event*> sent;
  for (const Event& e : events) {
    if (e.kind == Kind::kSent) sent[e.label] = &e;
    if (e.kind == Kind::kLost || e.kind == Kind::kLeft) broken.insert(e.label);
    if (e.kind == Kind::kAnswer && e.outcome == "honoured")
      told[e.label] = {e.volume, static_cast<std::int64_t>(e.units)};
  }
  b.honoured = told.size();
  {
    std::ofstream f(folder + "/clients.txt");
    for (const auto& [label, t] : told) f << label << " " << t.volume + 1 << " " << t.units << "\n";
  }
  for (int s = 0; s < day.schedulers; ++s) {
    std::ifstream log(folder + "/scheduler-" + std::to_string(s) + ".log");
    std::string line;
    while (std::getline(log, line)) {
      const auto j = nlohmann::json::parse(line, nullptr, false);
      if (j.is_object() && j.contains("ahead")) b.ahead += j["ahead"].get<std::uint64_t>();
    }
  }
  store::PosixFileSystem files;
  store::FileError fault;
  std::vector<std::string> folders;
  for (int s = 0; s < day.schedulers; ++s) folders.push_back(ledger_folder(folder, s));
  ledger::ReconcileOptions options;
  options.scratch_folder = folder + "/reconcile";
  options.include_unsealed = true;
  options.client_report = folder + "/clients.txt";
  options.max_entries_in_memory = 1000;  // so that there are runs to merge
  std::vector<ledger::Discrepancy> found;
  ledger::ReconciliationSummary r;
  if (!ledger::reconcile(
          files, folders, options, [&](const ledger::Discrepancy& f) { found.push_back(f); }, r, fault)) {
    wrong(fault.to_string());
    return b;
  }
  b.entries = r.entries;
  b.repeats = r.repeats;
  std::uint64_t not_entered = 0;
  for (const auto& f : found) {
    if (f.kind == ledger::DiscrepancyKind::kBilledTwice) ++b.twice;
    if (f.kind == ledger::DiscrepancyKind::kUnitsDiffer)
      wrong("identity " + std::to_string(f.identity) + " was billed with other units");
    if (f.kind == ledger::DiscrepancyKind::kMissingFromLedgers) ++not_entered;
    if (f.kind != ledger::DiscrepancyKind::kUnknownToClients) continue;
    ++b.in_flight;
    if (!broken.contains(f.identity))
      wrong("identity " + std::to_string(f.identity) +
            " is billed, no client was told, and no connection broke");
  }
  b.lost = not_entered;
  if (not_entered > b.ahead) wrong(std::to_string(not_entered) + " honoured transactions are in no ledger");
  // The proposals are made corrections; then nothing is left to find but what was never entered.
  for (std::size_t l = 0; l < folders.size(); ++l) {
    ledger::LedgerSummary facts;
    ledger::Adjustments desk;
    if (!ledger::read_ledger(files, folders[l], {}, facts, fault)) return wrong(fault.to_string()), b;
    const auto log = ledger::open_adjustment_log(files, folders[l], desk, fault);
    if (!log) return wrong(fault.to_string()), b;
    for (const auto& f : found) {
      if (f.correction_units == 0 || f.ledger_id != facts.ledger_id) continue;
      ledger::wire::DeskRecord record;
      auto& c = *record.mutable_correction();
      c.set_ledger(f.ledger_id);
      c.set_entry(f.entry);
      c.set_identity(f.identity);
      c.set_tenant(f.tenant);
      c.set_volume(f.volume);
      c.set_period(f.period);
      c.set_units(f.correction_units);
      c.set_who("reconciliation");
      c.set_why(ledger::discrepancy_name(f.kind));
      if (ledger::append_adjustment(*log, desk, record) != 0) wrong("a correction cannot be written");
      ++b.corrections;
    }
  }
  found.clear();
  if (!ledger::reconcile(
          files, folders, options, [&](const ledger::Discrepancy& f) { found.push_back(f); }, r, fault))
    wrong(fault.to_string());
  if (found.size() != not_entered)
    wrong("a second reconciliation finds " + std::to_string(found.size()) + " more");

  // Bills, by tenant and volume.
  std::map<std::pair<std::string, std::uint32_t>, std::int64_t> due;
  std::map<std::pair<std::string, std::uint32_t>, std::int64_t> billed;
  for (const auto& [label, t] : told)
    due[{tenant_of(t.volume), static_cast<std::uint32_t>(t.volume + 1)}] += t.units;
  std::set<std::int64_t> periods;
  for (const std::string& f : folders) {
    ledger::LedgerSummary facts;
    ledger::LedgerVisitor visitor;
    visitor.on_entry = [&](const ledger::wire::Entry& e, std::string_view) { periods.insert(e.period()); };
    if (!ledger::read_ledger(files, f, visitor, facts, fault)) wrong(fault.to_string());
  }
  for (int tenant = 0; tenant < 7; ++tenant) {
    for (const std::int64_t p : periods) {
      ledger::Statement s;
      if (!ledger::make_statement(files, folders, tenant_of(tenant), p, s, fault))
        return wrong(fault.to_string()), b;
      if (s.sealed && !s.lines.empty() && b.statement.empty()) b.statement = ledger::render_text(s);
      std::int64_t lines = 0;
      for (const auto& [key, l] : s.lines) {
        billed[{s.tenant, std::get<0>(key)}] += static_cast<std::int64_t>(l.units);
        lines += static_cast<std::int64_t>(l.units);
      }
      for (const auto& c : s.corrections) billed[{s.tenant, c.volume()}] += c.units();
      for (const auto& c : s.corrections) lines += c.units();
      if (lines != s.total()) wrong("a statement does not add up");
    }
  }
  if (not_entered == 0) {
    for (const auto& [key, units] : due) {
      if (billed[key] != units)
        wrong(key.first + ", volume " + std::to_string(key.second) + ": " + std::to_string(billed[key]) +
              " units billed, " + std::to_string(units) + " honoured");
    }
    for (const auto& [key, units] : billed) {
      if (units != 0 && !due.contains(key))
        wrong(key.first + ", volume " + std::to_string(key.second) + ": billed without use");
    }
  }
  return b;
}

}  // namespace heronworks::lab
