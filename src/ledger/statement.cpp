#include "ledger/statement.h"

#include <ctime>
#include <kainjow/mustache.hpp>

namespace heronworks::ledger {
namespace {

using kainjow::mustache::data;

constexpr const char* kTextTemplate = R"(Statement for {{tenant}}
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

constexpr const char* kHtmlTemplate = R"(<!doctype html>
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

const char* tier_name(int tier) {
  static constexpr const char* kNames[] = {"reservation", "share", "spare"};
  return tier >= 0 && tier < 3 ? kNames[tier] : "unknown";
}

std::string utc_time(double seconds) {
  const auto t = static_cast<std::time_t>(seconds);
  std::tm utc{};
  gmtime_r(&t, &utc);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &utc);
  return text;
}

std::string text_row(const std::string& volume, const std::string& description, const std::string& tier,
                     const std::string& transactions, const std::string& units, const std::string& bytes) {
  char text[256];
  std::snprintf(text, sizeof text, "%8s  %-32.32s %-12s %12s %12s %16s", volume.c_str(), description.c_str(),
                tier.c_str(), transactions.c_str(), units.c_str(), bytes.c_str());
  return text;
}

data template_values(const Statement& statement) {
  data values;
  values["tenant"] = statement.tenant;
  values["period"] = std::to_string(statement.period);
  values["from"] = utc_time(static_cast<double>(statement.period) * statement.period_length);
  values["to"] = utc_time(static_cast<double>(statement.period + 1) * statement.period_length);
  values["sealed"] = data(statement.sealed);
  values["head"] = text_row("volume", "plan, profile", "standing", "transactions", "units", "bytes");
  data lines(data::type::list);
  for (const auto& [key, usage] : statement.lines) {
    const auto& [volume, plan, profile, tier] = key;
    data line;
    line["volume"] = std::to_string(volume);
    line["plan"] = plan;
    line["profile"] = profile;
    line["standing"] = tier_name(tier);
    line["transactions"] = std::to_string(usage.transactions);
    line["units"] = std::to_string(usage.units);
    line["bytes"] = std::to_string(usage.bytes);
    line["row"] = text_row(std::to_string(volume), plan + ", " + profile, tier_name(tier),
                           std::to_string(usage.transactions), std::to_string(usage.units),
                           std::to_string(usage.bytes));
    lines << line;
  }
  values["lines"] = std::move(lines);
  data corrections(data::type::list);
  for (const wire::Correction& correction : statement.corrections) {
    data item;
    item["volume"] = std::to_string(correction.volume());
    item["who"] = correction.who();
    item["why"] = correction.why();
    item["entry"] = std::to_string(correction.entry());
    item["units"] = std::to_string(correction.units());
    item["row"] =
        text_row(std::to_string(correction.volume()), correction.who() + ": " + correction.why(),
                 "entry " + std::to_string(correction.entry()), "", std::to_string(correction.units()), "");
    corrections << item;
  }
  values["corrected"] = data(!statement.corrections.empty());
  values["corrections"] = std::move(corrections);
  values["total"] = std::to_string(statement.total());
  if (statement.repeats > 0) values["repeats"] = std::to_string(statement.repeats);
  return values;
}

}  // namespace

std::int64_t Statement::total() const {
  std::int64_t sum = 0;
  for (const auto& [key, usage] : lines) sum += static_cast<std::int64_t>(usage.units);
  for (const wire::Correction& correction : corrections) sum += correction.units();
  return sum;
}

bool make_statement(store::FileSystem& files, const std::vector<std::string>& folders,
                    const std::string& tenant, std::int64_t period, Statement& statement,
                    store::FileError& error) {
  statement = {};
  statement.tenant = tenant;
  statement.period = period;
  for (const std::string& folder : folders) {
    LedgerVisitor visitor;
    bool has_period = false;
    visitor.on_entry = [&](const wire::Entry& entry, std::string_view) {
      if (entry.period() != period) return;
      has_period = true;
      if (entry.tenant() != tenant) return;
      if (entry.repeat_of() != 0) {
        ++statement.repeats;
        return;
      }
      StatementLine& usage =
          statement
              .lines[{entry.volume(), entry.plan(), entry.profile(), static_cast<int>(entry.standing())}];
      ++usage.transactions;
      usage.units += entry.units();
      usage.bytes += entry.bytes();
    };
    LedgerSummary summary;
    if (!read_ledger(files, folder, visitor, summary, error)) return false;
    if (statement.period_length == 0) statement.period_length = summary.period_length;
    if (statement.period_length != summary.period_length) {
      error = {folder, 0, "the periods of this ledger differ in length from those of the other ledgers", 0};
      return false;
    }
    if (has_period && summary.open_period == period) statement.sealed = false;
    Adjustments adjustments;
    if (!read_adjustments(files, folder, adjustments, error)) return false;
    for (const wire::Correction& correction : adjustments.corrections) {
      if (correction.period() == period && correction.tenant() == tenant)
        statement.corrections.push_back(correction);
    }
  }
  return true;
}

std::string render_text(const Statement& statement) {
  kainjow::mustache::mustache renderer(kTextTemplate);
  renderer.set_custom_escape([](const std::string& value) { return value; });
  return renderer.render(template_values(statement));
}

std::string render_html(const Statement& statement) {
  kainjow::mustache::mustache renderer(kHtmlTemplate);
  return renderer.render(template_values(statement));
}

}  // namespace heronworks::ledger
