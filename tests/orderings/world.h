// Every ordering of a few events on a tiny fleet, with the rules checked after each: the driver. It plays
// host to real Controls and judges from the rules' wording; it knows nothing of the module's tables.
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

// What each ordering consists of. Events come in any order; those of one list come in its order.
struct Script {
  struct Landing {
    int scheduler = 0;
    Transaction t;
  };
  struct News {
    int scheduler = 0;  // told; the others are told by news of their own
    UpdateKind scope = UpdateKind::kDelta;
    std::vector<NodeEntry> entries;
  };
  Settings settings;
  int schedulers = 1;
  std::vector<NodeEntry> nodes;  // told to all at the start
  std::vector<Landing> landings;
  std::vector<News> news;
  std::vector<double> passes;     // s that may pass, in this order
  std::vector<Outcome> outcomes;  // that a reply may have
  int replies = 0;                // replies by choice; what is out beyond them times out
  int abandons = 0;
  int seconds = 0;                           // replies that come twice
  int kills = 0;                             // of scheduler 0, which is back at once
  double up_at = 0;                          // when node 0 really came up; 0: long ago
  double warm_rate = 0;                      // units a second that it manages once warm
  std::function<void(class World&)> before;  // what happened before
};

// Takes each way through a tree of choices once.
class Chooser {
 public:
  int pick(int options) {
    if (at_ == path_.size()) {
      path_.push_back(0);
      options_.push_back(options);
    }
    return path_[at_++];
  }
  bool next() {
    at_ = 0;
    while (!path_.empty() && path_.back() + 1 >= options_.back()) {
      path_.pop_back();
      options_.pop_back();
    }
    if (path_.empty()) return false;
    ++path_.back();
    return true;
  }

 private:
  std::vector<int> path_;
  std::vector<int> options_;
  std::size_t at_ = 0;
};

// How often something happened, over all orderings: a world that never met what it is about has shown
// nothing.
struct Seen {
  int orderings = 0;
  int dispatches = 0;
  int again = 0;
  int answers = 0;
  int turned_back = 0;
  int given_up = 0;
  int abandoned_out = 0;  // left while a dispatch was out
  int second_replies = 0;
  int cold_sends = 0;
  int waited_for_key = 0;  // a dispatch that came later than its landing, behind one of its key
  int withheld = 0;        // landed for a volume with a limit and never sent
  int killed = 0;
  std::string broken;  // the first rule broken, with the events that led there
};

class World {
 public:
  World(const Script& script, Chooser& chooser, Seen& seen);

  // One ordering, to its end.
  void play();
  void pass(double seconds);
  void land(int scheduler, const Transaction& t);
  void reply_all(Outcome outcome);
  void tell(int scheduler, UpdateKind scope, const std::vector<NodeEntry>& entries);
  double now() const { return now_; }
  int schedulers() const { return script_.schedulers; }

 private:
  struct Sent {
    int node = 0;
    double at = 0;
    double until = 0;
    bool over = false;
    Outcome outcome = Outcome::kSucceeded;
    double over_at = 0;
    int shard = -1;  // of the node then
    int zone = 0;
  };
  struct Try {
    int scheduler = 0;
    Transaction t;
    double landed_at = 0;
    bool answered = false;
    bool left = false;
    bool dead = false;  // its scheduler was killed
    bool forgotten = false;
    std::vector<Sent> sent;
    bool out() const { return !sent.empty() && !sent.back().over; }
    bool open() const { return !answered && !left && !dead; }
  };
  struct Scheduler final : ControlActions {
    Scheduler(World& w, int n) : world(w), number(n) {}
    void dispatch(int id, int node, double timeout) override { world.dispatched(*this, id, node, timeout); }
    void reject(int id, double) override { world.answered(*this, id, true); }
    void expire(int id) override { world.answered(*this, id, false); }
    void release(int id) override {
      world.tries_[world.of(*this, id)].forgotten = true;
      ids[static_cast<std::size_t>(id)] = -1;
    }
    void request_endpoint_list() override {}
    void wake_at(double time) override { wake = time; }
    World& world;
    int number;
    double wake = 1e9;
    std::vector<NodeEntry> told;  // by node
    std::vector<int> ids;         // by the module's index: place among the tries, or -1
    double started = 0;
    std::unique_ptr<Control> control;
  };

  std::size_t of(const Scheduler& s, int id) const {
    return static_cast<std::size_t>(s.ids[static_cast<std::size_t>(id)]);
  }
  void start(Scheduler& s);
  void dispatched(Scheduler& s, int id, int node, double timeout);
  void answered(Scheduler& s, int id, bool turned_back);
  void reply(std::size_t place, Outcome outcome);
  void abandon(std::size_t place);
  void kill(Scheduler& s);
  void note(const std::string& text);
  void breach(const std::string& rule);
  bool may_have_run(const Sent& s) const;
  void check_effects(const Try& t, const Sent& next);
  void check_cold(const Scheduler& s, int node);
  void check_order(const Scheduler& s, std::size_t place);
  void check_budget(const Scheduler& s);
  void check_limits(const Try& t);
  const Profile& profile(const Try& t) const {
    return script_.settings.profiles[static_cast<std::size_t>(t.t.profile)];
  }

  const Script& script_;
  Chooser& chooser_;
  Seen& seen_;
  double now_ = 100;
  std::vector<std::unique_ptr<Scheduler>> schedulers_;
  std::vector<Try> tries_;
  std::string trace_;
  std::string last_reply_;
};

// Plays all orderings of the script, up to the first that breaks a rule.
Seen explore(const Script& script);

}  // namespace heronworks::orderings
