// Plays every ordering of a few events against the decision module and checks these rules after each event:
//
//   1. A transaction gets one final answer, before its deadline.
//   2. A transaction that a node may have executed is repeated only as its profile allows.
//   3. Nothing is dispatched to a node that is draining, removed or not listed.
//   4. All schedulers together do not overload a node in slow start.
//   5. Ordered transactions of a key run one at a time, in order of arrival, and observe the quiet time.
//   6. Retries stay within the retry budget.
//   7. All schedulers together keep a volume's limit.
//
// The checks use only the events and actions, not the module's own tables. Times are in seconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "control.h"

namespace heronworks::orderings {

// The events to order. Events of one list keep the order of the list.
struct Scenario {
  struct Arrival {
    int scheduler = 0;
    Transaction transaction;
  };
  // Reaches one scheduler only.
  struct Update {
    int scheduler = 0;
    UpdateKind kind = UpdateKind::kDelta;
    std::vector<NodeEntry> entries;
  };
  Settings settings;
  int scheduler_count = 1;
  std::vector<NodeEntry> nodes;  // known to all schedulers at the start
  std::vector<Arrival> arrivals;
  std::vector<Update> updates;
  std::vector<double> delays;
  std::vector<Outcome> outcomes;  // that a reply may have
  int max_replies = 0;            // dispatches that get none time out
  int max_abandons = 0;
  int max_duplicate_replies = 0;
  int max_restarts = 0;                            // of scheduler 0, which loses its state
  double node_0_started_at = 0;                    // 0: long ago
  double node_0_rate = 0;                          // after slow start, in units per second
  std::function<void(class ScenarioRun&)> set_up;  // runs before the events
};

// Enumerates all paths through a tree of choices, depth first.
class ChoiceTree {
 public:
  // Returns the choice of the current path, from 0 to `option_count` - 1.
  int choose(int option_count) {
    if (depth_ == path_.size()) {
      path_.push_back(0);
      option_counts_.push_back(option_count);
    }
    return path_[depth_++];
  }
  // Starts the next path. Returns false if there is none.
  bool next_path() {
    depth_ = 0;
    while (!path_.empty() && path_.back() + 1 >= option_counts_.back()) {
      path_.pop_back();
      option_counts_.pop_back();
    }
    if (path_.empty()) return false;
    ++path_.back();
    return true;
  }

 private:
  std::vector<int> path_;
  std::vector<int> option_counts_;
  std::size_t depth_ = 0;
};

// How often the orderings of a scenario met each condition. A test checks that its condition occurred at all.
struct Coverage {
  int orderings = 0;
  int dispatches = 0;
  int retries = 0;
  int answers = 0;
  int rejected = 0;
  int expired = 0;
  int abandoned_in_flight = 0;
  int duplicate_replies = 0;
  int slow_start_dispatches = 0;
  int delayed_by_key = 0;     // ordered transactions that were first dispatched later than they arrived
  int withheld_by_limit = 0;  // transactions of a volume with a limit that were never dispatched
  int restarts = 0;
  std::string violation;  // the first broken rule, with the events that led to it
};

// One ordering of a scenario's events.
class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, ChoiceTree& choices, Coverage& coverage);

  // Plays the events, then lets time pass until all state must be gone. Stops at the first violation.
  void run();

  // Lets time pass, with the timers and timeouts that fall due.
  void advance_time(double seconds);
  void arrive(int scheduler, const Transaction& transaction);
  // Ends all dispatches in flight.
  void reply_to_all(Outcome outcome);
  void update_nodes(int scheduler, UpdateKind kind, const std::vector<NodeEntry>& entries);
  double now() const { return now_; }
  int scheduler_count() const { return scenario_.scheduler_count; }

 private:
  struct Dispatch {
    int node = 0;
    double sent_at = 0;
    double times_out_at = 0;
    bool finished = false;
    Outcome outcome = Outcome::kSucceeded;
    double finished_at = 0;
    int shard = -1;  // of the node when sent
    int zone = 0;    // of the node when sent
  };
  struct TransactionRecord {
    int scheduler = 0;
    Transaction transaction;
    double arrived_at = 0;
    bool answered = false;
    bool abandoned = false;
    bool lost = false;  // in a restart of its scheduler
    bool released = false;
    std::vector<Dispatch> dispatches;
    bool in_flight() const { return !dispatches.empty() && !dispatches.back().finished; }
    bool open() const { return !answered && !abandoned && !lost; }
  };
  struct Scheduler final : ControlActions {
    Scheduler(ScenarioRun& r, int i) : run(r), index(i) {}
    void dispatch(int id, int node, double timeout) override { run.dispatched(*this, id, node, timeout); }
    void reject(int id, double) override { run.answered(*this, id, true); }
    void expire(int id) override { run.answered(*this, id, false); }
    void release(int id) override {
      run.records_[run.record_index(*this, id)].released = true;
      record_indices[static_cast<std::size_t>(id)] = -1;
    }
    void request_endpoint_list() override {}
    void wake_at(double time) override { next_wake = time; }
    ScenarioRun& run;
    int index;
    double next_wake = 1e9;
    std::vector<NodeEntry> known_nodes;
    std::vector<int> record_indices;  // by the module's transaction index; -1: free
    double started_at = 0;
    std::unique_ptr<Control> control;
  };

  std::size_t record_index(const Scheduler& scheduler, int id) const {
    return static_cast<std::size_t>(scheduler.record_indices[static_cast<std::size_t>(id)]);
  }
  void start(Scheduler& scheduler);
  void dispatched(Scheduler& scheduler, int id, int node, double timeout);
  void answered(Scheduler& scheduler, int id, bool rejected);
  void reply(std::size_t index, Outcome outcome);
  void abandon(std::size_t index);
  void restart(Scheduler& scheduler);
  void trace(const std::string& event);
  void report_violation(const std::string& rule);
  bool may_have_executed(const Dispatch& dispatch) const;
  void check_idempotency(const TransactionRecord& record, const Dispatch& next);
  void check_slow_start(const Scheduler& scheduler, int node);
  void check_key_order(const Scheduler& scheduler, std::size_t index);
  void check_retry_budget(const Scheduler& scheduler);
  void check_limit(const TransactionRecord& record);
  const Profile& profile(const TransactionRecord& record) const {
    return scenario_.settings.profiles[static_cast<std::size_t>(record.transaction.profile)];
  }

  const Scenario& scenario_;
  ChoiceTree& choices_;
  Coverage& coverage_;
  double now_ = 100;
  std::vector<std::unique_ptr<Scheduler>> schedulers_;
  std::vector<TransactionRecord> records_;  // in order of arrival
  std::string trace_;
  std::string last_reply_;
};

// Runs all orderings of the scenario, up to the first that breaks a rule.
Coverage run_all_orderings(const Scenario& scenario);

}  // namespace heronworks::orderings
