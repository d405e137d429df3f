#include "loop/stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "release_memory.h"

namespace heronworks {
namespace {

// Written bytes are erased from the front of the write buffer once there are more than this.
constexpr std::size_t kWriteBufferCompactionBytes = std::size_t{1} << 20;

// A read buffer that grows gets this part of its size as spare capacity.
constexpr std::size_t kSpareCapacityDivisor = 8;

constexpr const char* kTooManyUnconsumed = "unconsumed bytes exceed the buffer limit";
constexpr double kSecondsPerNanosecond = 1e-9;
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

bool request_receive_timestamps(int fd) {
  const int on = 1;
  return setsockopt(fd, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on) == 0;
}

// A message that is received with its timestamp.
struct TimestampedMessage {
  explicit TimestampedMessage(std::span<iovec> parts) {
    header.msg_iov = parts.data();
    header.msg_iovlen = parts.size();
    header.msg_control = control;
    header.msg_controllen = sizeof control;
  }
  // By SCM_TIMESTAMPNS; nullopt if the kernel has added none.
  std::optional<WallTime> timestamp() {
    for (cmsghdr* part = CMSG_FIRSTHDR(&header); part != nullptr; part = CMSG_NXTHDR(&header, part)) {
      if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_TIMESTAMPNS) continue;
      timespec time{};
      std::memcpy(&time, CMSG_DATA(part), sizeof time);
      return std::int64_t{time.tv_sec} * kNanosecondsPerSecond + time.tv_nsec;
    }
    return std::nullopt;
  }
  msghdr header{};
  alignas(cmsghdr) char control[128];
};

bool is_unsupported(int error) { return error == ENOSYS || error == EOPNOTSUPP || error == EINVAL; }

}  // namespace

Stream::Stream(Loop& loop, Fd fd, StreamHandler& handler, bool connecting, Options options)
    : loop_(loop), fd_(std::move(fd)), handler_(handler), options_(options), connecting_(connecting) {
  if (!loop_.watch(fd_.get(), *this, options_.priority)) {
    loop_.defer([this, alive = alive_] {
      if (*alive) fail("the socket cannot be watched");
    });
  }
  update_interest();
}

void Stream::update_interest() {
  if (!fd_) return;
  PollInterest interest;
  interest.read = !paused_ && !connecting_;
  interest.write = connecting_ || unsent() > 0;
  interest.peer_shutdown = !connecting_ && options_.watch_peer_shutdown;
  loop_.set_interest(fd_.get(), interest);
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
  handler_.on_closed(reason);
}

void Stream::handle_eof() {
  close();
  handler_.on_peer_closed();
}

void Stream::enable_receive_timestamps() {
  receive_timestamps_ = request_receive_timestamps(fd_.get());
  loop_.track_arrivals();
}

double Stream::last_arrival_time() const {
  if (!last_arrival_is_known_) return last_read_at_;
  return std::min(kSecondsPerNanosecond * static_cast<double>(last_arrival_), last_read_at_);
}

void Stream::send(std::span<const std::uint8_t> bytes) {
  if (!fd_) return;
  copy_shared_to_buffer();
  write_buffer_.insert(write_buffer_.end(), bytes.begin(), bytes.end());
  flush();
}

void Stream::send_shared(SharedBytes bytes) {
  if (!fd_) return;
  copy_shared_to_buffer();
  if (bytes && bytes->size() <= kCopiedBytes) {
    write_buffer_.insert(write_buffer_.end(), bytes->begin(), bytes->end());
  } else {
    shared_ = std::move(bytes);
  }
  flush();
}

// Makes room for bytes behind the shared ones.
void Stream::copy_shared_to_buffer() {
  if (!shared_) return;
  const SharedBytes bytes = std::move(shared_);
  const auto begin = bytes->begin() + static_cast<std::ptrdiff_t>(std::exchange(shared_offset_, 0));
  write_buffer_.insert(write_buffer_.end(), begin, bytes->end());
}

// As send(2), of the buffer and the shared bytes behind it.
long Stream::write_some() {
  const std::size_t buffered = write_buffer_.size() - write_offset_;
  if (!shared_) return ::send(fd_.get(), write_buffer_.data() + write_offset_, buffered, MSG_NOSIGNAL);
  iovec parts[2] = {{write_buffer_.data() + write_offset_, buffered},
                    {const_cast<char*>(shared_->data()) + shared_offset_, shared_->size() - shared_offset_}};
  msghdr message{};
  message.msg_iov = buffered > 0 ? parts : parts + 1;
  message.msg_iovlen = buffered > 0 ? 2 : 1;
  return ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
}

void Stream::flush() {
  if (!fd_ || connecting_) return;
  while (unsent() > 0) {
    const auto n = write_some();
    if (n < 0) {
      if (errno == EINTR) continue;
      if (!is_temporary_socket_error(errno)) {
        // Deferred, so that the handler is not called back in the middle of its own send().
        const std::string reason = std::strerror(errno);
        loop_.defer([this, reason, alive = alive_] {
          if (*alive) fail(reason);
        });
      }
      break;
    }
    const auto written = static_cast<std::size_t>(n);
    const std::size_t of_buffer = std::min(written, write_buffer_.size() - write_offset_);
    write_offset_ += of_buffer;
    shared_offset_ += written - of_buffer;
    total_written_ += written;
  }
  if (unsent() == 0) {
    shared_.reset();
    shared_offset_ = 0;
    write_buffer_.clear();
    write_offset_ = 0;
    if (options_.free_when_empty) release_memory(write_buffer_);
    if (std::exchange(half_close_pending_, false)) ::shutdown(fd_.get(), SHUT_WR);
  } else if (write_offset_ > kWriteBufferCompactionBytes) {
    write_buffer_.erase(write_buffer_.begin(),
                        write_buffer_.begin() + static_cast<std::ptrdiff_t>(write_offset_));
    write_offset_ = 0;
  }
  update_interest();
}

void Stream::pause(bool paused) {
  if (paused_ == paused) return;
  paused_ = paused;
  receive_buffer_drained_ = false;
  update_interest();
  if (!paused) redeliver_unconsumed();
}

void Stream::redeliver_unconsumed() {
  if (unconsumed_ > 0) request_redelivery();
}

void Stream::request_redelivery() {
  if (options_.priority == PollPriority::kClientInput) {
    redelivery_requested_ = true;
    return loop_.request_turn(fd_.get());
  }
  loop_.defer([this, alive = alive_] {
    if (*alive && !paused_ && unconsumed_ > 0) deliver_unconsumed();
  });
}

void Stream::deliver_unconsumed() {
  const auto alive = alive_;
  const auto consumed = handler_.on_received({read_buffer_.data() + read_offset_, unconsumed_});
  if (!*alive) return;
  read_offset_ += consumed;
  unconsumed_ -= consumed;
  if (unconsumed_ > options_.max_unconsumed) return fail(kTooManyUnconsumed);
  if (!options_.free_when_empty || read_offset_ > unconsumed_) remove_consumed();
  free_empty_buffers();
}

// Moves the unconsumed bytes to the front of the read buffer.
void Stream::remove_consumed() {
  if (read_offset_ == 0) return;
  std::memmove(read_buffer_.data(), read_buffer_.data() + read_offset_, unconsumed_);
  read_offset_ = 0;
  if (!options_.free_when_empty) return;
  read_buffer_.resize(unconsumed_);
  read_buffer_.shrink_to_fit();
}

void Stream::free_empty_buffers() {
  if (options_.free_when_empty) release_empty_buffers();
}

void Stream::release_empty_buffers() {
  if (unconsumed_ == 0) {
    release_memory(read_buffer_);
    read_size_ = kInitialReadBytes;
  }
  if (unsent() == 0) release_memory(write_buffer_);
}

void Stream::half_close() {
  if (!fd_) return;
  half_close_pending_ = true;
  flush();
}

// As recv(2) of one byte, which stays unread. Does not wait.
long Stream::peek_byte() const {
  std::uint8_t byte = 0;
  return ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool Stream::peer_idle() const { return fd_ && peek_byte() < 0 && (errno == EAGAIN || errno == EWOULDBLOCK); }

bool Stream::has_unread_bytes() const { return fd_ && peek_byte() > 0; }

bool Stream::peer_has_shut_down_by_now() const {
  tcp_info info{};
  socklen_t length = sizeof info;
  return peer_has_shut_down_ || !fd_ ||
         (getsockopt(fd_.get(), IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
          (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE));
}

std::size_t Stream::unread_bytes() const {
  int bytes = 0;
  return fd_ && ::ioctl(fd_.get(), SIOCINQ, &bytes) == 0 ? static_cast<std::size_t>(std::max(bytes, 0)) : 0;
}

std::size_t Stream::peek(std::span<std::uint8_t> buffer) const {
  const auto n = fd_ ? ::recv(fd_.get(), buffer.data(), buffer.size(), MSG_PEEK | MSG_DONTWAIT) : -1;
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

std::optional<ArrivalTime> Stream::arrival_of_unread(std::size_t count,
                                                     std::span<std::uint8_t> buffer) const {
  if (!fd_ || count == 0) return std::nullopt;
  // The kernel tells the time of the last byte that it copies: all of them go to the same place.
  std::vector<iovec> parts;
  for (std::size_t left = count; left > 0; left -= parts.back().iov_len)
    parts.push_back({buffer.data(), std::min(left, buffer.size())});
  TimestampedMessage message(parts);
  const auto n = ::recvmsg(fd_.get(), &message.header, MSG_PEEK | MSG_DONTWAIT);
  if (n < 0 || static_cast<std::size_t>(n) < count) return std::nullopt;
  const std::optional<WallTime> timestamp = message.timestamp();
  return timestamp ? loop_.arrival_time(*timestamp) : loop_.previous_poll_arrival_time();
}

// As recv(2). Also sets the arrival time if receive timestamps are enabled.
long Stream::receive(std::uint8_t* buffer, std::size_t size) {
  if (!receive_timestamps_) return ::recv(fd_.get(), buffer, size, 0);
  iovec part{buffer, size};
  TimestampedMessage message({&part, 1});
  const auto n = ::recvmsg(fd_.get(), &message.header, 0);
  if (n < 0 && is_unsupported(errno)) {
    receive_timestamps_ = false;
    last_arrival_is_known_ = false;
    last_arrival_ = loop_.previous_poll_arrival_time();
    return receive(buffer, size);
  }
  if (n <= 0) return n;
  const std::optional<WallTime> timestamp = message.timestamp();
  last_read_at_ = loop_.now();
  last_arrival_is_known_ = timestamp.has_value();
  last_arrival_ = timestamp ? loop_.arrival_time(*timestamp) : loop_.previous_poll_arrival_time();
  return n;
}

void Stream::on_readable() {
  if (paused_) return;  // since the turn was requested
  if (std::exchange(redelivery_requested_, false)) {
    if (unconsumed_ > 0) deliver_unconsumed();
    return;
  }
  if (options_.free_when_empty) return read_via_scratch();
  if (read_buffer_.size() < unconsumed_ + read_size_) read_buffer_.resize(unconsumed_ + read_size_);
  const auto n = receive(read_buffer_.data() + unconsumed_, read_size_);
  if (n < 0) {
    if (is_temporary_socket_error(errno)) return;
    return fail(std::strerror(errno));
  }
  if (n == 0) return handle_eof();
  receive_buffer_drained_ = static_cast<std::size_t>(n) < read_size_;
  if (!receive_buffer_drained_) read_size_ = std::min(2 * read_size_, options_.max_read);
  unconsumed_ += static_cast<std::size_t>(n);
  deliver_unconsumed();
}

// Reads into the loop's scratch space, as much as the handler allows, and copies only the unconsumed bytes
// into the stream's own buffer.
void Stream::read_via_scratch() {
  const std::size_t allowance = std::min(handler_.read_allowance(), options_.max_read);
  if (allowance == 0) {
    pause(true);
    return handler_.on_read_refused();
  }
  const auto space = loop_.scratch().first(std::min(loop_.scratch().size(), allowance));
  const auto n = receive(space.data(), space.size());
  if (n < 0) {
    if (is_temporary_socket_error(errno)) return;
    return fail(std::strerror(errno));
  }
  if (n == 0) return handle_eof();
  const auto bytes = space.first(static_cast<std::size_t>(n));
  receive_buffer_drained_ = bytes.size() < space.size();
  if (unconsumed_ > 0) {
    keep_unconsumed(bytes);
    return deliver_unconsumed();
  }
  const auto alive = alive_;
  const auto consumed = handler_.on_received(bytes);
  if (!*alive || consumed == bytes.size()) return;
  keep_unconsumed(bytes.subspan(consumed));
  if (unconsumed_ > options_.max_unconsumed) fail(kTooManyUnconsumed);
}

// Appends bytes to those that the handler did not consume, with little spare capacity.
void Stream::keep_unconsumed(std::span<const std::uint8_t> bytes) {
  remove_consumed();
  const std::size_t size = unconsumed_ + bytes.size();
  if (size > read_buffer_.capacity()) read_buffer_.reserve(size + unconsumed_ / kSpareCapacityDivisor);
  read_buffer_.insert(read_buffer_.end(), bytes.begin(), bytes.end());
  unconsumed_ = read_buffer_.size();
}

void Stream::on_peer_shutdown() {
  peer_has_shut_down_ = true;
  if (paused_ || handler_.ends_with_peer()) handle_eof();
}

void Stream::on_writable() {
  if (connecting_) {
    const int error = socket_error(fd_.get());
    if (error != 0) return fail(std::strerror(error));
    connecting_ = false;
    const auto alive = alive_;
    handler_.on_connected();
    if (!*alive) return;
    return flush();
  }
  const auto written_before = total_written_;
  flush();
  if (total_written_ != written_before) handler_.on_written();
}

void Stream::on_hangup() {
  const int error = socket_error(fd_.get());
  fail(error != 0 ? std::strerror(error) : "connection hung up");
}

Listener::Listener(Loop& loop, Fd fd, AcceptCallback on_accept)
    : loop_(loop), fd_(std::move(fd)), on_accept_(std::move(on_accept)) {
  request_receive_timestamps(fd_.get());
  if (!loop_.watch(fd_.get(), *this)) throw std::runtime_error("cannot watch the listening socket");
}

Listener::~Listener() {
  loop_.cancel(retry_timer_);
  loop_.unwatch(fd_.get());
}

void Listener::on_readable() {
  if (accept_pending() == AcceptStatus::kNoResources) return pause();
  loop_.hold_deliveries();  // more may wait to be accepted
}

AcceptStatus Listener::accept_pending() {
  for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
    Accepted accepted = accept_from(fd_.get());
    if (accepted.status == AcceptStatus::kAccepted) {
      on_accept_(std::move(accepted.fd));
    } else if (accepted.status != AcceptStatus::kFailed) {
      return accepted.status;
    }
  }
  return AcceptStatus::kAccepted;
}

// The connections that wait would be reported without end.
void Listener::pause() {
  loop_.set_interest(fd_.get(), {.read = false});
  retry_timer_ =
      loop_.run_at(loop_.now() + kRetrySeconds, [this] { loop_.set_interest(fd_.get(), {.read = true}); });
}

}  // namespace heronworks
