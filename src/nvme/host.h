// The host's end: one association with a controller, an admin queue and at most one I/O queue, each a
// connection of its own (TCP Transport 1.0, section 3.1; Base 6).
#pragma once

#include <deque>
#include <unordered_map>

#include "loop/stream.h"
#include "nvme/framing.h"

namespace heronworks::nvme {

struct HostOptions {
  Address address;
  std::string subsystem;
  std::string host_name = "nqn.2014-08.org.nvmexpress:uuid:00000000-0000-0000-0000-000000000000";
  std::uint16_t depth = 128;  // commands out on the I/O queue; 0: admin queue only, as for discovery
  Digests digests;
  double connect_timeout = 1.0;  // s for the whole way up to ready
  double keep_alive = 5.0;       // s; 0: none
  bool mark_arrivals = false;    // see Stream::last_arrival_time
};

// How a command ended. Without a completion: `written` tells whether any byte of it was given to the system.
struct Completion {
  bool arrived = false;
  bool written = false;
  Cqe cqe;
  Bytes data;
  double at = 0;     // see Stream::last_arrival_time; else the time of reading
  double since = 0;  // it did not come before, see Loop::earliest_arrival
  Status status() const { return Status::from(cqe.status); }
};

class HostOwner {
 public:
  virtual ~HostOwner() = default;
  virtual void ready() = 0;
  // For each command submitted, exactly once, also when the connection is lost (before `down`).
  virtual void completed(std::uint64_t token, Completion&& completion) = 0;
  // All bytes queued on the I/O queue were given to the system.
  virtual void progressed() {}
  // Never came up, or came down. The association is closed; it may be destroyed in a deferred action.
  virtual void down(const std::string& reason) = 0;
};

class HostQueue;

class Host {
 public:
  Host(Loop& loop, HostOptions options, HostOwner& owner);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  bool ready() const { return ready_; }
  // Whether one more command may be submitted: an identifier is free.
  bool has_room() const;
  std::size_t out() const;  // commands on the I/O queue without a completion
  // Bytes not yet given to the system, on the I/O queue.
  std::size_t unsent() const;

  // On the I/O queue; on the admin queue where there is none. `token` comes back with the completion.
  // `out` is what the command sends, `in` the most that it may get back. Needs ready() and has_room().
  void submit(std::uint64_t token, Sqe sqe, SharedBytes out, std::uint32_t in);
  void submit_admin(std::uint64_t token, Sqe sqe, SharedBytes out, std::uint32_t in);

  // Nobody waits for this command any more. It still gets its completion, but no data of it is sent: what the
  // controller has not got yet never takes effect. asked_late(): a controller asked for it, and waits in
  // vain.
  void withdraw(std::uint64_t token);
  bool asked_late() const { return asked_late_; }

  // Ends the connections. Commands out are completed without arrival, then `down` is told, later in this
  // turn.
  void close(const std::string& reason);
  std::uint32_t transfer_limit() const { return transfer_limit_; }

 private:
  friend class HostQueue;
  void queue_up(HostQueue& queue);
  void queue_lost(const std::string& reason);
  void finished(std::uint64_t token, Completion&& completion, bool internal);
  void bring_up();
  void step_done(const Completion& completion);
  void beat();

  enum class Step { kAdminConnect, kEnable, kPollReady, kIdentify, kQueues, kIoConnect, kDone };

  Loop& loop_;
  HostOptions options_;
  HostOwner& owner_;
  std::unique_ptr<HostQueue> admin_;
  std::unique_ptr<HostQueue> io_;
  Step step_ = Step::kAdminConnect;
  bool ready_ = false;
  bool down_ = false;
  std::uint16_t controller_ = 0xffff;
  std::uint32_t in_capsule_ = 0;  // bytes of data that a capsule of the I/O queue may carry
  std::uint32_t transfer_limit_ = 0;
  Loop::TimerId timeout_ = 0;
  Loop::TimerId beat_ = 0;
  bool beat_out_ = false;
  bool asked_late_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace heronworks::nvme
