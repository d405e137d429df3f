// Ordinary clients of an HTTP front, and what they get while others misbehave.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "loop/stream.h"

namespace heronworks::faults {

struct OrdinaryLoadOptions {
  Address target;
  double rate = 40;                // requests a second
  double client_wait_seconds = 1;  // for an answer: X-Budget-Ms
};

// What became of the requests whose time is over.
struct OrdinaryResult {
  std::vector<double> latencies;  // of those served, in seconds, ascending
  int refused_or_failed = 0;      // another status than 200
  int late = 0;                   // answered, but after the client's time
  int unanswered = 0;             // closed without an answer, or none kSlackSeconds after the client's time

  int total() const { return static_cast<int>(latencies.size()) + refused_or_failed + unanswered; }
  // The latency that a part `fraction` of the served requests did not exceed; 0 if none was served.
  double latency_at(double fraction) const;
};

// Sends reads at an even rate, half of them on new connections, half on one that stays open, whether earlier
// ones have been answered or not.
class OrdinaryLoad {
 public:
  static constexpr double kSlackSeconds = 0.5;  // in which an answer still counts as one, by the platform

  OrdinaryLoad(Loop& loop, OrdinaryLoadOptions options);
  ~OrdinaryLoad();

  // Stops sending, and waits until the last request's time is over.
  OrdinaryResult finish();

 private:
  class Request;

  void send_next();
  void settle(Request& request);

  Loop& loop_;
  const OrdinaryLoadOptions options_;
  std::vector<std::unique_ptr<Request>> requests_;  // open ones, and idle connections
  OrdinaryResult result_;
  unsigned long long next_id_;
  bool uses_new_connection_ = false;
  Loop::TimerId timer_ = 0;
  double next_at_ = 0;
};

}  // namespace heronworks::faults
