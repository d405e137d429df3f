#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "stage.h"

using namespace heronworks;

TEST_CASE("the bound: four may be out at an unheard node, the most pressing of the rest follows") {
  Stage s(plain_settings());
  for (int i = 0; i < 6; ++i) s.land(i, i == 5 ? 2 : 0, 2, 0, i);
  s.until(100.05);
  s.reply(1, Outcome::kSucceeded);
  s.until(100.06);
  s.reply(0, Outcome::kSucceeded);
  CHECK(s.matches("bound"));
}

TEST_CASE("parts of the bound: work worth a quarter a unit has half of it") {
  Settings settings = plain_settings();
  settings.profiles[1].benefit = 0.25;
  Stage s(settings);
  s.until(102);  // the slices of the reservation are filled
  for (int i = 0; i < 8; ++i) s.land(i, i < 4 ? 1 : 0, 1, 0, i);
  CHECK(s.matches("parts"));
}

TEST_CASE("gears: a volume over its cap is held at a loaded node, never below its reservation") {
  Stage s(plain_settings());
  int id = 0;
  for (int second = 0; second < 9; ++second) {
    const bool calm = second < 4;
    const bool surge = second >= 8;
    s.say(surge ? "another volume surges" : calm ? "calm" : "loaded");
    for (int i = 0; i < (surge ? 14 : 3); ++i, ++id) {
      s.until(100 + second + i * 0.06);
      s.land(id, 0, surge ? 2 : 1, 0, surge ? 1 : 0);
      s.until(100 + second + i * 0.06 + 0.04);
      s.reply_all(Outcome::kSucceeded, calm ? 0.004 : 0.1);
    }
    s.until(101 + second);
  }
  CHECK(s.matches("gears"));
}

TEST_CASE("answers: every transaction gets one, in time") {
  Stage s(plain_settings(), {listed(0)});
  s.say("no node for the shard");
  s.land(0, 0, 2, 5);
  s.land(1, 2, 2, 5);
  s.until(100.5);
  s.say("the time-out at the cut-off is not final; a late outcome and a client that left do no harm");
  s.land(2, 0);
  s.land(3, 2);
  s.until(101);
  s.abandon(3);
  s.until(102.5);
  s.reply(2, Outcome::kTimedOut);
  s.reply(3, Outcome::kSucceeded, 2.0, true);
  s.until(104);
  CHECK(s.matches("answers"));
}

TEST_CASE("effects: only what is proved not to have run, or may run again, is sent again or turned back") {
  Stage s(plain_settings());
  s.say("redoable, labelled, irreversible: an error");
  for (int i = 0; i < 3; ++i) s.land(i, i);
  for (int i = 0; i < 3; ++i) s.reply(i, Outcome::kError);
  s.until(100.1);
  s.say("the labelled one again, after its window");
  s.until(100.6);
  s.reply(1, Outcome::kError);
  s.until(100.7);
  s.say("irreversible, rejected unseen");
  s.land(4, 2);
  s.reply(4, Outcome::kQueueFull);
  s.until(100.8);
  s.reply(4, Outcome::kQueueFull);
  s.until(101.5);
  CHECK(s.matches("effects"));
}

TEST_CASE("drains: nothing held goes to a node that drains; its replacement takes over") {
  Stage s(plain_settings());
  for (int i = 0; i < 5; ++i) s.land(i);
  s.news(UpdateKind::kDelta, {listed(0, 0, NodeState::kDraining)});
  s.until(100.05);
  s.reply(0, Outcome::kSucceeded);
  s.until(100.1);
  s.say("a new node holds the shard");
  s.news(UpdateKind::kDelta, {listed(0, 2)});
  s.until(101);
  CHECK(s.matches("drains"));
}

Settings cold_settings() {
  Settings settings = plain_settings();
  settings.has_slow_start = true;
  settings.safe_start_units = 8;
  settings.initial_capacity_share = 0.2;
  settings.warmup_time = 10;
  settings.overload_window = 1;
  settings.overload_multiple = settings.mean_transaction_units = 2;
  return settings;
}

TEST_CASE("cold nodes: by turns first, then each its part") {
  Settings settings = cold_settings();
  settings.scheduler_index = 1;
  Stage s(settings, {listed(0, 0, NodeState::kReady, 100)});
  for (int i = 0; i < 40; ++i) {
    s.until(100 + i * 0.3);
    s.land(i, 0, 4);
    s.until(100 + i * 0.3 + 0.1);
    s.reply_all(Outcome::kSucceeded);
  }
  CHECK(s.matches("cold"));
}

TEST_CASE("cold nodes: what many schedulers were served there before goes on, in a part that grows") {
  Settings settings = cold_settings();
  settings.scheduler_count = 100;
  settings.scheduler_index = 99;
  Stage s(settings);
  for (int i = 0; i < 17; ++i) {
    s.until(101 + i);
    if (i == 6) s.news(UpdateKind::kDelta, {listed(0, 0, NodeState::kReady, 107)});
    s.land(i);
    s.until(101.1 + i);
    s.reply_all(Outcome::kSucceeded);
  }
  CHECK(s.matches("usual"));
}

TEST_CASE("order: one at a time for a key, rested after a time-out") {
  Settings settings = plain_settings();
  settings.key_quiet_time = 0.2;
  Stage s(settings);
  for (int i = 0; i < 3; ++i) s.land(i, 3);
  s.land(3, 3, 2, 0, 0, 9);
  s.until(100.02);
  s.reply(0, Outcome::kReset);
  s.until(100.3);
  s.reply(0, Outcome::kSucceeded);
  s.reply(1, Outcome::kSucceeded);
  s.until(101);
  CHECK(s.matches("order"));
}

TEST_CASE("budget: further dispatches in any window stay within what is stated") {
  Settings settings = plain_settings();
  settings.has_retry_budget = true;
  settings.retry_budget_base = 1;
  settings.retry_budget_ratio = 0.25;
  settings.retry_budget_window = 5;
  Stage s(settings);
  for (int i = 0; i < 8; ++i) {
    s.until(100 + i * 0.2);
    s.land(i);
    s.reply(i, Outcome::kConnectFailed);
    s.until(100 + i * 0.2 + 0.1);
    s.reply(i, Outcome::kSucceeded);
  }
  CHECK(s.matches("budget"));
}

TEST_CASE("limits: a slice that starts empty, fills with its part of the limit and is taken once") {
  Settings settings = plain_settings();
  settings.plans[0].limit = 20;
  settings.plans[0].burst = 32;
  Stage s(settings);
  s.land(0, 0, 4);
  s.until(100.39);
  s.land(1, 0, 1);
  s.until(100.6);
  s.reply(1, Outcome::kQueueFull);
  s.until(100.7);
  s.reply(1, Outcome::kSucceeded);
  s.until(105);
  s.say("full");
  for (int i = 2; i < 8; ++i) s.land(i, 0, 4, i % 2);
  s.until(106);
  CHECK(s.matches("limits"));
}

// Seen on a day on which a zone is cut off for 6 s: attempts that could not reach their nodes did so
// together.
TEST_CASE("limits: units count from the first dispatch until they came to a node, whenever that was") {
  Settings settings = plain_settings();
  settings.plans[0].limit = 20;
  settings.plans[0].burst = 16;  // 8 units are this slice
  settings.profiles[0].target_latency = 3;
  settings.profiles[0].deadline = 4;
  Stage s(settings);
  s.until(105);
  s.say("full: two go, and nothing is heard of them");
  for (int i = 0; i < 8; ++i) s.land(i, 0, 4, i % 2, 0, 1, 4);
  s.until(106);
  s.say("one never reached its node, and goes again as what it is");
  s.reply(0, Outcome::kConnectFailed, 1);
  s.until(106.3);
  s.say("one ended that may have come: its units are taken, and come back by and by");
  s.reply(1, Outcome::kTimedOut, 1.3);
  s.until(106.6);
  s.say("the first has come, late");
  s.reply(0, Outcome::kSucceeded, 0.5);
  s.until(108);
  CHECK(s.matches("late-units"));
}

TEST_CASE("the list: a failed call is made again, ever more slowly") {
  Settings settings = plain_settings();
  settings.requests_endpoint_list = true;
  Stage s(settings);
  for (int i = 0; i < 5; ++i) {
    s.news(UpdateKind::kFailed);
    s.until(103 + 5 * i);
  }
  s.news(UpdateKind::kDelta);
  s.until(200);
  CHECK(s.matches("list"));
}

TEST_CASE("silence: a node that answers nothing is tried now and then, and is back with its answers") {
  Stage s(plain_settings());
  for (int i = 0; i < 14; ++i) {
    s.until(100 + i * 0.5);
    if (i == 8) s.say("answers");
    s.reply(i - 1, i < 8 ? Outcome::kTimedOut : Outcome::kSucceeded, i < 8 ? 0.4 : 0.05);
    s.land(i);
  }
  s.until(108);
  CHECK(s.matches("silence"));
}

TEST_CASE(
    "restart of a node between two looks at its latency: what waits for it still gets an answer in time") {
  Stage s(plain_settings());
  for (int i = 0; i < 3; ++i) s.land(i);
  s.reply_all(Outcome::kSucceeded);
  s.news(UpdateKind::kDelta, {listed(0, 0, NodeState::kReady, 100)});
  s.until(101.5);
  for (int i = 3; i < 9; ++i) s.land(i);
  s.until(104);
  CHECK(s.matches("restart"));
}

TEST_CASE("hurry: little time left is a client in a hurry, unless it is the repeat of what was turned back") {
  Stage s(plain_settings(), {listed(0)});
  s.land(0, 0, 2, 5, 0, 1);
  s.until(100.5);
  s.say("its repeat, a node at hand by now");
  s.news(UpdateKind::kDelta, {listed(5)});
  for (int i = 1; i < 5; ++i) s.land(i, 0, 2, 5, 0, 2);
  s.land(5, 0, 2, 5, 0, 1, 1.5);
  s.until(100.6);
  s.say("in a hurry, with the same time left");
  s.land(6, 0, 2, 5, 0, 3, 1.4);
  s.reply_all(Outcome::kSucceeded);
  s.until(102);
  CHECK(s.matches("hurry"));
}

TEST_CASE(
    "patience: clients that leave early shorten the contract time; what they left keeps it on its return") {
  Stage s(plain_settings(), {listed(0)});
  for (int i = 0; i < 12; ++i) {
    s.until(100 + i * 0.05);
    s.land(i, 0, 2, 5, 0, 100 + i);
    if (i >= 2) s.abandon(i - 2);
  }
  s.say("waits as long as the others did");
  s.land(12, 0, 2, 5, 0, 200);
  s.until(103);
  s.say("a while later: longer");
  s.land(13, 0, 2, 5, 0, 201);
  s.until(105);
  CHECK(s.matches("patience"));
}

TEST_CASE("patience: the few that leave at once among many that stay shorten nobody's contract time") {
  Stage s(plain_settings(), {listed(0)});
  for (int i = 0; i < 40; ++i) {
    s.until(100 + i * 0.01);
    s.land(i, 0, 1, i % 5 == 4 ? 5 : 0);  // a fifth waits for a shard without a node, and leaves
    if (i % 5 == 4) s.abandon(i);
    else s.reply(i, Outcome::kSucceeded, 0.005);
  }
  s.quiet();
  s.land(50, 0, 1, 5, 0, 200);
  s.until(101);
  CHECK(s.matches("stayed"));
}

TEST_CASE("a time-out that stands alone among good replies does not shut its node; a run of them does") {
  Settings settings = plain_settings();
  settings.plans[0].reservation = settings.plans[0].usual_rate = 1000;
  Stage s(settings, {listed(0)});
  const auto replies = [&](int from, const std::vector<bool>& good) {
    for (std::size_t i = 0; i < good.size(); ++i) {
      const int id = from + static_cast<int>(i);
      s.land(id);
      s.until(s.now() + 0.02);
      s.reply(id, good[i] ? Outcome::kSucceeded : Outcome::kTimedOut, good[i] ? 0.02 : 0.8);
    }
  };
  replies(0, std::vector<bool>(60, true));
  replies(60, {false, true, false, true});
  s.quiet();
  s.say("after two that stood alone");
  replies(70, {true});
  replies(80, {false, false, false, false});
  s.say("after four in a row");
  replies(90, {true});
  CHECK(s.matches("alone"));
}

TEST_CASE("a volume whose index was another's begins anew: nothing spent, nobody's patience") {
  Settings settings = plain_settings();
  settings.plans[0].limit = 8;
  settings.plans[0].burst = 8;
  Stage s(settings, {listed(0)});
  s.until(110);  // its slice of the limit is full
  for (int i = 0; i < 2; ++i) {
    s.land(i);
    s.reply(i, Outcome::kSucceeded);
  }
  for (int i = 10; i < 20; ++i) {  // and its clients leave at once
    s.land(i, 0, 2, 5);
    s.abandon(i);
  }
  s.until(110.2);
  s.quiet();
  s.say("the same volume: nothing left for it");
  s.land(30);
  s.until(110.3);
  s.say("another");
  s.land(31, 0, 2, 0, 0, 7, 2, true);
  s.reply(31, Outcome::kSucceeded);
  s.land(32, 0, 2, 5, 0, 8);
  s.until(111);
  CHECK(s.matches("fresh"));
}

TEST_CASE("a tenant that lands and leaves at once shortens nobody else's contract time") {
  Stage s(plain_settings(), {listed(0)});
  for (int i = 0; i < 40; ++i) {
    s.land(i, 0, 2, 5, 1, static_cast<std::uint64_t>(100 + i));
    s.abandon(i);
  }
  s.say("another volume, no node for its shard: it waits for its contract time");
  s.land(50, 0, 2, 5, 0, 200);
  s.until(101);
  CHECK(s.matches("leaving"));
}

TEST_CASE("a tenant whose transactions bring too little time makes no node look bad to others") {
  Stage s(plain_settings(), {listed(0), listed(1)});
  for (int i = 0; i < 40; ++i) {
    s.land(i, 0, 2, 0, 1, static_cast<std::uint64_t>(100 + i), 0.08);
    s.until(100 + (i + 1) * 0.08);
    s.reply(i, Outcome::kTimedOut, 0.08);
  }
  s.until(103.4);
  s.say("another volume, at both nodes: all go out at once");
  for (int i = 50; i < 58; ++i) s.land(i, 0, 2, i % 2, 0, static_cast<std::uint64_t>(i));
  s.until(103.5);
  s.reply_all(Outcome::kSucceeded);
  s.until(105);
  CHECK(s.matches("hurried"));
}

TEST_CASE("a crowd: time-outs spread what one of many schedulers sends, a quick reply ends it") {
  Settings settings = plain_settings();
  settings.scheduler_count = 100;
  Stage s(settings);
  for (int i = 0; i < 16; ++i) {
    s.until(101 + i);
    s.land(i);
    s.until(101.4 + i);
    if (i == 11) s.say("quick from here");
    s.reply(i, i < 11 ? Outcome::kTimedOut : Outcome::kSucceeded, i < 11 ? 0.4 : 0.02);
  }
  CHECK(s.matches("crowd"));
}

TEST_CASE("a stall: the age of what came meanwhile is known, and the best of it goes first") {
  Stage s(plain_settings());
  s.until(101);
  s.land(0);
  s.stall_until(101.8);
  s.reply(0, Outcome::kSucceeded, 0.8);
  s.land(1, 0, 2, 0, 0, 1, 1.3);
  s.land(2, 0, 2, 0, 0, 1, 1.7);
  for (int i = 3; i < 8; ++i) s.land(i, i < 7 ? 0 : 2, 2, 0, i, 1, 1.9);
  s.until(102.5);
  CHECK(s.matches("stall"));
}

TEST_CASE("an index that another node has now: what was learned of the one before is void") {
  Stage s(plain_settings());
  int id = 0;
  s.say("a node that answers late: one at a time");
  for (int i = 0; i < 6; ++i) {
    s.land(id++);
    s.until(100 + 0.39 * (i + 1));
    s.reply_all(Outcome::kSucceeded, 0.39);
  }
  for (int i = 0; i < 3; ++i) s.land(id++);
  s.until(103);
  s.reply_all(Outcome::kSucceeded, 0.39);
  s.say("another in its place: as many as at any unheard node");
  NodeEntry e = listed(0);
  e.index_reused = true;
  s.news(UpdateKind::kSnapshot, {e, listed(1)});
  for (int i = 0; i < 5; ++i) s.land(id++, 0, 2, 0, 1);
  CHECK(s.matches("replaced"));
}
