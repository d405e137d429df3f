#include "gateway/matcher.h"

#include <algorithm>
#include <ctime>
#include <map>

namespace heronworks::gateway {
namespace {

std::vector<double> max_shares(const expr::RuleSet& rules) {
  std::vector<double> out;
  for (std::size_t i = 0; i < rules.size(); ++i) out.push_back(rules.rule(static_cast<int>(i)).max_share);
  return out;
}

}  // namespace

Matcher::Matcher(const config::GatewayConfig& config)
    : config_(config), ranges_(config.volumes), share_limiter_(max_shares(config.rules->set)) {
  std::sort(ranges_.begin(), ranges_.end(), [](auto& a, auto& b) { return a.first < b.first; });
  int index = 0;
  std::map<std::string, std::size_t> tenants;
  for (const auto& range : ranges_) {
    tenant_of_range_.push_back(tenants.emplace(range.tenant, tenants.size()).first->second);
    first_volume_index_.push_back(index);
    index += static_cast<int>(range.last - range.first) + 1;
  }
  tenant_count_ = tenants.size();
}

const config::VolumeRange* Matcher::find_range(std::uint32_t nsid) const {
  auto range = std::upper_bound(ranges_.begin(), ranges_.end(), nsid,
                                [](std::uint32_t n, const auto& other) { return n < other.first; });
  if (range == ranges_.begin()) return nullptr;
  --range;
  return nsid <= range->last ? &*range : nullptr;
}

std::optional<MatchResult> Matcher::match(const nvme::Sqe& sqe, const ClientInfo& client, double now,
                                          double wall_time, nvme::Status& error) {
  const auto* volume_range = find_range(sqe.nsid);
  if (!volume_range) return error = nvme::status::kInvalidNamespace, std::nullopt;
  const bool append = sqe.opcode == nvme::opcode::kZoneAppend;
  const std::uint32_t blocks = sqe.blocks();
  const std::uint64_t lba = sqe.slba();
  if (lba >= config_.volume_blocks() || blocks > config_.volume_blocks() - lba)
    return error = nvme::status::kLbaOutOfRange, std::nullopt;
  const std::uint64_t zone = lba / config_.zone_blocks;
  if (append ? lba % config_.zone_blocks != 0 || blocks > config_.zone_blocks
             : (lba + blocks - 1) / config_.zone_blocks != zone)
    return error = nvme::status::kInvalidField, std::nullopt;
  const std::uint32_t units = (blocks + config_.unit_blocks - 1) / config_.unit_blocks;
  if (units > config_.settings.max_transaction_units)
    return error = nvme::status::kInvalidField, std::nullopt;

  MatchResult result;
  Transaction& t = result.transaction;
  const auto operation = append                               ? config::Operation::kAppend
                         : sqe.opcode == nvme::opcode::kWrite ? config::Operation::kWrite
                                                              : config::Operation::kRead;
  t.profile = -1;
  for (const config::MatchRule& match : config_.matches) {
    if (match.operation && *match.operation != operation) continue;
    if (blocks < match.min_blocks || (match.max_blocks > 0 && blocks > match.max_blocks)) continue;
    if (sqe.nsid < match.first_volume || (match.last_volume > 0 && sqe.nsid > match.last_volume)) continue;
    t.profile = match.profile;
    break;
  }
  if (t.profile < 0) return error = nvme::status::kInvalidField, std::nullopt;
  t.units = units;
  t.plan = volume_range->plan;
  t.volume_schedulers = volume_range->schedulers;
  const auto range_index = static_cast<std::size_t>(
      std::upper_bound(ranges_.begin(), ranges_.end(), sqe.nsid,
                       [](std::uint32_t n, const auto& other) { return n < other.first; }) -
      ranges_.begin() - 1);
  result.tenant = tenant_of_range_[range_index];
  t.volume = first_volume_index_[range_index] + static_cast<int>(sqe.nsid - ranges_[range_index].first);
  t.shard = append ? -1 : static_cast<int>(zone % config_.shards);
  // The key of a new object is the idempotency key that the client gave, if any.
  t.has_key = !append || sqe.idempotency_key() != 0;
  // The odd factor gives each volume its own keys, spread over all values.
  t.key = append ? sqe.idempotency_key() : sqe.nsid * 0x9e3779b97f4a7c15ULL + lba / config_.key_blocks;
  if (rules().size() > 0) apply_rules(sqe, client, now, wall_time, result);
  return result;
}

void Matcher::apply_rules(const nvme::Sqe& sqe, const ClientInfo& client, double now, double wall_time,
                          MatchResult& result) {
  using expr::FieldId;
  using expr::Value;
  expr::Record record;
  const auto set = [&](FieldId field, Value v) { record.values[static_cast<std::size_t>(field)] = v; };
  const bool append = sqe.opcode == nvme::opcode::kZoneAppend;
  const bool write = sqe.opcode == nvme::opcode::kWrite;
  set(FieldId::kVolume, Value(std::uint64_t{sqe.nsid}));
  set(FieldId::kPlan,
      Value(std::string_view(config_.plan_names[static_cast<std::size_t>(result.transaction.plan)])));
  set(FieldId::kOperation, Value(std::string_view(append ? "append" : write ? "write" : "read")));
  set(FieldId::kOpcode, Value(std::uint64_t{sqe.opcode}));
  set(FieldId::kLba, Value(append ? std::uint64_t{0} : sqe.slba()));
  set(FieldId::kBlocks, Value(std::uint64_t{sqe.blocks()}));
  set(FieldId::kLength, Value(std::uint64_t{sqe.blocks()} * config_.block_bytes));
  set(FieldId::kLabel, Value(sqe.idempotency_key()));
  set(FieldId::kClientName, Value(std::string_view(client.name)));
  set(FieldId::kClientAddress, Value(client.address));
  set(FieldId::kTry, Value(static_cast<std::uint64_t>(sqe.client_attempt())));
  set_local_time(wall_time, record);

  share_limiter_.count_transaction(now);
  int first_rule = 0;
  while (true) {
    const auto match = rules().match(machine_, record, first_rule);
    result.failed_evaluations += match.failure_count;
    if (match.last_failed_rule >= 0) result.last_failed_rule = match.last_failed_rule;
    if (match.rule < 0) return;
    if (share_limiter_.try_apply(now, match.rule)) {
      result.rule = match.rule;
      break;
    }
    first_rule = match.rule + 1;
  }
  const expr::Rule& rule = rules().rule(result.rule);
  result.rejected = !rule.reject_reason.empty();
  if (rule.profile >= 0) result.transaction.profile = rule.profile;
  const auto evaluation_failed = [&] {
    ++result.failed_evaluations;
    result.last_failed_rule = result.rule;
  };
  Value value;
  if (rule.units) {
    // A number of units outside the allowed range counts as a failed evaluation.
    if (machine_.run(*rule.units, record, value) != expr::Failure::kNone || value.as_uint < 1 ||
        value.as_uint > config_.settings.max_transaction_units)
      evaluation_failed();
    else result.transaction.units = static_cast<double>(value.as_uint);
  }
  if (rule.key) {
    if (machine_.run(*rule.key, record, value) != expr::Failure::kNone) return evaluation_failed();
    result.transaction.has_key = true;
    result.transaction.key = value.as_uint;
  }
}

// Converts to local time once a minute, as the offset of a time zone changes on whole minutes.
void Matcher::set_local_time(double wall_time, expr::Record& record) {
  const auto minute = static_cast<long>(wall_time / 60);
  if (minute != cached_minute_) {
    cached_minute_ = minute;
    const auto seconds = static_cast<std::time_t>(wall_time);
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
          static_cast<std::int64_t>((wall_time - static_cast<double>(minute) * 60) * 1e9));
}

}  // namespace heronworks::gateway
