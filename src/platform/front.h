// Clients' connections: one transaction at a time on each, in the order of their requests; time limits; the
// error owed to what can't be read; whole answers; draining. It knows HTTP and nothing of transactions.
#pragma once

#include <deque>
#include <map>
#include <memory>

#include "http/reader.h"
#include "loop/stream.h"
#include "platform/descriptors.h"
#include "platform/long_bodies.h"

namespace heronworks::platform {

using ClientId = std::uint64_t;  // of a connection; never used again

struct ClientAnswer {
  int status = 0;
  std::string retry_after;  // empty: none
  std::string body;
};

class FrontOwner {
 public:
  virtual ~FrontOwner() = default;
  // A whole request, which is owed one answer. `at`: the earliest time at which its last byte can have come.
  virtual void asked(ClientId client, http::Message&& request, double at) = 0;
  // The client closed before its answer; none is owed.
  virtual void left(ClientId client) = 0;
  // It was answered with an error of the front's own.
  virtual void unreadable(ClientId client, int status, const std::string& reason) = 0;
};

struct FrontCounts {
  std::uint64_t accepted = 0;
  std::uint64_t no_room = 0;     // connections closed at once: every descriptor has a transaction
  std::uint64_t made_way = 0;    // idle ones closed for a new one
  std::uint64_t unreadable = 0;  // requests answered with an error of the front's own
  std::uint64_t too_slow = 0;    // connections closed by time
  std::uint64_t ended_idle = 0;  // connections ended between two requests: by time, to make way, at the end
  std::uint64_t crossed = 0;     // of those, on which something came after all; none of it was taken
};

class Front {
 public:
  Front(Loop& loop, Fd listener, Descriptors& descriptors, LongBodies& bodies, FrontOwner& owner);
  ~Front();

  void answer(ClientId client, ClientAnswer answer);  // nothing if the client has left
  // Goes on accepting for `accept_for` seconds and serving on the connections that there are for `serve_for`,
  // then ends each once nothing of it is open or waits, whatever still comes after `end_after`, and calls
  // `done` when none is left.
  void drain(double accept_for, double serve_for, double end_after, std::function<void()> done);
  std::size_t clients() const { return clients_.size(); }
  const FrontCounts& counts() const { return counts_; }

 private:
  struct Client;

  void accepted(Fd fd);
  bool make_room();
  void refuse(Client& client, int status, const std::string& reason);
  void end_idle(Client& client);
  void remove(ClientId client);
  void sweep();
  void end_of_accepting();
  void end_of_serving();
  void look_at_drain();

  // Time in which a whole request must come: the first one from connecting, with kLate more if it began late,
  // however its bytes trickle; a later one from its first byte. A connection rests no longer either. So
  // silent and slow senders hold a descriptor for twice that at most.
  static constexpr double kWholeWithin = 2.4;  // s
  static constexpr double kLate = 0.4;         // s
  // Danger: a request is on its way in the very moment in which its resting connection is closed; the reset
  // that follows tells the client nothing of whether it was taken. So only the sending side is ended, and
  // what comes for this long is read and dropped: its client sends it again elsewhere. Catches bytes between
  // look and close, too; may hurt where descriptors are few, as it holds one for that long.
  static constexpr double kCrossFor = 0.5;  // s; well over a way through the network and a stall
  // What a client still sends after its error is read and dropped, so that no reset overtakes the error; for
  // kLate only at the end of a drain, which no client may hold up.
  static constexpr double kDropFor = 2.0;  // s
  static constexpr std::size_t kDropBytes = std::size_t{96} << 20;
  static constexpr double kDrainLook = 0.02;  // s between two looks at what is left of a drain
  static constexpr double kSweep = 0.1;       // s between two looks at time limits

  Loop& loop_;
  Descriptors& descriptors_;
  LongBodies& bodies_;
  FrontOwner& owner_;
  std::unique_ptr<Listener> listener_;
  std::map<ClientId, std::unique_ptr<Client>> clients_;  // bounded by descriptors; emptied as they close
  std::vector<std::unique_ptr<Client>> closed_;          // freed later in the turn
  std::deque<ClientId> making_way_;  // ended ones on descriptors of the reserve; at most that many
  ClientId last_client_ = 0;
  bool draining_ = false;
  bool ending_ = false;  // answers are each connection's last
  std::function<void()> drained_;
  Loop::TimerId sweep_ = 0;
  Loop::TimerId drain_ = 0;
  Loop::TimerId accept_end_ = 0;
  double end_at_ = 0;  // of a drain, whatever still comes
  FrontCounts counts_;
};

}  // namespace heronworks::platform
