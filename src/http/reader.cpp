// Reads HTTP/1.1: see reader.h.
#include "http/reader.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <limits>

namespace heronworks::http {
namespace {

namespace beast = boost::beast::http;

constexpr std::uint8_t kCr = '\r';
constexpr std::uint8_t kLf = '\n';

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string text(boost::string_view v) { return std::string(v.data(), v.size()); }

}  // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (lower(a[i]) != lower(b[i])) return false;
  }
  return true;
}

const std::string* Message::find_field(std::string_view name) const {
  for (const Field& f : fields) {
    if (equals_ignore_case(f.name, name)) return &f.value;
  }
  return nullptr;
}

std::size_t Message::count_fields(std::string_view name) const {
  std::size_t n = 0;
  for (const Field& f : fields) n += equals_ignore_case(f.name, name) ? 1 : 0;
  return n;
}

// Beast's parser, writing straight into a message.
template <bool kRequest>
struct Writing final : beast::basic_parser<kRequest> {
  using View = boost::string_view;
  using Error = boost::system::error_code;
  explicit Writing(Message& m) : into(m) {}

  void on_request_impl(beast::verb, View method, View target, int v, Error&) override {
    into.method = text(method);
    into.target = text(target);
    version = v;
  }
  void on_response_impl(int status, View, int v, Error&) override {
    into.status = status;
    version = v;
  }
  void on_field_impl(beast::field, View name, View value, Error&) override {
    into.fields.push_back({text(name), text(value)});
  }
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, Error&) override {
    if (length) into.body.reserve(std::min<std::uint64_t>(*length, kReserve));
  }
  std::size_t on_body_impl(View body, Error&) override {
    into.body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View body, Error&) override {
    into.body.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(Error&) override {}

  static constexpr std::uint64_t kReserve = 4096;  // bytes taken on a length's word alone
  Message& into;
  int version = 0;
};

// One of the two, by the kind of message.
struct Reader::Parser {
  std::optional<Writing<true>> request;
  std::optional<Writing<false>> answer;
  Message message;

  Parser(MessageKind kind, const MessageLimits& limits) {
    const auto open = [&](auto& parser) {
      parser.emplace(message);
      parser->eager(true);
      parser->header_limit(static_cast<std::uint32_t>(limits.head_bytes + 4));
      if (limits.body_bytes == std::numeric_limits<std::size_t>::max()) parser->body_limit(boost::none);
      else parser->body_limit(limits.body_bytes);
    };
    if (kind == MessageKind::kRequest) open(request);
    else open(answer);
  }
  template <typename Act>
  decltype(auto) with(Act act) {
    return request ? act(*request) : act(*answer);
  }
  std::size_t put(std::span<const std::uint8_t> bytes, boost::system::error_code& error) {
    const boost::asio::const_buffer buffer(bytes.data(), bytes.size());
    return with([&](auto& p) { return p.put(buffer, error); });
  }
  bool done() {
    return with([](auto& p) { return p.is_done(); });
  }
  bool keep_alive() {
    return with([](auto& p) { return p.keep_alive(); });
  }
  int version() {
    return with([](auto& p) { return p.version; });
  }
};

Reader::Reader(MessageKind kind, MessageLimits limits) : kind_(kind), limits_(limits) {}
Reader::~Reader() = default;
Reader::Reader(Reader&&) noexcept = default;
Reader& Reader::operator=(Reader&&) noexcept = default;

void Reader::fail(ParseError fault, std::string reason) {
  error_ = fault;
  error_message_ = std::move(reason);
}

void Reader::reset() {
  parser_.reset();
  message_ = {};
  scanned_ = 0;
  line_ = 0;
  last_ = 0;
  started_ = head_done_ = done_ = until_end_ = false;
}

Message Reader::take_message() {
  Message m = std::move(message_);
  reset();
  return m;
}

std::string Reader::take_body() { return parser_ ? std::exchange(parser_->message.body, {}) : std::string(); }

std::size_t Reader::buffered_body_bytes() const {
  return done_ || !parser_ ? message_.body.size() : parser_->message.body.size();
}

// Looks at the head's bytes that are new; true at its end.
bool Reader::scan(std::span<const std::uint8_t> bytes) {
  const std::size_t end = std::min(bytes.size(), limits_.head_bytes);
  std::uint8_t last = last_;
  int line = line_;
  const char* wrong = nullptr;
  bool whole = false;
  std::size_t i = scanned_;
  for (; i < end && !whole; ++i) {
    const std::uint8_t b = bytes[i];
    if (b > ' ' && b != 0x7f && last != kCr) {
      ++line;
    } else if (last == kCr && b != kLf) {
      wrong = "bare CR";
      break;
    } else if (b == kLf) {
      if (last != kCr) {
        wrong = "bare LF";
        break;
      }
      whole = line == 0;
      line = 0;
    } else if (b != kCr) {
      if ((b < ' ' && b != '\t') || b == 0x7f) {
        wrong = "control character";
        break;
      }
      if (line == 0) {
        wrong = "folded field";
        break;
      }
      ++line;
    }
    last = b;
  }
  scanned_ = i;
  last_ = last;
  line_ = line;
  if (wrong != nullptr) fail(ParseError::kMalformed, wrong);
  else if (!whole && bytes.size() > limits_.head_bytes)
    fail(ParseError::kHeadTooLarge, "head of more than its bound");
  return whole;
}

void Reader::open_head(std::span<const std::uint8_t> head) {
  parser_ = std::make_unique<Parser>(kind_, limits_);
  boost::system::error_code error;
  const auto used = parser_->put(head, error);
  if (error == beast::error::need_more) error = {};
  if (error == beast::error::body_limit)
    return fail(ParseError::kBodyTooLarge, "body of more than its bound");
  if (error == beast::error::header_limit)
    return fail(ParseError::kHeadTooLarge, "head of more than its bound");
  if (error) return fail(ParseError::kMalformed, error.message());
  if (used != head.size()) return fail(ParseError::kMalformed, "a head that ends early");
  message_ = std::exchange(parser_->message, {});  // trailers stay behind
  message_.keep_alive = parser_->keep_alive();
  if (message_.fields.size() > limits_.fields)
    return fail(ParseError::kHeadTooLarge, "more fields than their bound");
  const auto lengths = message_.count_fields("Content-Length");
  const auto codings = message_.count_fields("Transfer-Encoding");
  const int version = parser_->version();
  if (version != 10 && version != 11) return fail(ParseError::kMalformed, "not HTTP/1.0 or 1.1");
  if (lengths > 1) return fail(ParseError::kMalformed, "more than one Content-Length");
  if (lengths + codings > 1) return fail(ParseError::kMalformed, "Content-Length and Transfer-Encoding");
  if (codings > 0 &&
      (version == 10 || !equals_ignore_case(*message_.find_field("Transfer-Encoding"), "chunked"))) {
    return fail(ParseError::kMalformed, "a Transfer-Encoding that is not chunked");
  }
  if (kind_ == MessageKind::kResponse) {
    const int s = message_.status;
    if (s == 101) return fail(ParseError::kMalformed, "a change of protocol");
    until_end_ = s >= 200 && s != 204 && s != 304 && lengths + codings == 0;
  }
  head_done_ = true;
}

bool Reader::put_eof() {
  if (error_ != ParseError::kNone || done_ || !until_end_) return false;
  message_.body = std::move(parser_->message.body);
  message_.keep_alive = false;
  return done_ = true;
}

std::size_t Reader::put(std::span<const std::uint8_t> bytes) {
  std::size_t used = 0;
  while (error_ == ParseError::kNone && !done_) {
    auto rest = bytes.subspan(used);
    if (!head_done_) {
      // Empty lines in front of a request are to be passed over (RFC 9112, 2.2).
      if (kind_ == MessageKind::kRequest && scanned_ == 0 && rest.size() >= 2 && rest[0] == kCr &&
          rest[1] == kLf) {
        used += 2;
        continue;
      }
      if (rest.empty() ||
          (kind_ == MessageKind::kRequest && scanned_ == 0 && rest.size() == 1 && rest[0] == kCr))
        return used;
      started_ = true;
      if (!scan(rest)) return used;
      open_head(rest.first(scanned_));
      if (error_ != ParseError::kNone) return used;
      used += std::exchange(scanned_, 0);
    } else {
      if (rest.empty()) return used;
      boost::system::error_code error;
      const auto n = parser_->put(rest, error);
      used += n;
      if (error == beast::error::body_limit) {
        fail(ParseError::kBodyTooLarge, "body of more than its bound");
      } else if (error && error != beast::error::need_more) {
        fail(ParseError::kMalformed, error.message());
      } else if (n == 0) {  // part of a chunk's head
        if (rest.size() > limits_.head_bytes)
          fail(ParseError::kHeadTooLarge, "a chunk's head of more than its bound");
        else if (!parser_->done()) return used;
      }
      if (error_ != ParseError::kNone) return used;
    }
    if (!parser_->done()) continue;
    if (kind_ == MessageKind::kResponse && message_.status < 200) {
      reset();  // 1xx: the answer itself is still to come
      continue;
    }
    message_.body = std::move(parser_->message.body);
    done_ = true;
  }
  return used;
}

}  // namespace heronworks::http
