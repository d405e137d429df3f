// Cuts a byte stream into PDUs, checks what the transport says of their headers, and builds PDUs.
// Pure: no sockets. Both ends use it.
#pragma once

#include "nvme/wire.h"

namespace heronworks::nvme {

enum class End { kHost, kController };

struct Digests {
  bool header = false;
  bool data = false;
};

struct FatalError {
  Fatal status = Fatal::kInvalidHeaderField;
  std::uint32_t info = 0;  // offset of the field in the PDU, or the digest received
  std::string text;
};

struct Pdu {
  PduHeader header;
  View head;  // HLEN bytes, with the common header
  View data;  // may be empty
  bool data_digest_wrong = false;
};

class Framing {
 public:
  // `receiver` is the end that reads. No PDU may be longer than `most` bytes.
  Framing(End receiver, std::uint32_t most) : receiver_(receiver), most_(most) {}
  void set_digests(Digests d) { digests_ = d; }

  // The first whole PDU of `bytes`, its length in `used`; nothing if it is not whole yet. An error is fatal
  // for the connection and is found as early as the bytes allow.
  std::optional<Pdu> next(View bytes, std::size_t& used, std::optional<FatalError>& error) const;

 private:
  std::optional<FatalError> check(const PduHeader& h) const;

  End receiver_;
  std::uint32_t most_;
  Digests digests_;
};

// Appends a PDU: `head` starts with a common header whose flags are kept, lengths and digests are filled in.
void append_pdu(Bytes& out, View head, View data, Digests digests);
void append_term(Bytes& out, End sender, const FatalError& error, View pdu);

}  // namespace heronworks::nvme
