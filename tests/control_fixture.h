// Test fixture of the decision module.
#pragma once

#include <cmath>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "control.h"

namespace heronworks {

// Looks into the tables of a Control.
struct ControlTestAccess {
  static std::size_t ordered_keys(const Control& control) { return control.key_queues_.size(); }
  static std::size_t unserved_transactions(const Control& control) { return control.unserved_.size(); }
};

// Positions of the profiles in default_settings().
constexpr int kIdempotentProfile = 0;
constexpr int kDeduplicatedProfile = 1;  // within a shard
constexpr int kNonIdempotentProfile = 2;
constexpr int kOrderedProfile = 3;  // idempotent, ordered by key

inline Settings default_settings() {
  Settings settings;
  settings.seed = 7;
  settings.scheduler_count = 2;
  const auto profile = [](Idempotency idempotency, bool ordered_by_key) {
    Profile p;
    p.target_latency = 0.4;
    p.deadline = 2;
    p.benefit = 1;
    p.dedup_window = 0.5;
    p.idempotency = idempotency;
    p.ordered_by_key = ordered_by_key;
    return p;
  };
  settings.profiles = {profile(Idempotency::kIdempotent, false), profile(Idempotency::kDeduplicated, false),
                       profile(Idempotency::kNonIdempotent, false), profile(Idempotency::kIdempotent, true)};
  Plan plan;
  plan.usual_rate = 10;
  plan.reservation = 5;
  plan.weight = plan.benefit_factor = 1;
  settings.plans = {plan};
  settings.max_transaction_units = 8;
  settings.share_benefit_factor = 0.3;
  settings.spare_benefit_factor = 0.1;
  settings.max_dispatches = 3;
  return settings;
}

// An entry for the node that serves the shard. `node` defaults to the number of the shard.
inline NodeEntry node_entry(int shard, int node = -1, NodeState state = NodeState::kReady,
                            double started_at = 0) {
  return {node < 0 ? shard : node, 0, shard, state, started_at};
}

// What a test may set of an arriving transaction.
struct Arrival {
  int profile = kIdempotentProfile;
  double units = 2;
  int shard = 0;
  int volume = 0;
  int key = 1;
  double time_left = 2;
  bool index_reused = false;
};

// Drives one Control on a simulated clock, which starts at 100 s, and records its actions as a trace. A test
// compares the trace with a file under tests/traces/.
class ControlFixture : public ControlActions {
 public:
  explicit ControlFixture(const Settings& settings,
                          std::vector<NodeEntry> nodes = {node_entry(0), node_entry(1)}) {
    control_ = std::make_unique<Control>(settings, *this, now_);
    update_nodes(UpdateKind::kPersisted, std::move(nodes));
  }

  // Advances the clock and fires the timers that are due, each slightly early, as on a coarse clock.
  void advance_to(double time) {
    while (wakeup_at_ <= time) {
      now_ = std::max(now_, wakeup_at_ - 1e-6);
      wakeup_at_ = 1e9;
      control_->timer_fired(now_);
    }
    now_ = time;
  }
  // Advances the clock without firing timers, as if the process were suspended.
  void stall_until(double time) { now_ = time; }
  void arrive(int id, const Arrival& arrival = {}) {
    Transaction transaction;
    transaction.index_reused = arrival.index_reused;
    transaction.has_key = true;
    transaction.key = static_cast<std::uint64_t>(arrival.key);
    transaction.time_left = arrival.time_left;
    transaction.units = arrival.units;
    transaction.volume = arrival.volume;
    transaction.profile = arrival.profile;
    transaction.plan = 0;
    transaction.shard = arrival.shard;
    transaction.volume_schedulers = 2;
    dispatch_counts_[id] = 0;
    control_->transaction_arrived(now_, id, transaction);
  }
  // Ends the transaction's dispatch, if one is in flight.
  void finish(int id, Outcome outcome, double elapsed = 0.02, bool transaction_finished = false) {
    if (!in_flight_[id]) return;
    in_flight_[id] = false;
    DispatchResult result;
    result.dispatch_number = dispatch_counts_[id] - 1;
    result.node = nodes_[id];
    result.elapsed = elapsed;
    result.outcome = outcome;
    result.transaction_finished = transaction_finished || outcome == Outcome::kSucceeded;
    control_->dispatch_finished(now_, id, result);
  }
  void finish_all(Outcome outcome, double elapsed = 0.02) {
    for (const auto& [id, in_flight] : std::map<int, bool>(in_flight_)) finish(id, outcome, elapsed);
  }
  void update_nodes(UpdateKind kind, std::vector<NodeEntry> entries = {}) {
    control_->update_nodes(now_, kind, entries);
  }
  bool reserve_key_place(int id, int key) {
    return control_->reserve_key_place(now_, id, static_cast<std::uint64_t>(key));
  }
  void cancel_key_place(int id) { control_->cancel_key_place(now_, id); }
  std::size_t ordered_keys() const { return ControlTestAccess::ordered_keys(*control_); }
  std::size_t unserved_transactions() const { return ControlTestAccess::unserved_transactions(*control_); }
  void abandon(int id) { control_->transaction_abandoned(now_, id); }
  double now() const { return now_; }

  void clear_trace() { trace_.clear(); }
  // Adds a comment line to the trace.
  void annotate(const std::string& text) { trace_ += "-- " + text + "\n"; }
  // Compares the trace with tests/traces/<name>.txt, and prints it if they differ.
  bool matches_trace(const std::string& name) const {
    std::ifstream file(std::string(TRACES) + name + ".txt");
    std::stringstream expected;
    expected << file.rdbuf();
    if (expected.str() == trace_) return true;
    std::printf("trace %s is now:\n%s", name.c_str(), trace_.c_str());
    return false;
  }

  void dispatch(int id, int node, double timeout) override {
    dispatch_counts_[id] += 1;
    nodes_[id] = node;
    in_flight_[id] = true;
    std::ostringstream text;
    text << " to node " << node << " for " << std::round(timeout * 100) / 100;
    record("dispatch", id, text.str());
  }
  void reject(int id, double) override { record("reject", id); }
  void expire(int id) override { record("expire", id); }
  void release(int) override {}
  void request_endpoint_list() override { record("request endpoint list"); }
  void wake_at(double time) override { wakeup_at_ = std::min(wakeup_at_, time); }

 private:
  void record(const std::string& action, int id = -1, const std::string& details = "") {
    char time[32];
    std::snprintf(time, sizeof time, "%.2f ", now_);
    trace_ += time + action + (id < 0 ? "" : " " + std::to_string(id)) + details + "\n";
  }

  double now_ = 100;
  double wakeup_at_ = 1e9;
  std::string trace_;
  std::map<int, int> dispatch_counts_;  // by transaction, as the next two
  std::map<int, int> nodes_;            // of the latest dispatch
  std::map<int, bool> in_flight_;
  std::unique_ptr<Control> control_;
};

}  // namespace heronworks
