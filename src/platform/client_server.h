// Serves HTTP/1.1 connections from clients.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "loop/stream.h"
#include "platform/descriptor_budget.h"
#include "platform/message_receiver.h"

namespace heronworks::platform {

using ClientId = std::uint64_t;  // identifies a connection; never reused

struct ClientReply {
  int status = 0;
  std::string retry_after;  // empty: none
  SharedBytes body;         // null: empty
  bool to_invalid_request = false;
};

class ClientServerOwner {
 public:
  virtual ~ClientServerOwner() = default;
  // A complete request, which must be answered once. `received_at`: the earliest time at which its last byte
  // can have arrived.
  virtual void on_request(ClientId client, HeldMessagePtr request, double received_at) = 0;
  virtual bool keeps_order() const = 0;  // a class does
  // The key of a request whose class keeps order by key. `head`: of a request that may lack its body.
  virtual std::optional<std::uint64_t> order_key(const http::Message& head) const = 0;
  // A request has wholly arrived and can't be read yet. It precedes those of its key that are passed on from
  // now on. Followed by on_request() or on_delayed_request_dropped() for the same client.
  virtual void on_request_delayed(ClientId client, std::uint64_t key) = 0;
  virtual void on_delayed_request_dropped(ClientId client) = 0;
  // The client closed its connection while a request was open. The request needs no reply.
  virtual void on_client_closed(ClientId client) = 0;
  // The server itself answered an invalid request with an error.
  virtual void on_invalid_request(ClientId client, int status, const std::string& reason) = 0;
};

// Totals since the start.
struct ClientServerCounts {
  std::uint64_t accepted = 0;
  std::uint64_t no_descriptor = 0;        // connections closed on accept: all others have an open transaction
  std::uint64_t evicted = 0;              // connections closed to accept a new one
  std::uint64_t invalid_requests = 0;     // answered by the server itself
  std::uint64_t timed_out = 0;            // connections closed because a request was not complete in time
  std::uint64_t closed_idle = 0;          // connections closed between requests: timeout, eviction or drain
  std::uint64_t waited_for_memory = 0;    // requests left unread for a while for lack of memory
  std::uint64_t rejected_for_memory = 0;  // part of invalid_requests: still incomplete, answered with 503
  std::uint64_t throttled = 0;            // pauses of connections that keep sending invalid requests
  std::uint64_t closed_for_errors = 0;    // connections that were closed for too many of them
  std::uint64_t kept_places = 0;  // requests that could not be read yet when a later one of their key could
  std::uint64_t data_after_close = 0;  // those of closed_idle on which data arrived later; it was discarded
};

// Memory allocated for what clients have sent and what they have not read yet, in bytes.
struct ClientServerMemory {
  std::size_t incomplete_requests = 0;  // bodies
  std::size_t unconsumed_input = 0;     // incomplete heads, and what was read behind an open request
  std::size_t unsent_replies = 0;
};

// Accepts connections, reads requests and writes replies. One transaction is open at a time on each
// connection; pipelined requests are answered in order. It does not interpret requests.
//
// Connections take turns: in each a connection has kMaxRequestsPerTurn requests and one read at most. One
// that keeps sending invalid requests pauses behind each of them, and is closed in the end (ErrorThrottle).
// Requests that keep order by key are passed on in the order in which their last bytes arrived, whichever
// connections they came on.
//
// A request for which the memory budget has no room is left unread. If that lasts, incomplete requests are
// rejected, those of clients that were never served first, the newest connection first. Requests that have
// wholly arrived come last. While they wait, they keep their place in the order of their key, and so do those
// behind an open request.
class ClientServer final : private ArrivalHandler {
 public:
  ClientServer(Loop& loop, Fd listener, DescriptorBudget& descriptors, MemoryBudget& memory,
               ClientServerOwner& owner);
  ~ClientServer() override;

  void reply(ClientId client, ClientReply reply);  // ignored if the connection is closed
  // Accepts new connections for `accept_seconds` and serves open ones for `serve_seconds`, then closes each
  // connection once it is idle. After `end_seconds`, closes each connection without an open request. Calls
  // `done` when all connections are closed.
  void drain(double accept_seconds, double serve_seconds, double end_seconds, std::function<void()> done);
  // Whether the client has closed its connection, or ended its sending. on_client_closed() may still follow.
  bool has_left(ClientId client) const;
  // Requests of the connection that had most of them since the previous call.
  std::uint64_t take_busiest_requests();
  std::size_t connection_count() const { return clients_.size(); }
  const ClientServerCounts& counts() const { return counts_; }
  ClientServerMemory memory() const;  // visits each connection

 private:
  struct Client;

  void on_arrival(std::uint64_t client) override;
  void take_earlier_places(const Client& arrived);
  void look_at_unread(Client& client, std::span<const std::uint8_t> unconsumed);
  void forget_unread(Client& client);
  void accept(Fd fd);
  bool evict_idle_connection();
  bool is_last_reply(const Client& client) const;
  void limit_lingering(ClientId newest);
  void reply_error(Client& client, int status, const std::string& reason);
  void close_idle(Client& client);
  void remove(ClientId client);
  void check_timeouts();
  void resume_read_ahead();
  void throttle(Client& client);
  void resume_throttled();
  void wait_for_memory(Client& client);
  void resume_waiting();
  void reject_for_memory();
  std::vector<ClientId> incomplete_requests();
  void stop_accepting();
  void stop_serving();
  void continue_drain();

  // A request must be complete within this time: from the connect for the first request, from its first byte
  // for later ones. A first request that begins late gets kLateStartSeconds more. A connection may be idle
  // for as long. This bounds how long silent and slow clients hold a descriptor.
  static constexpr int kMaxRequestsPerTurn = 4;
  static constexpr double kMaxUnpolledSeconds = 0.02;  // for which what the last poll found is trusted
  static constexpr double kRequestTimeoutSeconds = 2.4;
  static constexpr double kLateStartSeconds = 0.4;
  // A client may send a request just as its idle connection is closed. A reset would not tell it whether the
  // request was processed. So the server half-closes and discards what arrives within this time; the client
  // sees an orderly end without a reply and can retry. Each such connection holds a descriptor meanwhile.
  static constexpr double kIdleCloseLingerSeconds = 0.5;  // longer than a network transit and a loop stall
  // What a client still sends after an error reply is discarded for this long, so that no reset overtakes the
  // reply. kLateStartSeconds applies instead at the end of a drain.
  static constexpr double kErrorLingerSeconds = 2.0;
  static constexpr std::size_t kMaxLingering = 64;  // connections, after an error or a last reply
  static constexpr std::size_t kMaxDiscardedBytes = std::size_t{96} << 20;
  static constexpr double kDrainCheckPeriodSeconds = 0.02;
  static constexpr double kAcceptRetrySeconds = 0.001;
  static constexpr double kTimeoutCheckPeriodSeconds = 0.1;
  static constexpr double kMemoryWaitSeconds = 0.4;           // then incomplete requests are rejected
  static constexpr double kMemoryCheckPeriodSeconds = 0.005;  // while requests wait

  Loop& loop_;
  DescriptorBudget& descriptors_;
  MemoryBudget& memory_;
  ClientServerOwner& owner_;
  std::unique_ptr<Listener> listener_;
  std::map<ClientId, std::unique_ptr<Client>> clients_;  // bounded by descriptors_
  std::vector<std::unique_ptr<Client>> closed_;          // freed later in this loop iteration
  std::deque<ClientId> lingering_;  // after their last reply, the oldest first; at most kMaxLingering
  std::deque<ClientId> evicted_;    // still lingering, oldest first; at most kReservedForEvicted
  std::deque<ClientId> waiting_;    // for memory; bounded by descriptors_
  struct Pause {
    ClientId client = 0;
    double ends_at = 0;
  };
  std::deque<Pause> throttled_;  // the first to go on first; bounded by the rate of accepts
  std::set<ClientId> delayed_;   // have input that can't be read as a request yet; bounded by descriptors_
  std::vector<std::uint8_t> peek_buffer_;  // for what is unread; one read at most
  ClientId last_client_ = 0;
  std::uint64_t counting_period_ = 1;
  std::uint64_t busiest_requests_ = 0;
  bool draining_ = false;
  bool serving_ended_ = false;  // each reply is the last one on its connection
  std::function<void()> drained_;
  Loop::TimerId timeout_check_ = 0;
  Loop::TimerId memory_check_ = 0;
  Loop::TimerId throttle_timer_ = 0;
  Loop::TimerId drain_timer_ = 0;
  Loop::TimerId accept_timer_ = 0;
  double drain_end_at_ = 0;
  ClientServerCounts counts_;
};

}  // namespace heronworks::platform
