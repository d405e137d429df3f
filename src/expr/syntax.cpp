#include "expr/syntax.h"

#include <algorithm>
#include <bit>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <charconv>
#include <cmath>
#include <cstring>
#include <utility>

namespace heronworks::expr {
namespace {

constexpr std::size_t kMaxShownColumns = 160;  // of a source line in a diagnostic

enum class TokenKind : std::uint8_t { kEnd, kConstant, kName, kNetworkSet, kSymbol, kInvalid };

struct Token {
  TokenKind kind = TokenKind::kEnd;
  SourceLocation location;
  std::string text;
  Constant constant;
};

bool is_name_start(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool is_digit(char c) { return c >= '0' && c <= '9'; }
bool is_name_part(char c) { return is_name_start(c) || is_digit(c); }

// The offset of the first NUL byte, overlong encoding, surrogate or other invalid UTF-8; nothing if there is
// none.
std::optional<std::size_t> find_invalid_utf8(std::string_view text) {
  for (std::size_t offset = 0; offset < text.size();) {
    const auto lead = static_cast<unsigned char>(text[offset]);
    std::size_t length = lead < 0x80                    ? 1
                         : lead >= 0xc2 && lead <= 0xdf ? 2
                         : (lead & 0xf0) == 0xe0        ? 3
                         : lead >= 0xf0 && lead <= 0xf4 ? 4
                                                        : 0;
    if (length == 0 || lead == 0 || offset + length > text.size()) return offset;
    std::uint32_t code_point = length == 1 ? lead : lead & (0xff >> (length + 1));
    for (std::size_t k = 1; k < length; ++k) {
      const auto continuation = static_cast<unsigned char>(text[offset + k]);
      if ((continuation & 0xc0) != 0x80) return offset;
      code_point = code_point << 6 | (continuation & 0x3f);
    }
    if ((length == 3 && (code_point < 0x800 || (code_point >= 0xd800 && code_point < 0xe000))) ||
        (length == 4 && (code_point < 0x10000 || code_point > 0x10ffff)))
      return offset;
    offset += length;
  }
  return std::nullopt;
}

class Lexer {
 public:
  Lexer(std::string_view source, std::vector<Diagnostic>& diagnostics)
      : source_(source), diagnostics_(diagnostics) {}

  Token next() {
    // Skips white space and comments. A loop, since recursion per comment could overflow the stack.
    for (bool comment = false; position_ < source_.size(); ++position_) {
      comment = source_[position_] != '\n' && (comment || source_[position_] == '#');
      if (!comment && std::strchr(" \t\r\n", source_[position_]) == nullptr) break;
    }
    Token token;
    token.location.offset = position_;
    if (position_ >= source_.size()) return token;
    const char c = source_[position_];
    if (is_digit(c)) return read_number(token);
    if (c == '"' || c == '\'') return read_string(token, kString);
    if (c == 'b' && position_ + 1 < source_.size() &&
        (source_[position_ + 1] == '"' || source_[position_ + 1] == '\'')) {
      ++position_;
      return read_string(token, kBytes);
    }
    if (is_name_start(c)) return read_word(token);
    if (c == '$') {
      const std::size_t start = ++position_;
      while (position_ < source_.size() && is_name_part(source_[position_])) ++position_;
      token.kind = TokenKind::kNetworkSet;
      token.text = source_.substr(start, position_ - start);
      if (token.text.empty())
        report(token.location, "expected the name of a network set after '$'"),
            token.kind = TokenKind::kInvalid;
      return token;
    }
    for (const char* symbol : {"||", "&&", "==", "!=", "<=", ">=", "..", "<", ">", "+", "-", "*",
                               "/",  "%",  "!",  "?",  ":",  "(",  ")",  "[", "]", ",", ";", "="}) {
      if (source_.substr(position_, std::strlen(symbol)) != symbol) continue;
      position_ += std::strlen(symbol);
      token.kind = TokenKind::kSymbol;
      token.text = symbol;
      return token;
    }
    report(token.location, c == '&' || c == '|'
                               ? std::string("unknown operator '") + c + "'; did you mean " + c + c + "?"
                               : "unexpected character");
    ++position_;
    token.kind = TokenKind::kInvalid;
    return token;
  }

 private:
  void report(SourceLocation location, std::string message) {
    diagnostics_.push_back({location, std::move(message)});
  }

  // Reports an error at the token and marks it invalid.
  Token reject(Token token, std::string message) {
    report(token.location, std::move(message));
    token.kind = TokenKind::kInvalid;
    return token;
  }

  Token read_word(Token token) {
    const std::size_t start = position_;
    while (position_ < source_.size() && (is_name_part(source_[position_]) ||
                                          (source_[position_] == '.' && position_ + 1 < source_.size() &&
                                           is_name_start(source_[position_ + 1]))))
      ++position_;
    token.text = source_.substr(start, position_ - start);
    token.kind = TokenKind::kName;
    if (token.text == "true" || token.text == "false") {
      token.kind = TokenKind::kConstant;
      token.constant.type = kBool;
      token.constant.value = Value(token.text == "true");
    }
    return token;
  }

  // Reads a literal such as 12, 12u, 0x1f, 1.5, 300ms or 4KiB.
  Token read_number(Token token) {
    const std::size_t start = position_;
    bool fraction = false;
    if (source_.substr(position_, 2) == "0x") {
      position_ += 2;
      while (position_ < source_.size() && std::isxdigit(static_cast<unsigned char>(source_[position_])) != 0)
        ++position_;
    } else {
      while (position_ < source_.size() && is_digit(source_[position_])) ++position_;
      if (position_ + 1 < source_.size() && source_[position_] == '.' && is_digit(source_[position_ + 1])) {
        fraction = true;
        ++position_;
        while (position_ < source_.size() && is_digit(source_[position_])) ++position_;
      }
    }
    const std::string_view digits = source_.substr(start, position_ - start);
    const std::size_t unit_start = position_;
    while (position_ < source_.size() && is_name_part(source_[position_])) ++position_;
    const std::string unit(source_.substr(unit_start, position_ - unit_start));
    token.kind = TokenKind::kConstant;
    Constant& constant = token.constant;
    if (fraction) {
      double number = 0;
      const auto end = digits.data() + digits.size();
      if (std::from_chars(digits.data(), end, number).ec != std::errc())
        return reject(token, "number does not fit in a double");
      if (!unit.empty())
        return reject(token, "a number with a fraction cannot have a unit; use a smaller unit");
      constant.type = kDouble;
      constant.value = Value(number);
      return token;
    }
    std::uint64_t integer = 0;
    const bool hex = digits.size() > 1 && digits[1] == 'x';
    const auto first_digit = digits.data() + (hex ? 2 : 0);
    const auto end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(first_digit, end, integer, hex ? 16 : 10);
    if (error != std::errc() || stop != end) return reject(token, "expected an integer of at most 64 bits");
    static constexpr std::pair<const char*, std::int64_t> kDurationUnits[] = {
        {"ns", 1},          {"us", 1000},         {"ms", 1000000},      {"s", 1000000000},
        {"m", 60000000000}, {"h", 3600000000000}, {"d", 86400000000000}};
    static constexpr std::pair<const char*, std::uint64_t> kSizeUnits[] = {
        {"B", 1}, {"KiB", 1ULL << 10}, {"MiB", 1ULL << 20}, {"GiB", 1ULL << 30}, {"TiB", 1ULL << 40}};
    if (unit == "u") {
      constant.type = kUint;
      constant.value = Value(integer);
      return token;
    }
    for (const auto& [name, factor] : kDurationUnits) {
      if (unit != name) continue;
      std::int64_t nanoseconds = 0;
      if (integer > INT64_MAX ||
          __builtin_mul_overflow(static_cast<std::int64_t>(integer), factor, &nanoseconds))
        return reject(token, "duration does not fit in 63 bits of nanoseconds");
      constant.type = kDuration;
      constant.value = Value(nanoseconds);
      return token;
    }
    for (const auto& [name, factor] : kSizeUnits) {
      if (unit != name) continue;
      std::uint64_t bytes = 0;
      if (__builtin_mul_overflow(integer, factor, &bytes))
        return reject(token, "size does not fit in 64 bits of bytes");
      constant.type = kSize;
      constant.value = Value(bytes);
      return token;
    }
    if (!unit.empty())
      return reject(
          token, "unknown unit '" + unit + "'; expected u, ns, us, ms, s, m, h, d, B, KiB, MiB, GiB or TiB");
    if (integer > INT64_MAX) return reject(token, "int does not fit in 63 bits; append 'u' for a uint");
    constant.type = kInt;
    constant.value = Value(static_cast<std::int64_t>(integer));
    return token;
  }

  Token read_string(Token token, Type type) {
    const char quote = source_[position_++];
    std::string out;
    while (true) {
      if (position_ >= source_.size() || source_[position_] == '\n')
        return reject(token, "unterminated string literal");
      const char c = source_[position_++];
      if (c == quote) break;
      if (c != '\\') {
        out += c;
        continue;
      }
      const char escaped = position_ < source_.size() ? source_[position_++] : '\0';
      if (escaped == 'n') out += '\n';
      else if (escaped == 't') out += '\t';
      else if (escaped == 'r') out += '\r';
      else if (escaped == '\\' || escaped == '"' || escaped == '\'') out += escaped;
      else if (escaped == 'x') {
        unsigned byte = 0;
        const auto start = source_.data() + position_;
        if (position_ + 2 > source_.size() || std::from_chars(start, start + 2, byte, 16).ptr != start + 2)
          return reject(token, "expected two hexadecimal digits after \\x");
        position_ += 2;
        out += static_cast<char>(byte);
      } else {
        return reject(token, "unknown escape sequence; expected \\n, \\t, \\r, \\\\, \\\", \\' or \\xHH");
      }
    }
    if (type == kString && find_invalid_utf8(out))
      return reject(token, "a string must be valid UTF-8 without NUL; use b\"...\" for bytes");
    token.kind = TokenKind::kConstant;
    token.constant.type = type;
    token.constant.bytes = std::move(out);
    return token;
  }

  std::string_view source_;
  std::vector<Diagnostic>& diagnostics_;
  std::size_t position_ = 0;
};

struct InfixOperator {
  const char* symbol;
  Operator op;
  int precedence;
};
// In ascending precedence. Comparisons do not associate.
constexpr InfixOperator kInfixOperators[] = {
    {"||", Operator::kOr, 2},      {"&&", Operator::kAnd, 3},
    {"==", Operator::kEqual, 4},   {"!=", Operator::kNotEqual, 4},
    {"<", Operator::kLess, 4},     {"<=", Operator::kLessOrEqual, 4},
    {">", Operator::kGreater, 4},  {">=", Operator::kGreaterOrEqual, 4},
    {"in", Operator::kIn, 4},      {"+", Operator::kAdd, 6},
    {"-", Operator::kSubtract, 6}, {"*", Operator::kMultiply, 7},
    {"/", Operator::kDivide, 7},   {"%", Operator::kRemainder, 7}};
constexpr int kComparisonPrecedence = 4;
constexpr int kPrefixPrecedence = 8;

class Parser {
 public:
  Parser(std::string_view source, const Limits& limits, std::vector<Diagnostic>& diagnostics)
      : lexer_(source, diagnostics), limits_(limits), diagnostics_(diagnostics) {
    advance();
  }

  std::unique_ptr<AstNode> parse_all() {
    auto node = parse_expression(0);
    if (node && token_.kind != TokenKind::kEnd)
      return report_unexpected("expected an operator or the end of the expression");
    return node;
  }

 private:
  void report(SourceLocation location, std::string message) {
    diagnostics_.push_back({location, std::move(message)});
  }
  void advance() { token_ = lexer_.next(); }

  std::unique_ptr<AstNode> report_unexpected(std::string expected) {
    if (token_.kind == TokenKind::kInvalid) return nullptr;  // reported by the lexer
    std::string found = token_.kind == TokenKind::kEnd      ? "found the end of the expression"
                        : token_.kind == TokenKind::kSymbol ? "found '" + token_.text + "'"
                                                            : "";
    if (token_.kind == TokenKind::kName) {
      found = "found '" + token_.text + "'";
      const std::string lower = [&] {
        std::string s = token_.text;
        std::transform(s.begin(), s.end(), s.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return s;
      }();
      if (lower == "and") found += "; did you mean &&?";
      else if (lower == "or") found += "; did you mean ||?";
      else if (lower == "like" || lower == "contains" || lower == "matches")
        found += "; call it as a function";
      else if (lower == "is" || lower == "eq") found += "; did you mean ==?";
    }
    if (token_.kind == TokenKind::kSymbol && token_.text == "=") found += "; did you mean ==?";
    report(token_.location, expected + (found.empty() ? "" : ", " + found));
    return nullptr;
  }

  bool accept(const char* symbol) {
    if (token_.kind != TokenKind::kSymbol || token_.text != symbol) return false;
    advance();
    return true;
  }

  std::unique_ptr<AstNode> make_node(NodeKind kind, SourceLocation location) {
    auto node = std::make_unique<AstNode>();
    node->kind = kind;
    node->location = location;
    if (++node_count_ == limits_.max_nodes + 1) {
      report(location, "expression has more than " + std::to_string(limits_.max_nodes) + " syntax nodes");
    }
    return node_count_ > limits_.max_nodes ? nullptr : std::move(node);
  }

  const InfixOperator* current_infix_operator() const {
    for (const InfixOperator& candidate : kInfixOperators) {
      if ((token_.kind == TokenKind::kSymbol || token_.kind == TokenKind::kName) &&
          token_.text == candidate.symbol)
        return &candidate;
    }
    return nullptr;
  }

  std::unique_ptr<AstNode> parse_expression(int min_precedence) {
    if (++depth_ > limits_.max_nesting) {
      if (depth_ == limits_.max_nesting + 1)
        report(token_.location,
               "expression nested deeper than " + std::to_string(limits_.max_nesting) + " levels");
      return nullptr;
    }
    auto node = parse_primary();
    bool compared = false;
    while (node) {
      if (min_precedence <= 1 && token_.kind == TokenKind::kSymbol && token_.text == "?") {
        auto conditional = make_node(NodeKind::kConditional, token_.location);
        advance();
        auto if_true = parse_expression(0);
        if (!conditional || !if_true) return nullptr;
        if (!accept(":")) return report_unexpected("expected ':' of the conditional");
        auto if_false = parse_expression(1);
        if (!if_false) return nullptr;
        conditional->children.push_back(std::move(node));
        conditional->children.push_back(std::move(if_true));
        conditional->children.push_back(std::move(if_false));
        node = std::move(conditional);
        continue;
      }
      const InfixOperator* infix = current_infix_operator();
      if (!infix || infix->precedence <= min_precedence) break;
      if (infix->precedence == kComparisonPrecedence && std::exchange(compared, true)) {
        report(token_.location, "comparisons cannot be chained; combine them with &&");
        return nullptr;
      }
      auto binary = make_node(NodeKind::kBinary, token_.location);
      advance();
      auto right = infix->op == Operator::kIn ? parse_in_operand() : parse_expression(infix->precedence);
      if (!binary || !right) return nullptr;
      binary->op = infix->op;
      binary->children.push_back(std::move(node));
      binary->children.push_back(std::move(right));
      node = std::move(binary);
    }
    --depth_;
    return node;
  }

  // Parses the right operand of `in`: a range, or an expression that binds more strongly than `in`.
  std::unique_ptr<AstNode> parse_in_operand() {
    auto lower_bound = parse_expression(kComparisonPrecedence + 1);
    if (!lower_bound || token_.kind != TokenKind::kSymbol || token_.text != "..") return lower_bound;
    auto range = make_node(NodeKind::kRange, token_.location);
    advance();
    auto upper_bound = parse_expression(kComparisonPrecedence + 1);
    if (!range || !upper_bound) return nullptr;
    range->children.push_back(std::move(lower_bound));
    range->children.push_back(std::move(upper_bound));
    return range;
  }

  std::unique_ptr<AstNode> parse_primary() {
    const SourceLocation location = token_.location;
    if (token_.kind == TokenKind::kConstant) {
      auto node = make_node(NodeKind::kConstant, location);
      if (!node) return nullptr;
      node->constant = std::move(token_.constant);
      advance();
      return node;
    }
    if (token_.kind == TokenKind::kNetworkSet) {
      auto node = make_node(NodeKind::kNetworkSet, location);
      if (!node) return nullptr;
      node->name = token_.text;
      advance();
      return node;
    }
    if (token_.kind == TokenKind::kName) return parse_named();
    for (const auto& [prefix, op] : {std::pair{"!", Operator::kNot}, std::pair{"-", Operator::kNegate}}) {
      if (!accept(prefix)) continue;
      auto node = make_node(NodeKind::kUnary, location);
      auto operand = parse_expression(kPrefixPrecedence);
      if (!node || !operand) return nullptr;
      node->op = op;
      node->children.push_back(std::move(operand));
      return node;
    }
    if (accept("(")) {
      auto node = parse_expression(0);
      if (!node) return nullptr;
      if (!accept(")")) return report_unexpected("expected ')'");
      return node;
    }
    if (accept("[")) {
      auto node = make_node(NodeKind::kList, location);
      if (!node || !parse_items(*node, "]", limits_.max_items)) return nullptr;
      return node;
    }
    return report_unexpected("expected a value");
  }

  // Parses the items of a list or the arguments of a call, up to and including `end`.
  bool parse_items(AstNode& node, const char* end, std::size_t max_items) {
    if (accept(end)) return true;
    while (true) {
      auto item = parse_expression(0);
      if (!item) return false;
      node.children.push_back(std::move(item));
      if (node.children.size() > max_items)
        return report(node.location, "more than " + std::to_string(max_items) + " list items or arguments"),
               false;
      if (accept(end)) return true;
      if (!accept(",")) return report_unexpected(std::string("expected ',' or '") + end + "'"), false;
    }
  }

  // Parses a let, a call, a field or an identifier.
  std::unique_ptr<AstNode> parse_named() {
    const Token word = token_;
    advance();
    if (word.text == "let") {
      auto node = make_node(NodeKind::kLet, word.location);
      if (!node) return nullptr;
      if (token_.kind != TokenKind::kName) return report_unexpected("expected a name after 'let'");
      node->name = token_.text;
      if (find_field(node->name) >= 0 || find_function(node->name) != nullptr || node->name == "in" ||
          node->name == "let")
        return report(token_.location, "'" + node->name + "' is the name of a field, function or keyword"),
               nullptr;
      advance();
      if (!accept("=")) return report_unexpected("expected '='");
      auto value = parse_expression(0);
      if (!value) return nullptr;
      if (!accept(";")) return report_unexpected("expected ';' after the value of 'let'");
      auto body = parse_expression(0);
      if (!body) return nullptr;
      node->children.push_back(std::move(value));
      node->children.push_back(std::move(body));
      return node;
    }
    if (token_.kind == TokenKind::kSymbol && token_.text == "(") {
      auto node = make_node(NodeKind::kCall, word.location);
      if (!node) return nullptr;
      node->function = find_function(word.text);
      if (!node->function) return report_unknown("function", word), nullptr;
      advance();
      if (!parse_items(*node, ")", limits_.max_items)) return nullptr;
      if (node->children.size() < node->function->min_args ||
          node->children.size() > node->function->max_args)
        return report(word.location, std::string("wrong arguments; expected ") + node->function->signature),
               nullptr;
      return node;
    }
    if (word.text == "not") return report(word.location, "unknown operator 'not'; did you mean !?"), nullptr;
    const int field = find_field(word.text);
    auto node = make_node(field >= 0 ? NodeKind::kField : NodeKind::kIdentifier, word.location);
    if (!node) return nullptr;
    node->field = field;
    node->name = word.text;
    return node;
  }

  void report_unknown(const char* what, const Token& word) {
    const std::string suggestion = suggest_name(word.text);
    report(word.location, std::string("unknown ") + what + " '" + word.text + "'" +
                              (suggestion.empty() ? "" : "; did you mean " + suggestion + "?"));
  }

  Lexer lexer_;
  const Limits& limits_;
  std::vector<Diagnostic>& diagnostics_;
  Token token_;
  std::size_t depth_ = 0;
  std::size_t node_count_ = 0;
};

// A literal of the language; `is_bytes` selects b"..." over "...".
std::string quoted(std::string_view bytes, bool is_bytes) {
  std::string out = is_bytes ? "b\"" : "\"";
  for (const char ch : bytes) {
    const auto c = static_cast<unsigned char>(ch);
    if (c == '"' || c == '\\') out += std::string("\\") + ch;
    else if (c == '\n') out += "\\n";
    else if (c < 0x20 || c == 0x7f || (is_bytes && c >= 0x80)) {
      char hex[8];
      std::snprintf(hex, sizeof hex, "\\x%02x", c);
      out += hex;
    } else {
      out += ch;
    }
  }
  return out + "\"";
}

boost::asio::ip::address_v6 to_asio_address(const Address& address) {
  boost::asio::ip::address_v6::bytes_type bytes;
  std::copy(address.begin(), address.end(), bytes.begin());
  return boost::asio::ip::address_v6(bytes);
}

std::string address_to_string(const Address& address) {
  const auto v6 = to_asio_address(address);
  return v6.is_v4_mapped() ? boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, v6).to_string()
                           : v6.to_string();
}

Address to_mapped_address(const boost::asio::ip::address& address) {
  const auto bytes =
      (address.is_v4() ? boost::asio::ip::make_address_v6(boost::asio::ip::v4_mapped, address.to_v4())
                       : address.to_v6())
          .to_bytes();
  Address mapped;
  std::copy(bytes.begin(), bytes.end(), mapped.begin());
  return mapped;
}

}  // namespace

std::optional<Address> parse_address(std::string_view text) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(text), error);
  if (error || text.find('%') != std::string_view::npos) return std::nullopt;
  return to_mapped_address(address);
}

std::optional<std::pair<Address, std::uint8_t>> parse_network(std::string_view text) {
  boost::system::error_code error;
  const auto v4 = boost::asio::ip::make_network_v4(std::string(text), error);
  if (!error) {
    if (v4.canonical().address() != v4.address()) return std::nullopt;
    return std::pair{to_mapped_address(v4.address()), static_cast<std::uint8_t>(96 + v4.prefix_length())};
  }
  const auto v6 = boost::asio::ip::make_network_v6(std::string(text), error);
  if (error || v6.canonical().address() != v6.address()) return std::nullopt;
  return std::pair{to_mapped_address(v6.address()), static_cast<std::uint8_t>(v6.prefix_length())};
}

std::string Type::to_string() const {
  static constexpr const char* kNames[] = {"bool",  "int",      "uint", "double",  "string",
                                           "bytes", "duration", "size", "address", "network"};
  const std::string scalar = kNames[static_cast<std::size_t>(base)];
  switch (shape) {
    case TypeShape::kScalar:
      return scalar;
    case TypeShape::kList:
      return "list of " + scalar;
    case TypeShape::kSet:
      return "set of " + scalar;
    case TypeShape::kRange:
      return "range of " + scalar;
  }
  return scalar;
}

bool Constant::operator==(const Constant& other) const {
  if (type != other.type || bytes != other.bytes || prefix_length != other.prefix_length ||
      items != other.items)
    return false;
  if (type.shape != TypeShape::kScalar) return true;
  switch (type.base) {
    case BaseType::kBool:
      return value.as_bool == other.value.as_bool;
    case BaseType::kDouble:
      return std::bit_cast<std::uint64_t>(value.as_double) ==
             std::bit_cast<std::uint64_t>(other.value.as_double);
    case BaseType::kString:
    case BaseType::kBytes:
      return true;
    case BaseType::kAddress:
    case BaseType::kNetwork:
      return value.as_address == other.value.as_address;
    default:
      return value.as_int == other.value.as_int;
  }
}

std::string Constant::to_source() const {
  if (type.shape == TypeShape::kRange) return items[0].to_source() + ".." + items[1].to_source();
  if (type.shape != TypeShape::kScalar) {
    std::string out = "[";
    for (const Constant& item : items) out += (out.size() > 1 ? ", " : "") + item.to_source();
    return out + "]";
  }
  switch (type.base) {
    case BaseType::kBool:
      return value.as_bool ? "true" : "false";
    case BaseType::kInt:
      return std::to_string(value.as_int);
    case BaseType::kUint:
      return std::to_string(value.as_uint) + "u";
    case BaseType::kDouble: {
      char digits[400];
      const auto end =
          std::to_chars(digits, digits + sizeof digits, value.as_double, std::chars_format::fixed).ptr;
      const std::string number(digits, end);
      return number.find('.') == std::string::npos ? number + ".0" : number;
    }
    case BaseType::kString:
      return quoted(bytes, false);
    case BaseType::kBytes:
      return quoted(bytes, true);
    case BaseType::kDuration:
      return std::to_string(value.as_int) + "ns";
    case BaseType::kSize:
      return std::to_string(value.as_uint) + "B";
    case BaseType::kAddress:
      return "ip(\"" + address_to_string(value.as_address) + "\")";
    case BaseType::kNetwork: {
      const bool is_v4 = to_asio_address(value.as_address).is_v4_mapped() && prefix_length >= 96;
      return "net(\"" + address_to_string(value.as_address) + "/" +
             std::to_string(is_v4 ? prefix_length - 96 : prefix_length) + "\")";
    }
  }
  return "";
}

const char* symbol(Operator op) {
  if (op == Operator::kNot) return "!";
  if (op == Operator::kNegate) return "-";
  for (const InfixOperator& infix : kInfixOperators) {
    if (infix.op == op) return infix.symbol;
  }
  return "?";
}

std::string AstNode::to_source() const {
  switch (kind) {
    case NodeKind::kConstant:
      return constant.to_source();
    case NodeKind::kField:
    case NodeKind::kIdentifier:
      return name;
    case NodeKind::kNetworkSet:
      return "$" + name;
    case NodeKind::kUnary:
      return std::string(symbol(op)) + "(" + children[0]->to_source() + ")";
    case NodeKind::kBinary: {
      const std::string right = children[1]->kind == NodeKind::kRange ? children[1]->to_source()
                                                                      : "(" + children[1]->to_source() + ")";
      return "(" + children[0]->to_source() + ") " + symbol(op) + " " + right;
    }
    case NodeKind::kRange:
      return "(" + children[0]->to_source() + ")..(" + children[1]->to_source() + ")";
    case NodeKind::kConditional:
      return "(" + children[0]->to_source() + ") ? (" + children[1]->to_source() + ") : (" +
             children[2]->to_source() + ")";
    case NodeKind::kLet:
      return "let " + name + " = " + children[0]->to_source() + "; " + children[1]->to_source();
    case NodeKind::kCall:
    case NodeKind::kList: {
      std::string out = kind == NodeKind::kCall ? std::string(function->name) + "(" : "[";
      for (std::size_t i = 0; i < children.size(); ++i) out += (i > 0 ? ", " : "") + children[i]->to_source();
      return out + (kind == NodeKind::kCall ? ")" : "]");
    }
  }
  return "";
}

bool AstNode::equals(const AstNode& other) const {
  if (kind != other.kind || children.size() != other.children.size() || name != other.name ||
      field != other.field || function != other.function)
    return false;
  if ((kind == NodeKind::kUnary || kind == NodeKind::kBinary) && op != other.op) return false;
  if (kind == NodeKind::kConstant && !(constant == other.constant)) return false;
  for (std::size_t i = 0; i < children.size(); ++i) {
    if (!children[i]->equals(*other.children[i])) return false;
  }
  return true;
}

std::unique_ptr<AstNode> parse(std::string_view source, const Limits& limits,
                               std::vector<Diagnostic>& diagnostics) {
  if (source.size() > limits.max_source_bytes) {
    diagnostics.push_back({{},
                           "expression has " + std::to_string(source.size()) + " bytes, at most " +
                               std::to_string(limits.max_source_bytes) + " are allowed"});
    return nullptr;
  }
  if (const auto offset = find_invalid_utf8(source)) {
    diagnostics.push_back(
        {{*offset},
         source[*offset] == '\0' ? "expression contains a NUL byte" : "expression is not valid UTF-8"});
    return nullptr;
  }
  const std::size_t errors_before = diagnostics.size();
  auto tree = Parser(source, limits, diagnostics).parse_all();
  return diagnostics.size() > errors_before ? nullptr : std::move(tree);
}

std::string format_diagnostic(std::string_view source, const Diagnostic& diagnostic) {
  const std::size_t offset = std::min(diagnostic.location.offset, source.size());
  const std::size_t line_start = offset == 0 ? 0
                                 : source.rfind('\n', offset - 1) == std::string_view::npos
                                     ? 0
                                     : source.rfind('\n', offset - 1) + 1;
  const std::size_t line_end = std::min(source.find('\n', offset), source.size());
  const auto line_number =
      1 + std::count(source.begin(), source.begin() + static_cast<std::ptrdiff_t>(line_start), '\n');
  std::string line(source.substr(line_start, std::min(line_end - line_start, std::size_t{kMaxShownColumns})));
  std::string padding;
  for (std::size_t i = line_start; i < offset && padding.size() < kMaxShownColumns; ++i) {
    if ((static_cast<unsigned char>(source[i]) & 0xc0) != 0x80) padding += source[i] == '\t' ? '\t' : ' ';
  }
  return "line " + std::to_string(line_number) + ", column " + std::to_string(padding.size() + 1) + ": " +
         diagnostic.message + "\n  " + line + "\n  " + padding + "^";
}

}  // namespace heronworks::expr
