#include "nvme/target.h"

#include <algorithm>
#include <cmath>
#include <deque>

#include "loop/error_throttle.h"

namespace heronworks::nvme {
namespace {

constexpr std::uint32_t kMaxH2cData = std::uint32_t{128} << 10;  // bytes; MAXH2CDATA
constexpr std::size_t kMaxUnsentBytes = std::size_t{2} << 20;    // bytes above which reading pauses
// Bytes of writes per connection that are requested from the host but not yet passed to the backend.
constexpr std::size_t kMaxBufferedWriteBytes = std::size_t{4} << 20;
constexpr double kIdleBufferCheckSeconds = 1;      // buffers of connections idle for as long are freed
constexpr std::size_t kMaxAsyncEventRequests = 4;  // AERL + 1
constexpr std::uint16_t kMaxAdminCommands = 32;    // outstanding on an admin queue
constexpr std::uint32_t kMaxPduHeaders = 1024;     // bytes; more than any PDU has beside its data
constexpr std::uint16_t kMaxCntlid = 0xffef;       // FFF0h to FFFFh are reserved
constexpr double kMinTimeoutCheckInterval = 0.1;   // s
constexpr int kMaxPdusPerTurn = 8;
constexpr std::uint64_t kCap = 0x0000002000000000ULL | 1U << 16 | 127U;  // CSS: NVM command set; CQR; MQES

Stream::Options stream_options() {
  Stream::Options options;
  options.priority = PollPriority::kClientInput;
  return options;
}

// Whether the host should not have sent the command.
bool is_of_invalid_command(Status s) {
  return s == status::kInvalidOpcode || s == status::kInvalidField || s == status::kCommandIdConflict ||
         s == status::kInvalidNamespace || s == status::kCommandSequenceError ||
         s == status::kInvalidSglDescriptorType || s == status::kLbaOutOfRange ||
         s == status::kInvalidLogPage;
}

}  // namespace

// A connection: one admin or I/O queue of an association.
class TargetConnection final : public StreamHandler {
 public:
  TargetConnection(Target& target, ConnectionId id, Fd fd)
      : target_(target),
        id_(id),
        peer_(peer_address(fd.get())),
        parser_(Role::kController, kMaxH2cData + target.options_.in_capsule_data_size + kMaxPduHeaders),
        stream_(target.loop_, std::move(fd), *this, /*connecting=*/false, stream_options()) {
    if (target.options_.receive_timestamps) stream_.enable_receive_timestamps();
    stream_.read_soon();
    watchdog_ = target.loop_.run_at(target.loop_.now() + target.options_.connect_timeout,
                                    [this] { check_timeout(); });
  }
  ~TargetConnection() override {
    target_.loop_.cancel(watchdog_);
    target_.loop_.cancel(throttle_timer_);
  }

  std::size_t on_received(ByteView bytes) override {
    std::size_t consumed = 0;
    last_received_at_ = target_.loop_.now();
    // Bytes that were left unread have arrived no later than when they were first left.
    arrived_at_ = backlog_since_ >= 0 ? std::min(backlog_since_, arrival_time()) : arrival_time();
    bool turn_ended = false;
    for (int pdus = 0; !closed_ && throttle_timer_ == 0; ++pdus) {
      if (pdus == kMaxPdusPerTurn) {
        turn_ended = true;
        break;
      }
      std::size_t pdu_size = 0;
      std::optional<FatalError> error;
      const auto pdu = parser_.parse(bytes.subspan(consumed), pdu_size, error);
      if (error) {
        terminate_connection(*error, bytes.subspan(consumed));
        break;
      }
      if (!pdu) break;
      if (initialized_ && static_cast<PduType>(pdu->header.type) == PduType::kCapsuleCmd && at_limit()) {
        paused_ = true;
        stream_.pause(true);
        break;
      }
      if (!handle_pdu(*pdu)) break;
      consumed += pdu_size;
    }
    if (turn_ended && consumed < bytes.size()) take_another_turn();
    const bool left_unread = paused_ || throttle_timer_ != 0 || turn_ended;
    backlog_since_ = left_unread || !stream_.receive_buffer_drained() ? arrived_at_ : -1;
    return consumed;
  }

  void on_written() override { resume_if_below_limit(); }

  void on_closed(const std::string&) override { close(); }

  void complete(std::uint16_t cid, Status status, std::uint64_t result, ByteView data) {
    const auto found = outstanding_.find(cid);
    if (found == outstanding_.end()) return;
    const std::uint32_t read_length = found->second.read_length;
    buffered_write_bytes_ -= found->second.data.size();
    outstanding_.erase(found);
    note_status(status);
    if (status.ok() && !data.empty()) {
      data = data.first(std::min<std::size_t>(data.size(), read_length));
      DataPdu c2h_data;
      c2h_data.header.type = static_cast<std::uint8_t>(PduType::kC2hData);
      c2h_data.header.flags = kFlagLastPdu;
      c2h_data.cid = cid;
      c2h_data.length = static_cast<std::uint32_t>(data.size());
      append_pdu(stream_.write_buffer(), bytes_of(c2h_data), data, digests_);
    }
    CapsuleResp response;
    response.header.type = static_cast<std::uint8_t>(PduType::kCapsuleResp);
    response.cqe.dw0 = static_cast<std::uint32_t>(result);
    response.cqe.dw1 = static_cast<std::uint32_t>(result >> 32);
    response.cqe.sq_head = ++sq_head_;
    response.cqe.cid = cid;
    response.cqe.status = status.to_field();
    append_pdu(stream_.write_buffer(), bytes_of(response), {}, digests_);
    stream_.flush();
    send_r2ts();
    resume_if_below_limit();
  }

  void send_async_event(std::uint32_t event) {
    if (!admin_ || !initialized_) return;
    if (async_event_requests_.empty()) {
      pending_event_ = event;
      return;
    }
    const auto cid = async_event_requests_.front();
    async_event_requests_.pop_front();
    complete(cid, status::kOk, event, {});
  }

  // May be called from any callback: the target removes the connection in a deferred action.
  void close() {
    if (closed_) return;
    closed_ = true;
    stream_.close();
    target_.loop_.defer([&target = target_, id = id_, alive = target_.alive_] {
      if (*alive) target.remove_connection(id);
    });
  }

  void release_idle_buffers() {
    if (target_.loop_.now() - last_received_at_ >= kIdleBufferCheckSeconds) stream_.release_empty_buffers();
  }

  bool admin() const { return admin_; }
  std::uint16_t cntlid() const { return cntlid_; }
  std::size_t unsent_bytes() const { return stream_.unsent(); }
  std::size_t buffer_bytes() const { return stream_.read_buffer_bytes() + stream_.write_buffer_bytes(); }
  bool closed() const { return closed_; }

 private:
  struct OutstandingCommand {
    Sqe sqe;
    Bytes data;
    std::uint32_t write_length = 0;     // bytes of data that the host sends
    std::uint32_t write_received = 0;   // bytes of them that were received
    std::uint32_t write_requested = 0;  // bytes of them that were in the capsule or requested by an R2T
    std::uint32_t read_length = 0;      // bytes that the host's buffer holds
    double arrived_at = 0;
    bool data_digest_error = false;
  };

  double arrival_time() const {
    switch (target_.options_.arrival_source) {
      case ArrivalSource::kKernelTimestamp:
        return stream_.last_arrival_time();
      case ArrivalSource::kEarliestPossible:
        return target_.loop_.earliest_arrival();
      default:
        return target_.loop_.now();
    }
  }

  // Whether no further command is read for now.
  bool at_limit() const {
    return outstanding_.size() - async_event_requests_.size() >=
               (admin_ || !connected_ ? kMaxAdminCommands : max_outstanding_) ||
           stream_.unsent() > kMaxUnsentBytes;
  }

  void resume_if_below_limit() {
    if (!paused_ || at_limit() || closed_) return;
    paused_ = false;
    if (throttle_timer_ == 0) stream_.pause(false);
  }

  // The rest of what was read is handled after other connections' input. It has arrived before what they
  // send later.
  void take_another_turn() {
    stream_.request_redelivery();
    target_.loop_.hold_deliveries(stream_.last_arrival());
  }

  void note_status(Status status) {
    if (!is_of_invalid_command(status)) return error_throttle_.on_success();
    if (error_throttle_.on_error() != ErrorThrottle::Verdict::kGoOn) throttle();
  }

  // The connection is not read for a while.
  void throttle() {
    if (throttle_timer_ != 0 || closed_) return;
    ++target_.throttled_;
    stream_.pause(true);
    throttle_timer_ =
        target_.loop_.run_at(target_.loop_.now() + ErrorThrottle::kPauseSeconds, [this] { end_throttle(); });
  }

  void end_throttle() {
    throttle_timer_ = 0;
    if (closed_ || paused_) return;
    stream_.pause(false);
    stream_.redeliver_unconsumed();
  }

  // Closes the connection if Connect has not completed in time, or if nothing was received within the keep
  // alive timeout (Base 3.9).
  void check_timeout() {
    const double now = target_.loop_.now();
    const double timeout = connected_ ? keep_alive_timeout_ : target_.options_.connect_timeout;
    if (connected_ && keep_alive_timeout_ <= 0) return;
    if (!paused_ && throttle_timer_ == 0 && now - last_received_at_ >= timeout) return close();
    watchdog_ = target_.loop_.run_at(std::max(last_received_at_ + timeout, now + kMinTimeoutCheckInterval),
                                     [this] { check_timeout(); });
  }

  void terminate_connection(const FatalError& error, ByteView pdu) {
    append_term_req(stream_.write_buffer(), Role::kController, error, pdu);
    stream_.flush();
    close();
  }

  // Terminates the connection because of `pdu`; `field` is the offset of the offending field. Returns false.
  bool reject_pdu(FatalErrorStatus fes, std::uint32_t field, const char* text, const Pdu& pdu) {
    terminate_connection({fes, field, text}, pdu.header_bytes);
    return false;
  }

  // Returns false if the connection has ended, as the other handlers do.
  bool handle_pdu(const Pdu& pdu) {
    const auto type = static_cast<PduType>(pdu.header.type);
    if (!initialized_) {
      if (type != PduType::kIcReq)
        return reject_pdu(FatalErrorStatus::kPduSequenceError, offsetof(PduHeader, type),
                          "PDU received before ICReq", pdu);
      const auto ic_req = read_as<InitConnection>(pdu.header_bytes);
      if (ic_req.pfv != 0)
        return reject_pdu(FatalErrorStatus::kUnsupportedParameter, offsetof(InitConnection, pfv),
                          "ICReq: PFV is not 0", pdu);
      if (ic_req.pda != 0)
        return reject_pdu(FatalErrorStatus::kUnsupportedParameter, offsetof(InitConnection, pda),
                          "ICReq: HPDA is not 0", pdu);
      digests_ = {(ic_req.dgst & kDgstHeader) != 0, (ic_req.dgst & kDgstData) != 0};
      InitConnection ic_resp;
      ic_resp.header.type = static_cast<std::uint8_t>(PduType::kIcResp);
      ic_resp.dgst = static_cast<std::uint8_t>(ic_req.dgst & (kDgstHeader | kDgstData));
      ic_resp.maxr2t_or_maxh2cdata = kMaxH2cData;
      append_pdu(stream_.write_buffer(), bytes_of(ic_resp), {}, {});
      stream_.flush();
      parser_.set_digests(digests_);
      initialized_ = true;
      return true;
    }
    switch (type) {
      case PduType::kCapsuleCmd:
        return handle_capsule_cmd(pdu);
      case PduType::kH2cData:
        return handle_h2c_data(pdu);
      case PduType::kH2cTermReq:
        close();
        return false;
      default:
        return reject_pdu(FatalErrorStatus::kPduSequenceError, offsetof(PduHeader, type),
                          "ICReq received twice", pdu);
    }
  }

  bool handle_capsule_cmd(const Pdu& pdu) {
    const Sqe sqe = read_as<CapsuleCmd>(pdu.header_bytes).sqe;
    if (outstanding_.contains(sqe.cid)) {
      // Fails only the second command with this identifier; the first one stays outstanding.
      CapsuleResp response;
      response.header.type = static_cast<std::uint8_t>(PduType::kCapsuleResp);
      response.cqe.cid = sqe.cid;
      response.cqe.sq_head = ++sq_head_;
      response.cqe.status = status::kCommandIdConflict.to_field();
      append_pdu(stream_.write_buffer(), bytes_of(response), {}, digests_);
      stream_.flush();
      note_status(status::kCommandIdConflict);
      return !closed_;
    }
    OutstandingCommand& command = outstanding_[sqe.cid];
    command.sqe = sqe;
    command.arrived_at = arrived_at_;
    const bool io = connected_ && !admin_ && sqe.opcode != opcode::kFabrics;
    const bool host_sends_data =
        io ? sqe.opcode == opcode::kWrite || sqe.opcode == opcode::kZoneAppend
           : sqe.opcode == opcode::kFabrics && sqe.fabrics_type() == fabrics::kConnect;
    const std::uint32_t max_transfer_size = std::uint32_t{4096} << target_.options_.mdts;
    const bool sgl_type_valid =
        sqe.sgl_type == kSglTransportDataBlock || (sqe.sgl_type == kSglDataBlockOffset && host_sends_data);
    if (!sgl_type_valid && sqe.sgl_length > 0) {
      complete(sqe.cid, status::kInvalidSglDescriptorType, 0, {});
      return true;
    }
    if (!host_sends_data) {
      command.read_length = sqe.sgl_type == kSglTransportDataBlock ? sqe.sgl_length : 0;
      execute(sqe.cid);
      return !closed_;
    }
    if (sqe.sgl_length > max_transfer_size) {
      complete(sqe.cid, status::kInvalidField, 0, {});
      return true;
    }
    command.write_length = sqe.sgl_length;
    if (sqe.sgl_type == kSglDataBlockOffset) {
      if (sqe.sgl_address != 0 || sqe.sgl_length != pdu.data.size() || pdu.data_digest_error) {
        complete(sqe.cid,
                 pdu.data_digest_error ? status::kDataTransferError : status::kInvalidSglDescriptorType, 0,
                 {});
        return true;
      }
      command.data.assign(pdu.data.begin(), pdu.data.end());
      command.write_received = command.write_requested = command.write_length;
      buffered_write_bytes_ += command.write_length;
      execute(sqe.cid);
      return !closed_;
    }
    awaiting_r2t_.push_back(sqe.cid);
    send_r2ts();
    return !closed_;
  }

  // Requests the data of waiting writes up to kMaxBufferedWriteBytes, and of at least one write.
  void send_r2ts() {
    while (!awaiting_r2t_.empty() && !closed_) {
      const auto cid = awaiting_r2t_.front();
      const auto found = outstanding_.find(cid);
      if (found == outstanding_.end()) {
        awaiting_r2t_.pop_front();
        continue;
      }
      OutstandingCommand& command = found->second;
      if (buffered_write_bytes_ > 0 && buffered_write_bytes_ + command.write_length > kMaxBufferedWriteBytes)
        return;
      awaiting_r2t_.pop_front();
      if (command.write_length == 0) {
        execute(cid);
        continue;
      }
      command.data.resize(command.write_length);
      command.write_requested = command.write_length;
      buffered_write_bytes_ += command.write_length;
      DataPdu r2t;
      r2t.header.type = static_cast<std::uint8_t>(PduType::kR2t);
      r2t.cid = cid;
      r2t.ttag = cid;
      r2t.length = command.write_length;
      append_pdu(stream_.write_buffer(), bytes_of(r2t), {}, digests_);
      stream_.flush();
    }
  }

  bool handle_h2c_data(const Pdu& pdu) {
    const auto h2c_data = read_as<DataPdu>(pdu.header_bytes);
    const auto found = outstanding_.find(h2c_data.cid);
    // The second condition also rejects empty data after the last byte, which would execute the write twice.
    if (found == outstanding_.end() || found->second.write_received == found->second.write_requested ||
        h2c_data.ttag != h2c_data.cid)
      return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField,
                        found == outstanding_.end() ? offsetof(DataPdu, cid) : offsetof(DataPdu, ttag),
                        "H2CData: CCCID and TTAG of no open R2T", pdu);
    OutstandingCommand& command = found->second;
    if (h2c_data.length != pdu.data.size())
      return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField, offsetof(DataPdu, length),
                        "H2CData: DATAL differs from the data in the PDU", pdu);
    if (h2c_data.offset != command.write_received ||
        h2c_data.length > command.write_length - command.write_received)
      return reject_pdu(FatalErrorStatus::kDataTransferOutOfRange, offsetof(DataPdu, offset),
                        "H2CData: DATAO out of order or data beyond the R2T", pdu);
    if (h2c_data.length > kMaxH2cData)
      return reject_pdu(FatalErrorStatus::kLimitExceeded, offsetof(DataPdu, length),
                        "H2CData: DATAL exceeds MAXH2CDATA", pdu);
    std::copy(pdu.data.begin(), pdu.data.end(), command.data.begin() + command.write_received);
    if (pdu.data_digest_error) command.data_digest_error = true;
    command.write_received += h2c_data.length;
    if (command.write_received < command.write_length) return true;
    if (command.data_digest_error) {
      complete(h2c_data.cid, status::kDataTransferError, 0, {});
    } else {
      execute(h2c_data.cid);
    }
    return !closed_;
  }

  // Executes an outstanding command whose data has been received.
  void execute(std::uint16_t cid) {
    OutstandingCommand& outstanding = outstanding_[cid];
    const Sqe sqe = outstanding.sqe;
    if (sqe.opcode == opcode::kFabrics) return execute_fabrics(cid, sqe, outstanding.data);
    if (!connected_ || (admin_ && !enabled_ && sqe.opcode != opcode::kKeepAlive))
      return complete(cid, status::kCommandSequenceError, 0, {});
    if (admin_) return execute_admin(cid, sqe);
    if (sqe.opcode != opcode::kRead && sqe.opcode != opcode::kWrite && sqe.opcode != opcode::kFlush &&
        sqe.opcode != opcode::kZoneAppend)
      return complete(cid, status::kInvalidOpcode, 0, {});
    Command command;
    command.connection = id_;
    command.sqe = sqe;
    command.arrived_at = outstanding.arrived_at;
    command.arrival = stream_.last_arrival();
    buffered_write_bytes_ -= outstanding.data.size();
    command.data = std::move(outstanding.data);
    outstanding.data.clear();
    target_.backend_.execute_command(std::move(command));
  }

  void execute_fabrics(std::uint16_t cid, const Sqe& sqe, const Bytes& data) {
    const std::uint32_t offset = sqe.cdw11;
    if (sqe.fabrics_type() == fabrics::kConnect) return execute_connect(cid, sqe, data);
    if (!connected_ || !admin_) return complete(cid, status::kCommandSequenceError, 0, {});
    if (sqe.fabrics_type() == fabrics::kPropertyGet) {
      std::uint64_t value = 0;
      if (offset == property::kCap) value = kCap;
      else if (offset == property::kVs) value = kVersion20;
      else if (offset == property::kCc) value = enabled_ ? kCcEnabled : 0;
      else if (offset == property::kCsts) value = enabled_ ? kCstsReady : 0;
      else return complete(cid, status::kInvalidField, 0, {});
      return complete(cid, status::kOk, value, {});
    }
    if (sqe.fabrics_type() == fabrics::kPropertySet) {
      if (offset != property::kCc) return complete(cid, status::kInvalidField, 0, {});
      enabled_ = (sqe.cdw12 & 1) != 0;  // CC.EN
      return complete(cid, status::kOk, 0, {});
    }
    complete(cid, status::kInvalidOpcode, 0, {});
  }

  // Base 6.3.
  void execute_connect(std::uint16_t cid, const Sqe& sqe, const Bytes& data) {
    if (connected_) return complete(cid, status::kCommandSequenceError, 0, {});
    if ((sqe.cdw10 & 0xffff) != 0) return complete(cid, status::kConnectIncompatibleFormat, 0, {});  // RECFMT
    if (data.size() != sizeof(ConnectData)) return complete(cid, status::kConnectInvalidParameters, 0, {});
    const auto connect_data = read_as<ConnectData>(data);
    const auto queue_id = static_cast<std::uint16_t>(sqe.cdw10 >> 16);
    const auto queue_size = static_cast<std::uint32_t>((sqe.cdw11 & 0xffff) + 1);  // SQSIZE is 0's based
    if (get_text(connect_data.subnqn) != target_.options_.subnqn)
      return complete(cid, status::kConnectInvalidParameters, 0, {});
    if (queue_id == 0) {
      // Controller identifiers are assigned in turn, except those in use.
      do {
        target_.last_cntlid_ = static_cast<std::uint16_t>(target_.last_cntlid_ % kMaxCntlid + 1);
      } while (target_.associations_.contains(target_.last_cntlid_));
      cntlid_ = target_.last_cntlid_;
      target_.associations_[cntlid_] = {get_text(connect_data.hostnqn), id_};
      admin_ = true;
      keep_alive_timeout_ = 1.5e-3 * sqe.cdw12;  // KATO in ms, and half as much again for delays
    } else {
      const auto association = target_.associations_.find(connect_data.cntlid);
      if (association == target_.associations_.end() ||
          association->second.hostnqn != get_text(connect_data.hostnqn) || queue_id != 1 || queue_size < 2 ||
          queue_size > target_.options_.max_queue_size)
        return complete(cid, status::kConnectInvalidParameters, 0, {});
      cntlid_ = connect_data.cntlid;
      max_outstanding_ = queue_size - 1;
    }
    connected_ = true;
    target_.loop_.cancel(watchdog_);
    if (keep_alive_timeout_ > 0) {
      watchdog_ =
          target_.loop_.run_at(target_.loop_.now() + keep_alive_timeout_, [this] { check_timeout(); });
    }
    target_.backend_.connection_established(id_, get_text(connect_data.hostnqn), admin_, peer_);
    complete(cid, status::kOk, cntlid_, {});
  }

  void execute_admin(std::uint16_t cid, const Sqe& sqe) {
    switch (sqe.opcode) {
      case opcode::kKeepAlive:
        return complete(cid, status::kOk, 0, {});
      case opcode::kIdentify: {
        Bytes page(kIdentifyDataSize);
        const auto cns = static_cast<std::uint8_t>(sqe.cdw10);
        if (cns == kIdentifyCnsController) fill_identify_controller(page);
        const Status status =
            target_.backend_.identify(cns, static_cast<std::uint8_t>(sqe.cdw11 >> 24), sqe.nsid, page);
        return complete(cid, status, 0, page);
      }
      case opcode::kSetFeatures:
        if ((sqe.cdw10 & 0xff) != kFeatureNumberOfQueues) return complete(cid, status::kInvalidField, 0, {});
        return complete(cid, status::kOk, 0, {});
      case opcode::kGetLogPage: {
        // NUMDL and NUMDU, 0's based
        const std::uint64_t dwords =
            (sqe.cdw10 >> 16 | static_cast<std::uint64_t>(sqe.cdw11 & 0xffff) << 16) + 1;
        const std::uint64_t offset = sqe.cdw12 | static_cast<std::uint64_t>(sqe.cdw13) << 32;  // LPOL, LPOU
        const std::uint64_t max_transfer_size = std::uint64_t{4096} << target_.options_.mdts;
        if (dwords * 4 > max_transfer_size || offset % 4 != 0)
          return complete(cid, status::kInvalidField, 0, {});
        return target_.backend_.get_log_page(id_, cid, static_cast<std::uint8_t>(sqe.cdw10), offset,
                                             static_cast<std::uint32_t>(dwords * 4));
      }
      case opcode::kAsyncEventRequest:
        if (async_event_requests_.size() >= kMaxAsyncEventRequests)
          return complete(cid, status::kAsyncEventRequestLimitExceeded, 0, {});
        async_event_requests_.push_back(cid);
        if (pending_event_ != 0) send_async_event(std::exchange(pending_event_, 0));
        return;
      default:
        return complete(cid, status::kInvalidOpcode, 0, {});
    }
  }

  // Identify Controller data structure, Base 5.17.2.1.
  void fill_identify_controller(Bytes& page) {
    using namespace identify_offset;
    const auto put = [&](std::size_t at, auto value) { std::memcpy(page.data() + at, &value, sizeof value); };
    std::memset(page.data() + kSn, ' ', kFrEnd - kSn);
    std::memcpy(page.data() + kMn, "heronworks", 10);
    page[kMdts] = target_.options_.mdts;
    put(kCntlid, cntlid_);
    put(kVer, kVersion20);
    put(kOaes, std::uint32_t{0x80000000});  // Discovery Log Page Change notices
    page[kCntrltype] = 1;                   // I/O controller
    const double crdt1 = std::max(1.0, std::ceil(target_.options_.retry_delay * 10));  // in 100 ms
    for (std::size_t i = 0; i < 3; ++i) {
      put(kCrdt1 + 2 * i, static_cast<std::uint16_t>(std::min(crdt1 * std::pow(4, i), 65535.0)));
    }
    page[kAerl] = kMaxAsyncEventRequests - 1;
    put(kKas, std::uint16_t{1});  // in 100 ms
    page[kSqes] = 0x66;           // minimum and maximum entry size 2^6 bytes
    page[kCqes] = 0x44;           // 2^4 bytes
    put(kMaxcmd, target_.options_.max_queue_size);
    put(kSgls, std::uint32_t{0x00100001});  // SGLs, and their address as an offset, are supported
    put(kSubnqn, std::array<char, 256>{});
    std::memcpy(page.data() + kSubnqn, target_.options_.subnqn.data(),
                std::min<std::size_t>(target_.options_.subnqn.size(), 223));
    put(kIoccsz, static_cast<std::uint32_t>((kSqeSize + target_.options_.in_capsule_data_size) / 16));
    put(kIorcsz, std::uint32_t{1});  // in 16 bytes
    page[kMsdbd] = 1;
  }

  Target& target_;
  const ConnectionId id_;
  const Address peer_;
  PduParser parser_;
  Stream stream_;
  Digests digests_;
  bool initialized_ = false;  // ICReq was received
  bool connected_ = false;    // the Connect command succeeded
  bool admin_ = false;        // the admin queue's connection
  bool enabled_ = false;      // CC.EN
  bool closed_ = false;
  bool paused_ = false;            // reading is paused, see at_limit
  double keep_alive_timeout_ = 0;  // s; 0: none
  double last_received_at_ = target_.loop_.now();
  double arrived_at_ = 0;      // s; arrival time of the bytes being processed
  double backlog_since_ = -1;  // s; arrival time of the oldest bytes left unread, negative if none
  Loop::TimerId watchdog_ = 0;
  ErrorThrottle error_throttle_;
  Loop::TimerId throttle_timer_ = 0;  // 0: the connection is not paused for errors
  std::uint16_t cntlid_ = 0;
  std::uint32_t max_outstanding_ = 1;  // commands of the I/O queue
  std::uint16_t sq_head_ = 0;
  std::unordered_map<std::uint16_t, OutstandingCommand> outstanding_;  // by CID; bounded by at_limit
  std::deque<std::uint16_t> awaiting_r2t_;          // CIDs of writes whose data has not been requested yet
  std::size_t buffered_write_bytes_ = 0;            // of writes that were not passed to the backend yet
  std::deque<std::uint16_t> async_event_requests_;  // CIDs
  std::uint32_t pending_event_ = 0;                 // for the next Asynchronous Event Request; 0: none
};

Target::Target(Loop& loop, Fd listener, TargetOptions options, Backend& backend)
    : loop_(loop), options_(std::move(options)), backend_(backend) {
  listener_ = std::make_unique<Listener>(loop, std::move(listener),
                                         [this](Fd fd) { accept_connection(std::move(fd)); });
  idle_buffer_timer_ = loop.run_at(loop.now() + kIdleBufferCheckSeconds, [this] { release_idle_buffers(); });
}

Target::~Target() {
  *alive_ = false;
  loop_.cancel(idle_buffer_timer_);
}

void Target::release_idle_buffers() {
  for (const auto& [id, connection] : connections_) connection->release_idle_buffers();
  idle_buffer_timer_ =
      loop_.run_at(loop_.now() + kIdleBufferCheckSeconds, [this] { release_idle_buffers(); });
}

std::size_t Target::buffer_bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, connection] : connections_) sum += connection->buffer_bytes();
  return sum;
}

// Connections above the limit are closed immediately.
void Target::accept_connection(Fd fd) {
  if (connections_.size() >= options_.max_connections) return;
  const ConnectionId id = ++last_connection_id_;
  connections_.emplace(id, std::make_unique<TargetConnection>(*this, id, std::move(fd)));
}

bool Target::complete(ConnectionId connection, std::uint16_t cid, Status status, std::uint64_t result,
                      ByteView data) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || found->second->closed()) return false;
  found->second->complete(cid, status, result, data);
  return true;
}

void Target::send_async_event(std::uint32_t event) {
  for (auto& [id, connection] : connections_) {
    if (!connection->closed()) connection->send_async_event(event);
  }
}

void Target::reset_connection(ConnectionId connection) {
  if (const auto found = connections_.find(connection); found != connections_.end()) found->second->close();
}

void Target::reset_all_connections() {
  for (auto& [id, connection] : connections_) connection->close();
}

std::size_t Target::unsent_bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, connection] : connections_) sum += connection->unsent_bytes();
  return sum;
}

void Target::remove_connection(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const bool admin = found->second->admin();
  const auto cntlid = found->second->cntlid();
  connections_.erase(found);
  if (admin) {  // an association ends with its admin queue (Base 3.3.2.2)
    associations_.erase(cntlid);
    for (auto& [other, connection] : connections_) {
      if (!connection->admin() && connection->cntlid() == cntlid && cntlid != 0) connection->close();
    }
  }
  backend_.connection_closed(id);
}

}  // namespace heronworks::nvme
