#include "platform/client_server.h"

#include <algorithm>

#include "http/writer.h"
#include "loop/error_throttle.h"
#include "platform/unread_request.h"

namespace heronworks::platform {
namespace {

constexpr http::MessageLimits kRequestLimits{8192, MemoryBudget::kMaxBodyBytes, 64};
// Behind an open request some more is read, so that its client's close is seen behind it where the kernel's
// buffers do not hold all of it.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{16} << 10;
constexpr std::size_t kMaxReadBytes = 65536;
constexpr std::size_t kMinReadAheadBytes = 256;  // of one read
constexpr int kOverloadStatus = 503;
constexpr const char* kOverloadReason = "no memory for the request";
constexpr Stream::Options kStreamOptions{kMaxReadAheadBytes + kMaxReadBytes, kMaxReadBytes, true, true,
                                         PollPriority::kClientInput};

}  // namespace

struct ClientServer::Client final : StreamHandler {
  enum class State { kReading, kOpen, kLingering };

  Client(ClientServer& s, ClientId i, Fd fd)
      : server(s),
        id(i),
        stream(s.loop_, std::move(fd), *this, false, kStreamOptions),
        receiver(http::MessageKind::kRequest, kRequestLimits, s.memory_, MemoryUse::kRequest),
        read_ahead(s.memory_, MemoryUse::kReadAhead),
        idle_since(s.loop_.now()) {
    if (s.owner_.keeps_order()) stream.enable_receive_timestamps();
  }

  const http::Reader& reader() const { return receiver.reader(); }
  bool receives_request() const { return reader().started() || waiting_since > 0; }
  // The next request is read once the previous reply has been written.
  bool reads_request() const { return state == State::kReading && stream.unsent() == 0 && !throttled; }
  bool ends_with_peer() const override { return state == State::kOpen; }

  std::size_t read_allowance() override {
    if (state == State::kLingering) return kMaxReadBytes;
    if (reads_request()) return receiver.read_allowance();
    const std::size_t left = kMaxReadAheadBytes - std::min(stream.unconsumed(), kMaxReadAheadBytes);
    const std::size_t bytes = std::min(left, read_ahead.room());
    return bytes < kMinReadAheadBytes ? 0 : bytes;
  }

  void on_read_refused() override {
    if (unread_since == 0) unread_since = server.loop_.earliest_arrival();
    if (reads_request()) server.wait_for_memory(*this);
    server.look_at_unread(*this, stream.unconsumed_bytes());
  }

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    if (state == State::kLingering) return discard(bytes);
    // Bytes that were left unread keep the time at which they arrived: the client's deadline runs from then.
    const double received_at = unread_since > 0 ? unread_since : server.loop_.earliest_arrival();
    std::size_t used = 0;
    for (int requests = 0; reads_request() && used < bytes.size(); ++requests) {
      if (requests == kMaxRequestsPerTurn) {
        stream.request_redelivery();
        break;
      }
      if (!unread_request.arrival()) unread_request.reset();  // what it knows of is going to be consumed
      used += receiver.put(bytes.subspan(used));
      if (reader().started() && request_started_at == 0) request_started_at = server.loop_.now();
      if (!accept_input(bytes.size() - used)) return bytes.size();
      if (!reader().done()) {
        wait_for_rest();
        break;
      }
      pass_on_request(received_at);
      if (!stream.open() || state == State::kLingering) return bytes.size();
    }
    keep_unconsumed(bytes.subspan(used), received_at);
    return used;
  }

  std::size_t discard(std::span<const std::uint8_t> bytes) {
    if (closed_idle && discarded_bytes == 0) ++server.counts_.data_after_close;
    discarded_bytes += bytes.size();
    if (discarded_bytes > kMaxDiscardedBytes) server.remove(id);
    return bytes.size();
  }

  // A part of a request has been read.
  void wait_for_rest() {
    send_continue_if_expected();
    if (stream.receive_buffer_drained() || !server.owner_.keeps_order()) return;
    if (!reader().head_done() || server.owner_.order_key(reader().message()))
      server.loop_.hold_deliveries(stream.last_arrival());
  }

  void pass_on_request(double received_at) {
    count_request();
    HeldMessagePtr request = receiver.take_message();
    const ArrivalTime arrival = unread_request.arrival().value_or(stream.last_arrival());
    unread_request.reset();
    server.delayed_.erase(id);
    state = State::kOpen;
    keep_alive = request->message.keep_alive;
    had_request = true;
    request_started_at = 0;
    continue_sent = false;
    if (server.owner_.order_key(request->message)) {
      undelivered_request = std::move(request);
      request_received_at = received_at;
      request_arrival = arrival;
      server.loop_.deliver_in_order(arrival, server, id);
    } else {
      has_place = false;
      server.owner_.on_request(id, std::move(request), received_at);
    }
  }

  void count_request() {
    if (std::exchange(counting_period, server.counting_period_) != server.counting_period_)
      requests_in_period = 0;
    server.busiest_requests_ = std::max(server.busiest_requests_, ++requests_in_period);
  }

  // `bytes` stay until the next request is read.
  void keep_unconsumed(std::span<const std::uint8_t> bytes, double received_at) {
    const bool of_next_request = !bytes.empty() && !reader().started();
    read_ahead.set(of_next_request ? bytes.size() : 0);
    if (of_next_request && server.owner_.keeps_order()) server.look_at_unread(*this, bytes);
    const bool left_in_kernel = !stream.receive_buffer_drained() && stream.has_unread_bytes();
    unread_since = of_next_request || left_in_kernel ? received_at : 0;
  }

  // Answers input that is invalid, or that the budget has no room for. Returns whether reading may go on.
  bool accept_input(std::size_t unconsumed) {
    using http::ParseError;
    const ParseError error = reader().error();
    if (error != ParseError::kNone) {
      server.reply_error(*this,
                         error == ParseError::kMalformed      ? 400
                         : error == ParseError::kBodyTooLarge ? 413
                                                              : 431,
                         reader().error_message());
      return false;
    }
    if (receiver.try_account(reader().done() ? 0 : unconsumed)) return true;
    ++server.counts_.rejected_for_memory;
    server.reply_error(*this, kOverloadStatus, kOverloadReason);
    return false;
  }

  // Sends 100 Continue to a client that waits for it before it sends its body (RFC 9110, 10.1.1).
  void send_continue_if_expected() {
    if (!reader().head_done() || continue_sent) return;
    const std::string* expect = reader().message().find_field("Expect");
    if (expect == nullptr || !http::equals_ignore_case(*expect, "100-continue")) return;
    continue_sent = true;
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    stream.send({reinterpret_cast<const std::uint8_t*>(kContinue.data()), kContinue.size()});
  }

  void on_written() override {
    if (stream.unsent() == 0) read_next_request();
  }

  void read_next_request() {
    stream.pause(false);
    stream.redeliver_unconsumed();
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
    server.forget_unread(*this);
    receiver.reset();
    read_ahead.set(0);
    waiting_since = 0;
    throttled = false;
    idle_since = server.loop_.now();
    stream.half_close();
    stream.pause(false);
    if (!closed_idle) server.limit_lingering(id);
  }

  ClientServer& server;
  const ClientId id;
  std::uint64_t counting_period = 0;
  std::uint64_t requests_in_period = 0;
  Stream stream;
  MessageReceiver receiver;
  MemoryCharge read_ahead;
  State state = State::kReading;
  bool keep_alive = true;
  bool had_request = false;    // has sent at least one complete request
  bool closed_idle = false;    // closed between requests: no reply is owed
  bool evicted = false;        // its descriptor counts as part of the reserve
  bool throttled = false;      // the next request is read after a pause
  bool continue_sent = false;  // for the request that is being read
  ErrorThrottle error_throttle;
  HeldMessagePtr undelivered_request;  // complete, but not passed to the owner yet
  double request_received_at = 0;      // of that one
  ArrivalTime request_arrival = 0;     // the same
  UnreadRequest unread_request;        // the next one, while it waits
  bool has_place = false;              // of that one: the owner keeps its place in the order of its key
  double unread_since = 0;             // arrival of the first bytes left unread or not consumed; 0: none
  double waiting_since = 0;            // for memory; 0: does not wait
  double idle_since;                   // connect, last reply or begin of lingering
  double request_started_at = 0;       // first byte of the request that is being read; 0: none
  std::size_t discarded_bytes = 0;
};

ClientServer::ClientServer(Loop& loop, Fd listener, DescriptorBudget& descriptors, MemoryBudget& memory,
                           ClientServerOwner& owner)
    : loop_(loop), descriptors_(descriptors), memory_(memory), owner_(owner) {
  listener_ =
      std::make_unique<Listener>(loop_, std::move(listener), [this](Fd fd) { accept(std::move(fd)); });
  timeout_check_ = loop_.run_at(loop_.now() + kTimeoutCheckPeriodSeconds, [this] { check_timeouts(); });
}

ClientServer::~ClientServer() {
  loop_.cancel_deliveries(*this);
  loop_.cancel(timeout_check_);
  loop_.cancel(memory_check_);
  loop_.cancel(throttle_timer_);
  loop_.cancel(drain_timer_);
  loop_.cancel(accept_timer_);
}

ClientServerMemory ClientServer::memory() const {
  ClientServerMemory sum;
  for (const auto& [id, client] : clients_) {
    sum.incomplete_requests += client->reader().body_capacity();
    sum.unconsumed_input += client->stream.read_buffer_bytes();
    sum.unsent_replies += client->stream.write_buffer_bytes();
  }
  return sum;
}

// The turn of a client's request has come, unless the client has gone meanwhile.
void ClientServer::on_arrival(std::uint64_t client) {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  Client& c = *found->second;
  if (c.undelivered_request == nullptr) return;
  take_earlier_places(c);
  c.has_place = false;
  owner_.on_request(client, std::exchange(c.undelivered_request, nullptr), c.request_received_at);
}

// Requests of the same key that arrived earlier and can't be read yet keep their places before this one.
void ClientServer::take_earlier_places(const Client& arrived) {
  if (delayed_.empty()) return;
  const auto key = owner_.order_key(arrived.undelivered_request->message);
  if (!key) return;
  std::vector<std::pair<ArrivalTime, ClientId>> earlier;
  for (const ClientId id : delayed_) {
    Client& other = *clients_.at(id);
    if (id == arrived.id || other.has_place || other.undelivered_request != nullptr) continue;
    look_at_unread(other, other.stream.unconsumed_bytes());
    const auto arrival = other.unread_request.arrival();
    if (other.unread_request.key() == key && arrival && *arrival < arrived.request_arrival)
      earlier.emplace_back(*arrival, id);
  }
  std::sort(earlier.begin(), earlier.end());
  for (const auto& [arrival, id] : earlier) {
    clients_.at(id)->has_place = true;
    ++counts_.kept_places;
    owner_.on_request_delayed(id, *key);
  }
}

// The client has input that can't be read as a request yet.
void ClientServer::look_at_unread(Client& client, std::span<const std::uint8_t> unconsumed) {
  delayed_.insert(client.id);
  peek_buffer_.resize(kMaxReadBytes);
  client.unread_request.look(client.reader(), unconsumed, client.stream, kRequestLimits, peek_buffer_,
                             [&](const http::Message& head) { return owner_.order_key(head); });
}

void ClientServer::forget_unread(Client& client) {
  delayed_.erase(client.id);
  client.unread_request.reset();
  if (std::exchange(client.has_place, false)) owner_.on_delayed_request_dropped(client.id);
}

void ClientServer::accept(Fd fd) {
  if (!descriptors_.acquire(DescriptorBudget::User::kClients) && !evict_idle_connection()) {
    ++counts_.no_descriptor;
    return;  // closes it
  }
  ++counts_.accepted;
  const ClientId id = ++last_client_;
  const auto added = clients_.emplace(id, std::make_unique<Client>(*this, id, std::move(fd))).first;
  added->second->stream.read_soon();
}

std::uint64_t ClientServer::take_busiest_requests() {
  ++counting_period_;
  return std::exchange(busiest_requests_, 0);
}

bool ClientServer::has_left(ClientId client) const {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return true;
  const Stream& stream = found->second->stream;
  const bool was_held_up = loop_.now() - loop_.iteration_time() > kMaxUnpolledSeconds;
  return was_held_up ? stream.peer_has_shut_down_by_now() : stream.peer_has_shut_down();
}

// Guards against clients that hold all descriptors. Evicts connections that have had their last answer first,
// then those of clients that sent invalid requests, then idle ones, and such with an incomplete request only
// if there is no other; the longest idle of each kind. Returns false if all connections have an open request
// or an unsent reply.
bool ClientServer::evict_idle_connection() {
  Client* best = nullptr;
  const auto rank = [](const Client& c) {
    const int kind = c.closed_idle                          ? 1
                     : c.state == Client::State::kLingering ? 0
                     : c.receives_request()                 ? 4
                     : c.error_throttle.errors() > 0        ? 2
                                                            : 3;
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
  auto verdict = ErrorThrottle::Verdict::kGoOn;
  if (reply.to_invalid_request) verdict = c.error_throttle.on_error();
  else c.error_throttle.on_success();
  const bool last = verdict == ErrorThrottle::Verdict::kClose || is_last_reply(c);
  http::Writer writer(c.stream.write_buffer());
  writer.status_line(reply.status);
  if (!reply.retry_after.empty()) writer.field("Retry-After", reply.retry_after);
  if (last) writer.field("Connection", "close");
  writer.end_with_length(reply.body ? reply.body->size() : 0);
  c.stream.send_shared(std::move(reply.body));
  if (verdict == ErrorThrottle::Verdict::kClose) ++counts_.closed_for_errors;
  if (last) return c.linger();
  c.state = Client::State::kReading;
  c.idle_since = loop_.now();
  if (verdict == ErrorThrottle::Verdict::kPause) return throttle(c);
  c.read_next_request();
}

// Pipelined requests are still answered at the end of a drain, as the client cannot tell whether they were
// processed.
bool ClientServer::is_last_reply(const Client& c) const {
  if (!c.keep_alive) return true;
  if (!serving_ended_) return false;
  const bool more = c.stream.unconsumed() > 0 || !c.stream.peer_idle();
  return !more || loop_.now() >= drain_end_at_;
}

// The connection is not read for a while. What is unread keeps its place in the order of its key.
void ClientServer::throttle(Client& client) {
  ++counts_.throttled;
  client.throttled = true;
  client.stream.pause(true);
  if (owner_.keeps_order()) look_at_unread(client, client.stream.unconsumed_bytes());
  throttled_.push_back({client.id, loop_.now() + ErrorThrottle::kPauseSeconds});
  if (throttle_timer_ == 0)
    throttle_timer_ = loop_.run_at(throttled_.front().ends_at, [this] { resume_throttled(); });
}

void ClientServer::resume_throttled() {
  throttle_timer_ = 0;
  while (!throttled_.empty() && throttled_.front().ends_at <= loop_.now()) {
    const auto found = clients_.find(throttled_.front().client);
    throttled_.pop_front();
    if (found == clients_.end() || !std::exchange(found->second->throttled, false)) continue;
    found->second->read_next_request();
  }
  if (!throttled_.empty())
    throttle_timer_ = loop_.run_at(throttled_.front().ends_at, [this] { resume_throttled(); });
}

// Answers an invalid request and closes the connection, as the start of the next request is unknown.
void ClientServer::reply_error(Client& c, int status, const std::string& reason) {
  ++counts_.invalid_requests;
  owner_.on_invalid_request(c.id, status, reason);
  http::Writer(c.stream.write_buffer()).status_line(status).field("Connection", "close").body("");
  c.stream.flush();
  c.linger();
}

// Clients that go on sending after their last answer do not take the descriptors of others: beyond the bound
// the longest lingering connection is closed.
void ClientServer::limit_lingering(ClientId newest) {
  std::erase_if(lingering_, [&](ClientId id) { return !clients_.contains(id); });
  if (lingering_.size() >= kMaxLingering) {
    const ClientId oldest = lingering_.front();
    lingering_.pop_front();
    loop_.defer([this, oldest] { remove(oldest); });
  }
  lingering_.push_back(newest);
}

void ClientServer::remove(ClientId client) {
  const auto found = clients_.find(client);
  if (found == clients_.end()) return;
  found->second->stream.close();
  forget_unread(*found->second);
  found->second->receiver.reset();
  found->second->read_ahead.set(0);
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
      if (draining_ && c->had_request && !c->reader().started() && c->stream.unsent() == 0) continue;
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
    } else if (c.waiting_since > 0) {
      ++counts_.rejected_for_memory;
      reply_error(c, kOverloadStatus, kOverloadReason);
    } else if (c.reader().started()) {
      ++counts_.timed_out;
      reply_error(c, 408, "request was not complete within the timeout");
    } else {
      close_idle(c);
    }
  }
  reject_for_memory();
  resume_read_ahead();
  timeout_check_ = loop_.run_at(loop_.now() + kTimeoutCheckPeriodSeconds, [this] { check_timeouts(); });
}

// Reads on behind open requests where the budget has room again.
void ClientServer::resume_read_ahead() {
  for (const auto& [id, client] : clients_) {
    if (client->state == Client::State::kOpen && client->stream.paused() && client->read_allowance() > 0) {
      client->stream.pause(false);
    }
  }
}

void ClientServer::wait_for_memory(Client& client) {
  if (client.waiting_since > 0) return;
  ++counts_.waited_for_memory;
  client.waiting_since = loop_.now();
  if (client.request_started_at == 0) client.request_started_at = loop_.now();
  waiting_.push_back(client.id);
  if (memory_check_ == 0) {
    memory_check_ = loop_.run_at(loop_.now() + kMemoryCheckPeriodSeconds, [this] { resume_waiting(); });
  }
}

// Lets those go on for which the budget has room by now, the longest waiting first.
void ClientServer::resume_waiting() {
  std::erase_if(waiting_, [&](ClientId id) {
    const auto found = clients_.find(id);
    if (found == clients_.end() || found->second->waiting_since == 0) return true;
    Client& client = *found->second;
    if (client.receiver.read_allowance() == 0) return false;
    client.waiting_since = 0;
    client.stream.pause(false);
    return true;
  });
  memory_check_ = 0;
  if (waiting_.empty()) return;
  memory_check_ = loop_.run_at(loop_.now() + kMemoryCheckPeriodSeconds, [this] { resume_waiting(); });
}

// Connections with an incomplete request, in the order in which they are rejected for lack of memory.
std::vector<ClientId> ClientServer::incomplete_requests() {
  std::vector<ClientId> ids;
  for (const auto& [id, client] : clients_) {
    if (client->state != Client::State::kReading || !client->receives_request()) continue;
    if (client->waiting_since > 0) look_at_unread(*client, client->stream.unconsumed_bytes());
    ids.push_back(id);
  }
  const auto rank = [&](ClientId id) {
    const Client& client = *clients_.at(id);
    return std::tuple(client.unread_request.arrival().has_value(), client.had_request, ~id);
  };
  std::sort(ids.begin(), ids.end(), [&](ClientId a, ClientId b) { return rank(a) < rank(b); });
  return ids;
}

// Rejects incomplete requests until those that have waited for too long fit.
void ClientServer::reject_for_memory() {
  const double waiting_before = loop_.now() - kMemoryWaitSeconds;
  const auto overdue = [&](ClientId id) {
    const auto found = clients_.find(id);
    return found != clients_.end() && found->second->waiting_since > 0 &&
           found->second->waiting_since <= waiting_before && found->second->receiver.read_allowance() == 0;
  };
  if (std::none_of(waiting_.begin(), waiting_.end(), overdue)) return;
  const std::vector<ClientId> candidates = incomplete_requests();
  auto candidate = candidates.begin();
  const std::vector<ClientId> waiting(waiting_.begin(), waiting_.end());
  for (const ClientId id : waiting) {
    while (overdue(id) && candidate != candidates.end()) {
      ++counts_.rejected_for_memory;
      reply_error(*clients_.at(*candidate++), kOverloadStatus, kOverloadReason);
    }
  }
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
  // Connections in the listen backlog are established already: closing the listener would reset them.
  if (listener_->accept_pending() != AcceptStatus::kNonePending && loop_.now() < drain_end_at_) {
    accept_timer_ = loop_.run_at(loop_.now() + kAcceptRetrySeconds, [this] { stop_accepting(); });
    return;
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
    const bool idle = !c->reader().started() && c->stream.unconsumed() == 0 &&
                      (c->had_request || c->idle_since <= now - kLateStartSeconds);
    if (now >= drain_end_at_ || (idle && c->stream.peer_idle())) close_idle(*c);
  }
  if (clients_.empty() && !listener_) {
    drain_timer_ = 0;
    return std::exchange(drained_, nullptr)();
  }
  drain_timer_ = loop_.run_at(loop_.now() + kDrainCheckPeriodSeconds, [this] { continue_drain(); });
}

}  // namespace heronworks::platform
