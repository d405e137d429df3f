// The controller's end: accepts connections, brings them up, gathers the data of writes, and hands commands
// to a backend, which completes each once, in any order.
//
// Bounds: a connection whose answers are not read, or that has as many commands out as its queue holds, is
// not read any further, so its peer waits; nobody else does.
#pragma once

#include <map>
#include <unordered_map>

#include "loop/stream.h"
#include "nvme/framing.h"

namespace heronworks::nvme {

using ConnectionId = std::uint64_t;  // never used again

struct Command {
  ConnectionId connection = 0;
  Sqe sqe;
  Bytes data;     // of a write
  double at = 0;  // as TargetOptions::arrival says
};

// Which time a command gets: of reading, the kernel's newest mark on its bytes, or the earliest that it can
// be.
enum class Arrival { kRead, kMarked, kEarliest };

struct TargetOptions {
  std::string subsystem;
  std::uint16_t queue_size = 128;   // commands of one I/O queue
  std::uint8_t mdts = 6;            // most data of a command: 4096 << mdts bytes
  std::uint32_t in_capsule = 8192;  // bytes of data in a capsule
  std::size_t most_connections = 1024;
  double retry_delay = 0.1;  // s that CRD 1 means, rounded up to 0.1; CRD 2 and 3 mean 4 and 16 times it
  Arrival arrival = Arrival::kRead;
  double bring_up_time = 5;  // s in which a connection must be up
};

class Backend {
 public:
  virtual ~Backend() = default;
  // Fills a page of 4096 bytes; the page of the controller itself is filled before and may be changed.
  virtual Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, Bytes& page) = 0;
  virtual void command(Command&& command) = 0;
  // Asked for a log page; completed like a command.
  virtual void log_page(ConnectionId connection, std::uint16_t cid, std::uint8_t page, std::uint64_t offset,
                        std::uint32_t length) = 0;
  virtual void admitted(ConnectionId, const std::string& /*host name*/, bool /*admin*/,
                        const Address& /*peer*/) {}
  virtual void closed(ConnectionId connection) = 0;
};

class TargetConnection;

class Target {
 public:
  Target(Loop& loop, Fd listener, TargetOptions options, Backend& backend);
  ~Target();
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  Address address() const { return listener_->address(); }
  // Ends a command. `data` goes before the completion. False if the connection is gone.
  bool complete(ConnectionId connection, std::uint16_t cid, Status status, std::uint64_t result = 0,
                View data = {});
  // Sends an event to whoever waits for one; remembered once for each connection that is between two waits.
  void notify(std::uint32_t event);
  // Ends the connection as it is; commands on it get no answer. For stand-ins that misbehave.
  void reset(ConnectionId connection);
  void reset_all();
  void stop_accepting() { listener_.reset(); }
  std::size_t connections() const { return connections_.size(); }
  std::size_t unsent() const;

 private:
  friend class TargetConnection;
  void accepted(Fd fd);
  void drop(ConnectionId id);

  struct Association {
    std::string host;
    ConnectionId admin = 0;
  };

  Loop& loop_;
  const TargetOptions options_;
  Backend& backend_;
  std::unique_ptr<Listener> listener_;
  std::unordered_map<ConnectionId, std::unique_ptr<TargetConnection>> connections_;  // bounded by options
  std::map<std::uint16_t, Association> associations_;  // by controller; gone with the admin connection
  ConnectionId last_connection_ = 0;
  std::uint16_t last_controller_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace heronworks::nvme
