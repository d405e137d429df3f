// A connected socket with bounded buffers both ways.
//
// In: bytes are handed to the owner as they come; what it does not consume stays, up to
// `kMaxUnconsumedBytes`. A pause stops reading, so that the peer's own window fills and the peer waits. Out:
// `send` queues. The owner looks at `unsent` and stops producing above its own bound; a peer that reads
// nothing thus costs that bound and no more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "loop/loop.h"

namespace heronworks {

class Stream;

class StreamHandler {
 public:
  virtual ~StreamHandler() = default;
  virtual void on_connected() {}
  // Returns how many bytes it used. Unused ones come again with those that follow.
  virtual std::size_t on_received(std::span<const std::uint8_t> bytes) = 0;
  // Some queued bytes were written.
  virtual void on_written() {}
  // The connection ended, by the peer or an error. The stream is closed already; not told after close().
  virtual void on_closed(const std::string& reason) = 0;
  // The same where it was the peer's orderly end: all that it sent has come.
  virtual void on_peer_closed() { on_closed("closed by the peer"); }
};

class Stream final : private PollHandler {
 public:
  static constexpr std::size_t kMaxUnconsumedBytes = std::size_t{4}
                                                     << 20;  // bytes unconsumed at which it is an error
  static constexpr std::size_t kInitialReadBytes = std::size_t{8} << 10;
  static constexpr std::size_t kMaxReadBytes = std::size_t{256} << 10;  // most bytes of one read

  struct BufferLimits {
    std::size_t max_unconsumed = kMaxUnconsumedBytes;
    std::size_t max_read = kMaxReadBytes;
    bool free_when_empty =
        false;  // buffers that are empty are freed: for many connections that are idle mostly
  };

  // `connecting`: wait for the connection to come up first.
  Stream(Loop& loop, Fd fd, StreamHandler& owner, bool connecting = false)
      : Stream(loop, std::move(fd), owner, connecting, BufferLimits{}) {}
  Stream(Loop& loop, Fd fd, StreamHandler& owner, bool connecting, BufferLimits limits);
  ~Stream() override { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void send(std::span<const std::uint8_t> bytes);
  // Bytes may be appended to this directly, followed by flush().
  std::vector<std::uint8_t>& write_buffer() { return out_; }
  void flush();

  void pause(bool paused);
  // What was left unused is handed over again, later in this turn.
  void redeliver_unconsumed();
  // Nothing more is sent: the peer reads the end once it has read what was queued. Reading goes on.
  void half_close();
  // Nothing has come that is unread and the peer has not closed, as the system knows at this moment.
  bool peer_idle() const;
  // Bytes that were read and that the owner has left unused.
  std::size_t unconsumed() const { return in_end_; }
  void close();
  bool open() const { return static_cast<bool>(fd_); }
  std::size_t unsent() const { return out_.size() - out_done_; }
  std::uint64_t total_written() const { return written_; }  // bytes given to the system since the start
  std::uint64_t total_queued() const { return written_ + unsent(); }  // and those still here
  // When the newest bytes read arrived at this machine, by the kernel's own mark, in seconds of
  // CLOCK_MONOTONIC; the time of reading where the kernel gives none. Needs enable_receive_timestamps().
  double last_arrival_time() const { return arrived_at_; }
  // Whether the newest read found the end of what had come; false while a pause or a bound leaves some
  // unread.
  bool receive_buffer_drained() const { return drained_; }
  void enable_receive_timestamps();

 private:
  void on_readable() override;
  void on_writable() override;
  void on_hangup() override;
  void update();
  void present();
  void read_through();
  void give_back();
  void fail(const std::string& reason);
  void end();
  long read_some(std::uint8_t* into, std::size_t room);

  Loop& loop_;
  Fd fd_;
  StreamHandler& owner_;
  const BufferLimits limits_;
  bool connecting_;
  bool finishing_ = false;
  bool paused_ = false;
  bool marks_ = false;
  bool drained_ = true;
  std::size_t room_ = kInitialReadBytes;  // bytes to read at once; grows while reads fill it
  double arrived_at_ = 0;
  std::vector<std::uint8_t> in_;
  std::size_t in_end_ = 0;
  std::vector<std::uint8_t> out_;
  std::size_t out_done_ = 0;
  std::uint64_t written_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts connections and hands them over.
class Listener final : private PollHandler {
 public:
  using AcceptCallback = std::function<void(Fd)>;
  Listener(Loop& loop, Fd fd, AcceptCallback accepted);
  ~Listener() override;
  Fd accept() { return accept_from(fd_.get()); }  // one that waits, or none
  Address address() const { return local_address(fd_.get()); }

 private:
  void on_readable() override;
  void on_writable() override {}
  void on_hangup() override {}

  static constexpr int kAtOnce = 64;
  Loop& loop_;
  Fd fd_;
  AcceptCallback accepted_;
};

}  // namespace heronworks
