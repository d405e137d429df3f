// Buffered sockets: see stream.h.
#include "loop/stream.h"

#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace heronworks {

Stream::Stream(Loop& loop, Fd fd, StreamHandler& owner, bool connecting, BufferLimits limits)
    : loop_(loop), fd_(std::move(fd)), owner_(owner), limits_(limits), connecting_(connecting) {
  loop_.watch(fd_.get(), *this);
  update();
}

void Stream::update() {
  if (fd_) loop_.set_interest(fd_.get(), !paused_ && !connecting_, connecting_ || unsent() > 0);
}

void Stream::close() {
  if (!fd_) return;
  loop_.unwatch(fd_.get());
  fd_.reset();
  *alive_ = false;
}

void Stream::fail(const std::string& reason) {
  if (!fd_) return;
  close();
  owner_.on_closed(reason);
}

void Stream::end() {
  close();
  owner_.on_peer_closed();
}

void Stream::enable_receive_timestamps() {
  const int on = 1;
  marks_ = setsockopt(fd_.get(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on) == 0;
}

void Stream::send(std::span<const std::uint8_t> bytes) {
  if (!fd_) return;
  out_.insert(out_.end(), bytes.begin(), bytes.end());
  flush();
}

void Stream::flush() {
  if (!fd_ || connecting_) return;
  while (unsent() > 0) {
    const auto n = ::send(fd_.get(), out_.data() + out_done_, unsent(), MSG_NOSIGNAL);
    if (n < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // Told later, so that whoever is sending is not called back in the middle of it.
        const std::string reason = std::strerror(errno);
        loop_.defer([this, reason, alive = alive_] {
          if (*alive) fail(reason);
        });
      }
      break;
    }
    out_done_ += static_cast<std::size_t>(n);
    written_ += static_cast<std::uint64_t>(n);
  }
  if (unsent() == 0) {
    out_.clear();
    out_done_ = 0;
    if (limits_.free_when_empty) out_ = {};
    if (std::exchange(finishing_, false)) ::shutdown(fd_.get(), SHUT_WR);
  } else if (out_done_ > (std::size_t{1} << 20)) {
    out_.erase(out_.begin(), out_.begin() + static_cast<std::ptrdiff_t>(out_done_));
    out_done_ = 0;
  }
  update();
}

void Stream::pause(bool paused) {
  if (paused_ == paused) return;
  paused_ = paused;
  drained_ = false;
  update();
  if (!paused) redeliver_unconsumed();  // what was left unused may be usable now
}

void Stream::redeliver_unconsumed() {
  if (in_end_ == 0) return;
  loop_.defer([this, alive = alive_] {
    if (*alive && !paused_ && in_end_ > 0) present();
  });
}

void Stream::present() {
  const auto alive = alive_;
  const auto used = owner_.on_received({in_.data(), in_end_});
  if (!*alive) return;
  if (used > 0) {
    std::memmove(in_.data(), in_.data() + used, in_end_ - used);
    in_end_ -= used;
  }
  if (in_end_ > limits_.max_unconsumed) return fail("more bytes than one message may have");
  give_back();
}

void Stream::give_back() {
  if (!limits_.free_when_empty) return;
  if (in_end_ == 0) {
    in_ = {};
    room_ = kInitialReadBytes;
  }
  if (out_.empty()) out_ = {};
}

void Stream::half_close() {
  if (!fd_) return;
  finishing_ = true;
  flush();
}

bool Stream::peer_idle() const {
  std::uint8_t byte = 0;
  return fd_ && ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

long Stream::read_some(std::uint8_t* into, std::size_t room) {
  if (!marks_) return ::recv(fd_.get(), into, room, 0);
  iovec part{into, room};
  alignas(cmsghdr) char control[128];
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const auto n = ::recvmsg(fd_.get(), &message, 0);
  if (n <= 0) return n;
  arrived_at_ = loop_.now();
  for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c)) {
    if (c->cmsg_level != SOL_SOCKET || c->cmsg_type != SCM_TIMESTAMPNS) continue;
    timespec t{};
    std::memcpy(&t, CMSG_DATA(c), sizeof t);
    const double marked =
        static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec) - wall_offset();
    if (marked < arrived_at_) arrived_at_ = marked;
  }
  return n;
}

void Stream::on_readable() {
  if (limits_.free_when_empty && in_end_ == 0) return read_through();
  if (in_.size() < in_end_ + room_) in_.resize(in_end_ + room_);
  const auto n = read_some(in_.data() + in_end_, room_);
  if (n < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
    return fail(std::strerror(errno));
  }
  if (n == 0) return end();
  drained_ = static_cast<std::size_t>(n) < room_;
  if (!drained_) room_ = std::min(2 * room_, limits_.max_read);
  in_end_ += static_cast<std::size_t>(n);
  present();
}

// Only what the owner leaves unused takes room of the stream's own.
void Stream::read_through() {
  const auto room = loop_.scratch().first(std::min(loop_.scratch().size(), limits_.max_read));
  const auto n = read_some(room.data(), room.size());
  if (n < 0) {
    if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return;
    return fail(std::strerror(errno));
  }
  if (n == 0) return end();
  const auto bytes = room.first(static_cast<std::size_t>(n));
  drained_ = bytes.size() < room.size();
  const auto alive = alive_;
  const auto used = owner_.on_received(bytes);
  if (!*alive || used == bytes.size()) return;
  const auto left = bytes.subspan(used);
  in_.assign(left.begin(), left.end());
  in_end_ = left.size();
  if (in_end_ > limits_.max_unconsumed) fail("more bytes than one message may have");
}

void Stream::on_writable() {
  if (connecting_) {
    const int error = socket_error(fd_.get());
    if (error != 0) return fail(std::strerror(error));
    connecting_ = false;
    const auto alive = alive_;
    owner_.on_connected();
    if (!*alive) return;
    return flush();
  }
  const auto before = written_;
  flush();
  if (written_ != before) owner_.on_written();
}

void Stream::on_hangup() {
  const int error = socket_error(fd_.get());
  fail(error != 0 ? std::strerror(error) : "hung up");
}

Listener::Listener(Loop& loop, Fd fd, AcceptCallback accepted)
    : loop_(loop), fd_(std::move(fd)), accepted_(std::move(accepted)) {
  loop_.watch(fd_.get(), *this);
}

Listener::~Listener() { loop_.unwatch(fd_.get()); }

void Listener::on_readable() {
  for (int i = 0; i < kAtOnce; ++i) {
    Fd fd = accept_from(fd_.get());
    if (!fd) return;
    accepted_(std::move(fd));
  }
}

}  // namespace heronworks
