// Exhaustive state search of the export protocol: the state machines of sender and receiver under crashes,
// lost connections, repeated and delayed messages.
#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "ledger/export_protocol.h"

using namespace heronworks::ledger;

namespace {

constexpr std::uint64_t kSize = 2;  // bytes; the simulated sender sends pieces of one byte

struct Message {
  enum Kind { kOffer, kPiece, kDone, kWant, kStored } kind;
  std::uint64_t offset = 0;
  auto operator<=>(const Message&) const = default;
};

enum class InjectedBug { kNone, kStoresTwice, kCommitsBeforeStored };

// Sender and receiver, what is durable at each, and the messages in transit.
struct SystemState {
  ExportSender sender{kSize, "d", false, false, 3};
  ExportReceiver receiver{false};
  bool sender_up = true;
  bool connected = false;
  bool intent_durable = false;
  bool commit_durable = false;
  bool intent_pending = false;  // being written, like the other two
  bool commit_pending = false;
  bool store_pending = false;
  int store_count = 0;   // durable, at the receiver
  std::string received;  // lost in a crash
  bool finished = false;
  std::deque<Message> to_receiver;
  std::deque<Message> to_sender;
  int sender_crashes = 0;
  int receiver_crashes = 0;
  int connection_losses = 0;
  int repeated_messages = 0;
  auto operator<=>(const SystemState&) const = default;
};

struct SimulatedHosts final : ExportSenderHost, ExportReceiverHost {
  SimulatedHosts(SystemState& system, InjectedBug injected) : state(system), bug(injected) {}
  SystemState& state;
  InjectedBug bug;
  void write_intent() override { state.intent_pending = true; }
  void connect() override {
    state.connected = true;
    state.to_receiver.clear();
    state.to_sender.clear();
    state.sender.on_connected(*this);
  }
  void send_offer() override { state.to_receiver.push_back({Message::kOffer}); }
  void send_piece(std::uint64_t offset, std::uint64_t) override {
    state.to_receiver.push_back({Message::kPiece, offset});
  }
  void send_done() override {
    state.to_receiver.push_back({Message::kDone});
    if (bug == InjectedBug::kCommitsBeforeStored) state.commit_pending = true;
  }
  void write_commit() override { state.commit_pending = true; }
  void on_finished(bool, const char*) override { state.finished = true; }
  void append_received(std::uint64_t offset, const std::string& bytes) override {
    state.received.replace(offset, std::string::npos, bytes);
  }
  void discard_received() override { state.received.clear(); }
  void store_received() override { state.store_pending = true; }
  void send_want(std::uint64_t offset) override { state.to_sender.push_back({Message::kWant, offset}); }
  void send_stored() override { state.to_sender.push_back({Message::kStored}); }
  void send_refused(const char*) override {}
};

struct StateSearch {
  InjectedBug bug = InjectedBug::kNone;
  std::set<SystemState> seen;
  std::string violation;
  bool completed = false;

  void check(const SystemState& state) {
    if (state.store_count > 1) violation = "stored twice";
    if (state.commit_durable && state.store_count == 0) violation = "committed but not stored";
    if (state.commit_durable && state.finished) completed = true;
  }

  // The states after each possible next event.
  std::vector<SystemState> next_states(const SystemState& state) {
    std::vector<SystemState> out;
    const auto step = [&](auto change) {
      SystemState next = state;
      SimulatedHosts hosts(next, bug);
      change(next, hosts);
      out.push_back(std::move(next));
    };
    const auto deliver_to_receiver = [](SystemState& next, SimulatedHosts& hosts, const Message& message) {
      if (message.kind == Message::kOffer) next.receiver.on_offer(hosts, kSize);
      if (message.kind == Message::kPiece)
        next.receiver.on_piece(hosts, message.offset,
                               std::string(1, static_cast<char>('a' + message.offset)));
      if (message.kind == Message::kDone) next.receiver.on_done(hosts, next.received == "ab");
    };
    if (state.sender_up && state.intent_pending)
      step([](SystemState& next, SimulatedHosts& hosts) {
        next.intent_pending = false;
        next.intent_durable = true;
        next.sender.on_intent_durable(hosts);
      });
    if (state.sender_up && state.commit_pending)
      step([](SystemState& next, SimulatedHosts& hosts) {
        next.commit_pending = false;
        next.commit_durable = true;
        next.sender.on_commit_durable(hosts);
      });
    if (state.store_pending)
      step([](SystemState& next, SimulatedHosts& hosts) {
        next.store_pending = false;
        ++next.store_count;
        next.receiver.on_stored(hosts);
      });
    if (state.connected && !state.to_receiver.empty() && !state.store_pending) {
      step([&](SystemState& next, SimulatedHosts& hosts) {
        const Message message = next.to_receiver.front();
        next.to_receiver.pop_front();
        deliver_to_receiver(next, hosts, message);
      });
      if (state.repeated_messages < 1)  // a message is processed twice
        step([&](SystemState& next, SimulatedHosts& hosts) {
          ++next.repeated_messages;
          deliver_to_receiver(next, hosts, next.to_receiver.front());
        });
    }
    if (state.sender_up && state.connected && !state.to_sender.empty() && !state.intent_pending) {
      const auto deliver_to_sender = [](SystemState& next, SimulatedHosts& hosts, const Message& message) {
        if (message.kind == Message::kWant) next.sender.on_want(hosts, message.offset);
        if (message.kind == Message::kStored) next.sender.on_stored(hosts, "d");
      };
      step([&](SystemState& next, SimulatedHosts& hosts) {
        const Message message = next.to_sender.front();
        next.to_sender.pop_front();
        deliver_to_sender(next, hosts, message);
      });
      if (state.repeated_messages < 1)
        step([&](SystemState& next, SimulatedHosts& hosts) {
          ++next.repeated_messages;
          deliver_to_sender(next, hosts, next.to_sender.front());
        });
    }
    // The connection is lost with all messages in transit.
    if (state.sender_up && state.connected && state.connection_losses < 2)
      step([](SystemState& next, SimulatedHosts& hosts) {
        ++next.connection_losses;
        next.connected = false;
        next.to_receiver.clear();
        next.to_sender.clear();
        next.sender.on_connection_lost(hosts);
      });
    if (state.sender_up && state.sender_crashes < 2)  // a pending write may have become durable or not
      for (const bool written : {false, true}) {
        if (written && !state.intent_pending && !state.commit_pending) continue;
        step([&](SystemState& next, SimulatedHosts&) {
          ++next.sender_crashes;
          if (written && next.intent_pending) next.intent_durable = true;
          if (written && next.commit_pending) next.commit_durable = true;
          next.sender_up = next.connected = next.intent_pending = next.commit_pending = false;
        });
      }
    if (!state.sender_up)
      step([](SystemState& next, SimulatedHosts& hosts) {
        next.sender_up = true;
        next.finished = false;
        next.sender = ExportSender(kSize, "d", next.intent_durable, next.commit_durable, 3);
        next.sender.start(hosts);
      });
    if (state.receiver_crashes < 2)
      for (const bool written : {false, true}) {
        if (written && !state.store_pending) continue;
        step([&](SystemState& next, SimulatedHosts& hosts) {
          ++next.receiver_crashes;
          if (written) ++next.store_count;
          next.store_pending = false;
          next.received.clear();
          next.receiver = ExportReceiver(bug == InjectedBug::kStoresTwice ? false : next.store_count > 0);
          if (next.connected) {
            next.connected = false;
            next.to_receiver.clear();
            next.to_sender.clear();
            if (next.sender_up) next.sender.on_connection_lost(hosts);
          }
        });
      }
    return out;
  }

  void run() {
    SystemState initial;
    SimulatedHosts hosts(initial, bug);
    initial.sender.start(hosts);
    std::deque<SystemState> frontier{initial};
    seen.insert(initial);
    while (!frontier.empty() && violation.empty()) {
      const SystemState state = std::move(frontier.front());
      frontier.pop_front();
      check(state);
      for (SystemState& next : next_states(state)) {
        if (seen.insert(next).second) frontier.push_back(std::move(next));
      }
    }
  }
};

}  // namespace

TEST_CASE(
    "export: stored once and committed only after that, in every order of two crashes of each side, two lost "
    "connections and a repeated message") {
  StateSearch search;
  search.run();
  INFO(search.violation);
  CHECK(search.violation.empty());
  CHECK(search.completed);
  CHECK(search.seen.size() > 10000);  // guards against a search that ends early
  MESSAGE(search.seen.size() << " states");
}

TEST_CASE("export: the search finds injected bugs") {
  for (const InjectedBug bug : {InjectedBug::kStoresTwice, InjectedBug::kCommitsBeforeStored}) {
    StateSearch search;
    search.bug = bug;
    search.run();
    CHECK_FALSE(search.violation.empty());
  }
}
