// Clients' connections: see front.h.
#include "platform/front.h"

#include <algorithm>

#include "http/writer.h"

namespace heronworks::platform {
namespace {

constexpr http::MessageLimits kRequestBounds{8192, LongBodies::kLongest, 64};
// One whole short request behind the open one; a client that sends more than that ahead is cut off.
constexpr Stream::BufferLimits kStreamBounds{LongBodies::kShort + 2 * 8192, 65536, true};

}  // namespace

struct Front::Client final : StreamHandler {
  enum class State { kReading, kOpen, kDropping };

  Client(Front& f, ClientId i, Fd fd)
      : front(f),
        id(i),
        stream(f.loop_, std::move(fd), *this, false, kStreamBounds),
        reader(http::MessageKind::kRequest, kRequestBounds),
        since(f.loop_.now()) {}

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    if (state == State::kDropping) {
      if (ended_idle && dropped == 0) ++front.counts_.crossed;
      dropped += bytes.size();
      if (dropped > kDropBytes) front.remove(id);
      return bytes.size();
    }
    // The time of what waits here behind an open one has been running since it came.
    const double now = front.loop_.earliest_arrival();
    const double came = waited_since > 0 ? waited_since : now;
    std::size_t used = 0;
    // One open at a time; the next one waits until its predecessor's answer is on its way.
    while (state == State::kReading && stream.unsent() == 0 && used < bytes.size()) {
      const auto n = reader.put(bytes.subspan(used));
      used += n;
      if (reader.started() && began == 0) began = front.loop_.now();
      if (reader.error() != http::ParseError::kNone) {
        using http::ParseError;
        front.refuse(*this,
                     reader.error() == ParseError::kMalformed      ? 400
                     : reader.error() == ParseError::kBodyTooLarge ? 413
                                                                   : 431,
                     reader.error_message());
        return bytes.size();
      }
      if (!holds(reader.buffered_body_bytes())) {
        front.refuse(*this, 503, "no room for one more long body");
        return bytes.size();
      }
      if (!reader.done()) {
        expectation();
        break;
      }
      http::Message request = reader.take_message();
      state = State::kOpen;
      keep = request.keep_alive;
      asked = true;
      began = 0;
      told_to_go_on = false;
      front.owner_.asked(id, std::move(request), came);
    }
    waited_since = used < bytes.size() && state != State::kReading ? came : 0;
    return state == State::kDropping ? bytes.size() : used;
  }

  // Of what was read and is not answered yet; false if there is no room for so much.
  bool holds(std::size_t body) {
    if (!front.bodies_.resize(held, body)) return false;
    held = body;
    return true;
  }

  // RFC 9110, 10.1.1: a client that waits for it is told to send its body.
  void expectation() {
    if (!reader.head_done() || told_to_go_on) return;
    const std::string* e = reader.message().find_field("Expect");
    if (e == nullptr || !http::equals_ignore_case(*e, "100-continue")) return;
    told_to_go_on = true;
    static constexpr std::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";
    stream.send({reinterpret_cast<const std::uint8_t*>(kGoOn.data()), kGoOn.size()});
  }

  void on_written() override {
    if (stream.unsent() == 0) stream.redeliver_unconsumed();
  }

  void on_closed(const std::string&) override {
    const bool open = state == State::kOpen;
    Front& f = front;
    const ClientId self = id;
    f.remove(self);
    if (open) f.owner_.left(self);
  }

  void drop_the_rest() {
    state = State::kDropping;
    holds(0);
    since = front.loop_.now();
    stream.half_close();
  }

  Front& front;
  const ClientId id;
  Stream stream;
  http::Reader reader;
  State state = State::kReading;
  bool keep = true;
  bool asked = false;       // something, ever
  bool ended_idle = false;  // between two requests: it is owed nothing
  bool made_way = false;    // its descriptor is one of the reserve
  bool told_to_go_on = false;
  double waited_since = 0;  // the first bytes that are left unread behind an open request; 0: none
  double since;             // connecting, the last answer, or the begin of dropping
  double began = 0;         // of the request that is being read; 0: none
  std::size_t dropped = 0;
  std::size_t held = 0;  // bytes of the body that is read, or was and is not answered yet
};

Front::Front(Loop& loop, Fd listener, Descriptors& descriptors, LongBodies& bodies, FrontOwner& owner)
    : loop_(loop), descriptors_(descriptors), bodies_(bodies), owner_(owner) {
  listener_ =
      std::make_unique<Listener>(loop_, std::move(listener), [this](Fd fd) { accepted(std::move(fd)); });
  sweep_ = loop_.run_at(loop_.now() + kSweep, [this] { sweep(); });
}

Front::~Front() {
  loop_.cancel(sweep_);
  loop_.cancel(drain_);
  loop_.cancel(accept_end_);
}

void Front::accepted(Fd fd) {
  if (!descriptors_.take(Descriptors::User::kClients) && !make_room()) {
    ++counts_.no_room;
    return;  // closes it
  }
  ++counts_.accepted;
  const ClientId id = ++last_client_;
  clients_.emplace(id, std::make_unique<Client>(*this, id, std::move(fd)));
}

// Danger: clients hold all connections that there may be, and none of them asks. The one that has been
// without a request for longest makes way; one in the middle of a request only if there is no other.
bool Front::make_room() {
  Client* best = nullptr;
  const auto rank = [](const Client& c) {
    const int kind = c.ended_idle ? 0 : c.state == Client::State::kDropping ? 2 : c.reader.started() ? 3 : 1;
    return std::pair(kind, c.since);
  };
  for (auto& [id, c] : clients_) {
    if (c->state == Client::State::kOpen || c->stream.unsent() > 0 || c->made_way) continue;
    if (best == nullptr || rank(*c) < rank(*best)) best = c.get();
  }
  if (best == nullptr) return false;
  ++counts_.made_way;
  // It goes on being read on a descriptor of the reserve; if all of those are in use, the oldest is closed.
  if (making_way_.size() >= Descriptors::kMakingWay) remove(making_way_.front());
  if (best->state == Client::State::kReading) end_idle(*best);
  best->made_way = true;
  making_way_.push_back(best->id);
  descriptors_.give(Descriptors::User::kClients);
  return descriptors_.take(Descriptors::User::kClients);
}

// Between two requests, or in the middle of one that will not be taken.
void Front::end_idle(Client& c) {
  ++counts_.ended_idle;
  c.ended_idle = true;
  c.drop_the_rest();
}

void Front::answer(ClientId client, ClientAnswer a) {
  const auto at = clients_.find(client);
  if (at == clients_.end() || at->second->state != Client::State::kOpen) return;
  Client& c = *at->second;
  // While a drain ends, what waits behind it was taken, and nobody else answers it.
  const bool more = c.stream.unconsumed() > 0 || !c.stream.peer_idle();
  const bool last = !c.keep || (ending_ && (!more || loop_.now() >= end_at_));
  http::Writer writer(c.stream.write_buffer());
  writer.status_line(a.status);
  if (!a.retry_after.empty()) writer.field("Retry-After", a.retry_after);
  if (last) writer.field("Connection", "close");
  writer.body(a.body);
  c.stream.flush();
  if (last) return c.drop_the_rest();
  c.state = Client::State::kReading;
  c.holds(0);
  c.since = loop_.now();
  c.stream.redeliver_unconsumed();
}

// What can't be read is owed an error, and nothing that follows it on the connection means anything.
void Front::refuse(Client& c, int status, const std::string& reason) {
  ++counts_.unreadable;
  owner_.unreadable(c.id, status, reason);
  http::Writer(c.stream.write_buffer()).status_line(status).field("Connection", "close").body("");
  c.stream.flush();
  c.drop_the_rest();
}

void Front::remove(ClientId client) {
  const auto at = clients_.find(client);
  if (at == clients_.end()) return;
  at->second->stream.close();
  at->second->holds(0);
  if (at->second->made_way) std::erase(making_way_, client);
  else descriptors_.give(Descriptors::User::kClients);
  if (closed_.empty()) loop_.defer([this] { closed_.clear(); });
  closed_.push_back(std::move(at->second));
  clients_.erase(at);
}

void Front::sweep() {
  const double now = loop_.now();
  std::vector<ClientId> over;
  for (auto& [id, c] : clients_) {
    if (c->state == Client::State::kDropping) {
      const double most = ending_ ? kLate : c->ended_idle ? kCrossFor : kDropFor;
      if (now >= c->since + most) over.push_back(id);
    } else if (c->state == Client::State::kReading && now >= c->since + kWholeWithin) {
      // A drain's clients can open no others: what they have stays. One that does not read its answer goes.
      if (draining_ && c->asked && !c->reader.started() && c->stream.unsent() == 0) continue;
      const bool late = c->began > 0 && c->began > c->since + kWholeWithin - kLate && now < c->began + kLate;
      const bool slow = c->asked && c->began > 0 && now < c->began + kWholeWithin;
      if (!late && !slow) over.push_back(id);
    }
  }
  for (const ClientId id : over) {
    Client& c = *clients_.at(id);
    if (c.state == Client::State::kDropping || c.stream.unsent() > 0) {
      remove(id);
    } else if (c.reader.started()) {
      ++counts_.too_slow;
      refuse(c, 408, "too slow");
    } else {
      end_idle(c);
    }
  }
  sweep_ = loop_.run_at(loop_.now() + kSweep, [this] { sweep(); });
}

void Front::drain(double accept_for, double serve_for, double end_after, std::function<void()> done) {
  draining_ = true;
  end_at_ = loop_.now() + end_after;
  drained_ = std::move(done);
  accept_end_ = loop_.run_at(loop_.now() + accept_for, [this] { end_of_accepting(); });
  drain_ = loop_.run_at(loop_.now() + std::max(accept_for, serve_for), [this] { end_of_serving(); });
}

void Front::end_of_accepting() {
  while (true) {  // what the system has accepted already is ours
    Fd fd = listener_->accept();
    if (!fd) break;
    accepted(std::move(fd));
  }
  listener_.reset();
}

void Front::end_of_serving() {
  ending_ = true;
  look_at_drain();
}

void Front::look_at_drain() {
  // Only connections with nothing read on them, and nothing unread; after the drain's end all but those that
  // are owed an answer.
  const double now = loop_.now();
  for (auto& [id, c] : clients_) {
    if (c->state != Client::State::kReading || c->stream.unsent() > 0) continue;
    const bool idle =
        !c->reader.started() && c->stream.unconsumed() == 0 && (c->asked || c->since <= now - kLate);
    if (now >= end_at_ || (idle && c->stream.peer_idle())) end_idle(*c);
  }
  if (clients_.empty()) {
    drain_ = 0;
    return std::exchange(drained_, nullptr)();
  }
  drain_ = loop_.run_at(loop_.now() + kDrainLook, [this] { look_at_drain(); });
}

}  // namespace heronworks::platform
