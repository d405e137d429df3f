#include "platform/request_parser.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "number.h"

namespace heronworks::platform {
namespace {

constexpr int kBadRequest = 400;
constexpr double kSecondsPerMillisecond = 1e-3;
constexpr std::size_t kMaxCallIdBytes = 128;
constexpr std::size_t kHexDigits = 16;  // of a volume, and of a piece of data
constexpr int kNewObjectShard = -1;

// The fields of the platform's protocol. Each occurs at most once, and in the head.
constexpr std::array<std::string_view, 7> kProtocolFields{
    "X-Call-Id", "X-Call-Class", "Tier", "X-Budget-Ms", "IO-Info", "X-Again", "Idempotency-Key"};

bool is_visible_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

// The value of a field, empty if there is none.
std::string_view value_of(const http::Message& request, std::string_view field) {
  const std::string* value = request.find_field(field);
  return value == nullptr ? std::string_view() : std::string_view(*value);
}

// A field that occurs twice, or behind the body. Empty: there is none.
std::string find_misplaced_field(const http::Message& request) {
  for (const std::string_view name : kProtocolFields) {
    if (request.count_fields(name) > 1) return std::string(name);
    for (const http::Field& field : request.trailer_fields) {
      if (http::equals_ignore_case(field.name, name)) return "trailer field " + field.name;
    }
  }
  return {};
}

// A comma would make it two values to another reader (RFC 9110, 5.3).
bool is_call_id(std::string_view text) {
  return !text.empty() && text.size() <= kMaxCallIdBytes && is_visible_ascii(text) &&
         text.find(',') == std::string_view::npos;
}

// Whether `value` is one of the names of the settings; `index` is its place there.
bool find_index(const std::vector<std::string>& names, std::string_view value, int& index) {
  const auto found = std::find(names.begin(), names.end(), value);
  index = static_cast<int>(found - names.begin());
  return found != names.end();
}

bool parse_hex16(std::string_view digits, std::uint64_t& number) {
  const auto parsed = read_number<std::uint64_t>(digits, 16);
  if (digits.size() != kHexDigits || digits.front() == '-' || !parsed) return false;
  number = *parsed;
  return true;
}

// The last two segments of the path are the volume and the key.
bool parse_path(std::string_view path, ParsedRequest& parsed) {
  const auto key_slash = path.rfind('/');
  if (key_slash == std::string_view::npos || key_slash == 0) return false;
  const auto volume_slash = path.rfind('/', key_slash - 1);
  if (volume_slash == std::string_view::npos) return false;
  parsed.transaction.has_key = true;
  return parse_hex16(path.substr(key_slash + 1), parsed.transaction.key) &&
         parse_hex16(path.substr(volume_slash + 1, key_slash - volume_slash - 1), parsed.volume);
}

bool parse_time_left(std::string_view text, double& seconds) {
  const auto milliseconds = read_whole_number<std::int64_t>(text);
  if (!milliseconds || *milliseconds == 0) return false;
  seconds = kSecondsPerMillisecond * static_cast<double>(*milliseconds);
  return true;
}

std::string_view trim(std::string_view text) {
  constexpr std::string_view kWhiteSpace = " \t";
  const auto first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kWhiteSpace) - first + 1);
}

struct IoInfo {
  std::optional<int> units;
  std::optional<int> shard;
  std::optional<int> hosts;
};

// Sets a number that was not set before.
bool set_once(std::optional<int>& target, std::string_view text, int least) {
  if (target) return false;
  target = read_whole_number<int>(text);
  return target && *target >= least;
}

bool parse_io_info_part(std::string_view name, std::string_view value, IoInfo& info) {
  if (name == "units") return set_once(info.units, value, 1);
  if (name == "hosts") return set_once(info.hosts, value, 1);
  if (name != "shard") return http::is_token(name);  // unknown ones are ignored
  if (value != "-1") return set_once(info.shard, value, 0);
  if (info.shard) return false;
  info.shard = kNewObjectShard;
  return true;
}

// Parses IO-Info, such as "units=2,shard=5,hosts=3". Each name occurs once, in any order; `units` and `shard`
// are required.
bool parse_io_info(std::string_view text, const Config& config, Transaction& transaction) {
  IoInfo info;
  for (bool more = true; more;) {
    const auto comma = text.find(',');
    const auto part = trim(text.substr(0, comma));
    const auto equals_sign = part.find('=');
    if (equals_sign == std::string_view::npos) return false;
    if (!parse_io_info_part(part.substr(0, equals_sign), part.substr(equals_sign + 1), info)) return false;
    more = comma != std::string_view::npos;
    text = more ? text.substr(comma + 1) : std::string_view();
  }
  if (!info.units || *info.units > config.settings().max_transaction_units) return false;
  if (!info.shard || *info.shard >= config.shard_count) return false;
  transaction.units = *info.units;
  transaction.shard = *info.shard;
  transaction.volume_schedulers = info.hosts.value_or(0);
  return true;
}

// Another reader may not expect a coding on a GET, and take the last chunk for the next request.
bool is_without_body(const http::Message& request) {
  return request.body.empty() && request.count_fields("Transfer-Encoding") == 0;
}

bool has_valid_idempotency_key(const http::Message& request, const Profile& profile) {
  const std::string* key = request.find_field("Idempotency-Key");
  return key == nullptr ? profile.idempotency != Idempotency::kDeduplicated : !key->empty();
}

// X-Again: 1 marks a client's retry.
bool has_valid_retry_mark(const http::Message& request) {
  const std::string* mark = request.find_field("X-Again");
  return mark == nullptr || *mark == "1";
}

}  // namespace

std::variant<ParsedRequest, http::RequestFault> parse_request(const http::Message& request,
                                                              const Config& config) {
  const auto fault = [](std::string field) { return http::RequestFault{kBadRequest, std::move(field)}; };
  const auto target = http::parse_request_target(request.target);
  if (!target) return fault("target");
  if (auto http_fault = http::find_request_fault(request, *target)) return *std::move(http_fault);
  if (auto field = find_misplaced_field(request); !field.empty()) return fault(std::move(field));

  ParsedRequest parsed;
  Transaction& transaction = parsed.transaction;
  parsed.node_target = target->path_and_query;
  parsed.call_id = value_of(request, "X-Call-Id");
  if (!is_call_id(parsed.call_id)) return fault("X-Call-Id");
  if (request.method != "PUT" && request.method != "GET") return fault("method");
  if (request.method == "GET" && !is_without_body(request)) return fault("body of a read");
  const NamedSettings& names = config.named_settings;
  if (!find_index(names.profile_names, value_of(request, "X-Call-Class"), transaction.profile))
    return fault("X-Call-Class");
  if (!find_index(names.plan_names, value_of(request, "Tier"), transaction.plan)) return fault("Tier");
  if (!parse_path(target->path, parsed)) return fault("path");
  if (!parse_time_left(value_of(request, "X-Budget-Ms"), transaction.time_left)) return fault("X-Budget-Ms");
  if (!parse_io_info(value_of(request, "IO-Info"), config, transaction)) return fault("IO-Info");
  const Profile& profile = config.settings().profiles[static_cast<std::size_t>(transaction.profile)];
  if (!has_valid_idempotency_key(request, profile)) return fault("Idempotency-Key");
  if (!has_valid_retry_mark(request)) return fault("X-Again");
  return parsed;
}

std::optional<std::uint64_t> parse_order_key(const http::Message& request, const Config& config) {
  int profile = 0;
  if (!find_index(config.named_settings.profile_names, value_of(request, "X-Call-Class"), profile) ||
      !config.settings().profiles[static_cast<std::size_t>(profile)].ordered_by_key)
    return std::nullopt;
  ParsedRequest parsed;
  const auto target = http::parse_request_target(request.target);
  return target && parse_path(target->path, parsed) ? std::optional(parsed.transaction.key) : std::nullopt;
}

}  // namespace heronworks::platform
