// Owning file descriptors, numeric socket addresses, and non-blocking TCP sockets. Connected sockets have
// TCP_NODELAY set.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace heronworks {

// Owns a file descriptor and closes it on destruction. Movable, not copyable.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Fd() { reset(); }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset();

 private:
  int fd_ = -1;
};

// A numeric IPv4 or IPv6 address and a port. Host names are not resolved.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  std::string to_string() const;
  bool operator==(const Address&) const = default;
  // Parses "127.0.0.1:4420" or "[::1]:4420". Returns nullopt for anything else.
  static std::optional<Address> parse(const std::string& text);
};

enum class AcceptStatus {
  kAccepted,
  kNonePending,
  kFailed,       // one connection failed, or a signal came: others may be pending, accept(2)
  kNoResources,  // descriptors or memory have run out: connections stay pending
};

struct Accepted {
  AcceptStatus status = AcceptStatus::kNonePending;
  Fd fd;  // of kAccepted
};
Accepted accept_from(int listener);

// Whether a read or write that failed with this errno value may succeed later on the same socket.
bool is_temporary_socket_error(int error);

// On failure, these return an empty Fd and leave the cause in errno.
Fd listen_on(const Address& address, int backlog = 256);
// Starts a connection, which may still be in progress on return. The socket becomes writable once it is
// established or has failed; socket_error() then tells which.
Fd connect_to(const Address& address);

Address local_address(int fd);
Address peer_address(int fd);
// The pending error of a socket (SO_ERROR) as an errno value, 0 if there is none. Clears it.
int socket_error(int fd);

}  // namespace heronworks
