// Incremental reader of HTTP/1.1 messages (RFC 9112) with size limits, on top of Boost.Beast's parser for
// heads and ChunkedDecoder.
//
// Stricter than the RFC requires, so that this reader and others on the path cannot disagree on where a
// message ends (request smuggling). It rejects a bare CR or LF, line folding (5.2), control characters in the
// head, more than one Content-Length or Transfer-Encoding, both together (6.1), a Content-Length that is a
// list, and any transfer coding but `chunked`. A response with neither field ends when the peer closes the
// connection in order (6.3), see put_eof(). Interim (1xx) responses (RFC 9110, 15.2) are skipped, except 101,
// which is rejected.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "http/chunked_decoder.h"
#include "http/message.h"

namespace heronworks::http {

struct MessageLimits {
  std::size_t head_bytes = 8192;   // start line and header fields; the same for trailer fields
  std::size_t body_bytes = 65536;  // content, without chunked framing
  std::size_t fields = 64;         // in the head; the same for trailer fields
};

enum class MessageKind { kRequest, kResponse };

class Reader {
 public:
  Reader(MessageKind kind, MessageLimits limits);
  ~Reader();
  Reader(Reader&&) noexcept;
  Reader& operator=(Reader&&) noexcept;

  // Returns the number of bytes consumed, which never extends beyond the end of one message. The caller
  // passes the remaining bytes again together with those that follow. Consumes nothing once done() or after
  // an error.
  std::size_t put(std::span<const std::uint8_t> bytes);
  // The peer closed its sending side in order, not by a reset. Returns true if that completes the message.
  bool put_eof();

  // True once a byte of the message has arrived.
  bool started() const { return started_; }
  bool head_done() const { return head_done_; }
  bool done() const { return done_; }
  ParseError error() const { return error_; }
  const std::string& error_message() const { return error_message_; }

  // The message as far as it is parsed: the head once head_done(), the body once done().
  const Message& message() const { return message_; }
  // Moves the message out and prepares for the next one.
  Message take_message();
  // Moves out the body bytes parsed since the last call, for streamed responses. The body limit still applies
  // to their total.
  std::string take_body();
  // Body bytes held by this reader.
  std::size_t buffered_body_bytes() const;
  // Memory allocated for the body.
  std::size_t body_capacity() const;
  // Makes room for a body of `bytes` in all, without spare capacity.
  void reserve_body(std::size_t bytes) { body().reserve(bytes); }
  // Body bytes that have not arrived yet, by the message's Content-Length. nullopt: no head yet, or no
  // length.
  std::optional<std::size_t> missing_body_bytes() const;
  // Memory allocated for the message.
  std::size_t memory_bytes() const;

 private:
  struct Parser;
  std::string& body();
  bool scan_head(std::span<const std::uint8_t> bytes);
  void parse_head(std::span<const std::uint8_t> head);
  std::size_t put_body(std::span<const std::uint8_t> bytes);
  std::size_t put_chunked(std::span<const std::uint8_t> bytes);
  bool body_done() const;
  void fail(ParseError error, std::string message);
  void reset();

  MessageKind kind_;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;         // set from the end of the head to the end of the message
  std::optional<ChunkedDecoder> chunked_;  // likewise, if the body has that coding
  Message message_;
  std::size_t scanned_ = 0;     // bytes of the head that were scanned but not yet consumed
  int line_length_ = 0;         // of the line being scanned, without CR and LF
  std::uint8_t last_byte_ = 0;  // scanned
  std::optional<std::size_t> declared_body_bytes_;  // by Content-Length
  bool started_ = false;
  bool head_done_ = false;
  bool done_ = false;
  bool until_eof_ = false;  // the body ends with the connection
  ParseError error_ = ParseError::kNone;
  std::string error_message_;
};

}  // namespace heronworks::http
