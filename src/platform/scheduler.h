// One running scheduler on the platform: what happens on HTTP becomes calls on Control, what it decides
// becomes requests to nodes and answers to clients. Ids, profiles, plans and volumes become small indices and
// back. Nothing is decided here.
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "control.h"
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
  std::uint64_t refused = 0;  // with an error: not what a transaction looks like
  std::uint64_t at_door = 0;  // turned back before the module saw them
  std::uint64_t outcomes[8] = {};  // of dispatches, by Outcome
};

// Seconds since the start.
struct Cpu {
  double used = 0;
  double waited = 0;  // ready to run, without a core or beyond its part of one
};

class Scheduler final : public Host, public FrontOwner, public NodePoolOwner, public DiscoveryOwner {
 public:
  // Throws std::runtime_error if it cannot listen.
  Scheduler(Loop& loop, Config config, Log& log);
  ~Scheduler() override;

  const Counts& counts() const { return counts_; }
  const Front& front() const { return *front_; }
  const NodePool& pool() const { return *pool_; }
  std::size_t open() const { return slots_.size() - free_.size(); }
  std::size_t nodes() const { return node_numbers_.size(); }

  // Goes on taking what still comes for a while, answers all, then calls `done`.
  void drain(std::function<void()> done);
  // A new configuration: the discovery address counts, other differences are said in the log.
  void reload(const Config& config);

  // From the module.
  void dispatch(int transaction, int node, double try_for) override;
  void turn_back(int transaction, double wait) override;
  void give_up(int transaction) override;
  void forget(int transaction) override;
  void watch_list() override;
  void wake_at(double time) override;

  // From clients.
  void asked(ClientId client, http::Message&& request, double at) override;
  void left(ClientId client) override;

  // From nodes and discovery.
  void ended(int node, const PoolDispatch& dispatch, Outcome outcome, http::Message&& answer) override;
  void news(const ServerNews& news) override;
  void discovery_failed(const std::string& reason) override;

 private:
  // A transaction from landing until the module forgets it.
  struct Slot {
    bool used = false;
    bool answered = false;
    ClientId client = 0;
    int profile = 0;
    int dispatches = 0;
    std::uint64_t volume = 0;
    std::string call;
    http::Message request;  // until it is answered
  };
  struct NodeEntry {
    std::string id;  // empty: the index is free
    Entry listed;
    double gone_at = 0;
  };

  double now() const { return loop_.turn_time(); }
  Slot& slot(int transaction) { return slots_[static_cast<std::size_t>(transaction)]; }
  void answer(Slot& s, ClientAnswer answer);
  std::vector<Entry> take_servers(const std::vector<Server>& servers, bool whole);
  void take_news(const ServerNews& news, Scope scope);
  void let_go_of_gone();
  void beat();
  void report();

  Loop& loop_;
  Config config_;
  Log& log_;
  const double wall_offset_;  // fixed at the start, so that a process keeps the time at which it came up
  Descriptors descriptors_;
  Volumes volumes_;
  std::unique_ptr<NodePool> pool_;
  std::unique_ptr<Discovery> discovery_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<Front> front_;
  std::vector<Slot> slots_;  // by transaction; as many as were ever open at once
  std::vector<int> free_;
  std::unordered_map<ClientId, int> by_client_;     // open ones; emptied as they are answered or left
  std::unordered_map<std::string, int> by_call_;    // the same
  std::vector<NodeEntry> nodes_;                    // by the module's index
  std::map<std::string, int> node_numbers_;         // by id; let go of some time after they are gone
  std::vector<int> free_numbers_;
  std::map<std::string, int> zones_;                // as many as there are
  Loop::Timer wake_ = 0;
  Loop::Timer beat_ = 0;
  Loop::Timer report_ = 0;
  double beat_due_ = 0;
  double stop_at_ = 0;  // when all must be answered; 0: not stopping
  Counts counts_;
  Counts reported_;
  FrontCounts reported_front_;
  PoolCounts reported_pool_;
  Cpu reported_cpu_;
};

}  // namespace heronworks::platform
