// Connections to nodes: one dispatch at a time on each, reuse, idle closing, and the outcome of each dispatch
// exactly once. Nothing is decided here and nothing is ever sent a second time.
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>

#include "http/reader.h"
#include "loop/stream.h"
#include "platform/descriptors.h"
#include "platform/long_bodies.h"
#include "state.h"

namespace heronworks::platform {

struct PoolDispatch {
  int transaction = 0;
  int number = 0;
  double sent_at = 0;
  double until = 0;  // when it is no longer waited for
  std::vector<std::uint8_t> bytes;
  std::size_t time_at = 0;  // where in them the field goes that tells the node the time left as it is written
};

class NodePoolOwner {
 public:
  virtual ~NodePoolOwner() = default;
  // `answer` is whole if its status is not 0; one that can't be used is an error without an answer.
  virtual void ended(int node, const PoolDispatch& dispatch, Outcome outcome, http::Message&& answer) = 0;
};

struct PoolCounts {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t stale = 0;       // idle ones found closed or with bytes on them as they were to be used
  std::uint64_t spoilt = 0;      // answers that could not be used
  std::uint64_t surplus = 0;     // good answers that brought more than was theirs
  std::uint64_t no_room = 0;     // dispatches for which there was no descriptor
  std::uint64_t taken_back = 0;  // dispatches that their clients' leaving overtook
};

class NodePool {
 public:
  struct Options {
    double connect_timeout = 1.0;  // s
    double idle = 10.0;            // s after which an idle connection is closed
  };

  NodePool(Loop& loop, Options options, Descriptors& descriptors, LongBodies& bodies, NodePoolOwner& owner);
  ~NodePool();

  // Where the node is reached; idle connections to another address are closed.
  void place(int node, const Address& address);
  void send(int node, PoolDispatch dispatch);
  // Takes back what waits for its connection, as "no connection", and closes idle ones.
  void wind_up(int node);
  // The transaction's client has gone: what of it the node can't have whole yet is taken back, as moot. A
  // connection that is still coming up for it goes on and then rests.
  void take_back(int node, int transaction);
  void close_idle(int node);
  int out(int node) const;
  std::size_t idle() const;
  const PoolCounts& counts() const { return counts_; }

 private:
  struct Link;
  struct Node {
    Address address;
    std::unordered_map<std::uint64_t, std::unique_ptr<Link>> links;  // emptied as they close
    std::vector<std::uint64_t> idle;                                 // the longest idle first
    int out = 0;
  };

  bool make_room(int wanting);
  void drop(Link& link);
  void sweep();

  static constexpr double kSweep = 0.5;  // s between two looks at idle connections
  // Danger: a second copy of an answer that comes some milliseconds late would be taken for the answer to the
  // next request on its connection, as nothing in an answer says which it belongs to. So a connection rests
  // for this long, and ends if anything comes on it. May hurt a busy node: two connections take turns there.
  static constexpr double kRest = 0.01;  // s; well over the some milliseconds that the platform names

  Loop& loop_;
  const Options options_;
  Descriptors& descriptors_;
  LongBodies& bodies_;
  NodePoolOwner& owner_;
  std::deque<Node> nodes_;                     // by the module's index
  std::vector<std::unique_ptr<Link>> closed_;  // freed later in the turn
  std::uint64_t last_link_ = 0;
  Loop::TimerId sweep_ = 0;
  PoolCounts counts_;
};

}  // namespace heronworks::platform
