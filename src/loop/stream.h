// A non-blocking TCP connection with bounded buffers in both directions.
//
// Reading: received bytes go to the handler. Those that it does not consume are kept, up to a limit, and
// passed again together with the next ones. While paused, the stream does not read, so TCP flow control stops
// the peer. The handler may limit each read, and pause the stream by that. Writing: send() queues without
// limit. The handler applies backpressure by checking unsent()
// before it produces more, which bounds the memory that a slow peer can cost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "loop/loop.h"

namespace heronworks {

class Stream;

// Bytes that several owners may hold. Null: none.
using SharedBytes = std::shared_ptr<const std::string>;

// Receives the events of one stream. It may close or destroy the stream from any of them.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void on_connected() {}
  // Returns the number of bytes consumed. The remaining ones are passed again together with those that
  // follow.
  virtual std::size_t on_received(std::span<const std::uint8_t> bytes) = 0;
  // The number of bytes that may be read now; 0 pauses the stream, after on_read_refused(). Asked before each
  // read of a stream with Options::free_when_empty.
  virtual std::size_t read_allowance() { return SIZE_MAX; }
  virtual void on_read_refused() {}
  // Some queued bytes were written to the socket.
  virtual void on_written() {}
  // The connection ended by an error or by the peer; the stream is already closed. Not called after close().
  virtual void on_closed(const std::string& reason) = 0;
  // The peer closed its sending side in order, after all that it sent was received.
  virtual void on_peer_closed() { on_closed("closed by the peer"); }
  // Whether the connection ends at once when its peer ends its sending, whatever is still unread. Asked of
  // streams with Options::watch_peer_shutdown.
  virtual bool ends_with_peer() const { return false; }
};

class Stream final : private PollHandler {
 public:
  static constexpr std::size_t kMaxUnconsumedBytes = std::size_t{4} << 20;
  static constexpr std::size_t kInitialReadBytes = std::size_t{8} << 10;
  static constexpr std::size_t kMaxReadBytes = std::size_t{256} << 10;
  static constexpr std::size_t kCopiedBytes = 2048;  // send_shared() copies up to that many

  struct Options {
    std::size_t max_unconsumed = kMaxUnconsumedBytes;  // bytes; the stream fails with more
    std::size_t max_read = kMaxReadBytes;              // bytes of one read
    bool free_when_empty = false;  // saves memory where most connections are idle, at the cost of allocations
    // The end of the peer's sending is seen behind unread bytes, see peer_has_shut_down(). While the stream
    // is paused, it ends then, whatever the peer sent before.
    bool watch_peer_shutdown = false;
    PollPriority priority = PollPriority::kService;
  };

  // With `connecting`, the socket's connection is still in progress; on_connected() reports its success.
  Stream(Loop& loop, Fd fd, StreamHandler& handler, bool connecting = false)
      : Stream(loop, std::move(fd), handler, connecting, Options{}) {}
  Stream(Loop& loop, Fd fd, StreamHandler& handler, bool connecting, Options options);
  ~Stream() override { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void send(std::span<const std::uint8_t> bytes);
  // Callers may append to this buffer directly and then call flush() or send_shared().
  std::vector<std::uint8_t>& write_buffer() {
    copy_shared_to_buffer();
    return write_buffer_;
  }
  // Queues `bytes` behind those in the buffer and flushes. Many bytes are not copied, but held until they are
  // written.
  void send_shared(SharedBytes bytes);
  void flush();

  void pause(bool paused);
  bool paused() const { return paused_; }
  // Passes the unconsumed bytes to the handler again: later in this iteration, or in the next turn of a
  // stream with PollPriority::kClientInput.
  void redeliver_unconsumed();
  // The same for the bytes that a call of on_received() in progress is going to leave unconsumed.
  void request_redelivery();
  // Reads in a turn of its own, without waiting until the descriptor is found readable. For accepted
  // connections of PollPriority::kClientInput, on which something may have arrived already.
  void read_soon() { loop_.request_turn(fd_.get()); }
  // The peer has ended its sending. What it sent before may still be unread.
  bool peer_has_shut_down() const { return peer_has_shut_down_; }
  // Shuts down the sending side once all queued bytes are written. Reading goes on.
  void half_close();
  // Frees the memory of buffers that are empty, for streams without Options::free_when_empty.
  void release_empty_buffers();
  // True if the peer has neither sent anything that is still unread nor closed the connection. Asks the
  // kernel.
  bool peer_idle() const;
  // True if the peer has sent bytes that are still unread. Asks the kernel.
  bool has_unread_bytes() const;
  // As peer_has_shut_down(), but asks the kernel: also between two polls.
  bool peer_has_shut_down_by_now() const;
  // Bytes that were read but not consumed by the handler.
  std::size_t unconsumed() const { return unconsumed_; }
  std::span<const std::uint8_t> unconsumed_bytes() const {
    return std::span(read_buffer_).subspan(read_offset_, unconsumed_);
  }
  void close();
  bool open() const { return static_cast<bool>(fd_); }
  // Bytes queued but not yet written to the socket.
  std::size_t unsent() const {
    return write_buffer_.size() - write_offset_ + (shared_ ? shared_->size() - shared_offset_ : 0);
  }
  // Memory allocated for received and for queued bytes. The latter include what send_shared() holds.
  std::size_t read_buffer_bytes() const { return read_buffer_.capacity(); }
  std::size_t write_buffer_bytes() const {
    return write_buffer_.capacity() + (shared_ ? shared_->capacity() : 0);
  }
  // Bytes written to the socket since the stream was created.
  std::uint64_t total_written() const { return total_written_; }
  // Bytes queued since the stream was created, written or not.
  std::uint64_t total_queued() const { return total_written_ + unsent(); }
  // Arrival time of the latest bytes read, by the kernel's receive timestamp, in seconds of CLOCK_MONOTONIC.
  // Falls back to the time of the read. Valid only after enable_receive_timestamps().
  double last_arrival_time() const;
  // The same for ordering bytes of several connections. Without a timestamp it is a lower bound, see
  // Loop::previous_poll_arrival_time().
  ArrivalTime last_arrival() const { return last_arrival_; }
  // True if the latest read emptied the receive buffer. False while a pause or the read limit leaves bytes in
  // it.
  bool receive_buffer_drained() const { return receive_buffer_drained_; }
  void enable_receive_timestamps();
  // The number of received bytes that are still unread, by SIOCINQ of tcp(7).
  std::size_t unread_bytes() const;
  // Copies the first unread bytes, which stay unread. Returns their number.
  std::size_t peek(std::span<std::uint8_t> buffer) const;
  // The arrival time of the unread byte number `count`, from 1; nullopt if it is not there. Overwrites
  // `buffer`.
  std::optional<ArrivalTime> arrival_of_unread(std::size_t count, std::span<std::uint8_t> buffer) const;

 private:
  void on_readable() override;
  void on_writable() override;
  void on_hangup() override;
  void on_peer_shutdown() override;
  void update_interest();
  void deliver_unconsumed();
  void read_via_scratch();
  void keep_unconsumed(std::span<const std::uint8_t> bytes);
  void remove_consumed();
  void free_empty_buffers();
  void copy_shared_to_buffer();
  long write_some();
  void fail(const std::string& reason);
  void handle_eof();
  long receive(std::uint8_t* buffer, std::size_t size);
  long peek_byte() const;

  Loop& loop_;
  Fd fd_;
  StreamHandler& handler_;
  const Options options_;
  bool connecting_;
  bool redelivery_requested_ = false;  // in the next turn
  bool peer_has_shut_down_ = false;
  bool half_close_pending_ = false;
  bool paused_ = false;
  bool receive_timestamps_ = false;
  bool receive_buffer_drained_ = true;
  std::size_t read_size_ = kInitialReadBytes;  // doubles while reads fill it, up to the limit
  ArrivalTime last_arrival_ = 0;
  bool last_arrival_is_known_ = false;  // by a timestamp
  double last_read_at_ = 0;
  std::vector<std::uint8_t> read_buffer_;
  std::size_t read_offset_ = 0;  // bytes at the front of read_buffer_ that were consumed
  std::size_t unconsumed_ = 0;   // bytes behind them; the rest is space for the next read
  std::vector<std::uint8_t> write_buffer_;
  std::size_t write_offset_ = 0;   // bytes of write_buffer_ already written to the socket
  SharedBytes shared_;             // to be written behind write_buffer_
  std::size_t shared_offset_ = 0;  // bytes of shared_ already written to the socket
  std::uint64_t total_written_ = 0;
  // False once closed. Held by deferred actions, and by callers of the handler to learn that it closed or
  // destroyed the stream.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts connections on a listening socket and passes them to a callback.
class Listener final : private PollHandler {
 public:
  using AcceptCallback = std::function<void(Fd)>;
  // The accepted connections have receive timestamps from their first byte, if the kernel provides them.
  Listener(Loop& loop, Fd fd, AcceptCallback on_accept);
  ~Listener() override;
  // Accepts pending connections, some at most, also outside of the loop's events. kNonePending: all of them.
  AcceptStatus accept_pending();
  Address address() const { return local_address(fd_.get()); }

 private:
  void on_readable() override;
  void on_writable() override {}
  void on_hangup() override {}

  void pause();

  static constexpr int kMaxAcceptsPerEvent = 64;
  static constexpr double kRetrySeconds = 0.002;  // after which there may be descriptors again
  Loop& loop_;
  Fd fd_;
  AcceptCallback on_accept_;
  Loop::TimerId retry_timer_ = 0;
};

}  // namespace heronworks
