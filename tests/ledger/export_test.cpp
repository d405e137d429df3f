// The export protocol in every order of crash, loss, repeat and delay to a depth: the real machines of both
// ends.
#include "ledger/export.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <set>
#include <vector>

using namespace heronworks::ledger;

namespace {

constexpr std::uint64_t kSize = 2;  // bytes; pieces of one byte here, so that there are two

struct Message {
  enum Kind { kOffer, kPiece, kDone, kWant, kStored } kind;
  std::uint64_t offset = 0;
  auto operator<=>(const Message&) const = default;
};

enum class Mutant { kNone, kStoresAgain, kCommitsEarly };

// Both ends, what each keeps over a crash, and the messages on their way.
struct World {
  Sender sender{kSize, "d", false, false, 3};
  Receipt receipt{false};
  bool sender_up = true;
  bool connected = false;
  bool intended = false;    // durable
  bool committed = false;   // durable
  bool intent_out = false;  // being written
  bool commit_out = false;
  bool store_out = false;
  int stores = 0;        // durable effects at the receiver
  std::string received;  // not durable
  bool finished = false;
  std::deque<Message> there;  // to the receiver
  std::deque<Message> back;
  int sender_crashes = 0;
  int receiver_crashes = 0;
  int losses = 0;
  int repeats = 0;
  auto operator<=>(const World&) const = default;
};

struct Ends final : SenderHost, ReceiverHost {
  Ends(World& w, Mutant m) : world(w), mutant(m) {}
  World& world;
  Mutant mutant;
  void write_intent() override { world.intent_out = true; }
  void connect() override {
    world.connected = true;
    world.there.clear();
    world.back.clear();
    world.sender.connected(*this);
  }
  void send_offer() override { world.there.push_back({Message::kOffer}); }
  void send_piece(std::uint64_t offset, std::uint64_t) override {
    world.there.push_back({Message::kPiece, offset});
  }
  void send_done() override {
    world.there.push_back({Message::kDone});
    if (mutant == Mutant::kCommitsEarly) world.commit_out = true;
  }
  void write_commit() override { world.commit_out = true; }
  void finished(bool, const char*) override { world.finished = true; }
  void take(std::uint64_t offset, const std::string& bytes) override {
    world.received.replace(offset, std::string::npos, bytes);
  }
  void drop() override { world.received.clear(); }
  void store() override { world.store_out = true; }
  void say_want(std::uint64_t offset) override { world.back.push_back({Message::kWant, offset}); }
  void say_stored() override { world.back.push_back({Message::kStored}); }
  void say_refused(const char*) override {}
};

struct Search {
  Mutant mutant = Mutant::kNone;
  std::set<World> seen;
  std::string wrong;
  bool delivered = false;

  void check(const World& w) {
    if (w.stores > 1) wrong = "stored twice";
    if (w.committed && w.stores == 0) wrong = "committed and not stored";
    if (w.committed && w.finished) delivered = true;
  }

  // Every next step that may happen.
  std::vector<World> steps(const World& w) {
    std::vector<World> out;
    const auto step = [&](auto change) {
      World n = w;
      Ends ends(n, mutant);
      change(n, ends);
      out.push_back(std::move(n));
    };
    const auto to_receiver = [](World& n, Ends& e, const Message& m) {
      if (m.kind == Message::kOffer) n.receipt.offered(e, kSize);
      if (m.kind == Message::kPiece)
        n.receipt.piece(e, m.offset, std::string(1, static_cast<char>('a' + m.offset)));
      if (m.kind == Message::kDone) n.receipt.done(e, n.received == "ab");
    };
    if (w.sender_up && w.intent_out)
      step([](World& n, Ends& e) {
        n.intent_out = false;
        n.intended = true;
        n.sender.intent_written(e);
      });
    if (w.sender_up && w.commit_out)
      step([](World& n, Ends& e) {
        n.commit_out = false;
        n.committed = true;
        n.sender.commit_written(e);
      });
    if (w.store_out)
      step([](World& n, Ends& e) {
        n.store_out = false;
        ++n.stores;
        n.receipt.stored(e);
      });
    if (w.connected && !w.there.empty() && !w.store_out) {
      step([&](World& n, Ends& e) {
        const Message m = n.there.front();
        n.there.pop_front();
        to_receiver(n, e, m);
      });
      if (w.repeats < 1)  // answers or hears twice
        step([&](World& n, Ends& e) {
          ++n.repeats;
          to_receiver(n, e, n.there.front());
        });
    }
    if (w.sender_up && w.connected && !w.back.empty() && !w.intent_out) {
      const auto hear = [](World& n, Ends& e, const Message& m) {
        if (m.kind == Message::kWant) n.sender.want(e, m.offset);
        if (m.kind == Message::kStored) n.sender.stored(e, "d");
      };
      step([&](World& n, Ends& e) {
        const Message m = n.back.front();
        n.back.pop_front();
        hear(n, e, m);
      });
      if (w.repeats < 1)
        step([&](World& n, Ends& e) {
          ++n.repeats;
          hear(n, e, n.back.front());
        });
    }
    if (w.sender_up && w.connected && w.losses < 2)  // the connection, with all that is on its way
      step([](World& n, Ends& e) {
        ++n.losses;
        n.connected = false;
        n.there.clear();
        n.back.clear();
        n.sender.lost(e);
      });
    if (w.sender_up && w.sender_crashes < 2)  // what was being written may have become durable or not
      for (const bool written : {false, true}) {
        if (written && !w.intent_out && !w.commit_out) continue;
        step([&](World& n, Ends&) {
          ++n.sender_crashes;
          if (written && n.intent_out) n.intended = true;
          if (written && n.commit_out) n.committed = true;
          n.sender_up = n.connected = n.intent_out = n.commit_out = false;
        });
      }
    if (!w.sender_up)
      step([](World& n, Ends& e) {
        n.sender_up = true;
        n.finished = false;
        n.sender = Sender(kSize, "d", n.intended, n.committed, 3);
        n.sender.start(e);
      });
    if (w.receiver_crashes < 2)
      for (const bool written : {false, true}) {
        if (written && !w.store_out) continue;
        step([&](World& n, Ends& e) {
          ++n.receiver_crashes;
          if (written) ++n.stores;
          n.store_out = false;
          n.received.clear();
          n.receipt = Receipt(mutant == Mutant::kStoresAgain ? false : n.stores > 0);
          if (n.connected) {
            n.connected = false;
            n.there.clear();
            n.back.clear();
            if (n.sender_up) n.sender.lost(e);
          }
        });
      }
    return out;
  }

  void run() {
    World first;
    Ends ends(first, mutant);
    first.sender.start(ends);
    std::deque<World> open{first};
    seen.insert(first);
    while (!open.empty() && wrong.empty()) {
      const World w = std::move(open.front());
      open.pop_front();
      check(w);
      for (World& n : steps(w)) {
        if (seen.insert(n).second) open.push_back(std::move(n));
      }
    }
  }
};

}  // namespace

TEST_CASE(
    "export: stored once and committed only then, in every order of two crashes of each end, two losses, a "
    "repeat") {
  Search s;
  s.run();
  INFO(s.wrong);
  CHECK(s.wrong.empty());
  CHECK(s.delivered);
  CHECK(s.seen.size() > 10000);  // the whole of it, not a part
  MESSAGE(s.seen.size() << " states");
}

TEST_CASE("export: seeded mutants are found") {
  for (const Mutant m : {Mutant::kStoresAgain, Mutant::kCommitsEarly}) {
    Search s;
    s.mutant = m;
    s.run();
    CHECK_FALSE(s.wrong.empty());
  }
}
