// The HTTP/1.1 reader: framing, rejected messages, limits and streamed bodies.
#include "http/reader.h"

#include <doctest/doctest.h>

#include <limits>

using namespace heronworks::http;

namespace {

struct ParseResult {
  ParseError error = ParseError::kNone;
  bool done = false;
  std::size_t consumed = 0;
  Message message;
};

std::span<const std::uint8_t> as_bytes(const std::string& text) {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

ParseResult parse_whole(MessageKind kind, const std::string& text, MessageLimits limits = {}) {
  Reader reader(kind, limits);
  ParseResult result;
  result.consumed = reader.put(as_bytes(text));
  result.error = reader.error();
  result.done = reader.done();
  result.message = reader.message();
  return result;
}

ParseResult parse_byte_by_byte(MessageKind kind, const std::string& text, MessageLimits limits = {}) {
  Reader reader(kind, limits);
  ParseResult result;
  std::string unconsumed;
  for (const char c : text) {
    unconsumed += c;
    const auto n = reader.put(as_bytes(unconsumed));
    result.consumed += n;
    unconsumed.erase(0, n);
    if (reader.done() || reader.error() != ParseError::kNone) break;
  }
  result.error = reader.error();
  result.done = reader.done();
  result.message = reader.message();
  return result;
}

}  // namespace

TEST_CASE("http: a message parses the same in one piece and byte by byte") {
  const std::string texts[] = {
      "GET / HTTP/1.1\r\nA: b\r\n\r\n",
      "\r\n\r\nGET /x?y HTTP/1.1\r\nA:b \r\na: c\r\n\r\nGET",
      "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcdefgh",
      "PUT / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n3\r\ncde\r\n0\r\nT: u\r\n\r\nmore",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
      "PUT / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",  // above the default limit of 65536
      "GET / HTTP/1.1\nA: b\r\n\r\n",
      "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
      "GET / HTTP/1.1\r\nA : b\r\n\r\n",
      "GET / HTTP/1.1\r\nA: \x01\r\n\r\n",
      "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "GET  / HTTP/1.1\r\n\r\n",
      "GET / HTTP/9.1\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP",
      "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 204 N\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\n\r\nabc",
      "HTTP/1.1 2000 OK\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
      std::string("\0\0\0", 3),
  };
  for (const auto& text : texts) {
    for (const MessageKind kind : {MessageKind::kRequest, MessageKind::kResponse}) {
      CAPTURE(text);
      const ParseResult whole = parse_whole(kind, text);
      const ParseResult bytewise = parse_byte_by_byte(kind, text);
      CHECK(whole.error == bytewise.error);
      CHECK(whole.done == bytewise.done);
      if (whole.done) CHECK(whole.consumed == bytewise.consumed);
      CHECK(whole.message.body == bytewise.message.body);
      CHECK(whole.message.fields.size() == bytewise.message.fields.size());
    }
  }
  CHECK(parse_whole(MessageKind::kRequest, texts[4]).message.body == "abcde");
  CHECK(parse_whole(MessageKind::kRequest, texts[1]).message.count_fields("A") == 2);
  CHECK(*parse_whole(MessageKind::kRequest, texts[1]).message.find_field("A") == "b");
  CHECK(parse_whole(MessageKind::kResponse, texts[16]).message.status == 200);
  CHECK(parse_whole(MessageKind::kResponse, texts[18]).error == ParseError::kNone);
  CHECK(!parse_whole(MessageKind::kResponse, texts[18]).done);
}

TEST_CASE("http: only a response without a length is completed by the end of the connection") {
  // The body, or "-" if the message is not completed.
  const auto body_at_eof = [](MessageKind kind, const std::string& text) {
    Reader reader(kind, {64, 10, 3});
    reader.put(as_bytes(text));
    const bool completed = reader.put_eof();
    CHECK(completed == (reader.done() && reader.error() == ParseError::kNone));
    return completed ? reader.message().body : "-";
  };
  CHECK(body_at_eof(MessageKind::kResponse, "HTTP/1.1 200 OK\r\n\r\nabc") == "abc");
  CHECK(body_at_eof(MessageKind::kResponse, "HTTP/1.0 200 OK\r\n\r\n") == "");
  CHECK(body_at_eof(MessageKind::kResponse, "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n\r\nab") == "ab");
  CHECK(body_at_eof(MessageKind::kResponse, "HTTP/1.1 200 OK\r\n") == "-");
  CHECK(body_at_eof(MessageKind::kResponse, "HTTP/1.1 100 C\r\n\r\n") == "-");
  CHECK(body_at_eof(MessageKind::kResponse, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") == "-");
  CHECK(body_at_eof(MessageKind::kResponse,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n") == "-");
  const std::string above_body_limit = "HTTP/1.1 200 OK\r\n\r\nabcdefghijk";
  CHECK(body_at_eof(MessageKind::kResponse, above_body_limit) == "-");
  CHECK(body_at_eof(MessageKind::kRequest, "GET / HTTP/1.1\r\n") == "-");
}

TEST_CASE("http: limits on the head, the body, the number of fields and a chunk header") {
  const MessageLimits limits{64, 10, 3};
  CHECK(parse_whole(MessageKind::kRequest, "GET /" + std::string(80, 'a'), limits).error ==
        ParseError::kHeadTooLarge);
  CHECK(parse_whole(MessageKind::kRequest, "GET / HTTP/1.1\r\nA:1\r\nB:1\r\nC:1\r\nD:1\r\n\r\n", limits)
            .error == ParseError::kHeadTooLarge);
  CHECK(parse_whole(MessageKind::kRequest, "PUT / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", limits).error ==
        ParseError::kBodyTooLarge);
  const std::string chunked = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(parse_whole(MessageKind::kRequest, chunked + "8\r\nabcdefgh\r\n8\r\nabcdefgh\r\n", limits).error ==
        ParseError::kBodyTooLarge);
  CHECK(parse_whole(MessageKind::kRequest, chunked + "1;" + std::string(200, 'x'), limits).error !=
        ParseError::kNone);
}

TEST_CASE("http: the body of a streamed response is taken in parts") {
  Reader reader(MessageKind::kResponse, {8192, SIZE_MAX, 64});
  std::string unconsumed;
  const auto put = [&](const std::string& text) {
    unconsumed += text;
    unconsumed.erase(0, reader.put(as_bytes(unconsumed)));
  };
  put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\n\r\n");
  CHECK(reader.head_done());
  CHECK(reader.take_body() == "ab\n");
  put("1\r\nc\r\n");
  CHECK(reader.take_body() == "c");
  put("0\r\n\r\n");
  CHECK(reader.done());
}

// Guards against an endpoint list being refused for its Content-Length, whatever that is.
TEST_CASE("http: without a body limit, any Content-Length is accepted") {
  const MessageLimits unlimited{8192, std::numeric_limits<std::size_t>::max(), 64};
  const auto complete =
      parse_whole(MessageKind::kResponse, "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nabc", unlimited);
  CHECK(complete.done);
  CHECK(complete.message.body == "abc");
  const auto huge = parse_whole(MessageKind::kResponse,
                                "HTTP/1.1 200 X\r\nContent-Length: 3221225472\r\n\r\nabc", unlimited);
  CHECK(huge.error == ParseError::kNone);
  CHECK(!huge.done);
}
