// For each rule: a record that keeps it, and one with exactly one breach, which the checker must name.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "lab/verdict.h"

#include <doctest/doctest.h>

using namespace heronworks::lab;

namespace {

// Profiles: 0 redoable, 1 labelled within a zone, 2 irreversible, 3 redoable and in order. Plans: 0 no limit,
// 1 one.
Figures figures() {
  Figures f;
  f.profiles = {{"r", 0.3, 2, 1, 0, 0, 2, 0, false},
                {"l", 0.3, 2, 1, 0, 1, 1, 1, false},
                {"i", 0.3, 2, 1, 0, 2, 2, 0, false},
                {"o", 0.3, 2, 1, 0, 0, 2, 0, true}};
  f.plans = {{"free", 10, 5, 0, 0, 1}, {"limited", 10, 5, 10, 10, 1}};
  f.zones = 2;
  f.key_blocks = 4;
  f.largest_units = 2;
  f.mean_units = 1;
  f.share_part = 0.5;
  f.turn_gap = 0.5;
  f.has_budget = true;
  f.budget_free = 1;
  f.budget_share = 0;
  f.budget_window = 5;
  f.has_cold = true;
  f.fall_time = 1;
  f.tip_multiple = 2;
  f.safe_cost = 0.1;
  return f;
}

class Script {
 public:
  Script() {
    Event& e = add(0, Kind::kFigures);
    e.text = figures().text();
  }
  Event& add(double t, Kind kind, std::uint64_t label = 0, int node = -1) {
    Event e;
    e.t = t;
    e.kind = kind;
    e.label = label;
    e.attempt = label > 0 ? 0 : -1;
    e.via = 0;
    e.node = e.shard = node;
    if (node >= 0) e.life = 0;
    events_.push_back(e);
    return events_.back();
  }
  void sent(double t, std::uint64_t label, int profile, int write = 0, std::int64_t lba = 0,
            std::uint64_t hash = 0) {
    Event& e = add(t, Kind::kSent, label);
    fill(e, profile, write, lba);
    e.client = 0;
    e.left = 2;
    e.first = t;
    e.hash = hash;
  }
  void got(double t, std::uint64_t label, int profile, int node, int dispatch = 0, double cost = 0.01) {
    Event& e = add(t, Kind::kGot, label, node);
    fill(e, profile, 1, 0);
    e.dispatch = dispatch;
    e.cost = cost;
    e.frac = 1;
    e.left = 0.3;
    e.units = 1;
  }
  void replied(double t, std::uint64_t label, int node, const char* outcome, int dispatch = 0) {
    Event& e = add(t, Kind::kReplied, label, node);
    e.dispatch = dispatch;
    e.outcome = outcome;
  }
  void ran(double t, std::uint64_t label, int profile, int node, int dispatch = 0) {
    Event& e = add(t, Kind::kRan, label, node);
    fill(e, profile, 1, 0);
    e.dispatch = dispatch;
  }
  void answer(double t, std::uint64_t label, int profile, const char* outcome, std::int64_t lba = 0,
              std::uint64_t hash = 0) {
    Event& e = add(t, Kind::kAnswer, label);
    fill(e, profile, 0, lba);
    e.client = 0;
    e.outcome = outcome;
    e.hash = hash;
    e.first = t;
  }
  void whole(double t, std::uint64_t label, int profile, int node) {
    sent(t, label, profile);
    got(t + 0.01, label, profile, node);
    replied(t + 0.02, label, node, "ok");
    answer(t + 0.03, label, profile, "honoured", 0, 1);
  }
  Verdict judged() {
    std::stable_sort(events_.begin(), events_.end(), [](auto& a, auto& b) { return a.t < b.t; });
    // Through the file form and back, as records come.
    for (Event& e : events_) {
      Event back;
      std::string reason;
      REQUIRE(Event::parse(e.line(), back, reason));
      e = back;
    }
    return judge(events_);
  }
  // Exactly one breach, of this rule, transaction, node and time.
  void finds(Rule rule, std::uint64_t label, int node, double t) {
    const Verdict v = judged();
    REQUIRE(v.breaches.size() == 1);
    CHECK(v.breaches[0].rule == rule);
    CHECK(v.breaches[0].label == label);
    CHECK(v.breaches[0].node == node);
    CHECK(v.breaches[0].t == doctest::Approx(t));
  }

  Event& last() { return events_.back(); }

  int volume = 0;
  int plan = 0;

 private:
  void fill(Event& e, int profile, int write, std::int64_t lba) const {
    e.volume = volume;
    e.plan = plan;
    e.profile = profile;
    e.write = write;
    e.lba = lba;
    e.blocks = 1;
    e.units = 1;
  }
  std::vector<Event> events_;
};

}  // namespace

TEST_CASE("a record that keeps all rules") {
  Script s;
  for (int i = 0; i < 4; ++i) s.whole(1 + i, static_cast<std::uint64_t>(i + 1), i, i);
  const Verdict v = s.judged();
  CHECK(v.kept());
  CHECK(v.all.transactions == 4);
  CHECK(v.all.in_time == 4);
}

TEST_CASE("what was tried again is counted at each layer") {
  Script s;
  s.whole(1, 1, 0, 0);
  s.sent(2, 2, 0);
  s.got(2.1, 2, 0, 0);
  s.replied(2.2, 2, 0, "full");
  s.got(2.3, 2, 0, 0, 1);
  s.answer(2.4, 2, 0, "turned_back");
  s.sent(2.5, 2, 0);  // its second try, which reached no node
  s.last().attempt = 1;
  s.answer(2.6, 2, 0, "turned_back");
  s.last().attempt = 1;
  const Verdict v = s.judged();
  CHECK(v.kept());
  CHECK(v.tries.mean == doctest::Approx(1.5));
  CHECK(v.tries.most == 2);
  CHECK(v.of_a_try.mean == doctest::Approx(1.5));
  CHECK(v.of_a_try.most == 2);
  CHECK(v.of_transaction.most == 2);
}

TEST_CASE("one answer in time: none, two, late, a lost connection, sent after it") {
  {
    Script s;
    s.sent(1, 1, 0);
    s.whole(5, 2, 0, 0);
    s.finds(Rule::kAnswers, 1, -1, 3);
  }
  {
    Script s;
    s.whole(1, 1, 0, 0);
    s.answer(1.5, 1, 0, "turned_back");
    s.finds(Rule::kAnswers, 1, -1, 1.5);
  }
  {
    Script s;
    s.sent(1, 1, 0);
    s.answer(3.2, 1, 0, "given_up");
    s.finds(Rule::kAnswers, 1, -1, 3.2);
  }
  {
    Script s;
    s.sent(1, 1, 0);
    s.add(1.5, Kind::kLost, 1);
    s.finds(Rule::kAnswers, 1, -1, 1.5);
  }
  {
    Script s;
    s.whole(1, 1, 0, 0);
    s.got(2, 1, 0, 3, 1);
    s.finds(Rule::kAnswers, 1, 3, 2);
  }
}

TEST_CASE("a killed scheduler owes nothing, one that stood still owes it when it goes on") {
  Script s;
  s.sent(1, 1, 0);
  s.add(1.5, Kind::kLost, 1);
  s.add(1.49, Kind::kKilled);
  s.add(4, Kind::kStopped);
  s.sent(4.1, 2, 0);
  s.answer(7.03, 2, 0, "given_up");
  s.add(7, Kind::kContinued);
  CHECK(s.judged().kept());
}

TEST_CASE("no effect twice: run twice, sent again, turned back, out of group, after the window") {
  {
    Script s;
    s.sent(1, 1, 2, 1);
    s.got(1.1, 1, 2, 0);
    s.replied(1.2, 1, 0, "full");
    s.got(1.3, 1, 2, 0, 1);
    s.ran(1.4, 1, 2, 0, 1);
    s.ran(1.5, 1, 2, 0, 1);
    s.answer(1.6, 1, 2, "honoured");
    s.finds(Rule::kEffects, 1, 0, 1.5);
  }
  {
    Script s;
    s.sent(1, 1, 2, 1);
    s.got(1.1, 1, 2, 0);
    s.got(1.3, 1, 2, 4, 1);
    s.answer(1.6, 1, 2, "given_up");
    s.finds(Rule::kEffects, 1, 4, 1.3);
  }
  {
    Script s;
    s.sent(1, 1, 2, 1);
    s.got(1.1, 1, 2, 0);
    s.answer(1.6, 1, 2, "turned_back");
    s.finds(Rule::kEffects, 1, 0, 1.6);
  }
  {
    Script s;
    s.sent(1, 1, 1, 1);
    s.got(1.1, 1, 1, 0);
    s.got(1.3, 1, 1, 1, 1);
    s.answer(1.6, 1, 1, "honoured");
    s.finds(Rule::kEffects, 1, 1, 1.3);
  }
  {
    Script s;
    s.sent(1, 1, 1, 1);
    s.got(1.1, 1, 1, 0);
    s.got(2.2, 1, 1, 2, 1);
    s.answer(2.6, 1, 1, "honoured");
    s.finds(Rule::kEffects, 1, 2, 2.2);
  }
}

TEST_CASE("drains: sent later than the grace after the list said so, unless it said otherwise since") {
  Script s;
  s.add(1, Kind::kTold).nodes = {0, 1};
  s.add(2, Kind::kTold).nodes = {1};
  s.whole(2.1, 1, 0, 0);
  s.whole(2.3, 2, 0, 1);
  s.add(3, Kind::kTold).nodes = {0, 1};
  s.whole(3.5, 3, 0, 0);
  CHECK(s.judged().kept());
  s.add(4, Kind::kTold).nodes = {1};
  s.whole(4.3, 4, 0, 0);
  s.finds(Rule::kDrains, 4, 0, 4.31);
}

TEST_CASE("cold nodes: a window with too much work, and a node that fell") {
  {
    Script s;
    Event& up = s.add(1, Kind::kUp, 0, 3);
    up.life = 1;
    up.frac = 1;
    for (int i = 0; i < 3; ++i) {
      const auto label = static_cast<std::uint64_t>(i + 1);
      s.sent(1.1 + 0.1 * i, label, 0);
      Event& e = s.add(1.11 + 0.1 * i, Kind::kGot, label, 3);
      e.life = 1;
      e.cost = 0.2;
      e.frac = 0.25;
      e.profile = 0;
      e.volume = e.plan = 0;
      s.answer(1.2 + 0.1 * i, label, 0, "honoured", 0, 1);
    }
    s.finds(Rule::kCold, 3, 3, 1.31);
  }
  {
    Script s;
    s.add(1, Kind::kFell, 0, 2);
    s.finds(Rule::kCold, 0, 2, 1);
  }
}

TEST_CASE(
    "order: an answer that its client read late may have come before its mark, not before it last looked") {
  const auto play = [](double since, double mark, double other_late) {
    Script s;
    s.sent(1, 1, 3);
    s.sent(1.1, 2, 3);
    s.got(1.5, 2, 3, 0);
    s.replied(1.6, 2, 0, "ok");
    s.answer(mark, 1, 3, "turned_back");
    s.last().since = since;
    s.answer(2.5, 2, 3, "honoured", 0, 1);
    s.whole(8, 3, 0, 0);
    s.last().since = s.last().t - other_late;
    return s.judged();
  };
  CHECK(play(1.4, 2.4, 0).kept());
  CHECK(play(2, 2.05, 0).breaches.size() == 1);
  CHECK(play(-1, 2, 0).breaches.size() == 1);
  const Verdict starved = play(2, 2.05, 0.3);  // elsewhere in the day an answer was read that late
  CHECK(starved.kept());
  CHECK(starved.late == doctest::Approx(0.3));
}

TEST_CASE("order: before an earlier one is over, and before the key has rested") {
  {
    Script s;
    s.sent(1, 1, 3);
    s.sent(1.1, 2, 3);
    s.got(1.2, 2, 3, 0);
    s.replied(1.3, 2, 0, "ok");
    s.answer(1.4, 2, 3, "honoured", 0, 1);
    s.answer(1.5, 1, 3, "turned_back");
    s.finds(Rule::kOrder, 2, 0, 1.2);
  }
  {
    Script s;
    s.sent(1, 1, 3);
    s.got(1.01, 1, 3, 0);
    s.answer(1.32, 1, 3, "given_up");
    s.sent(1.33, 2, 3);
    s.got(1.5, 2, 3, 0);
    s.replied(1.6, 2, 0, "ok");
    s.answer(1.61, 2, 3, "honoured", 0, 1);
    s.finds(Rule::kOrder, 2, 0, 1.5);
  }
}

TEST_CASE("budget: one further dispatch too many in a window") {
  Script s;
  for (int i = 0; i < 2; ++i) {
    const auto label = static_cast<std::uint64_t>(i + 1);
    s.sent(1 + i, label, 0);
    s.got(1.1 + i, label, 0, 0);
    s.replied(1.2 + i, label, 0, "error");
    s.got(1.3 + i, label, 0, 0, 1);
    s.replied(1.4 + i, label, 0, "ok", 1);
    s.answer(1.5 + i, label, 0, "honoured", 0, 1);
  }
  s.finds(Rule::kBudget, 2, 0, 2.3);
}

TEST_CASE("limits: more than the store and its slack hold") {
  Script s;
  s.plan = 1;
  s.volume = 4;
  for (int i = 0; i < 13; ++i) s.whole(1 + 0.001 * i, static_cast<std::uint64_t>(i + 1), 0, 0);
  s.finds(Rule::kLimits, 13, 0, 1.022);
}

TEST_CASE("bytes: an older write, a torn one, zeros after a write; what ran beside the read may be seen") {
  Script s;
  s.sent(1, 1, 0, 1, 8, 111);
  s.answer(1.1, 1, 0, "honoured", 8);
  s.sent(2, 2, 0, 1, 8, 222);
  s.sent(2.01, 3, 0, 0, 8);
  s.answer(2.05, 3, 0, "honoured", 8, 111);
  s.answer(2.1, 2, 0, "honoured", 8);
  s.sent(3, 4, 0, 0, 8);
  s.answer(3.1, 4, 0, "honoured", 8, 222);
  CHECK(s.judged().kept());
  Script old = s;
  old.sent(4, 5, 0, 0, 8);
  old.answer(4.1, 5, 0, "honoured", 8, 111);
  old.finds(Rule::kBytes, 5, -1, 4.1);
  Script zeros = s;
  zeros.sent(4, 5, 0, 0, 8);
  zeros.answer(4.1, 5, 0, "honoured", 8, 1);
  zeros.finds(Rule::kBytes, 5, -1, 4.1);
}

TEST_CASE("a record without figures, or with a broken line, is an error") {
  CHECK_THROWS_AS(judge({}), std::runtime_error);
  Event e;
  std::string reason;
  CHECK_FALSE(Event::parse("{\"t\":1,\"kind\":\"sen\"}", e, reason));
  CHECK(reason == "unknown kind sen");
  CHECK_FALSE(Event::parse("nonsense", e, reason));
}
