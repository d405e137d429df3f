// Connections to nodes: see node_pool.h.
#include "platform/node_pool.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace heronworks::platform {
namespace {

constexpr http::MessageLimits kAnswerBounds{8192, LongBodies::kLongest, 64};
constexpr Stream::BufferLimits kStreamBounds{65536 + 16384, 65536, true};

// What an answer means (the platform's table of outcomes).
Outcome outcome_of(const http::Message& m) {
  if (m.status == 200) return Outcome::kSucceeded;
  const std::string* rejected = m.find_field("X-Rejected");
  if ((m.status == 503 || m.status == 504) && rejected && *rejected == "1") return Outcome::kQueueFull;
  return Outcome::kError;
}

}  // namespace

struct NodePool::Link final : StreamHandler {
  enum class State { kConnecting, kSpare, kBusy, kIdle };  // kSpare: connecting, for nobody any more

  Link(NodePool& p, int n, std::uint64_t i, Fd fd)
      : pool(p),
        node(n),
        id(i),
        stream(p.loop_, std::move(fd), *this, true, kStreamBounds),
        reader(http::MessageKind::kResponse, kAnswerBounds) {}

  void begin(PoolDispatch d) {
    dispatch = std::move(d);
    reader = http::Reader(http::MessageKind::kResponse, kAnswerBounds);
    timer = pool.loop_.run_at(dispatch.until, [this] { end(Outcome::kTimedOut); });
    ++pool.nodes_[static_cast<std::size_t>(node)].out;
  }

  void write() {
    state = State::kBusy;
    first_byte = stream.total_queued();
    // Danger: a connection that comes up late has used up time, and the node would work for a client that
    // has given up. So the time left is told as of the writing, never rounded up.
    const double left = std::max(1.0, std::floor(1000 * (dispatch.until - pool.loop_.now())));
    const std::string field = "X-Budget-Ms: " + std::to_string(static_cast<long>(left)) + "\r\n";
    dispatch.bytes.insert(dispatch.bytes.begin() + static_cast<std::ptrdiff_t>(dispatch.time_at),
                          field.begin(), field.end());
    last_byte = stream.total_queued() + dispatch.bytes.size();
    stream.send(dispatch.bytes);
    dispatch.bytes = {};
  }

  void on_connected() override {
    pool.loop_.cancel(std::exchange(connect_timer, 0));
    if (state == State::kSpare) return rest(kRest);  // nothing was asked on it: nothing comes late
    if (pool.loop_.now() >= dispatch.until) return end(Outcome::kTimedOut);
    write();
  }

  void rest(double rested = 0) {
    state = State::kIdle;
    idle_since = pool.loop_.now() - rested;
    pool.nodes_[static_cast<std::size_t>(node)].idle.push_back(id);
  }

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    if (state != State::kBusy) {  // nobody asked
      ++pool.counts_.surplus;
      pool.drop(*this);
      return bytes.size();
    }
    const auto used = reader.put(bytes);
    if (reader.error() != http::ParseError::kNone || !holds(reader.buffered_body_bytes())) {
      ++pool.counts_.spoilt;
      end(Outcome::kError);
      return bytes.size();
    }
    if (!reader.done()) return used;
    answered(used < bytes.size());
    return bytes.size();
  }

  bool holds(std::size_t body) {
    if (!pool.bodies_.resize(held, body)) return false;
    held = body;
    return true;
  }

  // The answer is whole; `more`: what came with it is not its own.
  void answered(bool more) {
    http::Message answer = reader.take_message();
    const Outcome outcome = outcome_of(answer);
    if (more) ++pool.counts_.surplus;
    // An answer ahead of the transaction's last byte is of no use to what comes next on the connection.
    const bool keep = !more && answer.keep_alive && stream.unsent() == 0;
    end(outcome, std::move(answer), keep);
  }

  void on_closed(const std::string&) override {
    if (state == State::kIdle || state == State::kSpare) return pool.drop(*this);
    end(unwritten() ? Outcome::kConnectFailed : Outcome::kReset);
  }

  // RFC 9112, 6.3: an answer without a length is ended by its connection's orderly end, and by no reset.
  void on_peer_closed() override {
    if (state == State::kBusy && reader.put_eof()) return answered(false);
    on_closed("closed by the peer");
  }

  // Whether the node cannot have had the last byte.
  bool unwritten() const {
    return state == State::kConnecting || (state == State::kBusy && stream.total_written() < last_byte);
  }
  // Whether it cannot have had the first one either.
  bool unbegun() const {
    return state == State::kConnecting || (state == State::kBusy && stream.total_written() <= first_byte);
  }

  // The connection is closed before the owner hears, but after a good answer that leaves it usable.
  void end(Outcome outcome, http::Message&& answer = {}, bool keep = false) {
    pool.loop_.cancel(std::exchange(timer, 0));
    holds(0);
    if (outcome == Outcome::kTimedOut && unwritten()) outcome = Outcome::kConnectFailed;
    Node& n = pool.nodes_[static_cast<std::size_t>(node)];
    --n.out;
    NodePool& p = pool;
    const int to = node;
    const PoolDispatch d = std::move(dispatch);
    if (outcome == Outcome::kNotSent && state == State::kConnecting) {
      state = State::kSpare;
    } else if (keep) {
      rest();
    } else {
      p.drop(*this);
    }
    p.owner_.ended(to, d, outcome, std::move(answer));
  }

  NodePool& pool;
  const int node;
  const std::uint64_t id;
  Stream stream;
  http::Reader reader;
  State state = State::kConnecting;
  PoolDispatch dispatch;
  std::uint64_t first_byte = 0;  // bytes handed to the system before the present dispatch
  std::uint64_t last_byte = 0;   // and with it
  std::size_t held = 0;          // bytes of the answer's body that were read
  double idle_since = 0;
  Loop::TimerId timer = 0;
  Loop::TimerId connect_timer = 0;
};

NodePool::NodePool(Loop& loop, Options options, Descriptors& descriptors, LongBodies& bodies,
                   NodePoolOwner& owner)
    : loop_(loop), options_(options), descriptors_(descriptors), bodies_(bodies), owner_(owner) {
  sweep_ = loop_.run_at(loop_.now() + kSweep, [this] { sweep(); });
}

NodePool::~NodePool() {
  loop_.cancel(sweep_);
  for (Node& n : nodes_) {
    for (auto& [id, link] : n.links) {
      loop_.cancel(link->timer);
      loop_.cancel(link->connect_timer);
    }
  }
}

void NodePool::place(int node, const Address& address) {
  while (nodes_.size() <= static_cast<std::size_t>(node)) nodes_.emplace_back();
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (n.address == address) return;
  n.address = address;
  close_idle(node);
}

void NodePool::send(int node, PoolDispatch dispatch) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  // The one that was used last, of those that have rested.
  for (std::size_t i = n.idle.size(); i-- > 0;) {
    Link& link = *n.links.at(n.idle[i]);
    if (loop_.now() < link.idle_since + kRest) continue;
    if (!link.stream.peer_idle()) {  // closed at the other end, or with bytes that nobody asked for
      ++counts_.stale;
      drop(link);
      continue;
    }
    n.idle.erase(n.idle.begin() + static_cast<std::ptrdiff_t>(i));
    ++counts_.reused;
    link.begin(std::move(dispatch));
    return link.write();
  }
  Fd fd;
  if (make_room(node)) {
    fd = connect_to(n.address);
    if (!fd) descriptors_.give(Descriptors::User::kNodes);
  } else {
    ++counts_.no_room;
  }
  if (!fd) {  // told later, not in the middle of the sending
    ++n.out;
    loop_.defer([this, node, d = std::move(dispatch)] {
      --nodes_[static_cast<std::size_t>(node)].out;
      owner_.ended(node, d, Outcome::kConnectFailed, {});
    });
    return;
  }
  ++counts_.opened;
  const auto id = ++last_link_;
  auto made = std::make_unique<Link>(*this, node, id, std::move(fd));
  Link& link = *made;
  n.links.emplace(id, std::move(made));
  link.begin(std::move(dispatch));
  link.connect_timer = loop_.run_at(loop_.now() + options_.connect_timeout, [this, &link] {
    if (link.state == Link::State::kSpare) drop(link);
    else link.end(Outcome::kConnectFailed);
  });
}

// A descriptor for one more connection, if need be that of the longest idle one of another node, then of one
// of this node's own that has not rested.
bool NodePool::make_room(int wanting) {
  if (descriptors_.take(Descriptors::User::kNodes)) return true;
  Link* oldest = nullptr;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = nodes_[i];
    if (static_cast<int>(i) == wanting || n.idle.empty()) continue;
    Link& first = *n.links.at(n.idle.front());
    if (oldest == nullptr || first.idle_since < oldest->idle_since) oldest = &first;
  }
  auto& own = nodes_[static_cast<std::size_t>(wanting)];
  if (oldest == nullptr && !own.idle.empty()) oldest = own.links.at(own.idle.front()).get();
  if (oldest == nullptr) return false;
  drop(*oldest);
  return descriptors_.take(Descriptors::User::kNodes);
}

// Closes a connection; whoever waits on it has been told or is told by the caller.
void NodePool::drop(Link& link) {
  Node& n = nodes_[static_cast<std::size_t>(link.node)];
  const auto at = n.links.find(link.id);
  if (at == n.links.end()) return;
  loop_.cancel(link.timer);
  loop_.cancel(link.connect_timer);
  link.stream.close();
  descriptors_.give(Descriptors::User::kNodes);
  std::erase(n.idle, link.id);
  if (closed_.empty()) loop_.defer([this] { closed_.clear(); });
  closed_.push_back(std::move(at->second));
  n.links.erase(at);
}

void NodePool::close_idle(int node) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  while (!n.idle.empty()) drop(*n.links.at(n.idle.back()));
}

void NodePool::wind_up(int node) {
  if (nodes_.size() <= static_cast<std::size_t>(node)) return;
  close_idle(node);
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, link] : nodes_[static_cast<std::size_t>(node)].links) {
    // One that has written nothing yet counts as not begun.
    if (link->state == Link::State::kSpare || link->unbegun()) waiting.push_back(id);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto id : waiting) {
    const auto& links = nodes_[static_cast<std::size_t>(node)].links;
    const auto at = links.find(id);
    if (at == links.end()) continue;
    if (at->second->state == Link::State::kSpare) drop(*at->second);
    else at->second->end(Outcome::kConnectFailed);
  }
}

void NodePool::take_back(int node, int transaction) {
  if (nodes_.size() <= static_cast<std::size_t>(node)) return;
  for (const auto& [id, link] : nodes_[static_cast<std::size_t>(node)].links) {
    using State = Link::State;
    if ((link->state != State::kConnecting && link->state != State::kBusy) ||
        link->dispatch.transaction != transaction)
      continue;
    if (!link->unwritten()) return;
    ++counts_.taken_back;
    return link->end(Outcome::kNotSent);
  }
}

int NodePool::out(int node) const {
  return nodes_.size() <= static_cast<std::size_t>(node) ? 0 : nodes_[static_cast<std::size_t>(node)].out;
}

std::size_t NodePool::idle() const {
  std::size_t sum = 0;
  for (const Node& n : nodes_) sum += n.idle.size();
  return sum;
}

void NodePool::sweep() {
  for (Node& n : nodes_) {
    while (!n.idle.empty() && n.links.at(n.idle.front())->idle_since + options_.idle <= loop_.now()) {
      drop(*n.links.at(n.idle.front()));
    }
  }
  sweep_ = loop_.run_at(loop_.now() + kSweep, [this] { sweep(); });
}

}  // namespace heronworks::platform
