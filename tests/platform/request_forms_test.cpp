// Which requests the platform's front takes. kForms lists, for each part of a request, the forms that it
// accepts and refuses, with the rule's source. Each is sent over a socket to a scheduler in a process of its
// own, whole and in pieces: an accepted one is served, of a refused one nothing reaches a node.
//
// Sources: "page" is the platform's protocol page; the others are RFC 9112 (HTTP/1.1), 9110 (HTTP semantics)
// and 3986 (URI). "silent": no source decides; then a form is refused if another reader on the path could
// read it differently, and accepted if ordinary clients differ in it.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <csignal>
#include <random>

#include "process_fixture.h"

using namespace heronworks;
using test::DelayingNode;
using test::PlatformFixture;
using test::RawClient;

namespace {

constexpr double kAnswerSeconds = 3;    // owed to a client that sends what is invalid
constexpr std::size_t kReplyBytes = 4;  // so that a reply comes whole
constexpr int kOk = 200;
const std::string kVolume = "00000003b4d60021";
const std::string kKey = "7f3a9c21e0b4d655";
const std::string kPath = "/api/" + kVolume + "/" + kKey;

// A request that is valid unless it is changed. Fields are lines, so that they may be malformed.
struct Request {
  std::string request_line;
  std::vector<std::string> lines;
  std::string rest;  // behind the head

  Request without(const std::string& name) const {
    Request copy = *this;
    std::erase_if(copy.lines, [&](const std::string& line) { return line.starts_with(name + ":"); });
    return copy;
  }
  Request with(const std::string& line) const {
    Request copy = *this;
    copy.lines.push_back(line);
    return copy;
  }
  // The field of this line takes the place of the one with its name.
  Request replacing(const std::string& line) const {
    return without(line.substr(0, line.find(':'))).with(line);
  }
  Request body(const std::string& bytes) const {
    Request copy = *this;
    copy.rest = bytes;
    return copy;
  }
  std::string text() const {
    std::string text = request_line + "\r\n";
    for (const std::string& line : lines) text += line + "\r\n";
    return text + "\r\n" + rest;
  }
};

const std::string kIdPlaceholder = "@id@";  // replaced by an id of its own for each request sent

Request read_with_line(const std::string& request_line) {
  return {request_line,
          {"Host: app.svc", "X-Call-Id: " + kIdPlaceholder, "X-Call-Class: read", "Tier: gold",
           "X-Budget-Ms: 1500", "IO-Info: units=2,shard=0,hosts=1"},
          ""};
}
Request read_of(const std::string& target) { return read_with_line("GET " + target + " HTTP/1.1"); }
Request read() { return read_of(kPath); }

// A write without framing of its body.
Request unframed_write() {
  Request request = read_with_line("PUT " + kPath + " HTTP/1.1").replacing("X-Call-Class: write");
  return request.with("Idempotency-Key: k" + kIdPlaceholder);
}
Request write(const std::string& body) {
  return unframed_write().with("Content-Length: " + std::to_string(body.size())).body(body);
}
Request chunked_write(const std::string& body) {
  return unframed_write().with("Transfer-Encoding: chunked").body(body);
}

enum class Expected { kAccepted, kRefused };

struct Form {
  const char* part;
  std::string name;
  const char* source;
  Expected expected;
  std::string text;
};

std::vector<Form> make_forms() {
  std::vector<Form> forms;
  const char* part = "";
  const auto accepted = [&](const std::string& name, const char* source, const Request& request) {
    forms.push_back({part, name, source, Expected::kAccepted, request.text()});
  };
  const auto refused = [&](const std::string& name, const char* source, const Request& request) {
    forms.push_back({part, name, source, Expected::kRefused, request.text()});
  };
  const auto refused_text = [&](const std::string& name, const char* source, const std::string& text) {
    forms.push_back({part, name, source, Expected::kRefused, text});
  };

  part = "start line";
  accepted("read", "page", read());
  accepted("write", "page", write("data"));
  forms.push_back({part, "an empty line before it", "9112 2.2", Expected::kAccepted, "\r\n" + read().text()});
  refused("two spaces", "9112 3", read_with_line("GET  " + kPath + " HTTP/1.1"));
  refused("two spaces before the version", "9112 3", read_with_line("GET " + kPath + "  HTTP/1.1"));
  refused("tab for space", "9112 3", read_with_line("GET\t" + kPath + " HTTP/1.1"));
  refused("leading space", "9112 3", read_with_line(" GET " + kPath + " HTTP/1.1"));
  refused("trailing space", "9112 3", read_with_line("GET " + kPath + " HTTP/1.1 "));
  refused("no target", "9112 3", read_with_line("GET HTTP/1.1"));
  refused("only a line feed at its end", "silent", read_with_line("GET " + kPath + " HTTP/1.1\nA: b"));
  refused_text("line feeds for all line ends", "silent", [] {
    std::string text = read().text();
    std::erase(text, '\r');
    return text;
  }());
  refused("carriage return in it", "9112 2.2", read_with_line("GET " + kPath + "\rx HTTP/1.1"));

  part = "method";
  for (const char* method : {"POST", "HEAD", "DELETE", "OPTIONS", "TRACE", "CONNECT", "PATCH", "get", "Put"})
    refused(method, "page", read_with_line(std::string(method) + " " + kPath + " HTTP/1.1"));
  refused("not a token", "9110 9.1", read_with_line("G(T " + kPath + " HTTP/1.1"));

  part = "version";
  for (const char* version : {"HTTP/1.0", "HTTP/0.9", "HTTP/2.0", "HTTP/1.2", "HTTP/3.0"})
    refused(version, "page", read_with_line("GET " + kPath + " " + version));
  for (const char* version :
       {"http/1.1", "HTTP/1.10", "HTTP/01.1", "HTTP/1", "HTTP/1,1", "HTTP /1.1", "HTTPS/1.1"})
    refused(version, "9112 2.3", read_with_line("GET " + kPath + " " + version));
  refused("none", "9112 3", read_with_line("GET " + kPath));

  part = "target";
  accepted("another prefix", "page", read_of("/a/b-c/~d_e.f/" + kVolume + "/" + kKey));
  accepted("no prefix", "page", read_of("/" + kVolume + "/" + kKey));
  accepted("all characters of a segment", "3986 3.3",
           read_of("/a-._~!$&'()*+,;=:@%41/" + kVolume + "/" + kKey));
  accepted("upper case digits", "page", read_of("/api/00000003B4D60021/7F3A9C21E0B4D655"));
  accepted("query", "page", read_of(kPath + "?a=b&c=/?%20"));
  accepted("empty query", "3986 3.4", read_of(kPath + "?"));
  accepted("absolute form", "9112 3.2.2", read_of("http://app.svc" + kPath));
  accepted("absolute form, scheme in upper case", "3986 3.1", read_of("HTTP://app.svc" + kPath));
  accepted("absolute form, host in upper case", "3986 3.2.2", read_of("http://APP.svc" + kPath));
  accepted("absolute form with port", "9112 3.2.2",
           read_of("http://app.svc:80" + kPath).replacing("Host: app.svc:80"));
  refused("absolute form of another host", "silent", read_of("http://other.svc" + kPath));
  refused("absolute form without host", "9110 4.2.1", read_of("http://" + kPath));
  refused("absolute form with user", "9110 4.2.4", read_of("http://user@app.svc" + kPath));
  refused("absolute form of another scheme", "9110 7.4", read_of("https://app.svc" + kPath));
  refused("absolute form, one slash", "3986 3", read_of("http:/app.svc" + kPath));
  refused("authority form", "9112 3.2.3", read_of("app.svc:80"));
  refused("asterisk form", "9112 3.2.4", read_of("*"));
  refused("no slash at its begin", "9112 3.2.1", read_of("api/" + kVolume + "/" + kKey));
  refused("fragment", "9112 3.2", read_of(kPath + "#a"));
  refused("fragment in the prefix", "9112 3.2", read_of("/a#/" + kVolume + "/" + kKey));
  for (const char* character :
       {"\"", "<", ">", "\\", "^", "`", "{", "|", "}", "\x7f", "\xc3\xa9", "\x80", "[", "]"}) {
    refused(std::string("character ") + character + " in the prefix", "3986 3.3",
            read_of("/a" + std::string(character) + "/" + kVolume + "/" + kKey));
    refused(std::string("character ") + character + " in the query", "3986 3.4",
            read_of(kPath + "?a" + character));
  }
  for (const char* encoded : {"%", "%4", "%4g", "%zz", "%%41"}) {
    refused(std::string("bad encoding ") + encoded, "3986 2.1",
            read_of("/a" + std::string(encoded) + "/" + kVolume + "/" + kKey));
    refused(std::string("bad encoding ") + encoded + " in the query", "3986 2.1",
            read_of(kPath + "?" + encoded));
  }
  for (const char* segment : {".", "..", "%2e", "%2E%2e", ".%2e"})
    refused(std::string("dot segment ") + segment, "silent",
            read_of("/a/" + std::string(segment) + "/" + kVolume + "/" + kKey));
  refused("encoded slash", "silent", read_of("/a%2Fb/" + kVolume + "/" + kKey));
  refused("encoded NUL", "silent", read_of("/a%00b/" + kVolume + "/" + kKey));
  refused("slash at its end", "page", read_of(kPath + "/"));
  refused("two slashes at its begin", "silent", read_of("//" + kVolume + "/" + kKey));
  refused("two slashes between volume and key", "page", read_of("/api/" + kVolume + "//" + kKey));
  refused("key alone", "page", read_of("/" + kKey));
  refused("key of 15 digits", "page", read_of("/api/" + kVolume + "/" + kKey.substr(1)));
  refused("key of 17 digits", "page", read_of("/api/" + kVolume + "/0" + kKey));
  refused("volume of 15 digits", "page", read_of("/api/" + kVolume.substr(1) + "/" + kKey));
  refused("volume of 17 digits", "page", read_of("/api/0" + kVolume + "/" + kKey));
  refused("key with another letter", "page", read_of("/api/" + kVolume + "/7f3a9c21e0b4d65g"));
  refused("key with a sign", "page", read_of("/api/" + kVolume + "/-f3a9c21e0b4d655"));
  refused("key with a base", "page", read_of("/api/" + kVolume + "/0x3a9c21e0b4d655"));
  refused("key with an encoded digit", "page", read_of("/api/" + kVolume + "/%37f3a9c21e0b4d6"));

  part = "Host";
  for (const char* host : {"app", "app.svc:8080", "app.svc:", "127.0.0.1", "127.0.0.1:7070", "[::1]",
                           "[::1]:7070", "a_b~c-d.e", "%41pp", "[v1.fe80::a+en1]", "a,b"})
    accepted(host, "9110 7.2", read().replacing("Host: " + std::string(host)));
  accepted("name in lower case", "9110 5.1", read().without("Host").with("host: app.svc"));
  accepted("no space before its value", "9112 5", read().without("Host").with("Host:app.svc"));
  accepted("spaces and tabs round its value", "9112 5", read().without("Host").with("Host: \t app.svc \t"));
  refused("none", "9112 3.2", read().without("Host"));
  refused("two", "9112 3.2", read().with("Host: app.svc"));
  refused("two that differ", "9112 3.2", read().with("Host: other.svc"));
  refused("empty", "9110 4.2.1", read().replacing("Host:"));
  for (const char* host :
       {"app svc",  "app/svc",        "user@app", "http://app", "app, svc", "app:port",    "app:1:2",
        "app:-1",   "app:99999",      "[::1",     "::1",        "[::1]x",   "[]",          "[::g]",
        "app\\svc", "app#",           "app?",     "%zz",        "\"app\"",  "caf\xc3\xa9", "[1.2.3.4]",
        "[:::]",    "[1:2:3:4:5:6:7]"})
    refused(host, "9110 7.2", read().replacing("Host: " + std::string(host)));

  part = "fields";
  accepted("names in another case", "9110 5.1", [] {
    Request request = read().without("X-Call-Class").with("x-CALL-class: read");
    return request.without("IO-Info").with("io-info: units=2,shard=0,hosts=1");
  }());
  accepted("an unknown one", "9110 5.1", read().with("X-Unknown: \"a b\", c"));
  accepted("an unknown one, empty", "9110 5.5", read().with("X-Unknown:"));
  accepted("an unknown one, twice", "9110 5.3", read().with("X-Unknown: a").with("X-Unknown: b"));
  accepted("bytes beyond ASCII in an unknown one", "9110 5.5", read().with("X-Unknown: caf\xc3\xa9"));
  accepted("X-Again: 1", "page", read().with("X-Again: 1"));
  accepted("Connection: keep-alive", "page", read().with("Connection: keep-alive"));
  accepted("Connection: close", "page", read().with("Connection: close"));
  refused("space before the colon", "9112 5.1", read().with("X-Unknown : a"));
  refused("space before the colon of Host", "9112 5.1", read().without("Host").with("Host : app.svc"));
  refused("tab before the colon", "9112 5.1", read().with("X-Unknown\t: a"));
  refused("no name", "9112 5", read().with(": a"));
  refused("no colon", "9112 5", read().with("X-Unknown"));
  refused("name that is no token", "9110 5.1", read().with("X Unknown: a"));
  refused("name with brackets", "9110 5.1", read().with("X(U): a"));
  refused("name beyond ASCII", "9110 5.1", read().with("X-\xc3\xa9: a"));
  refused("folded", "9112 5.2", read().with("X-Unknown: a\r\n b"));
  refused("folded before the first", "9112 2.2", read_with_line("GET " + kPath + " HTTP/1.1\r\n a: b"));
  refused("carriage return in a value", "9110 5.5", read().with("X-Unknown: a\rb"));
  refused("line feed at the end of one", "silent", read().with("X-Unknown: a\nX-Other: b"));
  refused("NUL in a value", "9110 5.5", read().with(std::string("X-Unknown: a\0b", 14)));
  refused("control character in a value", "9110 5.5", read().with("X-Unknown: a\x01"));
  refused("DEL in a value", "9110 5.5", read().with("X-Unknown: a\x7f"));
  refused("65 of them", "page 431", [] {
    Request request = read();
    while (request.lines.size() < 65) request = request.with("a: b");
    return request;
  }());
  refused("a head over 8 KiB", "9110 5.4", read().with("X-Unknown: " + std::string(8192, 'a')));
  refused("X-Again: 2", "page", read().with("X-Again: 2"));
  refused("X-Again twice", "page", read().with("X-Again: 1").with("X-Again: 1"));

  part = "X-Call-Id";
  accepted("a uuid", "silent", read().replacing("X-Call-Id: 123e4567-e89b-12d3-a456-" + kIdPlaceholder));
  refused("none", "page", read().without("X-Call-Id"));
  refused("empty", "page", read().replacing("X-Call-Id:"));
  refused("two", "page", read().with("X-Call-Id: " + kIdPlaceholder));
  refused("two that differ", "page", read().with("X-Call-Id: other-" + kIdPlaceholder));
  refused("two values", "page", read().replacing("X-Call-Id: " + kIdPlaceholder + ", b"));
  refused("a space in it", "silent", read().replacing("X-Call-Id: " + kIdPlaceholder + " b"));
  refused("a tab in it", "silent", read().replacing("X-Call-Id: " + kIdPlaceholder + "\tb"));
  refused("a byte beyond ASCII", "silent", read().replacing("X-Call-Id: " + kIdPlaceholder + "\xe9"));
  refused("129 characters", "silent", read().replacing("X-Call-Id: " + std::string(129, 'a')));

  part = "X-Call-Class";
  refused("none", "page", read().without("X-Call-Class"));
  for (const char* name : {"", "unknown", "READ", "read,read", "read, write", "read x", "\"read\""})
    refused("'" + std::string(name) + "'", "page", read().replacing("X-Call-Class: " + std::string(name)));
  refused("two", "page", read().with("X-Call-Class: read"));

  part = "Tier";
  refused("none", "page", read().without("Tier"));
  for (const char* name : {"", "unknown", "Gold", "gold,gold", "gold x"})
    refused("'" + std::string(name) + "'", "page", read().replacing("Tier: " + std::string(name)));
  refused("two", "page", read().with("Tier: gold"));

  part = "X-Budget-Ms";
  for (const char* number : {"1500", "01500", "999999999999"})
    accepted(number, "page", read().replacing("X-Budget-Ms: " + std::string(number)));
  refused("none", "page", read().without("X-Budget-Ms"));
  for (const char* number : {"",
                             "0",
                             "-1",
                             "+1500",
                             "1500.0",
                             "1500.5",
                             "1.5e3",
                             "15e2",
                             "0x5dc",
                             "1,500",
                             "1500ms",
                             "1500 ",
                             "nan",
                             "inf",
                             "infinity",
                             "NaN",
                             "1_500",
                             "1500, 1500",
                             "99999999999999999999999",
                             "\xd9\xa1",
                             "1500;a"}) {
    if (std::string(number) == "1500 ") continue;  // white space round a value does not belong to it
    refused("'" + std::string(number) + "'", "page", read().replacing("X-Budget-Ms: " + std::string(number)));
  }
  refused("two", "page", read().with("X-Budget-Ms: 1500"));

  part = "IO-Info";
  for (const char* info : {"units=2,shard=0,hosts=1", "hosts=1,shard=0,units=2", "units=2, shard=0, hosts=1",
                           "units=2 ,shard=0 ,hosts=1", "units=8,shard=-1,hosts=3", "units=2,shard=0",
                           "units=02,shard=00,hosts=01", "units=2,shard=0,hosts=1,more=x"})
    accepted(info, "page", read().replacing("IO-Info: " + std::string(info)));
  accepted("tabs round a comma", "9110 5.6.1", read().replacing("IO-Info: units=2\t,\tshard=0,hosts=1"));
  refused("none", "page", read().without("IO-Info"));
  refused("two", "page", read().with("IO-Info: units=2,shard=0,hosts=1"));
  refused("in two fields", "silent", read().replacing("IO-Info: units=2,shard=0").with("IO-Info: hosts=1"));
  for (const char* info : {"",
                           "units=2",
                           "shard=0",
                           "hosts=1",
                           "units=0,shard=0,hosts=1",
                           "units=-1,shard=0,hosts=1",
                           "units=9,shard=0,hosts=1",
                           "units=2.0,shard=0,hosts=1",
                           "units=2.5,shard=0,hosts=1",
                           "units=2e0,shard=0,hosts=1",
                           "units=+2,shard=0,hosts=1",
                           "units=nan,shard=0,hosts=1",
                           "units=inf,shard=0,hosts=1",
                           "units=0x2,shard=0,hosts=1",
                           "units=,shard=0,hosts=1",
                           "units,shard=0,hosts=1",
                           "units=2,shard=,hosts=1",
                           "units=2,shard=-2,hosts=1",
                           "units=2,shard=2,hosts=1",
                           "units=2,shard=0.0,hosts=1",
                           "units=2,shard=-0,hosts=1",
                           "units=2,shard=+0,hosts=1",
                           "units=2,shard=-1.0,hosts=1",
                           "units=2,shard=--1,hosts=1",
                           "units=2,shard=-01,hosts=1",
                           "units=2,shard=99999999999,hosts=1",
                           "units=2,shard=0,hosts=0",
                           "units=2,shard=0,hosts=-1",
                           "units=2,shard=0,hosts=1.5",
                           "units=2,shard=0,hosts=+1",
                           "units=2,shard=0,hosts=x",
                           "units=2,shard=0,hosts=",
                           "units=2,shard=0,hosts=99999999999",
                           "units=2,units=2,shard=0,hosts=1",
                           "units=2,shard=0,shard=0,hosts=1",
                           "units=2,shard=0,hosts=1,hosts=1",
                           "units=2;shard=0;hosts=1",
                           "units=2 shard=0 hosts=1",
                           "units = 2,shard=0,hosts=1",
                           "units=2,shard=0,hosts=1,",
                           ",units=2,shard=0,hosts=1",
                           "units=2,,shard=0,hosts=1",
                           "UNITS=2,shard=0,hosts=1",
                           "units=2,shard=0,hosts=1,more",
                           "units=2,shard=0,hosts=1,=x",
                           "units: 2,shard=0,hosts=1",
                           "{\"units\":2,\"shard\":0}"})
    refused("'" + std::string(info) + "'", "page", read().replacing("IO-Info: " + std::string(info)));

  part = "Idempotency-Key";
  accepted("on a read", "silent", read().with("Idempotency-Key: k"));
  accepted("any text", "silent", write("").replacing("Idempotency-Key: \"k 1\""));
  refused("none on a class that needs one", "page", write("").without("Idempotency-Key"));
  refused("empty", "page", write("").replacing("Idempotency-Key:"));
  refused("empty on a read", "silent", read().with("Idempotency-Key:"));
  refused("two", "page", write("").with("Idempotency-Key: k"));
  refused("two on a read", "page", read().with("Idempotency-Key: k").with("Idempotency-Key: k"));

  part = "body of a read";
  accepted("Content-Length: 0", "page", read().with("Content-Length: 0"));
  refused("Content-Length: 1", "page", read().with("Content-Length: 1").body("x"));
  refused("chunked", "page", read().with("Transfer-Encoding: chunked").body("1\r\nx\r\n0\r\n\r\n"));
  refused("chunked, empty", "page", read().with("Transfer-Encoding: chunked").body("0\r\n\r\n"));
  refused("Expect: 100-continue", "9110 10.1.1", read().with("Expect: 100-continue"));
  accepted("Content-Range, which is ignored", "9110 14.4", read().with("Content-Range: bytes 0-0/1"));
  accepted("Range, which is ignored", "9110 14.2", read().with("Range: bytes=0-0"));
  accepted("Upgrade, which is ignored", "9110 7.8", read().with("Connection: upgrade").with("Upgrade: h2c"));

  part = "body of a write";
  accepted("no framing: empty", "9112 6.3", unframed_write());
  accepted("Content-Length: 0", "9110 8.6", write(""));
  accepted("leading zeros", "9110 8.6", unframed_write().with("Content-Length: 0004").body("data"));
  accepted("64 KiB", "page", write(std::string(65536, 'x')));
  accepted("CR, LF and NUL in it", "9112 6", write(std::string("\r\n\0\r\n\r\nGET", 11)));
  accepted("Expect: 100-continue", "9110 10.1.1", write("data").with("Expect: 100-continue"));
  accepted("Expect: 100-Continue", "9110 10.1.1", write("data").with("Expect: 100-Continue"));
  refused("Expect: 200-ok", "9110 10.1.1", write("data").with("Expect: 200-ok"));
  refused("Expect twice, one unknown", "9110 10.1.1",
          write("data").with("Expect: 100-continue").with("Expect: 200-ok"));
  refused("Content-Range", "9110 14.5", write("data").with("Content-Range: bytes 0-3/8"));
  for (const char* length :
       {"", "-4", "+4", "4.0", "4,4", "4, 4", "0x4", "4 4", "4a", "four", "99999999999999999999999",
        "18446744073709551620", "1e1", "60000000", "\xd9\xa4"})
    refused("Content-Length: '" + std::string(length) + "'", "9110 8.6",
            unframed_write().with("Content-Length: " + std::string(length)).body("data"));
  refused("two lengths", "9110 8.6", write("data").with("Content-Length: 4"));
  refused("two lengths that differ", "9110 8.6", write("data").with("Content-Length: 5"));

  part = "chunked body";
  accepted("two chunks", "9112 7.1", chunked_write("2\r\nda\r\n2\r\nta\r\n0\r\n\r\n"));
  accepted("empty", "9112 7.1", chunked_write("0\r\n\r\n"));
  accepted("sizes in hex of either case", "9112 7.1",
           chunked_write("a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n"));
  accepted("leading zeros", "9112 7.1", chunked_write("0004\r\ndata\r\n000\r\n\r\n"));
  accepted("extensions", "9112 7.1.1", chunked_write("4;a=b;c=\"d e\"\r\ndata\r\n0;e\r\n\r\n"));
  accepted("white space before an extension", "9112 7.1.1", chunked_write("4 ;a = b\r\ndata\r\n0\r\n\r\n"));
  accepted("a trailer field", "9112 7.1.2", chunked_write("4\r\ndata\r\n0\r\nX-Sum: 1\r\n\r\n"));
  accepted("coding in another case", "9112 7",
           unframed_write().with("Transfer-Encoding: Chunked").body("0\r\n\r\n"));
  for (const char* size :
       {"", "+4", "-4", "0x4", "4h", " 4", "g", "fffffffffffffffff", "10000000000000004", "4\t", "4 "})
    refused("size '" + std::string(size) + "'", "9112 7.1",
            chunked_write(std::string(size) + "\r\ndata\r\n0\r\n\r\n"));
  refused("only a line feed behind a size", "9112 7.1", chunked_write("4\ndata\r\n0\r\n\r\n"));
  refused("only a line feed behind a chunk", "9112 7.1", chunked_write("4\r\ndata\n0\r\n\r\n"));
  refused("more than its size", "9112 7.1", chunked_write("4\r\ndataX\r\n0\r\n\r\n"));
  refused("less than its size", "9112 7.1", chunked_write("5\r\ndata\r\n0\r\n\r\n"));
  refused("only line feeds at its end", "9112 7.1", chunked_write("4\r\ndata\r\n0\n\n"));
  refused("bare carriage return in an extension", "9112 7.1.1", chunked_write("4;a\rb\r\ndata\r\n0\r\n\r\n"));
  refused("line feed in an extension", "9112 7.1.1", chunked_write("4;a\nb\r\ndata\r\n0\r\n\r\n"));
  refused("control character in an extension", "9112 7.1.1", chunked_write("4;a=\x01\r\ndata\r\n0\r\n\r\n"));
  refused("extension without a name", "9112 7.1.1", chunked_write("4;=b\r\ndata\r\n0\r\n\r\n"));
  refused("extension without end of its quotes", "9112 7.1.1", chunked_write("4;a=\"b\r\ndata\r\n0\r\n\r\n"));
  refused("trailer field without colon", "9112 7.1.2", chunked_write("4\r\ndata\r\n0\r\nX-Sum\r\n\r\n"));
  refused("trailer field, space before the colon", "9112 5.1",
          chunked_write("4\r\ndata\r\n0\r\nX-Sum : 1\r\n\r\n"));
  refused("folded trailer field", "9112 5.2", chunked_write("4\r\ndata\r\n0\r\nX-Sum: 1\r\n 2\r\n\r\n"));
  refused("control character in a trailer field", "9110 5.5", chunked_write("0\r\nX-Sum: \x01\r\n\r\n"));
  for (const char* name : {"Content-Length: 4", "Transfer-Encoding: chunked", "Host: other.svc",
                           "X-Call-Id: other", "X-Budget-Ms: 1", "IO-Info: units=8,shard=0,hosts=1",
                           "Idempotency-Key: other", "Tier: gold", "X-Call-Class: read"})
    refused("trailer field " + std::string(name), "9110 6.5.1",
            chunked_write("4\r\ndata\r\n0\r\n" + std::string(name) + "\r\n\r\n"));
  refused("65 trailer fields", "silent", [] {
    std::string fields;
    for (int i = 0; i < 65; ++i) fields += "a: b\r\n";
    return chunked_write("0\r\n" + fields + "\r\n");
  }());
  refused("trailer over 8 KiB", "silent", chunked_write("0\r\na: " + std::string(9000, 'x') + "\r\n\r\n"));

  part = "framing";
  refused("both fields", "9112 6.1", write("data").with("Transfer-Encoding: chunked"));
  refused("both fields, the other first", "9112 6.1",
          unframed_write().with("Transfer-Encoding: chunked").with("Content-Length: 4").body("0\r\n\r\n"));
  for (const char* coding : {"", "identity", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked",
                             "xchunked", "chunked;a=b", "\"chunked\"", "chunked,"})
    refused(
        "Transfer-Encoding: '" + std::string(coding) + "'", "9112 6.1",
        unframed_write().with("Transfer-Encoding: " + std::string(coding)).body("4\r\ndata\r\n0\r\n\r\n"));
  refused("Transfer-Encoding twice", "9112 6.1",
          chunked_write("0\r\n\r\n").with("Transfer-Encoding: chunked"));
  refused("Transfer-Encoding with HTTP/1.0", "9112 6.1", [] {
    Request request = chunked_write("0\r\n\r\n");
    request.request_line = "PUT " + kPath + " HTTP/1.0";
    return request;
  }());
  return forms;
}

std::string printable(const std::string& text) {
  std::string result;
  for (const char c : text) result += c >= ' ' && c <= '~' ? c : '?';
  return result;
}

class Play {
 public:
  Play() : loop_(clock_), node_(loop_, 0, kReplyBytes), discovery_(loop_) {
    const nlohmann::json config =
        test::process_config(96, 512, discovery_.server.address, {node_.address(), node_.address()});
    address_ = *Address::parse(config["listen"].get<std::string>());
    scheduler_ = std::make_unique<test::SchedulerProcess>(config, directory_.path());
    REQUIRE(test::wait_until_ready(loop_, address_));
  }

  struct Result {
    int status = 0;  // 0: none
    bool answered_or_closed = false;
    std::size_t received_by_node = 0;
  };
  // Sends the text in pieces that end at the given offsets.
  Result send(std::string text, const std::vector<std::size_t>& piece_ends) {
    replace_id(text);
    const std::size_t received_before = node_.received();
    RawClient client(address_);
    Result result;
    bool closed = false;
    const auto ended = [&] {
      closed = closed || client.receive() != -1;
      result.status = final_status(client.input);
      return closed || result.status != 0;
    };
    std::size_t sent = 0;
    run_until([&] { return client.send(""); });
    for (std::size_t end : piece_ends) {
      end = std::min(end, text.size());
      if (end <= sent) continue;
      run_until([&] { return client.send(text.substr(sent, end - sent)) || ended(); });
      sent = end;
      for (int i = 0; i < 3; ++i) loop_.run_once(0.0005);
    }
    result.answered_or_closed = run_until(ended);
    for (int i = 0; i < 10; ++i) loop_.run_once(0.0005);
    result.received_by_node = node_.received() - received_before;
    return result;
  }

 private:
  void replace_id(std::string& text) {
    char id[32];
    std::snprintf(id, sizeof id, "%016llx", ++last_id_);
    for (auto at = text.find(kIdPlaceholder); at != std::string::npos; at = text.find(kIdPlaceholder))
      text.replace(at, kIdPlaceholder.size(), id);
  }
  // Of the last response that is not interim; 0: none.
  static int final_status(const std::string& input) {
    std::size_t at = 0;
    while (input.compare(at, 9, "HTTP/1.1 ") == 0 && input.size() >= at + 12) {
      const int status = std::atoi(input.c_str() + at + 9);
      if (status >= 200) return status;
      at = input.find("\r\n\r\n", at);
      if (at == std::string::npos) return 0;
      at += 4;
    }
    return 0;
  }
  // The condition may have effects: it is evaluated until it holds, and not again.
  bool run_until(const std::function<bool()>& condition) {
    for (const double end = clock_.now() + kAnswerSeconds; clock_.now() < end; loop_.run_once(0.001)) {
      if (condition()) return true;
    }
    return false;
  }

  const MonotonicClock clock_;
  Loop loop_;
  DelayingNode node_;
  test::ScriptedDiscovery discovery_;
  test::TemporaryDirectory directory_;
  Address address_;
  std::unique_ptr<test::SchedulerProcess> scheduler_;
  unsigned long long last_id_ = 0x1000;
};

void check(const Form& form, const Play::Result& result) {
  const std::string name = std::string(form.part) + ": " + printable(form.name) + " (" + form.source + ")";
  CAPTURE(name);
  CAPTURE(result.status);
  CAPTURE(result.received_by_node);
  if (form.expected == Expected::kAccepted) {
    CHECK(result.status == kOk);
    CHECK(result.received_by_node == 1);
  } else {
    CHECK(result.answered_or_closed);
    CHECK((result.status == 0 || result.status >= 400));
    CHECK(result.received_by_node == 0);
  }
}

}  // namespace

// Guards against a request that is not sound and is passed on to a node (docs/incidents/d781eb.md).
TEST_CASE("forms: a request is served or refused by the table, whole and in pieces") {
  REQUIRE(std::getenv("HERONWORKS") != nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Play play;
  std::mt19937 random(1);
  const std::vector<Form> forms = make_forms();
  const auto accepted = std::count_if(forms.begin(), forms.end(),
                                      [](const Form& form) { return form.expected == Expected::kAccepted; });
  std::printf("%zu forms, of them accepted %zu\n", forms.size(), static_cast<std::size_t>(accepted));
  for (const Form& form : forms) {
    check(form, play.send(form.text, {SIZE_MAX}));
    std::vector<std::size_t> ends;
    for (int i = 0; i < 4; ++i) ends.push_back(random() % form.text.size());
    std::sort(ends.begin(), ends.end());
    ends.push_back(SIZE_MAX);
    check(form, play.send(form.text, ends));
  }
}
