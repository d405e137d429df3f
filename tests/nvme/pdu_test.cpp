// PDU parsing and building: layouts, digests, and the field offset that each fatal error reports.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "nvme/pdu.h"

#include <doctest/doctest.h>

using namespace heronworks::nvme;

namespace {

constexpr std::uint32_t kMaxPduSize = 1 << 16;

Bytes write_capsule(Digests digests, std::size_t data_size) {
  CapsuleCmd capsule;
  capsule.header.type = static_cast<std::uint8_t>(PduType::kCapsuleCmd);
  capsule.sqe.opcode = opcode::kWrite;
  capsule.sqe.cid = 7;
  Bytes out;
  append_pdu(out, bytes_of(capsule), Bytes(data_size, 0x5a), digests);
  return out;
}

std::optional<FatalError> parse_error(const Bytes& bytes, Digests digests = {}) {
  PduParser parser(Role::kController, kMaxPduSize);
  parser.set_digests(digests);
  std::size_t consumed = 0;
  std::optional<FatalError> error;
  parser.parse(bytes, consumed, error);
  return error;
}

}  // namespace

TEST_CASE("CRC32C matches the test vectors of RFC 3720, B.4") {
  const std::string digits = "123456789";
  CHECK(crc32c({reinterpret_cast<const std::uint8_t*>(digits.data()), digits.size()}) == 0xe3069283U);
  CHECK(crc32c(Bytes(32, 0)) == 0x8a9136aaU);
  CHECK(crc32c(Bytes(32, 0xff)) == 0x62a8ab43U);
}

TEST_CASE("a capsule is parsed as it was built, with and without digests, and only once it is complete") {
  for (const Digests digests :
       {Digests{false, false}, Digests{true, false}, Digests{false, true}, Digests{true, true}}) {
    const Bytes bytes = write_capsule(digests, 512);
    CHECK(bytes.size() == 72 + 512 + (digests.header ? 4U : 0U) + (digests.data ? 4U : 0U));
    PduParser parser(Role::kController, kMaxPduSize);
    parser.set_digests(digests);
    std::optional<FatalError> error;
    std::size_t consumed = 0;
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CHECK_FALSE(parser.parse(ByteView(bytes).first(size), consumed, error));
      CHECK_FALSE(error);
    }
    const auto pdu = parser.parse(bytes, consumed, error);
    REQUIRE(pdu);
    CHECK(consumed == bytes.size());
    CHECK(pdu->data.size() == 512);
    CHECK_FALSE(pdu->data_digest_error);
    CHECK(read_as<CapsuleCmd>(pdu->header_bytes).sqe.cid == 7);
  }
}

TEST_CASE("an invalid PDU header is a fatal error with the offset of the offending field") {
  const auto error_with = [](std::size_t offset, std::uint8_t value, Digests digests = {}) {
    Bytes bytes = write_capsule(digests, 16);
    bytes[offset] = value;
    return parse_error(bytes, digests);
  };
  CHECK(error_with(0, 0x42)->fei == 0);                                    // unknown PDU type
  CHECK(error_with(0, 0x05)->fes == FatalErrorStatus::kPduSequenceError);  // a PDU for the host
  CHECK(error_with(1, kFlagHeaderDigest)->fei == 1);                       // FLAGS
  CHECK(error_with(2, 71)->fei == 2);                                      // HLEN
  CHECK(error_with(3, 8)->fei == 3);                                       // PDO inside the header
  CHECK(error_with(3, 73)->fei == 3);                                      // PDO not a multiple of 4
  CHECK(error_with(4, 40)->fei == 4);                                      // PLEN below the header's size
  CHECK(error_with(7, 0x7f)->fei == 4);                                    // PLEN above the maximum PDU size
  CHECK(error_with(20, 1, {true, false})->fes == FatalErrorStatus::kHeaderDigestError);
  // A wrong data digest is not fatal: only the command fails.
  Bytes corrupted = write_capsule({false, true}, 16);
  corrupted[75] ^= 1;
  PduParser parser(Role::kController, kMaxPduSize);
  parser.set_digests({false, true});
  std::size_t consumed = 0;
  std::optional<FatalError> error;
  CHECK(parser.parse(corrupted, consumed, error)->data_digest_error);
  CHECK_FALSE(error);
}

TEST_CASE("status fields, idempotency keys, remaining times and block ranges survive encoding and decoding") {
  for (const Status status :
       {status::kOk, status::kCommandInterrupted, status::kInternalPathError, Status{1, 0xb9, 3, true}}) {
    const Status decoded = Status::from_field(status.to_field());
    CHECK(decoded == status);
    CHECK(decoded.crd == status.crd);
    CHECK(decoded.do_not_retry == status.do_not_retry);
  }
  Sqe sqe;
  sqe.set_idempotency_key(0xfedcba9876543210U);
  sqe.set_time_left(1.5);
  sqe.set_dispatch_info(2, 3, 65535);
  sqe.set_slba(0x123456789abU);
  sqe.set_blocks(65536);
  CHECK(sqe.idempotency_key() == 0xfedcba9876543210U);
  CHECK(sqe.time_left() == doctest::Approx(1.5));
  CHECK(sqe.client_attempt() == 2);
  CHECK(sqe.dispatch_number() == 3);
  CHECK(sqe.scheduler_index() == 65535);
  CHECK(sqe.slba() == 0x123456789abU);
  CHECK(sqe.blocks() == 65536);
  sqe.set_time_left(1e9);
  CHECK(sqe.time_left() > 4000);
  sqe.set_time_left(-1);
  CHECK(sqe.cdw14 == 0);
}

TEST_CASE("200,000 mutated PDUs from a fixed seed: the parser never reads past the bytes it was given") {
  std::uint32_t state = 12345;
  const auto next_random = [&] { return state = state * 1664525 + 1013904223, state >> 8; };
  int errors = 0;
  int parsed = 0;
  for (int i = 0; i < 200000; ++i) {
    const Digests digests{(next_random() & 1) != 0, (next_random() & 1) != 0};
    Bytes bytes = write_capsule(digests, next_random() % 64 * 4);
    for (unsigned mutations = next_random() % 4; mutations > 0; --mutations)
      bytes[next_random() % std::min<std::size_t>(bytes.size(), 16)] =
          static_cast<std::uint8_t>(next_random());
    if (next_random() % 4 == 0) bytes.resize(next_random() % bytes.size());
    bytes.shrink_to_fit();
    PduParser parser(next_random() % 2 == 0 ? Role::kController : Role::kHost, kMaxPduSize);
    parser.set_digests(digests);
    std::size_t consumed = 0;
    std::optional<FatalError> error;
    const auto pdu = parser.parse(bytes, consumed, error);
    if (error) ++errors;
    if (pdu) {
      ++parsed;
      CHECK(consumed <= bytes.size());
      CHECK(pdu->data.size() <= bytes.size());
    }
  }
  CHECK(errors > 10000);
  CHECK(parsed > 10000);
}
