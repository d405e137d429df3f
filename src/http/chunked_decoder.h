// Decodes the chunked transfer coding (RFC 9112, 7.1).
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "http/message.h"

namespace heronworks::http {

// Incremental, and strict: every line ends with CR LF, sizes and extensions follow the grammar, trailer
// fields are like those of a head. Consumes all bytes up to the end of the coding.
class ChunkedDecoder {
 public:
  struct Limits {
    std::size_t content_bytes = 0;
    std::size_t line_bytes = 0;     // of a chunk's size with its extensions
    std::size_t trailer_bytes = 0;  // of the trailer section
    std::size_t trailer_fields = 0;
  };
  explicit ChunkedDecoder(Limits limits) : limits_(limits) {}

  // Appends what is decoded to `content`. Returns the number of bytes consumed; none once done() or after an
  // error.
  std::size_t put(std::span<const std::uint8_t> bytes, std::string& content);
  bool done() const { return state_ == State::kDone; }
  ParseError error() const { return error_; }
  const char* error_message() const { return error_message_; }
  std::vector<Field> take_trailer_fields() { return std::move(trailer_fields_); }

 private:
  enum class State {
    kSize,             // hexadecimal digits
    kBeforeSemicolon,  // white space behind the size, a name or a value
    kBeforeName,
    kName,
    kAfterName,  // white space
    kBeforeValue,
    kToken,
    kQuoted,
    kQuotedPair,
    kAfterValue,
    kSizeLineFeed,
    kData,
    kDataCarriageReturn,
    kDataLineFeed,
    kTrailerLine,
    kTrailerLineFeed,
    kDone,
  };

  void put_byte(char byte);
  void put_size_byte(char byte);
  bool put_extension_byte(char byte);
  void end_size_line();
  void put_trailer_byte(char byte);
  void end_trailer_line();
  void fail(ParseError error, const char* message);

  Limits limits_;
  State state_ = State::kSize;
  std::uint64_t chunk_bytes_ = 0;  // of the chunk that is read: its size, then what is left of it
  std::uint64_t content_bytes_ = 0;
  std::size_t line_bytes_ = 0;
  int size_digits_ = 0;
  std::size_t trailer_bytes_ = 0;
  std::string trailer_line_;
  std::vector<Field> trailer_fields_;
  ParseError error_ = ParseError::kNone;
  const char* error_message_ = "";
};

}  // namespace heronworks::http
