// Statements: see statement.h.
#include "ledger/statement.h"

#include <ctime>
#include <kainjow/mustache.hpp>

namespace heronworks::ledger {
namespace {

using kainjow::mustache::data;

constexpr const char* kText = R"(Statement for {{tenant}}
{{from}} to {{to}} UTC (period {{period}}){{^sealed}}, not closed yet{{/sealed}}

{{head}}
{{#lines}}
{{row}}
{{/lines}}
{{#corrected}}

Corrections
{{#corrections}}
{{row}}
{{/corrections}}
{{/corrected}}

Total {{total}} units{{#repeats}}; {{repeats}} transactions that were tried again are not charged{{/repeats}}.
)";

constexpr const char* kHtml = R"(<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Statement for {{tenant}}, period {{period}}</title>
<style>body{font-family:sans-serif;max-width:50em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}
td:first-child,th:first-child,.l{text-align:left}tfoot{font-weight:bold;border-top:1px solid}</style>
<h1>Statement for {{tenant}}</h1>
<p>{{from}} to {{to}} UTC (period {{period}}){{^sealed}}, <strong>not closed yet</strong>{{/sealed}}</p>
<table><thead><tr><th>Volume<th class="l">Plan<th class="l">Profile<th class="l">Standing<th>Transactions<th>Units<th>Bytes
<tbody>{{#lines}}<tr><td>{{volume}}<td class="l">{{plan}}<td class="l">{{profile}}<td class="l">{{standing}}<td>{{transactions}}<td>{{units}}<td>{{bytes}}
{{/lines}}{{#corrections}}<tr><td>{{volume}}<td class="l" colspan="3">correction by {{who}}: {{why}} (entry {{entry}})<td><td>{{units}}<td>
{{/corrections}}<tfoot><tr><td colspan="5">Total<td>{{total}}<td></table>
{{#repeats}}<p>{{repeats}} transactions that were tried again are not charged.</p>{{/repeats}}
</html>
)";

const char* standing_name(int s) {
  static constexpr const char* kNames[] = {"reservation", "share", "spare"};
  return s >= 0 && s < 3 ? kNames[s] : "unknown";
}

std::string day(double seconds) {
  const auto t = static_cast<std::time_t>(seconds);
  std::tm utc{};
  gmtime_r(&t, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &utc);
  return text;
}

std::string row(const std::string& volume, const std::string& what, const std::string& standing,
                const std::string& transactions, const std::string& units, const std::string& bytes) {
  char text[256];
  std::snprintf(text, sizeof text, "%8s  %-32.32s %-12s %12s %12s %16s", volume.c_str(), what.c_str(),
                standing.c_str(), transactions.c_str(), units.c_str(), bytes.c_str());
  return text;
}

data values(const Statement& s) {
  data d;
  d["tenant"] = s.tenant;
  d["period"] = std::to_string(s.period);
  d["from"] = day(static_cast<double>(s.period) * s.period_length);
  d["to"] = day(static_cast<double>(s.period + 1) * s.period_length);
  d["sealed"] = data(s.sealed);
  d["head"] = row("volume", "plan, profile", "standing", "transactions", "units", "bytes");
  data lines(data::type::list);
  for (const auto& [key, l] : s.lines) {
    const auto& [volume, plan, profile, standing] = key;
    data line;
    line["volume"] = std::to_string(volume);
    line["plan"] = plan;
    line["profile"] = profile;
    line["standing"] = standing_name(standing);
    line["transactions"] = std::to_string(l.transactions);
    line["units"] = std::to_string(l.units);
    line["bytes"] = std::to_string(l.bytes);
    line["row"] = row(std::to_string(volume), plan + ", " + profile, standing_name(standing),
                      std::to_string(l.transactions), std::to_string(l.units), std::to_string(l.bytes));
    lines << line;
  }
  d["lines"] = std::move(lines);
  data corrections(data::type::list);
  for (const wire::Correction& c : s.corrections) {
    data one;
    one["volume"] = std::to_string(c.volume());
    one["who"] = c.who();
    one["why"] = c.why();
    one["entry"] = std::to_string(c.entry());
    one["units"] = std::to_string(c.units());
    one["row"] = row(std::to_string(c.volume()), c.who() + ": " + c.why(),
                     "entry " + std::to_string(c.entry()), "", std::to_string(c.units()), "");
    corrections << one;
  }
  d["corrected"] = data(!s.corrections.empty());
  d["corrections"] = std::move(corrections);
  d["total"] = std::to_string(s.total());
  if (s.repeats > 0) d["repeats"] = std::to_string(s.repeats);
  return d;
}

}  // namespace

std::int64_t Statement::total() const {
  std::int64_t sum = 0;
  for (const auto& [key, l] : lines) sum += static_cast<std::int64_t>(l.units);
  for (const wire::Correction& c : corrections) sum += c.units();
  return sum;
}

bool make_statement(store::FileSystem& files, const std::vector<std::string>& folders,
                    const std::string& tenant, std::int64_t period, Statement& s, store::FileError& fault) {
  s = {};
  s.tenant = tenant;
  s.period = period;
  for (const std::string& folder : folders) {
    Visitor visitor;
    bool any = false;
    visitor.entry = [&](const wire::Entry& e, std::string_view) {
      if (e.period() != period) return;
      any = true;
      if (e.tenant() != tenant) return;
      if (e.repeat_of() != 0) {
        ++s.repeats;
        return;
      }
      Line& l = s.lines[{e.volume(), e.plan(), e.profile(), static_cast<int>(e.standing())}];
      ++l.transactions;
      l.units += e.units();
      l.bytes += e.bytes();
    };
    LedgerFacts facts;
    if (!read_ledger(files, folder, visitor, facts, fault)) return false;
    if (s.period_length == 0) s.period_length = facts.period_length;
    if (s.period_length != facts.period_length) {
      fault = {folder, 0, "its periods have another length than those of the ledgers before", 0};
      return false;
    }
    if (any && facts.open_period == period) s.sealed = false;
    Desk desk;
    if (!read_desk(files, folder, desk, fault)) return false;
    for (const wire::Correction& c : desk.corrections) {
      if (c.period() == period && c.tenant() == tenant) s.corrections.push_back(c);
    }
  }
  return true;
}

std::string as_text(const Statement& s) {
  kainjow::mustache::mustache t(kText);
  t.set_custom_escape([](const std::string& x) { return x; });
  return t.render(values(s));
}

std::string as_html(const Statement& s) {
  kainjow::mustache::mustache t(kHtml);
  return t.render(values(s));
}

}  // namespace heronworks::ledger
