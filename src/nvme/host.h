// NVMe over TCP host: one association with a controller, that is an admin queue and at most one I/O queue,
// each on a TCP connection of its own (Transport 3.1; Base 6).
#pragma once

#include <deque>
#include <unordered_map>

#include "loop/stream.h"
#include "nvme/pdu.h"

namespace heronworks::nvme {

struct HostOptions {
  Address address;
  std::string subnqn;
  std::string hostnqn = "nqn.2014-08.org.nvmexpress:uuid:00000000-0000-0000-0000-000000000000";
  std::uint16_t io_queue_size = 128;  // entries; 0: admin queue only, as for a discovery controller
  Digests digests;
  double connect_timeout = 1.0;     // s, from connect() until on_ready()
  double keep_alive_timeout = 5.0;  // s; 0: no keep alive
  bool kernel_timestamps = false;   // see Stream::last_arrival_time
};

// The result of a command.
struct Completion {
  bool arrived = false;  // a completion was received; else the connection was lost first
  bool written = false;  // some byte of the command was passed to the kernel, so it may have been executed
  Cqe cqe;
  Bytes data;
  double arrived_at = 0;        // s; receive timestamp of the kernel if enabled, else the time of the read
  double earliest_arrival = 0;  // s; lower bound of the true arrival time, see Loop::earliest_arrival
  Status status() const { return Status::from_field(cqe.status); }
};

class HostHandler {
 public:
  virtual ~HostHandler() = default;
  virtual void on_ready() = 0;
  // Called exactly once for each submitted command, also if the connection is lost (before
  // `on_disconnected`).
  virtual void on_completed(std::uint64_t token, Completion&& completion) = 0;
  // All bytes queued on the I/O queue were passed to the kernel.
  virtual void on_output_drained() {}
  // The association failed to come up, or has ended. The Host may be destroyed in a deferred action.
  virtual void on_disconnected(const std::string& reason) = 0;
};

class HostQueue;

class Host {
 public:
  // Starts to connect. Reports to `handler`, which must outlive the host.
  Host(Loop& loop, HostOptions options, HostHandler& handler);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  bool ready() const { return ready_; }
  // Whether the queue has a free entry for one more command.
  bool can_submit() const;
  std::size_t outstanding() const;   // commands on the I/O queue without a completion
  std::size_t unsent_bytes() const;  // queued on the I/O queue and not yet passed to the kernel

  // Submits a command to the I/O queue, or to the admin queue if there is no I/O queue. `token` is returned
  // with the completion; `write_data` is sent with the command, `read_length` is the size of the buffer for
  // data that it returns, in bytes. Requires ready() and can_submit().
  void submit(std::uint64_t token, Sqe sqe, SharedBytes write_data, std::uint32_t read_length);
  void submit_admin(std::uint64_t token, Sqe sqe, SharedBytes write_data, std::uint32_t read_length);

  // Discards the data of an I/O command. The command still completes, but its write data is not sent any
  // more, so a write whose data the controller has not received takes no effect.
  void cancel(std::uint64_t token);
  // Whether the controller has sent an R2T for a cancelled command, which is never answered.
  bool data_requested_after_cancel() const { return data_requested_after_cancel_; }

  // Closes the connections. Later in this turn of the loop, outstanding commands complete with `arrived`
  // false, and `on_disconnected` is called.
  void close(const std::string& reason);
  std::uint32_t max_transfer_size() const { return max_transfer_size_; }  // bytes, from MDTS

 private:
  friend class HostQueue;
  void send_connect(HostQueue& queue);
  void disconnect(const std::string& reason);
  void command_completed(std::uint64_t token, Completion&& completion, bool dropped);
  void become_ready();
  void continue_initialization(const Completion& completion);
  void send_keep_alive();

  // The command whose completion is awaited during initialization.
  enum class InitStep { kAdminConnect, kEnable, kPollReady, kIdentify, kNumberOfQueues, kIoConnect, kDone };

  Loop& loop_;
  HostOptions options_;
  HostHandler& handler_;
  std::unique_ptr<HostQueue> admin_queue_;
  std::unique_ptr<HostQueue> io_queue_;
  InitStep init_step_ = InitStep::kAdminConnect;
  bool ready_ = false;
  bool disconnected_ = false;
  std::uint16_t cntlid_ = 0xffff;
  std::uint32_t in_capsule_data_size_ = 0;  // bytes, on the I/O queue; from IOCCSZ
  std::uint32_t max_transfer_size_ = 0;
  Loop::TimerId connect_timer_ = 0;
  Loop::TimerId keep_alive_timer_ = 0;
  bool keep_alive_outstanding_ = false;
  bool data_requested_after_cancel_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace heronworks::nvme
