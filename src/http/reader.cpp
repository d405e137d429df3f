#include "http/reader.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>

#include "number.h"
#include "release_memory.h"

namespace heronworks::http {
namespace {

namespace beast = boost::beast::http;

constexpr std::uint8_t kCr = '\r';
constexpr std::uint8_t kLf = '\n';
constexpr std::uint8_t kDel = 0x7f;
constexpr std::size_t kHeaderLimitSlackBytes = 4;  // keeps Beast's limit behind the exact one of scan_head()

char to_lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

// Short strings are stored in the string object itself.
std::size_t allocated_bytes(const std::string& text) {
  static const std::size_t kShortCapacity = std::string().capacity();
  return text.capacity() > kShortCapacity ? text.capacity() + 1 : 0;
}

std::string to_string(boost::string_view view) { return std::string(view.data(), view.size()); }

}  // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (to_lower(a[i]) != to_lower(b[i])) return false;
  }
  return true;
}

const std::string* Message::find_field(std::string_view name) const {
  for (const Field& field : fields) {
    if (equals_ignore_case(field.name, name)) return &field.value;
  }
  return nullptr;
}

std::size_t Message::count_fields(std::string_view name) const {
  std::size_t n = 0;
  for (const Field& field : fields) n += equals_ignore_case(field.name, name) ? 1 : 0;
  return n;
}

std::size_t Message::memory_bytes() const {
  std::size_t bytes = allocated_bytes(method) + allocated_bytes(target) + allocated_bytes(body);
  for (const auto* section : {&fields, &trailer_fields}) {
    bytes += section->capacity() * sizeof(Field);
    for (const Field& field : *section) bytes += allocated_bytes(field.name) + allocated_bytes(field.value);
  }
  return bytes;
}

// A Beast parser that stores what it parses in a Message.
template <bool kRequest>
struct MessageParser final : beast::basic_parser<kRequest> {
  using View = boost::string_view;
  using Error = boost::system::error_code;
  explicit MessageParser(Message& m) : message(m) {}

  void on_request_impl(beast::verb, View method, View target, int http_version, Error&) override {
    message.method = to_string(method);
    message.target = to_string(target);
    version = http_version;
  }
  void on_response_impl(int status, View, int http_version, Error&) override {
    message.status = status;
    version = http_version;
  }
  void on_field_impl(beast::field, View name, View value, Error&) override {
    message.fields.push_back({to_string(name), to_string(value)});
  }
  void on_header_impl(Error&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, Error&) override {
    if (length) message.body.reserve(std::min<std::uint64_t>(*length, kMaxReserveBytes));
  }
  std::size_t on_body_impl(View body, Error&) override {
    message.body.append(body.data(), body.size());
    return body.size();
  }
  // ChunkedDecoder reads these bodies.
  void on_chunk_header_impl(std::uint64_t, View, Error&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View body, Error&) override { return body.size(); }
  void on_finish_impl(Error&) override {}

  // Limits the memory allocated for a Content-Length before any of the body has arrived.
  static constexpr std::uint64_t kMaxReserveBytes = 1024;
  Message& message;
  int version = 0;  // 10 * major + minor
};

// The parser for the reader's kind of message. Exactly one of the two optionals is set.
struct Reader::Parser {
  std::optional<MessageParser<true>> request;
  std::optional<MessageParser<false>> response;
  Message message;

  Parser(MessageKind kind, const MessageLimits& limits) {
    const auto init = [&](auto& parser) {
      parser.emplace(message);
      parser->eager(true);
      parser->header_limit(static_cast<std::uint32_t>(limits.head_bytes + kHeaderLimitSlackBytes));
      // Not boost::none for a body without limit: Beast then rejects every Content-Length.
      parser->body_limit(std::uint64_t{limits.body_bytes});
    };
    if (kind == MessageKind::kRequest) init(request);
    else init(response);
  }
  template <typename Visitor>
  decltype(auto) visit(Visitor visitor) {
    return request ? visitor(*request) : visitor(*response);
  }
  std::size_t put(std::span<const std::uint8_t> bytes, boost::system::error_code& error) {
    const boost::asio::const_buffer buffer(bytes.data(), bytes.size());
    return visit([&](auto& parser) { return parser.put(buffer, error); });
  }
  bool done() {
    return visit([](auto& parser) { return parser.is_done(); });
  }
  bool keep_alive() {
    return visit([](auto& parser) { return parser.keep_alive(); });
  }
  int version() {
    return visit([](auto& parser) { return parser.version; });
  }
};

Reader::Reader(MessageKind kind, MessageLimits limits) : kind_(kind), limits_(limits) {}
Reader::~Reader() = default;
Reader::Reader(Reader&&) noexcept = default;
Reader& Reader::operator=(Reader&&) noexcept = default;

void Reader::fail(ParseError error, std::string message) {
  error_ = error;
  error_message_ = std::move(message);
}

void Reader::reset() {
  parser_.reset();
  chunked_.reset();
  release_memory(message_);
  scanned_ = 0;
  line_length_ = 0;
  last_byte_ = 0;
  declared_body_bytes_.reset();
  started_ = head_done_ = done_ = until_eof_ = false;
}

Message Reader::take_message() {
  Message message = std::move(message_);
  reset();
  return message;
}

std::string Reader::take_body() { return parser_ ? std::exchange(parser_->message.body, {}) : std::string(); }

std::size_t Reader::buffered_body_bytes() const {
  return done_ || !parser_ ? message_.body.size() : parser_->message.body.size();
}

std::string& Reader::body() { return done_ || !parser_ ? message_.body : parser_->message.body; }

std::optional<std::size_t> Reader::missing_body_bytes() const {
  if (!head_done_ || !declared_body_bytes_) return std::nullopt;
  return *declared_body_bytes_ - std::min(*declared_body_bytes_, buffered_body_bytes());
}

std::size_t Reader::memory_bytes() const {
  std::size_t bytes = message_.memory_bytes();
  if (parser_) bytes += sizeof(Parser) + parser_->message.memory_bytes();
  return bytes;
}

std::size_t Reader::body_capacity() const {
  return done_ || !parser_ ? message_.body.capacity() : parser_->message.body.capacity();
}

// Scans the bytes of the head that have not been scanned before. Returns true once the blank line at its end
// is reached.
bool Reader::scan_head(std::span<const std::uint8_t> bytes) {
  const std::size_t end = std::min(bytes.size(), limits_.head_bytes);
  std::uint8_t last_byte = last_byte_;
  int line_length = line_length_;
  const char* problem = nullptr;
  bool complete = false;
  std::size_t i = scanned_;
  for (; i < end && !complete; ++i) {
    const std::uint8_t byte = bytes[i];
    if (byte > ' ' && byte != kDel && last_byte != kCr) {
      ++line_length;
    } else if (last_byte == kCr && byte != kLf) {
      problem = "bare CR in head";
      break;
    } else if (byte == kLf) {
      if (last_byte != kCr) {
        problem = "bare LF in head";
        break;
      }
      complete = line_length == 0;
      line_length = 0;
    } else if (byte != kCr) {
      if ((byte < ' ' && byte != '\t') || byte == kDel) {
        problem = "control character in head";
        break;
      }
      if (line_length == 0) {
        problem = "folded header field";
        break;
      }
      ++line_length;
    }
    last_byte = byte;
  }
  scanned_ = i;
  last_byte_ = last_byte;
  line_length_ = line_length;
  if (problem != nullptr) fail(ParseError::kMalformed, problem);
  else if (!complete && bytes.size() > limits_.head_bytes)
    fail(ParseError::kHeadTooLarge, "head exceeds its size limit");
  return complete;
}

// Parses a complete head, applies the rules of reader.h to it and finds out how the body ends.
void Reader::parse_head(std::span<const std::uint8_t> head) {
  parser_ = std::make_unique<Parser>(kind_, limits_);
  boost::system::error_code error;
  const auto consumed = parser_->put(head, error);
  if (error == beast::error::need_more) error = {};
  if (error == beast::error::body_limit)
    return fail(ParseError::kBodyTooLarge, "body exceeds its size limit");
  if (error == beast::error::header_limit)
    return fail(ParseError::kHeadTooLarge, "head exceeds its size limit");
  if (error) return fail(ParseError::kMalformed, error.message());
  if (consumed != head.size()) return fail(ParseError::kMalformed, "head ends before its blank line");
  message_ = std::exchange(parser_->message, {});  // leaves the parser's own message to trailer fields
  message_.keep_alive = parser_->keep_alive();
  message_.minor_version = parser_->version() % 10;
  if (message_.fields.size() > limits_.fields) {
    return fail(ParseError::kHeadTooLarge, "too many header fields");
  }
  const auto content_lengths = message_.count_fields("Content-Length");
  const auto transfer_encodings = message_.count_fields("Transfer-Encoding");
  const int version = parser_->version();
  if (version != 10 && version != 11) {
    return fail(ParseError::kMalformed, "HTTP version is neither 1.0 nor 1.1");
  }
  if (content_lengths > 1) return fail(ParseError::kMalformed, "more than one Content-Length field");
  if (content_lengths + transfer_encodings > 1) {
    return fail(ParseError::kMalformed,
                "Transfer-Encoding beside Content-Length or another Transfer-Encoding");
  }
  if (transfer_encodings > 0 &&
      (version == 10 || !equals_ignore_case(*message_.find_field("Transfer-Encoding"), "chunked"))) {
    return fail(ParseError::kMalformed, "Transfer-Encoding is not chunked, or used with HTTP/1.0");
  }
  if (kind_ == MessageKind::kResponse) {
    const int status = message_.status;
    if (status == 101)
      return fail(ParseError::kMalformed, "unexpected 101 response: no upgrade was requested");
    until_eof_ = status >= 200 && status != 204 && status != 304 && content_lengths + transfer_encodings == 0;
  }
  if (content_lengths == 1) {
    declared_body_bytes_ = read_whole_number<std::size_t>(*message_.find_field("Content-Length"));
    if (!declared_body_bytes_) return fail(ParseError::kMalformed, "Content-Length is not one number");
  }
  if (transfer_encodings > 0 && !parser_->done())
    chunked_.emplace(
        ChunkedDecoder::Limits{limits_.body_bytes, limits_.head_bytes, limits_.head_bytes, limits_.fields});
  head_done_ = true;
}

bool Reader::body_done() const { return chunked_ ? chunked_->done() : parser_->done(); }

std::size_t Reader::put_chunked(std::span<const std::uint8_t> bytes) {
  const std::size_t consumed = chunked_->put(bytes, parser_->message.body);
  if (chunked_->error() != ParseError::kNone) fail(chunked_->error(), chunked_->error_message());
  return consumed;
}

// A body with a length, or up to the end of the connection.
std::size_t Reader::put_body(std::span<const std::uint8_t> bytes) {
  boost::system::error_code error;
  const auto consumed = parser_->put(bytes, error);
  if (error == beast::error::body_limit) fail(ParseError::kBodyTooLarge, "body exceeds its size limit");
  else if (error && error != beast::error::need_more) fail(ParseError::kMalformed, error.message());
  return consumed;
}

bool Reader::put_eof() {
  if (error_ != ParseError::kNone || done_ || !until_eof_) return false;
  message_.body = std::move(parser_->message.body);
  message_.keep_alive = false;
  return done_ = true;
}

std::size_t Reader::put(std::span<const std::uint8_t> bytes) {
  std::size_t consumed = 0;
  while (error_ == ParseError::kNone && !done_) {
    auto rest = bytes.subspan(consumed);
    if (!head_done_) {
      // Empty lines before a request are ignored (RFC 9112, 2.2).
      if (kind_ == MessageKind::kRequest && scanned_ == 0 && rest.size() >= 2 && rest[0] == kCr &&
          rest[1] == kLf) {
        consumed += 2;
        continue;
      }
      if (rest.empty() ||
          (kind_ == MessageKind::kRequest && scanned_ == 0 && rest.size() == 1 && rest[0] == kCr))
        return consumed;
      started_ = true;
      if (!scan_head(rest)) return consumed;
      parse_head(rest.first(scanned_));
      if (error_ != ParseError::kNone) return consumed;
      consumed += std::exchange(scanned_, 0);
    } else {
      if (rest.empty()) return consumed;
      const std::size_t used = chunked_ ? put_chunked(rest) : put_body(rest);
      consumed += used;
      if (error_ != ParseError::kNone || (used == 0 && !body_done())) return consumed;
    }
    if (!body_done()) continue;
    if (kind_ == MessageKind::kResponse && message_.status < 200) {
      reset();  // an interim response; the final one follows
      continue;
    }
    message_.body = std::move(parser_->message.body);
    if (chunked_) message_.trailer_fields = chunked_->take_trailer_fields();
    done_ = true;
  }
  return consumed;
}

}  // namespace heronworks::http
