#include "loop/fd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace heronworks {
namespace {

struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

std::optional<SocketAddress> to_socket_address(const Address& address) {
  SocketAddress result;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage);
  if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(address.port);
    result.length = sizeof *v4;
    return result;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage);
  if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    result.length = sizeof *v6;
    return result;
  }
  return std::nullopt;
}

// `get_name` is getsockname(2) or getpeername(2).
Address get_address(int (*get_name)(int, sockaddr*, socklen_t*), int fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof storage;
  get_name(fd, reinterpret_cast<sockaddr*>(&storage), &length);
  char text[INET6_ADDRSTRLEN] = "";
  if (storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof text);
    return {text, ntohs(v4->sin_port)};
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
  inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof text);
  return {text, ntohs(v6->sin6_port)};
}

void set_no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

std::string Address::to_string() const {
  const std::string port_suffix = ":" + std::to_string(port);
  return host.find(':') == std::string::npos ? host + port_suffix : "[" + host + "]" + port_suffix;
}

std::optional<Address> Address::parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) return std::nullopt;
  Address address;
  address.host = text.substr(0, colon);
  if (address.host.size() > 1 && address.host.front() == '[' && address.host.back() == ']') {
    address.host = address.host.substr(1, address.host.size() - 2);
  } else if (address.host.find(':') != std::string::npos) {
    return std::nullopt;
  }
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  if (error != std::errc() || parsed_to != end || !to_socket_address(address)) return std::nullopt;
  return address;
}

Fd listen_on(const Address& address, int backlog) {
  const auto socket_address = to_socket_address(address);
  if (!socket_address) return errno = EINVAL, Fd();
  Fd fd(::socket(socket_address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  const int on = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd.get(), socket_address->get(), socket_address->length) != 0 ||
      ::listen(fd.get(), backlog) != 0)
    return Fd();
  return fd;
}

Accepted accept_from(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) {
    set_no_delay(fd.get());
    return {AcceptStatus::kAccepted, std::move(fd)};
  }
  if (errno == EAGAIN || errno == EWOULDBLOCK) return {AcceptStatus::kNonePending, Fd()};
  const bool no_resources = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
  return {no_resources ? AcceptStatus::kNoResources : AcceptStatus::kFailed, Fd()};
}

bool is_temporary_socket_error(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

Fd connect_to(const Address& address) {
  const auto socket_address = to_socket_address(address);
  if (!socket_address) return errno = EINVAL, Fd();
  Fd fd(::socket(socket_address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  set_no_delay(fd.get());
  if (::connect(fd.get(), socket_address->get(), socket_address->length) != 0 && errno != EINPROGRESS &&
      errno != EINTR)  // after which it goes on in the background, connect(2)
    return Fd();
  return fd;
}

Address local_address(int fd) { return get_address(::getsockname, fd); }
Address peer_address(int fd) { return get_address(::getpeername, fd); }

int socket_error(int fd) {
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

}  // namespace heronworks
