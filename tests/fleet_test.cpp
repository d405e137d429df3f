// Many real modules at once against one node that is new: what each sends alone adds up.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>

#include "stage.h"

using namespace heronworks;

namespace {

constexpr double kStep = 0.005;       // s
constexpr double kReplyAfter = 0.06;  // s
constexpr double kCapacity = 50;  // units a second, of the node that was there and of the new one when warm

struct Sending {
  double at;
  double units;
};

// One scheduler of the fleet, with a clock of its own.
class Member final : public ControlActions {
 public:
  Member(const Settings& settings, double skew, std::vector<Sending>& to_new)
      : skew_(skew), to_new_(to_new), control_(std::make_unique<Control>(settings, *this, 100 + skew)) {
    tell(100, listed(0));
  }
  void tell(double now, const NodeEntry& entry) {
    now_ = now;
    control_->update_nodes(now + skew_, UpdateKind::kDelta, {entry});
  }
  void land(double now, double units) {
    now_ = now;
    Transaction t;
    t.time_left = 2;
    t.units = units;
    t.plan = 0;
    t.shard = 0;
    t.volume_schedulers = 1;
    const int id = free_.empty() ? next_++ : free_.back();
    if (!free_.empty()) free_.pop_back();
    if (units_.size() <= static_cast<std::size_t>(id)) units_.resize(static_cast<std::size_t>(id) + 1);
    units_[static_cast<std::size_t>(id)] = units;
    control_->transaction_arrived(now + skew_, id, t);
  }
  void pass(double now) {
    now_ = now;
    while (!out_.empty() && out_.front().until <= now) {
      const Out o = out_.front();
      out_.erase(out_.begin());
      DispatchResult r;
      r.node = o.node;
      r.elapsed = kReplyAfter;
      r.transaction_finished = true;
      r.dispatch_number = o.number;
      control_->dispatch_finished(now + skew_, o.id, r);
    }
    if (wake_ <= now + skew_) {
      wake_ = 1e9;
      control_->timer_fired(now + skew_);
    }
  }

  void dispatch(int id, int node, double) override {
    if (node == 1) to_new_.push_back({now_, units_[static_cast<std::size_t>(id)]});
    out_.push_back({id, node, 0, now_ + kReplyAfter});
  }
  void reject(int, double) override {}
  void expire(int) override {}
  void release(int id) override { free_.push_back(id); }
  void request_endpoint_list() override {}
  void wake_at(double time) override { wake_ = std::min(wake_, time); }

 private:
  struct Out {
    int id;
    int node;
    int number;
    double until;
  };
  const double skew_;
  std::vector<Sending>& to_new_;
  double now_ = 100;
  double wake_ = 1e9;
  int next_ = 0;
  std::vector<int> free_;
  std::vector<double> units_;
  std::vector<Out> out_;
  std::unique_ptr<Control> control_;
};

}  // namespace

// The new node falls over when more than N + 2 root N + 2 requests of mean work come within the fall time, N
// being what the settings allow at its age. Told at different times, clocks apart, under a burst.
TEST_CASE(
    "fleet: twenty to three hundred schedulers together stay within what a new node bears, and use it") {
  for (const int schedulers : {20, 100, 300}) {
    for (const unsigned seed : {1U, 2U, 3U}) {
      CAPTURE(schedulers);
      CAPTURE(seed);
      Settings settings = plain_settings();
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
      std::uniform_real_distribution chance(0.0, 1.0);
      std::vector<Sending> sent;
      std::vector<std::unique_ptr<Member>> fleet;
      std::vector<double> told;
      for (int i = 0; i < schedulers; ++i) {
        settings.scheduler_index = i;
        settings.seed = 1000 * seed + static_cast<unsigned>(i);
        fleet.push_back(std::make_unique<Member>(settings, 0.1 * (chance(random) - 0.5), sent));
        told.push_back(110 + 2 * chance(random));
      }
      for (double now = 100; now < 122; now += kStep) {
        // A burst of five times as much from the moment in which the new node is there.
        const double each =
            (now < 110 ? 1.0 : 5.0) * kCapacity / settings.mean_transaction_units / schedulers * kStep;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          if (now >= told[i]) {
            told[i] = 1e9;
            fleet[i]->tell(now, listed(0, 1, NodeState::kReady, 110));
          }
          fleet[i]->pass(now);
          if (chance(random) < each) fleet[i]->land(now, 1 + std::floor(3 * chance(random)));
        }
      }
      // Every window of one fall time, by where it begins; what is sent once it is warm pushes nothing over.
      double worst = 0;
      double all = 0;
      for (std::size_t i = 0; i < sent.size(); ++i) {
        all += sent[i].units;
        const double age = std::min(1.0, (sent[i].at - 110) / settings.warmup_time);
        if (age >= 1) break;
        double units = 0;
        const double end = std::min(sent[i].at + settings.overload_window, 110 + settings.warmup_time);
        for (std::size_t k = i; k < sent.size() && sent[k].at < end; ++k) {
          units += sent[k].units;
        }
        const double n = settings.safe_start_units / settings.mean_transaction_units *
                         (settings.initial_capacity_share + (1 - settings.initial_capacity_share) * age) /
                         settings.initial_capacity_share;
        worst = std::max(worst, units / settings.mean_transaction_units / (n + 2 * std::sqrt(n) + 2));
      }
      CHECK(worst <= 1);
      CHECK(all >= 0.1 * kCapacity * 12);  // it is not left unused
    }
  }
}
