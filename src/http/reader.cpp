// Reads HTTP/1.1: see reader.h.
#include "http/reader.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>

namespace heronworks::http {
namespace {

namespace beast = boost::beast::http;

constexpr std::uint8_t kCr = '\r';
constexpr std::uint8_t kLf = '\n';

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string text(boost::string_view v) { return std::string(v.data(), v.size()); }

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (lower(a[i]) != lower(b[i])) return false;
  }
  return true;
}

const std::string* Message::find(std::string_view name) const {
  for (const Field& f : fields) {
    if (same_name(f.name, name)) return &f.value;
  }
  return nullptr;
}

std::size_t Message::count(std::string_view name) const {
  std::size_t n = 0;
  for (const Field& f : fields) n += same_name(f.name, name) ? 1 : 0;
  return n;
}

// One of the two, by the kind of message.
struct Reader::Parser {
  std::unique_ptr<beast::request_parser<beast::string_body>> request;
  std::unique_ptr<beast::response_parser<beast::string_body>> answer;

  Parser(Kind kind, const Bounds& bounds) {
    const auto open = [&](auto& parser) {
      parser->eager(true);
      parser->header_limit(static_cast<std::uint32_t>(bounds.head + 4));
      if (bounds.body == std::numeric_limits<std::size_t>::max()) parser->body_limit(boost::none);
      else parser->body_limit(bounds.body);
    };
    if (kind == Kind::kRequest) open(request = std::make_unique<beast::request_parser<beast::string_body>>());
    else open(answer = std::make_unique<beast::response_parser<beast::string_body>>());
  }
  template <typename Act>
  decltype(auto) with(Act act) {
    return request ? act(*request) : act(*answer);
  }
  std::size_t put(std::span<const std::uint8_t> bytes, boost::system::error_code& error) {
    const boost::asio::const_buffer buffer(bytes.data(), bytes.size());
    return with([&](auto& p) { return p.put(buffer, error); });
  }
  bool done() { return with([](auto& p) { return p.is_done(); }); }
  std::string& body() { return with([](auto& p) -> std::string& { return p.get().body(); }); }
  template <typename Each>
  void each_field(Each each) {
    with([&](auto& p) {
      for (const auto& f : p.get()) each(text(f.name_string()), text(f.value()));
    });
  }
};

Reader::Reader(Kind kind, Bounds bounds) : kind_(kind), bounds_(bounds) {}
Reader::~Reader() = default;
Reader::Reader(Reader&&) noexcept = default;
Reader& Reader::operator=(Reader&&) noexcept = default;

void Reader::fail(Fault fault, std::string reason) {
  fault_ = fault;
  reason_ = std::move(reason);
}

void Reader::reset() {
  parser_.reset();
  message_ = {};
  scanned_ = 0;
  line_ = 0;
  last_ = 0;
  started_ = head_done_ = done_ = false;
}

Message Reader::take() {
  Message m = std::move(message_);
  reset();
  return m;
}

std::string Reader::take_body() {
  std::string out;
  if (!parser_) return out;
  out.swap(parser_->body());
  return out;
}

// Looks at the head's bytes that are new; true at its end.
bool Reader::scan(std::span<const std::uint8_t> bytes) {
  for (; scanned_ < bytes.size(); ++scanned_) {
    const std::uint8_t b = bytes[scanned_];
    if (scanned_ >= bounds_.head) return fail(Fault::kHeadTooLarge, "head of more than its bound"), false;
    if (last_ == kCr && b != kLf) return fail(Fault::kMalformed, "bare CR"), false;
    if (b == kLf) {
      if (last_ != kCr) return fail(Fault::kMalformed, "bare LF"), false;
      if (line_ == 0) {
        ++scanned_;
        return true;
      }
      line_ = 0;
    } else if (b != kCr) {
      if ((b < 0x20 && b != '\t') || b == 0x7f) return fail(Fault::kMalformed, "control character"), false;
      if (line_ == 0 && (b == ' ' || b == '\t')) return fail(Fault::kMalformed, "folded field"), false;
      ++line_;
    }
    last_ = b;
  }
  return false;
}

void Reader::open_head(std::span<const std::uint8_t> head) {
  parser_ = std::make_unique<Parser>(kind_, bounds_);
  boost::system::error_code error;
  const auto used = parser_->put(head, error);
  if (error == beast::error::need_more) error = {};
  if (error == beast::error::body_limit) return fail(Fault::kBodyTooLarge, "body of more than its bound");
  if (error == beast::error::header_limit) return fail(Fault::kHeadTooLarge, "head of more than its bound");
  if (error) return fail(Fault::kMalformed, error.message());
  if (used != head.size()) return fail(Fault::kMalformed, "a head that ends early");
  parser_->each_field([&](std::string name, std::string value) {
    message_.fields.push_back({std::move(name), std::move(value)});
  });
  if (message_.fields.size() > bounds_.fields) return fail(Fault::kHeadTooLarge, "more fields than their bound");
  if (kind_ == Kind::kRequest) {
    message_.method = text(parser_->request->get().method_string());
    message_.target = text(parser_->request->get().target());
  } else {
    message_.status = static_cast<int>(parser_->answer->get().result_int());
  }
  message_.keep_alive = parser_->with([](auto& p) { return p.get().keep_alive(); });
  const auto lengths = message_.count("Content-Length");
  const auto codings = message_.count("Transfer-Encoding");
  const int version = parser_->with([](auto& p) { return static_cast<int>(p.get().version()); });
  if (version != 10 && version != 11) return fail(Fault::kMalformed, "not HTTP/1.0 or 1.1");
  if (lengths > 1) return fail(Fault::kMalformed, "more than one Content-Length");
  if (lengths + codings > 1) return fail(Fault::kMalformed, "Content-Length and Transfer-Encoding");
  if (codings > 0 && (version == 10 || !same_name(*message_.find("Transfer-Encoding"), "chunked"))) {
    return fail(Fault::kMalformed, "a Transfer-Encoding that is not chunked");
  }
  if (kind_ == Kind::kAnswer) {
    const int s = message_.status;
    if (s == 101) return fail(Fault::kMalformed, "a change of protocol");
    if (s >= 200 && s != 204 && s != 304 && lengths + codings == 0) {
      return fail(Fault::kMalformed, "an answer without a length");
    }
  }
  head_done_ = true;
}

std::size_t Reader::put(std::span<const std::uint8_t> bytes) {
  std::size_t used = 0;
  while (fault_ == Fault::kNone && !done_) {
    auto rest = bytes.subspan(used);
    if (!head_done_) {
      // Empty lines in front of a request are to be passed over (RFC 9112, 2.2).
      if (kind_ == Kind::kRequest && scanned_ == 0 && rest.size() >= 2 && rest[0] == kCr && rest[1] == kLf) {
        used += 2;
        continue;
      }
      if (rest.empty()) return used;
      started_ = true;
      if (!scan(rest)) return used;
      open_head(rest.first(scanned_));
      if (fault_ != Fault::kNone) return used;
      used += std::exchange(scanned_, 0);
    } else {
      if (rest.empty()) return used;
      boost::system::error_code error;
      const auto n = parser_->put(rest, error);
      used += n;
      if (error == beast::error::body_limit) {
        fail(Fault::kBodyTooLarge, "body of more than its bound");
      } else if (error && error != beast::error::need_more) {
        fail(Fault::kMalformed, error.message());
      } else if (n == 0) {  // part of a chunk's head
        if (rest.size() > bounds_.head) fail(Fault::kHeadTooLarge, "a chunk's head of more than its bound");
        else if (!parser_->done()) return used;
      }
      if (fault_ != Fault::kNone) return used;
    }
    if (!parser_->done()) continue;
    if (kind_ == Kind::kAnswer && message_.status < 200) {
      reset();  // 1xx: the answer itself is still to come
      continue;
    }
    message_.body = std::move(parser_->body());
    done_ = true;
  }
  return used;
}

}  // namespace heronworks::http
