// One running scheduler: sockets on one side, the decision module on the other. What happens becomes calls on
// Control, what it decides becomes commands and answers. Nothing is decided here.
#pragma once

#include <map>
#include <set>

#include "config/gateway_config.h"
#include "control.h"
#include "gateway/door.h"
#include "gateway/list_watch.h"
#include "gateway/match.h"
#include "gateway/node_link.h"
#include "host/node_index_table.h"
#include "host/slot_table.h"
#include "host/watchdog.h"
#include "ledger/keeper.h"
#include "log/log.h"
#include "nvme/target.h"

namespace heronworks::gateway {

// Since the start.
struct Counts {
  std::uint64_t landed = 0;
  std::uint64_t honoured = 0;
  std::uint64_t turned_back = 0;
  std::uint64_t given_up = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t at_door = 0;      // turned back before the module saw them: draining, or a bound was reached
  std::uint64_t by_rule = 0;      // turned back at the door by a rule's word
  std::uint64_t rule_errors = 0;  // evaluations that failed: the rule did not match
  std::uint64_t at_ledger = 0;    // turned back while the ledger takes no entries
  std::uint64_t ahead = 0;        // answers that went out before their entries were durable
  std::uint64_t refused = 0;      // with an error status: not a command that a volume takes
};

// A vendor's log page: the reasons of rules. The answer to a transaction that a rule turned back has the
// rule's number, from 1, in its result (DW0).
inline constexpr std::uint8_t kReasonsPage = 0xC0;

class Scheduler final : public heronworks::ControlActions,
                        public nvme::Backend,
                        public NodeLinkOwner,
                        public ListOwner,
                        public ledger::KeeperOwner {
 public:
  // Throws std::runtime_error if it cannot listen.
  Scheduler(Loop& loop, const config::GatewayConfig& config, Log& log);
  ~Scheduler() override;

  Address address() const { return target_->address(); }
  const Counts& counts() const { return counts_; }
  // What log page kReasonsPage holds: a rule that turns back a line, "number<TAB>name<TAB>reason".
  std::string reasons() const;
  std::size_t unread() const {
    return target_->unsent_bytes();
  }  // bytes of answers that clients have not taken yet
  bool door_empty() const { return door_.empty(); }
  std::size_t open() const { return slots_.in_use(); }

  // Takes nothing new, ends what it took, then calls `done`.
  void drain(std::function<void()> done);

  // From the module.
  void dispatch(int transaction, int node, double timeout) override;
  void reject(int transaction, double wait) override;
  void expire(int transaction) override;
  void release(int transaction) override;
  void request_endpoint_list() override;
  void wake_at(double time) override;

  // From clients.
  nvme::Status identify(std::uint8_t cns, std::uint8_t csi, std::uint32_t nsid, nvme::Bytes& page) override;
  void execute_command(nvme::Command&& command) override;
  void get_log_page(nvme::ConnectionId connection, std::uint16_t cid, std::uint8_t page, std::uint64_t offset,
                    std::uint32_t length) override;
  void connection_established(nvme::ConnectionId connection, const std::string& host, bool admin,
                              const heronworks::Address& peer) override;
  void connection_closed(nvme::ConnectionId connection) override;

 private:
  // A transaction from landing until the module forgets it.
  struct Slot {
    bool used = false;
    bool answered = false;
    bool unnamed = false;  // its client gave no label
    nvme::ConnectionId connection = 0;
    nvme::Sqe sqe;
    nvme::SharedBytes data;
    int profile = 0;
    int shard = -1;
    std::size_t tenant = 0;
    int dispatches = 0;
    int rule = -1;
    Transaction t;  // as it landed; its time left is counted from `landed_at`
    double landed_at = 0;
  };
  // An answer that waits for its entry in the ledger.
  struct Waiting {
    std::uint64_t ticket = 0;
    double until = 0;
    nvme::ConnectionId connection = 0;
    std::uint16_t cid = 0;
    std::uint64_t result = 0;
    nvme::Bytes data;
    bool gone = false;  // went out ahead
  };
  struct NodeSlot {
    Address address;
    std::unique_ptr<NodeLink> link;
  };

  // From nodes and the list.
  void ended(int node, const Dispatch& dispatch, Outcome outcome, nvme::Completion&& completion) override;
  void link_changed(int node, const char* event, const std::string& reason) override;
  void list_came(std::vector<ListedNode> nodes) override;
  void list_failed(const std::string& reason) override;

  // From the ledger.
  void entered(std::uint64_t ticket) override;
  void ledger_state(bool read_only, const std::string& reason) override;
  void ledger_note(const char* event, const std::string& text) override;

  void enter(Slot& slot, std::uint64_t result, nvme::Bytes&& data);
  void look_at_waiting();
  void mark_answered(Slot& slot);
  double now() const { return loop_.iteration_time(); }
  std::vector<NodeEntry> take_list(const std::vector<ListedNode>& nodes);
  void let_go_of_gone();
  void connect_to_listed();
  void answer(Slot& slot, nvme::Status status, std::uint64_t result = 0, nvme::ByteView data = {});
  void check_drained();
  void report();

  Loop& loop_;
  const config::GatewayConfig& config_;
  Log& log_;
  Matcher matcher_;
  const double wall_offset_;  // fixed at the start, so that a process keeps the time at which it came up
  std::unique_ptr<nvme::Target> target_;
  std::unique_ptr<ListWatch> list_;
  std::unique_ptr<Control> control_;
  SlotTable<Slot> slots_;                                            // by transaction
  std::unordered_map<nvme::ConnectionId, std::set<int>> by_client_;  // open ones; emptied with them
  std::unordered_map<nvme::ConnectionId, ClientFacts> facts_;  // of I/O connections; emptied as they close
  store::PosixFileSystem files_;
  std::unique_ptr<ledger::Keeper> keeper_;  // none: no ledger
  ledger::Standings standings_;
  std::deque<Waiting> waiting_;  // by ticket; bounded by what may be open, emptied as entries are durable
  Loop::TimerId waiting_timer_ = 0;
  Loop::TimerId draining_ = 0;
  Door door_;
  std::vector<NodeSlot> nodes_;  // by the module's index; one whose address is gone for long has no link
  NodeIndexTable numbers_;       // by address
  Loop::TimerId wake_ = 0;
  Loop::TimerId report_ = 0;
  std::unique_ptr<Watchdog> beat_;
  Counts counts_;
  Counts reported_;
  std::function<void()> drained_;
  std::uint64_t own_label_ = 0;
};

}  // namespace heronworks::gateway
