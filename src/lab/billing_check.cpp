#include "lab/billing_check.h"

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

std::string BillingCheck::summary() const {
  std::string s = "ledgers: " + std::to_string(entries) + " entries, " + std::to_string(succeeded) +
                  " honoured by clients; billed twice " + std::to_string(double_billed) + ", in flight " +
                  std::to_string(unacknowledged) + ", not entered " + std::to_string(missing) + " (" +
                  std::to_string(answered_early) + " answered ahead), " + std::to_string(repeats) +
                  " repeats, " + std::to_string(corrections) + " corrections; " +
                  (errors.empty() ? "adds up by tenant and volume\n" : "WRONG\n");
  for (const auto& f : errors) s += "  " + f + "\n";
  return s;
}

BillingCheck check_billing(const Scenario& scenario, const std::vector<Event>& events,
                           const std::string& folder) {
  BillingCheck check;
  const auto add_error = [&](const std::string& what) {
    if (check.errors.size() < 10) check.errors.push_back(what);
  };
  // Successful transactions as clients saw them, and transactions whose connection broke.
  struct Acknowledged {
    int volume;
    std::int64_t units;
  };
  std::map<std::uint64_t, Acknowledged> acknowledged;
  std::set<std::uint64_t> connection_lost;
  std::map<std::uint64_t, const Event*> sent;
  for (const Event& e : events) {
    if (e.kind == EventKind::kSent) sent[e.idempotency_key] = &e;
    if (e.kind == EventKind::kConnectionLost || e.kind == EventKind::kClientLeft)
      connection_lost.insert(e.idempotency_key);
    if (e.kind == EventKind::kAnswered && e.outcome == "honoured")
      acknowledged[e.idempotency_key] = {e.volume, static_cast<std::int64_t>(e.units)};
  }
  check.succeeded = acknowledged.size();
  {
    std::ofstream f(folder + "/clients.txt");
    for (const auto& [idempotency_key, t] : acknowledged)
      f << idempotency_key << " " << t.volume + 1 << " " << t.units << "\n";
  }
  for (int s = 0; s < scenario.schedulers; ++s) {
    std::ifstream log(folder + "/scheduler-" + std::to_string(s) + ".log");
    std::string line;
    while (std::getline(log, line)) {
      const auto j = nlohmann::json::parse(line, nullptr, false);
      if (j.is_object() && j.contains("ahead")) check.answered_early += j["ahead"].get<std::uint64_t>();
    }
  }
  store::PosixFileSystem files;
  store::FileError fault;
  std::vector<std::string> folders;
  for (int s = 0; s < scenario.schedulers; ++s) folders.push_back(ledger_folder(folder, s));
  ledger::ReconcileOptions options;
  options.scratch_folder = folder + "/reconcile";
  options.include_unsealed = true;
  options.client_report = folder + "/clients.txt";
  options.max_entries_in_memory = 1000;  // small, to exercise the merge of sorted runs
  std::vector<ledger::Discrepancy> found;
  ledger::ReconciliationSummary r;
  if (!ledger::reconcile(
          files, folders, options, [&](const ledger::Discrepancy& f) { found.push_back(f); }, r, fault)) {
    add_error(fault.to_string());
    return check;
  }
  check.entries = r.entries;
  check.repeats = r.repeats;
  std::uint64_t missing_entries = 0;
  for (const auto& f : found) {
    if (f.kind == ledger::DiscrepancyKind::kBilledTwice) ++check.double_billed;
    if (f.kind == ledger::DiscrepancyKind::kUnitsDiffer)
      add_error("identity " + std::to_string(f.identity) +
                " is billed with different units than the client saw");
    if (f.kind == ledger::DiscrepancyKind::kMissingFromLedgers) ++missing_entries;
    if (f.kind != ledger::DiscrepancyKind::kUnknownToClients) continue;
    ++check.unacknowledged;
    if (!connection_lost.contains(f.identity))
      add_error("identity " + std::to_string(f.identity) +
                " is billed, but no client got an answer and no connection was lost");
  }
  check.missing = missing_entries;
  if (missing_entries > check.answered_early)
    add_error(std::to_string(missing_entries) + " successful transactions are missing from all ledgers");
  // Apply the proposed corrections. A second reconciliation may then report only the missing entries.
  for (std::size_t i = 0; i < folders.size(); ++i) {
    ledger::LedgerSummary summary;
    ledger::Adjustments adjustments;
    if (!ledger::read_ledger(files, folders[i], {}, summary, fault))
      return add_error(fault.to_string()), check;
    const auto log = ledger::open_adjustment_log(files, folders[i], adjustments, fault);
    if (!log) return add_error(fault.to_string()), check;
    for (const auto& discrepancy : found) {
      if (discrepancy.correction_units == 0 || discrepancy.ledger_id != summary.ledger_id) continue;
      ledger::wire::DeskRecord record;
      auto& correction = *record.mutable_correction();
      correction.set_ledger(discrepancy.ledger_id);
      correction.set_entry(discrepancy.entry);
      correction.set_identity(discrepancy.identity);
      correction.set_tenant(discrepancy.tenant);
      correction.set_volume(discrepancy.volume);
      correction.set_period(discrepancy.period);
      correction.set_units(discrepancy.correction_units);
      correction.set_who("reconciliation");
      correction.set_why(ledger::discrepancy_name(discrepancy.kind));
      if (ledger::append_adjustment(*log, adjustments, record) != 0) add_error("cannot write a correction");
      ++check.corrections;
    }
  }
  found.clear();
  if (!ledger::reconcile(
          files, folders, options, [&](const ledger::Discrepancy& f) { found.push_back(f); }, r, fault))
    add_error(fault.to_string());
  if (found.size() != missing_entries)
    add_error("after the corrections, a second reconciliation finds " + std::to_string(found.size()) +
              " more");

  // Compare the statements with the successful transactions, by tenant and volume.
  std::map<std::pair<std::string, std::uint32_t>, std::int64_t> expected;
  std::map<std::pair<std::string, std::uint32_t>, std::int64_t> billed;
  for (const auto& [idempotency_key, t] : acknowledged)
    expected[{tenant_of(t.volume), static_cast<std::uint32_t>(t.volume + 1)}] += t.units;
  std::set<std::int64_t> periods;
  for (const std::string& f : folders) {
    ledger::LedgerSummary facts;
    ledger::LedgerVisitor visitor;
    visitor.on_entry = [&](const ledger::wire::Entry& e, std::string_view) { periods.insert(e.period()); };
    if (!ledger::read_ledger(files, f, visitor, facts, fault)) add_error(fault.to_string());
  }
  for (int tenant = 0; tenant < 7; ++tenant) {
    for (const std::int64_t p : periods) {
      ledger::Statement s;
      if (!ledger::make_statement(files, folders, tenant_of(tenant), p, s, fault))
        return add_error(fault.to_string()), check;
      if (s.sealed && !s.lines.empty() && check.statement.empty()) check.statement = ledger::render_text(s);
      std::int64_t lines = 0;
      for (const auto& [key, l] : s.lines) {
        billed[{s.tenant, std::get<0>(key)}] += static_cast<std::int64_t>(l.units);
        lines += static_cast<std::int64_t>(l.units);
      }
      for (const auto& c : s.corrections) billed[{s.tenant, c.volume()}] += c.units();
      for (const auto& c : s.corrections) lines += c.units();
      if (lines != s.total()) add_error("the lines of a statement differ from its total");
    }
  }
  if (missing_entries == 0) {
    for (const auto& [key, units] : expected) {
      if (billed[key] != units)
        add_error(key.first + ", volume " + std::to_string(key.second) + ": " + std::to_string(billed[key]) +
                  " units billed, " + std::to_string(units) + " honoured");
    }
    for (const auto& [key, units] : billed) {
      if (units != 0 && !expected.contains(key))
        add_error(key.first + ", volume " + std::to_string(key.second) +
                  ": billed, but no transaction succeeded");
    }
  }
  return check;
}

}  // namespace heronworks::lab
