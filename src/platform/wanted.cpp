// From a request to a transaction: see wanted.h.
#include "platform/wanted.h"

#include "number.h"

namespace heronworks::platform {
namespace {

constexpr double kMilli = 1e-3;

template <typename Number>
bool read(std::string_view text, Number& into, int base = 10) {
  const auto number = read_number<Number>(text, base);
  if (number) into = *number;
  return number.has_value();
}

bool read_hex16(std::string_view text, std::uint64_t& into) {
  return text.size() == 16 && read(text, into, 16);
}

bool one_of(const std::vector<std::string>& names, std::string_view name, int& index) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return index = static_cast<int>(i), true;
  }
  return false;
}

// "units=2,shard=5,hosts=3": in any order, each at most once, others passed over.
bool read_info(std::string_view text, const Config& c, Transaction& t) {
  bool units = false;
  bool shard = false;
  bool hosts = false;
  while (!text.empty()) {
    const auto comma = text.find(',');
    auto part = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    const auto equals = part.find('=');
    if (equals == std::string_view::npos) return false;
    const auto name = part.substr(0, equals);
    const auto value = part.substr(equals + 1);
    if (name == "units") {
      if (std::exchange(units, true) || !read(value, t.units)) return false;
      if (t.units <= 0 || t.units > c.settings().max_transaction_units) return false;
    } else if (name == "shard") {
      if (std::exchange(shard, true) || !read(value, t.shard) || t.shard < -1) return false;
      if (c.shards > 0 && t.shard >= c.shards) return false;
    } else if (name == "hosts") {
      if (std::exchange(hosts, true) || !read(value, t.volume_schedulers) || t.volume_schedulers < 0)
        return false;
    }
  }
  return units && shard;
}

}  // namespace

std::variant<Wanted, Refused> read_wanted(const http::Message& m, const Config& c) {
  const auto once = [&](std::string_view name) {
    return m.count_fields(name) == 1 ? m.find_field(name) : nullptr;
  };
  Wanted w;
  const std::string* call = once("X-Call-Id");
  if (call == nullptr || call->empty() || call->size() > 128) return Refused{400, "X-Call-Id"};
  w.call = *call;
  const bool writes = m.method == "PUT";
  if (!writes && m.method != "GET") return Refused{400, "method"};
  if (!writes && !m.body.empty()) return Refused{400, "body of a read"};
  const std::string* profile = once("X-Call-Class");
  if (profile == nullptr || !one_of(c.named.profile_names, *profile, w.t.profile))
    return Refused{400, "X-Call-Class"};
  const std::string* plan = once("Tier");
  if (plan == nullptr || !one_of(c.named.plan_names, *plan, w.t.plan)) return Refused{400, "Tier"};

  // The last two parts of the path, which may have a query behind it.
  std::string_view path = m.target;
  path = path.substr(0, path.find('?'));
  const auto piece_at = path.rfind('/');
  if (piece_at == std::string_view::npos || piece_at == 0) return Refused{400, "path"};
  const auto volume_at = path.rfind('/', piece_at - 1);
  if (volume_at == std::string_view::npos) return Refused{400, "path"};
  if (!read_hex16(path.substr(piece_at + 1), w.t.key)) return Refused{400, "piece of data"};
  if (!read_hex16(path.substr(volume_at + 1, piece_at - volume_at - 1), w.volume))
    return Refused{400, "volume"};
  w.t.has_key = true;

  const std::string* budget = once("X-Budget-Ms");
  double left = 0;
  if (budget == nullptr || !read(std::string_view(*budget), left) || left <= 0) {
    return Refused{400, "X-Budget-Ms"};
  }
  w.t.time_left = kMilli * left;
  const std::string* info = once("IO-Info");
  if (info == nullptr || !read_info(*info, c, w.t)) return Refused{400, "IO-Info"};

  const Profile& p = c.settings().profiles[static_cast<std::size_t>(w.t.profile)];
  const std::string* label = m.find_field("Idempotency-Key");
  if (m.count_fields("Idempotency-Key") > 1) return Refused{400, "Idempotency-Key"};
  if (p.idempotency == Idempotency::kDeduplicated && (label == nullptr || label->empty()))
    return Refused{400, "Idempotency-Key"};
  return w;
}

}  // namespace heronworks::platform
