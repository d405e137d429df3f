// Loaded before the C library (LD_PRELOAD), fails system calls as their manual pages allow, by a seeded plan:
//
//   HERONWORKS_SHIM_SEED         of the plan
//   HERONWORKS_SHIM_PROBABILITY  that a call is affected
//
// Only failures after which the same call may succeed later, so that no connection is lost by them: accept4
// (ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM), connect (EINTR, with the connection going on),
// epoll_pwait2 (EINTR), recv and recvmsg (EINTR, fewer bytes), send and sendmsg (EINTR, ENOBUFS, fewer
// bytes).
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <iterator>
#include <random>

namespace {

constexpr std::size_t kShortBytes = 7;

class Plan {
 public:
  static Plan& instance() {
    static Plan plan;
    return plan;
  }
  bool affects_call() { return std::bernoulli_distribution(probability_)(random_); }
  std::size_t below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }

 private:
  static double number(const char* variable) {
    const char* text = std::getenv(variable);
    return text == nullptr ? 0 : std::strtod(text, nullptr);
  }
  std::mt19937_64 random_{static_cast<std::uint64_t>(number("HERONWORKS_SHIM_SEED"))};
  const double probability_ = std::clamp(number("HERONWORKS_SHIM_PROBABILITY"), 0.0, 0.5);
};

// The function of the C library.
template <typename Function>
Function original(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

template <std::size_t kCount>
int fail_with_one_of(const int (&errors)[kCount]) {
  errno = errors[Plan::instance().below(kCount)];
  return -1;
}

// The same message with its first bytes only.
struct ShortMessage {
  explicit ShortMessage(const msghdr& message) : header(message) {
    if (message.msg_iovlen == 0) return;
    part = message.msg_iov[0];
    part.iov_len = std::min(part.iov_len, kShortBytes);
    header.msg_iov = &part;
    header.msg_iovlen = 1;
  }
  msghdr header;
  iovec part{};
};

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto call = original<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  static constexpr int kErrors[] = {ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM};
  if (Plan::instance().affects_call()) return fail_with_one_of(kErrors);
  return call(fd, address, length, flags);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto call = original<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const int result = call(fd, address, length);
  if (result != 0 && errno == EINPROGRESS && Plan::instance().affects_call()) errno = EINTR;
  return result;
}

int epoll_pwait2(int epoll, epoll_event* events, int count, const timespec* timeout, const sigset_t* mask) {
  static const auto call =
      original<int (*)(int, epoll_event*, int, const timespec*, const sigset_t*)>("epoll_pwait2");
  static constexpr int kErrors[] = {EINTR};
  if (Plan::instance().affects_call()) return fail_with_one_of(kErrors);
  return call(epoll, events, count, timeout, mask);
}

ssize_t recv(int fd, void* buffer, std::size_t size, int flags) {
  static const auto call = original<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  static constexpr int kErrors[] = {EINTR};
  if ((flags & MSG_PEEK) == 0 && Plan::instance().affects_call()) {
    if (Plan::instance().below(2) == 0) return fail_with_one_of(kErrors);
    size = std::min(size, kShortBytes);
  }
  return call(fd, buffer, size, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto call = original<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  static constexpr int kErrors[] = {EINTR};
  if ((flags & MSG_PEEK) != 0 || !Plan::instance().affects_call()) return call(fd, message, flags);
  if (Plan::instance().below(2) == 0) return fail_with_one_of(kErrors);
  ShortMessage shortened(*message);
  const ssize_t result = call(fd, &shortened.header, flags);
  message->msg_controllen = shortened.header.msg_controllen;
  message->msg_flags = shortened.header.msg_flags;
  return result;
}

ssize_t send(int fd, const void* bytes, std::size_t size, int flags) {
  static const auto call = original<ssize_t (*)(int, const void*, std::size_t, int)>("send");
  static constexpr int kErrors[] = {EINTR, ENOBUFS};
  if (Plan::instance().affects_call()) {
    if (Plan::instance().below(2) == 0) return fail_with_one_of(kErrors);
    size = std::min(size, kShortBytes);
  }
  return call(fd, bytes, size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto call = original<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  static constexpr int kErrors[] = {EINTR, ENOBUFS};
  if (!Plan::instance().affects_call()) return call(fd, message, flags);
  if (Plan::instance().below(2) == 0) return fail_with_one_of(kErrors);
  const ShortMessage shortened(*message);
  return call(fd, &shortened.header, flags);
}

}  // extern "C"
