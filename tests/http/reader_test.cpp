// Messages of HTTP/1.1, whole and byte by byte.
#include "http/reader.h"

#include <doctest/doctest.h>

using namespace heronworks::http;

namespace {

struct Read {
  ParseError fault = ParseError::kNone;
  bool done = false;
  std::size_t used = 0;
  Message message;
};

Read whole(MessageKind kind, const std::string& text, MessageLimits bounds = {}) {
  Reader r(kind, bounds);
  Read out;
  out.used = r.put({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  out.fault = r.error();
  out.done = r.done();
  out.message = r.message();
  return out;
}

Read by_bytes(MessageKind kind, const std::string& text, MessageLimits bounds = {}) {
  Reader r(kind, bounds);
  Read out;
  std::string held;
  for (const char c : text) {
    held += c;
    const auto n = r.put({reinterpret_cast<const std::uint8_t*>(held.data()), held.size()});
    out.used += n;
    held.erase(0, n);
    if (r.done() || r.error() != ParseError::kNone) break;
  }
  out.fault = r.error();
  out.done = r.done();
  out.message = r.message();
  return out;
}

}  // namespace

TEST_CASE("http: one piece and byte by byte read the same") {
  const std::string texts[] = {
      "GET / HTTP/1.1\r\nA: b\r\n\r\n",
      "\r\n\r\nGET /x?y HTTP/1.1\r\nA:b \r\na: c\r\n\r\nGET",
      "PUT / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcdefgh",
      "PUT / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n3\r\ncde\r\n0\r\nT: u\r\n\r\nmore",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
      "PUT / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n",  // the default bound is 65536
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
      const Read a = whole(kind, text);
      const Read b = by_bytes(kind, text);
      CHECK(a.fault == b.fault);
      CHECK(a.done == b.done);
      if (a.done) CHECK(a.used == b.used);
      CHECK(a.message.body == b.message.body);
      CHECK(a.message.fields.size() == b.message.fields.size());
    }
  }
  CHECK(whole(MessageKind::kRequest, texts[4]).message.body == "abcde");
  CHECK(whole(MessageKind::kRequest, texts[1]).message.count_fields("A") == 2);
  CHECK(*whole(MessageKind::kRequest, texts[1]).message.find_field("A") == "b");
  CHECK(whole(MessageKind::kResponse, texts[16]).message.status == 200);
  CHECK(whole(MessageKind::kResponse, texts[18]).fault == ParseError::kNone);
  CHECK(!whole(MessageKind::kResponse, texts[18]).done);
}

TEST_CASE("http: an answer without a length is done at its connection's end, nothing else is") {
  const auto ends = [](MessageKind kind, const std::string& text) {
    Reader r(kind, {64, 10, 3});
    r.put({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
    const bool by_end = r.put_eof();
    CHECK(by_end == (r.done() && r.error() == ParseError::kNone));
    return by_end ? r.message().body : "-";
  };
  CHECK(ends(MessageKind::kResponse, "HTTP/1.1 200 OK\r\n\r\nabc") == "abc");
  CHECK(ends(MessageKind::kResponse, "HTTP/1.0 200 OK\r\n\r\n") == "");
  CHECK(ends(MessageKind::kResponse, "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n\r\nab") == "ab");
  CHECK(ends(MessageKind::kResponse, "HTTP/1.1 200 OK\r\n") == "-");
  CHECK(ends(MessageKind::kResponse, "HTTP/1.1 100 C\r\n\r\n") == "-");
  CHECK(ends(MessageKind::kResponse, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") == "-");
  CHECK(ends(MessageKind::kResponse, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n") ==
        "-");
  CHECK(ends(MessageKind::kResponse, "HTTP/1.1 200 OK\r\n\r\nabcdefghijk") == "-");  // over its bound
  CHECK(ends(MessageKind::kRequest, "GET / HTTP/1.1\r\n") == "-");
}

TEST_CASE("http: bounds on head, body, fields and a chunk's head") {
  const MessageLimits small{64, 10, 3};
  CHECK(whole(MessageKind::kRequest, "GET /" + std::string(80, 'a'), small).fault ==
        ParseError::kHeadTooLarge);
  CHECK(whole(MessageKind::kRequest, "GET / HTTP/1.1\r\nA:1\r\nB:1\r\nC:1\r\nD:1\r\n\r\n", small).fault ==
        ParseError::kHeadTooLarge);
  CHECK(whole(MessageKind::kRequest, "PUT / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", small).fault ==
        ParseError::kBodyTooLarge);
  const std::string chunked = "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(whole(MessageKind::kRequest, chunked + "8\r\nabcdefgh\r\n8\r\nabcdefgh\r\n", small).fault ==
        ParseError::kBodyTooLarge);
  CHECK(whole(MessageKind::kRequest, chunked + "1;" + std::string(200, 'x'), small).fault !=
        ParseError::kNone);
}

TEST_CASE("http: a body that goes on is taken as it comes") {
  Reader r(MessageKind::kResponse, {8192, SIZE_MAX, 64});
  std::string held;
  const auto put = [&](const std::string& s) {
    held += s;
    held.erase(0, r.put({reinterpret_cast<const std::uint8_t*>(held.data()), held.size()}));
  };
  put("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab\n\r\n");
  CHECK(r.head_done());
  CHECK(r.take_body() == "ab\n");
  put("1\r\nc\r\n");
  CHECK(r.take_body() == "c");
  put("0\r\n\r\n");
  CHECK(r.done());
}
