// The interface of the decision module: what may happen (Control) and what it may do (Host).
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "settings.h"
#include "state.h"

namespace heronworks {

// What the module asks of the program around it. Calls take effect at once, in order.
class Host {
 public:
  virtual ~Host() = default;
  virtual void dispatch(int transaction, int node, double try_for) = 0;  // 0: until the cut-off
  virtual void turn_back(int transaction, double wait) = 0;              // 0: no advice
  virtual void give_up(int transaction) = 0;
  virtual void forget(int transaction) = 0;  // nothing more will be said of it; the index is free
  virtual void watch_list() = 0;
  virtual void wake_at(double time) = 0;
};

// One scheduler. Destroyed at a restart.
class Control {
 public:
  Control(Settings settings, Host& host, double now);

  void list_news(double now, Scope scope, const std::vector<Entry>& entries);
  void list_moved(double now);  // it is to be asked for elsewhere from now on
  void landed(double now, int transaction, const Transaction& t);
  void replied(double now, int transaction, const Reply& reply);
  void abandoned(double now, int transaction);
  void woken(double now);

 private:
  friend struct Inspection;  // of tests: what must be back at zero once all is over

  enum class Verdict { kGone, kHeld, kNodeFull };

  Verdict decide(double now, int id);
  void serve(double now);
  void serve(double now, int shard);
  void hold(int id);
  void release(Open& o);
  bool stuck(double now, int shard, bool sweep);
  void take(double now, int shard, bool sweep);
  void consider(double now, int id);
  void look(double now);
  void tidy(int shard);
  double worth(double now, Open& o);
  void answer(double now, int id);
  void close(int id);
  bool again_wanted(const Open& o, const Node& node);
  bool may_go_again(double now, const Open& o, const Node& node);
  Bucket& budget_slot(double now);
  Node& node_at(int index);
  int place(double now, const Open& o);
  int rotate(double now, const Open& o);
  void rotated(int picked);
  double unit_time(const Node& node) const;
  double load(const Node& node) const;
  bool has_room(double now, const Node& node, const Open& o) const;
  bool is_cold(double now, const Node& node) const;
  double cold_room(double now, Node& node);
  Volume& volume_of(double now, const Transaction& t);
  double told_share(const Volume& v) const;
  double cap(const Volume& v, int gear) const;
  bool over_gear(const Volume& v) const;
  void wake(double now, double time);
  void note_stall(double now);
  void second_passed(double now);
  void ask_for_list(double now);

  const Settings settings_;
  Host& host_;
  std::minstd_rand random_;
  const double started_;
  const double answer_margin_;
  double tightest_;
  double best_benefit_ = 1e-9;  // of a profile
  double unit_share_ = 0;       // usual units a second for one of weight
  double bad_part_ = 0;         // of recent replies, over all nodes
  double next_wake_ = 0;
  double stalled_at_ = -1;
  double stalled_for_ = 0;
  double second_at_;
  double ask_at_;
  int ask_fails_ = 0;
  std::vector<Open> open_;        // by transaction; a slot is free once it is over and nothing is out
  std::vector<Waiting> waiting_;  // by shard + 1, new objects first; emptied as they go out or are answered
  std::vector<int> taken_;        // shards in this look; emptied by it
  std::vector<int> newest_;       // by shard: its newest ready node, or -1; made anew with each list
  int held_ = 0;                  // in waiting_, all together
  std::uint64_t queued_ = 0;
  std::uint64_t look_ = 0;
  Open smallest_;                              // the least that may be asked for room
  std::vector<std::pair<double, int>> order_;  // scratch of look()
  std::vector<Node> nodes_;                    // by node; as many as the host has indices, see Entry::fresh
  std::vector<double> managed_;                // by shard: usual service, units a second; as many as listed
  std::vector<Volume> volumes_;                // by volume; as many as there are
  std::map<std::uint64_t, Past> past_;         // by key: answered unserved; erased at the cut-off
  std::vector<Bucket> budget_;                 // a ring over the budget's window
  std::map<std::uint64_t, Lane> lanes_;        // by key; erased when idle and rested
};

}  // namespace heronworks
