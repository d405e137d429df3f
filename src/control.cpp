// The decisions of heronworks, all of them.
//
// How to call it: build a Control with the settings of one scheduler and a Host, then call one method for
// each thing that happens, with the time in seconds. It acts by calling the Host before it returns.
// Interface: control.h; settings.h and state.h hold the plain types. docs/design.md says why, docs/on-call.md
// what one sees.
#include "control.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace heronworks {
namespace {

// From the paper.
constexpr double kPeriod = 1.0;         // s between two moves of a gear
constexpr double kPromoteAbove = 0.95;  // part of the cap slice that arrivals must exceed

// Starting values of the design page.
constexpr double kThreshold = 0.8;  // load from which a node counts as loaded
constexpr double kTopGears = 8;     // top cap without a limit, in gear 0s
constexpr double kAimPart = 0.5;    // part of the tightest contract time that units out may fill
constexpr int kLeastOut = 4;        // transactions that may always be out at a node
constexpr int kMostOut = 32;        // transactions out at a node, whatever it manages
constexpr int kFlushPeriods = 4;    // shorter rises of latency are flush pauses, not load

// Ours.
constexpr double kBucketReplies = 3;  // replies that a mean needs, so that one large reply does not make it
constexpr double kBestDrift = 1.01;   // a bucket: best latency is forgotten slowly, as nodes change for good
constexpr double kKeep = 0.7;         // a second: what is kept of a volume's told and own service
constexpr double kRateKeep = 0.7;     // a second: what is kept of the learned rate while the bound is reached
constexpr double kLatencyGain = 0.2;  // weight of the newest reply in a node's recent latency
constexpr double kFallGain = 0.4;     // the same for a reply that is quicker than that
constexpr double kLeastFall = 4;      // power; steep, so that the latency of a crowd stays near the aim
constexpr double kMostJump = 2;       // latency that one reply may tell, in recent latencies
constexpr double kWaitMargin = 0.7;   // recent waits to have time for; under 1, as a wait may be an old pause
constexpr double kSweep = 0.01;       // s between two looks at what is held
constexpr double kStallAfter = 0.05;  // s by which a wake-up is late when this scheduler stood still
constexpr double kClockSlack = 1e-5;  // s by which a wake-up may seem early; hosts' clocks are rounded
constexpr double kAnswerMargin = 0.03;  // s before the cut-off at which a held transaction is answered
constexpr double kSlackUnit = 2.0;      // s: how little the time left counts beside the benefit
constexpr double kSameCutOff = 0.01;    // s by which the cut-offs of a try and its repeat may differ
constexpr double kPatienceDrift = 1.2;  // a second: how fast a client that left early is forgotten
constexpr double kStayed = 1.25;        // times that bound for each honoured one; it holds while half leave
constexpr double kTrialEvery = 0.5;   // s after which late work goes as a trial; longest pause under one out
constexpr double kAgainPause = 0.03;  // s before a further dispatch, times the dispatches so far
constexpr double kAgainFloor = 0.1;   // least chance of a further dispatch, so that health is found again
constexpr double kAgainGain = 0.1;    // weight of the newest where few come: further dispatches, bad replies
constexpr double kTurnTime = 1.25;    // turn at a cold node, in fall times; a window meets one turn only
constexpr double kTurnPart = 0.2;     // part of the fall time in which the scheduler in turn sends
constexpr double kColdSpan = 1.05;  // of the fall time for which what was sent counts; clocks differ a little
constexpr double kGapGrows = 2;     // gap after a bad reply, in gaps before
constexpr double kBadPart = 0.25;  // part of bad replies, all nodes: from it one makes a gap, work is thinned
constexpr double kNewsDrift = 0.9;  // a second: what is kept of a gap and a wait that nothing new is heard of
constexpr double kColdPart = 0.4;   // part of what pushes a cold node over that all may send it; work varies
constexpr double kManagedKeep = 0.9;  // a second: what is kept of a shard's usual service
constexpr int kBudgetSlots = 20;      // parts of the budget's window
constexpr double kAskFirst = 0.5;     // s before a failed call for the list is made again, doubling
constexpr double kAskMost = 1.4;      // s between calls at most; two failed ones fit in 6 s
constexpr double kNever = std::numeric_limits<double>::infinity();

static_assert(std::tuple_size_v<decltype(Node::recent)> == kFlushPeriods);

std::size_t at(int index) { return static_cast<std::size_t>(index); }

// The bounds on what waits there, to one more.
void widen(Waiting& w, const Open& o) {
  w.contract_at = std::min(w.contract_at, o.contract_at);
  w.cut_off_at = std::min(w.cut_off_at, o.cut_off_at);
  w.least_units = std::min(w.least_units, o.t.units);
  w.most_units = std::max(w.most_units, o.t.units);
  w.most_part = std::max(w.most_part, o.part);
  w.again = w.again || o.dispatches > 0;
}

}  // namespace

Control::Control(Settings settings, Host& host, double now)
    : settings_(std::move(settings)),
      host_(host),
      random_(static_cast<std::minstd_rand::result_type>(settings_.seed % 2147483647)),
      started_(now),
      answer_margin_(kAnswerMargin + 2 * settings_.resolution),
      tightest_(kNever),
      second_at_(now + kPeriod),
      ask_at_(kNever),
      budget_(kBudgetSlots + 1) {
  double rates = 0;
  double weights = 0;
  for (const Plan& p : settings_.plans) {
    rates += std::max(p.usual, p.reservation);
    weights += p.weight;
  }
  unit_share_ = weights > 0 ? rates / weights : 0;
  for (const Profile& p : settings_.profiles) {
    tightest_ = std::min(tightest_, p.contract);
    best_benefit_ = std::max(best_benefit_, p.benefit);
  }
  if (settings_.asks_for_list) ask_for_list(now);
  serve(now);
}

// ---- What can happen ----

void Control::list_news(double now, Scope scope, const std::vector<Entry>& entries) {
  if (scope == Scope::kFailed) {
    // Danger: a list out of reach, or a broken watch, which look alike. Asking again is right for both; the
    // growing pause keeps schedulers from holding a service down that has just come back.
    ask_fails_ = std::min(ask_fails_ + 1, 8);
    const double pause = std::min(kAskMost, kAskFirst * std::pow(2, ask_fails_ - 1));
    ask_at_ = now + pause * std::uniform_real_distribution(0.75, 1.25)(random_);
    return;
  }
  if (scope != Scope::kSaved) {
    ask_fails_ = 0;
    ask_at_ = kNever;
  }
  if (scope != Scope::kChanges) {
    for (Node& node : nodes_) node.listing = Listing::kGone;
  }
  for (const Entry& e : entries) {
    Node& node = node_at(e.node);
    if (e.fresh) node = Node{};
    if (node.listed && e.came_up > node.came_up) {  // a new process: what was learned of the old one is void
      node.buckets = 0;
      node.bucket_units = node.bucket_time = node.bucket_replies = 0;
      node.success = node.again_success = 1;
    }
    node.listed = true;
    node.listing = e.listing;
    node.zone = e.zone;
    node.shard = e.shard;
    node.came_up = e.came_up;
  }
  newest_.clear();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const Node& node = nodes_[i];
    if (node.listing != Listing::kReady || node.shard < 0) continue;
    if (newest_.size() <= at(node.shard)) newest_.resize(at(node.shard) + 1, -1);
    int& newest = newest_[at(node.shard)];
    if (newest < 0 || node.came_up > nodes_[at(newest)].came_up) newest = static_cast<int>(i);
  }
  serve(now);
}

// Danger: the new service is asked as late as the old one, which was down, had got to; and a call that is out
// there already is begun anew when the old pause is over.
void Control::list_moved(double now) {
  ask_fails_ = 0;
  ask_for_list(now);
}

void Control::landed(double now, int id, const Transaction& t) {
  note_stall(now);
  if (open_.size() <= at(id)) open_.resize(at(id) + 1);
  Open& o = open_[at(id)];
  o = Open{};
  o.used = true;
  o.t = t;
  const Profile& profile = settings_.profiles[at(t.profile)];
  // Danger: a client that tells hours left has what it left unserved remembered for as long.
  o.cut_off_at = now + std::min(t.time_left, profile.cut_off);
  // The contract time of a client's repeat began with its first try. Danger: clients in a hurry bring little
  // time on a first try too; so a repeat is known by what it is about and by the same cut-off as one answered
  // before.
  o.contract_at = std::min(now + profile.contract, o.cut_off_at);
  if (now == stalled_at_) o.contract_at -= std::clamp(profile.cut_off - t.time_left, 0.0, stalled_for_);
  o.landed_at = now;
  o.draw = std::uniform_real_distribution(0.0, 1.0)(random_);
  if (t.fresh && volumes_.size() > at(t.volume)) volumes_[at(t.volume)] = Volume{};
  Volume& v = volume_of(now, t);
  o.contract_at = std::min(o.contract_at, now + v.patience[at(t.profile)]);
  const auto past = t.has_key ? past_.find(t.key) : past_.end();
  if (past != past_.end() && past->second.volume == t.volume && past->second.profile == t.profile &&
      std::abs(past->second.cut_off_at - o.cut_off_at) < kSameCutOff) {
    o.contract_at = std::min(o.contract_at, past->second.contract_at);
  }
  budget_slot(now).landed += 1;
  v.arrived += t.units;
  const int node = place(now, o);
  if (node >= 0) v.load += t.units * load(nodes_[at(node)]);
  if (profile.in_order && t.has_key) lanes_[t.key].line.push_back(id);
  worth(now, o);
  hold(id);
  if (now == stalled_at_) {  // all that came meanwhile is looked at together
    wake(now, now + settings_.resolution);
  } else if (stuck(now, t.shard, false)) {
    consider(now, id);
    look(now);
    if (!o.held) waiting_[at(t.shard + 1)].ids.pop_back();
  } else {
    serve(now, t.shard);
  }
}

void Control::replied(double now, int id, const Reply& r) {
  note_stall(now);
  Open& o = open_[at(id)];
  // Danger: a reply that comes twice frees room and goes on as if its dispatch had ended twice. One dispatch
  // is out at a time, so only the newest one's first reply counts.
  if (o.out == 0 || r.dispatch != o.dispatches - 1) return;
  Node& node = node_at(r.node);
  const bool honoured = r.outcome == Outcome::kHonoured;
  // Danger: a tenant whose transactions bring too little time makes nodes look bad to all. That they timed
  // out or came late tells of their time, not of the node. May hide a bad node where nobody brings enough.
  const bool hurried = o.cut_off_at - o.landed_at < settings_.profiles[at(o.t.profile)].contract;
  const bool too_soon = hurried && r.outcome == Outcome::kTimedOut;
  const bool tells = now != stalled_at_ && !too_soon;
  const bool never_ran =
      r.outcome == Outcome::kFull || r.outcome == Outcome::kNoConnection || r.outcome == Outcome::kMoot;
  const bool may_still_run =
      r.outcome == Outcome::kTimedOut || r.outcome == Outcome::kReset || r.outcome == Outcome::kCancelled;
  o.out -= 1;
  node.out -= 1;
  node.units_out -= o.t.units;
  if (!may_still_run) node.quiet_since = now;
  Volume& v = volume_of(now, o.t);
  if (r.outcome != Outcome::kNoConnection && r.outcome != Outcome::kMoot) v.late -= std::exchange(o.late, 0);
  if (tells && (honoured || r.outcome == Outcome::kTimedOut)) {
    // A reply that was not waited for would have come later. Danger: one very heavy transaction, or a pause,
    // looks like a long queue; so what one reply may say is capped, and good news counts more. The same for
    // one that got lost among good ones, as on a connection that fell silent; a node that hangs answers none.
    const double most = kMostJump * std::max(node.latency, kAimPart * tightest_);
    const double word = honoured ? r.elapsed : std::max(kMostJump * r.elapsed, node.latency);
    const double seen = honoured || !node.bad_before ? std::min(word, most) : word;
    const double gain = seen < node.latency ? kFallGain : kLatencyGain;
    node.latency += gain * (seen - node.latency);
    node.wait += gain * (seen - node.best * o.t.units - node.wait);
  }
  // Danger: each of hundreds of schedulers sends a node little, and all together drown it. So where even the
  // longest pause is not enough, each bad reply doubles the gap between this scheduler's dispatches there,
  // until all together would send one in each aim; only what was sent since the last change counts. A quick
  // reply ends it. Acts in any crowd and at a slow or hung node; may hurt, for a gap, where answers get lost.
  const bool bad = r.outcome == Outcome::kTimedOut || r.outcome == Outcome::kFull ||
                   (honoured && !hurried && now > o.contract_at);
  if (tells && (bad || honoured)) bad_part_ += kAgainGain * ((bad ? 1 : 0) - bad_part_);
  if (tells && now - r.elapsed >= node.gap_at) {
    const double aim = kAimPart * tightest_;
    if (bad) {
      if (node.spacing >= kTrialEvery && (node.bad_before || bad_part_ > kBadPart)) {
        const double grown =
            std::min(std::max(kGapGrows * node.gap, node.spacing), aim * settings_.schedulers);
        node.gap = grown * std::uniform_real_distribution(0.75, 1.25)(random_);
        node.gap_at = now;
      }
    } else if (honoured && r.elapsed - node.best * o.t.units < aim) {
      node.gap = 0;
    }
    if (bad || honoured) node.bad_before = bad;
  }
  if (honoured) {
    node.served += o.t.units;
    if (tells) {
      node.bucket_time += r.elapsed;
      node.bucket_units += o.t.units;
      node.bucket_replies += 1;
    }
    v.mine += o.t.units;
    if (!o.over) v.patience[at(o.t.profile)] *= kStayed;
  }
  if (!too_soon && r.outcome != Outcome::kMoot) {
    node.success += kAgainGain * ((honoured ? 1 : 0) - node.success);
    if (r.dispatch > 0) node.again_success += kAgainGain * ((honoured ? 1 : 0) - node.again_success);
  }
  v.others += r.by_others;
  v.told = v.told || r.by_others > 0 || r.metered;
  o.may_have_run = o.may_have_run || !never_ran;
  const Profile& profile = settings_.profiles[at(o.t.profile)];
  if (may_still_run && profile.in_order && o.t.has_key) {
    Lane& lane = lanes_[o.t.key];
    lane.rest_until = std::max(lane.rest_until, now + settings_.turn_gap);
  }
  if (r.finished || o.over) {
    o.over = true;
    close(id);
  } else if (r.outcome == Outcome::kMoot || now + answer_margin_ >= std::min(o.contract_at, o.cut_off_at) ||
             !may_go_again(now, o, node) || !again_wanted(o, node)) {
    answer(now, id);
  } else {
    o.not_before = now + kAgainPause * o.dispatches;
    hold(id);
  }
  serve(now, node.shard);
}

void Control::abandoned(double now, int id) {
  Open& o = open_[at(id)];
  if (!o.over) {
    // Danger: clients that leave long before their cut-off and come again at once; the work sent for them is
    // lost. What many of them waited bounds the contract time of their volume, nobody else's; each honoured
    // one widens the bound, so that the few whose connections break anyway do not make it.
    double& patience = volume_of(now, o.t).patience[at(o.t.profile)];
    patience = std::min(patience, settings_.profiles[at(o.t.profile)].contract);
    patience += kLatencyGain * (now - o.landed_at - patience);
    if (o.t.has_key) past_[o.t.key] = {o.t.volume, o.t.profile, o.cut_off_at, o.contract_at};
  }
  o.over = true;
  const bool was_held = o.held;
  close(id);
  // The bounds on what waits there stay as wide as they are: a client may leave with thousands at once.
  if (was_held) std::erase(waiting_[at(o.t.shard + 1)].ids, id);
  serve(now, o.t.shard);
}

void Control::woken(double now) {
  note_stall(now);
  if (now >= ask_at_) ask_for_list(now);
  if (now >= second_at_) second_passed(now);
  while (now >= second_at_) second_at_ += kPeriod;
  serve(now);
}

// ---- The path of a transaction ----

// From top to bottom: what a held transaction must pass before it goes out.
Control::Verdict Control::decide(double now, int id) {
  Open& o = open_[at(id)];
  const Profile& profile = settings_.profiles[at(o.t.profile)];
  if (now + answer_margin_ >= o.cut_off_at) {
    answer(now, id);
    return Verdict::kGone;
  }
  if (now < o.not_before) return Verdict::kHeld;

  // Its key: one at a time, in the order of landing, rested.
  if (profile.in_order && o.t.has_key) {
    const Lane& lane = lanes_[o.t.key];
    if (lane.line.front() != id || (o.dispatches == 0 && now < lane.rest_until)) return Verdict::kHeld;
  }

  // Its node: ready, and for a new object the next in rotation.
  const int index = place(now, o);
  if (index < 0) return Verdict::kHeld;
  Node& node = nodes_[at(index)];
  if (o.dispatches > 0 && !may_go_again(now, o, node)) {
    answer(now, id);
    return Verdict::kGone;
  }

  // Its volume's slice of the limit, taken once.
  Volume& v = volume_of(now, o.t);
  const bool limited = o.t.plan >= 0 && settings_.plans[at(o.t.plan)].limit > 0;
  if (limited && o.dispatches == 0 && v.store < o.t.units) return Verdict::kHeld;

  // A node just back bears little.
  if (cold_room(now, node) < o.t.units) return Verdict::kHeld;

  // The gear: a volume over its cap waits at a loaded node.
  if (load(node) >= kThreshold && over_gear(v) && v.pace < 0) return Verdict::kHeld;

  // Danger: a surge everywhere is over before each node's gap has grown. While many replies of all nodes are
  // bad, only a part of the work goes out, the better rather.
  if (bad_part_ > kBadPart && o.draw > (1 - bad_part_) / (1 - kBadPart) * o.part) return Verdict::kHeld;

  // Our bound on units out.
  if (!has_room(now, node, o)) {
    node.pressed = true;
    return Verdict::kNodeFull;
  }

  if (o.t.shard < 0) rotated(index);
  // Danger: what waits for a connection, or in a network that is cut, comes to its node seconds later, all at
  // once, while the store has filled again. So it does not fill up by what may be still to come. May hurt a
  // volume whose nodes take longer to reply than its burst lasts.
  if (limited && o.dispatches == 0) {
    v.store -= o.t.units;
    v.late += o.late = o.t.units;
  }
  v.pace = std::max(v.pace - o.t.units, -settings_.largest_units);
  if (v.reserve <= 0) v.extra += o.t.units;
  v.reserve = std::max(v.reserve - o.t.units, -settings_.largest_units);
  if (is_cold(now, node)) {
    node.cold_sent.push_back({now, o.t.units});
    node.cold_store = std::max(node.cold_store - o.t.units, -settings_.largest_units);
  }
  if (node.out == 0) node.quiet_since = now;
  node.spacing = node.last_sent > 0 ? now - node.last_sent : 0;
  node.last_sent = now;
  node.out += 1;
  node.units_out += o.t.units;
  if (o.dispatches > 0) budget_slot(now).again += 1;
  if (!o.may_have_run) {  // the group as it is now: a node may hold another shard later
    o.label_until = now + profile.label_window - answer_margin_;
    o.first_zone = node.zone;
    o.first_shard = node.shard;
  }
  o.dispatches += 1;
  o.out += 1;
  release(o);
  // Danger: queues full of work whose contract time is past, so that nothing is in time. A node drops what
  // has timed out unbegun. Acts in any crowd; as answers a little late earn something too, the fewer replies
  // are bad the longer they are waited for, up to one tightest contract time more.
  const double calm = std::max(1 - bad_part_ / kBadPart, 0.0);
  double until = std::min(o.contract_at + calm * tightest_, o.cut_off_at);
  // Danger: a repeat that waits for its connection leaves when nobody knows it for a repeat any more.
  if (o.may_have_run && profile.repeat == Repeat::kLabelled) until = std::min(until, o.label_until);
  host_.dispatch(id, index, until - now);
  return Verdict::kGone;
}

// Looks at all that is held. What one event can change is looked at at once, see serve(now, shard); what time
// or another shard's event changes, at the next sweep.
void Control::serve(double now) {
  for (std::size_t i = 0; i < waiting_.size(); ++i) take(now, static_cast<int>(i) - 1, true);
  look(now);
}

// After an event at a shard: what is held for it, and new objects, which may go to its node.
void Control::serve(double now, int shard) {
  take(now, -1, false);
  if (shard >= 0) take(now, shard, false);
  look(now);
}

void Control::hold(int id) {
  Open& o = open_[at(id)];
  o.held = true;
  o.queued = ++queued_;
  ++held_;
  if (waiting_.size() <= at(o.t.shard + 1)) waiting_.resize(at(o.t.shard + 1) + 1);
  Waiting& w = waiting_[at(o.t.shard + 1)];
  if (w.ids.empty()) w = Waiting{{}, kNever, kNever, kNever, 0, 0, false, false};
  w.ids.push_back(id);
  widen(w, o);
}

void Control::release(Open& o) { held_ -= std::exchange(o.held, false) ? 1 : 0; }

// Danger: a long queue is looked at with every event, and this scheduler drowns in its backlog. While a
// shard's node has no room even for the least of what waits for it, none may go again, and none is late or
// near its cut-off, a look would change nothing. May hurt where the bounds on what waits are too wide: it is
// looked at. What part of its benefit each earns is taken as at the last look, but by a sweep.
bool Control::stuck(double now, int shard, bool sweep) {
  if (shard < 0 || waiting_.size() <= at(shard + 1)) return false;
  const Waiting& w = waiting_[at(shard + 1)];
  if (w.ids.empty() || w.again || now + answer_margin_ >= w.cut_off_at) return false;
  const int index = at(shard) < newest_.size() ? newest_[at(shard)] : -1;
  if (index < 0) return now < w.contract_at;
  Node& node = nodes_[at(index)];
  if (now + kWaitMargin * std::max(node.wait, 0.0) + node.best * w.most_units >= w.contract_at) return false;
  smallest_.t.units = w.least_units;
  smallest_.part = sweep ? 1 : w.most_part;
  if (has_room(now, node, smallest_)) return false;
  node.pressed = node.pressed || w.pressed;
  return true;
}

void Control::take(double now, int shard, bool sweep) {
  if (waiting_.size() <= at(shard + 1) || waiting_[at(shard + 1)].ids.empty()) return;
  if (stuck(now, shard, sweep)) return;
  taken_.push_back(shard);
  waiting_[at(shard + 1)].pressed = false;
  for (int id : waiting_[at(shard + 1)].ids) consider(now, id);
}

void Control::consider(double now, int id) {
  Open& o = open_[at(id)];
  o.worth = worth(now, o);
  order_.push_back({o.worth / (kSlackUnit + std::max(o.contract_at - now, 0.0)), id});
}

// The most worth first; what can no longer keep its contract time is answered.
void Control::look(double now) {
  std::sort(order_.begin(), order_.end(), [&](auto& a, auto& b) {
    return a.first != b.first ? a.first > b.first : open_[at(a.second)].queued < open_[at(b.second)].queued;
  });
  ++look_;
  for (const auto& [score, id] : order_) {
    Open& o = open_[at(id)];
    const int index = o.t.shard < 0 ? -1 : place(now, o);
    const bool full = index >= 0 && nodes_[at(index)].full == look_;
    // Danger: work that can no longer keep its contract time makes the next miss theirs. While it seems late
    // only it goes to a node that was sent nothing for a while, as a trial that finds out when an old latency
    // no longer holds.
    const Node* node = index >= 0 ? &nodes_[at(index)] : nullptr;
    const double latency = node ? kWaitMargin * std::max(node->wait, 0.0) + node->best * o.t.units : 0;
    const bool late = now + latency >= o.contract_at;
    const Verdict verdict =
        full || (late && (now >= o.contract_at || node->out > 0 || now - node->last_sent < kTrialEvery))
            ? Verdict::kNodeFull
            : decide(now, id);
    if (verdict == Verdict::kNodeFull && !late && index >= 0) nodes_[at(index)].full = look_;
    if (!o.held || (!late && now + answer_margin_ < o.cut_off_at)) continue;
    answer(now, id);
  }
  order_.clear();
  for (const int shard : taken_) tidy(shard);
  taken_.clear();
  const double wanted = std::min(held_ == 0 ? second_at_ : std::min(second_at_, now + kSweep), ask_at_);
  wake(now, std::max(wanted, now + kSweep / 2));
}

// Takes out what is not held any more, and narrows the bounds to what is.
void Control::tidy(int shard) {
  Waiting& w = waiting_[at(shard + 1)];
  std::erase_if(w.ids, [&](int id) { return !open_[at(id)].held; });
  w = Waiting{std::move(w.ids), kNever, kNever, kNever, 0, 0, false, w.pressed};
  for (int id : w.ids) widen(w, open_[at(id)]);
}

void Control::wake(double now, double time) {
  // Danger: a wake-up that comes a rounding early looks as if it were still to come, and none follows it.
  if (next_wake_ > now + kClockSlack && time >= next_wake_) return;
  next_wake_ = time;
  host_.wake_at(time);
}

// Danger: this scheduler stood still, and finds all that came meanwhile at once. Its contract time has been
// running, and what replies took says nothing of their nodes. Known by a wake-up that is long overdue; may
// hurt where clients in a hurry come just then.
void Control::note_stall(double now) {
  if (now == stalled_at_ || now < next_wake_ + kStallAfter) return;
  stalled_at_ = now;
  stalled_for_ = now - next_wake_;
}

// What a dispatch now would earn for each unit.
double Control::worth(double now, Open& o) {
  const Profile& profile = settings_.profiles[at(o.t.profile)];
  if (o.t.plan < 0) return profile.benefit;
  const Plan& plan = settings_.plans[at(o.t.plan)];
  const Volume& v = volume_of(now, o.t);
  const double over = v.extra / std::max(plan.weight * unit_share_, 1e-9);
  const double part = std::max(settings_.spare_part, settings_.share_part / (1 + over));
  o.part = (v.reserve > 0 ? 1 : part) * profile.benefit / best_benefit_;
  return o.part * best_benefit_ * plan.benefit_factor;
}

// The final answer for a transaction that is not to be served. At once, never held back.
void Control::answer(double now, int id) {
  Open& o = open_[at(id)];
  const Profile& profile = settings_.profiles[at(o.t.profile)];
  const bool labelled = profile.repeat == Repeat::kLabelled && profile.group == Group::kAll;
  const bool harmless = (!o.may_have_run && o.out == 0) || profile.repeat == Repeat::kRedoable || labelled;
  release(o);
  o.over = true;
  if (o.t.has_key) past_[o.t.key] = {o.t.volume, o.t.profile, o.cut_off_at, o.contract_at};
  if (now >= o.cut_off_at || !harmless) {
    host_.give_up(id);
  } else {
    host_.turn_back(id, std::min(settings_.max_wait, profile.contract));
  }
  close(id);
}

// Frees what a transaction holds once it is over and none of its dispatches is out.
void Control::close(int id) {
  Open& o = open_[at(id)];
  release(o);
  if (o.out > 0 || !o.used) return;
  if (settings_.profiles[at(o.t.profile)].in_order && o.t.has_key) {
    auto& line = lanes_[o.t.key].line;  // nearly always its first
    line.erase(std::find(line.begin(), line.end(), id));
  }
  if (o.late > 0) volumes_[at(o.t.volume)].late -= std::exchange(o.late, 0);
  o.used = false;
  host_.forget(id);
}

// ---- Further dispatches ----

// Follows how many of the recent further dispatches at the node succeeded.
bool Control::again_wanted(const Open& o, const Node& node) {
  if (o.dispatches >= settings_.dispatch_cap) return false;
  const double chance = std::max(kAgainFloor, std::min(1.0, 2 * node.again_success));
  return std::uniform_real_distribution(0.0, 1.0)(random_) < chance;
}

bool Control::may_go_again(double now, const Open& o, const Node& node) {
  if (settings_.has_budget) {
    double landed = 0;
    double again = 1;
    const Bucket* newest = &budget_slot(now);
    for (const Bucket& b : budget_) {
      again += b.again;
      if (b.slot + kBudgetSlots > newest->slot) landed += b.landed;  // parts wholly inside the window
    }
    if (again > settings_.budget_free + settings_.budget_share * landed) return false;
  }
  if (!o.may_have_run) return true;
  const Profile& profile = settings_.profiles[at(o.t.profile)];
  if (profile.repeat == Repeat::kRedoable) return true;
  if (profile.repeat == Repeat::kIrreversible || now >= o.label_until) return false;
  return profile.group == Group::kAll || (profile.group == Group::kZone && o.first_zone == node.zone) ||
         (profile.group == Group::kCell && o.first_shard == node.shard);
}

Bucket& Control::budget_slot(double now) {
  const auto slot =
      settings_.has_budget ? static_cast<std::int64_t>(now / (settings_.budget_window / kBudgetSlots)) : 0;
  for (Bucket& b : budget_) {
    if (b.slot + kBudgetSlots < slot) b = Bucket{};
  }
  Bucket& b = budget_[static_cast<std::size_t>(slot % (kBudgetSlots + 1))];
  b.slot = slot;
  return b;
}

// ---- Nodes ----

Node& Control::node_at(int index) {
  if (nodes_.size() <= at(index)) nodes_.resize(at(index) + 1);
  return nodes_[at(index)];
}

// The node for a transaction, or -1. A shard's newest ready node; for a new object, see rotate().
int Control::place(double now, const Open& o) {
  if (o.t.shard < 0) return rotate(now, o);
  return at(o.t.shard) < newest_.size() ? newest_[at(o.t.shard)] : -1;
}

// Weighted rotation for new objects over the ready nodes with room. The weight is what a node has been seen
// to manage: units a second of latency, times the part of its replies that were good.
int Control::rotate(double now, const Open& o) {
  double known = 0;
  int heard = 0;
  for (const Node& node : nodes_) {
    if (node.listing == Listing::kReady && node.buckets > 0) {
      known += 1 / unit_time(node);
      ++heard;
    }
  }
  const double usual = heard > 0 ? known / heard : 1;
  int best = -1;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    node.weight = 0;
    if (node.listing != Listing::kReady || !has_room(now, node, o) || cold_room(now, node) < o.t.units) {
      continue;
    }
    node.weight = (node.buckets > 0 ? 1 / unit_time(node) : usual) * std::max(node.success, kAgainFloor);
    if (best < 0 || node.turn + node.weight > nodes_[at(best)].turn + nodes_[at(best)].weight) {
      best = static_cast<int>(i);
    }
  }
  return best;
}

// Moves the rotation on after its pick was used.
void Control::rotated(int picked) {
  double sum = 0;
  for (Node& node : nodes_) {
    node.turn += node.weight;
    sum += node.weight;
  }
  nodes_[at(picked)].turn -= sum;
}

// Recent latency for each unit: low among the means over the time of a flush pause, which thus stays out.
double Control::unit_time(const Node& node) const {
  auto sorted = node.recent;
  const int count = std::min(node.buckets, kFlushPeriods);
  std::nth_element(sorted.begin(), sorted.begin() + count / 4, sorted.begin() + count);
  return std::max(sorted[at(count / 4)], 1e-6);
}

double Control::load(const Node& node) const {
  return node.buckets > 0 ? 1 - node.best / unit_time(node) : 0;
}

bool Control::has_room(double now, const Node& node, const Open& o) const {
  if (node.out >= kMostOut) return false;
  // Danger: the least number from each of many hosts is more than a node serves in the contract time. So
  // while the recent wait is over the bound's own aim, the least falls steeply; under one, a pause follows
  // each reply. Acts on any crowd: many hosts, a slow or a small node. May hurt where a few very long
  // transactions raise the latency.
  // Danger: cheap work that goes out while none better is at hand here stands before other hosts' better
  // work. So work beyond the reservation has a part of the bound only; may hurt where no host has better.
  const double part = std::sqrt(o.part);
  if (now - node.last_sent < node.gap / o.part) return false;
  const double aim = part * kAimPart * tightest_;
  if (node.units_out + o.t.units <= node.rate * aim) return true;
  const double least =
      part * kLeastOut * std::pow(std::min(1.0, aim / std::max(node.wait, 1e-6)), kLeastFall);
  if (least >= 1) return node.out < static_cast<int>(least);
  return node.out == 0 && now - node.quiet_since >= std::min(node.latency * (1 / least - 1), kTrialEvery);
}

bool Control::is_cold(double now, const Node& node) const {
  return settings_.has_cold_rule && node.came_up > 0 && now < node.came_up + settings_.cold_time;
}

// Danger: all schedulers together push a node over that has just come up. What each was served of the shard
// before adds up to no more than the node managed, and at its age it manages at least a part that grows
// evenly. So each sends that part of its own usual rate, times a part of the stated multiple; with random
// starts under one unit, so that none goes at once and the first ones do not meet. Whoever has no usual rate
// there keeps to what these leave of the safe number of units: while an even part of it would not hold the
// largest transaction, the schedulers take turns by number, one in a fall time.
double Control::cold_room(double now, Node& node) {
  if (!is_cold(now, node)) return kNever;
  const double share = std::max(settings_.cold_share, 0.01);
  const double age = std::max(now - node.came_up, 0.0) / settings_.cold_time;
  // Danger: clocks of hosts differ, and a node may seem to come up later than now. Its store begins once for
  // each process, else each look fills it by chance again.
  if (node.cold_for != node.came_up) {
    node.cold_for = node.came_up;
    node.cold_at = now;
    node.cold_store = std::uniform_real_distribution(0.0, 1.0)(random_);
  }
  const double usual = at(node.shard) < managed_.size() ? managed_[at(node.shard)] : 0;
  const double part = kColdPart * settings_.tip_multiple * (share + (1 - share) * age);
  node.cold_store = std::min(node.cold_store + (now - node.cold_at) * part * usual, settings_.largest_units);
  node.cold_at = now;
  std::erase_if(node.cold_sent, [&](const Sent& s) { return s.at < now - settings_.fall_time * kColdSpan; });
  double sent = 0;
  for (const Sent& s : node.cold_sent) sent += s.units;
  // Danger: a scheduler that is killed and back at once has spent its part and forgotten it. So for one fall
  // time it sends none of the safe number to what came up before it. May hurt a first second after a start.
  if (node.came_up <= started_ && now < started_ + settings_.fall_time * kColdSpan) return node.cold_store;
  const int schedulers = std::max(settings_.schedulers, 1);
  const double turn_time = kTurnTime * settings_.fall_time;
  const double turn = std::floor(std::max(now - node.came_up, 0.0) / turn_time);
  const double aged = std::min(1.0, turn * turn_time / settings_.cold_time);
  const double safe = (1 - kColdPart) * settings_.cold_units * (share + (1 - share) * aged) / share;
  if (safe / schedulers >= settings_.largest_units)
    return std::max(safe / schedulers - sent, node.cold_store);
  const bool mine = static_cast<int>(turn) % schedulers == settings_.index % schedulers;
  const bool open = now - node.came_up - turn * turn_time < kTurnPart * settings_.fall_time;
  return std::max(mine && open ? safe - sent : 0, node.cold_store);
}

// ---- Volumes ----

Volume& Control::volume_of(double now, const Transaction& t) {
  if (volumes_.size() <= at(t.volume)) volumes_.resize(at(t.volume) + 1);
  Volume& v = volumes_[at(t.volume)];
  const int most = std::max(settings_.schedulers, 1);
  const int hosts = t.hosts > 0 ? std::min(t.hosts, most) : most;
  if (!v.used) {
    v.used = true;
    v.plan = t.plan;
    v.hosts = hosts;
    v.patience.assign(settings_.profiles.size(), kNever);
    // Danger: a scheduler that died has spent its slice of the limit and forgotten it. So every slice is
    // empty at this scheduler's start. May hurt in the first second of a day.
    v.filled_at = started_;
  }
  v.hosts = std::max(v.hosts, hosts);
  if (v.plan < 0 || now <= v.filled_at) return v;
  const Plan& plan = settings_.plans[at(v.plan)];
  const double passed = now - v.filled_at;
  const double share = told_share(v);
  v.filled_at = now;
  v.store = std::min(v.store + passed * plan.limit / v.hosts, plan.burst / v.hosts - v.late);
  const double reserve = plan.reservation * share;
  v.reserve = std::min(v.reserve + passed * reserve, reserve * kPeriod + settings_.largest_units);
  const double pace = std::max(cap(v, v.gear) * share, plan.reservation);
  v.pace = std::min(v.pace + passed * pace, settings_.largest_units);
  return v;
}

double Control::told_share(const Volume& v) const {
  const double sum = v.mine + v.others;
  return v.told && sum > 0 ? std::max(v.mine / sum, 0.1 / v.hosts) : 1.0 / v.hosts;
}

// The cap of a gear: doubling from the larger of reservation and usual rate, up to the limit.
double Control::cap(const Volume& v, int gear) const {
  if (v.plan < 0) return kNever;
  const Plan& plan = settings_.plans[at(v.plan)];
  const double base = std::max(plan.reservation, plan.usual);
  const double top = plan.limit > 0 ? plan.limit : kTopGears * base;
  return std::min(base * std::pow(2.0, gear), top);
}

// Whether a volume below its top gear asks for more than its cap, or the share of it that it was told of.
bool Control::over_gear(const Volume& v) const {
  const double now_cap = cap(v, v.gear);
  if (cap(v, v.gear + 1) <= now_cap) return false;
  return std::max(v.arrival_rate, v.arrived) > now_cap * (v.told ? told_share(v) : 1);
}

// Once a period: gears move one step, latencies and rates are learned.
void Control::second_passed(double now) {
  for (Volume& v : volumes_) {
    if (!v.used) continue;
    v.arrival_rate = v.arrived / kPeriod;
    const double share = told_share(v);
    const double seen_load = v.arrived > 0 ? v.load / v.arrived : 0;
    const double now_cap = cap(v, v.gear);
    if (v.arrival_rate > kPromoteAbove * now_cap * share && cap(v, v.gear + 1) > now_cap) {
      if (seen_load < kThreshold) v.gear += 1;
    } else if (v.gear > 0 && v.arrival_rate < cap(v, v.gear - 1) * share) {
      v.gear -= 1;
    }
    v.arrived = v.load = 0;
    v.mine *= kKeep;
    v.others *= kKeep;
    v.extra *= kKeep;
    for (double& patience : v.patience) patience *= kPatienceDrift;
  }
  for (Node& node : nodes_) {
    const double served = node.served / kPeriod;
    if (served > node.rate) {
      node.rate = served;
    } else if (node.pressed) {
      node.rate = kRateKeep * node.rate + (1 - kRateKeep) * served;
    }
    node.gap *= kNewsDrift;
    node.wait *= kNewsDrift;
    if (node.listing == Listing::kReady && node.shard >= 0 && !is_cold(now, node)) {
      if (managed_.size() <= at(node.shard)) managed_.resize(at(node.shard) + 1);
      double& managed = managed_[at(node.shard)];
      managed = kManagedKeep * managed + (1 - kManagedKeep) * served;
    }
    node.served = 0;
    node.pressed = false;
    if (node.bucket_replies >= kBucketReplies) {
      node.recent[at(node.buckets % kFlushPeriods)] = node.bucket_time / node.bucket_units;
      node.buckets += 1;
      node.bucket_time = node.bucket_units = node.bucket_replies = 0;
      const double recent = unit_time(node);
      node.best = node.buckets == 1 ? recent : std::min(node.best * kBestDrift, recent);
    }
  }
  std::erase_if(past_, [&](const auto& p) { return now >= p.second.cut_off_at; });
  std::erase_if(lanes_, [&](const auto& l) { return l.second.line.empty() && now >= l.second.rest_until; });
}

void Control::ask_for_list(double now) {
  host_.watch_list();
  ask_at_ = now + kAskMost;
}

}  // namespace heronworks
