// The NVMe/TCP gateway: connects clients, nodes, the endpoint list and the ledger with the decision module.
// Translates events into calls of Control, and the decisions of Control into commands and responses.
#pragma once

#include <map>
#include <set>

#include "config/gateway_config.h"
#include "control.h"
#include "gateway/admission_control.h"
#include "gateway/endpoint_list_watch.h"
#include "gateway/matcher.h"
#include "gateway/node_connection.h"
#include "host/node_index_table.h"
#include "host/slot_table.h"
#include "host/start_times.h"
#include "host/watchdog.h"
#include "ledger/ledger_service.h"
#include "log/log.h"
#include "nvme/target.h"

namespace heronworks::gateway {

// Numbers of transactions since the start, if not stated otherwise.
struct Counts {
  std::uint64_t arrived = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t rejected = 0;
  std::uint64_t expired = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t dispatched = 0;             // dispatches
  std::uint64_t rejected_at_admission = 0;  // commands: the gateway was draining, or a bound was reached
  std::uint64_t rejected_by_rule = 0;       // commands
  std::uint64_t rule_errors = 0;            // failed evaluations; the rule did not match
  std::uint64_t rejected_by_ledger = 0;     // commands: the ledger accepted no entries
  std::uint64_t answered_before_durable = 0;
  std::uint64_t refused = 0;  // commands not valid for their volume, answered with an error status
};

// Vendor-specific log page with the rejection reasons of rules. A command that a rule rejected is answered
// with the rule's number, from 1, in DW0 of the completion.
inline constexpr std::uint8_t kRejectionReasonsLogPage = 0xC0;

class Scheduler final : public heronworks::ControlActions,
                        public nvme::Backend,
                        public NodeConnectionOwner,
                        public EndpointListOwner,
                        public ledger::LedgerServiceOwner,
                        private ArrivalHandler {
 public:
  // Throws std::runtime_error if it cannot listen.
  Scheduler(Loop& loop, const config::GatewayConfig& config, Log& log);
  ~Scheduler() override;

  Address address() const { return target_->address(); }
  const Counts& counts() const { return counts_; }
  // Contents of kRejectionReasonsLogPage: a line "number<TAB>name<TAB>reason" for each rule that rejects.
  std::string rejection_reasons() const;
  std::size_t unsent_bytes() const { return target_->unsent_bytes(); }  // of responses to clients
  std::size_t client_buffer_bytes() const { return target_->buffer_bytes(); }
  bool admission_empty() const { return admission_.empty(); }
  std::size_t open() const { return transactions_.in_use(); }

  // Rejects new commands, completes the open transactions, then calls `done`.
  void drain(std::function<void()> done);

  // ControlActions.
  void dispatch(int transaction, int node, double timeout) override;
  void reject(int transaction, double retry_after) override;
  void expire(int transaction) override;
  void release(int transaction) override;
  void request_endpoint_list() override;
  void wake_at(double time) override;

  // nvme::Backend.
  nvme::Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) override;
  void execute_command(nvme::Command&& command) override;
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page, std::uint64_t offset,
                    std::uint32_t length) override;
  void connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                              const heronworks::Address& peer) override;
  void connection_closed(nvme::ConnectionId connection) override;

 private:
  // A transaction, from its arrival until the decision module releases it.
  struct PendingTransaction {
    bool in_use = false;
    bool answered = false;
    bool awaits_order = false;                   // the decision module does not know it yet
    bool has_generated_idempotency_key = false;  // as the client gave none
    nvme::ConnectionId connection = 0;
    nvme::Sqe sqe;
    nvme::SharedBytes write_data;
    int profile = 0;
    int shard = -1;
    std::size_t tenant = 0;
    int dispatches = 0;
    int rule = -1;
    Transaction transaction;  // as it arrived; its time_left counts from `arrived_at`
    double arrived_at = 0;
    double time_left_from = 0;  // s; the client's time left counts from then
  };
  // A response that is held until its ledger entry is durable, or until `hold_until`.
  struct DelayedResponse {
    std::uint64_t ticket = 0;
    double hold_until = 0;
    nvme::ConnectionId connection = 0;
    std::uint16_t cid = 0;
    std::uint64_t result = 0;
    nvme::Bytes data;
    bool sent = false;  // before the entry was durable
  };
  struct NodeEndpoint {
    Address address;
    std::unique_ptr<NodeConnection> connection;
  };

  // NodeConnectionOwner and EndpointListOwner.
  void dispatch_ended(int node, const Dispatch& dispatch, Outcome outcome,
                      nvme::Completion&& completion) override;
  void connection_changed(int node, const char* event, const std::string& reason) override;
  void endpoint_list_received(std::vector<ListedEndpoint> endpoints) override;
  void endpoint_list_failed(const std::string& reason) override;

  // ledger::KeeperOwner.
  void on_entries_durable(std::uint64_t ticket) override;
  void on_ledger_read_only_changed(bool read_only, const std::string& reason) override;
  void on_ledger_event(const char* event, const std::string& text) override;

  // ArrivalHandler: all that arrived before the transaction has been read.
  void on_arrival(std::uint64_t transaction) override;
  void pass_on(int transaction);
  void record_and_answer(PendingTransaction& pending, std::uint64_t result, nvme::Bytes&& data);
  void send_overdue_responses();
  void mark_answered(PendingTransaction& pending);
  double now() const { return loop_.iteration_time(); }
  std::vector<NodeEntry> apply_endpoint_list(const std::vector<ListedEndpoint>& endpoints);
  void evict_removed_nodes();
  void connect_ready_nodes();
  void answer(PendingTransaction& pending, nvme::Status status, std::uint64_t result = 0,
              nvme::ByteView data = {});
  void check_drained();
  void log_counts();

  Loop& loop_;
  const config::GatewayConfig& config_;
  Log& log_;
  Matcher matcher_;
  StartTimes start_times_;
  std::unique_ptr<nvme::Target> target_;
  std::unique_ptr<EndpointListWatch> endpoint_list_;
  std::unique_ptr<Control> control_;
  SlotTable<PendingTransaction> transactions_;  // by transaction index
  // Unanswered transactions by connection; a connection is erased with its last one.
  std::unordered_map<nvme::ConnectionId, std::set<int>> unanswered_;
  std::unordered_map<nvme::ConnectionId, ClientInfo> clients_;  // of open I/O connections
  store::PosixFileSystem files_;
  std::unique_ptr<ledger::LedgerService> ledger_;  // null if none is configured
  ledger::BillingTierTracker standings_;
  // By ticket; bounded by the number of open transactions, emptied as entries become durable.
  std::deque<DelayedResponse> delayed_responses_;
  Loop::TimerId delayed_response_timer_ = 0;
  Loop::TimerId drain_timer_ = 0;
  AdmissionControl admission_;
  std::vector<NodeEndpoint> nodes_;  // by node index; the connection is null once the node is evicted
  NodeIndexTable node_indices_;      // by address
  Loop::TimerId control_timer_ = 0;
  Loop::TimerId report_timer_ = 0;
  std::unique_ptr<Watchdog> watchdog_;
  Counts counts_;
  Counts reported_counts_;
  std::uint64_t reported_throttled_ = 0;
  std::function<void()> drain_done_;
  std::uint64_t last_generated_idempotency_key_ = 0;
};

}  // namespace heronworks::gateway
