// See scenario.h.
#include "orderings/scenario.h"

namespace heronworks {

// Names the tables of a Control that still hold state after all transactions have ended.
struct ControlTestAccess {
  static std::string remaining_state(const Control& control) {
    std::string out;
    const auto add = [&](const char* table, bool remains) { out += remains ? std::string(" ") + table : ""; };
    add("queued_count", control.queued_count_ != 0);
    for (const ShardQueue& queue : control.shard_queues_) add("shard_queues", !queue.ids.empty());
    for (const TransactionState& state : control.transactions_)
      add("transactions", state.in_use || state.queued || state.in_flight != 0);
    for (const Node& node : control.nodes_)
      add("nodes", node.in_flight != 0 || std::abs(node.units_in_flight) > 1e-9);
    add("key_queues", !control.key_queues_.empty());
    add("unserved", !control.unserved_.empty());
    return out;
  }
};

namespace orderings {
namespace {

constexpr double kTolerance = 1e-6;
constexpr double kSettleTime = 12;  // seconds; exceeds all deadlines, quiet times and windows
const char* kOutcomeNames[] = {"succeeded",      "error", "queue full", "timed out",
                               "connect failed", "reset", "cancelled",  "not sent"};

bool may_still_execute(Outcome outcome) {
  return outcome == Outcome::kTimedOut || outcome == Outcome::kReset || outcome == Outcome::kCancelled;
}

}  // namespace

ScenarioRun::ScenarioRun(const Scenario& scenario, ChoiceTree& choices, Coverage& coverage)
    : scenario_(scenario), choices_(choices), coverage_(coverage) {
  for (int i = 0; i < scenario.scheduler_count; ++i) {
    schedulers_.push_back(std::make_unique<Scheduler>(*this, i));
    schedulers_.back()->known_nodes = scenario.nodes;
    start(*schedulers_.back());
  }
  if (scenario.set_up) scenario.set_up(*this);
}

void ScenarioRun::start(Scheduler& scheduler) {
  Settings settings = scenario_.settings;
  settings.scheduler_index = scheduler.index;
  settings.scheduler_count = scenario_.scheduler_count;
  scheduler.started_at = now_;
  scheduler.record_indices.clear();
  scheduler.next_wake = 1e9;
  scheduler.control.reset();
  scheduler.control = std::make_unique<Control>(settings, scheduler, now_);
  scheduler.control->update_nodes(now_, UpdateKind::kPersisted, scheduler.known_nodes);
}

void ScenarioRun::trace(const std::string& event) {
  trace_ += std::to_string(now_).substr(0, 7) + " " + event + "\n";
}

void ScenarioRun::report_violation(const std::string& rule) {
  if (coverage_.violation.empty()) coverage_.violation = rule + "\n" + trace_;
}

void ScenarioRun::run() {
  std::size_t next_arrival = 0;
  std::size_t next_update = 0;
  std::size_t next_delay = 0;
  int replies_left = scenario_.max_replies;
  int abandons_left = scenario_.max_abandons;
  int duplicate_replies_left = scenario_.max_duplicate_replies;
  int restarts_left = scenario_.max_restarts;
  std::vector<std::function<void()>> possible_events;
  while (coverage_.violation.empty()) {
    possible_events.clear();
    if (next_arrival < scenario_.arrivals.size()) {
      possible_events.push_back([&] {
        const auto& arrival = scenario_.arrivals[next_arrival++];
        arrive(arrival.scheduler, arrival.transaction);
      });
    }
    if (next_update < scenario_.updates.size()) {
      possible_events.push_back([&] {
        const auto& update = scenario_.updates[next_update++];
        update_nodes(update.scheduler, update.kind, update.entries);
      });
    }
    if (next_delay < scenario_.delays.size())
      possible_events.push_back([&] { advance_time(scenario_.delays[next_delay++]); });
    for (std::size_t i = 0; i < records_.size(); ++i) {
      const TransactionRecord& record = records_[i];
      if (replies_left > 0 && record.in_flight() && !record.lost) {
        for (const Outcome outcome : scenario_.outcomes) {
          possible_events.push_back([&, i, outcome] {
            --replies_left;
            reply(i, outcome);
          });
        }
      }
      if (abandons_left > 0 && record.open()) {
        possible_events.push_back([&, i] {
          --abandons_left;
          abandon(i);
        });
      }
      if (duplicate_replies_left > 0 && !record.lost && !record.released && !record.dispatches.empty() &&
          record.dispatches.front().finished) {
        possible_events.push_back([&, i] {
          --duplicate_replies_left;
          ++coverage_.duplicate_replies;
          trace("duplicate reply to transaction " + std::to_string(i));
          DispatchResult result;
          result.node = records_[i].dispatches.front().node;
          result.outcome = records_[i].dispatches.front().outcome;
          result.elapsed = 0.01;
          Scheduler& scheduler = *schedulers_[static_cast<std::size_t>(records_[i].scheduler)];
          const auto& indices = scheduler.record_indices;
          const auto id = std::find(indices.begin(), indices.end(), static_cast<int>(i)) - indices.begin();
          scheduler.control->dispatch_finished(now_, static_cast<int>(id), result);
        });
      }
    }
    if (restarts_left > 0) {
      possible_events.push_back([&] {
        --restarts_left;
        restart(*schedulers_[0]);
      });
    }
    if (possible_events.empty()) break;
    possible_events[static_cast<std::size_t>(choices_.choose(static_cast<int>(possible_events.size())))]();
  }
  if (!coverage_.violation.empty()) return;
  trace("end of events");
  advance_time(kSettleTime);
  for (const TransactionRecord& record : records_) {
    const Transaction& transaction = record.transaction;
    if (record.open()) report_violation("rule 1: transaction never answered");
    if (!record.lost && !record.released) report_violation("transaction index never released");
    coverage_.withheld_by_limit +=
        transaction.plan >= 0 && record.dispatches.empty() &&
        scenario_.settings.plans[static_cast<std::size_t>(transaction.plan)].limit > 0;
  }
  for (const auto& scheduler : schedulers_) {
    const std::string remaining = ControlTestAccess::remaining_state(*scheduler->control);
    if (!remaining.empty()) report_violation("state remains after all transactions have ended:" + remaining);
  }
}

void ScenarioRun::advance_time(double seconds) {
  trace("advance time by " + std::to_string(seconds));
  const double end = now_ + seconds;
  while (coverage_.violation.empty()) {
    double next = end;
    Scheduler* woken = nullptr;
    std::size_t timed_out = records_.size();
    for (const auto& scheduler : schedulers_) {
      if (scheduler->next_wake < next) {
        next = scheduler->next_wake;
        woken = scheduler.get();
      }
    }
    for (std::size_t i = 0; i < records_.size(); ++i) {
      const TransactionRecord& record = records_[i];
      if (record.lost || !record.in_flight() || record.dispatches.back().times_out_at >= next) continue;
      next = record.dispatches.back().times_out_at;
      timed_out = i;
    }
    now_ = std::max(now_, next);
    for (const TransactionRecord& record : records_) {
      if (record.open() &&
          now_ > record.arrived_at + std::max(record.transaction.time_left, 0.0) + kTolerance)
        report_violation("rule 1: transaction not answered before its deadline");
    }
    if (timed_out < records_.size()) {
      reply(timed_out, Outcome::kTimedOut);
    } else if (woken) {
      woken->next_wake = 1e9;
      woken->control->timer_fired(now_);
    } else {
      return;
    }
  }
}

void ScenarioRun::arrive(int scheduler_index, const Transaction& transaction) {
  Scheduler& scheduler = *schedulers_[static_cast<std::size_t>(scheduler_index)];
  const int index = static_cast<int>(records_.size());
  trace("transaction " + std::to_string(index) + " arrives at scheduler " + std::to_string(scheduler_index));
  records_.push_back({});
  records_.back().scheduler = scheduler_index;
  records_.back().transaction = transaction;
  records_.back().arrived_at = now_;
  auto& indices = scheduler.record_indices;
  auto free = std::find(indices.begin(), indices.end(), -1);
  if (free == indices.end()) free = indices.insert(indices.end(), -1);
  *free = index;
  scheduler.control->transaction_arrived(now_, static_cast<int>(free - indices.begin()), transaction);
}

void ScenarioRun::reply(std::size_t index, Outcome outcome) {
  TransactionRecord& record = records_[index];
  Dispatch& dispatch = record.dispatches.back();
  trace("reply to transaction " + std::to_string(index) + ": " +
        kOutcomeNames[static_cast<std::size_t>(outcome)]);
  dispatch.finished = true;
  dispatch.outcome = outcome;
  dispatch.finished_at = now_;
  DispatchResult result;
  result.dispatch_number = static_cast<int>(record.dispatches.size()) - 1;
  result.node = dispatch.node;
  result.elapsed = now_ - dispatch.sent_at;
  result.outcome = outcome;
  if (outcome == Outcome::kSucceeded && record.open()) {
    record.answered = true;
    ++coverage_.answers;
  }
  result.transaction_finished = !record.open();
  Scheduler& scheduler = *schedulers_[static_cast<std::size_t>(record.scheduler)];
  const auto& indices = scheduler.record_indices;
  const auto id = std::find(indices.begin(), indices.end(), static_cast<int>(index)) - indices.begin();
  scheduler.control->dispatch_finished(now_, static_cast<int>(id), result);
}

void ScenarioRun::reply_to_all(Outcome outcome) {
  for (std::size_t i = 0; i < records_.size(); ++i) {
    if (records_[i].in_flight()) reply(i, outcome);
  }
}

void ScenarioRun::abandon(std::size_t index) {
  TransactionRecord& record = records_[index];
  trace("transaction " + std::to_string(index) + " abandoned");
  coverage_.abandoned_in_flight += record.in_flight();
  record.abandoned = true;
  Scheduler& scheduler = *schedulers_[static_cast<std::size_t>(record.scheduler)];
  const auto& indices = scheduler.record_indices;
  const auto id = std::find(indices.begin(), indices.end(), static_cast<int>(index)) - indices.begin();
  scheduler.control->transaction_abandoned(now_, static_cast<int>(id));
}

void ScenarioRun::restart(Scheduler& scheduler) {
  trace("restart scheduler " + std::to_string(scheduler.index));
  ++coverage_.restarts;
  for (TransactionRecord& record : records_) {
    if (record.scheduler == scheduler.index) record.lost = true;
  }
  start(scheduler);
}

void ScenarioRun::update_nodes(int scheduler_index, UpdateKind kind, const std::vector<NodeEntry>& entries) {
  trace("update the nodes of scheduler " + std::to_string(scheduler_index));
  Scheduler& scheduler = *schedulers_[static_cast<std::size_t>(scheduler_index)];
  auto& known = scheduler.known_nodes;
  if (kind == UpdateKind::kSnapshot) known.clear();
  for (const NodeEntry& entry : entries) {
    const auto same = std::find_if(known.begin(), known.end(),
                                   [&](const NodeEntry& other) { return other.node == entry.node; });
    if (same == known.end()) known.push_back(entry);
    else *same = entry;
  }
  scheduler.control->update_nodes(now_, kind, entries);
}

bool ScenarioRun::may_have_executed(const Dispatch& dispatch) const {
  return !dispatch.finished ||
         (dispatch.outcome != Outcome::kQueueFull && dispatch.outcome != Outcome::kConnectFailed &&
          dispatch.outcome != Outcome::kNotSent);
}

void ScenarioRun::dispatched(Scheduler& scheduler, int id, int node, double timeout) {
  const std::size_t index = record_index(scheduler, id);
  trace("  dispatch transaction " + std::to_string(index) + " to node " + std::to_string(node));
  TransactionRecord& record = records_[index];
  ++coverage_.dispatches;
  coverage_.retries += !record.dispatches.empty();
  if (!record.open()) report_violation("rule 1: dispatched after the final answer");
  const auto& known = scheduler.known_nodes;
  const auto entry =
      std::find_if(known.begin(), known.end(), [&](const NodeEntry& e) { return e.node == node; });
  if (entry == known.end() || entry->state != NodeState::kReady) {
    return report_violation("rule 3: dispatched to a node that is draining, removed or not listed");
  }
  Dispatch dispatch;
  dispatch.node = node;
  dispatch.sent_at = now_;
  dispatch.times_out_at = now_ + (timeout > 0 ? timeout : record.transaction.time_left);
  dispatch.shard = entry->shard;
  dispatch.zone = entry->zone;
  check_idempotency(record, dispatch);
  check_key_order(scheduler, index);
  const bool first = record.dispatches.empty();
  coverage_.delayed_by_key += first && profile(record).ordered_by_key && now_ > record.arrived_at;
  record.dispatches.push_back(dispatch);
  if (!first) check_retry_budget(scheduler);
  if (first) check_limit(record);
  check_slow_start(scheduler, node);
}

void ScenarioRun::answered(Scheduler& scheduler, int id, bool rejected) {
  const std::size_t index = record_index(scheduler, id);
  TransactionRecord& record = records_[index];
  trace(std::string(rejected ? "  reject" : "  expire") + " transaction " + std::to_string(index));
  if (!record.open()) report_violation("rule 1: second final answer");
  record.answered = true;
  ++coverage_.answers;
  ++(rejected ? coverage_.rejected : coverage_.expired);
  if (now_ > record.arrived_at + std::max(record.transaction.time_left, 0.0) + kTolerance)
    report_violation("rule 1: answered after the deadline");
  const Profile& p = profile(record);
  if (!rejected || p.idempotency == Idempotency::kIdempotent ||
      (p.idempotency == Idempotency::kDeduplicated && p.dedup_scope == DedupScope::kFleet))
    return;
  for (const Dispatch& dispatch : record.dispatches) {
    if (may_have_executed(dispatch))
      report_violation("rule 2: rejected as retryable though it may have executed");
  }
}

void ScenarioRun::check_idempotency(const TransactionRecord& record, const Dispatch& next) {
  const Profile& p = profile(record);
  const Dispatch* first = nullptr;
  for (const Dispatch& dispatch : record.dispatches) {
    if (!first && may_have_executed(dispatch)) first = &dispatch;
  }
  if (!first || p.idempotency == Idempotency::kIdempotent) return;
  if (p.idempotency == Idempotency::kNonIdempotent)
    return report_violation("rule 2: non-idempotent transaction retried though it may have executed");
  if (now_ > first->sent_at + p.dedup_window + kTolerance)
    report_violation("rule 2: deduplicated transaction retried after its deduplication window");
  if ((p.dedup_scope == DedupScope::kShard && next.shard != first->shard) ||
      (p.dedup_scope == DedupScope::kZone && next.zone != first->zone))
    report_violation("rule 2: deduplicated transaction retried outside its deduplication scope");
}

void ScenarioRun::check_key_order(const Scheduler& scheduler, std::size_t index) {
  const TransactionRecord& record = records_[index];
  if (!profile(record).ordered_by_key || !record.transaction.has_key) return;
  for (std::size_t i = 0; i < records_.size(); ++i) {
    const TransactionRecord& other = records_[i];
    if (i == index || other.lost || other.scheduler != scheduler.index || !other.transaction.has_key ||
        other.transaction.key != record.transaction.key || !profile(other).ordered_by_key)
      continue;
    if (other.in_flight() || (i < index && other.open()))
      report_violation("rule 5: dispatched before an earlier transaction of its key had ended");
    for (const Dispatch& dispatch : other.dispatches) {
      if (record.dispatches.empty() && dispatch.finished && may_still_execute(dispatch.outcome) &&
          now_ < dispatch.finished_at + scenario_.settings.key_quiet_time - kTolerance)
        report_violation("rule 5: dispatched within the quiet time of its key");
    }
  }
}

void ScenarioRun::check_retry_budget(const Scheduler& scheduler) {
  const Settings& settings = scenario_.settings;
  if (!settings.has_retry_budget) return;
  int retries = 0;
  int arrivals = 0;
  for (const TransactionRecord& record : records_) {
    if (record.lost || record.scheduler != scheduler.index) continue;
    arrivals += record.arrived_at > now_ - settings.retry_budget_window;
    for (std::size_t i = 1; i < record.dispatches.size(); ++i)
      retries += record.dispatches[i].sent_at >= now_ - settings.retry_budget_window;
  }
  if (retries > settings.retry_budget_base + settings.retry_budget_ratio * arrivals + kTolerance)
    report_violation("rule 6: more retries than the retry budget allows");
}

// Compares the first dispatches of the volume, by all schedulers and across restarts, with one token bucket.
void ScenarioRun::check_limit(const TransactionRecord& record) {
  if (record.transaction.plan < 0) return;
  const Plan& plan = scenario_.settings.plans[static_cast<std::size_t>(record.transaction.plan)];
  if (plan.limit <= 0) return;
  std::vector<std::pair<double, double>> first_dispatches;  // time, units
  for (const TransactionRecord& other : records_) {
    if (!other.dispatches.empty() && other.transaction.volume == record.transaction.volume)
      first_dispatches.push_back({other.dispatches.front().sent_at, other.transaction.units});
  }
  std::sort(first_dispatches.begin(), first_dispatches.end());
  double tokens = plan.burst;
  double refilled_at = first_dispatches.front().first;
  for (const auto& [sent_at, units] : first_dispatches) {
    tokens = std::min(plan.burst, tokens + (sent_at - refilled_at) * plan.limit) - units;
    refilled_at = sent_at;
  }
  if (tokens < -kTolerance)
    report_violation("rule 7: limit exceeded by " + std::to_string(-tokens) + " units");
}

// Compares the units that all schedulers sent to node 0 within the last overload window with its capacity.
void ScenarioRun::check_slow_start(const Scheduler&, int node) {
  const Settings& settings = scenario_.settings;
  const double started_at = scenario_.node_0_started_at;
  if (started_at <= 0 || node != 0 || now_ < started_at || now_ >= started_at + settings.warmup_time) return;
  ++coverage_.slow_start_dispatches;
  double units = 0;
  for (const TransactionRecord& record : records_) {
    for (const Dispatch& dispatch : record.dispatches) {
      if (dispatch.node == node && dispatch.sent_at >= std::max(now_ - settings.overload_window, started_at))
        units += record.transaction.units;
    }
  }
  const double capacity_share = settings.initial_capacity_share + (1 - settings.initial_capacity_share) *
                                                                      (now_ - started_at) /
                                                                      settings.warmup_time;
  const double max_units =
      settings.overload_multiple * capacity_share * scenario_.node_0_rate * settings.overload_window;
  if (units > std::max(max_units, settings.safe_start_units) + kTolerance)
    report_violation("rule 4: node in slow start overloaded with " + std::to_string(units) + " units");
}

Coverage run_all_orderings(const Scenario& scenario) {
  Coverage coverage;
  ChoiceTree choices;
  do {
    ScenarioRun run(scenario, choices, coverage);
    run.run();
    ++coverage.orderings;
  } while (coverage.violation.empty() && choices.next_path());
  return coverage;
}

}  // namespace orderings
}  // namespace heronworks
