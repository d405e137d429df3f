// The host's end: see host.h.
#include "nvme/host.h"

#include <algorithm>

namespace heronworks::nvme {
namespace {

constexpr std::uint32_t kMostPdu = std::uint32_t{2} << 20;  // a C2HData PDU longer than this is an error
constexpr std::uint64_t kInternal = ~std::uint64_t{0};      // tokens of the association's own commands
constexpr std::uint64_t kBeat = kInternal - 1;
constexpr std::uint16_t kAdminDepth = 32;
constexpr int kMostRepeats = 16;  // completions that came twice at which a connection is not worth keeping
constexpr std::uint32_t kAdminCapsule = 8192;  // Transport 3.3.2: admin commands may carry so much

}  // namespace

// One queue: its connection and the commands out on it.
class HostQueue final : public StreamHandler {
 public:
  HostQueue(Loop& loop, Host& host, std::uint16_t id, std::uint16_t depth)
      : loop_(loop),
        host_(host),
        id_(id),
        framing_(End::kHost, kMostPdu),
        slots_(depth),
        generations_(static_cast<std::uint16_t>(0xffff / depth)) {
    for (std::uint16_t i = 0; i < depth; ++i) free_.push_back(i);
    Fd fd = connect_to(host.options_.address);
    if (!fd) {
      const std::string reason = std::strerror(errno);
      loop_.defer([this, reason, alive = host.alive_] {
        if (*alive) host_.queue_lost(reason);
      });
      return;
    }
    stream_ = std::make_unique<Stream>(loop, std::move(fd), *this, true);
    if (host.options_.mark_arrivals) stream_->enable_receive_timestamps();
  }

  bool up() const { return up_; }
  // A queue of n entries holds n - 1 commands (Base 3.3.1.4).
  bool has_room() const { return free_.size() > 1; }
  std::size_t out() const { return down_ ? 0 : slots_.size() - free_.size(); }
  std::size_t unsent() const { return stream_ ? stream_->unsent() : 0; }
  std::uint16_t id() const { return id_; }

  void submit(std::uint64_t token, Sqe sqe, SharedBytes data, std::uint32_t in, std::uint32_t capsule) {
    const std::uint16_t place = free_.front();
    free_.pop_front();
    Slot& s = slots_[place];
    s.used = true;
    s.token = token;
    s.out = std::move(data);
    s.in_most = in;
    // FFFFh stays unused, as the error log means something else by it (Base 3.3.3.1).
    sqe.cid = static_cast<std::uint16_t>(s.generation * slots_.size() + place);
    const std::size_t length = s.out ? s.out->size() : 0;
    const bool inside = length > 0 && length <= capsule;
    s.given = inside ? static_cast<std::uint32_t>(length) : 0;
    sqe.flags = 0x40;
    sqe.sgl_type = inside ? kSglInCapsule : kSglTransport;
    sqe.sgl_length = static_cast<std::uint32_t>(length > 0 ? length : in);
    CapsuleCmd c{{}, sqe};
    c.header.type = static_cast<std::uint8_t>(PduType::kCapsuleCmd);
    s.starts_at = stream_ ? stream_->total_queued() : 0;
    if (!stream_) return;
    append_pdu(stream_->write_buffer(), bytes_of(c), inside ? View(*s.out) : View{}, digests_);
    stream_->flush();
  }

  // Nobody waits for it any more: its data is let go and not sent, and what comes for it is passed over.
  void withdraw(std::uint64_t token) {
    for (Slot& s : slots_) {
      if (!s.used || s.token != token) continue;
      s.withdrawn = true;
      s.out.reset();
      s.in = {};
      return;
    }
  }

  // Completes all that is out without arrival.
  void drop_all() {
    const std::uint64_t written = stream_ ? stream_->total_written() : 0;
    if (stream_) stream_->close();
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      Slot& s = slots_[i];
      if (!s.used) continue;
      s.used = false;
      Completion c;
      c.written = s.starts_at < written;
      host_.finished(s.token, std::move(c), true);
    }
    free_.clear();
    down_ = true;
  }

  void on_connected() override {
    InitConnection ic;
    ic.header.type = static_cast<std::uint8_t>(PduType::kIcReq);
    ic.digests = static_cast<std::uint8_t>((host_.options_.digests.header ? 1 : 0) |
                                           (host_.options_.digests.data ? 2 : 0));
    Bytes out;
    append_pdu(out, bytes_of(ic), {}, {});
    stream_->send(out);
  }

  std::size_t on_received(View bytes) override {
    std::size_t done = 0;
    // What was left unread may have come with what was read before it.
    if (!std::exchange(behind_, !stream_->receive_buffer_drained())) since_ = loop_.earliest_arrival();
    const auto alive = host_.alive_;
    while (true) {
      std::size_t used = 0;
      std::optional<FatalError> error;
      const auto pdu = framing_.next(bytes.subspan(done), used, error);
      if (error) {
        terminate(*error, bytes.subspan(done));
        return done;
      }
      if (!pdu) return done;
      if (!take(*pdu) || !*alive || !stream_->open()) return done;
      done += used;
    }
  }

  void on_written() override {
    if (stream_->unsent() == 0 && host_.ready_) host_.owner_.progressed();
  }
  void on_closed(const std::string& reason) override { host_.queue_lost(reason); }

 private:
  struct Slot {
    bool used = false;
    std::uint64_t token = 0;
    SharedBytes out;
    std::uint32_t in_most = 0;
    std::uint32_t in_done = 0;
    Bytes in;
    std::uint32_t given = 0;  // bytes of `out` that went, within the capsule or asked for
    std::uint64_t starts_at = 0;
    std::uint16_t generation = 0;  // of its identifier, from one command to the next
    bool wrapped = false;          // it has had all of them
    bool withdrawn = false;
    bool broken = false;  // a data digest was wrong: the command fails, the connection stands
  };

  void terminate(const FatalError& error, View pdu) {
    append_term(stream_->write_buffer(), End::kHost, error, pdu);
    stream_->flush();
    host_.queue_lost(error.text);
  }

  bool refuse(Fatal status, std::uint32_t field, const char* text, const Pdu& pdu) {
    terminate({status, field, text}, pdu.head);
    return false;
  }

  bool take(const Pdu& pdu) {
    const auto type = static_cast<PduType>(pdu.header.type);
    if (!up_) {
      if (type != PduType::kIcResp) return refuse(Fatal::kSequence, 0, "a PDU before ICResp", pdu);
      const auto ic = read_as<InitConnection>(pdu.head);
      if (ic.format != 0) return refuse(Fatal::kUnsupported, 8, "PDU format version not supported", pdu);
      if (ic.most < 4096) return refuse(Fatal::kInvalidHeaderField, 12, "MAXH2CDATA under 4096", pdu);
      digests_ = {(ic.digests & 1) != 0, (ic.digests & 2) != 0};
      framing_.set_digests(digests_);
      most_data_ = ic.most;
      up_ = true;
      host_.queue_up(*this);
      return true;
    }
    switch (type) {
      case PduType::kCapsuleResp:
        return response(pdu);
      case PduType::kC2hData:
        return data(pdu);
      case PduType::kR2t:
        return ready_to_transfer(pdu);
      case PduType::kC2hTermReq: {
        const auto t = read_as<TermReq>(pdu.head);
        host_.queue_lost("the controller ended the connection, status " + std::to_string(t.status));
        return false;
      }
      default:
        return refuse(Fatal::kSequence, 0, "a PDU out of turn", pdu);
    }
  }

  Slot* slot(std::uint16_t cid) {
    Slot& s = slots_[cid % slots_.size()];
    return s.used && s.generation == cid / slots_.size() ? &s : nullptr;
  }

  // Danger: a completion that comes twice ends the next command under its identifier, whose work never ran;
  // or it ends the connection and leaves the fate of all that is out unknown. So each place takes a new
  // identifier for each command, the places take turns, and what comes for one that a place has had is passed
  // over. May hide a broken controller for a while.
  bool repeated(std::uint16_t cid) {
    const Slot& s = slots_[cid % slots_.size()];
    const auto generation = cid / slots_.size();
    const bool had =
        s.wrapped ? generation < generations_ && generation != s.generation : generation < s.generation;
    return had && ++repeats_ <= kMostRepeats;
  }

  bool response(const Pdu& pdu) {
    const auto cqe = read_as<CapsuleResp>(pdu.head).cqe;
    Slot* s = slot(cqe.cid);
    if (!s && repeated(cqe.cid)) return true;
    if (!s) return refuse(Fatal::kInvalidHeaderField, 20, "a completion for no command", pdu);
    finish(*s, cqe);
    return true;
  }

  void finish(Slot& s, Cqe cqe) {
    Completion c;
    c.arrived = true;
    c.written = true;
    c.cqe = cqe;
    // Danger: a success with less data than it needs, either way, passes for honoured.
    const bool lacks =
        id_ != 0 && !s.withdrawn && (s.in_done < s.in_most || (s.out && s.given < s.out->size()));
    if (s.broken || (lacks && c.status().ok())) c.cqe.status = status::kDataTransfer.field();
    c.data = std::move(s.in);
    c.at = host_.options_.mark_arrivals ? stream_->last_arrival_time() : loop_.now();
    c.since = std::min(c.at, since_);
    const auto token = s.token;
    const auto next = static_cast<std::uint16_t>((s.generation + 1) % generations_);
    const bool wrapped = s.wrapped || next == 0;
    s = Slot{};
    s.generation = next;
    s.wrapped = wrapped;
    free_.push_back(static_cast<std::uint16_t>(&s - slots_.data()));
    host_.finished(token, std::move(c), false);
  }

  bool data(const Pdu& pdu) {
    const auto d = read_as<DataPdu>(pdu.head);
    Slot* s = slot(d.cid);
    if (!s && repeated(d.cid)) return true;
    if (!s) return refuse(Fatal::kInvalidHeaderField, 8, "data for no command", pdu);
    if (d.length != pdu.data.size()) return refuse(Fatal::kInvalidHeaderField, 16, "DATAL against PLEN", pdu);
    if (d.offset != s->in_done || d.length > s->in_most - s->in_done)
      return refuse(Fatal::kOutOfRange, 12, "data outside the command's buffer", pdu);
    if (pdu.data_digest_wrong) s->broken = true;
    if (!s->withdrawn) s->in.insert(s->in.end(), pdu.data.begin(), pdu.data.end());
    s->in_done += d.length;
    if ((pdu.header.flags & kSuccess) != 0) {
      if ((pdu.header.flags & kLastPdu) == 0)
        return refuse(Fatal::kInvalidHeaderField, 1, "SUCCESS without LAST_PDU", pdu);
      finish(*s, Cqe{0, 0, 0, id_, d.cid, 0});
    }
    return true;
  }

  bool ready_to_transfer(const Pdu& pdu) {
    const auto r = read_as<DataPdu>(pdu.head);
    Slot* s = slot(r.cid);
    if (s && s->withdrawn) return host_.asked_late_ = true;
    if (!s || !s->out) return refuse(Fatal::kInvalidHeaderField, 8, "R2T for no write", pdu);
    if (r.length == 0 || r.offset > s->out->size() || r.length > s->out->size() - r.offset)
      return refuse(Fatal::kOutOfRange, 12, "R2T outside the command's data", pdu);
    if (r.length > s->out->size() - s->given)
      return refuse(Fatal::kOutOfRange, 16, "R2T for data that was asked for before", pdu);
    s->given += r.length;
    std::uint32_t done = 0;
    while (done < r.length) {
      const std::uint32_t n = std::min(r.length - done, most_data_);
      DataPdu d;
      d.header.type = static_cast<std::uint8_t>(PduType::kH2cData);
      if (done + n == r.length) d.header.flags = kLastPdu;
      d.cid = r.cid;
      d.ttag = r.ttag;
      d.offset = r.offset + done;
      d.length = n;
      append_pdu(stream_->write_buffer(), bytes_of(d), View(*s->out).subspan(d.offset, n), digests_);
      done += n;
    }
    stream_->flush();
    return true;
  }

  Loop& loop_;
  Host& host_;
  const std::uint16_t id_;
  Framing framing_;
  Digests digests_;
  std::unique_ptr<Stream> stream_;
  bool up_ = false;
  bool down_ = false;
  std::uint32_t most_data_ = 4096;
  std::vector<Slot> slots_;          // by command identifier, modulo their number
  const std::uint16_t generations_;  // identifiers that each place has in turn
  int repeats_ = 0;
  double since_ = 0;                // what is being taken did not come before
  bool behind_ = false;             // more is unread
  std::deque<std::uint16_t> free_;  // places, that which was free for longest first
};

Host::Host(Loop& loop, HostOptions options, HostOwner& owner)
    : loop_(loop), options_(std::move(options)), owner_(owner) {
  timeout_ = loop_.run_at(loop_.now() + options_.connect_timeout, [this] { queue_lost("not up in time"); });
  admin_ = std::make_unique<HostQueue>(loop_, *this, 0, kAdminDepth);
}

Host::~Host() {
  *alive_ = false;
  loop_.cancel(timeout_);
  loop_.cancel(beat_);
}

bool Host::has_room() const { return io_ ? io_->has_room() : admin_->has_room(); }
std::size_t Host::out() const { return io_ ? io_->out() : 0; }
std::size_t Host::unsent() const { return io_ ? io_->unsent() : admin_->unsent(); }

void Host::submit(std::uint64_t token, Sqe sqe, SharedBytes out, std::uint32_t in) {
  if (!io_) return submit_admin(token, sqe, std::move(out), in);
  io_->submit(token, sqe, std::move(out), in, in_capsule_);
}

void Host::submit_admin(std::uint64_t token, Sqe sqe, SharedBytes out, std::uint32_t in) {
  admin_->submit(token, sqe, std::move(out), in, kAdminCapsule);
}

void Host::withdraw(std::uint64_t token) {
  if (io_) io_->withdraw(token);
}

void Host::close(const std::string& reason) { queue_lost(reason); }

void Host::queue_lost(const std::string& reason) {
  if (down_) return;
  down_ = true;
  ready_ = false;
  loop_.cancel(timeout_);
  loop_.cancel(beat_);
  loop_.defer([this, reason, alive = alive_] {
    if (!*alive) return;
    if (io_) io_->drop_all();
    if (!*alive) return;
    admin_->drop_all();
    if (*alive) owner_.down(reason);
  });
}

void Host::finished(std::uint64_t token, Completion&& completion, bool dropped) {
  if (token == kInternal) {
    if (!dropped && !down_) step_done(completion);
  } else if (token == kBeat) {
    beat_out_ = false;
  } else {
    owner_.completed(token, std::move(completion));
  }
}

void Host::queue_up(HostQueue& queue) {
  Sqe c;
  c.opcode = opcode::kFabrics;
  c.nsid = fabrics::kConnect;
  const std::uint16_t size = queue.id() == 0 ? kAdminDepth : options_.depth;
  // RECFMT 0, QID, SQSIZE (0's based), CATTR, KATO in ms.
  c.cdw10 = static_cast<std::uint32_t>(queue.id()) << 16;
  c.cdw11 = static_cast<std::uint32_t>(size - 1);
  c.cdw12 = queue.id() == 0 ? static_cast<std::uint32_t>(options_.keep_alive * 1000) : 0;
  ConnectData d;
  d.controller = controller_;
  put_text(d.subsystem, options_.subsystem);
  put_text(d.host, options_.host_name);
  const auto b = bytes_of(d);
  queue.submit(kInternal, c, std::make_shared<const Bytes>(b.begin(), b.end()), 0, kAdminCapsule);
}

// The way up, one command after another (Base 3.5.1, Transport 3.2).
void Host::step_done(const Completion& completion) {
  const Status s = completion.status();
  if (!s.ok()) return queue_lost("not let in: " + s.text());
  Sqe c;
  switch (step_) {
    case Step::kAdminConnect:
      controller_ = static_cast<std::uint16_t>(completion.cqe.dw0);
      c.opcode = opcode::kFabrics;
      c.nsid = fabrics::kPropertySet;
      c.cdw11 = property::kCc;
      c.cdw12 = 0x00460001;  // EN, entry sizes 64 and 16
      step_ = Step::kEnable;
      return submit_admin(kInternal, c, nullptr, 0);
    case Step::kPollReady:
      if ((completion.cqe.dw0 & 1) != 0) {
        c.opcode = opcode::kIdentify;
        c.cdw10 = 1;  // CNS 01h: the controller
        step_ = Step::kIdentify;
        return submit_admin(kInternal, c, nullptr, 4096);
      }
      [[fallthrough]];
    case Step::kEnable:
      c.opcode = opcode::kFabrics;
      c.nsid = fabrics::kPropertyGet;
      c.cdw11 = property::kCsts;
      step_ = Step::kPollReady;
      return submit_admin(kInternal, c, nullptr, 0);
    case Step::kIdentify: {
      if (completion.data.size() != 4096) return queue_lost("Identify Controller cut short");
      const std::uint8_t mdts = completion.data[77];
      transfer_limit_ = mdts == 0 || mdts > 12 ? std::uint32_t{1} << 20 : std::uint32_t{4096} << mdts;
      const auto ioccsz = read_as<std::uint32_t>(View(completion.data).subspan(1792));
      in_capsule_ = ioccsz >= 4 ? ioccsz * 16 - 64 : 0;
      if (options_.depth == 0) return bring_up();
      c.opcode = opcode::kSetFeatures;
      c.cdw10 = kFeatureQueues;
      c.cdw11 = 0;  // one submission and one completion queue, 0's based
      step_ = Step::kQueues;
      return submit_admin(kInternal, c, nullptr, 0);
    }
    case Step::kQueues:
      step_ = Step::kIoConnect;
      io_ = std::make_unique<HostQueue>(loop_, *this, 1, options_.depth);
      return;
    case Step::kIoConnect:
      return bring_up();
    case Step::kDone:
      return;
  }
}

void Host::bring_up() {
  step_ = Step::kDone;
  ready_ = true;
  loop_.cancel(timeout_);
  if (options_.keep_alive > 0)
    beat_ = loop_.run_at(loop_.now() + options_.keep_alive / 3, [this] { beat(); });
  owner_.ready();
}

// A controller that does not answer a keep alive by the next but one is taken for dead.
void Host::beat() {
  if (beat_out_) return queue_lost("keep alive without an answer");
  beat_out_ = true;
  Sqe c;
  c.opcode = opcode::kKeepAlive;
  submit_admin(kBeat, c, nullptr, 0);
  beat_ = loop_.run_at(loop_.now() + options_.keep_alive, [this] { beat(); });
}

}  // namespace heronworks::nvme
