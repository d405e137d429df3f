#include "nvme/host.h"

#include <algorithm>

#include "release_memory.h"

namespace heronworks::nvme {
namespace {

constexpr std::uint32_t kMaxPduSize = std::uint32_t{2} << 20;  // bytes
// Bytes; used if MDTS is 0, which means no limit, or above kLargestMdts.
constexpr std::uint32_t kDefaultMaxTransferSize = std::uint32_t{1} << 20;
constexpr std::uint8_t kLargestMdts = 12;
constexpr std::uint64_t kInitializationToken = ~std::uint64_t{0};
constexpr std::uint64_t kKeepAliveToken = kInitializationToken - 1;
constexpr std::uint16_t kAdminQueueSize = 32;            // entries
constexpr std::uint32_t kAdminInCapsuleDataSize = 8192;  // bytes, Transport 3.3.2
constexpr int kMaxDuplicateCompletions = 16;             // tolerated on one connection

}  // namespace

// A queue pair: its connection and the commands outstanding on it.
class HostQueue final : public StreamHandler {
 public:
  HostQueue(Loop& loop, Host& host, std::uint16_t queue_id, std::uint16_t queue_size)
      : loop_(loop),
        host_(host),
        queue_id_(queue_id),
        parser_(Role::kHost, kMaxPduSize),
        slots_(queue_size),
        generations_(static_cast<std::uint16_t>(0xffff / queue_size)) {
    for (std::uint16_t i = 0; i < queue_size; ++i) free_slots_.push_back(i);
    Fd fd = connect_to(host.options_.address);
    if (!fd) {
      const std::string reason = std::strerror(errno);
      loop_.defer([this, reason, alive = host.alive_] {
        if (*alive) host_.disconnect(reason);
      });
      return;
    }
    stream_ = std::make_unique<Stream>(loop, std::move(fd), *this, true);
    if (host.options_.kernel_timestamps) stream_->enable_receive_timestamps();
  }

  // A queue of n entries holds n - 1 commands (Base 3.3.1.4).
  bool can_submit() const { return free_slots_.size() > 1; }
  std::size_t outstanding() const { return dropped_ ? 0 : slots_.size() - free_slots_.size(); }
  std::size_t unsent_bytes() const { return stream_ ? stream_->unsent() : 0; }
  std::uint16_t queue_id() const { return queue_id_; }

  void submit(std::uint64_t token, Sqe sqe, SharedBytes write_data, std::uint32_t read_length,
              std::uint32_t in_capsule_data_size) {
    const std::uint16_t index = free_slots_.front();
    free_slots_.pop_front();
    Slot& slot = slots_[index];
    slot.in_use = true;
    slot.token = token;
    slot.write_data = std::move(write_data);
    slot.read_length = read_length;
    // Never FFFFh, which the Error Information log page uses for "no command" (Base 3.3.3.1).
    sqe.cid = static_cast<std::uint16_t>(slot.generation * slots_.size() + index);
    const std::size_t write_length = slot.write_data ? slot.write_data->size() : 0;
    const bool in_capsule = write_length > 0 && write_length <= in_capsule_data_size;
    slot.write_sent = in_capsule ? static_cast<std::uint32_t>(write_length) : 0;
    sqe.flags = 0x40;
    sqe.sgl_type = in_capsule ? kSglDataBlockOffset : kSglTransportDataBlock;
    sqe.sgl_length = static_cast<std::uint32_t>(write_length > 0 ? write_length : read_length);
    CapsuleCmd capsule{{}, sqe};
    capsule.header.type = static_cast<std::uint8_t>(PduType::kCapsuleCmd);
    slot.stream_offset = stream_ ? stream_->total_queued() : 0;
    if (!stream_) return;
    append_pdu(stream_->write_buffer(), bytes_of(capsule),
               in_capsule ? ByteView(*slot.write_data) : ByteView{}, digests_);
    stream_->flush();
  }

  // See Host::cancel.
  void cancel(std::uint64_t token) {
    for (Slot& slot : slots_) {
      if (!slot.in_use || slot.token != token) continue;
      slot.cancelled = true;
      slot.write_data.reset();
      release_memory(slot.read_data);
      return;
    }
  }

  // Closes the connection and completes all outstanding commands without a completion queue entry.
  void drop_commands() {
    const std::uint64_t written = stream_ ? stream_->total_written() : 0;
    if (stream_) stream_->close();
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      Slot& slot = slots_[i];
      if (!slot.in_use) continue;
      slot.in_use = false;
      Completion completion;
      completion.written = slot.stream_offset < written;
      host_.command_completed(slot.token, std::move(completion), true);
    }
    free_slots_.clear();
    dropped_ = true;
  }

  void on_connected() override {
    InitConnection ic_req;
    ic_req.header.type = static_cast<std::uint8_t>(PduType::kIcReq);
    ic_req.dgst = static_cast<std::uint8_t>((host_.options_.digests.header ? kDgstHeader : 0) |
                                            (host_.options_.digests.data ? kDgstData : 0));
    Bytes out;
    append_pdu(out, bytes_of(ic_req), {}, {});
    stream_->send(out);
  }

  std::size_t on_received(ByteView bytes) override {
    std::size_t consumed = 0;
    // Bytes left unread in the socket by the previous read may have arrived together with those read then.
    if (!std::exchange(data_unread_, !stream_->receive_buffer_drained()))
      earliest_arrival_ = loop_.earliest_arrival();
    const auto alive = host_.alive_;
    while (true) {
      std::size_t pdu_size = 0;
      std::optional<FatalError> error;
      const auto pdu = parser_.parse(bytes.subspan(consumed), pdu_size, error);
      if (error) {
        terminate_connection(*error, bytes.subspan(consumed));
        return consumed;
      }
      if (!pdu) return consumed;
      if (!handle_pdu(*pdu) || !*alive || !stream_->open()) return consumed;
      consumed += pdu_size;
    }
  }

  void on_written() override {
    if (stream_->unsent() == 0 && host_.ready_) host_.handler_.on_output_drained();
  }
  void on_closed(const std::string& reason) override { host_.disconnect(reason); }

 private:
  // An entry of the queue. Its commands take the identifiers index + generation * slots in turn.
  struct Slot {
    bool in_use = false;
    std::uint64_t token = 0;
    SharedBytes write_data;
    std::uint32_t read_length = 0;    // bytes of data that the controller may return
    std::uint32_t read_received = 0;  // bytes of them that were received
    Bytes read_data;
    std::uint32_t write_sent = 0;     // bytes of `write_data` sent in the capsule or requested by R2Ts
    std::uint64_t stream_offset = 0;  // of the capsule among all bytes sent on the connection
    std::uint16_t generation = 0;     // of the current or next command identifier
    bool wrapped = false;             // every identifier of the slot has been used
    bool cancelled = false;
    bool data_digest_error = false;  // fails the command, but not the connection (Transport 3.3.1.1)
  };

  void terminate_connection(const FatalError& error, ByteView pdu) {
    append_term_req(stream_->write_buffer(), Role::kHost, error, pdu);
    stream_->flush();
    host_.disconnect(error.text);
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
      if (type != PduType::kIcResp)
        return reject_pdu(FatalErrorStatus::kPduSequenceError, offsetof(PduHeader, type),
                          "PDU received before ICResp", pdu);
      const auto ic_resp = read_as<InitConnection>(pdu.header_bytes);
      if (ic_resp.pfv != 0)
        return reject_pdu(FatalErrorStatus::kUnsupportedParameter, offsetof(InitConnection, pfv),
                          "ICResp: PFV is not 0", pdu);
      if (ic_resp.maxr2t_or_maxh2cdata < kMinMaxH2cData)
        return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField,
                          offsetof(InitConnection, maxr2t_or_maxh2cdata), "ICResp: MAXH2CDATA is below 4096",
                          pdu);
      digests_ = {(ic_resp.dgst & kDgstHeader) != 0, (ic_resp.dgst & kDgstData) != 0};
      parser_.set_digests(digests_);
      max_h2c_data_ = ic_resp.maxr2t_or_maxh2cdata;
      initialized_ = true;
      host_.send_connect(*this);
      return true;
    }
    switch (type) {
      case PduType::kCapsuleResp:
        return handle_capsule_resp(pdu);
      case PduType::kC2hData:
        return handle_c2h_data(pdu);
      case PduType::kR2t:
        return handle_r2t(pdu);
      case PduType::kC2hTermReq: {
        const auto term_req = read_as<TermReq>(pdu.header_bytes);
        host_.disconnect("controller sent C2HTermReq with FES " + std::to_string(term_req.fes));
        return false;
      }
      default:
        return reject_pdu(FatalErrorStatus::kPduSequenceError, offsetof(PduHeader, type),
                          "ICResp received twice", pdu);
    }
  }

  // The slot of the outstanding command `cid`, or null.
  Slot* find_slot(std::uint16_t cid) {
    Slot& slot = slots_[cid % slots_.size()];
    return slot.in_use && slot.generation == cid / slots_.size() ? &slot : nullptr;
  }

  // Whether `cid` belongs to an earlier command of its slot. Such PDUs are ignored up to a limit: ending the
  // connection would leave the outcome of all outstanding commands unknown. They cannot complete a newer
  // command, since identifiers are reused as late as possible: slots in turn, each with all of its
  // generations. A broken controller may stay unnoticed up to that limit.
  bool is_duplicate(std::uint16_t cid) {
    const Slot& slot = slots_[cid % slots_.size()];
    const auto generation = cid / slots_.size();
    const bool used_before = slot.wrapped ? generation < generations_ && generation != slot.generation
                                          : generation < slot.generation;
    return used_before && ++duplicates_ <= kMaxDuplicateCompletions;
  }

  bool handle_capsule_resp(const Pdu& pdu) {
    const auto cqe = read_as<CapsuleResp>(pdu.header_bytes).cqe;
    Slot* slot = find_slot(cqe.cid);
    if (!slot && is_duplicate(cqe.cid)) return true;
    if (!slot)
      return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField,
                        offsetof(CapsuleResp, cqe) + offsetof(Cqe, cid),
                        "CapsuleResp: CID of no outstanding command", pdu);
    complete_command(*slot, cqe);
    return true;
  }

  void complete_command(Slot& slot, Cqe cqe) {
    Completion completion;
    completion.arrived = true;
    completion.written = true;
    completion.cqe = cqe;
    // A successful status with part of the data missing, in either direction, is an error.
    const bool data_missing = queue_id_ != 0 && !slot.cancelled &&
                              (slot.read_received < slot.read_length ||
                               (slot.write_data && slot.write_sent < slot.write_data->size()));
    if (slot.data_digest_error || (data_missing && completion.status().ok()))
      completion.cqe.status = status::kDataTransferError.to_field();
    completion.data = std::move(slot.read_data);
    completion.arrived_at = host_.options_.kernel_timestamps ? stream_->last_arrival_time() : loop_.now();
    completion.earliest_arrival = std::min(completion.arrived_at, earliest_arrival_);
    const auto token = slot.token;
    const auto next_generation = static_cast<std::uint16_t>((slot.generation + 1) % generations_);
    const bool wrapped = slot.wrapped || next_generation == 0;
    slot = Slot{};
    slot.generation = next_generation;
    slot.wrapped = wrapped;
    free_slots_.push_back(static_cast<std::uint16_t>(&slot - slots_.data()));
    host_.command_completed(token, std::move(completion), false);
  }

  bool handle_c2h_data(const Pdu& pdu) {
    const auto c2h_data = read_as<DataPdu>(pdu.header_bytes);
    Slot* slot = find_slot(c2h_data.cid);
    if (!slot && is_duplicate(c2h_data.cid)) return true;
    if (!slot)
      return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField, offsetof(DataPdu, cid),
                        "C2HData: CCCID of no outstanding command", pdu);
    if (c2h_data.length != pdu.data.size())
      return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField, offsetof(DataPdu, length),
                        "C2HData: DATAL differs from the data in the PDU", pdu);
    if (c2h_data.offset != slot->read_received || c2h_data.length > slot->read_length - slot->read_received)
      return reject_pdu(FatalErrorStatus::kDataTransferOutOfRange, offsetof(DataPdu, offset),
                        "C2HData: DATAO out of order or data beyond the command's length", pdu);
    if (pdu.data_digest_error) slot->data_digest_error = true;
    if (!slot->cancelled) slot->read_data.insert(slot->read_data.end(), pdu.data.begin(), pdu.data.end());
    slot->read_received += c2h_data.length;
    if ((pdu.header.flags & kFlagSuccess) != 0) {
      if ((pdu.header.flags & kFlagLastPdu) == 0)
        return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField, offsetof(PduHeader, flags),
                          "C2HData: FLAGS.SUCCESS set without LAST_PDU", pdu);
      complete_command(*slot, Cqe{0, 0, 0, queue_id_, c2h_data.cid, 0});
    }
    return true;
  }

  bool handle_r2t(const Pdu& pdu) {
    const auto r2t = read_as<DataPdu>(pdu.header_bytes);
    Slot* slot = find_slot(r2t.cid);
    if (slot && slot->cancelled) return host_.data_requested_after_cancel_ = true;
    if (!slot || !slot->write_data)
      return reject_pdu(FatalErrorStatus::kInvalidPduHeaderField, offsetof(DataPdu, cid),
                        "R2T: CCCID of no outstanding command with data to send", pdu);
    if (r2t.length == 0 || r2t.offset > slot->write_data->size() ||
        r2t.length > slot->write_data->size() - r2t.offset)
      return reject_pdu(FatalErrorStatus::kDataTransferOutOfRange, offsetof(DataPdu, offset),
                        "R2T: R2TO and R2TL outside the command's data", pdu);
    if (r2t.length > slot->write_data->size() - slot->write_sent)
      return reject_pdu(FatalErrorStatus::kDataTransferOutOfRange, offsetof(DataPdu, length),
                        "R2T: R2TL exceeds the data not yet requested", pdu);
    slot->write_sent += r2t.length;
    std::uint32_t sent = 0;
    while (sent < r2t.length) {
      const std::uint32_t length = std::min(r2t.length - sent, max_h2c_data_);
      DataPdu h2c_data;
      h2c_data.header.type = static_cast<std::uint8_t>(PduType::kH2cData);
      if (sent + length == r2t.length) h2c_data.header.flags = kFlagLastPdu;
      h2c_data.cid = r2t.cid;
      h2c_data.ttag = r2t.ttag;
      h2c_data.offset = r2t.offset + sent;
      h2c_data.length = length;
      append_pdu(stream_->write_buffer(), bytes_of(h2c_data),
                 ByteView(*slot->write_data).subspan(h2c_data.offset, length), digests_);
      sent += length;
    }
    stream_->flush();
    return true;
  }

  Loop& loop_;
  Host& host_;
  const std::uint16_t queue_id_;
  PduParser parser_;
  Digests digests_;
  std::unique_ptr<Stream> stream_;
  bool initialized_ = false;                     // ICResp was received
  bool dropped_ = false;                         // see drop_commands
  std::uint32_t max_h2c_data_ = kMinMaxH2cData;  // bytes of one H2CData PDU
  std::vector<Slot> slots_;                      // indexed by command identifier modulo their number
  const std::uint16_t generations_;              // command identifiers of each slot
  int duplicates_ = 0;
  double earliest_arrival_ = 0;           // s; lower bound of the arrival time of the bytes being processed
  bool data_unread_ = false;              // the previous read left bytes in the socket
  std::deque<std::uint16_t> free_slots_;  // indices, least recently used first
};

Host::Host(Loop& loop, HostOptions options, HostHandler& handler)
    : loop_(loop), options_(std::move(options)), handler_(handler) {
  connect_timer_ = loop_.run_at(loop_.now() + options_.connect_timeout, [this] {
    disconnect("association not established within the connect timeout");
  });
  admin_queue_ = std::make_unique<HostQueue>(loop_, *this, 0, kAdminQueueSize);
}

Host::~Host() {
  *alive_ = false;
  loop_.cancel(connect_timer_);
  loop_.cancel(keep_alive_timer_);
}

bool Host::can_submit() const { return io_queue_ ? io_queue_->can_submit() : admin_queue_->can_submit(); }
std::size_t Host::outstanding() const { return io_queue_ ? io_queue_->outstanding() : 0; }
std::size_t Host::unsent_bytes() const {
  return io_queue_ ? io_queue_->unsent_bytes() : admin_queue_->unsent_bytes();
}

void Host::submit(std::uint64_t token, Sqe sqe, SharedBytes write_data, std::uint32_t read_length) {
  if (!io_queue_) return submit_admin(token, sqe, std::move(write_data), read_length);
  io_queue_->submit(token, sqe, std::move(write_data), read_length, in_capsule_data_size_);
}

void Host::submit_admin(std::uint64_t token, Sqe sqe, SharedBytes write_data, std::uint32_t read_length) {
  admin_queue_->submit(token, sqe, std::move(write_data), read_length, kAdminInCapsuleDataSize);
}

void Host::cancel(std::uint64_t token) {
  if (io_queue_) io_queue_->cancel(token);
}

void Host::close(const std::string& reason) { disconnect(reason); }

void Host::disconnect(const std::string& reason) {
  if (disconnected_) return;
  disconnected_ = true;
  ready_ = false;
  loop_.cancel(connect_timer_);
  loop_.cancel(keep_alive_timer_);
  loop_.defer([this, reason, alive = alive_] {
    if (!*alive) return;
    if (io_queue_) io_queue_->drop_commands();
    if (!*alive) return;
    admin_queue_->drop_commands();
    if (*alive) handler_.on_disconnected(reason);
  });
}

void Host::command_completed(std::uint64_t token, Completion&& completion, bool dropped) {
  if (token == kInitializationToken) {
    if (!dropped && !disconnected_) continue_initialization(completion);
  } else if (token == kKeepAliveToken) {
    keep_alive_outstanding_ = false;
  } else {
    handler_.on_completed(token, std::move(completion));
  }
}

// Sends the Connect command of a queue whose connection is initialized (Base 6.3).
void Host::send_connect(HostQueue& queue) {
  Sqe sqe;
  sqe.opcode = opcode::kFabrics;
  sqe.nsid = fabrics::kConnect;
  const std::uint16_t queue_size = queue.queue_id() == 0 ? kAdminQueueSize : options_.io_queue_size;
  sqe.cdw10 = static_cast<std::uint32_t>(queue.queue_id()) << 16;  // RECFMT 0, QID
  sqe.cdw11 = static_cast<std::uint32_t>(queue_size - 1);          // SQSIZE (0's based), CATTR 0
  // KATO in ms
  sqe.cdw12 = queue.queue_id() == 0 ? static_cast<std::uint32_t>(options_.keep_alive_timeout * 1000) : 0;
  ConnectData connect_data;
  connect_data.cntlid = cntlid_;
  put_text(connect_data.subnqn, options_.subnqn);
  put_text(connect_data.hostnqn, options_.hostnqn);
  const auto bytes = bytes_of(connect_data);
  queue.submit(kInitializationToken, sqe, std::make_shared<const Bytes>(bytes.begin(), bytes.end()), 0,
               kAdminInCapsuleDataSize);
}

// Sends the next command of controller initialization (Base 3.5.1, Transport 3.2) after the previous one
// completed.
void Host::continue_initialization(const Completion& completion) {
  const Status status = completion.status();
  if (!status.ok()) return disconnect("controller initialization failed: " + status.text());
  Sqe sqe;
  switch (init_step_) {
    case InitStep::kAdminConnect:
      cntlid_ = static_cast<std::uint16_t>(completion.cqe.dw0);
      sqe.opcode = opcode::kFabrics;
      sqe.nsid = fabrics::kPropertySet;
      sqe.cdw11 = property::kCc;
      sqe.cdw12 = kCcEnabled;
      init_step_ = InitStep::kEnable;
      return submit_admin(kInitializationToken, sqe, nullptr, 0);
    case InitStep::kPollReady:
      if ((completion.cqe.dw0 & kCstsReady) != 0) {
        sqe.opcode = opcode::kIdentify;
        sqe.cdw10 = kIdentifyCnsController;
        init_step_ = InitStep::kIdentify;
        return submit_admin(kInitializationToken, sqe, nullptr, kIdentifyDataSize);
      }
      [[fallthrough]];
    case InitStep::kEnable:
      sqe.opcode = opcode::kFabrics;
      sqe.nsid = fabrics::kPropertyGet;
      sqe.cdw11 = property::kCsts;
      init_step_ = InitStep::kPollReady;
      return submit_admin(kInitializationToken, sqe, nullptr, 0);
    case InitStep::kIdentify: {
      if (completion.data.size() != kIdentifyDataSize)
        return disconnect("Identify Controller returned " + std::to_string(completion.data.size()) +
                          " of 4096 bytes");
      const std::uint8_t mdts = completion.data[identify_offset::kMdts];
      max_transfer_size_ =
          mdts == 0 || mdts > kLargestMdts ? kDefaultMaxTransferSize : std::uint32_t{4096} << mdts;
      const auto ioccsz = read_as<std::uint32_t>(
          ByteView(completion.data).subspan(identify_offset::kIoccsz));  // 16 bytes each
      in_capsule_data_size_ = ioccsz >= 4 ? ioccsz * 16 - kSqeSize : 0;
      if (options_.io_queue_size == 0) return become_ready();
      sqe.opcode = opcode::kSetFeatures;
      sqe.cdw10 = kFeatureNumberOfQueues;
      sqe.cdw11 = 0;  // NSQR and NCQR: one each, 0's based
      init_step_ = InitStep::kNumberOfQueues;
      return submit_admin(kInitializationToken, sqe, nullptr, 0);
    }
    case InitStep::kNumberOfQueues:
      init_step_ = InitStep::kIoConnect;
      io_queue_ = std::make_unique<HostQueue>(loop_, *this, 1, options_.io_queue_size);
      return;
    case InitStep::kIoConnect:
      return become_ready();
    case InitStep::kDone:
      return;
  }
}

void Host::become_ready() {
  init_step_ = InitStep::kDone;
  ready_ = true;
  loop_.cancel(connect_timer_);
  if (options_.keep_alive_timeout > 0) {
    keep_alive_timer_ =
        loop_.run_at(loop_.now() + options_.keep_alive_timeout / 3, [this] { send_keep_alive(); });
  }
  handler_.on_ready();
}

// Sends a Keep Alive command every keep alive timeout. Disconnects if the previous one has not completed.
void Host::send_keep_alive() {
  if (keep_alive_outstanding_) return disconnect("no completion of Keep Alive within the keep alive timeout");
  keep_alive_outstanding_ = true;
  Sqe sqe;
  sqe.opcode = opcode::kKeepAlive;
  submit_admin(kKeepAliveToken, sqe, nullptr, 0);
  keep_alive_timer_ = loop_.run_at(loop_.now() + options_.keep_alive_timeout, [this] { send_keep_alive(); });
}

}  // namespace heronworks::nvme
