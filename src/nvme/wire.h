// What crosses the wire: PDUs of the NVMe/TCP Transport Specification 1.0 (section 3.6), commands and
// completions of the NVMe Base Specification 2.0 (sections 3.3.3, 5, 6), NVM and Zoned Namespace Command Set
// Specifications 1.1. All numbers are little endian; the structures are laid out as on the wire.
//
// What is ours (the vendor part) is marked so; docs/nvme.md lists it.
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

static_assert(std::endian::native == std::endian::little, "structures are read as they lie on the wire");

using Bytes = std::vector<std::uint8_t>;
using View = std::span<const std::uint8_t>;
using SharedBytes = std::shared_ptr<const Bytes>;

// TCP Transport 1.0, 3.6.2: PDU-Type.
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

constexpr std::uint8_t kHeaderDigest = 1;  // FLAGS.HDGSTF
constexpr std::uint8_t kDataDigest = 2;    // FLAGS.DDGSTF
constexpr std::uint8_t kLastPdu = 4;       // FLAGS.LAST_PDU
constexpr std::uint8_t kSuccess = 8;       // FLAGS.SUCCESS, C2HData only

struct PduHeader {
  std::uint8_t type = 0;
  std::uint8_t flags = 0;
  std::uint8_t hlen = 0;
  std::uint8_t pdo = 0;
  std::uint32_t plen = 0;
};
static_assert(sizeof(PduHeader) == 8 && offsetof(PduHeader, plen) == 4);

// 3.6.2.2 and 3.6.2.3. `alignment` is HPDA or CPDA, `most` MAXR2T (0's based) or MAXH2CDATA.
struct InitConnection {
  PduHeader header;
  std::uint16_t format = 0;
  std::uint8_t alignment = 0;
  std::uint8_t digests = 0;  // bit 0 header, bit 1 data
  std::uint32_t most = 0;
  std::array<std::uint8_t, 112> reserved{};
};
static_assert(sizeof(InitConnection) == 128 && offsetof(InitConnection, most) == 12);

// 3.6.2.4 and 3.6.2.5.
struct TermReq {
  PduHeader header;
  std::uint16_t status = 0;   // FES
  std::uint8_t info[4] = {};  // FEI
  std::array<std::uint8_t, 10> reserved{};
};
static_assert(sizeof(TermReq) == 24 && offsetof(TermReq, info) == 10);

enum class Fatal : std::uint16_t {
  kInvalidHeaderField = 1,
  kSequence = 2,
  kDigest = 3,
  kOutOfRange = 4,
  kLimitExceeded = 5,
  kUnsupported = 6,
};

// 3.6.2.8, 3.6.2.9 (H2CData, C2HData) and 3.6.2.10 (R2T): one shape.
struct DataPdu {
  PduHeader header;
  std::uint16_t cid = 0;
  std::uint16_t ttag = 0;
  std::uint32_t offset = 0;
  std::uint32_t length = 0;
  std::uint32_t reserved = 0;
};
static_assert(sizeof(DataPdu) == 24 && offsetof(DataPdu, offset) == 12);

// Submission queue entry, Base 3.3.3.1, with the fields that the commands of the subset use.
struct Sqe {
  std::uint8_t opcode = 0;
  std::uint8_t flags = 0x40;  // PSDT 01b: SGLs
  std::uint16_t cid = 0;
  std::uint32_t nsid = 0;  // Fabrics: byte 4 is FCTYPE
  std::uint32_t cdw2 = 0;
  std::uint32_t cdw3 = 0;
  std::uint64_t mptr = 0;
  std::uint64_t sgl_address = 0;
  std::uint32_t sgl_length = 0;
  std::uint8_t sgl_reserved[3] = {};
  std::uint8_t sgl_type = 0;
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
  std::uint32_t blocks() const { return (cdw12 & 0xffff) + 1; }
  void set_blocks(std::uint32_t n) { cdw12 = (cdw12 & 0xffff0000U) | (n - 1); }
  // The vendor part: CDW2 and CDW3 hold the client's label of the transaction, the same through its tries, 0
  // for none; CDW14 the time left in microseconds, 0 for not said; CDW15 the try, the dispatch and the
  // scheduler. Base and command sets hold them reserved, or unused without protection information.
  std::uint64_t label() const { return cdw2 | static_cast<std::uint64_t>(cdw3) << 32; }
  void set_label(std::uint64_t label) {
    cdw2 = static_cast<std::uint32_t>(label);
    cdw3 = static_cast<std::uint32_t>(label >> 32);
  }
  double time_left() const { return 1e-6 * cdw14; }
  void set_time_left(double seconds) {
    cdw14 = seconds <= 0 ? 0 : seconds >= 4290 ? 0xffffffffU : static_cast<std::uint32_t>(seconds * 1e6) + 1;
  }
  int client_try() const { return static_cast<int>(cdw15 & 0xff); }
  int dispatch() const { return static_cast<int>(cdw15 >> 8 & 0xff); }
  int scheduler() const { return static_cast<int>(cdw15 >> 16); }
  void set_origin(int attempt, int dispatch, int scheduler) {
    cdw15 = static_cast<std::uint32_t>(attempt & 0xff) | static_cast<std::uint32_t>(dispatch & 0xff) << 8 |
            static_cast<std::uint32_t>(scheduler & 0xffff) << 16;
  }
};
static_assert(sizeof(Sqe) == 64 && offsetof(Sqe, sgl_type) == 39 && offsetof(Sqe, cdw10) == 40);

struct CapsuleCmd {
  PduHeader header;
  Sqe sqe;
};
static_assert(sizeof(CapsuleCmd) == 72);

// SGL identifiers, Base 4.1.2 and Transport 3.4: data in the capsule, or moved by the transport.
constexpr std::uint8_t kSglInCapsule = 0x01;
constexpr std::uint8_t kSglTransport = 0x5a;

// Status field of a completion, Base 3.3.3.2.1.
struct Status {
  std::uint8_t type = 0;  // SCT
  std::uint8_t code = 0;  // SC
  std::uint8_t crd = 0;   // command retry delay: 0 none, else CRDT1 to CRDT3 of Identify Controller
  bool do_not_retry = false;
  bool ok() const { return type == 0 && code == 0; }
  bool operator==(const Status& o) const { return type == o.type && code == o.code; }
  std::uint16_t field() const {
    return static_cast<std::uint16_t>(code << 1 | type << 9 | crd << 12 | (do_not_retry ? 0x8000 : 0));
  }
  static Status from(std::uint16_t field) {
    return {static_cast<std::uint8_t>(field >> 9 & 7), static_cast<std::uint8_t>(field >> 1 & 0xff),
            static_cast<std::uint8_t>(field >> 12 & 3), (field & 0x8000) != 0};
  }
  std::string text() const;
};

// Base, figures 94 to 98; command set specific ones in the NVM and Zoned specifications.
namespace status {
constexpr Status kOk{};
constexpr Status kInvalidOpcode{0, 0x01};
constexpr Status kInvalidField{0, 0x02};
constexpr Status kIdConflict{0, 0x03};
constexpr Status kDataTransfer{0, 0x04};
constexpr Status kInternal{0, 0x06};
constexpr Status kAbortRequested{0, 0x07};
constexpr Status kInvalidNamespace{0, 0x0b};
constexpr Status kSequence{0, 0x0c};
constexpr Status kInvalidSgl{0, 0x11};
constexpr Status kCommandInterrupted{0, 0x21};
constexpr Status kLbaOutOfRange{0, 0x80};
constexpr Status kAsyncLimit{1, 0x05};
constexpr Status kInvalidLogPage{1, 0x09};
constexpr Status kConnectFormat{1, 0x80};
constexpr Status kConnectInvalid{1, 0x82};
constexpr Status kZoneFull{1, 0xb9};
constexpr Status kInternalPath{3, 0x00};
}  // namespace status

// Completion queue entry, Base 3.3.3.2. The vendor part: a node's answer to a Read or Write carries in DW0
// the units that it served the namespace through other hosts since its last answer to this one, and in the
// lower half of DW1 one plus the namespace's use in percent of its usual rate, 0 for not told.
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
constexpr std::uint8_t kAsyncEvent = 0x0c;
constexpr std::uint8_t kKeepAlive = 0x18;
constexpr std::uint8_t kFabrics = 0x7f;
constexpr std::uint8_t kFlush = 0x00;
constexpr std::uint8_t kWrite = 0x01;
constexpr std::uint8_t kRead = 0x02;
constexpr std::uint8_t kZoneAppend = 0x7d;
}  // namespace opcode

namespace fabrics {  // Base 6
constexpr std::uint8_t kPropertySet = 0x00;
constexpr std::uint8_t kConnect = 0x01;
constexpr std::uint8_t kPropertyGet = 0x04;
}  // namespace fabrics

namespace property {  // Base 3.1.3
constexpr std::uint32_t kCap = 0x00;
constexpr std::uint32_t kVersion = 0x08;
constexpr std::uint32_t kCc = 0x14;
constexpr std::uint32_t kCsts = 0x1c;
}  // namespace property

constexpr std::uint8_t kLogDiscovery = 0x70;
constexpr std::uint32_t kDiscoveryChanged = 0x0070f002;  // DW0 of the event: log page, F0h, notice
constexpr std::uint8_t kFeatureQueues = 0x07;
inline constexpr std::string_view kDiscoveryName = "nqn.2014-08.org.nvmexpress.discovery";

// Data of Connect, Base 6.3.
struct ConnectData {
  std::array<std::uint8_t, 16> host_id{};
  std::uint16_t controller = 0xffff;
  std::array<std::uint8_t, 238> reserved{};
  std::array<char, 256> subsystem{};
  std::array<char, 256> host{};
  std::array<std::uint8_t, 256> reserved2{};
};
static_assert(sizeof(ConnectData) == 1024 && offsetof(ConnectData, subsystem) == 256);

// Discovery log page, Base 5.16.1.23: header and entry. The vendor part of an entry lies in its last 32
// bytes, within TSAS, which NVMe/TCP leaves reserved after byte 0.
struct DiscoveryHeader {
  std::uint64_t generation = 0;
  std::uint64_t records = 0;
  std::uint16_t format = 0;
  std::array<std::uint8_t, 1006> reserved{};
};
static_assert(sizeof(DiscoveryHeader) == 1024);

struct DiscoveryEntry {
  std::uint8_t transport = 3;  // TCP
  std::uint8_t family = 1;     // 1 IPv4, 2 IPv6
  std::uint8_t kind = 2;       // NVM subsystem
  std::uint8_t requirements = 0;
  std::uint16_t port = 0;
  std::uint16_t controller = 0xffff;
  std::uint16_t admin_queue = 32;
  std::array<std::uint8_t, 22> reserved{};
  std::array<char, 32> service{};
  std::array<std::uint8_t, 192> reserved2{};
  std::array<char, 256> subsystem{};
  std::array<char, 256> address{};
  std::array<std::uint8_t, 224> specific{};
  std::array<char, 4> vendor{};  // "HWK1"
  std::uint8_t listing = 1;      // 1 ready, 2 draining
  std::uint8_t vendor_reserved = 0;
  std::uint16_t zone = 0;
  std::uint32_t shard = 0;
  std::uint32_t vendor_reserved2 = 0;
  std::uint64_t came_up = 0;  // ns since 1970 at which the process started; 0: long ago
  std::uint64_t vendor_reserved3 = 0;
};
static_assert(sizeof(DiscoveryEntry) == 1024 && offsetof(DiscoveryEntry, service) == 32 &&
              offsetof(DiscoveryEntry, subsystem) == 256 && offsetof(DiscoveryEntry, address) == 512 &&
              offsetof(DiscoveryEntry, vendor) == 992);

// CRC32C as NVMe/TCP defines its digests (3.3.1.1).
std::uint32_t crc32c(View bytes);

template <typename T>
View bytes_of(const T& value) {
  return {reinterpret_cast<const std::uint8_t*>(&value), sizeof value};
}

// The bytes must be there.
template <typename T>
T read_as(View bytes) {
  T value;
  std::memcpy(&value, bytes.data(), sizeof value);
  return value;
}

template <std::size_t N>
void put_text(std::array<char, N>& field, std::string_view text, char pad = 0) {
  field.fill(pad);
  std::memcpy(field.data(), text.data(), std::min(text.size(), N));
}
template <std::size_t N>
std::string get_text(const std::array<char, N>& field) {
  std::string text(field.data(), field.size());
  return text.substr(0, text.find_last_not_of(std::string_view(" \0", 2)) + 1);
}

}  // namespace heronworks::nvme
