// Pools HTTP/1.1 connections to nodes.
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>

#include "loop/stream.h"
#include "platform/descriptor_budget.h"
#include "platform/message_receiver.h"
#include "platform/reuse_delay.h"
#include "state.h"

namespace heronworks::platform {

// One dispatch of a transaction to a node.
struct NodeDispatch {
  int transaction = 0;
  int number = 0;  // of this dispatch within the transaction
  double sent_at = 0;
  double deadline = 0;
  std::vector<std::uint8_t> head;  // of the request, without its X-Budget-Ms field
  std::size_t budget_field_offset =
      0;             // in `head`, where X-Budget-Ms is inserted when the request is written
  SharedBytes body;  // null: empty
};

class NodeConnectionPoolOwner {
 public:
  virtual ~NodeConnectionPoolOwner() = default;
  // Called exactly once for each dispatch. `reply` is null if no valid reply was received.
  virtual void on_dispatch_finished(int node, const NodeDispatch& dispatch, Outcome outcome,
                                    HeldMessagePtr reply) = 0;
};

// Totals since the start.
struct NodeConnectionPoolCounts {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t stale = 0;              // idle connections found closed, or with data on them, before reuse
  std::uint64_t invalid_replies = 0;    // not HTTP, or beyond a limit
  std::uint64_t unexpected_data = 0;    // connections with data that belongs to no request
  std::uint64_t no_descriptor = 0;      // dispatches that failed for lack of a descriptor
  std::uint64_t waited_for_memory = 0;  // replies left unread for a while for lack of memory
  std::uint64_t cancelled = 0;          // dispatches not sent completely before their client closed
};

// Memory allocated for what is sent to nodes and received from them, in bytes.
struct NodeConnectionPoolMemory {
  std::size_t unsent_requests = 0;  // waiting for a connection, or queued on one
  std::size_t incomplete_replies = 0;
};

// Sends each dispatch once, one at a time on each connection, and reports its outcome. Connections are reused
// and closed when idle. The pool does not retry.
//
// A reply for which the memory budget has no room is left unread, until its dispatch's deadline at most.
class NodeConnectionPool {
 public:
  struct Options {
    double connect_timeout = 1.0;  // s
    double idle_timeout = 10.0;    // s
  };

  NodeConnectionPool(Loop& loop, Options options, DescriptorBudget& descriptors, MemoryBudget& memory,
                     NodeConnectionPoolOwner& owner);
  ~NodeConnectionPool();

  // Closes idle connections if the address has changed.
  void set_address(int node, const Address& address);
  void send(int node, NodeDispatch dispatch);
  // Closes idle connections and finishes dispatches of which no byte was written with kConnectFailed.
  void drain(int node);
  // Finishes the transaction's dispatch with kNotSent unless the whole request may have reached the node. A
  // connection that is still being established for it is kept for other dispatches.
  void cancel_unsent(int node, int transaction);
  void close_idle(int node);
  int in_flight(int node) const;
  std::size_t idle_connections() const;
  // Seconds for which a connection stays idle after a reply before it is reused.
  double reuse_delay() const { return reuse_delay_.seconds(loop_.now()); }
  const NodeConnectionPoolCounts& counts() const { return counts_; }
  NodeConnectionPoolMemory memory() const;  // visits each connection

 private:
  struct Connection;
  struct IdleConnection {
    std::uint64_t id = 0;
    double since = 0;
    bool had_reply = false;  // without one, there is no duplicate to wait for
  };
  struct Node {
    Address address;
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections;  // by id
    std::vector<IdleConnection> idle;                                            // the longest idle first
    int in_flight = 0;
  };

  std::size_t find_reusable(const Node& node) const;
  void learn_from_late_data(const IdleConnection& idle);
  bool acquire_descriptor(int node);
  void close(Connection& connection);
  void close_expired();
  void wait_for_memory(Connection& connection);
  void resume_waiting();

  struct ConnectionKey {
    int node = 0;
    std::uint64_t id = 0;
  };
  Connection* find(const ConnectionKey& key) const;

  static constexpr double kIdleCheckPeriodSeconds = 0.5;
  static constexpr double kMemoryCheckPeriodSeconds = 0.005;  // while replies wait

  Loop& loop_;
  const Options options_;
  DescriptorBudget& descriptors_;
  MemoryBudget& memory_;
  NodeConnectionPoolOwner& owner_;
  ReuseDelay reuse_delay_;
  std::deque<Node> nodes_;                           // by node index
  std::vector<std::unique_ptr<Connection>> closed_;  // freed later in this loop iteration
  std::deque<ConnectionKey> waiting_;                // for memory, the longest waiting first
  ConnectionKey exceeding_;                          // the last one that went on without room
  std::uint64_t last_connection_id_ = 0;
  Loop::TimerId idle_check_ = 0;
  Loop::TimerId memory_check_ = 0;
  NodeConnectionPoolCounts counts_;
};

}  // namespace heronworks::platform
