// Reads messages of HTTP/1.1 (RFC 9112) from bytes as they come, within limits, by Boost.Beast's parsers.
//
// Stricter than the standard's leave, since two readers of one message must not differ on where it ends: a
// bare CR or LF, a folded field (5.2), control characters, Content-Length beside Transfer-Encoding (6.1),
// more than one of either, and a coding other than `chunked` are faults. An answer with neither is ended by
// its connection's orderly end (6.3), never by a reset: see put_eof. 1xx answers (RFC 9110, 15.2) are passed
// over, but for 101.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "http/message.h"

namespace heronworks::http {

struct MessageLimits {
  std::size_t head_bytes = 8192;   // bytes, with the first line
  std::size_t body_bytes = 65536;  // bytes, without framing
  std::size_t fields = 64;
};

enum class MessageKind { kRequest, kResponse };
enum class ParseError { kNone, kMalformed, kHeadTooLarge, kBodyTooLarge };

class Reader {
 public:
  Reader(MessageKind kind, MessageLimits limits);
  ~Reader();
  Reader(Reader&&) noexcept;
  Reader& operator=(Reader&&) noexcept;

  // Returns how many bytes it used, none beyond the end of one message; the others are to come again with
  // those that follow. Uses nothing once done() or at a fault.
  std::size_t put(std::span<const std::uint8_t> bytes);
  // The peer has ended its sending in order, not by a reset; true if that makes the message done().
  bool put_eof();

  bool started() const { return started_; }  // some of a message has come
  bool head_done() const { return head_done_; }
  bool done() const { return done_; }
  ParseError error() const { return error_; }
  const std::string& error_message() const { return error_message_; }

  // What is known of the message so far; whole once done().
  const Message& message() const { return message_; }
  // Hands the message out and is ready for the next one.
  Message take_message();
  // The part of the body that has come since; for answers that go on. The bound on bodies still counts all.
  std::string take_body();
  // Bytes of the body that are held here.
  std::size_t buffered_body_bytes() const;

 private:
  struct Parser;
  bool scan(std::span<const std::uint8_t> bytes);
  void open_head(std::span<const std::uint8_t> head);
  void fail(ParseError fault, std::string reason);
  void reset();

  MessageKind kind_;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;  // from the end of the head to the end of the message
  Message message_;
  std::size_t scanned_ = 0;  // bytes of the head that were looked at, still unused
  int line_ = 0;             // bytes of the present line, CR and LF left out
  std::uint8_t last_ = 0;
  bool started_ = false;
  bool head_done_ = false;
  bool done_ = false;
  bool until_end_ = false;  // the body ends with the connection
  ParseError error_ = ParseError::kNone;
  std::string error_message_;
};

}  // namespace heronworks::http
