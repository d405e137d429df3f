// A connected socket with bounded buffers both ways.
//
// In: bytes are handed to the owner as they come; what it does not consume stays, up to `kMostIn`. A pause
// stops reading, so that the peer's own window fills and the peer waits.
// Out: `send` queues. The owner looks at `unsent` and stops producing above its own bound; a peer that reads
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

class StreamOwner {
 public:
  virtual ~StreamOwner() = default;
  virtual void connected() {}
  // Returns how many bytes it used. Unused ones come again with those that follow.
  virtual std::size_t received(std::span<const std::uint8_t> bytes) = 0;
  // Some queued bytes were written.
  virtual void sent() {}
  // The connection ended, by the peer or an error. The stream is closed already; not told after close().
  virtual void lost(const std::string& reason) = 0;
  // The same where it was the peer's orderly end: all that it sent has come.
  virtual void ended() { lost("closed by the peer"); }
};

class Stream final : private Pollable {
 public:
  static constexpr std::size_t kMostIn = std::size_t{4} << 20;  // bytes unconsumed at which it is an error
  static constexpr std::size_t kReadAtFirst = std::size_t{8} << 10;
  static constexpr std::size_t kReadAtOnce = std::size_t{256} << 10;  // most bytes of one read

  struct Bounds {
    std::size_t most_in = kMostIn;
    std::size_t read_at_once = kReadAtOnce;
    bool gives_back = false;  // buffers that are empty are freed: for many connections that are idle mostly
  };

  // `connecting`: wait for the connection to come up first.
  Stream(Loop& loop, Fd fd, StreamOwner& owner, bool connecting = false)
      : Stream(loop, std::move(fd), owner, connecting, Bounds{}) {}
  Stream(Loop& loop, Fd fd, StreamOwner& owner, bool connecting, Bounds bounds);
  ~Stream() override { close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void send(std::span<const std::uint8_t> bytes);
  // Bytes may be appended to this directly, followed by flush().
  std::vector<std::uint8_t>& out() { return out_; }
  void flush();

  void pause(bool paused);
  // What was left unused is handed over again, later in this turn.
  void again();
  // Nothing more is sent: the peer reads the end once it has read what was queued. Reading goes on.
  void finish();
  // Nothing has come that is unread and the peer has not closed, as the system knows at this moment.
  bool quiet() const;
  // Bytes that were read and that the owner has left unused.
  std::size_t unused() const { return in_end_; }
  void close();
  bool open() const { return static_cast<bool>(fd_); }
  std::size_t unsent() const { return out_.size() - out_done_; }
  std::uint64_t written() const { return written_; }            // bytes given to the system since the start
  std::uint64_t queued() const { return written_ + unsent(); }  // and those still here
  // When the newest bytes read arrived at this machine, by the kernel's own mark, in seconds of
  // CLOCK_MONOTONIC; the time of reading where the kernel gives none. Needs mark_arrivals().
  double arrived_at() const { return arrived_at_; }
  // Whether the newest read found the end of what had come; false while a pause or a bound leaves some
  // unread.
  bool drained() const { return drained_; }
  void mark_arrivals();

 private:
  void readable() override;
  void writable() override;
  void broken() override;
  void update();
  void present();
  void read_through();
  void give_back();
  void fail(const std::string& reason);
  void end();
  long read_some(std::uint8_t* into, std::size_t room);

  Loop& loop_;
  Fd fd_;
  StreamOwner& owner_;
  const Bounds bounds_;
  bool connecting_;
  bool finishing_ = false;
  bool paused_ = false;
  bool marks_ = false;
  bool drained_ = true;
  std::size_t room_ = kReadAtFirst;  // bytes to read at once; grows while reads fill it
  double arrived_at_ = 0;
  std::vector<std::uint8_t> in_;
  std::size_t in_end_ = 0;
  std::vector<std::uint8_t> out_;
  std::size_t out_done_ = 0;
  std::uint64_t written_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts connections and hands them over.
class Listener final : private Pollable {
 public:
  using Accepted = std::function<void(Fd)>;
  Listener(Loop& loop, Fd fd, Accepted accepted);
  ~Listener() override;
  Fd accept() { return accept_from(fd_.get()); }  // one that waits, or none
  Address address() const { return local_address(fd_.get()); }

 private:
  void readable() override;
  void writable() override {}
  void broken() override {}

  static constexpr int kAtOnce = 64;
  Loop& loop_;
  Fd fd_;
  Accepted accepted_;
};

}  // namespace heronworks
