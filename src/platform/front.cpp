// Clients' connections: see front.h.
#include "platform/front.h"

#include <algorithm>

#include "http/writer.h"

namespace heronworks::platform {
namespace {

constexpr http::Bounds kRequestBounds{8192, 65536, 64};
// One whole request behind the open one; a client that sends more than that ahead is cut off.
constexpr Stream::Bounds kStreamBounds{65536 + 2 * 8192, 65536, true};

}  // namespace

struct Front::Client final : StreamOwner {
  enum class State { kReading, kOpen, kDropping };

  Client(Front& f, ClientId i, Fd fd)
      : front(f),
        id(i),
        stream(f.loop_, std::move(fd), *this, false, kStreamBounds),
        reader(http::Kind::kRequest, kRequestBounds),
        since(f.loop_.now()) {}

  std::size_t received(std::span<const std::uint8_t> bytes) override {
    if (state == State::kDropping) {
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
      if (reader.fault() != http::Fault::kNone) {
        using http::Fault;
        front.refuse(*this, reader.fault() == Fault::kMalformed      ? 400
                            : reader.fault() == Fault::kBodyTooLarge ? 413
                                                                     : 431);
        return bytes.size();
      }
      if (!reader.done()) {
        expectation();
        break;
      }
      http::Message request = reader.take();
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

  // RFC 9110, 10.1.1: a client that waits for it is told to send its body.
  void expectation() {
    if (!reader.head_done() || told_to_go_on) return;
    const std::string* e = reader.message().find("Expect");
    if (e == nullptr || !http::same_name(*e, "100-continue")) return;
    told_to_go_on = true;
    static constexpr std::string_view kGoOn = "HTTP/1.1 100 Continue\r\n\r\n";
    stream.send({reinterpret_cast<const std::uint8_t*>(kGoOn.data()), kGoOn.size()});
  }

  void sent() override {
    if (stream.unsent() == 0) stream.again();
  }

  void lost(const std::string&) override {
    const bool open = state == State::kOpen;
    Front& f = front;
    const ClientId self = id;
    f.remove(self);
    if (open) f.owner_.left(self);
  }

  void drop_the_rest() {
    state = State::kDropping;
    since = front.loop_.now();
    stream.finish();
  }

  Front& front;
  const ClientId id;
  Stream stream;
  http::Reader reader;
  State state = State::kReading;
  bool keep = true;
  bool asked = false;  // something, ever
  bool told_to_go_on = false;
  double waited_since = 0;  // the first bytes that are left unread behind an open request; 0: none
  double since;      // connecting, the last answer, or the begin of dropping
  double began = 0;  // of the request that is being read; 0: none
  std::size_t dropped = 0;
};

Front::Front(Loop& loop, Fd listener, Descriptors& descriptors, FrontOwner& owner)
    : loop_(loop), descriptors_(descriptors), owner_(owner) {
  listener_ =
      std::make_unique<Listener>(loop_, std::move(listener), [this](Fd fd) { accepted(std::move(fd)); });
  sweep_ = loop_.at(loop_.now() + kSweep, [this] { sweep(); });
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
    return std::pair(c.state == Client::State::kDropping ? 1 : c.reader.started() ? 2 : 0, c.since);
  };
  for (auto& [id, c] : clients_) {
    if (c->state == Client::State::kOpen || c->stream.unsent() > 0) continue;
    if (best == nullptr || rank(*c) < rank(*best)) best = c.get();
  }
  if (best == nullptr) return false;
  ++counts_.made_way;
  remove(best->id);
  return descriptors_.take(Descriptors::User::kClients);
}

void Front::answer(ClientId client, ClientAnswer a) {
  const auto at = clients_.find(client);
  if (at == clients_.end() || at->second->state != Client::State::kOpen) return;
  Client& c = *at->second;
  const bool last = !c.keep || ending_;
  http::Writer writer(c.stream.out());
  writer.answer(a.status);
  if (!a.retry_after.empty()) writer.field("Retry-After", a.retry_after);
  if (last) writer.field("Connection", "close");
  writer.body(a.body);
  c.stream.flush();
  if (last) return c.drop_the_rest();
  c.state = Client::State::kReading;
  c.since = loop_.now();
  c.stream.again();
}

// What can't be read is owed an error, and nothing that follows it on the connection means anything.
void Front::refuse(Client& c, int status) {
  ++counts_.unreadable;
  http::Writer(c.stream.out()).answer(status).field("Connection", "close").body("");
  c.stream.flush();
  c.drop_the_rest();
}

void Front::remove(ClientId client) {
  const auto at = clients_.find(client);
  if (at == clients_.end()) return;
  at->second->stream.close();
  descriptors_.give(Descriptors::User::kClients);
  if (closed_.empty()) loop_.defer([this] { closed_.clear(); });
  closed_.push_back(std::move(at->second));
  clients_.erase(at);
}

void Front::sweep() {
  const double now = loop_.now();
  std::vector<ClientId> over;
  for (auto& [id, c] : clients_) {
    if (c->state == Client::State::kDropping) {
      if (now >= c->since + (ending_ ? kLate : kDropFor)) over.push_back(id);
    } else if (c->state == Client::State::kReading && now >= c->since + kWholeWithin) {
      // A drain's clients can open no others: what they have stays. One that does not read its answer goes.
      if (draining_ && c->asked && !c->reader.started() && c->stream.unsent() == 0) continue;
      const bool late = c->began > 0 && c->began > c->since + kWholeWithin - kLate && now < c->began + kLate;
      if (!late) over.push_back(id);
    }
  }
  for (const ClientId id : over) {
    Client& c = *clients_.at(id);
    if (c.state == Client::State::kReading && c.reader.started()) {
      ++counts_.too_slow;
      refuse(c, 408);
    } else {
      remove(id);
    }
  }
  sweep_ = loop_.at(loop_.now() + kSweep, [this] { sweep(); });
}

void Front::drain(double accept_for, double serve_for, std::function<void()> done) {
  draining_ = true;
  drained_ = std::move(done);
  accept_end_ = loop_.at(loop_.now() + accept_for, [this] { end_of_accepting(); });
  drain_ = loop_.at(loop_.now() + std::max(accept_for, serve_for), [this] { end_of_serving(); });
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
  const double old = loop_.now() - kLate;
  close_idle([&](const Client& c) { return c.asked || c.since <= old; });
  if (clients_.empty()) {
    drain_ = 0;
    return std::exchange(drained_, nullptr)();
  }
  drain_ = loop_.at(loop_.now() + kDrainLook, [this] { look_at_drain(); });
}

// Only connections with nothing read on them, and nothing unread.
template <typename Which>
void Front::close_idle(Which which) {
  std::vector<ClientId> idle;
  for (auto& [id, c] : clients_) {
    if (c->state != Client::State::kReading || c->reader.started() || c->stream.unsent() > 0) continue;
    if (which(*c) && c->stream.quiet()) idle.push_back(id);
  }
  for (const ClientId id : idle) remove(id);
}

}  // namespace heronworks::platform
