// Connects the HTTP front and the node connections to the decision module.
#pragma once

#include <map>
#include <unordered_map>

#include "control.h"
#include "host/node_index_table.h"
#include "host/slot_table.h"
#include "host/start_times.h"
#include "host/watchdog.h"
#include "log/log.h"
#include "platform/call_id_table.h"
#include "platform/client_server.h"
#include "platform/config.h"
#include "platform/discovery_client.h"
#include "platform/node_connection_pool.h"
#include "platform/request_parser.h"
#include "platform/request_trace.h"
#include "platform/volume_index_table.h"

namespace heronworks::platform {

// Transactions and dispatches since the start.
struct Counts {
  std::uint64_t arrived = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t rejected = 0;
  std::uint64_t expired = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t left_before_transaction = 0;  // their client had left when they were read
  std::uint64_t dispatched = 0;
  std::map<int, std::uint64_t> errors;      // answers to invalid requests, by status
  std::uint64_t invalid = 0;                // requests that are not a transaction; answered with an error
  std::uint64_t repeated_call_ids = 0;      // part of invalid
  std::uint64_t rejected_at_admission = 0;  // before the decision module saw them
  std::uint64_t outcomes[8] = {};           // of dispatches, by Outcome
};

// Memory allocated for peers, in bytes.
struct SchedulerMemory {
  std::size_t open_requests = 0;  // bodies, until they are answered
  ClientServerMemory clients;
  NodeConnectionPoolMemory nodes;
};

// CPU time of the process since its start, in seconds.
struct CpuTime {
  double used = 0;
  double waited = 0;  // runnable, but without a core
};

// Turns requests into events of the decision module (Control), and its actions into requests to nodes and
// replies to clients. Call ids, profiles, plans, volumes and nodes are mapped to small indices and back. All
// decisions are made by Control.
class Scheduler final : public ControlActions,
                        public ClientServerOwner,
                        public NodeConnectionPoolOwner,
                        public DiscoveryClientOwner {
 public:
  // Throws std::runtime_error if it cannot listen.
  Scheduler(Loop& loop, Config config, Log& log);
  ~Scheduler() override;

  const Counts& counts() const { return counts_; }
  const ClientServer& client_server() const { return *client_server_; }
  const MemoryBudget& memory_budget() const { return memory_; }
  const NodeConnectionPool& node_connections() const { return *node_connections_; }
  std::size_t open_transactions() const { return slots_.in_use(); }
  SchedulerMemory memory() const;  // visits each transaction and connection
  std::size_t node_count() const { return node_indices_.size(); }

  // Serves clients for a while longer, answers all requests, then calls `done`.
  void drain(std::function<void()> done);
  // Applies a changed discovery address. Other changes only take effect after a restart and are logged.
  void reload(const Config& config);

  // ControlActions.
  void dispatch(int transaction, int node, double timeout) override;
  void reject(int transaction, double retry_after) override;
  void expire(int transaction) override;
  void release(int transaction) override;
  void request_endpoint_list() override;
  void wake_at(double time) override;

  // ClientServerOwner.
  void on_request(ClientId client, HeldMessagePtr request, double received_at) override;
  bool keeps_order() const override { return keeps_order_; }
  std::optional<std::uint64_t> order_key(const http::Message& head) const override;
  void on_request_delayed(ClientId client, std::uint64_t key) override;
  void on_delayed_request_dropped(ClientId client) override;
  void on_client_closed(ClientId client) override;
  void on_invalid_request(ClientId client, int status, const std::string& reason) override;

  // NodeConnectionPoolOwner.
  void on_dispatch_finished(int node, const NodeDispatch& dispatch, Outcome outcome,
                            HeldMessagePtr reply) override;

  // DiscoveryClientOwner.
  void on_endpoint_update(const EndpointUpdate& update) override;
  void on_discovery_failed(const std::string& reason) override;

 private:
  // A transaction, from its arrival until the decision module releases it.
  struct Slot {
    bool answered = false;
    ClientId client = 0;
    int dispatches = 0;
    int node = -1;        // of the latest dispatch; -1: none
    double deadline = 0;  // when the client stops waiting
    VolumeName volume;
    double refill_seconds = 0;  // see VolumeIndexTable::spend()
    std::string call_id;
    HeldMessagePtr request;               // until it is answered
    std::string_view node_target;         // part of the request
    std::unique_ptr<RequestTrace> trace;  // null unless the log is at debug level
  };

  double now() const { return loop_.iteration_time(); }
  void start_transaction(ClientId client, HeldMessagePtr held, double received_at);
  int take_slot(ClientId client);
  // Answers the request, unless that is done. `reason`: for the trace.
  void reply(Slot& slot, ClientReply reply, const char* reason);
  void begin_trace(Slot& slot, const Transaction& transaction, double received_at) const;
  void log_trace(Slot& slot);
  std::vector<NodeEntry> update_node_table(const std::vector<Endpoint>& endpoints, bool is_full);
  void apply_update(const EndpointUpdate& update, UpdateKind kind);
  void log_counts();

  Loop& loop_;
  Config config_;
  Log& log_;
  StartTimes start_times_;
  const bool keeps_order_;  // a profile does
  DescriptorBudget descriptors_;
  MemoryBudget memory_;
  VolumeIndexTable volumes_;
  std::unique_ptr<NodeConnectionPool> node_connections_;
  std::unique_ptr<DiscoveryClient> discovery_;
  std::unique_ptr<Control> control_;
  std::unique_ptr<ClientServer> client_server_;
  SlotTable<Slot> slots_;                        // by transaction
  std::unordered_map<ClientId, int> by_client_;  // unanswered transactions
  CallIdTable call_ids_;
  std::unordered_map<ClientId, int> key_places_;  // of requests that have arrived, but are not read yet
  NodeIndexTable node_indices_;                   // by endpoint id
  std::map<std::string, int> zone_indices_;       // at most kMaxZones
  Loop::TimerId wake_timer_ = 0;
  std::unique_ptr<Watchdog> watchdog_;
  Loop::TimerId log_timer_ = 0;
  double drain_deadline_ = 0;  // when all requests must be answered; 0: not draining
  Counts counts_;
  Counts logged_counts_;
  ClientServerCounts logged_client_counts_;
  NodeConnectionPoolCounts logged_node_counts_;
  CpuTime logged_cpu_;
};

}  // namespace heronworks::platform
