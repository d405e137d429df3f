// Discovery's end of the scheduler: one watch at a time, over HTTP/1.1. It reports; when to ask again is the
// module's word.
#pragma once

#include <memory>

#include "http/reader.h"
#include "loop/stream.h"
#include "platform/servers.h"

namespace heronworks::platform {

class DiscoveryOwner {
 public:
  virtual ~DiscoveryOwner() = default;
  virtual void news(const ServerNews& news) = 0;  // an answer to the call, or what changed later
  virtual void discovery_failed(const std::string& reason) = 0;  // the call or the watch is over
};

class Discovery final : public StreamHandler {
 public:
  struct Options {
    Address address;
    // Discovery itself ends a call that has waited for 1 s, and writes a line, if an empty one, each 2 s.
    // What it has to tell counts as told 6 s later, whether it came or not: a silence, the module's pause, a
    // call and another after it must fit in.
    double call_timeout = 1.2;  // s from the call to its first line
    double silence = 2.7;       // s without a line
  };

  Discovery(Loop& loop, Options options, DiscoveryOwner& owner);
  ~Discovery() override;

  // What is known already; the next watch asks for what changed since.
  void knows(std::int64_t version) { version_ = version; }
  // Begins a watch, in place of the one there may be.
  void watch();
  // The next watch goes there; the present one is ended.
  void move_to(const Address& address);
  void stop();

 private:
  void on_connected() override;
  std::size_t on_received(std::span<const std::uint8_t> bytes) override;
  void on_closed(const std::string& reason) override { failed(reason); }
  void lines(const std::string& bytes);
  void line(const std::string& text);
  void take_entries();
  void expect(double within, const char* what);
  void failed(const std::string& reason);

  // Bytes of one line, which may be a whole list. Beyond it the watch has failed.
  static constexpr std::size_t kMostLine = std::size_t{2} << 20;

  Loop& loop_;
  Options options_;
  DiscoveryOwner& owner_;
  std::int64_t version_ = -1;  // -1: none
  std::unique_ptr<Stream> stream_;
  std::unique_ptr<Stream> old_;  // emptied with the next watch; it may be in the middle of a call
  http::Reader reader_;
  std::string line_;       // part of one, up to kMostLine
  PartialNews partial_;    // of it
  bool answered_ = false;  // the present call
  Loop::TimerId timer_ = 0;
};

}  // namespace heronworks::platform
