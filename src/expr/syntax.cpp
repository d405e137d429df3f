// Lexer, parser and printer: see syntax.h.
#include "expr/syntax.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

namespace heronworks::expr {
namespace {

enum class Token : std::uint8_t { kEnd, kConstant, kName, kSet, kSign, kBad };

struct Lexeme {
  Token token = Token::kEnd;
  Place place;
  std::string text;
  Constant constant;
};

bool name_start(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool digit(char c) { return c >= '0' && c <= '9'; }
bool name_part(char c) { return name_start(c) || digit(c); }

// Whether it is UTF-8 of shortest form without surrogates or NUL; else the offset of what is not.
std::optional<std::size_t> not_utf8(std::string_view s) {
  for (std::size_t i = 0; i < s.size();) {
    const auto c = static_cast<unsigned char>(s[i]);
    std::size_t n = c < 0x80                 ? 1
                    : c >= 0xc2 && c <= 0xdf ? 2
                    : (c & 0xf0) == 0xe0     ? 3
                    : c >= 0xf0 && c <= 0xf4 ? 4
                                             : 0;
    if (n == 0 || c == 0 || i + n > s.size()) return i;
    std::uint32_t code = n == 1 ? c : c & (0xff >> (n + 1));
    for (std::size_t k = 1; k < n; ++k) {
      const auto d = static_cast<unsigned char>(s[i + k]);
      if ((d & 0xc0) != 0x80) return i;
      code = code << 6 | (d & 0x3f);
    }
    if ((n == 3 && (code < 0x800 || (code >= 0xd800 && code < 0xe000))) ||
        (n == 4 && (code < 0x10000 || code > 0x10ffff)))
      return i;
    i += n;
  }
  return std::nullopt;
}

class Lexer {
 public:
  Lexer(std::string_view source, std::vector<Fault>& faults) : source_(source), faults_(faults) {}

  Lexeme next() {
    // Spaces, and comments to the end of their line. Danger: as many as a source holds, so no call for each.
    for (bool comment = false; at_ < source_.size(); ++at_) {
      comment = source_[at_] != '\n' && (comment || source_[at_] == '#');
      if (!comment && std::strchr(" \t\r\n", source_[at_]) == nullptr) break;
    }
    Lexeme l;
    l.place.offset = at_;
    if (at_ >= source_.size()) return l;
    const char c = source_[at_];
    if (digit(c)) return number(l);
    if (c == '"' || c == '\'') return string(l, kString);
    if (c == 'b' && at_ + 1 < source_.size() && (source_[at_ + 1] == '"' || source_[at_ + 1] == '\'')) {
      ++at_;
      return string(l, kBytes);
    }
    if (name_start(c)) return word(l);
    if (c == '$') {
      const std::size_t from = ++at_;
      while (at_ < source_.size() && name_part(source_[at_])) ++at_;
      l.token = Token::kSet;
      l.text = source_.substr(from, at_ - from);
      if (l.text.empty()) fault(l.place, "a name of a set is expected after $"), l.token = Token::kBad;
      return l;
    }
    for (const char* sign : {"||", "&&", "==", "!=", "<=", ">=", "..", "<", ">", "+", "-", "*",
                             "/",  "%",  "!",  "?",  ":",  "(",  ")",  "[", "]", ",", ";", "="}) {
      if (source_.substr(at_, std::strlen(sign)) != sign) continue;
      at_ += std::strlen(sign);
      l.token = Token::kSign;
      l.text = sign;
      return l;
    }
    fault(l.place, c == '&' || c == '|'
                       ? std::string("a single '") + c + "' is no operator; did you mean " + c + c + "?"
                       : "a character that has no place here");
    ++at_;
    l.token = Token::kBad;
    return l;
  }

 private:
  void fault(Place p, std::string text) { faults_.push_back({p, std::move(text)}); }

  Lexeme bad(Lexeme l, std::string text) {
    fault(l.place, std::move(text));
    l.token = Token::kBad;
    return l;
  }

  Lexeme word(Lexeme l) {
    const std::size_t from = at_;
    while (at_ < source_.size() &&
           (name_part(source_[at_]) ||
            (source_[at_] == '.' && at_ + 1 < source_.size() && name_start(source_[at_ + 1]))))
      ++at_;
    l.text = source_.substr(from, at_ - from);
    l.token = Token::kName;
    if (l.text == "true" || l.text == "false") {
      l.token = Token::kConstant;
      l.constant.type = kBool;
      l.constant.value = Value(l.text == "true");
    }
    return l;
  }

  // 12, 12u, 1.5, 300ms, 4KiB.
  Lexeme number(Lexeme l) {
    const std::size_t from = at_;
    bool fraction = false;
    if (source_.substr(at_, 2) == "0x") {
      at_ += 2;
      while (at_ < source_.size() && std::isxdigit(static_cast<unsigned char>(source_[at_])) != 0) ++at_;
    } else {
      while (at_ < source_.size() && digit(source_[at_])) ++at_;
      if (at_ + 1 < source_.size() && source_[at_] == '.' && digit(source_[at_ + 1])) {
        fraction = true;
        ++at_;
        while (at_ < source_.size() && digit(source_[at_])) ++at_;
      }
    }
    const std::string_view digits = source_.substr(from, at_ - from);
    const std::size_t unit_from = at_;
    while (at_ < source_.size() && name_part(source_[at_])) ++at_;
    const std::string unit(source_.substr(unit_from, at_ - unit_from));
    l.token = Token::kConstant;
    Constant& c = l.constant;
    if (fraction) {
      double d = 0;
      const auto end = digits.data() + digits.size();
      if (std::from_chars(digits.data(), end, d).ec != std::errc())
        return bad(l, "a number that is too large");
      if (!unit.empty()) return bad(l, "a fraction has no unit; write the next smaller one");
      c.type = kDouble;
      c.value = Value(d);
      return l;
    }
    std::uint64_t u = 0;
    const bool hex = digits.size() > 1 && digits[1] == 'x';
    const auto start = digits.data() + (hex ? 2 : 0);
    const auto end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(start, end, u, hex ? 16 : 10);
    if (error != std::errc() || stop != end) return bad(l, "a whole number of at most 64 bits is expected");
    static constexpr std::pair<const char*, std::int64_t> kTimes[] = {
        {"ns", 1},          {"us", 1000},         {"ms", 1000000},      {"s", 1000000000},
        {"m", 60000000000}, {"h", 3600000000000}, {"d", 86400000000000}};
    static constexpr std::pair<const char*, std::uint64_t> kSizes[] = {
        {"B", 1}, {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}, {"TiB", 1ULL << 40}};
    if (unit == "u") {
      c.type = kUint;
      c.value = Value(u);
      return l;
    }
    for (const auto& [name, factor] : kTimes) {
      if (unit != name) continue;
      std::int64_t ns = 0;
      if (u > INT64_MAX || __builtin_mul_overflow(static_cast<std::int64_t>(u), factor, &ns))
        return bad(l, "a duration that is too long");
      c.type = kDuration;
      c.value = Value(ns);
      return l;
    }
    for (const auto& [name, factor] : kSizes) {
      if (unit != name) continue;
      std::uint64_t bytes = 0;
      if (__builtin_mul_overflow(u, factor, &bytes)) return bad(l, "a size that is too large");
      c.type = kSize;
      c.value = Value(bytes);
      return l;
    }
    if (!unit.empty())
      return bad(l,
                 "unknown unit '" + unit + "'; u, ns, us, ms, s, m, h, d, B, KiB, MiB, GiB, TiB are known");
    if (u > INT64_MAX) return bad(l, "an int of more than 63 bits; write 'u' after it for a uint");
    c.type = kInt;
    c.value = Value(static_cast<std::int64_t>(u));
    return l;
  }

  Lexeme string(Lexeme l, Type type) {
    const char quote = source_[at_++];
    std::string out;
    while (true) {
      if (at_ >= source_.size() || source_[at_] == '\n') return bad(l, "the text has no end on its line");
      const char c = source_[at_++];
      if (c == quote) break;
      if (c != '\\') {
        out += c;
        continue;
      }
      const char e = at_ < source_.size() ? source_[at_++] : '\0';
      if (e == 'n') out += '\n';
      else if (e == 't') out += '\t';
      else if (e == 'r') out += '\r';
      else if (e == '\\' || e == '"' || e == '\'') out += e;
      else if (e == 'x') {
        unsigned v = 0;
        const auto from = source_.data() + at_;
        if (at_ + 2 > source_.size() || std::from_chars(from, from + 2, v, 16).ptr != from + 2)
          return bad(l, "two hexadecimal digits are expected after \\x");
        at_ += 2;
        out += static_cast<char>(v);
      } else {
        return bad(l, "unknown escape; \\n \\t \\r \\\\ \\\" \\' \\xHH are known");
      }
    }
    if (type == kString && not_utf8(out))
      return bad(l, "a string must be UTF-8 without NUL; write b\"...\" for bytes");
    l.token = Token::kConstant;
    l.constant.type = type;
    l.constant.bytes = std::move(out);
    return l;
  }

  std::string_view source_;
  std::vector<Fault>& faults_;
  std::size_t at_ = 0;
};

struct Infix {
  const char* sign;
  Op op;
  int power;
};
// Weakest first. Comparisons do not chain.
constexpr Infix kInfix[] = {{"||", Op::kOr, 2},      {"&&", Op::kAnd, 3},     {"==", Op::kEqual, 4},
                            {"!=", Op::kUnequal, 4}, {"<", Op::kLess, 4},     {"<=", Op::kAtMost, 4},
                            {">", Op::kGreater, 4},  {">=", Op::kAtLeast, 4}, {"in", Op::kIn, 4},
                            {"+", Op::kAdd, 6},      {"-", Op::kSubtract, 6}, {"*", Op::kMultiply, 7},
                            {"/", Op::kDivide, 7},   {"%", Op::kRemainder, 7}};
constexpr int kComparison = 4;
constexpr int kPrefix = 8;

class Parser {
 public:
  Parser(std::string_view source, const Limits& limits, std::vector<Fault>& faults)
      : lexer_(source, faults), limits_(limits), faults_(faults) {
    advance();
  }

  std::unique_ptr<Tree> whole() {
    auto t = expression(0);
    if (t && now_.token != Token::kEnd) return unexpected("an operator or the end is expected");
    return t;
  }

 private:
  void fault(Place p, std::string text) { faults_.push_back({p, std::move(text)}); }
  void advance() { now_ = lexer_.next(); }

  std::unique_ptr<Tree> unexpected(std::string expected) {
    if (now_.token == Token::kBad) return nullptr;  // said already
    std::string found = now_.token == Token::kEnd    ? "the expression ends"
                        : now_.token == Token::kSign ? "'" + now_.text + "' stands here"
                                                     : "";
    if (now_.token == Token::kName) {
      found = "'" + now_.text + "' stands here";
      const std::string lower = [&] {
        std::string s = now_.text;
        std::transform(s.begin(), s.end(), s.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return s;
      }();
      if (lower == "and") found += "; did you mean &&?";
      else if (lower == "or") found += "; did you mean ||?";
      else if (lower == "like" || lower == "contains" || lower == "matches")
        found += "; it is written as a function";
      else if (lower == "is" || lower == "eq") found += "; did you mean ==?";
    }
    if (now_.token == Token::kSign && now_.text == "=") found += "; did you mean ==?";
    fault(now_.place, expected + (found.empty() ? "" : ", " + found));
    return nullptr;
  }

  bool sign(const char* text) {
    if (now_.token != Token::kSign || now_.text != text) return false;
    advance();
    return true;
  }

  std::unique_ptr<Tree> make(Node node, Place place) {
    auto t = std::make_unique<Tree>();
    t->node = node;
    t->place = place;
    if (++nodes_ == limits_.nodes + 1) {
      fault(place, "more than " + std::to_string(limits_.nodes) + " parts");
    }
    return nodes_ > limits_.nodes ? nullptr : std::move(t);
  }

  const Infix* infix() const {
    for (const Infix& i : kInfix) {
      if ((now_.token == Token::kSign || now_.token == Token::kName) && now_.text == i.sign) return &i;
    }
    return nullptr;
  }

  std::unique_ptr<Tree> expression(int power) {
    if (++depth_ > limits_.nesting) {
      if (depth_ == limits_.nesting + 1)
        fault(now_.place, "nested deeper than " + std::to_string(limits_.nesting) + " levels");
      return nullptr;
    }
    auto t = operand();
    bool compared = false;
    while (t) {
      if (power <= 1 && now_.token == Token::kSign && now_.text == "?") {
        auto c = make(Node::kCondition, now_.place);
        advance();
        auto a = expression(0);
        if (!c || !a) return nullptr;
        if (!sign(":")) return unexpected("':' of the condition is expected");
        auto b = expression(1);
        if (!b) return nullptr;
        c->args.push_back(std::move(t));
        c->args.push_back(std::move(a));
        c->args.push_back(std::move(b));
        t = std::move(c);
        continue;
      }
      const Infix* i = infix();
      if (!i || i->power <= power) break;
      if (i->power == kComparison && std::exchange(compared, true)) {
        fault(now_.place, "comparisons do not chain; join two with &&");
        return nullptr;
      }
      auto b = make(Node::kBinary, now_.place);
      advance();
      auto right = i->op == Op::kIn ? after_in() : expression(i->power);
      if (!b || !right) return nullptr;
      b->op = i->op;
      b->args.push_back(std::move(t));
      b->args.push_back(std::move(right));
      t = std::move(b);
    }
    --depth_;
    return t;
  }

  // What stands after `in`: a range, or anything of stronger binding.
  std::unique_ptr<Tree> after_in() {
    auto from = expression(kComparison + 1);
    if (!from || now_.token != Token::kSign || now_.text != "..") return from;
    auto r = make(Node::kRange, now_.place);
    advance();
    auto to = expression(kComparison + 1);
    if (!r || !to) return nullptr;
    r->args.push_back(std::move(from));
    r->args.push_back(std::move(to));
    return r;
  }

  std::unique_ptr<Tree> operand() {
    const Place place = now_.place;
    if (now_.token == Token::kConstant) {
      auto t = make(Node::kConstant, place);
      if (!t) return nullptr;
      t->constant = std::move(now_.constant);
      advance();
      return t;
    }
    if (now_.token == Token::kSet) {
      auto t = make(Node::kSet, place);
      if (!t) return nullptr;
      t->text = now_.text;
      advance();
      return t;
    }
    if (now_.token == Token::kName) return named();
    for (const auto& [text, op] : {std::pair{"!", Op::kNot}, std::pair{"-", Op::kNegate}}) {
      if (!sign(text)) continue;
      auto t = make(Node::kUnary, place);
      auto inner = expression(kPrefix);
      if (!t || !inner) return nullptr;
      t->op = op;
      t->args.push_back(std::move(inner));
      return t;
    }
    if (sign("(")) {
      auto t = expression(0);
      if (!t) return nullptr;
      if (!sign(")")) return unexpected("')' is expected");
      return t;
    }
    if (sign("[")) {
      auto t = make(Node::kList, place);
      if (!t || !arguments(*t, "]", limits_.items)) return nullptr;
      return t;
    }
    return unexpected("a value is expected");
  }

  bool arguments(Tree& t, const char* end, std::size_t most) {
    if (sign(end)) return true;
    while (true) {
      auto a = expression(0);
      if (!a) return false;
      t.args.push_back(std::move(a));
      if (t.args.size() > most) return fault(t.place, "more than " + std::to_string(most) + " items"), false;
      if (sign(end)) return true;
      if (!sign(",")) return unexpected(std::string("',' or '") + end + "' is expected"), false;
    }
  }

  std::unique_ptr<Tree> named() {
    const Lexeme word = now_;
    advance();
    if (word.text == "let") {
      auto t = make(Node::kLet, word.place);
      if (!t) return nullptr;
      if (now_.token != Token::kName) return unexpected("a name is expected after let");
      t->text = now_.text;
      if (find_field(t->text) >= 0 || find_function(t->text) != nullptr || t->text == "in" ||
          t->text == "let")
        return fault(now_.place, "'" + t->text + "' has a meaning already"), nullptr;
      advance();
      if (!sign("=")) return unexpected("'=' is expected");
      auto value = expression(0);
      if (!value) return nullptr;
      if (!sign(";")) return unexpected("';' is expected after a let");
      auto body = expression(0);
      if (!body) return nullptr;
      t->args.push_back(std::move(value));
      t->args.push_back(std::move(body));
      return t;
    }
    if (now_.token == Token::kSign && now_.text == "(") {
      auto t = make(Node::kCall, word.place);
      if (!t) return nullptr;
      t->function = find_function(word.text);
      if (!t->function) return unknown("function", word), nullptr;
      advance();
      if (!arguments(*t, ")", limits_.items)) return nullptr;
      if (t->args.size() < t->function->least_args || t->args.size() > t->function->most_args)
        return fault(word.place, std::string("it is called as ") + t->function->signature), nullptr;
      return t;
    }
    if (word.text == "not") return fault(word.place, "did you mean !?"), nullptr;
    const int field = find_field(word.text);
    auto t = make(field >= 0 ? Node::kField : Node::kName, word.place);
    if (!t) return nullptr;
    t->field = field;
    t->text = word.text;
    return t;
  }

  void unknown(const char* what, const Lexeme& word) {
    const std::string near = nearest_name(word.text);
    fault(word.place, std::string("unknown ") + what + " '" + word.text + "'" +
                          (near.empty() ? "" : "; did you mean " + near + "?"));
  }

  Lexer lexer_;
  const Limits& limits_;
  std::vector<Fault>& faults_;
  Lexeme now_;
  std::size_t depth_ = 0;
  std::size_t nodes_ = 0;
};

std::string quoted(std::string_view bytes, bool raw) {
  std::string out = raw ? "b\"" : "\"";
  for (const char ch : bytes) {
    const auto c = static_cast<unsigned char>(ch);
    if (c == '"' || c == '\\') out += std::string("\\") + ch;
    else if (c == '\n') out += "\\n";
    else if (c < 0x20 || c == 0x7f || (raw && c >= 0x80)) {
      char hex[8];
      std::snprintf(hex, sizeof hex, "\\x%02x", c);
      out += hex;
    } else {
      out += ch;
    }
  }
  return out + "\"";
}

boost::asio::ip::address_v6 v6(const Address& a) {
  boost::asio::ip::address_v6::bytes_type bytes;
  std::copy(a.begin(), a.end(), bytes.begin());
  return boost::asio::ip::address_v6(bytes);
}

std::string address_text(const Address& a) {
  const auto six = v6(a);
  return six.is_v4_mapped() ? boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, six).to_string()
                            : six.to_string();
}

Address mapped(const boost::asio::ip::address& address) {
  const auto bytes =
      (address.is_v4() ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, address.to_v4())
                       : address.to_v6())
          .to_bytes();
  Address a;
  std::copy(bytes.begin(), bytes.end(), a.begin());
  return a;
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
  boost::system::error_code error;
  const auto a = boost::asio::ip::make_address(std::string(text), error);
  if (error || text.find('%') != std::string_view::npos) return std::nullopt;
  return mapped(a);
}

std::optional<std::pair<Address, std::uint8_t>> parse_network(std::string_view text) {
  boost::system::error_code error;
  const auto four = boost::asio::ip::make_network_v4(std::string(text), error);
  if (!error) {
    if (four.canonical().address() != four.address()) return std::nullopt;  // bits beyond the prefix
    return std::pair{mapped(four.address()), static_cast<std::uint8_t>(96 + four.prefix_length())};
  }
  const auto six = boost::asio::ip::make_network_v6(std::string(text), error);
  if (error || six.canonical().address() != six.address()) return std::nullopt;
  return std::pair{mapped(six.address()), static_cast<std::uint8_t>(six.prefix_length())};
}

std::string Type::text() const {
  static constexpr const char* kNames[] = {"bool",  "int",      "uint", "double",  "string",
                                           "bytes", "duration", "size", "address", "network"};
  const std::string one = kNames[static_cast<std::size_t>(base)];
  switch (shape) {
    case Shape::kOne:
      return one;
    case Shape::kList:
      return "list of " + one;
    case Shape::kSet:
      return "set of " + one;
    case Shape::kRange:
      return "range of " + one;
  }
  return one;
}

bool Constant::operator==(const Constant& o) const {
  if (type != o.type || bytes != o.bytes || prefix != o.prefix || items != o.items) return false;
  if (type.shape != Shape::kOne) return true;
  switch (type.base) {
    case Base::kBool:
      return value.b == o.value.b;
    case Base::kDouble:
      return std::memcmp(&value.d, &o.value.d, sizeof value.d) == 0;
    case Base::kString:
    case Base::kBytes:
      return true;
    case Base::kAddress:
    case Base::kNetwork:
      return value.a == o.value.a;
    default:
      return value.i == o.value.i;
  }
}

std::string Constant::text() const {
  if (type.shape == Shape::kRange) return items[0].text() + ".." + items[1].text();
  if (type.shape != Shape::kOne) {
    std::string out = "[";
    for (const Constant& c : items) out += (out.size() > 1 ? ", " : "") + c.text();
    return out + "]";
  }
  switch (type.base) {
    case Base::kBool:
      return value.b ? "true" : "false";
    case Base::kInt:
      return std::to_string(value.i);
    case Base::kUint:
      return std::to_string(value.u) + "u";
    case Base::kDouble: {
      char out[400];
      const auto end = std::to_chars(out, out + sizeof out, value.d, std::chars_format::fixed).ptr;
      const std::string s(out, end);
      return s.find('.') == std::string::npos ? s + ".0" : s;
    }
    case Base::kString:
      return quoted(bytes, false);
    case Base::kBytes:
      return quoted(bytes, true);
    case Base::kDuration:
      return std::to_string(value.i) + "ns";
    case Base::kSize:
      return std::to_string(value.u) + "B";
    case Base::kAddress:
      return "ip(\"" + address_text(value.a) + "\")";
    case Base::kNetwork: {
      const bool four = v6(value.a).is_v4_mapped() && prefix >= 96;
      return "net(\"" + address_text(value.a) + "/" + std::to_string(four ? prefix - 96 : prefix) + "\")";
    }
  }
  return "";
}

const char* name(Op op) {
  if (op == Op::kNot) return "!";
  if (op == Op::kNegate) return "-";
  for (const Infix& i : kInfix) {
    if (i.op == op) return i.sign;
  }
  return "?";
}

std::string Tree::print() const {
  switch (node) {
    case Node::kConstant:
      return constant.text();
    case Node::kField:
    case Node::kName:
      return text;
    case Node::kSet:
      return "$" + text;
    case Node::kUnary:
      return std::string(name(op)) + "(" + args[0]->print() + ")";
    case Node::kBinary: {
      const std::string right =
          args[1]->node == Node::kRange ? args[1]->print() : "(" + args[1]->print() + ")";
      return "(" + args[0]->print() + ") " + name(op) + " " + right;
    }
    case Node::kRange:
      return "(" + args[0]->print() + ")..(" + args[1]->print() + ")";
    case Node::kCondition:
      return "(" + args[0]->print() + ") ? (" + args[1]->print() + ") : (" + args[2]->print() + ")";
    case Node::kLet:
      return "let " + text + " = " + args[0]->print() + "; " + args[1]->print();
    case Node::kCall:
    case Node::kList: {
      std::string out = node == Node::kCall ? std::string(function->name) + "(" : "[";
      for (std::size_t i = 0; i < args.size(); ++i) out += (i > 0 ? ", " : "") + args[i]->print();
      return out + (node == Node::kCall ? ")" : "]");
    }
  }
  return "";
}

bool Tree::same(const Tree& o) const {
  if (node != o.node || args.size() != o.args.size() || text != o.text || field != o.field ||
      function != o.function)
    return false;
  if ((node == Node::kUnary || node == Node::kBinary) && op != o.op) return false;
  if (node == Node::kConstant && !(constant == o.constant)) return false;
  for (std::size_t i = 0; i < args.size(); ++i) {
    if (!args[i]->same(*o.args[i])) return false;
  }
  return true;
}

std::unique_ptr<Tree> parse(std::string_view source, const Limits& limits, std::vector<Fault>& faults) {
  if (source.size() > limits.source) {
    faults.push_back({{},
                      std::to_string(source.size()) + " bytes, at most " + std::to_string(limits.source) +
                          " are allowed"});
    return nullptr;
  }
  if (const auto at = not_utf8(source)) {
    faults.push_back({{*at}, source[*at] == '\0' ? "a NUL byte" : "not UTF-8"});
    return nullptr;
  }
  const std::size_t before = faults.size();
  auto t = Parser(source, limits, faults).whole();
  return faults.size() > before ? nullptr : std::move(t);
}

std::string shown(std::string_view source, const Fault& fault) {
  const std::size_t at = std::min(fault.place.offset, source.size());
  const std::size_t start = at == 0 ? 0
                            : source.rfind('\n', at - 1) == std::string_view::npos
                                ? 0
                                : source.rfind('\n', at - 1) + 1;
  const std::size_t end = std::min(source.find('\n', at), source.size());
  const auto line = 1 + std::count(source.begin(), source.begin() + static_cast<std::ptrdiff_t>(start), '\n');
  std::string shown_line(source.substr(start, std::min<std::size_t>(end - start, 160)));
  std::string caret;
  for (std::size_t i = start; i < at && caret.size() < 160; ++i) {
    if ((static_cast<unsigned char>(source[i]) & 0xc0) != 0x80) caret += source[i] == '\t' ? '\t' : ' ';
  }
  return "line " + std::to_string(line) + ", column " + std::to_string(caret.size() + 1) + ": " + fault.text +
         "\n  " + shown_line + "\n  " + caret + "^";
}

}  // namespace heronworks::expr
