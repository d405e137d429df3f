// The helpers of the tests: a stage that plays host to one module and writes down its decisions.
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

// Profiles: 0 redoable, 1 labelled within a cell, 2 irreversible, 3 redoable and in order.
inline Settings plain_settings() {
  Settings s;
  s.seed = 7;
  s.scheduler_count = 2;
  const auto profile = [](Idempotency repeat, bool in_order) {
    Profile p;
    p.target_latency = 0.4;
    p.deadline = 2;
    p.benefit = 1;
    p.dedup_window = 0.5;
    p.idempotency = repeat;
    p.ordered_by_key = in_order;
    return p;
  };
  s.profiles = {profile(Idempotency::kIdempotent, false), profile(Idempotency::kDeduplicated, false),
                profile(Idempotency::kNonIdempotent, false), profile(Idempotency::kIdempotent, true)};
  Plan plan;
  plan.usual_rate = 10;
  plan.reservation = 5;
  plan.weight = plan.benefit_factor = 1;
  s.plans = {plan};
  s.max_transaction_units = 8;
  s.share_benefit_factor = 0.3;
  s.spare_benefit_factor = 0.1;
  s.max_dispatches = 3;
  return s;
}

inline NodeEntry listed(int shard, int node = -1, NodeState listing = NodeState::kReady, double came_up = 0) {
  return {node < 0 ? shard : node, 0, shard, listing, came_up};
}

class Stage : public ControlActions {
 public:
  explicit Stage(const Settings& settings, std::vector<NodeEntry> nodes = {listed(0), listed(1)}) {
    control_ = std::make_unique<Control>(settings, *this, now_);
    news(UpdateKind::kPersisted, std::move(nodes));
  }

  // Lets time pass, with the wake-ups that were asked for; they come a rounding early, as on a coarse clock.
  void until(double time) {
    while (wake_ <= time) {
      now_ = std::max(now_, wake_ - 1e-6);
      wake_ = 1e9;
      control_->timer_fired(now_);
    }
    now_ = time;
  }
  // Time passes without them: the scheduler stands still.
  void stall_until(double time) { now_ = time; }
  void land(int id, int profile = 0, double units = 2, int shard = 0, int volume = 0, std::uint64_t key = 1,
            double left = 2, bool fresh = false) {
    Transaction t;
    t.index_reused = fresh;
    t.has_key = true;
    t.key = key;
    t.time_left = left;
    t.units = units;
    t.volume = volume;
    t.profile = profile;
    t.plan = 0;
    t.shard = shard;
    t.volume_schedulers = 2;
    tries_[id] = 0;
    control_->transaction_arrived(now_, id, t);
  }
  // The end of a transaction's latest dispatch, if it is out.
  void reply(int id, Outcome outcome, double elapsed = 0.02, bool finished = false) {
    if (!out_[id]) return;
    out_[id] = false;
    DispatchResult r;
    r.dispatch_number = tries_[id] - 1;
    r.node = sent_to_[id];
    r.elapsed = elapsed;
    r.outcome = outcome;
    r.transaction_finished = finished || outcome == Outcome::kSucceeded;
    control_->dispatch_finished(now_, id, r);
  }
  void reply_all(Outcome outcome, double elapsed = 0.02) {
    for (const auto& [id, out] : std::map<int, bool>(out_)) reply(id, outcome, elapsed);
  }
  void news(UpdateKind scope, std::vector<NodeEntry> nodes = {}) {
    control_->update_nodes(now_, scope, nodes);
  }
  void abandon(int id) { control_->transaction_abandoned(now_, id); }
  void quiet() { trace_.clear(); }  // what came so far is not of interest
  double now() const { return now_; }
  void say(const std::string& text) { trace_ += "-- " + text + "\n"; }

  bool matches(const std::string& name) const {
    std::ifstream file(std::string(TRACES) + name + ".txt");
    std::stringstream kept;
    kept << file.rdbuf();
    if (kept.str() == trace_) return true;
    std::printf("trace %s is now:\n%s", name.c_str(), trace_.c_str());
    return false;
  }

  void dispatch(int id, int node, double timeout) override {
    tries_[id] += 1;
    sent_to_[id] = node;
    out_[id] = true;
    std::ostringstream text;
    text << " to node " << node << " for " << std::round(timeout * 100) / 100;
    write("dispatch", id, text.str());
  }
  void reject(int id, double) override { write("turn back", id); }
  void expire(int id) override { write("give up", id); }
  void release(int) override {}
  void request_endpoint_list() override { write("watch the list"); }
  void wake_at(double time) override { wake_ = std::min(wake_, time); }

 private:
  void write(const std::string& what, int id = -1, const std::string& more = "") {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f ", now_);
    trace_ += text + what + (id < 0 ? "" : " " + std::to_string(id)) + more + "\n";
  }

  double now_ = 100;
  double wake_ = 1e9;
  std::string trace_;
  std::map<int, int> tries_;
  std::map<int, int> sent_to_;
  std::map<int, bool> out_;
  std::unique_ptr<Control> control_;
};

}  // namespace heronworks
