// The event record of a scenario: what clients, schedulers and nodes exchanged, one JSON object per line.
// docs/lab.md lists kinds and fields.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace heronworks::lab {

enum class EventKind {
  kParameters,      // checker parameters, as JSON in `text`
  kSent,            // a client sent an attempt
  kAnswered,        // the client got its answer; `outcome` honoured, turned_back, given_up or error
  kConnectionLost,  // the connection was lost with the attempt outstanding
  kClientLeft,      // the client closed the connection with the attempt outstanding
  kNotConnected,    // not sent: no connection to the scheduler
  kReceived,        // a node received a command
  kReplied,         // the node replied; `outcome` ok, full, error, expired or repeat
  kExecuted,        // the node executed the command
  kReplyDropped,    // the reply was dropped by fault injection
  kNodeUp,          // a node process started
  kNodeOverloaded,  // a node was overloaded during slow start
  kListSent,        // a scheduler received the endpoint list; `ready_nodes` are ready, all others are not
  kSchedulerKilled,
  kSchedulerStarted,
  kSchedulerStopped,
  kSchedulerContinued,
};

// One line of the record. Fields that do not apply to a kind keep their defaults and are not written.
struct Event {
  double time = 0;  // CLOCK_MONOTONIC, s
  EventKind kind = EventKind::kSent;
  std::uint64_t idempotency_key = 0;  // of the transaction, the same for all attempts
  int attempt = -1;                   // attempt number of the client
  int scheduler = -1;
  int client = -1;    // client connection
  int dispatch = -1;  // dispatch number of the scheduler
  int node = -1;
  int shard = -1;
  int incarnation = -1;  // of the node process
  int volume = -1;
  int profile = -1;
  int plan = -1;
  std::int64_t lba = -1;
  int blocks = -1;
  double units = -1;
  double time_left = -1;          // s
  double cost = -1;               // core-seconds
  double capacity_fraction = -1;  // of the node; of kNodeUp: core-seconds per second
  std::uint64_t hash = 0;         // of the data
  int write = -1;
  std::string outcome;
  std::string text;
  std::vector<int> ready_nodes;
  double earliest_time = -1;       // lower bound of the arrival time of an answer or a connection loss
  std::uint64_t ordering_key = 0;  // set by a rule; 0: none
  double first_sent_at = -1;       // time of the first attempt

  std::string line() const;
  // Returns false and sets `reason` if the line is not a valid event.
  static bool parse(const std::string& line, Event& event, std::string& reason);
};

class Recorder {
 public:
  // Opens the file for appending. Throws std::runtime_error on failure.
  explicit Recorder(const std::string& path);
  void write(const Event& event);

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

// Returns the events of all files, ordered by time. Ignores an incomplete last line; throws
// std::runtime_error on any other invalid line.
std::vector<Event> read_records(const std::vector<std::string>& paths);

const char* name(EventKind kind);

// The idempotency key of a client carries the profile, which stand-in nodes need and schedulers do not use.
inline constexpr int kKeyNumberBits = 48;
inline std::uint64_t tagged_key(std::uint64_t number, int profile) {
  return number | static_cast<std::uint64_t>(profile + 1) << kKeyNumberBits;
}
inline int profile_of_key(std::uint64_t idempotency_key) {
  return static_cast<int>(idempotency_key >> kKeyNumberBits & 0xff) - 1;
}

}  // namespace heronworks::lab
