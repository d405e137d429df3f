#include "node.h"

#include <csignal>

#include "http/reader.h"
#include "loop/stream.h"

namespace heronworks::faults {
namespace {

constexpr http::MessageLimits kRequestLimits{8192, std::size_t{1} << 20, 64};
constexpr double kDiscardPeriodSeconds = 1;

class NodeSession final : public StreamHandler {
 public:
  NodeSession(Loop& loop, Fd fd, const NodeOptions& options, const std::string& reply)
      : loop_(loop), options_(options), reply_(reply), stream_(loop, std::move(fd), *this) {}

  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const std::size_t used = reader_.put(bytes);
    if (!reader_.done()) return used;
    reader_.take_message();
    if (options_.service_seconds <= 0) reply();
    else loop_.run_at(loop_.now() + options_.service_seconds, [this] { reply(); });
    return used;
  }
  void on_closed(const std::string&) override { closed_ = true; }
  bool closed() const { return closed_; }

 private:
  void reply() { stream_.send({reinterpret_cast<const std::uint8_t*>(reply_.data()), reply_.size()}); }

  Loop& loop_;
  const NodeOptions& options_;
  const std::string& reply_;
  http::Reader reader_{http::MessageKind::kRequest, kRequestLimits};
  Stream stream_;
  bool closed_ = false;
};

// Sessions are kept for as long as a reply may be due.
class Node {
 public:
  Node(Loop& loop, Fd listener, const NodeOptions& options)
      : loop_(loop),
        options_(options),
        reply_("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(options.reply_bytes) + "\r\n\r\n" +
               std::string(options.reply_bytes, 'y')),
        listener_(loop, std::move(listener), [this](Fd fd) {
          sessions_.push_back(std::make_unique<NodeSession>(loop_, std::move(fd), options_, reply_));
        }) {
    discard_closed();
  }

 private:
  void discard_closed() {
    if (options_.service_seconds <= 0)
      std::erase_if(sessions_, [](const auto& session) { return session->closed(); });
    loop_.run_at(loop_.now() + kDiscardPeriodSeconds, [this] { discard_closed(); });
  }

  Loop& loop_;
  const NodeOptions& options_;
  const std::string reply_;
  std::vector<std::unique_ptr<NodeSession>> sessions_;
  Listener listener_;
};

}  // namespace

ChildProcess start_node(Fd listener, const NodeOptions& options) {
  return ChildProcess::run([listener = listener.get(), options] {
    std::signal(SIGPIPE, SIG_IGN);
    const MonotonicClock clock;
    Loop loop(clock);
    const Node node(loop, Fd(listener), options);
    loop.run();
    return 0;
  });
}

}  // namespace heronworks::faults
