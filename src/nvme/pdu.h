// Parsing and building of NVMe/TCP PDUs, for the host and the controller. Works on byte buffers, without
// sockets.
#pragma once

#include "nvme/spec.h"

namespace heronworks::nvme {

enum class Role { kHost, kController };

// Digests that a connection uses, as agreed in ICReq and ICResp.
struct Digests {
  bool header = false;
  bool data = false;
};

// A fatal transport error: reported to the peer in a TermReq, then the connection is closed.
struct FatalError {
  FatalErrorStatus fes = FatalErrorStatus::kInvalidPduHeaderField;
  std::uint32_t fei = 0;  // byte offset of the invalid field in the PDU, or the received header digest
  std::string text;
};

struct Pdu {
  PduHeader header;       // common header
  ByteView header_bytes;  // HLEN bytes: common header and PDU specific header
  ByteView data;          // may be empty
  bool data_digest_error = false;
};

class PduParser {
 public:
  // `receiver` is the role of the end that reads. PDUs longer than `max_pdu_size` bytes are an error.
  PduParser(Role receiver, std::uint32_t max_pdu_size) : receiver_(receiver), max_pdu_size_(max_pdu_size) {}
  void set_digests(Digests digests) { digests_ = digests; }

  // Returns the first PDU of `bytes` and its length in `consumed`, or nothing while it is incomplete. Sets
  // `error` on a fatal error, as soon as the bytes show it.
  std::optional<Pdu> parse(ByteView bytes, std::size_t& consumed, std::optional<FatalError>& error) const;

 private:
  std::optional<FatalError> check_header(const PduHeader& header) const;

  Role receiver_;
  std::uint32_t max_pdu_size_;
  Digests digests_;
};

// Appends a PDU to `out`. `header` starts with a common header, whose type and flags are kept; HLEN, PDO,
// PLEN, the digest flags and the digests are filled in.
void append_pdu(Bytes& out, ByteView header, ByteView data, Digests digests);
// Appends an H2CTermReq or C2HTermReq that carries the start of the offending `pdu`.
void append_term_req(Bytes& out, Role sender, const FatalError& error, ByteView pdu);

}  // namespace heronworks::nvme
