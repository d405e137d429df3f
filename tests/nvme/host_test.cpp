// The host and a node link against a controller that sends PDUs twice, late, truncated or for unknown command
// identifiers: each dispatch must end exactly once, with the right outcome.
#include <doctest/doctest.h>

#include <map>

#include "gateway/list_watch.h"
#include "gateway/node_link.h"

using namespace heronworks;
using namespace heronworks::nvme;

namespace {

constexpr std::uint32_t kMaxPduSize = 1 << 22;
constexpr std::uint32_t kBlockSize = 4096;  // bytes
constexpr double kWaitTimeout = 20;         // s

// A controller that accepts hosts, records their I/O commands and sends only the PDUs that the test asks for.
class ScriptedController final {
 public:
  explicit ScriptedController(Loop& loop) : loop_(loop) {
    Fd fd = listen_on({"127.0.0.1", 0});
    address = local_address(fd.get());
    listener_ = std::make_unique<Listener>(loop, std::move(fd), [this](Fd accepted) {
      connections.push_back(std::make_unique<Connection>(*this, std::move(accepted)));
    });
  }
  struct Connection final : StreamHandler {
    Connection(ScriptedController& scripted, Fd fd)
        : controller(scripted),
          parser(Role::kController, kMaxPduSize),
          stream(scripted.loop_, std::move(fd), *this) {}
    std::size_t on_received(ByteView bytes) override {
      std::size_t consumed = 0;
      while (true) {
        std::size_t pdu_size = 0;
        std::optional<FatalError> error;
        const auto pdu = parser.parse(bytes.subspan(consumed), pdu_size, error);
        if (!pdu) return consumed;
        controller.handle_pdu(*this, *pdu);
        consumed += pdu_size;
      }
    }
    void on_closed(const std::string&) override { connection_lost = true; }
    void send_pdu(PduType type, auto pdu, ByteView data = {}) {
      pdu.header.type = static_cast<std::uint8_t>(type);
      append_pdu(stream.write_buffer(), bytes_of(pdu), data, {});
      stream.flush();
    }
    void send_completion(std::uint16_t cid, Status status = status::kOk, std::uint32_t dw0 = 0) {
      CapsuleResp response;
      response.cqe.cid = cid;
      response.cqe.dw0 = dw0;
      response.cqe.status = status.to_field();
      send_pdu(PduType::kCapsuleResp, response);
    }
    void send_data(std::uint16_t cid, std::size_t length, std::uint32_t offset = 0,
                   std::uint8_t flags = kFlagLastPdu) {
      DataPdu c2h_data;
      c2h_data.header.flags = flags;
      c2h_data.cid = cid;
      c2h_data.offset = offset;
      c2h_data.length = static_cast<std::uint32_t>(length);
      const Bytes bytes(length, 0x5a);
      send_pdu(PduType::kC2hData, c2h_data, bytes);
    }
    void send_r2t(std::uint16_t cid, std::uint32_t offset, std::uint32_t length) {
      DataPdu r2t;
      r2t.cid = cid;
      r2t.ttag = cid;
      r2t.offset = offset;
      r2t.length = length;
      send_pdu(PduType::kR2t, r2t);
    }
    ScriptedController& controller;
    PduParser parser;
    Stream stream;
    bool is_io_queue = false;
    bool connection_lost = false;
    std::vector<Sqe> io_commands;
    std::size_t h2c_data_received = 0;  // bytes
  };

  // The open connection of the I/O queue, or null.
  Connection* io() {
    for (auto& connection : connections) {
      if (connection->is_io_queue && !connection->connection_lost) return connection.get();
    }
    return nullptr;
  }

  std::vector<std::unique_ptr<Connection>> connections;
  // Called for each admin command; returns whether it has answered the command itself.
  std::function<bool(Connection&, const Sqe&)> handle_admin;
  Address address;

 private:
  void handle_pdu(Connection& connection, const Pdu& pdu) {
    const auto type = static_cast<PduType>(pdu.header.type);
    if (type == PduType::kIcReq) {
      InitConnection ic_resp;
      ic_resp.maxr2t_or_maxh2cdata = 1 << 20;
      return connection.send_pdu(PduType::kIcResp, ic_resp);
    }
    if (type == PduType::kH2cData) connection.h2c_data_received += pdu.data.size();
    if (type != PduType::kCapsuleCmd) return;
    const Sqe sqe = read_as<CapsuleCmd>(pdu.header_bytes).sqe;
    if (sqe.opcode == opcode::kFabrics && sqe.fabrics_type() == fabrics::kConnect)
      connection.is_io_queue = sqe.cdw10 >> 16 != 0;
    if (connection.is_io_queue && sqe.opcode != opcode::kFabrics)
      return connection.io_commands.push_back(sqe);
    if (handle_admin && handle_admin(connection, sqe)) return;
    if (sqe.opcode == opcode::kIdentify) {
      Bytes page(kIdentifyDataSize);
      page[identify_offset::kIoccsz] = 4;  // no in-capsule data
      DataPdu c2h_data;
      c2h_data.header.flags = kFlagLastPdu;
      c2h_data.cid = sqe.cid;
      c2h_data.length = kIdentifyDataSize;
      connection.send_pdu(PduType::kC2hData, c2h_data, page);
    }
    connection.send_completion(sqe.cid, status::kOk, kCstsReady);
  }
  Loop& loop_;
  std::unique_ptr<Listener> listener_;
};

// Records how dispatches ended, each exactly once, and the events of the link.
struct RecordingLinkOwner final : gateway::NodeLinkOwner {
  void ended(int, const gateway::Dispatch& dispatch, Outcome outcome, Completion&&) override {
    CHECK_FALSE(outcomes.contains(dispatch.transaction));
    outcomes[dispatch.transaction] = outcome;
  }
  void link_changed(int, const char* event, const std::string& reason) override {
    link_events += std::string(event) + " " + reason + "\n";
  }
  std::map<int, Outcome> outcomes;  // by transaction
  std::string link_events;          // an event and its reason on each line
};

struct NodeLinkFixture {
  NodeLinkFixture() : loop(clock), controller(loop) {
    gateway::NodeLink::Options options;
    options.host.address = controller.address;
    options.host.io_queue_size = 8;
    options.host.connect_timeout = 10;
    link = std::make_unique<gateway::NodeLink>(loop, 0, options, recorder);
    link->open();
    REQUIRE(wait_until([&] { return controller.io() != nullptr; }));
  }
  bool wait_until(const std::function<bool()>& done) {
    const double end = clock.now() + kWaitTimeout;
    while (!done() && clock.now() < end) loop.run_once(0.01);
    return done();
  }
  void run_for(double seconds) {
    const double end = clock.now() + seconds;
    while (clock.now() < end) loop.run_once(0.005);
  }
  // Sends a read or write of `blocks` blocks with a timeout in seconds. Returns the identifier of the command
  // that the controller received.
  std::uint16_t dispatch(int transaction, bool write, std::uint32_t blocks = 1, double timeout = 10) {
    gateway::Dispatch dispatch;
    dispatch.transaction = transaction;
    dispatch.sent_at = clock.now();
    dispatch.until = clock.now() + timeout;
    dispatch.sqe.opcode = write ? opcode::kWrite : opcode::kRead;
    dispatch.sqe.set_blocks(blocks);
    if (write) dispatch.out = std::make_shared<const Bytes>(blocks * kBlockSize);
    else dispatch.in = blocks * kBlockSize;
    REQUIRE(controller.io());
    const auto count = controller.io()->io_commands.size();
    link->send(std::move(dispatch));
    REQUIRE(wait_until([&] { return controller.io() && controller.io()->io_commands.size() == count + 1; }));
    return controller.io()->io_commands.back().cid;
  }
  bool wait_ended(int transaction) {
    return wait_until([&] { return recorder.outcomes.contains(transaction); });
  }
  MonotonicClock clock;
  Loop loop;
  ScriptedController controller;
  RecordingLinkOwner recorder;
  std::unique_ptr<gateway::NodeLink> link;
};

}  // namespace

TEST_CASE("a duplicate completion completes no other command, and the connection stays open") {
  NodeLinkFixture fixture;
  for (int i = 0; i < 600; i += 2) {  // enough to reuse all identifiers of a slot
    const auto first = fixture.dispatch(i, true);
    fixture.controller.io()->send_r2t(first, 0, kBlockSize);
    fixture.controller.io()->send_completion(first);
    REQUIRE(fixture.wait_ended(i));
    const auto next = fixture.dispatch(i + 1, true);
    if (i < 8) {
      fixture.controller.io()->send_completion(first);  // duplicate
      fixture.run_for(0.02);
      CHECK_FALSE(fixture.recorder.outcomes.contains(i + 1));
    }
    fixture.controller.io()->send_r2t(next, 0, kBlockSize);
    fixture.controller.io()->send_completion(next);
    REQUIRE(fixture.wait_ended(i + 1));
    CHECK(fixture.recorder.outcomes[i + 1] == Outcome::kSucceeded);
  }
  CHECK(fixture.recorder.link_events.find("lost") == std::string::npos);
  CHECK(fixture.link->out() == 0);
}

TEST_CASE("duplicate completions of earlier commands are ignored, up to a limit per connection") {
  NodeLinkFixture fixture;
  std::vector<std::uint16_t> completed_cids;
  for (int i = 0; i < 20; ++i) {
    completed_cids.push_back(fixture.dispatch(i, false));
    fixture.controller.io()->send_data(completed_cids.back(), kBlockSize);
    fixture.controller.io()->send_completion(completed_cids.back());
    REQUIRE(fixture.wait_ended(i));
  }
  fixture.dispatch(20, false);
  for (std::size_t i = 0; i < 16; ++i) fixture.controller.io()->send_completion(completed_cids[i]);
  fixture.run_for(0.05);
  CHECK(fixture.recorder.outcomes.size() == 20);
  CHECK(fixture.recorder.link_events.find("lost") == std::string::npos);
  fixture.controller.io()->send_completion(completed_cids[0]);  // exceeds the limit
  REQUIRE(fixture.wait_ended(20));
  CHECK(fixture.recorder.outcomes[20] == Outcome::kReset);
}

TEST_CASE("a completion with an identifier never used ends the connection and each of its dispatches once") {
  NodeLinkFixture fixture;
  fixture.dispatch(1, false);
  fixture.controller.io()->send_completion(0xfff0);
  REQUIRE(fixture.wait_ended(1));
  CHECK(fixture.recorder.outcomes[1] == Outcome::kReset);
  CHECK(fixture.link->out() == 0);
}

TEST_CASE("a successful completion of a read or write with part of its data missing is an error") {
  NodeLinkFixture fixture;
  auto cid = fixture.dispatch(1, false, 2);
  fixture.controller.io()->send_data(cid, kBlockSize);
  fixture.controller.io()->send_completion(cid);
  REQUIRE(fixture.wait_ended(1));
  CHECK(fixture.recorder.outcomes[1] == Outcome::kError);
  cid = fixture.dispatch(2, false, 2);
  fixture.controller.io()->send_data(cid, kBlockSize, 0, 0);
  fixture.controller.io()->send_data(cid, kBlockSize, kBlockSize, kFlagLastPdu | kFlagSuccess);
  REQUIRE(fixture.wait_ended(2));
  CHECK(fixture.recorder.outcomes[2] == Outcome::kSucceeded);
  cid = fixture.dispatch(3, true, 2);
  fixture.controller.io()->send_r2t(cid, 0, kBlockSize);
  fixture.controller.io()->send_completion(cid);
  REQUIRE(fixture.wait_ended(3));
  CHECK(fixture.recorder.outcomes[3] == Outcome::kError);
  cid = fixture.dispatch(4, true, 2);
  fixture.controller.io()->send_r2t(cid, kBlockSize, kBlockSize);  // R2Ts in any order
  fixture.controller.io()->send_r2t(cid, 0, kBlockSize);
  REQUIRE(fixture.wait_until([&] { return fixture.controller.io()->h2c_data_received == 3 * kBlockSize; }));
  fixture.controller.io()->send_completion(cid);
  REQUIRE(fixture.wait_ended(4));
  CHECK(fixture.recorder.outcomes[4] == Outcome::kSucceeded);
  CHECK(fixture.recorder.link_events.find("lost") == std::string::npos);
}

TEST_CASE("R2Ts for data that was requested before end the connection, and the data is not sent again") {
  NodeLinkFixture fixture;
  const auto cid = fixture.dispatch(1, true, 2);
  for (int i = 0; i < 50; ++i) fixture.controller.io()->send_r2t(cid, 0, 2 * kBlockSize);
  REQUIRE(fixture.wait_ended(1));
  CHECK(fixture.recorder.outcomes[1] == Outcome::kReset);
  CHECK(fixture.controller.connections.back()->h2c_data_received <= 2 * kBlockSize);
}

TEST_CASE(
    "write data requested after the dispatch timed out is not sent, and the connection is replaced once "
    "idle") {
  NodeLinkFixture fixture;
  const auto late = fixture.dispatch(1, true, 2, 0.05);
  REQUIRE(fixture.wait_ended(1));
  CHECK(fixture.recorder.outcomes[1] == Outcome::kTimedOut);
  const auto other = fixture.dispatch(2, false);
  auto* first = fixture.controller.io();
  first->send_r2t(late, 0, 2 * kBlockSize);
  fixture.run_for(0.05);
  CHECK(first->h2c_data_received == 0);
  CHECK_FALSE(fixture.recorder.outcomes.contains(2));  // other dispatches on the connection go on
  first->send_data(other, kBlockSize);
  first->send_completion(other);
  REQUIRE(fixture.wait_ended(2));
  CHECK(fixture.recorder.outcomes[2] == Outcome::kSucceeded);
  REQUIRE(fixture.wait_until([&] { return first->connection_lost; }));
  // The next dispatch uses a new connection, even if it is sent before that is established.
  gateway::Dispatch dispatch;
  dispatch.transaction = 3;
  dispatch.until = fixture.clock.now() + 10;
  dispatch.sqe.opcode = opcode::kRead;
  dispatch.in = kBlockSize;
  fixture.link->send(std::move(dispatch));
  REQUIRE(fixture.wait_until(
      [&] { return fixture.controller.io() && fixture.controller.io()->io_commands.size() == 1; }));
  fixture.controller.io()->send_data(fixture.controller.io()->io_commands[0].cid, kBlockSize);
  fixture.controller.io()->send_completion(fixture.controller.io()->io_commands[0].cid);
  REQUIRE(fixture.wait_ended(3));
  CHECK(fixture.recorder.outcomes[3] == Outcome::kSucceeded);
  CHECK(fixture.link->out() == 0);
  CHECK(fixture.link->waiting() == 0);
}

TEST_CASE(
    "a read and a write each end once in every ordering of data, R2T, duplicate completions, timeout and "
    "reset") {
  // The values are in the order of the first permutation.
  enum Event { kReadData, kReadCompletion, kR2t, kWriteCompletion, kTimeout, kReset };
  ManualClock clock(1000);
  Loop loop(clock);
  ScriptedController controller(loop);
  RecordingLinkOwner recorder;
  gateway::NodeLink::Options options;
  options.host.address = controller.address;
  options.host.io_queue_size = 8;
  options.host.keep_alive_timeout = 0;
  gateway::NodeLink link(loop, 0, options, recorder);
  const auto run_pending = [&] {
    for (int i = 0; i < 4; ++i) loop.run_once(0);
  };
  const auto wait_until = [&](const std::function<bool()>& done) {
    for (int i = 0; i < 10000 && !done(); ++i) loop.run_once(0.001);
    return done();
  };
  constexpr double kDispatchTimeout = 1;  // s
  constexpr int kRead = 0;                // transactions
  constexpr int kWrite = 1;
  int orderings = 0;
  std::map<Outcome, int> outcome_counts;
  for (const Event last : {kTimeout, kReset}) {
    std::vector<Event> order{
        kReadData, kReadCompletion, kReadCompletion, kR2t, kWriteCompletion, kWriteCompletion, last};
    do {
      recorder.outcomes.clear();
      const auto send = [&](int transaction, bool write) {
        gateway::Dispatch dispatch;
        dispatch.transaction = transaction;
        dispatch.until = clock.now() + kDispatchTimeout;
        dispatch.sqe.opcode = write ? opcode::kWrite : opcode::kRead;
        if (write) dispatch.out = std::make_shared<const Bytes>(2 * kBlockSize);
        else dispatch.in = kBlockSize;
        link.send(std::move(dispatch));
      };
      send(kRead, false);
      send(kWrite, true);
      REQUIRE(wait_until([&] { return controller.io() && controller.io()->io_commands.size() == 2; }));
      ScriptedController::Connection& connection = *controller.io();
      const auto read_cid = connection.io_commands[0].cid;
      const auto write_cid = connection.io_commands[1].cid;
      // The outcomes that the events so far require.
      std::map<int, Outcome> expected;
      bool data_sent = false;
      bool r2t_sent = false;
      bool write_completed = false;
      bool lost = false;
      std::string events_so_far;
      const auto expect = [&](int transaction, Outcome outcome) { expected.emplace(transaction, outcome); };
      for (const Event event : order) {
        events_so_far += std::to_string(event) + " ";
        switch (event) {
          case kReadData:
            if (!lost) connection.send_data(read_cid, kBlockSize);
            data_sent = true;
            break;
          case kReadCompletion:
            if (!lost) connection.send_completion(read_cid);
            if (!lost) expect(kRead, data_sent ? Outcome::kSucceeded : Outcome::kError);
            break;
          case kR2t:
            if (!lost) connection.send_r2t(write_cid, 0, 2 * kBlockSize);
            if (!lost && write_completed) {  // an R2T for a completed command ends the connection
              expect(kRead, Outcome::kReset);
              lost = true;
            }
            r2t_sent = true;
            break;
          case kWriteCompletion:
            if (!lost) connection.send_completion(write_cid);
            if (!lost) expect(kWrite, r2t_sent ? Outcome::kSucceeded : Outcome::kError);
            write_completed = true;
            break;
          case kTimeout:
            clock.advance(1.5 * kDispatchTimeout);
            expect(kRead, Outcome::kTimedOut);
            expect(kWrite, Outcome::kTimedOut);
            break;
          case kReset:
            if (!lost) connection.stream.close();
            connection.connection_lost = true;
            expect(kRead, Outcome::kReset);
            expect(kWrite, Outcome::kReset);
            lost = true;
            break;
        }
        run_pending();
        if (connection.connection_lost) lost = true;
        INFO(events_so_far);
        CHECK(recorder.outcomes == expected);
      }
      INFO(events_so_far);
      const bool data_due =
          std::find(order.begin(), order.end(), kR2t) < std::find(order.begin(), order.end(), last) &&
          std::find(order.begin(), order.end(), kR2t) <
              std::find(order.begin(), order.end(), kWriteCompletion);
      CHECK(connection.h2c_data_received == (data_due ? 2 * kBlockSize : 0));
      CHECK(link.out() == 0);
      CHECK(link.waiting() == 0);
      for (const auto& [transaction, outcome] : recorder.outcomes) ++outcome_counts[outcome];
      ++orderings;
      link.restart("next ordering");
      run_pending();
      std::erase_if(controller.connections, [](auto& c) { return c->connection_lost; });
    } while (std::next_permutation(order.begin(), order.end()));
  }
  MESSAGE(orderings, " orderings; honoured ", outcome_counts[Outcome::kSucceeded], ", errors ",
          outcome_counts[Outcome::kError], ", timed out ", outcome_counts[Outcome::kTimedOut], ", reset ",
          outcome_counts[Outcome::kReset]);
  CHECK(orderings == 2 * 1260);
  CHECK(outcome_counts.size() == 4);
}

TEST_CASE(
    "a list watch whose event request is refused fails and can be restarted; a list with an invalid shard is "
    "refused") {
  const MonotonicClock clock;
  Loop loop(clock);
  ScriptedController discovery(loop);
  std::vector<gateway::ListedNode> nodes{{{"127.0.0.1", 9}, 0, 0, NodeState::kReady, 0}};
  bool refuse_event_requests = true;
  discovery.handle_admin = [&](ScriptedController::Connection& connection, const Sqe& sqe) {
    if (sqe.opcode == opcode::kAsyncEventRequest) {
      if (refuse_event_requests) connection.send_completion(sqe.cid, status::kAsyncEventRequestLimitExceeded);
      return true;
    }
    if (sqe.opcode != opcode::kGetLogPage) return false;
    const Bytes page = gateway::encode_list(nodes, 1, "x");
    DataPdu c2h_data;
    c2h_data.header.flags = kFlagLastPdu;
    c2h_data.cid = sqe.cid;
    c2h_data.length = static_cast<std::uint32_t>(page.size());
    connection.send_pdu(PduType::kC2hData, c2h_data, page);
    connection.send_completion(sqe.cid);
    return true;
  };
  struct RecordingListOwner final : gateway::ListOwner {
    void list_came(std::vector<gateway::ListedNode>) override { ++lists_received; }
    void list_failed(const std::string& failure) override {
      ++failures;
      last_failure = failure;
    }
    int lists_received = 0;
    int failures = 0;
    std::string last_failure;
  } recorder;
  HostOptions options;
  options.address = discovery.address;
  options.io_queue_size = 0;
  options.keep_alive_timeout = 0;
  gateway::ListWatch watch(loop, options, recorder);
  const auto wait_until = [&](const std::function<bool()>& done) {
    const double end = clock.now() + kWaitTimeout;
    while (!done() && clock.now() < end) loop.run_once(0.01);
    return done();
  };
  watch.watch();
  REQUIRE(wait_until([&] { return recorder.failures == 1; }));
  refuse_event_requests = false;
  watch.watch();
  REQUIRE(wait_until([&] { return recorder.lists_received > 0; }));
  nodes[0].shard = 2000000000;
  watch.watch();
  REQUIRE(wait_until([&] { return recorder.failures == 2; }));
  CHECK(recorder.last_failure == "not a list: record 0: no such shard");
}
