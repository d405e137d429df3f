// Many schedulers, each with its own Control, send to one node that has just started.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>

#include "control_fixture.h"

using namespace heronworks;

namespace {

constexpr double kStep = 0.005;         // s, of the simulation
constexpr double kReplyLatency = 0.06;  // s
constexpr double kCapacity = 50;        // units per second, of the old node and of the new one when warm
constexpr double kNewNodeStart = 110;   // s
constexpr double kEnd = 122;            // s
constexpr double kSurgeFactor = 5;      // of the arrivals, from the start of the new node

constexpr int kOldNode = 0;
constexpr int kNewNode = 1;

// One scheduler, with a clock of its own.
class SimulatedScheduler final : public ControlActions {
 public:
  // Appends what it sends to the new node to `sent_to_new_node`, in true time.
  SimulatedScheduler(const Settings& settings, double clock_skew, std::vector<SentUnits>& sent_to_new_node)
      : clock_skew_(clock_skew),
        sent_to_new_node_(sent_to_new_node),
        control_(std::make_unique<Control>(settings, *this, 100 + clock_skew)) {
    update_node(100, node_entry(0, kOldNode));
  }
  void update_node(double now, const NodeEntry& entry) {
    now_ = now;
    control_->update_nodes(now + clock_skew_, UpdateKind::kDelta, {entry});
  }
  void arrive(double now, double units) {
    now_ = now;
    Transaction transaction;
    transaction.time_left = 2;
    transaction.units = units;
    transaction.plan = 0;
    transaction.shard = 0;
    transaction.volume_schedulers = 1;
    const int id = free_ids_.empty() ? next_id_++ : free_ids_.back();
    if (!free_ids_.empty()) free_ids_.pop_back();
    if (units_.size() <= static_cast<std::size_t>(id)) units_.resize(static_cast<std::size_t>(id) + 1);
    units_[static_cast<std::size_t>(id)] = units;
    control_->transaction_arrived(now + clock_skew_, id, transaction);
  }
  // Delivers the replies and timers that are due.
  void advance_to(double now) {
    now_ = now;
    while (!in_flight_.empty() && in_flight_.front().finishes_at <= now) {
      const Dispatch dispatch = in_flight_.front();
      in_flight_.erase(in_flight_.begin());
      DispatchResult result;
      result.node = dispatch.node;
      result.elapsed = kReplyLatency;
      result.transaction_finished = true;
      result.dispatch_number = dispatch.number;
      control_->dispatch_finished(now + clock_skew_, dispatch.id, result);
    }
    if (wakeup_at_ <= now + clock_skew_) {
      wakeup_at_ = 1e9;
      control_->timer_fired(now + clock_skew_);
    }
  }

  void dispatch(int id, int node, double) override {
    if (node == kNewNode) sent_to_new_node_.push_back({now_, units_[static_cast<std::size_t>(id)]});
    in_flight_.push_back({id, node, 0, now_ + kReplyLatency});
  }
  void reject(int, double) override {}
  void expire(int) override {}
  void release(int id) override { free_ids_.push_back(id); }
  void request_endpoint_list() override {}
  void wake_at(double time) override { wakeup_at_ = std::min(wakeup_at_, time); }

 private:
  struct Dispatch {
    int id;
    int node;
    int number;
    double finishes_at;
  };
  const double clock_skew_;
  std::vector<SentUnits>& sent_to_new_node_;
  double now_ = 100;
  double wakeup_at_ = 1e9;
  int next_id_ = 0;
  std::vector<int> free_ids_;
  std::vector<double> units_;        // by id
  std::vector<Dispatch> in_flight_;  // in order of dispatch
  std::unique_ptr<Control> control_;
};

}  // namespace

// Guards against schedulers that overload a started node together, under a surge, with skewed clocks and node
// updates that arrive at different times. A node of which the settings allow N mean transactions per overload
// window at its age tolerates N + 2 sqrt(N) + 2.
TEST_CASE("slow start: 20 to 300 schedulers together do not overload a started node, and do use it") {
  for (const int schedulers : {20, 100, 300}) {
    for (const unsigned seed : {1U, 2U, 3U}) {
      CAPTURE(schedulers);
      CAPTURE(seed);
      Settings settings = default_settings();
      settings.scheduler_count = schedulers;
      settings.has_slow_start = true;
      settings.initial_capacity_share = 0.3;
      settings.warmup_time = 10;
      settings.overload_window = 2;
      settings.overload_multiple = 2.5;
      settings.mean_transaction_units = 2;
      settings.safe_start_units =
          settings.overload_multiple * settings.initial_capacity_share * kCapacity * settings.overload_window;
      settings.plans[0].usual_rate = 2 * kCapacity / schedulers;
      settings.plans[0].reservation = 0;
      std::minstd_rand random(seed);
      std::uniform_real_distribution uniform(0.0, 1.0);
      std::vector<SentUnits> sent;
      std::vector<std::unique_ptr<SimulatedScheduler>> fleet;
      std::vector<double> update_times;  // by scheduler, of the new node's entry
      for (int i = 0; i < schedulers; ++i) {
        settings.scheduler_index = i;
        settings.seed = 1000 * seed + static_cast<unsigned>(i);
        fleet.push_back(std::make_unique<SimulatedScheduler>(settings, 0.1 * (uniform(random) - 0.5), sent));
        update_times.push_back(kNewNodeStart + 2 * uniform(random));
      }
      for (double now = 100; now < kEnd; now += kStep) {
        const double arrival_probability = (now < kNewNodeStart ? 1.0 : kSurgeFactor) * kCapacity /
                                           settings.mean_transaction_units / schedulers * kStep;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (now >= update_times[i]) {
            update_times[i] = 1e9;
            fleet[i]->update_node(now, node_entry(0, kNewNode, NodeState::kReady, kNewNodeStart));
          }
          fleet[i]->advance_to(now);
          if (uniform(random) < arrival_probability)
            fleet[i]->arrive(now, 1 + std::floor(3 * uniform(random)));
        }
      }
      // Checks the window that begins with each dispatch, up to the end of the warm-up.
      double max_window_load = 0;  // relative to what the node tolerates
      double total_units = 0;
      for (std::size_t first = 0; first < sent.size(); ++first) {
        total_units += sent[first].units;
        const double progress = std::min(1.0, (sent[first].at - kNewNodeStart) / settings.warmup_time);
        if (progress >= 1) break;
        double units = 0;
        const double end =
            std::min(sent[first].at + settings.overload_window, kNewNodeStart + settings.warmup_time);
        for (std::size_t k = first; k < sent.size() && sent[k].at < end; ++k) units += sent[k].units;
        const double allowed =
            settings.safe_start_units / settings.mean_transaction_units *
            (settings.initial_capacity_share + (1 - settings.initial_capacity_share) * progress) /
            settings.initial_capacity_share;
        const double tolerated = allowed + 2 * std::sqrt(allowed) + 2;
        max_window_load = std::max(max_window_load, units / settings.mean_transaction_units / tolerated);
      }
      CHECK(max_window_load <= 1);
      CHECK(total_units >= 0.1 * kCapacity * (kEnd - kNewNodeStart));
    }
  }
}
