#include "platform/discovery_client.h"

#include <cstring>
#include <limits>

#include "http/writer.h"
#include "release_memory.h"

namespace heronworks::platform {
namespace {

// The body lasts as long as the watch; each line is bounded by kMaxLineBytes instead.
constexpr http::MessageLimits kWatchLimits{8192, std::numeric_limits<std::size_t>::max(), 64};

}  // namespace

DiscoveryClient::DiscoveryClient(Loop& loop, Options options, DiscoveryClientOwner& owner)
    : loop_(loop),
      options_(std::move(options)),
      owner_(owner),
      reader_(http::MessageKind::kResponse, kWatchLimits) {}

DiscoveryClient::~DiscoveryClient() { stop(); }

void DiscoveryClient::stop() {
  loop_.cancel(std::exchange(timer_, 0));
  if (stream_) stream_->close();
  previous_stream_ = std::move(stream_);
}

void DiscoveryClient::set_address(const Address& address) {
  stop();
  options_.address = address;
}

void DiscoveryClient::watch() {
  stop();
  reader_ = http::Reader(http::MessageKind::kResponse, kWatchLimits);
  release_memory(line_);
  partial_.reset();
  first_line_received_ = false;
  Fd fd = connect_to(options_.address);
  if (!fd) {
    const std::string reason = std::strerror(errno);
    timer_ = loop_.run_at(loop_.now(), [this, reason] { fail(reason); });  // not from within the owner's call
    return;
  }
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, true, Stream::Options{8192, 65536, true});
  start_timeout(options_.response_timeout, "no response within the timeout");
}

void DiscoveryClient::on_connected() {
  std::vector<std::uint8_t> bytes;
  std::string target = "/v1/servers?follow=1";
  if (known_version_ >= 0) target += "&since=" + std::to_string(known_version_);
  http::Writer(bytes)
      .request_line("GET", target)
      .field("Host", options_.address.to_string())
      .end_without_body();
  stream_->send(bytes);
}

void DiscoveryClient::start_timeout(double seconds, const char* reason) {
  loop_.cancel(timer_);
  timer_ = loop_.run_at(loop_.now() + seconds, [this, reason] { fail(reason); });
}

void DiscoveryClient::fail(const std::string& reason) {
  // Some entries of a multi-line update were reported already and the others are lost: request a full list.
  if (line_.find('\n') != std::string::npos) known_version_ = -1;
  const std::size_t unparsed = std::exchange(line_, {}).size();
  partial_.reset();
  stop();
  owner_.on_discovery_failed(unparsed == 0 ? reason
                                           : reason + " (" + std::to_string(unparsed) +
                                                 " bytes of an incomplete line discarded)");
}

std::size_t DiscoveryClient::on_received(std::span<const std::uint8_t> bytes) {
  const auto consumed = reader_.put(bytes);
  if (reader_.error() != http::ParseError::kNone)
    return fail("invalid response: " + reader_.error_message()), bytes.size();
  if (!reader_.head_done()) return consumed;
  if (reader_.message().status != 200) {
    fail("response status " + std::to_string(reader_.message().status));
    return bytes.size();
  }
  const bool complete = reader_.done();
  const Stream* const current = stream_.get();
  process_body(complete ? reader_.message().body : reader_.take_body());
  if (stream_.get() != current) return bytes.size();
  if (complete) fail("the watch was closed by the server");
  return consumed;
}

void DiscoveryClient::process_body(const std::string& bytes) {
  const Stream* const current = stream_.get();
  std::size_t from = 0;
  for (auto end = bytes.find('\n'); end != std::string::npos; end = bytes.find('\n', from)) {
    line_.append(bytes, from, end - from);
    from = end + 1;
    report_new_entries();
    if (stream_.get() != current) return;
    if (partial_.may_continue()) {
      line_ += '\n';
      if (line_.size() > kMaxLineBytes) return fail("a line is longer than 2 MiB");
      continue;
    }
    const std::string complete_line = std::exchange(line_, {});
    partial_.reset();
    start_timeout(options_.silence_timeout, "no line within the timeout");
    process_line(complete_line);
    if (stream_.get() != current) return;  // the owner stopped or restarted the watch
  }
  line_.append(bytes, from);
  if (line_.size() > kMaxLineBytes) return fail("a line is longer than 2 MiB");
  report_new_entries();
}

// Reports the complete entries of an unfinished line. They are reported again, unchanged, with the complete
// line, so the version does not advance yet.
void DiscoveryClient::report_new_entries() {
  auto endpoints = partial_.parse_new_entries(line_);
  if (!endpoints.empty())
    owner_.on_endpoint_update(EndpointUpdate{known_version_, false, std::move(endpoints), {}});
}

void DiscoveryClient::process_line(const std::string& text) {
  const bool is_first = !std::exchange(first_line_received_, true);
  if (text.find_first_not_of(" \r\t") == std::string::npos) {
    // An empty line: nothing has changed. If it is the first line, it is the reply to the request.
    if (is_first)
      owner_.on_endpoint_update(EndpointUpdate{std::max<std::int64_t>(known_version_, 0), false, {}, {}});
    return;
  }
  EndpointUpdate update;
  try {
    update = parse_endpoint_update(text);
  } catch (const std::exception& error) {
    // The changes on this line are lost: the next watch requests a full list.
    known_version_ = -1;
    return fail(std::string("invalid line: ") + error.what());
  }
  known_version_ = update.version;
  owner_.on_endpoint_update(update);
}

}  // namespace heronworks::platform
