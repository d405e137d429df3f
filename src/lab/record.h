// What crossed the border between schedulers and the world, as the stand-ins, the clients and the model write
// it down: one JSON object a line. docs/lab.md lists kinds and fields.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace heronworks::lab {

enum class Kind {
  kFigures,    // the rules' figures of the day, in `text` as JSON
  kSent,       // a client sent a try
  kAnswer,     // and its answer came; `outcome` honoured, turned_back, given_up or error
  kLost,       // the connection ended with the try out
  kLeft,       // the client itself ended it
  kUnreached,  // a client had no connection to the scheduler: a try that was never sent
  kGot,        // a node read a command
  kReplied,    // and answered it; `outcome` ok, full, error, expired, repeat
  kRan,        // its work took effect
  kSilenced,   // the answer was kept back, or lost
  kUp,         // a node's process is there
  kFell,       // a cold node was pushed over
  kTold,       // the list told a scheduler: `nodes` are ready, all others are not
  kKilled,     // a scheduler's process
  kStarted,
  kStopped,
  kContinued,
};

// One line. Fields that a kind does not have keep their defaults and are not written.
struct Event {
  double t = 0;  // CLOCK_MONOTONIC, s
  Kind kind = Kind::kSent;
  std::uint64_t label = 0;  // of the transaction, the same through its tries
  int attempt = -1;         // number of the client's try
  int via = -1;             // scheduler
  int client = -1;          // connection of the client, for order
  int dispatch = -1;        // number, as the scheduler says
  int node = -1;
  int shard = -1;
  int life = -1;  // of the node's process
  int volume = -1;
  int profile = -1;
  int plan = -1;
  std::int64_t lba = -1;
  int blocks = -1;
  double units = -1;
  double left = -1;        // s
  double cost = -1;        // s of one core
  double frac = -1;        // part of its capacity that a node has
  std::uint64_t hash = 0;  // of the bytes
  int write = -1;
  std::string outcome;
  std::string text;
  std::vector<int> nodes;
  double since = -1;  // of an answer or a loss: it did not come before; later only by a mark, see docs/lab.md
  std::uint64_t key = 0;  // that a rule gives it, for order; 0: none does
  double first = -1;      // when the client sent its first try

  std::string line() const;
  // Nothing and a reason if the line is not an event.
  static bool parse(const std::string& line, Event& event, std::string& reason);
};

class Recorder {
 public:
  // Appends. Throws std::runtime_error if it cannot.
  explicit Recorder(const std::string& path);
  void write(const Event& event);

 private:
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

// All lines of the files, in order of time; ends with an error on a line that is none, but for a torn last
// one.
std::vector<Event> read_records(const std::vector<std::string>& paths);

const char* name(Kind kind);

// A client's label tells the stand-in nodes its profile, which schedulers do not know of.
inline constexpr int kLabelBits = 48;
inline std::uint64_t label_of(std::uint64_t number, int profile) {
  return number | static_cast<std::uint64_t>(profile + 1) << kLabelBits;
}
inline int profile_of(std::uint64_t label) { return static_cast<int>(label >> kLabelBits & 0xff) - 1; }

}  // namespace heronworks::lab
