// The controller's end: see target.h.
#include "nvme/target.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace heronworks::nvme {
namespace {

constexpr std::uint32_t kMostData = std::uint32_t{128} << 10;  // MAXH2CDATA
constexpr std::size_t kMostUnsent = std::size_t{2} << 20;      // answers waiting at which reading stops
constexpr std::size_t kMostGathered = std::size_t{4} << 20;    // bytes of writes under way on one connection
constexpr std::size_t kMostEvents = 4;                         // event requests out, AERL + 1
constexpr std::uint16_t kAdminSize = 32;

}  // namespace

class TargetConnection final : public StreamHandler {
 public:
  TargetConnection(Target& target, ConnectionId id, Fd fd)
      : target_(target),
        id_(id),
        peer_(peer_address(fd.get())),
        framing_(End::kController, kMostData + target.options_.in_capsule + 1024),
        stream_(target.loop_, std::move(fd), *this) {
    if (target.options_.arrival == Arrival::kMarked) stream_.enable_receive_timestamps();
    watchdog_ = target.loop_.run_at(target.loop_.now() + target.options_.bring_up_time, [this] { watch(); });
  }
  ~TargetConnection() override { target_.loop_.cancel(watchdog_); }

  std::size_t on_received(View bytes) override {
    std::size_t done = 0;
    heard_at_ = target_.loop_.now();
    // What waited unread is as old as when it began to wait.
    came_at_ = backlog_since_ >= 0 ? std::min(backlog_since_, arrival()) : arrival();
    while (!gone_) {
      std::size_t used = 0;
      std::optional<FatalError> error;
      const auto pdu = framing_.next(bytes.subspan(done), used, error);
      if (error) {
        terminate(*error, bytes.subspan(done));
        break;
      }
      if (!pdu) break;
      if (up_ && static_cast<PduType>(pdu->header.type) == PduType::kCapsuleCmd && must_wait()) {
        waiting_ = true;
        stream_.pause(true);
        break;
      }
      if (!take(*pdu)) break;
      done += used;
    }
    backlog_since_ = waiting_ || !stream_.receive_buffer_drained() ? came_at_ : -1;
    return done;
  }

  void on_written() override { maybe_resume(); }

  void on_closed(const std::string&) override { end(); }

  void complete(std::uint16_t cid, Status status, std::uint64_t result, View data) {
    const auto found = out_.find(cid);
    if (found == out_.end()) return;
    const std::uint32_t most = found->second.in_most;
    gathered_ -= found->second.data.size();
    out_.erase(found);
    if (status.ok() && !data.empty()) {
      data = data.first(std::min<std::size_t>(data.size(), most));
      DataPdu d;
      d.header.type = static_cast<std::uint8_t>(PduType::kC2hData);
      d.header.flags = kLastPdu;
      d.cid = cid;
      d.length = static_cast<std::uint32_t>(data.size());
      append_pdu(stream_.write_buffer(), bytes_of(d), data, digests_);
    }
    CapsuleResp r;
    r.header.type = static_cast<std::uint8_t>(PduType::kCapsuleResp);
    r.cqe.dw0 = static_cast<std::uint32_t>(result);
    r.cqe.dw1 = static_cast<std::uint32_t>(result >> 32);
    r.cqe.sq_head = ++head_;
    r.cqe.cid = cid;
    r.cqe.status = status.field();
    append_pdu(stream_.write_buffer(), bytes_of(r), {}, digests_);
    stream_.flush();
    ask_for_more();
    maybe_resume();
  }

  void notify(std::uint32_t event) {
    if (!admin_ || !up_) return;
    if (events_.empty()) {
      missed_ = event;
      return;
    }
    const auto cid = events_.front();
    events_.pop_front();
    complete(cid, status::kOk, event, {});
  }

  // Taken out of the target's table in a deferred action, so that it may be called from anywhere.
  void end() {
    if (gone_) return;
    gone_ = true;
    stream_.close();
    target_.loop_.defer([&target = target_, id = id_, alive = target_.alive_] {
      if (*alive) target.drop(id);
    });
  }

  bool admin() const { return admin_; }
  std::uint16_t controller() const { return controller_; }
  std::size_t unsent() const { return stream_.unsent(); }
  bool gone() const { return gone_; }

 private:
  struct Out {
    Sqe sqe;
    Bytes data;
    std::uint32_t want = 0;  // bytes of data that the host is to send
    std::uint32_t got = 0;
    std::uint32_t asked = 0;
    std::uint32_t in_most = 0;
    double at = 0;
    bool broken = false;
  };

  double arrival() const {
    switch (target_.options_.arrival) {
      case Arrival::kMarked:
        return stream_.last_arrival_time();
      case Arrival::kEarliest:
        return target_.loop_.earliest_arrival();
      default:
        return target_.loop_.now();
    }
  }

  bool must_wait() const {
    return out_.size() - events_.size() >= (admin_ || !admitted_ ? kAdminSize : size_) ||
           stream_.unsent() > kMostUnsent;
  }

  void maybe_resume() {
    if (!waiting_ || must_wait() || gone_) return;
    waiting_ = false;
    stream_.pause(false);
  }

  // Half-open peers and slow senders: not up in time, or silent for longer than they promised.
  void watch() {
    const double now = target_.loop_.now();
    const double allowed = admitted_ ? keep_alive_ : target_.options_.bring_up_time;
    if (admitted_ && keep_alive_ <= 0) return;
    if (!waiting_ && now - heard_at_ >= allowed) return end();
    watchdog_ = target_.loop_.run_at(std::max(heard_at_ + allowed, now + 0.1), [this] { watch(); });
  }

  void terminate(const FatalError& error, View pdu) {
    append_term(stream_.write_buffer(), End::kController, error, pdu);
    stream_.flush();
    end();
  }
  bool refuse(Fatal status, std::uint32_t field, const char* text, const Pdu& pdu) {
    terminate({status, field, text}, pdu.head);
    return false;
  }

  // False: the connection has ended.
  bool take(const Pdu& pdu) {
    const auto type = static_cast<PduType>(pdu.header.type);
    if (!up_) {
      if (type != PduType::kIcReq) return refuse(Fatal::kSequence, 0, "a PDU before ICReq", pdu);
      const auto ic = read_as<InitConnection>(pdu.head);
      if (ic.format != 0) return refuse(Fatal::kUnsupported, 8, "PDU format version not supported", pdu);
      if (ic.alignment != 0) return refuse(Fatal::kUnsupported, 10, "HPDA other than 0", pdu);
      digests_ = {(ic.digests & 1) != 0, (ic.digests & 2) != 0};
      InitConnection answer;
      answer.header.type = static_cast<std::uint8_t>(PduType::kIcResp);
      answer.digests = static_cast<std::uint8_t>(ic.digests & 3);
      answer.most = kMostData;
      append_pdu(stream_.write_buffer(), bytes_of(answer), {}, {});
      stream_.flush();
      framing_.set_digests(digests_);
      up_ = true;
      return true;
    }
    switch (type) {
      case PduType::kCapsuleCmd:
        return capsule(pdu);
      case PduType::kH2cData:
        return data(pdu);
      case PduType::kH2cTermReq:
        end();
        return false;
      default:
        return refuse(Fatal::kSequence, 0, "a PDU out of turn", pdu);
    }
  }

  bool capsule(const Pdu& pdu) {
    const Sqe c = read_as<CapsuleCmd>(pdu.head).sqe;
    if (out_.contains(c.cid)) {
      // Danger: an identifier in use again. The first command stands; the second gets the error that the
      // specification has for it, under the same identifier, and has no effect.
      CapsuleResp r;
      r.header.type = static_cast<std::uint8_t>(PduType::kCapsuleResp);
      r.cqe.cid = c.cid;
      r.cqe.sq_head = ++head_;
      r.cqe.status = status::kIdConflict.field();
      append_pdu(stream_.write_buffer(), bytes_of(r), {}, digests_);
      stream_.flush();
      return true;
    }
    Out& o = out_[c.cid];
    o.sqe = c;
    o.at = came_at_;
    const bool io = admitted_ && !admin_ && c.opcode != opcode::kFabrics;
    const bool sends = io ? c.opcode == opcode::kWrite || c.opcode == opcode::kZoneAppend
                          : c.opcode == opcode::kFabrics && c.fabrics_type() == fabrics::kConnect;
    const std::uint32_t most = std::uint32_t{4096} << target_.options_.mdts;
    const bool has_place = c.sgl_type == kSglTransport || (c.sgl_type == kSglInCapsule && sends);
    if (!has_place && c.sgl_length > 0) {
      complete(c.cid, status::kInvalidSgl, 0, {});
      return true;
    }
    if (!sends) {
      o.in_most = c.sgl_type == kSglTransport ? c.sgl_length : 0;
      run(c.cid);
      return !gone_;
    }
    if (c.sgl_length > most) {
      complete(c.cid, status::kInvalidField, 0, {});
      return true;
    }
    o.want = c.sgl_length;
    if (c.sgl_type == kSglInCapsule) {
      if (c.sgl_address != 0 || c.sgl_length != pdu.data.size() || pdu.data_digest_wrong) {
        complete(c.cid, pdu.data_digest_wrong ? status::kDataTransfer : status::kInvalidSgl, 0, {});
        return true;
      }
      o.data.assign(pdu.data.begin(), pdu.data.end());
      o.got = o.asked = o.want;
      gathered_ += o.want;
      run(c.cid);
      return !gone_;
    }
    queue_.push_back(c.cid);
    ask_for_more();
    return !gone_;
  }

  // Asks for the data of waiting writes, as far as the bound on gathered bytes allows; one at least.
  void ask_for_more() {
    while (!queue_.empty() && !gone_) {
      const auto cid = queue_.front();
      const auto found = out_.find(cid);
      if (found == out_.end()) {
        queue_.pop_front();
        continue;
      }
      Out& o = found->second;
      if (gathered_ > 0 && gathered_ + o.want > kMostGathered) return;
      queue_.pop_front();
      if (o.want == 0) {
        run(cid);
        continue;
      }
      o.data.resize(o.want);
      o.asked = o.want;
      gathered_ += o.want;
      DataPdu r;
      r.header.type = static_cast<std::uint8_t>(PduType::kR2t);
      r.cid = cid;
      r.ttag = cid;
      r.length = o.want;
      append_pdu(stream_.write_buffer(), bytes_of(r), {}, digests_);
      stream_.flush();
    }
  }

  bool data(const Pdu& pdu) {
    const auto d = read_as<DataPdu>(pdu.head);
    const auto found = out_.find(d.cid);
    // Danger: data of no bytes after the last would run the write once more, without its data.
    if (found == out_.end() || found->second.got == found->second.asked || d.ttag != d.cid)
      return refuse(Fatal::kInvalidHeaderField, found == out_.end() ? 8 : 10, "data that was not asked for",
                    pdu);
    Out& o = found->second;
    if (d.length != pdu.data.size()) return refuse(Fatal::kInvalidHeaderField, 16, "DATAL against PLEN", pdu);
    if (d.offset != o.got || d.length > o.want - o.got)
      return refuse(Fatal::kOutOfRange, 12, "data outside what was asked for", pdu);
    if (d.length > kMostData) return refuse(Fatal::kLimitExceeded, 16, "more than MAXH2CDATA", pdu);
    std::copy(pdu.data.begin(), pdu.data.end(), o.data.begin() + o.got);
    if (pdu.data_digest_wrong) o.broken = true;
    o.got += d.length;
    if (o.got < o.want) return true;
    if (o.broken) {
      complete(d.cid, status::kDataTransfer, 0, {});
    } else {
      run(d.cid);
    }
    return !gone_;
  }

  void run(std::uint16_t cid) {
    Out& o = out_[cid];
    const Sqe c = o.sqe;
    if (c.opcode == opcode::kFabrics) return fabrics_command(cid, c, o.data);
    if (!admitted_ || (admin_ && !enabled_ && c.opcode != opcode::kKeepAlive))
      return complete(cid, status::kSequence, 0, {});
    if (admin_) return admin_command(cid, c);
    if (c.opcode != opcode::kRead && c.opcode != opcode::kWrite && c.opcode != opcode::kFlush &&
        c.opcode != opcode::kZoneAppend)
      return complete(cid, status::kInvalidOpcode, 0, {});
    Command command;
    command.connection = id_;
    command.sqe = c;
    command.at = o.at;
    gathered_ -= o.data.size();
    command.data = std::move(o.data);
    o.data.clear();
    target_.backend_.command(std::move(command));
  }

  void fabrics_command(std::uint16_t cid, const Sqe& c, const Bytes& data) {
    const std::uint32_t offset = c.cdw11;
    if (c.fabrics_type() == fabrics::kConnect) return connect(cid, c, data);
    if (!admitted_ || !admin_) return complete(cid, status::kSequence, 0, {});
    if (c.fabrics_type() == fabrics::kPropertyGet) {
      std::uint64_t value = 0;
      if (offset == property::kCap) value = 0x0000002000000000ULL | 1U << 16 | 127U;  // NVM set, CQR, MQES
      else if (offset == property::kVersion) value = 0x00020000;
      else if (offset == property::kCc) value = enabled_ ? 0x00460001 : 0;
      else if (offset == property::kCsts) value = enabled_ ? 1 : 0;
      else return complete(cid, status::kInvalidField, 0, {});
      return complete(cid, status::kOk, value, {});
    }
    if (c.fabrics_type() == fabrics::kPropertySet) {
      if (offset != property::kCc) return complete(cid, status::kInvalidField, 0, {});
      enabled_ = (c.cdw12 & 1) != 0;
      return complete(cid, status::kOk, 0, {});
    }
    complete(cid, status::kInvalidOpcode, 0, {});
  }

  void connect(std::uint16_t cid, const Sqe& c, const Bytes& data) {
    if (admitted_) return complete(cid, status::kSequence, 0, {});
    if ((c.cdw10 & 0xffff) != 0) return complete(cid, status::kConnectFormat, 0, {});
    if (data.size() != sizeof(ConnectData)) return complete(cid, status::kConnectInvalid, 0, {});
    const auto d = read_as<ConnectData>(data);
    const auto queue = static_cast<std::uint16_t>(c.cdw10 >> 16);
    const auto size = static_cast<std::uint32_t>((c.cdw11 & 0xffff) + 1);
    if (get_text(d.subsystem) != target_.options_.subsystem)
      return complete(cid, status::kConnectInvalid, 0, {});
    if (queue == 0) {
      // Identifiers go round; one still in use is passed over.
      do {
        target_.last_controller_ = static_cast<std::uint16_t>(target_.last_controller_ % 0xffef + 1);
      } while (target_.associations_.contains(target_.last_controller_));
      controller_ = target_.last_controller_;
      target_.associations_[controller_] = {get_text(d.host), id_};
      admin_ = true;
      keep_alive_ = 1.5e-3 * c.cdw12;
    } else {
      const auto a = target_.associations_.find(d.controller);
      if (a == target_.associations_.end() || a->second.host != get_text(d.host) || queue != 1 || size < 2 ||
          size > target_.options_.queue_size)
        return complete(cid, status::kConnectInvalid, 0, {});
      controller_ = d.controller;
      size_ = size - 1;
    }
    admitted_ = true;
    target_.loop_.cancel(watchdog_);
    if (keep_alive_ > 0) {
      watchdog_ = target_.loop_.run_at(target_.loop_.now() + keep_alive_, [this] { watch(); });
    }
    target_.backend_.admitted(id_, get_text(d.host), admin_, peer_);
    complete(cid, status::kOk, controller_, {});
  }

  void admin_command(std::uint16_t cid, const Sqe& c) {
    switch (c.opcode) {
      case opcode::kKeepAlive:
        return complete(cid, status::kOk, 0, {});
      case opcode::kIdentify: {
        Bytes page(4096);
        const auto cns = static_cast<std::uint8_t>(c.cdw10);
        if (cns == 1) describe(page);
        const Status s =
            target_.backend_.identify(cns, static_cast<std::uint8_t>(c.cdw11 >> 24), c.nsid, page);
        return complete(cid, s, 0, page);
      }
      case opcode::kSetFeatures:
        if ((c.cdw10 & 0xff) != kFeatureQueues) return complete(cid, status::kInvalidField, 0, {});
        return complete(cid, status::kOk, 0, {});
      case opcode::kGetLogPage: {
        const std::uint64_t words = (c.cdw10 >> 16 | static_cast<std::uint64_t>(c.cdw11 & 0xffff) << 16) + 1;
        const std::uint64_t offset = c.cdw12 | static_cast<std::uint64_t>(c.cdw13) << 32;
        const std::uint64_t most = std::uint64_t{4096} << target_.options_.mdts;
        if (words * 4 > most || offset % 4 != 0) return complete(cid, status::kInvalidField, 0, {});
        return target_.backend_.log_page(id_, cid, static_cast<std::uint8_t>(c.cdw10), offset,
                                         static_cast<std::uint32_t>(words * 4));
      }
      case opcode::kAsyncEvent:
        if (events_.size() >= kMostEvents) return complete(cid, status::kAsyncLimit, 0, {});
        events_.push_back(cid);
        if (missed_ != 0) notify(std::exchange(missed_, 0));
        return;
      default:
        return complete(cid, status::kInvalidOpcode, 0, {});
    }
  }

  // Identify Controller, Base 5.17.2.1.
  void describe(Bytes& page) {
    const auto put = [&](std::size_t at, auto value) { std::memcpy(page.data() + at, &value, sizeof value); };
    std::memset(page.data() + 4, ' ', 68);
    std::memcpy(page.data() + 24, "heronworks", 10);
    page[77] = target_.options_.mdts;
    put(78, controller_);
    put(80, std::uint32_t{0x00020000});
    put(92, std::uint32_t{0x80000000});  // OAES: discovery log change
    page[111] = 1;                       // CNTRLTYPE: I/O controller
    const double unit = std::max(1.0, std::ceil(target_.options_.retry_delay * 10));
    for (std::size_t i = 0; i < 3; ++i) {  // CRDT1 to 3, in 100 ms
      put(128 + 2 * i, static_cast<std::uint16_t>(std::min(unit * std::pow(4, i), 65535.0)));
    }
    page[259] = kMostEvents - 1;
    put(320, std::uint16_t{1});  // KAS, in 100 ms
    page[512] = 0x66;
    page[513] = 0x44;
    put(514, target_.options_.queue_size);
    put(536, std::uint32_t{0x00100001});  // SGLS, with the offset form
    put(768, std::array<char, 256>{});
    std::memcpy(page.data() + 768, target_.options_.subsystem.data(),
                std::min<std::size_t>(target_.options_.subsystem.size(), 223));
    put(1792, static_cast<std::uint32_t>((64 + target_.options_.in_capsule) / 16));
    put(1796, std::uint32_t{1});
    page[1803] = 1;
  }

  Target& target_;
  const ConnectionId id_;
  const Address peer_;
  Framing framing_;
  Stream stream_;
  Digests digests_;
  bool up_ = false;
  bool admitted_ = false;
  bool admin_ = false;
  bool enabled_ = false;
  bool gone_ = false;
  bool waiting_ = false;
  double keep_alive_ = 0;
  double heard_at_ = target_.loop_.now();
  double came_at_ = 0;         // of what is being taken
  double backlog_since_ = -1;  // below 0: nothing waits unread
  Loop::TimerId watchdog_ = 0;
  std::uint16_t controller_ = 0;
  std::uint32_t size_ = 1;
  std::uint16_t head_ = 0;
  std::unordered_map<std::uint16_t, Out> out_;  // by identifier; bounded by the queue's size
  std::deque<std::uint16_t> queue_;             // writes whose data was not asked for yet
  std::size_t gathered_ = 0;
  std::deque<std::uint16_t> events_;  // event requests out
  std::uint32_t missed_ = 0;
};

Target::Target(Loop& loop, Fd listener, TargetOptions options, Backend& backend)
    : loop_(loop), options_(std::move(options)), backend_(backend) {
  listener_ =
      std::make_unique<Listener>(loop, std::move(listener), [this](Fd fd) { accepted(std::move(fd)); });
}

Target::~Target() { *alive_ = false; }

// Over the bound a connection is closed at once: its client sees that it is not let in and waits.
void Target::accepted(Fd fd) {
  if (connections_.size() >= options_.most_connections) return;
  const ConnectionId id = ++last_connection_;
  connections_.emplace(id, std::make_unique<TargetConnection>(*this, id, std::move(fd)));
}

bool Target::complete(ConnectionId connection, std::uint16_t cid, Status status, std::uint64_t result,
                      View data) {
  const auto c = connections_.find(connection);
  if (c == connections_.end() || c->second->gone()) return false;
  c->second->complete(cid, status, result, data);
  return true;
}

void Target::notify(std::uint32_t event) {
  for (auto& [id, c] : connections_) {
    if (!c->gone()) c->notify(event);
  }
}

void Target::reset(ConnectionId connection) {
  if (const auto c = connections_.find(connection); c != connections_.end()) c->second->end();
}

void Target::reset_all() {
  for (auto& [id, c] : connections_) c->end();
}

std::size_t Target::unsent() const {
  std::size_t sum = 0;
  for (const auto& [id, c] : connections_) sum += c->unsent();
  return sum;
}

void Target::drop(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const bool admin = found->second->admin();
  const auto controller = found->second->controller();
  connections_.erase(found);
  if (admin) {  // an association ends with its admin queue (Base 3.3.2.2)
    associations_.erase(controller);
    for (auto& [other, c] : connections_) {
      if (!c->admin() && c->controller() == controller && controller != 0) c->end();
    }
  }
  backend_.closed(id);
}

}  // namespace heronworks::nvme
