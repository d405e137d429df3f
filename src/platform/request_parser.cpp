#include "platform/request_parser.h"

#include "number.h"

namespace heronworks::platform {
namespace {

constexpr double kSecondsPerMillisecond = 1e-3;

template <typename Number>
bool read_number_into(std::string_view text, Number& value, int base = 10) {
  const auto number = read_number<Number>(text, base);
  if (number) value = *number;
  return number.has_value();
}

bool parse_hex16(std::string_view text, std::uint64_t& value) {
  return text.size() == 16 && read_number_into(text, value, 16);
}

bool find_index(const std::vector<std::string>& names, std::string_view name, int& index) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return index = static_cast<int>(i), true;
  }
  return false;
}

// Parses IO-Info, such as "units=2,shard=5,hosts=3". Each name may occur once, in any order; `units` and
// `shard` are required and unknown names are ignored.
bool parse_io_info(std::string_view text, const Config& config, Transaction& transaction) {
  bool units = false;
  bool shard = false;
  bool hosts = false;
  while (!text.empty()) {
    const auto comma = text.find(',');
    auto part = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    while (!part.empty() && part.back() == ' ') part.remove_suffix(1);
    const auto equals_sign = part.find('=');
    if (equals_sign == std::string_view::npos) return false;
    const auto name = part.substr(0, equals_sign);
    const auto value = part.substr(equals_sign + 1);
    if (name == "units") {
      if (std::exchange(units, true) || !read_number_into(value, transaction.units)) return false;
      if (transaction.units <= 0 || transaction.units > config.settings().max_transaction_units) return false;
    } else if (name == "shard") {
      if (std::exchange(shard, true) || !read_number_into(value, transaction.shard) || transaction.shard < -1)
        return false;
      if (transaction.shard >= config.shard_count) return false;
    } else if (name == "hosts") {
      if (std::exchange(hosts, true) || !read_number_into(value, transaction.volume_schedulers) ||
          transaction.volume_schedulers < 0)
        return false;
    }
  }
  return units && shard;
}

}  // namespace

std::variant<ParsedRequest, RequestError> parse_request(const http::Message& request, const Config& config) {
  const auto find_single_field = [&](std::string_view name) {
    return request.count_fields(name) == 1 ? request.find_field(name) : nullptr;
  };
  ParsedRequest parsed;
  const std::string* call_id = find_single_field("X-Call-Id");
  if (call_id == nullptr || call_id->empty() || call_id->size() > 128) return RequestError{400, "X-Call-Id"};
  parsed.call_id = *call_id;
  const bool is_write = request.method == "PUT";
  if (!is_write && request.method != "GET") return RequestError{400, "method"};
  if (!is_write && !request.body.empty()) return RequestError{400, "body of a read"};
  const std::string* profile = find_single_field("X-Call-Class");
  if (profile == nullptr ||
      !find_index(config.named_settings.profile_names, *profile, parsed.transaction.profile))
    return RequestError{400, "X-Call-Class"};
  const std::string* plan = find_single_field("Tier");
  if (plan == nullptr || !find_index(config.named_settings.plan_names, *plan, parsed.transaction.plan))
    return RequestError{400, "Tier"};

  // The last two segments of the path are the volume and the key; a query may follow.
  std::string_view path = request.target;
  path = path.substr(0, path.find('?'));
  const auto key_slash = path.rfind('/');
  if (key_slash == std::string_view::npos || key_slash == 0) return RequestError{400, "path"};
  const auto volume_slash = path.rfind('/', key_slash - 1);
  if (volume_slash == std::string_view::npos) return RequestError{400, "path"};
  if (!parse_hex16(path.substr(key_slash + 1), parsed.transaction.key))
    return RequestError{400, "piece of data"};
  if (!parse_hex16(path.substr(volume_slash + 1, key_slash - volume_slash - 1), parsed.volume))
    return RequestError{400, "volume"};
  parsed.transaction.has_key = true;

  const std::string* budget = find_single_field("X-Budget-Ms");
  double budget_ms = 0;
  if (budget == nullptr || !read_number_into(std::string_view(*budget), budget_ms) || budget_ms <= 0) {
    return RequestError{400, "X-Budget-Ms"};
  }
  parsed.transaction.time_left = kSecondsPerMillisecond * budget_ms;
  const std::string* io_info = find_single_field("IO-Info");
  if (io_info == nullptr || !parse_io_info(*io_info, config, parsed.transaction))
    return RequestError{400, "IO-Info"};

  const Profile& profile_settings =
      config.settings().profiles[static_cast<std::size_t>(parsed.transaction.profile)];
  const std::string* idempotency_key = request.find_field("Idempotency-Key");
  if (request.count_fields("Idempotency-Key") > 1) return RequestError{400, "Idempotency-Key"};
  if (profile_settings.idempotency == Idempotency::kDeduplicated &&
      (idempotency_key == nullptr || idempotency_key->empty()))
    return RequestError{400, "Idempotency-Key"};
  return parsed;
}

}  // namespace heronworks::platform
