// PDUs: see framing.h.
#include "nvme/framing.h"

#include <isa-l/crc.h>

#include <algorithm>

namespace heronworks::nvme {
namespace {

constexpr std::size_t kDigest = 4;
constexpr std::size_t kTermData =
    128;  // most of the broken PDU that a TermReq sends back (3.6.2.4: 152 in all)

struct Shape {
  End receiver;
  std::uint8_t hlen;
  bool data;
};

std::optional<Shape> shape(std::uint8_t type) {
  switch (static_cast<PduType>(type)) {
    case PduType::kIcReq:
      return Shape{End::kController, 128, false};
    case PduType::kIcResp:
      return Shape{End::kHost, 128, false};
    case PduType::kH2cTermReq:
      return Shape{End::kController, 24, true};
    case PduType::kC2hTermReq:
      return Shape{End::kHost, 24, true};
    case PduType::kCapsuleCmd:
      return Shape{End::kController, 72, true};
    case PduType::kCapsuleResp:
      return Shape{End::kHost, 24, false};
    case PduType::kH2cData:
      return Shape{End::kController, 24, true};
    case PduType::kC2hData:
      return Shape{End::kHost, 24, true};
    case PduType::kR2t:
      return Shape{End::kHost, 24, false};
  }
  return std::nullopt;
}

bool has_digests(std::uint8_t type) {
  return type != static_cast<std::uint8_t>(PduType::kIcReq) &&
         type != static_cast<std::uint8_t>(PduType::kIcResp) &&
         type != static_cast<std::uint8_t>(PduType::kH2cTermReq) &&
         type != static_cast<std::uint8_t>(PduType::kC2hTermReq);
}

}  // namespace

std::uint32_t crc32c(View bytes) {
  // The library takes a writable pointer and writes nothing.
  auto* start = const_cast<unsigned char*>(bytes.data());
  return ~crc32_iscsi(start, static_cast<int>(bytes.size()), 0xffffffffU);
}

std::string Status::text() const {
  char out[48];
  std::snprintf(out, sizeof out, "sct %u sc %02xh crd %u%s", type, code, crd, do_not_retry ? " dnr" : "");
  return out;
}

std::optional<FatalError> Framing::check(const PduHeader& h) const {
  const auto s = shape(h.type);
  if (!s) return FatalError{Fatal::kInvalidHeaderField, 0, "unknown PDU type"};
  if (s->receiver != receiver_) return FatalError{Fatal::kSequence, 0, "a PDU for the other end"};
  if (h.hlen != s->hlen) return FatalError{Fatal::kInvalidHeaderField, 2, "wrong HLEN"};
  const bool digested = has_digests(h.type);
  const std::uint32_t head = h.hlen + (digested && digests_.header ? kDigest : 0U);
  if (h.plen < head || h.plen > most_) return FatalError{Fatal::kInvalidHeaderField, 4, "PLEN out of range"};
  if (digested && ((h.flags & kHeaderDigest) != 0) != digests_.header)
    return FatalError{Fatal::kInvalidHeaderField, 1, "header digest flag against what was agreed"};
  if (!digested) return std::nullopt;
  if (!s->data && h.plen != head)
    return FatalError{Fatal::kInvalidHeaderField, 4, "PLEN with data where none is"};
  if (s->data && h.plen > head) {
    if (h.pdo < head || h.pdo > h.plen || h.pdo % 4 != 0)
      return FatalError{Fatal::kInvalidHeaderField, 3, "PDO out of range"};
    if (((h.flags & kDataDigest) != 0) != digests_.data)
      return FatalError{Fatal::kInvalidHeaderField, 1, "data digest flag against what was agreed"};
    if (digests_.data && h.plen < h.pdo + kDigest)
      return FatalError{Fatal::kInvalidHeaderField, 4, "PLEN without room for the data digest"};
  }
  return std::nullopt;
}

std::optional<Pdu> Framing::next(View bytes, std::size_t& used, std::optional<FatalError>& error) const {
  used = 0;
  if (bytes.size() < sizeof(PduHeader)) return std::nullopt;
  Pdu pdu;
  pdu.header = read_as<PduHeader>(bytes);
  error = check(pdu.header);
  if (error || bytes.size() < pdu.header.plen) return std::nullopt;
  used = pdu.header.plen;
  const View whole = bytes.first(used);
  pdu.head = whole.first(pdu.header.hlen);
  if (!has_digests(pdu.header.type)) {
    pdu.data = whole.subspan(pdu.header.hlen);
    return pdu;
  }
  std::size_t head = pdu.header.hlen;
  if (digests_.header) {
    const auto told = read_as<std::uint32_t>(whole.subspan(head));
    if (told != crc32c(pdu.head)) {
      error = FatalError{Fatal::kDigest, told, "header digest is wrong"};
      return std::nullopt;
    }
    head += kDigest;
  }
  if (whole.size() > head) {
    const std::size_t tail = digests_.data ? kDigest : 0;
    pdu.data = whole.subspan(pdu.header.pdo, whole.size() - pdu.header.pdo - tail);
    if (digests_.data) {
      pdu.data_digest_wrong = read_as<std::uint32_t>(whole.last(kDigest)) != crc32c(pdu.data);
    }
  }
  return pdu;
}

void append_pdu(Bytes& out, View head, View data, Digests digests) {
  auto h = read_as<PduHeader>(head);
  const bool digested = has_digests(h.type);
  const bool head_digest = digested && digests.header;
  const bool data_digest = digested && digests.data && !data.empty();
  const std::size_t before = head.size() + (head_digest ? kDigest : 0);
  h.hlen = static_cast<std::uint8_t>(head.size());
  h.pdo = digested && !data.empty() ? static_cast<std::uint8_t>(before) : 0;
  h.plen = static_cast<std::uint32_t>(before + data.size() + (data_digest ? kDigest : 0));
  if (head_digest) h.flags |= kHeaderDigest;
  if (data_digest) h.flags |= kDataDigest;
  const std::size_t start = out.size();
  out.resize(start + h.plen);
  std::uint8_t* at = out.data() + start;
  std::memcpy(at, head.data(), head.size());
  std::memcpy(at, &h, sizeof h);
  if (head_digest) {
    const auto crc = crc32c({at, head.size()});
    std::memcpy(at + head.size(), &crc, kDigest);
  }
  if (data.empty()) return;
  std::memcpy(at + before, data.data(), data.size());
  if (data_digest) {
    const auto crc = crc32c(data);
    std::memcpy(at + before + data.size(), &crc, kDigest);
  }
}

void append_term(Bytes& out, End sender, const FatalError& error, View pdu) {
  TermReq t;
  t.header.type =
      static_cast<std::uint8_t>(sender == End::kHost ? PduType::kH2cTermReq : PduType::kC2hTermReq);
  t.status = static_cast<std::uint16_t>(error.status);
  std::memcpy(t.info, &error.info, sizeof t.info);
  append_pdu(out, bytes_of(t), pdu.first(std::min(pdu.size(), kTermData)), {});
}

}  // namespace heronworks::nvme
