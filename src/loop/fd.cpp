// Sockets: see fd.h.
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

struct Raw {
  sockaddr_storage storage{};
  socklen_t length = 0;
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

std::optional<Raw> raw(const Address& a) {
  Raw r;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&r.storage);
  if (inet_pton(AF_INET, a.host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(a.port);
    r.length = sizeof *v4;
    return r;
  }
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&r.storage);
  if (inet_pton(AF_INET6, a.host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(a.port);
    r.length = sizeof *v6;
    return r;
  }
  return std::nullopt;
}

Address address_by(int (*ask)(int, sockaddr*, socklen_t*), int fd) {
  sockaddr_storage s{};
  socklen_t length = sizeof s;
  ask(fd, reinterpret_cast<sockaddr*>(&s), &length);
  char text[INET6_ADDRSTRLEN] = "";
  if (s.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&s);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof text);
    return {text, ntohs(v4->sin_port)};
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&s);
  inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof text);
  return {text, ntohs(v6->sin6_port)};
}

void no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

std::string Address::to_string() const {
  const std::string p = ":" + std::to_string(port);
  return host.find(':') == std::string::npos ? host + p : "[" + host + "]" + p;
}

std::optional<Address> Address::parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) return std::nullopt;
  Address a;
  a.host = text.substr(0, colon);
  if (a.host.size() > 1 && a.host.front() == '[' && a.host.back() == ']') {
    a.host = a.host.substr(1, a.host.size() - 2);
  } else if (a.host.find(':') != std::string::npos) {
    return std::nullopt;
  }
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, a.port);
  if (error != std::errc() || stop != end || !raw(a)) return std::nullopt;
  return a;
}

Fd listen_on(const Address& address, int backlog) {
  const auto r = raw(address);
  if (!r) return errno = EINVAL, Fd();
  Fd fd(::socket(r->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  const int on = 1;
  setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(fd.get(), r->get(), r->length) != 0 || ::listen(fd.get(), backlog) != 0) return Fd();
  return fd;
}

Fd accept_from(int listener) {
  Fd fd(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) no_delay(fd.get());
  return fd;
}

Fd connect_to(const Address& address) {
  const auto r = raw(address);
  if (!r) return errno = EINVAL, Fd();
  Fd fd(::socket(r->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  no_delay(fd.get());
  if (::connect(fd.get(), r->get(), r->length) != 0 && errno != EINPROGRESS) return Fd();
  return fd;
}

Address local_address(int fd) { return address_by(::getsockname, fd); }
Address peer_address(int fd) { return address_by(::getpeername, fd); }

int socket_error(int fd) {
  int error = 0;
  socklen_t length = sizeof error;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

}  // namespace heronworks
