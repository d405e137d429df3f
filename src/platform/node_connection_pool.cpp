#include "platform/node_connection_pool.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "platform/reply_outcome.h"
#include "release_memory.h"

namespace heronworks::platform {
namespace {

constexpr std::size_t kMaxReadBytes = 65536;
constexpr Stream::Options kStreamOptions{kMaxReadBytes + std::size_t{2} * 8192, kMaxReadBytes, true};

}  // namespace

struct NodeConnectionPool::Connection final : StreamHandler {
  // kUnassigned: connecting, but the dispatch it was opened for was cancelled.
  enum class State { kConnecting, kUnassigned, kBusy, kIdle };

  Connection(NodeConnectionPool& p, int n, std::uint64_t i, Fd fd)
      : pool(p),
        node(n),
        id(i),
        stream(p.loop_, std::move(fd), *this, true, kStreamOptions),
        receiver(http::MessageKind::kResponse, kReplyLimits, p.memory_, MemoryUse::kReply) {}

  void assign(NodeDispatch d) {
    dispatch = std::move(d);
    receiver.reset();
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
    const auto field_at = dispatch.head.begin() + static_cast<std::ptrdiff_t>(dispatch.budget_field_offset);
    auto& out = stream.write_buffer();
    out.insert(out.end(), dispatch.head.begin(), field_at);
    out.insert(out.end(), field.begin(), field.end());
    out.insert(out.end(), field_at, dispatch.head.end());
    request_end = stream.total_queued() + (dispatch.body ? dispatch.body->size() : 0);
    release_memory(dispatch.head);
    stream.send_shared(std::move(dispatch.body));
  }

  void on_connected() override {
    pool.loop_.cancel(std::exchange(connect_timer, 0));
    if (state == State::kUnassigned) return become_idle(false);
    if (pool.loop_.now() >= dispatch.deadline) return finish(Outcome::kTimedOut);
    write_request();
  }

  void become_idle(bool had_reply) {
    state = State::kIdle;
    pool.nodes_[static_cast<std::size_t>(node)].idle.push_back({id, pool.loop_.now(), had_reply});
  }

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    if (state != State::kBusy) {
      on_unexpected_data();
      return bytes.size();
    }
    const auto used = receiver.put(bytes);
    if (receiver.reader().error() != http::ParseError::kNone) {
      ++pool.counts_.invalid_replies;
      finish(Outcome::kError);
      return bytes.size();
    }
    receiver.account(bytes.size() - used);
    if (!receiver.reader().done()) return used;
    const auto excess = bytes.subspan(used);
    if (excess.empty() && stream.has_unread_bytes()) return used;  // the next read is of excess bytes
    on_reply_complete(excess);
    return bytes.size();
  }

  // Data that belongs to no request, on an idle connection: possibly a duplicate of the last reply.
  void on_unexpected_data() {
    ++pool.counts_.unexpected_data;
    for (const IdleConnection& idle : pool.nodes_[static_cast<std::size_t>(node)].idle) {
      if (idle.id == id) pool.learn_from_late_data(idle);
    }
    pool.close(*this);
  }

  std::size_t read_allowance() override {
    return state == State::kBusy ? receiver.read_allowance() : kMaxReadBytes;
  }

  void on_read_refused() override { pool.wait_for_memory(*this); }

  // `excess`: the bytes that were received behind the reply.
  void on_reply_complete(std::span<const std::uint8_t> excess) {
    HeldMessagePtr reply = receiver.take_message();
    Outcome outcome = outcome_of(reply->message, excess);
    // No node can have executed a request whose end it does not have: the reply belongs to another one.
    if (outcome == Outcome::kSucceeded && partly_unsent()) {
      ++pool.counts_.invalid_replies;
      outcome = Outcome::kConnectFailed;
    }
    if (!excess.empty()) ++pool.counts_.unexpected_data;
    // If the reply precedes the end of the request, the connection cannot be reused.
    const bool reusable = excess.empty() && reply->message.keep_alive && stream.unsent() == 0;
    finish(outcome, std::move(reply), reusable);
  }

  void on_closed(const std::string&) override {
    if (state == State::kIdle || state == State::kUnassigned) return pool.close(*this);
    finish(partly_unsent() ? Outcome::kConnectFailed : Outcome::kReset);
  }

  // A reply without a length is complete at the orderly end of its connection, but not at a reset
  // (RFC 9112, 6.3).
  void on_peer_closed() override {
    if (state == State::kBusy && receiver.put_eof()) return on_reply_complete({});
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
  void finish(Outcome outcome, HeldMessagePtr reply = nullptr, bool reusable = false) {
    pool.loop_.cancel(std::exchange(deadline_timer, 0));
    receiver.reset();
    if (outcome == Outcome::kTimedOut && partly_unsent()) outcome = Outcome::kConnectFailed;
    Node& n = pool.nodes_[static_cast<std::size_t>(node)];
    --n.in_flight;
    NodeConnectionPool& p = pool;
    const int to = node;
    const NodeDispatch d = std::move(dispatch);
    if (outcome == Outcome::kNotSent && state == State::kConnecting) {
      state = State::kUnassigned;
    } else if (reusable) {
      become_idle(true);
    } else {
      p.close(*this);
    }
    p.owner_.on_dispatch_finished(to, d, outcome, std::move(reply));
  }

  NodeConnectionPool& pool;
  const int node;
  const std::uint64_t id;
  Stream stream;
  MessageReceiver receiver;
  State state = State::kConnecting;
  NodeDispatch dispatch;
  std::uint64_t request_begin = 0;  // offset of the request in the stream
  std::uint64_t request_end = 0;
  Loop::TimerId deadline_timer = 0;
  Loop::TimerId connect_timer = 0;
};

NodeConnectionPool::NodeConnectionPool(Loop& loop, Options options, DescriptorBudget& descriptors,
                                       MemoryBudget& memory, NodeConnectionPoolOwner& owner)
    : loop_(loop), options_(options), descriptors_(descriptors), memory_(memory), owner_(owner) {
  idle_check_ = loop_.run_at(loop_.now() + kIdleCheckPeriodSeconds, [this] { close_expired(); });
}

NodeConnectionPool::~NodeConnectionPool() {
  loop_.cancel(idle_check_);
  loop_.cancel(memory_check_);
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
  for (auto i = find_reusable(n); i < n.idle.size(); i = find_reusable(n)) {
    Connection& connection = *n.connections.at(n.idle[i].id);
    if (!connection.stream.peer_idle()) {
      ++counts_.stale;
      if (connection.stream.has_unread_bytes()) learn_from_late_data(n.idle[i]);
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
    dispatch.body.reset();
    loop_.defer([this, node, d = std::move(dispatch)] {
      --nodes_[static_cast<std::size_t>(node)].in_flight;
      owner_.on_dispatch_finished(node, d, Outcome::kConnectFailed, nullptr);
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

// The index of a connection in `idle` that may be reused, the most recently used one of those that had a
// reply. The size of `idle` if there is none.
std::size_t NodeConnectionPool::find_reusable(const Node& node) const {
  const auto unused = std::find_if(node.idle.begin(), node.idle.end(),
                                   [](const IdleConnection& idle) { return !idle.had_reply; });
  if (unused != node.idle.end()) return static_cast<std::size_t>(unused - node.idle.begin());
  const double last_reply_before = loop_.now() - reuse_delay();
  const auto resting =
      std::partition_point(node.idle.begin(), node.idle.end(),
                           [&](const IdleConnection& idle) { return idle.since <= last_reply_before; });
  if (resting == node.idle.begin()) return node.idle.size();
  return static_cast<std::size_t>(resting - node.idle.begin()) - 1;
}

// Data was found on an idle connection.
void NodeConnectionPool::learn_from_late_data(const IdleConnection& idle) {
  if (idle.had_reply) reuse_delay_.on_late_data(loop_.now(), loop_.now() - idle.since);
}

// Acquires a descriptor for a new connection to `node`. At the limit, closes the longest idle connection of
// another node, or else one of this node whose reuse delay has not passed.
bool NodeConnectionPool::acquire_descriptor(int node) {
  if (descriptors_.acquire(DescriptorBudget::User::kNodes)) return true;
  const IdleConnection* oldest = nullptr;
  int oldest_node = node;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (static_cast<int>(i) == node || nodes_[i].idle.empty()) continue;
    const IdleConnection& first = nodes_[i].idle.front();
    if (oldest != nullptr && first.since >= oldest->since) continue;
    oldest = &first;
    oldest_node = static_cast<int>(i);
  }
  const auto& own = nodes_[static_cast<std::size_t>(node)].idle;
  if (oldest == nullptr && !own.empty()) oldest = &own.front();
  if (oldest == nullptr) return false;
  close(*nodes_[static_cast<std::size_t>(oldest_node)].connections.at(oldest->id));
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
  std::erase_if(n.idle, [&](const IdleConnection& idle) { return idle.id == connection.id; });
  if (closed_.empty()) loop_.defer([this] { closed_.clear(); });
  closed_.push_back(std::move(found->second));
  n.connections.erase(found);
}

void NodeConnectionPool::close_idle(int node) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  while (!n.idle.empty()) close(*n.connections.at(n.idle.back().id));
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

NodeConnectionPool::Connection* NodeConnectionPool::find(const ConnectionKey& key) const {
  const auto& connections = nodes_[static_cast<std::size_t>(key.node)].connections;
  const auto found = connections.find(key.id);
  return found == connections.end() ? nullptr : found->second.get();
}

void NodeConnectionPool::wait_for_memory(Connection& connection) {
  ++counts_.waited_for_memory;
  waiting_.push_back({connection.node, connection.id});
  if (memory_check_ == 0) {
    memory_check_ = loop_.run_at(loop_.now() + kMemoryCheckPeriodSeconds, [this] { resume_waiting(); });
  }
}

// Lets those replies go on for which the budget has room by now. The one that has waited longest goes on
// without room, one at a time and while the budget is not exhausted: replies of unknown length that each have
// a part would otherwise wait for each other.
void NodeConnectionPool::resume_waiting() {
  const Connection* const exceeding = exceeding_.id == 0 ? nullptr : find(exceeding_);
  bool may_exceed = (exceeding == nullptr || !exceeding->receiver.ignores_budget()) &&
                    !memory_.exhausted(MemoryUse::kReply);
  std::erase_if(waiting_, [&](const ConnectionKey& key) {
    Connection* const connection = find(key);
    if (connection == nullptr || connection->state != Connection::State::kBusy) return true;
    if (connection->receiver.read_allowance() == 0) {
      if (!std::exchange(may_exceed, false)) return false;
      connection->receiver.ignore_budget();
      exceeding_ = key;
    }
    connection->stream.pause(false);
    return true;
  });
  memory_check_ = 0;
  if (waiting_.empty()) return;
  memory_check_ = loop_.run_at(loop_.now() + kMemoryCheckPeriodSeconds, [this] { resume_waiting(); });
}

NodeConnectionPoolMemory NodeConnectionPool::memory() const {
  NodeConnectionPoolMemory sum;
  for (const Node& node : nodes_) {
    for (const auto& [id, connection] : node.connections) {
      sum.unsent_requests += connection->dispatch.head.capacity() + connection->stream.write_buffer_bytes();
      sum.incomplete_replies +=
          connection->receiver.reader().body_capacity() + connection->stream.read_buffer_bytes();
    }
  }
  return sum;
}

void NodeConnectionPool::close_expired() {
  for (Node& n : nodes_) {
    while (!n.idle.empty() && n.idle.front().since + options_.idle_timeout <= loop_.now()) {
      close(*n.connections.at(n.idle.front().id));
    }
  }
  idle_check_ = loop_.run_at(loop_.now() + kIdleCheckPeriodSeconds, [this] { close_expired(); });
}

}  // namespace heronworks::platform
