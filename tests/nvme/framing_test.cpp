// PDUs on their own: layout, digests, and each error with the offset of its field.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "nvme/framing.h"

#include <doctest/doctest.h>

using namespace heronworks::nvme;

namespace {

Bytes capsule(Digests digests, std::size_t data) {
  CapsuleCmd c;
  c.header.type = static_cast<std::uint8_t>(PduType::kCapsuleCmd);
  c.sqe.opcode = opcode::kWrite;
  c.sqe.cid = 7;
  Bytes out;
  append_pdu(out, bytes_of(c), Bytes(data, 0x5a), digests);
  return out;
}

std::optional<FatalError> error_of(const Bytes& bytes, Digests digests = {}, End end = End::kController) {
  Framing f(end, 1 << 16);
  f.set_digests(digests);
  std::size_t used = 0;
  std::optional<FatalError> error;
  f.next(bytes, used, error);
  return error;
}

}  // namespace

TEST_CASE("CRC32C as published: RFC 3720, B.4") {
  const std::string digits = "123456789";
  CHECK(crc32c({reinterpret_cast<const std::uint8_t*>(digits.data()), digits.size()}) == 0xe3069283U);
  CHECK(crc32c(Bytes(32, 0)) == 0x8a9136aaU);
  CHECK(crc32c(Bytes(32, 0xff)) == 0x62a8ab43U);
}

TEST_CASE("a capsule comes out as it went in, with and without digests, and only when it is whole") {
  for (const Digests d :
       {Digests{false, false}, Digests{true, false}, Digests{false, true}, Digests{true, true}}) {
    const Bytes bytes = capsule(d, 512);
    CHECK(bytes.size() == 72 + 512 + (d.header ? 4U : 0U) + (d.data ? 4U : 0U));
    Framing f(End::kController, 1 << 16);
    f.set_digests(d);
    std::optional<FatalError> error;
    std::size_t used = 0;
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      CHECK_FALSE(f.next(View(bytes).first(n), used, error));
      CHECK_FALSE(error);
    }
    const auto pdu = f.next(bytes, used, error);
    REQUIRE(pdu);
    CHECK(used == bytes.size());
    CHECK(pdu->data.size() == 512);
    CHECK_FALSE(pdu->data_digest_wrong);
    CHECK(read_as<CapsuleCmd>(pdu->head).sqe.cid == 7);
  }
}

TEST_CASE("what breaks framing names the field's offset") {
  const auto with = [](std::size_t at, std::uint8_t value, Digests d = {}) {
    Bytes b = capsule(d, 16);
    b[at] = value;
    return error_of(b, d);
  };
  CHECK(with(0, 0x42)->info == 0);                              // type
  CHECK(with(0, 0x05)->status == Fatal::kSequence);             // a PDU for the other end
  CHECK(with(1, kHeaderDigest)->info == 1);                     // flags
  CHECK(with(2, 71)->info == 2);                                // HLEN
  CHECK(with(3, 8)->info == 3);                                 // PDO inside the header
  CHECK(with(3, 73)->info == 3);                                // and not aligned
  CHECK(with(4, 40)->info == 4);                                // PLEN under the header
  CHECK(with(7, 0x7f)->info == 4);                              // PLEN over all bounds
  CHECK(with(20, 1, {true, false})->status == Fatal::kDigest);  // a flipped byte in the header
  Bytes flipped = capsule({false, true}, 16);
  flipped[75] ^= 1;
  Framing f(End::kController, 1 << 16);
  f.set_digests({false, true});
  std::size_t used = 0;
  std::optional<FatalError> error;
  CHECK(f.next(flipped, used, error)->data_digest_wrong);  // not fatal: the command fails
  CHECK_FALSE(error);
}

TEST_CASE("status fields, labels and times survive the wire") {
  for (const Status s :
       {status::kOk, status::kCommandInterrupted, status::kInternalPath, Status{1, 0xb9, 3, true}}) {
    const Status back = Status::from(s.field());
    CHECK(back == s);
    CHECK(back.crd == s.crd);
    CHECK(back.do_not_retry == s.do_not_retry);
  }
  Sqe q;
  q.set_label(0xfedcba9876543210U);
  q.set_time_left(1.5);
  q.set_origin(2, 3, 65535);
  q.set_slba(0x123456789abU);
  q.set_blocks(65536);
  CHECK(q.label() == 0xfedcba9876543210U);
  CHECK(q.time_left() == doctest::Approx(1.5));
  CHECK(q.client_try() == 2);
  CHECK(q.dispatch() == 3);
  CHECK(q.scheduler() == 65535);
  CHECK(q.slba() == 0x123456789abU);
  CHECK(q.blocks() == 65536);
  q.set_time_left(1e9);
  CHECK(q.time_left() > 4000);
  q.set_time_left(-1);
  CHECK(q.cdw14 == 0);
}

TEST_CASE(
    "random and mutated PDUs, 200,000 of a fixed seed: never past the bytes, always an error, a PDU or a "
    "wait") {
  std::uint32_t x = 12345;
  const auto next = [&] { return x = x * 1664525 + 1013904223, x >> 8; };
  int errors = 0;
  int whole = 0;
  for (int i = 0; i < 200000; ++i) {
    const Digests d{(next() & 1) != 0, (next() & 1) != 0};
    Bytes b = capsule(d, next() % 64 * 4);
    for (unsigned n = next() % 4; n > 0; --n)
      b[next() % std::min<std::size_t>(b.size(), 16)] = static_cast<std::uint8_t>(next());
    if (next() % 4 == 0) b.resize(next() % b.size());
    b.shrink_to_fit();
    Framing f(next() % 2 == 0 ? End::kController : End::kHost, 1 << 16);
    f.set_digests(d);
    std::size_t used = 0;
    std::optional<FatalError> error;
    const auto pdu = f.next(b, used, error);
    if (error) ++errors;
    if (pdu) {
      ++whole;
      CHECK(used <= b.size());
      CHECK(pdu->data.size() <= b.size());
    }
  }
  CHECK(errors > 10000);
  CHECK(whole > 10000);
}
