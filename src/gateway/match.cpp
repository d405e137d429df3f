// From a command to a transaction: see match.h.
#include "gateway/match.h"

#include <algorithm>
#include <ctime>
#include <map>

namespace heronworks::gateway {
namespace {

std::vector<double> shares(const expr::RuleSet& rules) {
  std::vector<double> out;
  for (std::size_t i = 0; i < rules.size(); ++i) out.push_back(rules.rule(static_cast<int>(i)).max_share);
  return out;
}

}  // namespace

Matcher::Matcher(const config::GatewayConfig& config)
    : config_(config), sorted_(config.volumes), gate_(shares(config.expr->set)) {
  std::sort(sorted_.begin(), sorted_.end(), [](auto& a, auto& b) { return a.first < b.first; });
  int index = 0;
  std::map<std::string, std::size_t> tenants;
  for (const auto& v : sorted_) {
    tenant_.push_back(tenants.emplace(v.tenant, tenants.size()).first->second);
    first_index_.push_back(index);
    index += static_cast<int>(v.last - v.first) + 1;
  }
  tenants_ = tenants.size();
}

const config::Volumes* Matcher::find(std::uint32_t nsid) const {
  auto after = std::upper_bound(sorted_.begin(), sorted_.end(), nsid,
                                [](std::uint32_t n, const auto& v) { return n < v.first; });
  if (after == sorted_.begin()) return nullptr;
  --after;
  return nsid <= after->last ? &*after : nullptr;
}

std::optional<Matched> Matcher::match(const nvme::Sqe& sqe, const ClientFacts& client, double now,
                                      double wall, nvme::Status& refused) {
  const auto* volume = find(sqe.nsid);
  if (!volume) return refused = nvme::status::kInvalidNamespace, std::nullopt;
  const bool append = sqe.opcode == nvme::opcode::kZoneAppend;
  const std::uint32_t blocks = sqe.blocks();
  const std::uint64_t lba = sqe.slba();
  if (lba >= config_.volume_blocks() || blocks > config_.volume_blocks() - lba)
    return refused = nvme::status::kLbaOutOfRange, std::nullopt;
  const std::uint64_t zone = lba / config_.zone_blocks;
  if (append ? lba % config_.zone_blocks != 0 || blocks > config_.zone_blocks
             : (lba + blocks - 1) / config_.zone_blocks != zone)
    return refused = nvme::status::kInvalidField, std::nullopt;
  const std::uint32_t units = (blocks + config_.unit_blocks - 1) / config_.unit_blocks;
  if (units > config_.settings.max_transaction_units)
    return refused = nvme::status::kInvalidField, std::nullopt;

  Matched m;
  Transaction& t = m.transaction;
  const auto operation = append                               ? config::Operation::kAppend
                         : sqe.opcode == nvme::opcode::kWrite ? config::Operation::kWrite
                                                              : config::Operation::kRead;
  t.profile = -1;
  for (const config::Rule& r : config_.rules) {
    if (r.operation && *r.operation != operation) continue;
    if (blocks < r.least_blocks || (r.most_blocks > 0 && blocks > r.most_blocks)) continue;
    if (sqe.nsid < r.first_volume || (r.last_volume > 0 && sqe.nsid > r.last_volume)) continue;
    t.profile = r.profile;
    break;
  }
  if (t.profile < 0) return refused = nvme::status::kInvalidField, std::nullopt;
  t.units = units;
  t.plan = volume->plan;
  t.volume_schedulers = volume->hosts;
  const auto range =
      static_cast<std::size_t>(std::upper_bound(sorted_.begin(), sorted_.end(), sqe.nsid,
                                                [](std::uint32_t n, const auto& v) { return n < v.first; }) -
                               sorted_.begin() - 1);
  m.tenant = tenant_[range];
  t.volume = first_index_[range] + static_cast<int>(sqe.nsid - sorted_[range].first);
  t.shard = append ? -1 : static_cast<int>(zone % config_.shards);
  // The key of a new object is its client's label; without one it has none.
  t.has_key = !append || sqe.idempotency_key() != 0;
  // A place of one volume has one key of its own; the odd factor spreads volumes over all keys.
  t.key = append ? sqe.idempotency_key() : sqe.nsid * 0x9e3779b97f4a7c15ULL + lba / config_.key_blocks;
  if (rules().size() > 0) by_rules(sqe, client, now, wall, m);
  return m;
}

void Matcher::by_rules(const nvme::Sqe& sqe, const ClientFacts& client, double now, double wall, Matched& m) {
  using expr::FieldId;
  using expr::Value;
  expr::Record record;
  const auto set = [&](FieldId field, Value v) { record.values[static_cast<std::size_t>(field)] = v; };
  const bool append = sqe.opcode == nvme::opcode::kZoneAppend;
  const bool write = sqe.opcode == nvme::opcode::kWrite;
  set(FieldId::kVolume, Value(std::uint64_t{sqe.nsid}));
  set(FieldId::kPlan,
      Value(std::string_view(config_.plan_names[static_cast<std::size_t>(m.transaction.plan)])));
  set(FieldId::kOperation, Value(std::string_view(append ? "append" : write ? "write" : "read")));
  set(FieldId::kOpcode, Value(std::uint64_t{sqe.opcode}));
  set(FieldId::kLba, Value(append ? std::uint64_t{0} : sqe.slba()));
  set(FieldId::kBlocks, Value(std::uint64_t{sqe.blocks()}));
  set(FieldId::kLength, Value(std::uint64_t{sqe.blocks()} * config_.block_bytes));
  set(FieldId::kLabel, Value(sqe.idempotency_key()));
  set(FieldId::kClientName, Value(std::string_view(client.name)));
  set(FieldId::kClientAddress, Value(client.address));
  set(FieldId::kTry, Value(static_cast<std::uint64_t>(sqe.client_attempt())));
  local_time(wall, record);

  gate_.count_transaction(now);
  int from = 0;
  while (true) {
    const auto found = rules().match(machine_, record, from);
    m.failures += found.failure_count;
    if (found.last_failed_rule >= 0) m.failed = found.last_failed_rule;
    if (found.rule < 0) return;
    if (gate_.try_apply(now, found.rule)) {
      m.rule = found.rule;
      break;
    }
    from = found.rule + 1;
  }
  const expr::Rule& rule = rules().rule(m.rule);
  m.turn_back = !rule.reject_reason.empty();
  if (rule.profile >= 0) m.transaction.profile = rule.profile;
  const auto failed = [&] {
    ++m.failures;
    m.failed = m.rule;
  };
  Value v;
  if (rule.units) {
    // A number that no transaction may have is taken as a failure: the ordinary one stands.
    if (machine_.run(*rule.units, record, v) != expr::Failure::kNone || v.as_uint < 1 ||
        v.as_uint > config_.settings.max_transaction_units)
      failed();
    else m.transaction.units = static_cast<double>(v.as_uint);
  }
  if (rule.key) {
    if (machine_.run(*rule.key, record, v) != expr::Failure::kNone) return failed();
    m.transaction.has_key = true;
    m.transaction.key = v.as_uint;
  }
}

// The calendar is asked once a minute: zones change on whole minutes.
void Matcher::local_time(double wall, expr::Record& record) {
  const auto minute = static_cast<long>(wall / 60);
  if (minute != minute_) {
    minute_ = minute;
    const auto seconds = static_cast<std::time_t>(wall);
    std::tm local{};
    localtime_r(&seconds, &local);
    minute_of_day_ = local.tm_hour * 60 + local.tm_min;
    weekday_ = local.tm_wday == 0 ? 7 : local.tm_wday;
  }
  const auto set = [&](expr::FieldId field, std::int64_t v) {
    record.values[static_cast<std::size_t>(field)] = expr::Value(v);
  };
  set(expr::FieldId::kHour, minute_of_day_ / 60);
  set(expr::FieldId::kWeekday, weekday_);
  set(expr::FieldId::kTimeOfDay,
      minute_of_day_ * 60000000000 +
          static_cast<std::int64_t>((wall - static_cast<double>(minute) * 60) * 1e9));
}

}  // namespace heronworks::gateway
