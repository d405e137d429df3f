#include "http/chunked_decoder.h"

#include <algorithm>

#include "http/grammar.h"

namespace heronworks::http {
namespace {

constexpr int kMaxSizeDigits = 16;  // of a number of 64 bits
constexpr int kBitsPerDigit = 4;

int hex_value(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool is_white_space(char c) { return c == ' ' || c == '\t'; }
bool is_token_character(char c) { return is_token(std::string_view(&c, 1)); }
// Of a quoted string, besides the quote and the backslash.
bool is_text(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != 0x7f);
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && is_white_space(text.front())) text.remove_prefix(1);
  while (!text.empty() && is_white_space(text.back())) text.remove_suffix(1);
  return text;
}

}  // namespace

void ChunkedDecoder::fail(ParseError error, const char* message) {
  error_ = error;
  error_message_ = message;
}

std::size_t ChunkedDecoder::put(std::span<const std::uint8_t> bytes, std::string& content) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && !done() && error_ == ParseError::kNone) {
    if (state_ == State::kData) {
      const auto count = std::min<std::uint64_t>(chunk_bytes_, bytes.size() - consumed);
      const auto part = bytes.subspan(consumed, static_cast<std::size_t>(count));
      content.append(part.begin(), part.end());
      consumed += part.size();
      chunk_bytes_ -= count;
      if (chunk_bytes_ == 0) state_ = State::kDataCarriageReturn;
    } else {
      put_byte(static_cast<char>(bytes[consumed]));
      ++consumed;
    }
  }
  return consumed;
}

void ChunkedDecoder::put_byte(char byte) {
  switch (state_) {
    case State::kDataCarriageReturn:
      if (byte != '\r') return fail(ParseError::kMalformed, "chunk does not end where its size says");
      state_ = State::kDataLineFeed;
      return;
    case State::kDataLineFeed:
      if (byte != '\n') return fail(ParseError::kMalformed, "bare CR behind a chunk");
      state_ = State::kSize;
      return;
    case State::kTrailerLine:
    case State::kTrailerLineFeed:
      return put_trailer_byte(byte);
    default:
      return put_size_byte(byte);
  }
}

// A byte of the line with a chunk's size and extensions.
void ChunkedDecoder::put_size_byte(char byte) {
  if (++line_bytes_ > limits_.line_bytes)
    return fail(ParseError::kHeadTooLarge, "chunk header exceeds its size limit");
  if (state_ == State::kSizeLineFeed) {
    if (byte != '\n') return fail(ParseError::kMalformed, "bare CR in a chunk header");
    return end_size_line();
  }
  if (state_ == State::kSize) {
    if (const int digit = hex_value(byte); digit >= 0) {
      if (++size_digits_ > kMaxSizeDigits) return fail(ParseError::kMalformed, "chunk size is too long");
      chunk_bytes_ = chunk_bytes_ << kBitsPerDigit | static_cast<std::uint64_t>(digit);
      return;
    }
    if (size_digits_ == 0) return fail(ParseError::kMalformed, "chunk without a size");
  }
  if (!put_extension_byte(byte)) fail(ParseError::kMalformed, "invalid chunk header");
}

// RFC 9112, 7.1.1: *( BWS ";" BWS name [ BWS "=" BWS ( token / quoted-string ) ] ). White space must be
// followed by the sign that it stands before. Returns false if the byte does not fit.
bool ChunkedDecoder::put_extension_byte(char byte) {
  const bool may_end = state_ == State::kSize || state_ == State::kName || state_ == State::kToken ||
                       state_ == State::kAfterValue;
  if (may_end && byte == '\r') {
    state_ = State::kSizeLineFeed;
    return true;
  }
  const auto go_to = [&](State state) {
    state_ = state;
    return true;
  };
  switch (state_) {
    case State::kSize:
    case State::kBeforeSemicolon:
    case State::kAfterValue:
      if (byte == ';') return go_to(State::kBeforeName);
      return is_white_space(byte) && go_to(State::kBeforeSemicolon);
    case State::kBeforeName:
      if (is_white_space(byte)) return true;
      return is_token_character(byte) && go_to(State::kName);
    case State::kName:
      if (is_token_character(byte)) return true;
      [[fallthrough]];
    case State::kAfterName:
      if (byte == ';') return go_to(State::kBeforeName);
      if (byte == '=') return go_to(State::kBeforeValue);
      return is_white_space(byte) && go_to(State::kAfterName);
    case State::kBeforeValue:
      if (is_white_space(byte)) return true;
      if (byte == '"') return go_to(State::kQuoted);
      return is_token_character(byte) && go_to(State::kToken);
    case State::kToken:
      if (is_token_character(byte)) return true;
      if (byte == ';') return go_to(State::kBeforeName);
      return is_white_space(byte) && go_to(State::kBeforeSemicolon);
    case State::kQuoted:
      if (byte == '"') return go_to(State::kAfterValue);
      if (byte == '\\') return go_to(State::kQuotedPair);
      return is_text(byte);
    case State::kQuotedPair:
      return is_text(byte) && go_to(State::kQuoted);
    default:
      return false;
  }
}

void ChunkedDecoder::end_size_line() {
  line_bytes_ = 0;
  size_digits_ = 0;
  if (chunk_bytes_ == 0) {
    state_ = State::kTrailerLine;
    return;
  }
  if (chunk_bytes_ > limits_.content_bytes || content_bytes_ > limits_.content_bytes - chunk_bytes_)
    return fail(ParseError::kBodyTooLarge, "body exceeds its size limit");
  content_bytes_ += chunk_bytes_;
  state_ = State::kData;
}

void ChunkedDecoder::put_trailer_byte(char byte) {
  if (++trailer_bytes_ > limits_.trailer_bytes)
    return fail(ParseError::kHeadTooLarge, "trailer section exceeds its size limit");
  if (state_ == State::kTrailerLineFeed) {
    if (byte != '\n') return fail(ParseError::kMalformed, "bare CR in the trailer section");
    return end_trailer_line();
  }
  if (byte == '\r') state_ = State::kTrailerLineFeed;
  else if (!is_text(byte)) fail(ParseError::kMalformed, "control character in the trailer section");
  else trailer_line_ += byte;
}

void ChunkedDecoder::end_trailer_line() {
  if (trailer_line_.empty()) {
    state_ = State::kDone;
    return;
  }
  const std::string_view line = trailer_line_;
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    return fail(ParseError::kMalformed, "invalid trailer field");
  if (trailer_fields_.size() >= limits_.trailer_fields)
    return fail(ParseError::kHeadTooLarge, "too many trailer fields");
  trailer_fields_.push_back({std::string(line.substr(0, colon)), std::string(trim(line.substr(colon + 1)))});
  trailer_line_.clear();
  state_ = State::kTrailerLine;
}

}  // namespace heronworks::http
