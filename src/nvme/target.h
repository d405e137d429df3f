// NVMe over TCP target: accepts connections, initializes them, receives the data of writes, and passes
// commands to a backend, which completes each of them once, in any order.
//
// Connections take turns: in each a connection has one read and kMaxPdusPerTurn PDUs at most. One that keeps
// sending invalid commands pauses behind each of them (ErrorThrottle).
//
// Memory is bounded per connection: while a peer does not read its completions, or has as many commands
// outstanding as its queue holds, its connection is not read, so that only this peer waits.
#pragma once

#include <map>
#include <unordered_map>

#include "loop/stream.h"
#include "nvme/pdu.h"

namespace heronworks::nvme {

using ConnectionId = std::uint64_t;  // never reused

struct Command {
  ConnectionId connection = 0;
  Sqe sqe;
  Bytes data;             // of a write
  double arrived_at = 0;  // s of the loop's clock, see TargetOptions::arrival_source
  ArrivalTime arrival;    // of its last byte, for Loop::deliver_in_order()
};

// How the arrival time of a command is determined.
enum class ArrivalSource {
  kReadTime,          // when its bytes were read
  kKernelTimestamp,   // receive timestamp of the kernel for the newest of its bytes
  kEarliestPossible,  // lower bound, see Loop::earliest_arrival
};

struct TargetOptions {
  std::string subnqn;
  std::uint16_t max_queue_size = 128;         // entries of an I/O queue
  std::uint8_t mdts = 6;                      // maximum data transfer size: 4096 << mdts bytes
  std::uint32_t in_capsule_data_size = 8192;  // bytes, on I/O queues
  std::size_t max_connections = 1024;
  double retry_delay = 0.1;  // s; CRDT1, rounded up to 0.1 s. CRDT2 and CRDT3 are 4 and 16 times as long
  ArrivalSource arrival_source = ArrivalSource::kReadTime;
  // Needed for Command::arrival and ArrivalSource::kKernelTimestamp, without which commands count as read.
  bool receive_timestamps = false;
  double connect_timeout = 5;  // s from accept to the completion of Connect
};

// Executes the commands of a target.
class Backend {
 public:
  virtual ~Backend() = default;
  // Fills a page of 4096 bytes. For Identify Controller the target has filled the page before the call.
  virtual Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, Bytes& page) = 0;
  // Executes an I/O command, to be completed by Target::complete. Commands of one connection come in their
  // order, those of several connections as their turns come.
  virtual void execute_command(Command&& command) = 0;
  // Reads `length` bytes of log page `lid` from byte `offset`, to be completed by Target::complete.
  virtual void get_log_page(ConnectionId connection, std::uint16_t cid, std::uint8_t lid,
                            std::uint64_t offset, std::uint32_t length) = 0;
  // A connection's Connect command succeeded.
  virtual void connection_established(ConnectionId, const std::string& /*hostnqn*/, bool /*admin*/,
                                      const Address& /*peer*/) {}
  virtual void connection_closed(ConnectionId connection) = 0;
};

class TargetConnection;

class Target {
 public:
  Target(Loop& loop, Fd listener, TargetOptions options, Backend& backend);
  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  Address address() const { return listener_->address(); }
  // Completes a command. `data` is sent before the completion if the status is success. Returns false if the
  // connection has closed.
  bool complete(ConnectionId connection, std::uint16_t cid, Status status, std::uint64_t result = 0,
                ByteView data = {});
  // Completes an Asynchronous Event Request on each admin connection with `event`, the completion's dword 0.
  // A connection without an outstanding request gets its latest event with its next request.
  void send_async_event(std::uint32_t event);
  // Closes the connection without completing its commands.
  void reset_connection(ConnectionId connection);
  void reset_all_connections();
  void stop_accepting() { listener_.reset(); }
  std::size_t connection_count() const { return connections_.size(); }
  std::size_t unsent_bytes() const;  // of all connections
  std::size_t buffer_bytes() const;  // memory allocated for the input and output of all connections
  std::uint64_t throttled() const { return throttled_; }  // pauses of connections with invalid commands

 private:
  friend class TargetConnection;
  void accept_connection(Fd fd);
  void remove_connection(ConnectionId id);
  void release_idle_buffers();

  struct Association {
    std::string hostnqn;
    ConnectionId admin_connection = 0;
  };

  Loop& loop_;
  const TargetOptions options_;
  Backend& backend_;
  std::unique_ptr<Listener> listener_;
  std::unordered_map<ConnectionId, std::unique_ptr<TargetConnection>> connections_;  // up to max_connections
  std::map<std::uint16_t, Association> associations_;  // by CNTLID; removed with the admin connection
  ConnectionId last_connection_id_ = 0;
  std::uint16_t last_cntlid_ = 0;
  std::uint64_t throttled_ = 0;
  Loop::TimerId idle_buffer_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace heronworks::nvme
