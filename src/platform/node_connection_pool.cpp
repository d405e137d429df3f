#include "platform/node_connection_pool.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "platform/reply_outcome.h"

namespace heronworks::platform {
namespace {

constexpr Stream::BufferLimits kStreamLimits{65536 + 16384, 65536, true};

}  // namespace

struct NodeConnectionPool::Connection final : StreamHandler {
  // kUnassigned: connecting, but the dispatch it was opened for was cancelled.
  enum class State { kConnecting, kUnassigned, kBusy, kIdle };

  Connection(NodeConnectionPool& p, int n, std::uint64_t i, Fd fd)
      : pool(p),
        node(n),
        id(i),
        stream(p.loop_, std::move(fd), *this, true, kStreamLimits),
        reader(http::MessageKind::kResponse, kReplyLimits) {}

  void assign(NodeDispatch d) {
    dispatch = std::move(d);
    reader = http::Reader(http::MessageKind::kResponse, kReplyLimits);
    deadline_timer = pool.loop_.run_at(dispatch.deadline, [this] { finish(Outcome::kTimedOut); });
    ++pool.nodes_[static_cast<std::size_t>(node)].in_flight;
  }

  void write_request() {
    state = State::kBusy;
    request_begin = stream.total_queued();
    // The remaining time is computed when the request is written, as connecting may have taken long;
    // otherwise the node would work on requests whose clients have given up.
    const double remaining_ms = std::max(1.0, std::floor(1000 * (dispatch.deadline - pool.loop_.now())));
    const std::string field = "X-Budget-Ms: " + std::to_string(static_cast<long>(remaining_ms)) + "\r\n";
    dispatch.request.insert(
        dispatch.request.begin() + static_cast<std::ptrdiff_t>(dispatch.budget_field_offset), field.begin(),
        field.end());
    request_end = stream.total_queued() + dispatch.request.size();
    stream.send(dispatch.request);
    dispatch.request = {};
  }

  void on_connected() override {
    pool.loop_.cancel(std::exchange(connect_timer, 0));
    // Without a previous request there is no duplicate reply to wait for.
    if (state == State::kUnassigned) return become_idle(kReuseDelaySeconds);
    if (pool.loop_.now() >= dispatch.deadline) return finish(Outcome::kTimedOut);
    write_request();
  }

  void become_idle(double idle_for = 0) {
    state = State::kIdle;
    idle_since = pool.loop_.now() - idle_for;
    pool.nodes_[static_cast<std::size_t>(node)].idle.push_back(id);
  }

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    if (state != State::kBusy) {
      ++pool.counts_.unexpected_data;
      pool.close(*this);
      return bytes.size();
    }
    const auto used = reader.put(bytes);
    if (reader.error() != http::ParseError::kNone || !resize_body(reader.buffered_body_bytes())) {
      ++pool.counts_.invalid_replies;
      finish(Outcome::kError);
      return bytes.size();
    }
    if (!reader.done()) return used;
    const auto excess = bytes.subspan(used);
    if (excess.empty() && stream.has_unread_bytes()) return used;  // the next read is of excess bytes
    on_reply_complete(excess);
    return bytes.size();
  }

  // Accounts for the reply's body. Returns false at the budget's limit.
  bool resize_body(std::size_t size) {
    if (!pool.bodies_.resize(body_bytes, size)) return false;
    body_bytes = size;
    return true;
  }

  // `excess`: the bytes that were received behind the reply.
  void on_reply_complete(std::span<const std::uint8_t> excess) {
    http::Message reply = reader.take_message();
    const Outcome outcome = outcome_of(reply, excess);
    if (!excess.empty()) ++pool.counts_.unexpected_data;
    // If the reply precedes the end of the request, the connection cannot be reused.
    const bool reusable = excess.empty() && reply.keep_alive && stream.unsent() == 0;
    finish(outcome, std::move(reply), reusable);
  }

  void on_closed(const std::string&) override {
    if (state == State::kIdle || state == State::kUnassigned) return pool.close(*this);
    finish(partly_unsent() ? Outcome::kConnectFailed : Outcome::kReset);
  }

  // A reply without a length is complete at the orderly end of its connection, but not at a reset
  // (RFC 9112, 6.3).
  void on_peer_closed() override {
    if (state == State::kBusy && reader.put_eof()) return on_reply_complete({});
    on_closed("closed by the peer");
  }

  // The request's last byte cannot have reached the node.
  bool partly_unsent() const {
    return state == State::kConnecting || (state == State::kBusy && stream.total_written() < request_end);
  }
  // The request's first byte cannot have reached the node.
  bool wholly_unsent() const {
    return state == State::kConnecting || (state == State::kBusy && stream.total_written() <= request_begin);
  }

  // Reports the outcome of the dispatch. Before that, closes the connection unless it is `reusable`.
  void finish(Outcome outcome, http::Message&& reply = {}, bool reusable = false) {
    pool.loop_.cancel(std::exchange(deadline_timer, 0));
    resize_body(0);
    if (outcome == Outcome::kTimedOut && partly_unsent()) outcome = Outcome::kConnectFailed;
    Node& n = pool.nodes_[static_cast<std::size_t>(node)];
    --n.in_flight;
    NodeConnectionPool& p = pool;
    const int to = node;
    const NodeDispatch d = std::move(dispatch);
    if (outcome == Outcome::kNotSent && state == State::kConnecting) {
      state = State::kUnassigned;
    } else if (reusable) {
      become_idle();
    } else {
      p.close(*this);
    }
    p.owner_.on_dispatch_finished(to, d, outcome, std::move(reply));
  }

  NodeConnectionPool& pool;
  const int node;
  const std::uint64_t id;
  Stream stream;
  http::Reader reader;
  State state = State::kConnecting;
  NodeDispatch dispatch;
  std::uint64_t request_begin = 0;  // offset of the request in the stream
  std::uint64_t request_end = 0;
  std::size_t body_bytes = 0;  // accounted for in bodies_
  double idle_since = 0;
  Loop::TimerId deadline_timer = 0;
  Loop::TimerId connect_timer = 0;
};

NodeConnectionPool::NodeConnectionPool(Loop& loop, Options options, DescriptorBudget& descriptors,
                                       LargeBodyBudget& bodies, NodeConnectionPoolOwner& owner)
    : loop_(loop), options_(options), descriptors_(descriptors), bodies_(bodies), owner_(owner) {
  idle_check_ = loop_.run_at(loop_.now() + kIdleCheckPeriodSeconds, [this] { close_expired(); });
}

NodeConnectionPool::~NodeConnectionPool() {
  loop_.cancel(idle_check_);
  for (Node& n : nodes_) {
    for (auto& [id, connection] : n.connections) {
      loop_.cancel(connection->deadline_timer);
      loop_.cancel(connection->connect_timer);
    }
  }
}

void NodeConnectionPool::set_address(int node, const Address& address) {
  while (nodes_.size() <= static_cast<std::size_t>(node)) nodes_.emplace_back();
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (n.address == address) return;
  n.address = address;
  close_idle(node);
}

void NodeConnectionPool::send(int node, NodeDispatch dispatch) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  // Prefers the most recently used connection whose reuse delay has passed.
  for (std::size_t i = n.idle.size(); i-- > 0;) {
    Connection& connection = *n.connections.at(n.idle[i]);
    if (loop_.now() < connection.idle_since + kReuseDelaySeconds) continue;
    if (!connection.stream.peer_idle()) {
      ++counts_.stale;
      close(connection);
      continue;
    }
    n.idle.erase(n.idle.begin() + static_cast<std::ptrdiff_t>(i));
    ++counts_.reused;
    connection.assign(std::move(dispatch));
    return connection.write_request();
  }
  Fd fd;
  if (acquire_descriptor(node)) {
    fd = connect_to(n.address);
    if (!fd) descriptors_.release(DescriptorBudget::User::kNodes);
  } else {
    ++counts_.no_descriptor;
  }
  if (!fd) {  // reported later, not from within the owner's call
    ++n.in_flight;
    loop_.defer([this, node, d = std::move(dispatch)] {
      --nodes_[static_cast<std::size_t>(node)].in_flight;
      owner_.on_dispatch_finished(node, d, Outcome::kConnectFailed, {});
    });
    return;
  }
  ++counts_.opened;
  const auto id = ++last_connection_id_;
  auto created = std::make_unique<Connection>(*this, node, id, std::move(fd));
  Connection& connection = *created;
  n.connections.emplace(id, std::move(created));
  connection.assign(std::move(dispatch));
  connection.connect_timer = loop_.run_at(loop_.now() + options_.connect_timeout, [this, &connection] {
    if (connection.state == Connection::State::kUnassigned) close(connection);
    else connection.finish(Outcome::kConnectFailed);
  });
}

// Acquires a descriptor for a new connection to `node`. At the limit, closes the longest idle connection of
// another node, or else one of this node whose reuse delay has not passed.
bool NodeConnectionPool::acquire_descriptor(int node) {
  if (descriptors_.acquire(DescriptorBudget::User::kNodes)) return true;
  Connection* oldest = nullptr;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = nodes_[i];
    if (static_cast<int>(i) == node || n.idle.empty()) continue;
    Connection& first = *n.connections.at(n.idle.front());
    if (oldest == nullptr || first.idle_since < oldest->idle_since) oldest = &first;
  }
  auto& own = nodes_[static_cast<std::size_t>(node)];
  if (oldest == nullptr && !own.idle.empty()) oldest = own.connections.at(own.idle.front()).get();
  if (oldest == nullptr) return false;
  close(*oldest);
  return descriptors_.acquire(DescriptorBudget::User::kNodes);
}

// The caller reports the outcome of the connection's dispatch, if there is one.
void NodeConnectionPool::close(Connection& connection) {
  Node& n = nodes_[static_cast<std::size_t>(connection.node)];
  const auto found = n.connections.find(connection.id);
  if (found == n.connections.end()) return;
  loop_.cancel(connection.deadline_timer);
  loop_.cancel(connection.connect_timer);
  connection.stream.close();
  descriptors_.release(DescriptorBudget::User::kNodes);
  std::erase(n.idle, connection.id);
  if (closed_.empty()) loop_.defer([this] { closed_.clear(); });
  closed_.push_back(std::move(found->second));
  n.connections.erase(found);
}

void NodeConnectionPool::close_idle(int node) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  while (!n.idle.empty()) close(*n.connections.at(n.idle.back()));
}

void NodeConnectionPool::drain(int node) {
  if (nodes_.size() <= static_cast<std::size_t>(node)) return;
  close_idle(node);
  std::vector<std::uint64_t> unsent;
  for (const auto& [id, connection] : nodes_[static_cast<std::size_t>(node)].connections) {
    if (connection->state == Connection::State::kUnassigned || connection->wholly_unsent()) {
      unsent.push_back(id);
    }
  }
  std::sort(unsent.begin(), unsent.end());
  for (const auto id : unsent) {
    const auto& connections = nodes_[static_cast<std::size_t>(node)].connections;
    const auto found = connections.find(id);
    if (found == connections.end()) continue;
    if (found->second->state == Connection::State::kUnassigned) close(*found->second);
    else found->second->finish(Outcome::kConnectFailed);
  }
}

void NodeConnectionPool::cancel_unsent(int node, int transaction) {
  if (nodes_.size() <= static_cast<std::size_t>(node)) return;
  for (const auto& [id, connection] : nodes_[static_cast<std::size_t>(node)].connections) {
    using State = Connection::State;
    if ((connection->state != State::kConnecting && connection->state != State::kBusy) ||
        connection->dispatch.transaction != transaction)
      continue;
    if (!connection->partly_unsent()) return;
    ++counts_.cancelled;
    return connection->finish(Outcome::kNotSent);
  }
}

int NodeConnectionPool::in_flight(int node) const {
  return nodes_.size() <= static_cast<std::size_t>(node) ? 0
                                                         : nodes_[static_cast<std::size_t>(node)].in_flight;
}

std::size_t NodeConnectionPool::idle_connections() const {
  std::size_t sum = 0;
  for (const Node& n : nodes_) sum += n.idle.size();
  return sum;
}

void NodeConnectionPool::close_expired() {
  for (Node& n : nodes_) {
    while (!n.idle.empty() &&
           n.connections.at(n.idle.front())->idle_since + options_.idle_timeout <= loop_.now()) {
      close(*n.connections.at(n.idle.front()));
    }
  }
  idle_check_ = loop_.run_at(loop_.now() + kIdleCheckPeriodSeconds, [this] { close_expired(); });
}

}  // namespace heronworks::platform
