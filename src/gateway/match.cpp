// From a command to a transaction: see match.h.
#include "gateway/match.h"

#include <algorithm>

namespace heronworks::gateway {

Matcher::Matcher(const config::GatewayConfig& config) : config_(config), sorted_(config.volumes) {
  std::sort(sorted_.begin(), sorted_.end(), [](auto& a, auto& b) { return a.first < b.first; });
  int index = 0;
  for (const auto& v : sorted_) {
    first_index_.push_back(index);
    index += static_cast<int>(v.last - v.first) + 1;
  }
}

const config::Volumes* Matcher::find(std::uint32_t nsid) const {
  auto after = std::upper_bound(sorted_.begin(), sorted_.end(), nsid,
                                [](std::uint32_t n, const auto& v) { return n < v.first; });
  if (after == sorted_.begin()) return nullptr;
  --after;
  return nsid <= after->last ? &*after : nullptr;
}

std::optional<Transaction> Matcher::match(const nvme::Sqe& sqe, nvme::Status& refused) const {
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
  if (units > config_.settings.largest_units) return refused = nvme::status::kInvalidField, std::nullopt;

  Transaction t;
  const auto operation = append ? config::Operation::kAppend
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
  t.hosts = volume->hosts;
  const auto range = static_cast<std::size_t>(
      std::upper_bound(sorted_.begin(), sorted_.end(), sqe.nsid, [](std::uint32_t n, const auto& v) {
        return n < v.first;
      }) - sorted_.begin() - 1);
  t.volume = first_index_[range] + static_cast<int>(sqe.nsid - sorted_[range].first);
  t.shard = append ? -1 : static_cast<int>(zone % config_.shards);
  // The key of a new object is its client's label; without one it has none.
  t.has_key = !append || sqe.label() != 0;
  t.key = append ? sqe.label() : static_cast<std::uint64_t>(sqe.nsid) << 40 | lba / config_.key_blocks;
  return t;
}

}  // namespace heronworks::gateway
