#include "nvme/pdu.h"

#include <isa-l/crc.h>

#include <algorithm>

namespace heronworks::nvme {
namespace {

constexpr std::size_t kDigestSize = 4;        // bytes
constexpr std::size_t kMaxTermReqData = 128;  // bytes; a TermReq has at most 152 (Transport 3.6.2.4)

// What Transport 3.6.2 states for a PDU type.
struct PduFormat {
  Role receiver;
  std::uint8_t hlen;
  bool may_carry_data;
};

std::optional<PduFormat> format_of(std::uint8_t type) {
  switch (static_cast<PduType>(type)) {
    case PduType::kIcReq:
      return PduFormat{Role::kController, 128, false};
    case PduType::kIcResp:
      return PduFormat{Role::kHost, 128, false};
    case PduType::kH2cTermReq:
      return PduFormat{Role::kController, 24, true};
    case PduType::kC2hTermReq:
      return PduFormat{Role::kHost, 24, true};
    case PduType::kCapsuleCmd:
      return PduFormat{Role::kController, 72, true};
    case PduType::kCapsuleResp:
      return PduFormat{Role::kHost, 24, false};
    case PduType::kH2cData:
      return PduFormat{Role::kController, 24, true};
    case PduType::kC2hData:
      return PduFormat{Role::kHost, 24, true};
    case PduType::kR2t:
      return PduFormat{Role::kHost, 24, false};
  }
  return std::nullopt;
}

// ICReq, ICResp and the TermReq PDUs have neither digests nor a PDO.
bool has_digests(std::uint8_t type) {
  return type != static_cast<std::uint8_t>(PduType::kIcReq) &&
         type != static_cast<std::uint8_t>(PduType::kIcResp) &&
         type != static_cast<std::uint8_t>(PduType::kH2cTermReq) &&
         type != static_cast<std::uint8_t>(PduType::kC2hTermReq);
}

}  // namespace

std::uint32_t crc32c(ByteView bytes) {
  // crc32_iscsi takes a pointer to mutable data but only reads.
  auto* start = const_cast<unsigned char*>(bytes.data());
  return ~crc32_iscsi(start, static_cast<int>(bytes.size()), 0xffffffffU);
}

std::string Status::text() const {
  char out[48];
  std::snprintf(out, sizeof out, "sct %u sc %02xh crd %u%s", sct, sc, crd, do_not_retry ? " dnr" : "");
  return out;
}

std::optional<FatalError> PduParser::check_header(const PduHeader& header) const {
  using enum FatalErrorStatus;
  const auto format = format_of(header.type);
  if (!format)
    return FatalError{kInvalidPduHeaderField, offsetof(PduHeader, type),
                      "unknown PDU type " + std::to_string(header.type)};
  if (format->receiver != receiver_)
    return FatalError{kPduSequenceError, offsetof(PduHeader, type),
                      "PDU type " + std::to_string(header.type) + " is not valid in this direction"};
  if (header.hlen != format->hlen)
    return FatalError{
        kInvalidPduHeaderField, offsetof(PduHeader, hlen),
        "HLEN is " + std::to_string(header.hlen) + ", expected " + std::to_string(format->hlen)};
  const bool digests_allowed = has_digests(header.type);
  const std::uint32_t header_size = header.hlen + (digests_allowed && digests_.header ? kDigestSize : 0U);
  if (header.plen < header_size || header.plen > max_pdu_size_)
    return FatalError{kInvalidPduHeaderField, offsetof(PduHeader, plen),
                      "PLEN is " + std::to_string(header.plen) + ", expected " + std::to_string(header_size) +
                          " to " + std::to_string(max_pdu_size_)};
  if (digests_allowed && ((header.flags & kFlagHeaderDigest) != 0) != digests_.header)
    return FatalError{kInvalidPduHeaderField, offsetof(PduHeader, flags),
                      "FLAGS.HDGSTF differs from the negotiated header digest"};
  if (!digests_allowed) return std::nullopt;
  if (!format->may_carry_data && header.plen != header_size)
    return FatalError{kInvalidPduHeaderField, offsetof(PduHeader, plen),
                      "PLEN is " + std::to_string(header.plen) + ", expected " + std::to_string(header_size) +
                          " for a PDU without data"};
  if (format->may_carry_data && header.plen > header_size) {
    if (header.pdo < header_size || header.pdo > header.plen || header.pdo % 4 != 0)
      return FatalError{kInvalidPduHeaderField, offsetof(PduHeader, pdo),
                        "PDO is " + std::to_string(header.pdo) + ", expected a multiple of 4 from " +
                            std::to_string(header_size) + " to " + std::to_string(header.plen)};
    if (((header.flags & kFlagDataDigest) != 0) != digests_.data)
      return FatalError{kInvalidPduHeaderField, offsetof(PduHeader, flags),
                        "FLAGS.DDGSTF differs from the negotiated data digest"};
    if (digests_.data && header.plen < header.pdo + kDigestSize)
      return FatalError{kInvalidPduHeaderField, offsetof(PduHeader, plen),
                        "PLEN is " + std::to_string(header.plen) + ", too short for the data digest"};
  }
  return std::nullopt;
}

std::optional<Pdu> PduParser::parse(ByteView bytes, std::size_t& consumed,
                                    std::optional<FatalError>& error) const {
  consumed = 0;
  if (bytes.size() < sizeof(PduHeader)) return std::nullopt;
  Pdu pdu;
  pdu.header = read_as<PduHeader>(bytes);
  error = check_header(pdu.header);
  if (error || bytes.size() < pdu.header.plen) return std::nullopt;
  consumed = pdu.header.plen;
  const ByteView pdu_bytes = bytes.first(consumed);
  pdu.header_bytes = pdu_bytes.first(pdu.header.hlen);
  if (!has_digests(pdu.header.type)) {
    pdu.data = pdu_bytes.subspan(pdu.header.hlen);
    return pdu;
  }
  std::size_t header_size = pdu.header.hlen;
  if (digests_.header) {
    const auto received_digest = read_as<std::uint32_t>(pdu_bytes.subspan(header_size));
    if (received_digest != crc32c(pdu.header_bytes)) {
      error = FatalError{FatalErrorStatus::kHeaderDigestError, received_digest, "header digest mismatch"};
      return std::nullopt;
    }
    header_size += kDigestSize;
  }
  if (pdu_bytes.size() > header_size) {
    const std::size_t data_digest_size = digests_.data ? kDigestSize : 0;
    pdu.data = pdu_bytes.subspan(pdu.header.pdo, pdu_bytes.size() - pdu.header.pdo - data_digest_size);
    if (digests_.data) {
      pdu.data_digest_error = read_as<std::uint32_t>(pdu_bytes.last(kDigestSize)) != crc32c(pdu.data);
    }
  }
  return pdu;
}

void append_pdu(Bytes& out, ByteView header, ByteView data, Digests digests) {
  auto common = read_as<PduHeader>(header);
  const bool digests_allowed = has_digests(common.type);
  const bool header_digest = digests_allowed && digests.header;
  const bool data_digest = digests_allowed && digests.data && !data.empty();
  const std::size_t data_offset = header.size() + (header_digest ? kDigestSize : 0);
  common.hlen = static_cast<std::uint8_t>(header.size());
  common.pdo = digests_allowed && !data.empty() ? static_cast<std::uint8_t>(data_offset) : 0;
  common.plen = static_cast<std::uint32_t>(data_offset + data.size() + (data_digest ? kDigestSize : 0));
  if (header_digest) common.flags |= kFlagHeaderDigest;
  if (data_digest) common.flags |= kFlagDataDigest;
  const std::size_t start = out.size();
  out.resize(start + common.plen);
  std::uint8_t* pdu = out.data() + start;
  std::memcpy(pdu, header.data(), header.size());
  std::memcpy(pdu, &common, sizeof common);
  if (header_digest) {
    const auto digest = crc32c({pdu, header.size()});
    std::memcpy(pdu + header.size(), &digest, kDigestSize);
  }
  if (data.empty()) return;
  std::memcpy(pdu + data_offset, data.data(), data.size());
  if (data_digest) {
    const auto digest = crc32c(data);
    std::memcpy(pdu + data_offset + data.size(), &digest, kDigestSize);
  }
}

void append_term_req(Bytes& out, Role sender, const FatalError& error, ByteView pdu) {
  TermReq term_req;
  term_req.header.type =
      static_cast<std::uint8_t>(sender == Role::kHost ? PduType::kH2cTermReq : PduType::kC2hTermReq);
  term_req.fes = static_cast<std::uint16_t>(error.fes);
  std::memcpy(term_req.fei, &error.fei, sizeof term_req.fei);
  append_pdu(out, bytes_of(term_req), pdu.first(std::min(pdu.size(), kMaxTermReqData)), {});
}

}  // namespace heronworks::nvme
