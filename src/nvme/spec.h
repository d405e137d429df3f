// Wire formats of the NVMe over TCP subset that this project implements:
//   - PDUs: NVMe/TCP Transport Specification 1.0 ("Transport"), section 3.6
//   - commands and completions: NVM Express Base Specification 2.0 ("Base"), sections 3.3.3, 5 and 6
//   - I/O commands: NVM and Zoned Namespace Command Set Specifications 1.1
//
// Structures have the layout of the specification; all numbers are little endian. Members have the field's
// name in the specification, or state it. Fields marked "vendor specific" are extensions of this project
// (docs/nvme.md).
#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heronworks::nvme {

static_assert(std::endian::native == std::endian::little,
              "structures are copied to and from the wire as they are");

using Bytes = std::vector<std::uint8_t>;
using ByteView = std::span<const std::uint8_t>;
using SharedBytes = std::shared_ptr<const Bytes>;

// Transport 3.6.2: PDU-Type.
enum class PduType : std::uint8_t {
  kIcReq = 0x00,
  kIcResp = 0x01,
  kH2cTermReq = 0x02,
  kC2hTermReq = 0x03,
  kCapsuleCmd = 0x04,
  kCapsuleResp = 0x05,
  kH2cData = 0x06,
  kC2hData = 0x07,
  kR2t = 0x09,
};

// Bits of FLAGS in the common header.
constexpr std::uint8_t kFlagHeaderDigest = 1;  // HDGSTF
constexpr std::uint8_t kFlagDataDigest = 2;    // DDGSTF
constexpr std::uint8_t kFlagLastPdu = 4;       // LAST_PDU
constexpr std::uint8_t kFlagSuccess = 8;       // SUCCESS, C2HData only

// Common header (CH) of all PDUs.
struct PduHeader {
  std::uint8_t type = 0;
  std::uint8_t flags = 0;
  std::uint8_t hlen = 0;
  std::uint8_t pdo = 0;
  std::uint32_t plen = 0;
};
static_assert(sizeof(PduHeader) == 8 && offsetof(PduHeader, plen) == 4);

// ICReq and ICResp, Transport 3.6.2.2 and 3.6.2.3.
struct InitConnection {
  PduHeader header;
  std::uint16_t pfv = 0;                   // PDU format version
  std::uint8_t pda = 0;                    // PDU data alignment: HPDA in ICReq, CPDA in ICResp
  std::uint8_t dgst = 0;                   // bit 0: header digest, bit 1: data digest
  std::uint32_t maxr2t_or_maxh2cdata = 0;  // ICReq: MAXR2T (0's based); ICResp: MAXH2CDATA, in bytes
  std::array<std::uint8_t, 112> reserved{};
};
static_assert(sizeof(InitConnection) == 128 && offsetof(InitConnection, maxr2t_or_maxh2cdata) == 12);

constexpr std::uint8_t kDgstHeader = 1;         // DGST.HDGST_ENABLE
constexpr std::uint8_t kDgstData = 2;           // DGST.DDGST_ENABLE
constexpr std::uint32_t kMinMaxH2cData = 4096;  // bytes; smallest MAXH2CDATA that a controller may announce

// H2CTermReq and C2HTermReq, Transport 3.6.2.4 and 3.6.2.5.
struct TermReq {
  PduHeader header;
  std::uint16_t fes = 0;     // fatal error status
  std::uint8_t fei[4] = {};  // fatal error information
  std::array<std::uint8_t, 10> reserved{};
};
static_assert(sizeof(TermReq) == 24 && offsetof(TermReq, fei) == 10);

// FES of a TermReq.
enum class FatalErrorStatus : std::uint16_t {
  kInvalidPduHeaderField = 1,
  kPduSequenceError = 2,
  kHeaderDigestError = 3,
  kDataTransferOutOfRange = 4,
  kLimitExceeded = 5,  // C2HTermReq: data transfer limit, H2CTermReq: R2T limit
  kUnsupportedParameter = 6,
};

// H2CData, C2HData and R2T share one layout: Transport 3.6.2.8, 3.6.2.9 and 3.6.2.10.
struct DataPdu {
  PduHeader header;
  std::uint16_t cid = 0;     // CCCID
  std::uint16_t ttag = 0;    // TTAG; reserved in C2HData
  std::uint32_t offset = 0;  // DATAO or R2TO, bytes from the start of the command's data
  std::uint32_t length = 0;  // DATAL or R2TL, bytes
  std::uint32_t reserved = 0;
};
static_assert(sizeof(DataPdu) == 24 && offsetof(DataPdu, offset) == 12);

// Submission queue entry, Base 3.3.3.1.
struct Sqe {
  std::uint8_t opcode = 0;
  std::uint8_t flags = 0x40;  // PSDT 01b: SGLs are used
  std::uint16_t cid = 0;
  std::uint32_t nsid = 0;  // Fabrics commands: the lowest byte is FCTYPE
  std::uint32_t cdw2 = 0;
  std::uint32_t cdw3 = 0;
  std::uint64_t mptr = 0;
  std::uint64_t sgl_address = 0;  // SGL1
  std::uint32_t sgl_length = 0;
  std::uint8_t sgl_reserved[3] = {};
  std::uint8_t sgl_type = 0;  // SGL identifier
  std::uint32_t cdw10 = 0;
  std::uint32_t cdw11 = 0;
  std::uint32_t cdw12 = 0;
  std::uint32_t cdw13 = 0;
  std::uint32_t cdw14 = 0;
  std::uint32_t cdw15 = 0;

  std::uint8_t fabrics_type() const { return static_cast<std::uint8_t>(nsid & 0xff); }
  std::uint64_t slba() const { return cdw10 | static_cast<std::uint64_t>(cdw11) << 32; }
  void set_slba(std::uint64_t lba) {
    cdw10 = static_cast<std::uint32_t>(lba);
    cdw11 = static_cast<std::uint32_t>(lba >> 32);
  }
  // NLB, which is 0's based on the wire.
  std::uint32_t blocks() const { return (cdw12 & 0xffff) + 1; }
  void set_blocks(std::uint32_t count) { cdw12 = (cdw12 & 0xffff0000U) | (count - 1); }

  // Vendor specific fields, in dwords that the base and command set specifications reserve or use for
  // protection information only.

  // CDW2 and CDW3: the client's idempotency key, the same in all attempts of a transaction; 0: none.
  std::uint64_t idempotency_key() const { return cdw2 | static_cast<std::uint64_t>(cdw3) << 32; }
  void set_idempotency_key(std::uint64_t key) {
    cdw2 = static_cast<std::uint32_t>(key);
    cdw3 = static_cast<std::uint32_t>(key >> 32);
  }
  // CDW14: time until the deadline, in microseconds on the wire and in seconds here; 0: not stated.
  double time_left() const { return 1e-6 * cdw14; }
  void set_time_left(double seconds) {
    constexpr double kMaxSeconds = 4290;  // just under 2^32 us
    cdw14 = seconds <= 0             ? 0
            : seconds >= kMaxSeconds ? 0xffffffffU
                                     : static_cast<std::uint32_t>(seconds * 1e6) + 1;
  }
  // CDW15: number of the client's attempt (bits 7:0) and of the scheduler's dispatch (bits 15:8), index of
  // the scheduler (bits 31:16).
  int client_attempt() const { return static_cast<int>(cdw15 & 0xff); }
  int dispatch_number() const { return static_cast<int>(cdw15 >> 8 & 0xff); }
  int scheduler_index() const { return static_cast<int>(cdw15 >> 16); }
  void set_dispatch_info(int client_attempt, int dispatch_number, int scheduler_index) {
    cdw15 = static_cast<std::uint32_t>(client_attempt & 0xff) |
            static_cast<std::uint32_t>(dispatch_number & 0xff) << 8 |
            static_cast<std::uint32_t>(scheduler_index & 0xffff) << 16;
  }
};
static_assert(sizeof(Sqe) == 64 && offsetof(Sqe, sgl_type) == 39 && offsetof(Sqe, cdw10) == 40);

constexpr std::uint32_t kSqeSize = sizeof(Sqe);  // bytes

struct CapsuleCmd {
  PduHeader header;
  Sqe sqe;
};
static_assert(sizeof(CapsuleCmd) == 72);

// SGL identifiers (descriptor type and sub type), Base 4.1.2 and Transport 3.4.
constexpr std::uint8_t kSglDataBlockOffset = 0x01;  // Data Block, Offset: in-capsule data
constexpr std::uint8_t kSglTransportDataBlock =
    0x5a;  // Transport Data Block: data in H2CData or C2HData PDUs

// Status field of a completion, Base 3.3.3.2.1.
struct Status {
  std::uint8_t sct = 0;       // status code type
  std::uint8_t sc = 0;        // status code
  std::uint8_t crd = 0;       // command retry delay: 0 none, 1 to 3 for CRDT1 to CRDT3 of Identify Controller
  bool do_not_retry = false;  // DNR
  bool ok() const { return sct == 0 && sc == 0; }
  bool operator==(const Status& other) const { return sct == other.sct && sc == other.sc; }
  // Upper half of completion dword 3; the phase tag in bit 0 is not used by fabrics.
  std::uint16_t to_field() const {
    return static_cast<std::uint16_t>(sc << 1 | sct << 9 | crd << 12 | (do_not_retry ? 0x8000 : 0));
  }
  static Status from_field(std::uint16_t field) {
    return {static_cast<std::uint8_t>(field >> 9 & 7), static_cast<std::uint8_t>(field >> 1 & 0xff),
            static_cast<std::uint8_t>(field >> 12 & 3), (field & 0x8000) != 0};
  }
  std::string text() const;
};

// Status values: Base, figures 94 to 98, and the NVM and Zoned Namespace command sets.
namespace status {
constexpr Status kOk{};
constexpr Status kInvalidOpcode{0, 0x01};
constexpr Status kInvalidField{0, 0x02};
constexpr Status kCommandIdConflict{0, 0x03};
constexpr Status kDataTransferError{0, 0x04};
constexpr Status kInternalError{0, 0x06};
constexpr Status kAbortRequested{0, 0x07};
constexpr Status kInvalidNamespace{0, 0x0b};
constexpr Status kCommandSequenceError{0, 0x0c};
constexpr Status kInvalidSglDescriptorType{0, 0x11};
constexpr Status kCommandInterrupted{0, 0x21};
constexpr Status kLbaOutOfRange{0, 0x80};
constexpr Status kAsyncEventRequestLimitExceeded{1, 0x05};
constexpr Status kInvalidLogPage{1, 0x09};
constexpr Status kConnectIncompatibleFormat{1, 0x80};
constexpr Status kConnectInvalidParameters{1, 0x82};
constexpr Status kZoneFull{1, 0xb9};
constexpr Status kInternalPathError{3, 0x00};
}  // namespace status

// Completion queue entry, Base 3.3.3.2.
//
// Vendor specific, in a node's completion of a Read or Write: DW0 holds the units that the node served for
// the namespace through other hosts since its previous completion to this host; bits 15:0 of DW1 hold the
// namespace's usage in percent of its usual rate, plus one, or 0 if not reported.
struct Cqe {
  std::uint32_t dw0 = 0;
  std::uint32_t dw1 = 0;
  std::uint16_t sq_head = 0;
  std::uint16_t sq_id = 0;
  std::uint16_t cid = 0;
  std::uint16_t status = 0;
  std::uint64_t result() const { return dw0 | static_cast<std::uint64_t>(dw1) << 32; }
};
static_assert(sizeof(Cqe) == 16 && offsetof(Cqe, status) == 14);

struct CapsuleResp {
  PduHeader header;
  Cqe cqe;
};
static_assert(sizeof(CapsuleResp) == 24);

namespace opcode {  // Base 5 and 6, NVM 3.2, Zoned 3.4
constexpr std::uint8_t kGetLogPage = 0x02;
constexpr std::uint8_t kIdentify = 0x06;
constexpr std::uint8_t kSetFeatures = 0x09;
constexpr std::uint8_t kAsyncEventRequest = 0x0c;
constexpr std::uint8_t kKeepAlive = 0x18;
constexpr std::uint8_t kFabrics = 0x7f;
constexpr std::uint8_t kFlush = 0x00;
constexpr std::uint8_t kWrite = 0x01;
constexpr std::uint8_t kRead = 0x02;
constexpr std::uint8_t kZoneAppend = 0x7d;
}  // namespace opcode

namespace fabrics {  // FCTYPE, Base 6
constexpr std::uint8_t kPropertySet = 0x00;
constexpr std::uint8_t kConnect = 0x01;
constexpr std::uint8_t kPropertyGet = 0x04;
}  // namespace fabrics

namespace property {  // offsets of controller properties, Base 3.1.3
constexpr std::uint32_t kCap = 0x00;
constexpr std::uint32_t kVs = 0x08;
constexpr std::uint32_t kCc = 0x14;
constexpr std::uint32_t kCsts = 0x1c;
}  // namespace property

constexpr std::uint32_t kCcEnabled = 0x00460001;    // CC: EN, IOSQES 6 (64 bytes), IOCQES 4 (16 bytes)
constexpr std::uint32_t kCstsReady = 1;             // CSTS.RDY
constexpr std::uint32_t kVersion20 = 0x00020000;    // VS: NVM Express 2.0
constexpr std::uint8_t kIdentifyCnsController = 1;  // CNS 01h: Identify Controller data structure
constexpr std::size_t kIdentifyDataSize = 4096;     // bytes

namespace identify_offset {  // bytes from the start of the Identify Controller data structure, Base 5.17.2.1
constexpr std::size_t kSn = 4;  // SN, MN and FR are adjacent
constexpr std::size_t kMn = 24;
constexpr std::size_t kFrEnd = 72;
constexpr std::size_t kMdts = 77;
constexpr std::size_t kCntlid = 78;
constexpr std::size_t kVer = 80;
constexpr std::size_t kOaes = 92;
constexpr std::size_t kCntrltype = 111;
constexpr std::size_t kCrdt1 = 128;  // CRDT1 to CRDT3, 2 bytes each
constexpr std::size_t kAerl = 259;
constexpr std::size_t kKas = 320;
constexpr std::size_t kSqes = 512;
constexpr std::size_t kCqes = 513;
constexpr std::size_t kMaxcmd = 514;
constexpr std::size_t kSgls = 536;
constexpr std::size_t kSubnqn = 768;
constexpr std::size_t kIoccsz = 1792;
constexpr std::size_t kIorcsz = 1796;
constexpr std::size_t kMsdbd = 1803;
}  // namespace identify_offset

constexpr std::uint8_t kLogPageDiscovery = 0x70;       // LID
constexpr std::uint8_t kFeatureNumberOfQueues = 0x07;  // FID
// Completion DW0 of an Asynchronous Event Request: log page 70h, information F0h (Discovery Log Page Change),
// type 2h (Notice).
constexpr std::uint32_t kEventDiscoveryLogChanged = 0x0070f002;
inline constexpr std::string_view kDiscoveryNqn = "nqn.2014-08.org.nvmexpress.discovery";

// Data of a Connect command, Base 6.3.
struct ConnectData {
  std::array<std::uint8_t, 16> hostid{};
  std::uint16_t cntlid = 0xffff;
  std::array<std::uint8_t, 238> reserved{};
  std::array<char, 256> subnqn{};
  std::array<char, 256> hostnqn{};
  std::array<std::uint8_t, 256> reserved2{};
};
static_assert(sizeof(ConnectData) == 1024 && offsetof(ConnectData, subnqn) == 256);

// Discovery log page, Base 5.16.1.23: header, followed by NUMREC entries.
struct DiscoveryHeader {
  std::uint64_t genctr = 0;
  std::uint64_t numrec = 0;
  std::uint16_t recfmt = 0;
  std::array<std::uint8_t, 1006> reserved{};
};
static_assert(sizeof(DiscoveryHeader) == 1024);

constexpr std::uint8_t kTrtypeTcp = 3;
constexpr std::uint8_t kAdrfamIpv4 = 1;
constexpr std::uint8_t kSubtypeNvmSubsystem = 2;

// The vendor specific part is the last 32 bytes of TSAS, of which NVMe/TCP uses only byte 0.
struct DiscoveryEntry {
  std::uint8_t trtype = kTrtypeTcp;
  std::uint8_t adrfam = kAdrfamIpv4;  // 2 for IPv6
  std::uint8_t subtype = kSubtypeNvmSubsystem;
  std::uint8_t treq = 0;
  std::uint16_t portid = 0;
  std::uint16_t cntlid = 0xffff;
  std::uint16_t asqsz = 32;
  std::array<std::uint8_t, 22> reserved{};
  std::array<char, 32> trsvcid{};
  std::array<std::uint8_t, 192> reserved2{};
  std::array<char, 256> subnqn{};
  std::array<char, 256> traddr{};
  std::array<std::uint8_t, 224> tsas{};
  std::array<char, 4> vendor_signature{};  // "HWK1"
  std::uint8_t node_state = 1;             // 1 ready, 2 draining
  std::uint8_t vendor_reserved = 0;
  std::uint16_t zone = 0;
  std::uint32_t shard = 0;
  std::uint32_t vendor_reserved2 = 0;
  std::uint64_t started_at = 0;  // start of the node's process, in ns since 1970; 0: long ago
  std::uint64_t vendor_reserved3 = 0;
};
static_assert(sizeof(DiscoveryEntry) == 1024 && offsetof(DiscoveryEntry, trsvcid) == 32 &&
              offsetof(DiscoveryEntry, subnqn) == 256 && offsetof(DiscoveryEntry, traddr) == 512 &&
              offsetof(DiscoveryEntry, vendor_signature) == 992);

// CRC32C of a header or data digest, Transport 3.3.1.1.
std::uint32_t crc32c(ByteView bytes);

template <typename T>
ByteView bytes_of(const T& value) {
  return {reinterpret_cast<const std::uint8_t*>(&value), sizeof value};
}

// Copies the first sizeof(T) bytes into a T; `bytes` must hold as many.
template <typename T>
T read_as(ByteView bytes) {
  T value;
  std::memcpy(&value, bytes.data(), sizeof value);
  return value;
}

// Fills an ASCII field with `text`, cut to the field's size or padded with `pad`.
template <std::size_t N>
void put_text(std::array<char, N>& field, std::string_view text, char pad = 0) {
  field.fill(pad);
  std::memcpy(field.data(), text.data(), std::min(text.size(), N));
}
// The text of an ASCII field, without trailing spaces and zeros.
template <std::size_t N>
std::string get_text(const std::array<char, N>& field) {
  std::string text(field.data(), field.size());
  return text.substr(0, text.find_last_not_of(std::string_view(" \0", 2)) + 1);
}

}  // namespace heronworks::nvme
