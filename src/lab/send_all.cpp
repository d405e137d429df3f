// The module's place taken by a baseline: everything is sent at once, within an even part of each limit. With
// HERONWORKS_CARELESS it breaks every rule that it can, so that the checker has something to find.
// For the lab only; the product never links it.
#include <algorithm>

#include "control.h"

namespace heronworks {
namespace {

#ifdef HERONWORKS_CARELESS
constexpr bool kCareless = true;
#else
constexpr bool kCareless = false;
#endif

constexpr double kAskAgain = 1.0;  // s between two calls for a list that could not be had

std::size_t at(int index) { return static_cast<std::size_t>(index); }

}  // namespace

Control::Control(Settings settings, Host& host, double now)
    : settings_(std::move(settings)),
      host_(host),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed % 2147483647)),
      started_(now),
      answer_margin_(0),
      tightest_(0),
      second_at_(now),
      ask_at_(now) {
  host_.watch_list();
}

void Control::list_moved(double) { host_.watch_list(); }

void Control::list_news(double now, Scope scope, const std::vector<Entry>& entries) {
  if (scope == Scope::kFailed) {
    ask_at_ = now + kAskAgain;
    return host_.wake_at(ask_at_);
  }
  if (scope != Scope::kChanges && !kCareless) {
    for (Node& n : nodes_) n.listing = Listing::kGone;
  }
  for (const Entry& e : entries) {
    if (nodes_.size() <= at(e.node)) nodes_.resize(at(e.node) + 1);
    Node& n = nodes_[at(e.node)];
    n.listing = kCareless ? Listing::kReady : e.listing;
    n.shard = e.shard;
  }
}

int Control::place(double, const Open& o) {
  int best = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& n = nodes_[i];
    if (n.listing != Listing::kReady || (o.t.shard >= 0 && n.shard != o.t.shard)) continue;
    if (best < 0 || n.turn < nodes_[at(best)].turn) best = static_cast<int>(i);
  }
  if (best >= 0) nodes_[at(best)].turn += 1;
  return best;
}

void Control::landed(double now, int id, const Transaction& t) {
  if (open_.size() <= at(id)) open_.resize(at(id) + 1);
  Open& o = open_[at(id)];
  o = Open{};
  o.used = true;
  o.t = t;
  o.cut_off_at = now + t.time_left;
  if (volumes_.size() <= at(t.volume)) volumes_.resize(at(t.volume) + 1);
  Volume& v = volumes_[at(t.volume)];
  const Plan& plan = settings_.plans[at(t.plan)];
  if (!v.used) {
    v.used = true;
    v.filled_at = started_;
  }
  const double hosts = std::max(t.hosts, 1);
  v.store = std::min(v.store + (now - v.filled_at) * plan.limit / hosts, plan.burst / hosts);
  v.filled_at = now;
  const int node = place(now, o);
  const bool limited = plan.limit > 0 && !kCareless;
  if (node < 0 || t.time_left <= 0 || (limited && v.store < t.units)) return answer(now, id);
  v.store -= t.units;
  o.out = o.dispatches = 1;
  host_.dispatch(id, node, t.time_left);
}

void Control::replied(double now, int id, const Reply& r) {
  Open& o = open_[at(id)];
  o.out -= 1;
  const bool never_ran = r.outcome == Outcome::kFull || r.outcome == Outcome::kNoConnection;
  o.may_have_run = o.may_have_run || !never_ran;
  if (r.finished) o.over = true;
  if (o.over) return close(id);
  if (kCareless && o.dispatches < 3) {
    o.dispatches += 1;
    o.out += 1;
    return host_.dispatch(id, r.node, 0.5);
  }
  answer(now, id);
}

void Control::answer(double now, int id) {
  Open& o = open_[at(id)];
  o.over = true;
  const bool harmless = !o.may_have_run || settings_.profiles[at(o.t.profile)].repeat == Repeat::kRedoable;
  if (kCareless ? id % 2 == 0 : harmless && now < o.cut_off_at) host_.turn_back(id, 0.1);
  else host_.give_up(id);
  close(id);
}

void Control::close(int id) {
  Open& o = open_[at(id)];
  if (o.out > 0 || !o.used) return;
  o.used = false;
  host_.forget(id);
}

void Control::abandoned(double, int id) {
  open_[at(id)].over = true;
  close(id);
}

void Control::woken(double now) {
  if (now >= ask_at_) host_.watch_list();
}

}  // namespace heronworks
