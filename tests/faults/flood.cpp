#include "flood.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>

namespace heronworks::faults {
namespace {

constexpr std::size_t kBatchBytes = std::size_t{64} << 10;  // generated at a time
constexpr std::size_t kLargeBodyBytes = 60'000'000;
constexpr std::size_t kChunkedBodyBytes = std::size_t{64} << 10;  // the largest by the platform's page
constexpr std::size_t kHeadBytes = 8000;
constexpr std::size_t kIncompleteBodyBytes = 60'000;
constexpr int kMaxFailedConnects = 1000;
constexpr int kPollMilliseconds = 100;

std::string hex16(unsigned long long number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", number);
  return text;
}

// One flooding connection and what it has still to send.
class FloodConnection {
 public:
  FloodConnection(const FloodOptions& options, unsigned long long first_name)
      : options_(options), next_name_(first_name) {}

  bool open() const { return static_cast<bool>(fd_); }
  int descriptor() const { return fd_.get(); }
  bool has_to_send() const { return !finished_; }

  void connect() {
    fd_ = connect_to(options_.target);
    pending_.clear();
    body_left_ = 0;
    finished_ = false;
    peer_has_ended_ = false;
  }

  void send_some() {
    if (pending_.empty()) refill();
    const auto n = ::send(fd_.get(), pending_.data(), pending_.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n < 0 && errno != EAGAIN && errno != EINTR && errno != EINPROGRESS && errno != ENOTCONN)
      return fd_.reset();
    if (n > 0) pending_.erase(0, static_cast<std::size_t>(n));
    if (pending_.empty() && sends_once()) finished_ = true;
  }

  // A large body is sent to its end although it has been refused.
  void discard_received() {
    static char bytes[65536];
    const auto n = ::recv(fd_.get(), bytes, sizeof bytes, MSG_DONTWAIT);
    const bool sends_on = n == 0 && options_.kind == FloodKind::kLargeBody && body_left_ > 0;
    if (sends_on) peer_has_ended_ = true;
    else if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) fd_.reset();
  }
  bool reads() const { return !peer_has_ended_; }

 private:
  bool sends_once() const {
    return options_.kind == FloodKind::kConnection || options_.kind == FloodKind::kIncompleteWrites;
  }

  std::string transaction(const char* method, const char* profile, const std::string& fields) {
    const std::string name = hex16(next_name_++);
    return std::string(method) + " /api/" + name + "/" + name +
           " HTTP/1.1\r\nHost: app\r\nX-Call-Id: " + name + "\r\nX-Call-Class: " + profile +
           "\r\nTier: gold\r\nX-Budget-Ms: 1000\r\nIO-Info: units=1,shard=0,hosts=1\r\n" + fields + "\r\n";
  }

  std::string write_head(const std::string& framing) {
    return transaction("PUT", "write", "Idempotency-Key: " + hex16(next_name_) + "\r\n" + framing);
  }

  void refill() {
    switch (options_.kind) {
      case FloodKind::kBareRequest:
        return repeat([] { return std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n"); });
      case FloodKind::kUnknownClass:
        return repeat([this] { return transaction("GET", "unknown", ""); });
      case FloodKind::kNewNames:
        return fill_with([this] { return transaction("GET", "read", ""); });
      case FloodKind::kOneByteChunks:
        if (body_left_ == 0) {
          pending_ = write_head("Transfer-Encoding: chunked\r\n");
          body_left_ = kChunkedBodyBytes;
        }
        return fill_with([this] {
          --body_left_;
          return std::string("1\r\nx\r\n") + (body_left_ == 0 ? "0\r\n\r\n" : "");
        });
      case FloodKind::kLargeBody:
        if (body_left_ == 0) {
          pending_ = write_head("Content-Length: " + std::to_string(kLargeBodyBytes) + "\r\n");
          body_left_ = kLargeBodyBytes;
        }
        pending_.append(std::min(body_left_, kBatchBytes), 'x');
        body_left_ -= std::min(body_left_, kBatchBytes);
        return;
      case FloodKind::kConnection:
        pending_ = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        return;
      case FloodKind::kNoise:
        pending_.assign(kBatchBytes, 'x');
        return;
      case FloodKind::kManyFields: {
        std::string fields;
        while (fields.size() < kHeadBytes) fields += "a:b\r\n";
        pending_ = "GET / HTTP/1.1\r\n" + fields + "\r\n";
        return;
      }
      case FloodKind::kIncompleteWrites:
        pending_ = write_head("Content-Length: " + std::to_string(kIncompleteBodyBytes) + "\r\n") +
                   std::string(kIncompleteBodyBytes / 2, 'x');
        return;
    }
  }

  template <typename Generator>
  void fill_with(Generator generate) {
    while (pending_.size() < kBatchBytes) {
      pending_ += generate();
      if (options_.kind == FloodKind::kOneByteChunks && body_left_ == 0) return;
    }
  }

  // The same requests each time, so that the generator is not the bottleneck.
  template <typename Generator>
  void repeat(Generator generate) {
    if (batch_.empty()) {
      fill_with(generate);
      batch_ = pending_;
    }
    pending_ = batch_;
  }

  const FloodOptions& options_;
  Fd fd_;
  std::string pending_;
  std::string batch_;
  bool finished_ = false;
  bool peer_has_ended_ = false;
  std::size_t body_left_ = 0;
  unsigned long long next_name_;
};

}  // namespace

const char* name_of(FloodKind kind) {
  switch (kind) {
    case FloodKind::kBareRequest:
      return "bare request";
    case FloodKind::kUnknownClass:
      return "unknown class";
    case FloodKind::kNewNames:
      return "new names";
    case FloodKind::kOneByteChunks:
      return "one-byte chunks";
    case FloodKind::kLargeBody:
      return "60 MB bodies";
    case FloodKind::kConnection:
      return "connections";
    case FloodKind::kNoise:
      return "noise";
    case FloodKind::kManyFields:
      return "many fields";
    case FloodKind::kIncompleteWrites:
      return "incomplete writes";
  }
  return "";
}

std::vector<FloodKind> all_flood_kinds() {
  return {FloodKind::kBareRequest,   FloodKind::kUnknownClass, FloodKind::kNewNames,
          FloodKind::kOneByteChunks, FloodKind::kLargeBody,    FloodKind::kConnection,
          FloodKind::kNoise,         FloodKind::kManyFields,   FloodKind::kIncompleteWrites};
}

int run_flood(const FloodOptions& options) {
  std::signal(SIGPIPE, SIG_IGN);
  constexpr unsigned long long kNamesPerConnection = 1ULL << 40;
  std::vector<FloodConnection> connections;
  for (int i = 0; i < options.connections; ++i)
    connections.emplace_back(options, static_cast<unsigned long long>(i + 1) * kNamesPerConnection);
  std::vector<pollfd> polled(connections.size());
  for (int failed_connects = 0; failed_connects < kMaxFailedConnects;) {
    for (std::size_t i = 0; i < connections.size(); ++i) {
      FloodConnection& connection = connections[i];
      if (!connection.open()) connection.connect();
      failed_connects = connection.open() ? 0 : failed_connects + 1;
      polled[i] = {
          connection.descriptor(),
          static_cast<short>((connection.reads() ? POLLIN : 0) | (connection.has_to_send() ? POLLOUT : 0)),
          0};
    }
    ::poll(polled.data(), polled.size(), kPollMilliseconds);
    for (std::size_t i = 0; i < connections.size(); ++i) {
      if (polled[i].revents & POLLOUT) connections[i].send_some();
      if (connections[i].open() && (polled[i].revents & (POLLIN | POLLHUP | POLLERR)))
        connections[i].discard_received();
    }
  }
  return 0;
}

}  // namespace heronworks::faults
