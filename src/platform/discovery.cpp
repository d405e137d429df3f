// The watch on the node list: see discovery.h.
#include "platform/discovery.h"

#include <cstring>
#include <limits>

#include "http/writer.h"

namespace heronworks::platform {
namespace {

// The body goes on for as long as the watch does; each line is bounded instead.
constexpr http::MessageLimits kWatchBounds{8192, std::numeric_limits<std::size_t>::max(), 64};

}  // namespace

Discovery::Discovery(Loop& loop, Options options, DiscoveryOwner& owner)
    : loop_(loop),
      options_(std::move(options)),
      owner_(owner),
      reader_(http::MessageKind::kResponse, kWatchBounds) {}

Discovery::~Discovery() { stop(); }

void Discovery::stop() {
  loop_.cancel(std::exchange(timer_, 0));
  if (stream_) stream_->close();
  old_ = std::move(stream_);
}

void Discovery::move_to(const Address& address) {
  stop();
  options_.address = address;
}

void Discovery::watch() {
  stop();
  reader_ = http::Reader(http::MessageKind::kResponse, kWatchBounds);
  line_.clear();
  partial_.reset();
  answered_ = false;
  Fd fd = connect_to(options_.address);
  if (!fd) {
    const std::string reason = std::strerror(errno);
    timer_ =
        loop_.run_at(loop_.now(), [this, reason] { failed(reason); });  // not in the middle of the asking
    return;
  }
  stream_ =
      std::make_unique<Stream>(loop_, std::move(fd), *this, true, Stream::BufferLimits{8192, 65536, true});
  expect(options_.call_timeout, "no answer in time");
}

void Discovery::on_connected() {
  std::vector<std::uint8_t> bytes;
  std::string target = "/v1/servers?follow=1";
  if (version_ >= 0) target += "&since=" + std::to_string(version_);
  http::Writer(bytes)
      .request_line("GET", target)
      .field("Host", options_.address.to_string())
      .end_without_body();
  stream_->send(bytes);
}

void Discovery::expect(double within, const char* what) {
  loop_.cancel(timer_);
  timer_ = loop_.run_at(loop_.now() + within, [this, what] { failed(what); });
}

void Discovery::failed(const std::string& reason) {
  // Of a list over several lines some was said already: what more it would have said is unknown.
  if (line_.find('\n') != std::string::npos) version_ = -1;
  const std::size_t unread = std::exchange(line_, {}).size();
  partial_.reset();
  stop();
  owner_.discovery_failed(unread == 0 ? reason
                                      : reason + ", after " + std::to_string(unread) + " bytes of a line");
}

std::size_t Discovery::on_received(std::span<const std::uint8_t> bytes) {
  const auto used = reader_.put(bytes);
  if (reader_.error() != http::ParseError::kNone)
    return failed("answer: " + reader_.error_message()), bytes.size();
  if (!reader_.head_done()) return used;
  if (reader_.message().status != 200) {
    failed("answer with status " + std::to_string(reader_.message().status));
    return bytes.size();
  }
  const bool over = reader_.done();
  const Stream* const before = stream_.get();
  lines(over ? reader_.message().body : reader_.take_body());
  if (stream_.get() != before) return bytes.size();
  if (over) failed("the watch ended");
  return used;
}

void Discovery::lines(const std::string& bytes) {
  const Stream* const before = stream_.get();
  std::size_t from = 0;
  for (auto end = bytes.find('\n'); end != std::string::npos; end = bytes.find('\n', from)) {
    line_.append(bytes, from, end - from);
    from = end + 1;
    take_entries();
    if (stream_.get() != before) return;
    if (partial_.goes_on()) {
      line_ += '\n';
      if (line_.size() > kMostLine) return failed("a line of more than its bound");
      continue;
    }
    const std::string whole = std::exchange(line_, {});
    partial_.reset();
    expect(options_.silence, "the watch is silent");
    line(whole);
    if (stream_.get() != before) return;  // it was ended or begun anew meanwhile
  }
  line_.append(bytes, from);
  if (line_.size() > kMostLine) return failed("a line of more than its bound");
  take_entries();
}

// Those of a line that has not ended. The version stays: what comes of them once more says nothing new.
void Discovery::take_entries() {
  auto servers = partial_.more(line_);
  if (!servers.empty()) owner_.news(ServerNews{version_, false, std::move(servers), {}});
}

void Discovery::line(const std::string& text) {
  const bool first = !std::exchange(answered_, true);
  if (text.find_first_not_of(" \r\t") == std::string::npos) {
    // Nothing changed. The first such line answers the call.
    if (first) owner_.news(ServerNews{std::max<std::int64_t>(version_, 0), false, {}, {}});
    return;
  }
  ServerNews news;
  try {
    news = read_news(text);
  } catch (const std::exception& fault) {
    // What it said is unknown: the whole list is asked for.
    version_ = -1;
    return failed(std::string("a line that can't be read: ") + fault.what());
  }
  version_ = news.version;
  owner_.news(news);
}

}  // namespace heronworks::platform
