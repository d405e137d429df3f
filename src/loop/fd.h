// A descriptor that closes itself, addresses, and the sockets of this project: TCP, non-blocking, no delay.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace heronworks {

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& o) noexcept : fd_(std::exchange(o.fd_, -1)) {}
  Fd& operator=(Fd&& o) noexcept {
    if (this != &o) {
      reset();
      fd_ = std::exchange(o.fd_, -1);
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

// A numeric IPv4 or IPv6 address and a port; names are not looked up.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  std::string to_string() const;
  bool operator==(const Address&) const = default;
  // "127.0.0.1:4420" or "[::1]:4420"; nothing if it is neither.
  static std::optional<Address> parse(const std::string& text);
};

// An empty Fd on failure, with errno as the system left it.
Fd listen_on(const Address& address, int backlog = 256);
Fd accept_from(int listener);
Fd connect_to(const Address& address);  // in progress; writable once it is up
Address local_address(int fd);
Address peer_address(int fd);
int socket_error(int fd);  // 0 once connected

}  // namespace heronworks
