#include "ordinary_load.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "http/reader.h"

namespace heronworks::faults {
namespace {

constexpr http::MessageLimits kReplyLimits{8192, std::size_t{1} << 20, 64};
constexpr int kServed = 200;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMaxPollSeconds = 0.01;
constexpr double kIdsPerSecond = 1e6;  // more than are used

}  // namespace

double OrdinaryResult::latency_at(double fraction) const {
  if (latencies.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(latencies.size())));
  return latencies[std::min(std::max<std::size_t>(rank, 1), latencies.size()) - 1];
}

// A connection with one request at a time.
class OrdinaryLoad::Request final : public StreamHandler {
 public:
  Request(OrdinaryLoad& load, const Address& target)
      : load_(load),
        reader_(http::MessageKind::kResponse, kReplyLimits),
        stream_(load.loop_, connect_to(target), *this, true) {}

  void send(const std::string& text) {
    sent_at_ = load_.loop_.now();
    open_ = true;
    reader_ = http::Reader(http::MessageKind::kResponse, kReplyLimits);
    stream_.send({reinterpret_cast<const std::uint8_t*>(text.data()), text.size()});
  }
  std::size_t on_received(std::span<const std::uint8_t> bytes) override {
    const std::size_t used = reader_.put(bytes);
    if (reader_.done() && open_) {
      answered_at_ = load_.loop_.now();
      status_ = reader_.message().status;
      load_.settle(*this);
    }
    return used;
  }
  void on_closed(const std::string&) override {
    closed_ = true;
    if (open_) load_.settle(*this);
  }

  bool is_open() const { return open_; }
  bool closed() const { return closed_; }
  double sent_at() const { return sent_at_; }
  int status() const { return status_; }  // 0: no answer
  double latency() const { return answered_at_ - sent_at_; }
  void end() { open_ = false; }

 private:
  OrdinaryLoad& load_;
  http::Reader reader_;
  Stream stream_;
  double sent_at_ = 0;
  double answered_at_ = 0;
  int status_ = 0;
  bool open_ = false;
  bool closed_ = false;
};

OrdinaryLoad::OrdinaryLoad(Loop& loop, OrdinaryLoadOptions options)
    : loop_(loop),
      options_(std::move(options)),
      next_id_(static_cast<unsigned long long>(kIdsPerSecond * loop.now())),
      next_at_(loop.now()) {
  timer_ = loop_.run_at(next_at_, [this] { send_next(); });
}

OrdinaryLoad::~OrdinaryLoad() { loop_.cancel(timer_); }

void OrdinaryLoad::send_next() {
  const double overdue_before = loop_.now() - options_.client_wait_seconds - kSlackSeconds;
  for (const auto& request : requests_) {
    if (request->is_open() && request->sent_at() < overdue_before) settle(*request);
  }
  Request* idle = nullptr;
  std::erase_if(requests_, [](const auto& request) { return request->closed() && !request->is_open(); });
  for (const auto& request : requests_) {
    if (!request->is_open()) idle = request.get();
  }
  uses_new_connection_ = !uses_new_connection_;
  if (uses_new_connection_ || idle == nullptr) {
    std::erase_if(requests_, [](const auto& request) { return !request->is_open(); });
    requests_.push_back(std::make_unique<Request>(*this, options_.target));
    idle = requests_.back().get();
  }
  char id[32];
  std::snprintf(id, sizeof id, "%016llx", ++next_id_);
  idle->send("GET /api/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app\r\nX-Call-Id: " +
             std::string(id) + "\r\nX-Call-Class: read\r\nTier: gold\r\nX-Budget-Ms: " +
             std::to_string(static_cast<int>(kMillisecondsPerSecond * options_.client_wait_seconds)) +
             "\r\nIO-Info: units=2,shard=0,hosts=1\r\n\r\n");
  next_at_ += 1 / options_.rate;
  timer_ = loop_.run_at(next_at_, [this] { send_next(); });
}

void OrdinaryLoad::settle(Request& request) {
  request.end();
  if (request.status() == 0) ++result_.unanswered;
  else if (request.status() != kServed) ++result_.refused_or_failed;
  else result_.latencies.push_back(request.latency());
  if (request.status() != 0 && request.latency() > options_.client_wait_seconds) ++result_.late;
}

OrdinaryResult OrdinaryLoad::finish() {
  loop_.cancel(timer_);
  const double end = loop_.now() + options_.client_wait_seconds + kSlackSeconds;
  const auto any_open = [&] {
    return std::any_of(requests_.begin(), requests_.end(), [](const auto& r) { return r->is_open(); });
  };
  while (any_open() && loop_.now() < end) loop_.run_once(kMaxPollSeconds);
  for (const auto& request : requests_) {
    if (request->is_open()) settle(*request);
  }
  std::sort(result_.latencies.begin(), result_.latencies.end());
  return result_;
}

}  // namespace heronworks::faults
