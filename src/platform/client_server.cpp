#include "platform/client_server.h"

#include <algorithm>

#include "http/writer.h"

namespace heronworks::platform {
namespace {

constexpr http::MessageLimits kRequestLimits{8192, LargeBodyBudget::kMaxBodyBytes, 64};
// Room for one complete small request behind the open one. A client that pipelines more is disconnected.
constexpr Stream::BufferLimits kStreamLimits{LargeBodyBudget::kSmallBodyBytes + std::size_t{2} * 8192, 65536,
                                             true};

}  // namespace

struct ClientServer::Client final : StreamHandler {
  enum class State { kReading, kOpen, kLingering };

  Client(ClientServer& s, ClientId i, Fd fd)
      : server(s),
        id(i),
        stream(s.loop_, std::move(fd), *this, false, kStreamLimits),
        reader(http::MessageKind::kRequest, kRequestLimits),
        idle_since(s.loop_.now()) {}

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    if (state == State::kLingering) {
      if (closed_idle && discarded_bytes == 0) ++server.counts_.data_after_close;
      discarded_bytes += bytes.size();
      if (discarded_bytes > kMaxDiscardedBytes) server.remove(id);
      return bytes.size();
    }
    // Pipelined bytes keep the time at which they arrived: the client's deadline runs from then.
    const double now = server.loop_.earliest_arrival();
    const double received_at = pipelined_since > 0 ? pipelined_since : now;
    std::size_t used = 0;
    // The next request is read once the previous reply has been written.
    while (state == State::kReading && stream.unsent() == 0 && used < bytes.size()) {
      const auto n = reader.put(bytes.subspan(used));
      used += n;
      if (reader.started() && request_started_at == 0) request_started_at = server.loop_.now();
      if (reader.error() != http::ParseError::kNone) {
        using http::ParseError;
        server.reply_error(*this,
                           reader.error() == ParseError::kMalformed      ? 400
                           : reader.error() == ParseError::kBodyTooLarge ? 413
                                                                         : 431,
                           reader.error_message());
        return bytes.size();
      }
      if (!resize_body(reader.buffered_body_bytes())) {
        server.reply_error(*this, 503, "memory limit for large request bodies reached");
        return bytes.size();
      }
      if (!reader.done()) {
        send_continue_if_expected();
        break;
      }
      http::Message request = reader.take_message();
      state = State::kOpen;
      keep_alive = request.keep_alive;
      had_request = true;
      request_started_at = 0;
      continue_sent = false;
      server.owner_.on_request(id, std::move(request), received_at);
    }
    pipelined_since = used < bytes.size() && state != State::kReading ? received_at : 0;
    return state == State::kLingering ? bytes.size() : used;
  }

  // Accounts for the body of the request that is being read or answered. Returns false at the budget's limit.
  bool resize_body(std::size_t size) {
    if (!server.bodies_.resize(body_bytes, size)) return false;
    body_bytes = size;
    return true;
  }

  // Sends 100 Continue to a client that waits for it before it sends its body (RFC 9110, 10.1.1).
  void send_continue_if_expected() {
    if (!reader.head_done() || continue_sent) return;
    const std::string* expect = reader.message().find_field("Expect");
    if (expect == nullptr || !http::equals_ignore_case(*expect, "100-continue")) return;
    continue_sent = true;
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    stream.send({reinterpret_cast<const std::uint8_t*>(kContinue.data()), kContinue.size()});
  }

  void on_written() override {
    if (stream.unsent() == 0) stream.redeliver_unconsumed();
  }

  void on_closed(const std::string&) override {
    const bool open = state == State::kOpen;
    ClientServer& s = server;
    const ClientId self = id;
    s.remove(self);
    if (open) s.owner_.on_client_closed(self);
  }

  // Half-closes the connection and discards what the client still sends.
  void linger() {
    state = State::kLingering;
    resize_body(0);
    idle_since = server.loop_.now();
    stream.half_close();
  }

  ClientServer& server;
  const ClientId id;
  Stream stream;
  http::Reader reader;
  State state = State::kReading;
  bool keep_alive = true;
  bool had_request = false;       // has sent at least one complete request
  bool closed_idle = false;       // closed between requests: no reply is owed
  bool evicted = false;           // its descriptor counts as part of the reserve
  bool continue_sent = false;     // for the request that is being read
  double pipelined_since = 0;     // arrival of the first unread bytes behind an open request; 0: none
  double idle_since;              // connect, last reply or begin of lingering
  double request_started_at = 0;  // first byte of the request that is being read; 0: none
  std::size_t discarded_bytes = 0;
  std::size_t body_bytes = 0;  // accounted for in bodies_
};

ClientServer::ClientServer(Loop& loop, Fd listener, DescriptorBudget& descriptors, LargeBodyBudget& bodies,
                           ClientServerOwner& owner)
    : loop_(loop), descriptors_(descriptors), bodies_(bodies), owner_(owner) {
  listener_ =
      std::make_unique<Listener>(loop_, std::move(listener), [this](Fd fd) { accept(std::move(fd)); });
  timeout_check_ = loop_.run_at(loop_.now() + kTimeoutCheckPeriodSeconds, [this] { check_timeouts(); });
}

ClientServer::~ClientServer() {
  loop_.cancel(timeout_check_);
  loop_.cancel(drain_timer_);
  loop_.cancel(accept_timer_);
}

ClientServerMemory ClientServer::memory() const {
  ClientServerMemory sum;
  for (const auto& [id, client] : clients_) {
    sum.incomplete_requests += client->reader.body_capacity();
    sum.unconsumed_input += client->stream.read_buffer_bytes();
    sum.unsent_replies += client->stream.write_buffer_bytes();
  }
  return sum;
}

void ClientServer::accept(Fd fd) {
  if (!descriptors_.acquire(DescriptorBudget::User::kClients) && !evict_idle_connection()) {
    ++counts_.no_descriptor;
    return;  // closes it
  }
  ++counts_.accepted;
  const ClientId id = ++last_client_;
  clients_.emplace(id, std::make_unique<Client>(*this, id, std::move(fd)));
}

// Guards against idle clients that hold all descriptors. Evicts the connection that has been idle for the
// longest time; one with an incomplete request only if there is no other. Returns false if all connections
// have an open request or an unsent reply.
bool ClientServer::evict_idle_connection() {
  Client* best = nullptr;
  const auto rank = [](const Client& c) {
    const int kind = c.closed_idle                          ? 0
                     : c.state == Client::State::kLingering ? 2
                     : c.reader.started()                   ? 3
                                                            : 1;
    return std::pair(kind, c.idle_since);
  };
  for (auto& [id, c] : clients_) {
    if (c->state == Client::State::kOpen || c->stream.unsent() > 0 || c->evicted) continue;
    if (best == nullptr || rank(*c) < rank(*best)) best = c.get();
  }
  if (best == nullptr) return false;
  ++counts_.evicted;
  // It lingers on a descriptor of the reserve. If all of those are in use, the oldest is closed.
  if (evicted_.size() >= DescriptorBudget::kReservedForEvicted) remove(evicted_.front());
  if (best->state == Client::State::kReading) close_idle(*best);
  best->evicted = true;
  evicted_.push_back(best->id);
  descriptors_.release(DescriptorBudget::User::kClients);
  return descriptors_.acquire(DescriptorBudget::User::kClients);
}

// Closes a connection between requests, or with an incomplete request that is not going to be processed.
void ClientServer::close_idle(Client& c) {
  ++counts_.closed_idle;
  c.closed_idle = true;
  c.linger();
}

void ClientServer::reply(ClientId client, ClientReply reply) {
  const auto found = clients_.find(client);
  if (found == clients_.end() || found->second->state != Client::State::kOpen) return;
  Client& c = *found->second;
  // Pipelined requests are still answered at the end of a drain, as the client cannot tell whether they were
  // processed.
  const bool more = c.stream.unconsumed() > 0 || !c.stream.peer_idle();
  const bool last = !c.keep_alive || (serving_ended_ && (!more || loop_.now() >= drain_end_at_));
  http::Writer writer(c.stream.write_buffer());
  writer.status_line(reply.status);
  if (!reply.retry_after.empty()) writer.field("Retry-After", reply.retry_after);
  if (last) writer.field("Connection", "close");
  writer.body(reply.body);
  c.stream.flush();
  if (last) return c.linger();
  c.state = Client::State::kReading;
  c.resize_body(0);
  c.idle_since = loop_.now();
  c.stream.redeliver_unconsumed();
}

// Answers an invalid request and closes the connection, as the start of the next request is unknown.
void ClientServer::reply_error(Client& c, int status, const std::string& reason) {
  ++counts_.invalid_requests;
  owner_.on_invalid_request(c.id, status, reason);
  http::Writer(c.stream.write_buffer()).status_line(status).field("Connection", "close").body("");
  c.stream.flush();
  c.linger();
}

void ClientServer::remove(ClientId client) {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  found->second->stream.close();
  found->second->resize_body(0);
  if (found->second->evicted) std::erase(evicted_, client);
  else descriptors_.release(DescriptorBudget::User::kClients);
  if (closed_.empty()) loop_.defer([this] { closed_.clear(); });
  closed_.push_back(std::move(found->second));
  clients_.erase(found);
}

void ClientServer::check_timeouts() {
  const double now = loop_.now();
  std::vector<ClientId> expired;
  for (auto& [id, c] : clients_) {
    if (c->state == Client::State::kLingering) {
      const double limit = serving_ended_   ? kLateStartSeconds
                           : c->closed_idle ? kIdleCloseLingerSeconds
                                            : kErrorLingerSeconds;
      if (now >= c->idle_since + limit) expired.push_back(id);
    } else if (c->state == Client::State::kReading && now >= c->idle_since + kRequestTimeoutSeconds) {
      // During a drain, clients cannot open other connections: idle ones stay, unless a reply is unread.
      if (draining_ && c->had_request && !c->reader.started() && c->stream.unsent() == 0) continue;
      const bool started_late =
          c->request_started_at > 0 &&
          c->request_started_at > c->idle_since + kRequestTimeoutSeconds - kLateStartSeconds &&
          now < c->request_started_at + kLateStartSeconds;
      const bool in_progress =
          c->had_request && c->request_started_at > 0 && now < c->request_started_at + kRequestTimeoutSeconds;
      if (!started_late && !in_progress) expired.push_back(id);
    }
  }
  for (const ClientId id : expired) {
    Client& c = *clients_.at(id);
    if (c.state == Client::State::kLingering || c.stream.unsent() > 0) {
      remove(id);
    } else if (c.reader.started()) {
      ++counts_.timed_out;
      reply_error(c, 408, "request was not complete within the timeout");
    } else {
      close_idle(c);
    }
  }
  timeout_check_ = loop_.run_at(loop_.now() + kTimeoutCheckPeriodSeconds, [this] { check_timeouts(); });
}

void ClientServer::drain(double accept_seconds, double serve_seconds, double end_seconds,
                         std::function<void()> done) {
  draining_ = true;
  drain_end_at_ = loop_.now() + end_seconds;
  drained_ = std::move(done);
  accept_timer_ = loop_.run_at(loop_.now() + accept_seconds, [this] { stop_accepting(); });
  drain_timer_ =
      loop_.run_at(loop_.now() + std::max(accept_seconds, serve_seconds), [this] { stop_serving(); });
}

void ClientServer::stop_accepting() {
  while (true) {  // connections in the listen backlog are established already
    Fd fd = listener_->accept();
    if (!fd) break;
    accept(std::move(fd));
  }
  listener_.reset();
}

void ClientServer::stop_serving() {
  serving_ended_ = true;
  continue_drain();
}

void ClientServer::continue_drain() {
  // Closes connections without read or unread data; after the end of the drain all that are not owed a reply.
  const double now = loop_.now();
  for (auto& [id, c] : clients_) {
    if (c->state != Client::State::kReading || c->stream.unsent() > 0) continue;
    const bool idle = !c->reader.started() && c->stream.unconsumed() == 0 &&
                      (c->had_request || c->idle_since <= now - kLateStartSeconds);
    if (now >= drain_end_at_ || (idle && c->stream.peer_idle())) close_idle(*c);
  }
  if (clients_.empty()) {
    drain_timer_ = 0;
    return std::exchange(drained_, nullptr)();
  }
  drain_timer_ = loop_.run_at(loop_.now() + kDrainCheckPeriodSeconds, [this] { continue_drain(); });
}

}  // namespace heronworks::platform
