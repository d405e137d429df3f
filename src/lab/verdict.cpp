#include "lab/verdict.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <stdexcept>
#include <tuple>

namespace heronworks::lab {
namespace {

constexpr double kClockTolerance = 0.002;  // s; difference between the timestamps of two processes
// s by which a timestamp may be late on a busy machine: the kernel merges consecutive segments under the
// newest timestamp. Comparisons between processes allow for this.
constexpr double kReadDelay = 0.25;
constexpr double kNever = 1e18;
constexpr std::uint64_t kZeroHash = 1;  // hash recorded for blocks that were never written

struct Dispatch {
  const Event* received = nullptr;
  double replied_at = kNever;
  std::string outcome;  // empty: no reply
  bool executed = false;
  bool rejected_by_node() const { return outcome == "full"; }
};

// One attempt of a client, with its answers and dispatches.
struct Attempt {
  const Event* sent = nullptr;
  std::vector<const Event*> answers;
  double lost = kNever;
  double client_left_at = kNever;
  std::vector<Dispatch> dispatches;
  double over_at() const {
    double t = std::min(lost, client_left_at);
    if (!answers.empty()) t = std::min(t, answers.front()->time);
    return t;
  }
  // Lower bound of the end of the attempt: a client that reads late records the timestamp of the newest
  // data.
  double earliest_over = kNever;
};

struct Interval {
  double from;
  double to;
};

class Checker {
 public:
  explicit Checker(const std::vector<Event>& events) : events_(events) {
    const Event* parameters = nullptr;
    for (const Event& e : events) {
      if (e.kind == EventKind::kParameters) parameters = &e;
    }
    if (!parameters) throw std::runtime_error("the record has no 'figures' event");
    parameters_ = CheckerParameters::parse(parameters->text);
    index_events();
  }

  Verdict run() {
    check_answers();
    check_effects();
    check_drains();
    check_slow_start();
    check_order();
    check_retry_budget();
    check_limits();
    check_bytes();
    count_retries();
    summarize_service();
    std::stable_sort(verdict_.violations.begin(), verdict_.violations.end(),
                     [](auto& a, auto& b) { return a.time < b.time; });
    return std::move(verdict_);
  }

 private:
  void index_events() {
    std::map<int, double> stopped;
    for (const Event& e : events_) {
      if (e.kind == EventKind::kAnswered || e.kind == EventKind::kConnectionLost ||
          e.kind == EventKind::kClientLeft) {
        double& earliest_over = attempts_[{e.idempotency_key, e.attempt}].earliest_over;
        earliest_over = std::min(earliest_over, e.earliest_time >= 0 ? e.earliest_time : e.time);
        if (e.earliest_time >= 0)
          verdict_.max_read_delay = std::max(verdict_.max_read_delay, e.time - e.earliest_time);
      }
      switch (e.kind) {
        case EventKind::kSent:
          attempts_[{e.idempotency_key, e.attempt}].sent = &e;
          break;
        case EventKind::kAnswered:
          attempts_[{e.idempotency_key, e.attempt}].answers.push_back(&e);
          break;
        case EventKind::kConnectionLost:
          attempts_[{e.idempotency_key, e.attempt}].lost = e.time;
          break;
        case EventKind::kClientLeft:
          attempts_[{e.idempotency_key, e.attempt}].client_left_at = e.time;
          break;
        case EventKind::kReceived: {
          Dispatch dispatch;
          dispatch.received = &e;
          attempts_[{e.idempotency_key, e.attempt}].dispatches.push_back(dispatch);
          ++verdict_.dispatches;
          break;
        }
        case EventKind::kReplied:
        case EventKind::kExecuted: {
          for (Dispatch& dispatch : attempts_[{e.idempotency_key, e.attempt}].dispatches) {
            if (dispatch.received->dispatch != e.dispatch || dispatch.received->node != e.node ||
                dispatch.received->incarnation != e.incarnation)
              continue;
            if (e.kind == EventKind::kExecuted) {
              dispatch.executed = true;
            } else {
              dispatch.replied_at = e.time;
              dispatch.outcome = e.outcome;
            }
          }
          break;
        }
        case EventKind::kSchedulerKilled:
          killed_[e.scheduler].push_back(e.time);
          break;
        case EventKind::kSchedulerStarted:
          started_[e.scheduler].push_back(e.time);
          break;
        case EventKind::kSchedulerStopped:
          stopped[e.scheduler] = e.time;
          break;
        case EventKind::kSchedulerContinued:
          pauses_[e.scheduler].push_back({stopped[e.scheduler], e.time});
          break;
        default:
          break;
      }
      end_ = std::max(end_, e.time);
    }
  }

  const CheckerParameters::Profile& profile(const Event& e) const {
    return parameters_.profiles.at(static_cast<std::size_t>(e.profile));
  }

  void report(Rule rule, const Event& e, double t, std::string text, int node = -1) {
    Violation violation;
    violation.rule = rule;
    violation.idempotency_key = e.idempotency_key;
    violation.attempt = e.attempt;
    violation.scheduler = e.scheduler;
    violation.node = node >= 0 ? node : e.node;
    violation.volume = e.volume;
    violation.time = t;
    violation.text = std::move(text);
    verdict_.violations.push_back(std::move(violation));
  }
  void count_check(Rule rule) { ++verdict_.checks[static_cast<std::size_t>(rule)]; }

  bool killed_between(int scheduler, double from, double to) const {
    const auto k = killed_.find(scheduler);
    return k != killed_.end() &&
           std::any_of(k->second.begin(), k->second.end(), [&](double t) { return t >= from && t <= to; });
  }
  // Returns whether the scheduler process was dead at `t`.
  bool is_dead(int scheduler, double t) const {
    const auto last = [&](const std::map<int, std::vector<double>>& times_by_scheduler) {
      double newest = -kNever;
      const auto list = times_by_scheduler.find(scheduler);
      if (list == times_by_scheduler.end()) return newest;
      for (const double at : list->second) newest = at <= t ? std::max(newest, at) : newest;
      return newest;
    };
    return last(killed_) > last(started_);
  }
  // Returns when a scheduler that was stopped at `t` continued, or `t` if it was running.
  double resumed_at(int scheduler, double t) const {
    const auto s = pauses_.find(scheduler);
    if (s == pauses_.end()) return t;
    for (const Interval& span : s->second) {
      if (t >= span.from && t <= span.to) return span.to;
    }
    return t;
  }

  // 1. Each attempt gets exactly one answer before its deadline and no dispatch after it.
  void check_answers() {
    for (const auto& [id, attempt] : attempts_) {
      if (!attempt.sent) continue;
      count_check(Rule::kOneAnswer);
      const Event& s = *attempt.sent;
      if (attempt.answers.size() > 1)
        report(Rule::kOneAnswer, s, attempt.answers[1]->time, "answered more than once");
      if (attempt.answers.empty()) {
        if (attempt.client_left_at < kNever) continue;
        const double until = attempt.lost < kNever ? attempt.lost + 1 : end_;
        if (killed_between(s.scheduler, s.time - kClockTolerance, until) || is_dead(s.scheduler, s.time))
          continue;
        report(Rule::kOneAnswer, s, std::min(attempt.lost, s.time + s.time_left),
               attempt.lost < kNever ? "a running scheduler closed the connection before answering"
                                     : "never answered");
        continue;
      }
      const Event& a = *attempt.answers.front();
      if (a.outcome == "error")
        report(Rule::kOneAnswer, a, a.time,
               "final answer is neither success, rejection nor expiry: " + a.text);
      const double deadline = resumed_at(s.scheduler, s.time + s.time_left) + parameters_.answer_slack;
      if (std::min(a.time, attempt.earliest_over) > deadline)
        report(Rule::kOneAnswer, a, a.time, "answered after the client's deadline");
      for (const Dispatch& dispatch : attempt.dispatches) {
        if (dispatch.received->time > a.time + kReadDelay)
          report(Rule::kOneAnswer, *dispatch.received, dispatch.received->time,
                 "dispatched to a node after the final answer");
      }
    }
  }

  // 2. No duplicate execution: non-idempotent transactions run at most once, retries of deduplicated ones
  // stay within scope and window, and a rejection implies that a retry is safe.
  void check_effects() {
    std::map<std::uint64_t, int> executions;
    for (const Event& e : events_) {
      if (e.kind != EventKind::kExecuted || e.write != 1 || e.outcome == "repeat" ||
          profile(e).idempotency != 2)
        continue;
      if (++executions[e.idempotency_key] == 2)
        report(Rule::kNoDuplicateEffect, e, e.time, "non-idempotent transaction executed twice");
    }
    for (const auto& [id, attempt] : attempts_) {
      const Event* any = attempt.sent                 ? attempt.sent
                         : attempt.dispatches.empty() ? nullptr
                                                      : attempt.dispatches.front().received;
      if (!any) continue;
      const auto& p = profile(*any);
      if (p.idempotency == 0) continue;
      count_check(Rule::kNoDuplicateEffect);
      const Dispatch* first = nullptr;  // first dispatch that may have been executed
      for (const Dispatch& dispatch : attempt.dispatches) {
        if (first) {
          if (p.idempotency == 2)
            report(Rule::kNoDuplicateEffect, *dispatch.received, dispatch.received->time,
                   "non-idempotent transaction dispatched again though it may have executed");
          const bool same_zone =
              first->received->node % parameters_.zones == dispatch.received->node % parameters_.zones;
          const bool in_scope = p.dedup_scope == 0 || (p.dedup_scope == 1 && same_zone) ||
                                (p.dedup_scope == 2 && first->received->shard == dispatch.received->shard);
          if (p.idempotency == 1 && !in_scope)
            report(Rule::kNoDuplicateEffect, *dispatch.received, dispatch.received->time,
                   "deduplicated transaction dispatched outside its deduplication scope");
          if (p.idempotency == 1 &&
              dispatch.received->time > first->received->time + p.dedup_window + kClockTolerance)
            report(Rule::kNoDuplicateEffect, *dispatch.received, dispatch.received->time,
                   "deduplicated transaction dispatched after its deduplication window");
        } else if (!dispatch.rejected_by_node()) {
          first = &dispatch;
        }
      }
      const bool safe_to_retry = !first || (p.idempotency == 1 && p.dedup_scope == 0);
      for (const Event* a : attempt.answers) {
        if (a->outcome == "turned_back" && !safe_to_retry)
          report(Rule::kNoDuplicateEffect, *a, a->time,
                 "rejected though it may have executed and a retry is not safe", first->received->node);
      }
    }
  }

  // 3. No dispatch to a node later than the grace period after the scheduler received a list without it.
  void check_drains() {
    struct ListUpdate {
      double time;
      std::set<int> ready;
    };
    std::map<int, std::vector<ListUpdate>> updates;
    for (const Event& e : events_) {
      if (e.kind == EventKind::kListSent)
        updates[e.scheduler].push_back(
            {resumed_at(e.scheduler, e.time), {e.ready_nodes.begin(), e.ready_nodes.end()}});
    }
    for (const Event& e : events_) {
      if (e.kind != EventKind::kReceived) continue;
      count_check(Rule::kDrains);
      double not_ready_since = kNever;  // not ready without interruption since
      double scheduler_started = -kNever;
      for (const double start : started_[e.scheduler]) {
        if (start <= e.time) scheduler_started = std::max(scheduler_started, start);
      }
      for (const ListUpdate& update : updates[e.scheduler]) {
        if (update.time > e.time) break;
        if (update.time < scheduler_started) continue;
        if (update.ready.contains(e.node)) not_ready_since = kNever;
        else not_ready_since = std::min(not_ready_since, update.time);
      }
      if (e.time > not_ready_since + parameters_.drain_grace + kClockTolerance)
        report(Rule::kDrains, e, e.time,
               "dispatched " + std::to_string(e.time - not_ready_since) +
                   " s after the endpoint list had the node draining or removed");
    }
  }

  // 4. No node is overloaded during slow start: its work in any window stays within multiple x capacity x
  // window.
  void check_slow_start() {
    if (!parameters_.has_slow_start) return;
    std::map<std::pair<int, int>, double> speeds;
    std::map<std::pair<int, int>, std::vector<const Event*>> sent;
    for (const Event& e : events_) {
      if (e.kind == EventKind::kNodeUp) speeds[{e.node, e.incarnation}] = e.capacity_fraction;
      if (e.kind == EventKind::kNodeOverloaded)
        report(Rule::kSlowStart, e, e.time, "node overloaded during slow start");
      if (e.kind == EventKind::kReceived && e.incarnation > 0 && e.capacity_fraction < 1)
        sent[{e.node, e.incarnation}].push_back(&e);
    }
    for (const auto& [node, list] : sent) {
      std::size_t from = 0;
      double work = 0;
      for (const Event* e : list) {
        count_check(Rule::kSlowStart);
        work += e->cost;
        while (list[from]->time < e->time - parameters_.overload_window) work -= list[from++]->cost;
        const double max_work =
            parameters_.overload_multiple * e->capacity_fraction * speeds[node] * parameters_.overload_window;
        if (work > std::max(max_work, parameters_.safe_start_cost) + 1e-9) {
          report(Rule::kSlowStart, *e, e->time,
                 "more work in a window than the node can take during slow start");
          break;
        }
      }
    }
  }

  // 5. Transactions with the same ordering key run one at a time, in order of arrival, with a quiet time
  // after a time-out.
  void check_order() {
    // Answers may also wait in a scheduler's buffer for a client that reads late, so timestamps are only
    // compared beyond the longest delay seen.
    const double max_delay = kReadDelay + verdict_.max_read_delay;
    // By scheduler and ordering key, or else by scheduler, volume and key range.
    std::map<std::tuple<int, int, std::uint64_t>, std::vector<const Attempt*>> attempts_by_key;
    for (const auto& [id, attempt] : attempts_) {
      if (!attempt.sent || !profile(*attempt.sent).ordered_by_key) continue;
      if (attempt.sent->ordering_key != 0)
        attempts_by_key[{attempt.sent->scheduler, -1, attempt.sent->ordering_key}].push_back(&attempt);
      else
        attempts_by_key[{attempt.sent->scheduler, attempt.sent->volume,
                         static_cast<std::uint64_t>(attempt.sent->lba / parameters_.key_blocks)}]
            .push_back(&attempt);
    }
    for (auto& [key, list] : attempts_by_key) {
      std::sort(list.begin(), list.end(), [](auto* a, auto* b) { return a->sent->time < b->sent->time; });
      for (std::size_t i = 0; i < list.size(); ++i) {
        const Attempt& attempt = *list[i];
        count_check(Rule::kOrder);
        for (const Dispatch& dispatch : attempt.dispatches) {
          const double at = dispatch.received->time + kClockTolerance;
          for (std::size_t j = 0; j < list.size(); ++j) {
            if (i == j) continue;
            const Attempt& other = *list[j];
            const bool earlier = j < i && other.sent->client == attempt.sent->client;
            // The other attempt is over if all its dispatches were replied to before.
            const bool all_replied =
                !other.dispatches.empty() &&
                std::all_of(other.dispatches.begin(), other.dispatches.end(),
                            [&](const Dispatch& other_dispatch) { return other_dispatch.replied_at <= at; });
            if (earlier && !all_replied &&
                other.earliest_over >
                    at + (other.dispatches.empty() || other.dispatches.back().received->time < at ? max_delay
                                                                                                  : 0))
              report(Rule::kOrder, *dispatch.received, dispatch.received->time,
                     "dispatched before an earlier transaction with the same ordering key was over");
            for (const Dispatch& other_dispatch : other.dispatches) {
              if (other_dispatch.received->time > dispatch.received->time) continue;
              const bool outstanding = other.earliest_over > at + max_delay && other_dispatch.replied_at > at;
              if (!earlier && outstanding)
                report(Rule::kOrder, *dispatch.received, dispatch.received->time,
                       "two transactions with the same ordering key in flight");
              const double attempt_deadline =
                  other_dispatch.received->time + other_dispatch.received->time_left;
              if (&dispatch == &attempt.dispatches.front() && other_dispatch.replied_at > attempt_deadline &&
                  !killed_between(dispatch.received->scheduler, other_dispatch.received->time,
                                  dispatch.received->time) &&
                  other.over_at() <= at && other.client_left_at == kNever &&
                  other.over_at() + kClockTolerance >= attempt_deadline &&
                  dispatch.received->time <
                      attempt_deadline + parameters_.key_quiet_time - 10 * kClockTolerance)
                report(Rule::kOrder, *dispatch.received, dispatch.received->time,
                       "dispatched within the quiet time of its ordering key after a time-out");
            }
          }
        }
      }
    }
  }

  // 6. Repeated dispatches of a scheduler stay within its retry budget in any window.
  void check_retry_budget() {
    if (!parameters_.has_retry_budget) return;
    std::map<int, std::vector<double>> received_by_scheduler;
    std::map<int, std::vector<const Event*>> retries;
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.sent) received_by_scheduler[attempt.sent->scheduler].push_back(attempt.sent->time);
      for (std::size_t i = 1; i < attempt.dispatches.size(); ++i)
        retries[attempt.dispatches[i].received->scheduler].push_back(attempt.dispatches[i].received);
    }
    for (auto& [scheduler, list] : retries) {
      auto& received = received_by_scheduler[scheduler];
      std::sort(received.begin(), received.end());
      std::sort(list.begin(), list.end(), [](auto* a, auto* b) { return a->time < b->time; });
      std::size_t from = 0;
      for (std::size_t i = 0; i < list.size(); ++i) {
        count_check(Rule::kRetryBudget);
        const double now = list[i]->time;
        while (list[from]->time < now - parameters_.retry_budget_window) ++from;
        const auto received_in_window =
            std::upper_bound(received.begin(), received.end(), now + kClockTolerance) -
            std::lower_bound(received.begin(), received.end(),
                             now - parameters_.retry_budget_window - kClockTolerance);
        const double allowed = parameters_.retry_budget_base +
                               parameters_.retry_budget_ratio * static_cast<double>(received_in_window);
        if (static_cast<double>(i - from + 1) > allowed + 1e-9)
          report(Rule::kRetryBudget, *list[i], now,
                 std::to_string(i - from + 1) + " repeated dispatches in the retry budget window, " +
                     std::to_string(allowed) + " allowed");
      }
    }
  }

  // 7. All schedulers together keep the limit of a volume.
  void check_limits() {
    std::map<int, std::vector<const Event*>> first_dispatches;
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.dispatches.empty()) continue;
      const Event& e = *attempt.dispatches.front().received;
      if (e.plan >= 0 && parameters_.plans.at(static_cast<std::size_t>(e.plan)).limit > 0)
        first_dispatches[e.volume].push_back(&e);
    }
    for (auto& [volume, list] : first_dispatches) {
      std::sort(list.begin(), list.end(), [](auto* a, auto* b) { return a->time < b->time; });
      const auto& plan = parameters_.plans.at(static_cast<std::size_t>(list.front()->plan));
      const double slack = std::max(0.1 * plan.burst, parameters_.max_transaction_units);
      double tokens = plan.burst;
      double refilled_at = list.front()->time;
      for (const Event* e : list) {
        count_check(Rule::kLimits);
        tokens = std::min(plan.burst, tokens + (e->time - refilled_at) * plan.limit) - e->units;
        refilled_at = e->time;
        if (tokens >= -slack - 1e-9) continue;
        report(Rule::kLimits, *e, e->time,
               "volume " + std::to_string(volume) + " exceeds its limit by " + std::to_string(-tokens) +
                   " units");
        break;
      }
    }
  }

  // Reads return the newest write that completed before the read, or a write concurrent with it.
  void check_bytes() {
    struct Write {
      double started;
      double acknowledged;  // when its client got the answer
      std::uint64_t hash;
    };
    std::map<std::tuple<int, std::int64_t, int>, std::vector<Write>> writes;
    std::map<std::pair<int, std::int64_t>, std::vector<std::tuple<std::int64_t, double>>> write_starts;
    for (const auto& [id, attempt] : attempts_) {
      if (!attempt.sent || attempt.sent->write != 1) continue;
      double acknowledged = kNever;
      std::int64_t lba = attempt.sent->lba;
      for (const Event* a : attempt.answers) {
        if (a->outcome != "honoured") continue;
        acknowledged = a->time;
        lba = a->lba;
      }
      writes[{attempt.sent->volume, lba, attempt.sent->blocks}].push_back(
          {attempt.sent->time, acknowledged, attempt.sent->hash});
      write_starts[{attempt.sent->volume, 0}].push_back({lba, attempt.sent->time});
      write_sizes_[{attempt.sent->volume, lba}].insert(attempt.sent->blocks);
    }
    for (const auto& [id, attempt] : attempts_) {
      if (!attempt.sent || attempt.sent->write == 1 || attempt.answers.empty()) continue;
      const Event& a = *attempt.answers.front();
      if (a.outcome != "honoured") continue;
      if (a.text == "short") {
        report(Rule::kData, a, a.time, "read returned fewer bytes than requested");
        continue;
      }
      // A hash can only be compared if all writes to these blocks cover the same range.
      bool overlaps = false;
      for (const auto& [lba, from] : write_starts[{a.volume, 0}]) {
        if (lba == a.lba || from > a.time) continue;
        for (const int blocks : write_sizes_[{a.volume, lba}]) {
          overlaps = overlaps || (lba < a.lba + a.blocks && a.lba < lba + blocks);
        }
      }
      const auto& sizes_here = write_sizes_[{a.volume, a.lba}];
      if (overlaps || sizes_here.size() > 1 || (sizes_here.size() == 1 && *sizes_here.begin() != a.blocks))
        continue;
      count_check(Rule::kData);
      const auto& candidates = writes[{a.volume, a.lba, a.blocks}];
      bool explained = false;
      bool written_before = false;
      double newest_start = -kNever;
      for (const Write& write : candidates) {
        if (write.acknowledged < attempt.sent->time) {
          written_before = true;
          newest_start = std::max(newest_start, write.started);
        }
      }
      for (const Write& write : candidates) {
        explained = explained ||
                    (write.hash == a.hash && write.started < a.time && (write.acknowledged >= newest_start));
      }
      if (!written_before) explained = explained || a.hash == kZeroHash;
      if (!explained) report(Rule::kData, a, a.time, "read returned data that matches no write");
    }
  }

  void count_retries() {
    std::map<std::uint64_t, int> attempts_per_transaction;
    std::map<std::uint64_t, int> dispatches_by_key;
    std::vector<int> dispatches_per_attempt;
    for (const auto& [id, attempt] : attempts_) {
      if (attempt.sent) ++attempts_per_transaction[attempt.sent->idempotency_key];
      if (attempt.dispatches.empty()) continue;
      dispatches_per_attempt.push_back(static_cast<int>(attempt.dispatches.size()));
      dispatches_by_key[attempt.dispatches.front().received->idempotency_key] +=
          dispatches_per_attempt.back();
    }
    const auto mean_and_maximum = [](const auto& list, auto value_of) {
      Verdict::CountSummary count;
      for (const auto& one : list) {
        count.mean += value_of(one) / static_cast<double>(list.size());
        count.maximum = std::max(count.maximum, value_of(one));
      }
      return count;
    };
    const auto value = [](const auto& pair) { return pair.second; };
    verdict_.attempts_per_transaction = mean_and_maximum(attempts_per_transaction, value);
    verdict_.dispatches_per_attempt = mean_and_maximum(dispatches_per_attempt, [](int n) { return n; });
    verdict_.dispatches_per_transaction = mean_and_maximum(dispatches_by_key, value);
  }

  void summarize_service() {
    for (const auto& p : parameters_.profiles) verdict_.profiles.push_back({p.name});
    for (const auto& p : parameters_.plans) verdict_.plans.push_back({p.name});
    verdict_.total.name = "all";
    struct TransactionSummary {
      const Event* first_event = nullptr;
      bool succeeded = false;
      double succeeded_at = kNever;
      std::string last_outcome;
    };
    std::map<std::uint64_t, TransactionSummary> summaries;
    const auto note_first = [&](const Event& e) {
      TransactionSummary& transaction = summaries[e.idempotency_key];
      if (!transaction.first_event || e.time < transaction.first_event->time) transaction.first_event = &e;
    };
    for (const Event& e : events_) {
      if (e.kind == EventKind::kSent || e.kind == EventKind::kNotConnected) note_first(e);
      if (e.kind != EventKind::kAnswered) continue;
      TransactionSummary& transaction = summaries[e.idempotency_key];
      transaction.last_outcome = e.outcome;
      if (e.outcome == "honoured" && !transaction.succeeded) {
        transaction.succeeded = true;
        transaction.succeeded_at = e.time;
      }
    }
    std::vector<const TransactionSummary*> by_arrival;
    for (const auto& [idempotency_key, transaction] : summaries) {
      if (transaction.first_event) by_arrival.push_back(&transaction);
    }
    std::sort(by_arrival.begin(), by_arrival.end(),
              [](auto* a, auto* b) { return a->first_event->first_sent_at < b->first_event->first_sent_at; });
    std::map<int, std::pair<double, double>> buckets;  // by volume: tokens and time of the last refill
    std::vector<double> latencies;
    for (const TransactionSummary* transaction : by_arrival) {
      const Event& e = *transaction->first_event;
      const auto& p = profile(e);
      const auto& plan = parameters_.plans.at(static_cast<std::size_t>(e.plan));
      auto& [tokens, refilled_at] = buckets[e.volume];
      const double max_tokens = plan.reservation + parameters_.max_transaction_units;
      tokens = std::min(max_tokens, tokens + (e.first_sent_at - refilled_at) * plan.reservation);
      refilled_at = e.first_sent_at;
      const bool within_reservation = tokens > 0;
      tokens = std::max(tokens - e.units, -parameters_.max_transaction_units);
      const double benefit_due = p.benefit * plan.benefit_factor * e.units /
                                 parameters_.mean_transaction_units *
                                 (within_reservation ? 1 : parameters_.share_benefit_factor);
      const double latency = transaction->succeeded_at - e.first_sent_at;
      const double benefit_earned =
          !transaction->succeeded ? 0
                                  : benefit_due * (latency <= p.target_latency ? 1 : p.late_benefit_fraction);
      for (Verdict::ServiceSummary* s :
           {&verdict_.profiles[static_cast<std::size_t>(e.profile)],
            &verdict_.plans[static_cast<std::size_t>(e.plan)], &verdict_.total}) {
        ++s->transactions;
        s->benefit_due += benefit_due;
        s->benefit_earned += benefit_earned;
        if (transaction->succeeded) ++s->succeeded;
        if (transaction->succeeded && latency <= p.target_latency) ++s->in_time;
        if (!transaction->succeeded && transaction->last_outcome == "turned_back") ++s->rejected;
        if (!transaction->succeeded && transaction->last_outcome == "given_up") ++s->expired;
      }
      if (transaction->succeeded) latencies.push_back(latency);
    }
    if (latencies.empty()) return;
    std::sort(latencies.begin(), latencies.end());
    verdict_.p50 = latencies[latencies.size() / 2];
    verdict_.p99 = latencies[latencies.size() * 99 / 100];
  }

  const std::vector<Event>& events_;
  CheckerParameters parameters_;
  Verdict verdict_;
  std::map<std::pair<std::uint64_t, int>, Attempt> attempts_;
  std::map<std::pair<int, std::int64_t>, std::set<int>> write_sizes_;
  std::map<int, std::vector<double>> killed_;
  std::map<int, std::vector<double>> started_;
  std::map<int, std::vector<Interval>> pauses_;
  double end_ = 0;
};

}  // namespace

std::string CheckerParameters::text() const {
  nlohmann::ordered_json j;
  j["start"] = start;
  for (const Profile& p : profiles) {
    j["profiles"].push_back({{"name", p.name},
                             {"contract", p.target_latency},
                             {"cut_off", p.deadline},
                             {"benefit", p.benefit},
                             {"late_part", p.late_benefit_fraction},
                             {"repeat", p.idempotency},
                             {"group", p.dedup_scope},
                             {"label_window", p.dedup_window},
                             {"in_order", p.ordered_by_key}});
  }
  for (const Plan& p : plans) {
    j["plans"].push_back({{"name", p.name},
                          {"usual", p.usual_rate},
                          {"reservation", p.reservation},
                          {"limit", p.limit},
                          {"burst", p.burst},
                          {"factor", p.benefit_factor}});
  }
  j["zones"] = zones;
  j["key_blocks"] = key_blocks;
  j["answer_slack"] = answer_slack;
  j["drain_grace"] = drain_grace;
  j["largest_units"] = max_transaction_units;
  j["mean_units"] = mean_transaction_units;
  j["share_part"] = share_benefit_factor;
  j["turn_gap"] = key_quiet_time;
  if (has_retry_budget) j["budget"] = {retry_budget_base, retry_budget_ratio, retry_budget_window};
  if (has_slow_start) j["cold"] = {overload_window, overload_multiple, safe_start_cost};
  return j.dump();
}

CheckerParameters CheckerParameters::parse(const std::string& text) {
  const auto j = nlohmann::json::parse(text);
  CheckerParameters parameters;
  parameters.start = j.at("start");
  for (const auto& p : j.at("profiles")) {
    parameters.profiles.push_back({p.at("name"), p.at("contract"), p.at("cut_off"), p.at("benefit"),
                                   p.at("late_part"), p.at("repeat"), p.at("group"), p.at("label_window"),
                                   p.at("in_order")});
  }
  for (const auto& p : j.at("plans")) {
    parameters.plans.push_back(
        {p.at("name"), p.at("usual"), p.at("reservation"), p.at("limit"), p.at("burst"), p.at("factor")});
  }
  parameters.zones = j.at("zones");
  parameters.key_blocks = j.at("key_blocks");
  parameters.answer_slack = j.at("answer_slack");
  parameters.drain_grace = j.at("drain_grace");
  parameters.max_transaction_units = j.at("largest_units");
  parameters.mean_transaction_units = j.at("mean_units");
  parameters.share_benefit_factor = j.at("share_part");
  parameters.key_quiet_time = j.at("turn_gap");
  if (j.contains("budget")) {
    parameters.has_retry_budget = true;
    parameters.retry_budget_base = j["budget"][0];
    parameters.retry_budget_ratio = j["budget"][1];
    parameters.retry_budget_window = j["budget"][2];
  }
  if (j.contains("cold")) {
    parameters.has_slow_start = true;
    parameters.overload_window = j["cold"][0];
    parameters.overload_multiple = j["cold"][1];
    parameters.safe_start_cost = j["cold"][2];
  }
  return parameters;
}

Verdict check_record(const std::vector<Event>& events) { return Checker(events).run(); }

std::string Verdict::table(double start) const {
  std::string out;
  char line[256];
  const auto add = [&](auto... args) {
    std::snprintf(line, sizeof line, args...);
    out += line;
  };
  add("%-20s %9s  %s\n", "rule", "looked at", "verdict");
  for (std::size_t r = 0; r < kRuleNames.size(); ++r) {
    const auto n = std::count_if(violations.begin(), violations.end(), [&](const Violation& violation) {
      return violation.rule == static_cast<Rule>(r);
    });
    add("%-20s %9d  %s\n", kRuleNames[r], checks[r],
        n > 0           ? ("BROKEN " + std::to_string(n) + " times").c_str()
        : checks[r] > 0 ? "kept"
                        : "asks nothing here");
  }
  int shown = 0;
  for (const Violation& violation : violations) {
    if (++shown > 10) {
      add("  and %zu more\n", violations.size() - 10);
      break;
    }
    add("  %.3f s: %s: transaction %llu try %d, scheduler %d, node %d: ", violation.time - start,
        kRuleNames[static_cast<std::size_t>(violation.rule)],
        static_cast<unsigned long long>(violation.idempotency_key), violation.attempt, violation.scheduler,
        violation.node);
    out += violation.text + "\n";
  }
  add("\n%-20s %7s %9s %8s %12s %9s %8s\n", "service", "asked", "honoured", "in time", "turned back",
      "given up", "of due");
  const auto row = [&](const ServiceSummary& s) {
    add("%-20s %7d %9d %8d %12d %9d %8.3f\n", s.name.c_str(), s.transactions, s.succeeded, s.in_time,
        s.rejected, s.expired, s.benefit_ratio());
  };
  for (const ServiceSummary& s : profiles) row(s);
  for (const ServiceSummary& s : plans) row(s);
  row(total);
  add("honoured in %.0f ms at the median, %.0f ms at 99 of 100; %d dispatches\n", 1000 * p50, 1000 * p99,
      dispatches);
  if (max_read_delay > 0.1)
    add("clients were let run up to %.2f s late: order is judged beyond that only\n", max_read_delay);
  add("tries of a transaction %.2f, %d at most; dispatches of a try %.2f, %d at most; of a transaction %.2f, "
      "%d at most\n",
      attempts_per_transaction.mean, attempts_per_transaction.maximum, dispatches_per_attempt.mean,
      dispatches_per_attempt.maximum, dispatches_per_transaction.mean, dispatches_per_transaction.maximum);
  return out;
}

}  // namespace heronworks::lab
