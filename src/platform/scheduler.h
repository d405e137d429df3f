// One running scheduler on the platform: what happens on HTTP becomes calls on Control, what it decides
// becomes requests to nodes and answers to clients. Ids, profiles, plans and volumes become small indices and
// back. Nothing is decided here.
#pragma once

#include <map>
#include <unordered_map>

#include "control.h"
#include "host/node_index_table.h"
#include "host/slot_table.h"
#include "host/watchdog.h"
#include "log/log.h"
#include "platform/config.h"
#include "platform/discovery.h"
#include "platform/front.h"
#include "platform/node_pool.h"
#include "platform/volumes.h"
#include "platform/wanted.h"

namespace heronworks::platform {

// Since the start.
struct Counts {
  std::uint64_t landed = 0;
  std::uint64_t honoured = 0;
  std::uint64_t turned_back = 0;
  std::uint64_t given_up = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;       // with an error: not what a transaction looks like
  std::uint64_t at_door = 0;       // turned back before the module saw them
  std::uint64_t outcomes[8] = {};  // of dispatches, by Outcome
};

// Seconds since the start.
struct Cpu {
  double used = 0;
  double waited = 0;  // ready to run, without a core or beyond its part of one
};

class Scheduler final : public ControlActions,
                        public FrontOwner,
                        public NodePoolOwner,
                        public DiscoveryOwner {
 public:
  // Throws std::runtime_error if it cannot listen.
  Scheduler(Loop& loop, Config config, Log& log);
  ~Scheduler() override;

  const Counts& counts() const { return counts_; }
  const Front& front() const { return *front_; }
  const NodePool& pool() const { return *pool_; }
  std::size_t open() const { return slots_.in_use(); }
  std::size_t nodes() const { return numbers_.size(); }

  // Goes on taking what still comes for a while, answers all, then calls `done`.
  void drain(std::function<void()> done);
  // A new configuration: the discovery address counts, other differences are said in the log.
  void reload(const Config& config);

  // From the module.
  void dispatch(int transaction, int node, double timeout) override;
  void reject(int transaction, double wait) override;
  void expire(int transaction) override;
  void release(int transaction) override;
  void request_endpoint_list() override;
  void wake_at(double time) override;

  // From clients.
  void asked(ClientId client, http::Message&& request, double at) override;
  void left(ClientId client) override;
  void unreadable(ClientId client, int status, const std::string& reason) override;

  // From nodes and discovery.
  void ended(int node, const PoolDispatch& dispatch, Outcome outcome, http::Message&& answer) override;
  void news(const ServerNews& news) override;
  void discovery_failed(const std::string& reason) override;

 private:
  // A transaction from landing until the module forgets it.
  struct Slot {
    bool answered = false;
    ClientId client = 0;
    int dispatches = 0;
    int node = -1;          // of the newest dispatch; -1: none
    double cut_off_at = 0;  // when its client has given up
    VolumeName volume;
    std::string call;
    http::Message request;  // until it is answered
  };

  double now() const { return loop_.iteration_time(); }
  void answer(Slot& s, ClientAnswer answer);
  std::vector<NodeEntry> take_servers(const std::vector<Server>& servers, bool whole);
  void take_news(const ServerNews& news, UpdateKind scope);
  void report();

  Loop& loop_;
  Config config_;
  Log& log_;
  const double wall_offset_;  // fixed at the start, so that a process keeps the time at which it came up
  Descriptors descriptors_;
  LongBodies requests_;  // their bodies
  LongBodies answers_;
  Volumes volumes_;
  std::unique_ptr<NodePool> pool_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<Front> front_;
  SlotTable<Slot> slots_;                         // by transaction
  std::unordered_map<ClientId, int> by_client_;   // open ones; emptied as they are answered or left
  std::unordered_map<std::string, int> by_call_;  // the same
  NodeIndexTable numbers_;                        // by id
  std::map<std::string, int> zones_;              // at most kMostZones; an entry of one more is left out
  Loop::TimerId wake_ = 0;
  std::unique_ptr<Watchdog> beat_;
  Loop::TimerId report_ = 0;
  double stop_at_ = 0;  // when all must be answered; 0: not stopping
  Counts counts_;
  Counts reported_;
  FrontCounts reported_front_;
  PoolCounts reported_pool_;
  Cpu reported_cpu_;
};

}  // namespace heronworks::platform
