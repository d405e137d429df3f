// Watches the endpoint list of the discovery service over HTTP/1.1.
#pragma once

#include <memory>

#include "http/reader.h"
#include "loop/stream.h"
#include "platform/endpoint_update.h"

namespace heronworks::platform {

class DiscoveryClientOwner {
 public:
  virtual ~DiscoveryClientOwner() = default;
  // The reply to the watch request, or a later change.
  virtual void on_endpoint_update(const EndpointUpdate& update) = 0;
  // The watch has ended.
  virtual void on_discovery_failed(const std::string& reason) = 0;
};

// Runs one watch at a time. It does not retry: the decision module determines when to watch again.
class DiscoveryClient final : public StreamHandler {
 public:
  struct Options {
    Address address;
    // The discovery service replies within 1 s and writes a line, possibly an empty one, every 2 s. A change
    // must take effect within 6 s: one silence, the retry delay, a failed request and a second request have
    // to fit into that time.
    double response_timeout = 1.2;  // s from the request to the first line
    double silence_timeout = 2.7;   // s between two lines
  };

  DiscoveryClient(Loop& loop, Options options, DiscoveryClientOwner& owner);
  ~DiscoveryClient() override;

  // The next watch requests the changes since this version.
  void set_known_version(std::int64_t version) { known_version_ = version; }
  // Starts a watch; replaces the current one.
  void watch();
  // Ends the current watch. The next one connects to `address`.
  void set_address(const Address& address);
  void stop();

 private:
  void on_connected() override;
  std::size_t on_received(std::span<const std::uint8_t> bytes) override;
  void on_closed(const std::string& reason) override { fail(reason); }
  void process_body(const std::string& bytes);
  void process_line(const std::string& text);
  void report_new_entries();
  void start_timeout(double seconds, const char* reason);
  void fail(const std::string& reason);

  static constexpr std::size_t kMaxLineBytes = std::size_t{2} << 20;  // a line may hold a full list

  Loop& loop_;
  Options options_;
  DiscoveryClientOwner& owner_;
  std::int64_t known_version_ = -1;  // -1: none
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<Stream> previous_stream_;  // kept until the next watch, as it may be calling this object
  http::Reader reader_;
  std::string line_;               // received so far
  PartialEndpointUpdate partial_;  // parses line_
  bool first_line_received_ = false;
  Loop::TimerId timer_ = 0;
};

}  // namespace heronworks::platform
