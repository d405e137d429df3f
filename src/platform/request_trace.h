// What happened to a request, for the log at debug level.
#pragma once

#include <cmath>
#include <nlohmann/json.hpp>

namespace heronworks::platform {

// The state changes of one request in their order, each with its time after the request's arrival.
class RequestTrace {
 public:
  explicit RequestTrace(double arrived_at) : arrived_at_(arrived_at) {}

  // `fields` is a JSON object. Beyond kMaxEvents changes are only counted.
  void add(double now, const char* event, nlohmann::json fields = nlohmann::json::object()) {
    if (events_.size() >= kMaxEvents) {
      ++omitted_;
      return;
    }
    fields["after"] = std::round((now - arrived_at_) * kMicrosecondsPerSecond) / kMicrosecondsPerSecond;
    fields["event"] = event;
    events_.push_back(std::move(fields));
  }
  nlohmann::json take_events() { return std::move(events_); }
  int omitted() const { return omitted_; }

 private:
  static constexpr std::size_t kMaxEvents = 32;
  static constexpr double kMicrosecondsPerSecond = 1e6;
  const double arrived_at_;  // s
  nlohmann::json events_ = nlohmann::json::array();
  int omitted_ = 0;
};

}  // namespace heronworks::platform
