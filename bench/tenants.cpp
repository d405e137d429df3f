// What one tenant that keeps to the protocol and presses leaves for another: a scheduler, two nodes of one
// core each that serve in turn, a quiet tenant at a fifth of what they manage, and beside it one that
// presses, in each way alone. All in one loop on loopback; the nodes' work is time that passes.
// docs/review-findings.md has the table.
#include <sys/resource.h>

#include <cstdio>
#include <deque>
#include <iterator>

#include "../tests/gateway/gateway_fixture.h"

using namespace heronworks;
using namespace heronworks::test;
namespace st = heronworks::nvme::status;

namespace {

constexpr double kUnit = 0.004;     // s of a node for a block
constexpr double kLength = 4;       // s of each way to press
constexpr double kQuietRate = 100;  // reads of one block a second, over both nodes

// Serves what its stand-in keeps, one after the other; drops what has timed out, as full what is over 64.
class Server {
 public:
  Server(Loop& loop, ScriptedNode& node) : loop_(loop), node_(node) { node_.auto_response.reset(); }
  void look() {
    while (seen_ < node_.commands.size()) {
      if (queue_.size() >= 64) node_.respond(seen_, st::kCommandInterrupted);
      else queue_.push_back({seen_, loop_.now()});
      ++seen_;
    }
    const double now = loop_.now();
    while (!queue_.empty() && now >= busy_until_) {
      const auto [i, came] = queue_.front();
      const auto& c = node_.commands[i].sqe;
      if (!working_) {
        if (now > came + c.time_left()) {
          node_.respond(i, st::kAbortRequested);
          queue_.pop_front();
          continue;
        }
        working_ = true;
        busy_until_ = now + kUnit * c.blocks();
        continue;
      }
      working_ = false;
      node_.respond(i);
      queue_.pop_front();
    }
  }

 private:
  Loop& loop_;
  ScriptedNode& node_;
  std::deque<std::pair<std::size_t, double>> queue_;  // bounded above
  std::size_t seen_ = 0;
  double busy_until_ = 0;
  bool working_ = false;
};

struct Result {
  int sent = 0;
  int in_time = 0;
  int late = 0;
  int turned_back = 0;
  std::size_t unread = 0;    // bytes of answers that the scheduler held, at most
  std::vector<double> took;  // of what was honoured
};

using Press = std::function<void(GatewayFixture&, std::vector<TestClient*>&, std::uint64_t& token)>;

void command(TestClient& c, std::uint64_t token, std::uint8_t op, std::uint64_t lba, std::uint32_t blocks,
             double left, std::uint64_t label) {
  nvme::Sqe q;
  q.opcode = op;
  q.nsid = 2;
  q.set_slba(lba);
  q.set_blocks(blocks);
  q.set_idempotency_key(label);
  q.set_time_left(left);
  const bool reads = op == nvme::opcode::kRead;
  auto data = reads ? nullptr : std::make_shared<const nvme::Bytes>(blocks * 4096);
  c.host->submit(token, q, data, reads ? blocks * 4096 : 0);
}

Result measure(const Press& press, int connections) {
  GatewayFixture r("[[volumes]]\nfirst = 2\nplan = \"base\"\n");
  auto& s = r.config.settings;
  s.plans[0].usual_rate = s.plans[0].reservation = kQuietRate;
  s.share_benefit_factor = 0.35;
  s.spare_benefit_factor = 0.1;
  s.plans.push_back(s.plans[0]);
  s.plans[1].usual_rate = s.plans[1].reservation = 20;
  r.config.plan_names.push_back("small");
  r.config.volumes[1].plan = 1;
  r.start();
  Server servers[] = {{r.loop, *r.nodes[0]}, {r.loop, *r.nodes[1]}};
  auto& quiet = r.client();
  std::vector<TestClient*> pressing;
  for (int i = 0; i < connections; ++i) pressing.push_back(&r.client());
  Result out;
  std::map<std::uint64_t, double> at;
  std::uint64_t token = 0;
  std::uint64_t pressed = 1'000'000;
  const double began = r.clock.now() + 1;  // the press comes a second before what is counted
  while (r.clock.now() < began + kLength) {
    const double now = r.clock.now();
    while (now >= began && token < (now - began) * kQuietRate) {
      quiet.read(token, (token % 2) * 64 + token % 60);
      at[token++] = now;
      ++out.sent;
    }
    if (press) press(r, pressing, pressed);
    r.loop.run_once(0.001);
    for (Server& v : servers) v.look();
    out.unread = std::max(out.unread, r.scheduler->unsent_bytes());
    for (auto& [t, c] : quiet.completions) {
      const double took = c.arrived_at - at[t];
      if (!c.status().ok()) ++out.turned_back;
      else ++(took <= 0.5 ? out.in_time : out.late), out.took.push_back(took);
    }
    quiet.completions.clear();
    for (TestClient* c : pressing) c->completions.clear();
  }
  std::sort(out.took.begin(), out.took.end());
  return out;
}

// Four clients in a loop of their own, which stands still once they are up, or is let run only now and then:
// they send and never read, or slowly.
struct Idle {
  explicit Idle(double every = 0) : every_(every) {}
  void press(GatewayFixture& r, std::uint64_t& token) {
    while (clients.size() < 4) clients.push_back(std::make_unique<TestClient>(loop, r.scheduler->address()));
    for (auto& c : clients) {
      if (!c->host->ready()) return loop.run_once(0);
    }
    if (every_ > 0 && clock.now() >= next_) {
      next_ = clock.now() + every_;
      loop.run_once(0);
      for (auto& c : clients) c->completions.clear();
    }
    for (auto& c : clients) {
      while (c->host->can_submit())
        command(*c, token, nvme::opcode::kRead, token % 2 * 64, 16, 0, token), ++token;
    }
  }
  MonotonicClock clock;
  Loop loop{clock};
  std::vector<std::unique_ptr<TestClient>> clients;

 private:
  const double
      every_;  // s between two turns of the loop, each with one read of 256 KiB a client at most; 0: none
  double next_ = 0;
};

// Bytes of answers that one connection can make the scheduler hold: largest reads at full depth, nodes that
// answer at once, and a client that reads nothing.
double unread_at_most() {
  GatewayFixture r("[[volumes]]\nfirst = 2\nplan = \"base\"\n");
  r.start();
  Loop loop(r.clock);
  TestClient c(loop, r.scheduler->address());
  while (!c.host->ready()) loop.run_once(0), r.loop.run_once(0.001);
  for (std::uint64_t n = 0; c.host->can_submit(); ++n)
    command(c, n, nvme::opcode::kRead, n % 2 * 64, 64, 5, n);
  std::size_t most = 0;
  const double end = r.clock.now() + 2;
  while (r.clock.now() < end) {
    r.loop.run_once(0.001);
    most = std::max(most, r.scheduler->unsent_bytes());
  }
  return 1e-6 * static_cast<double>(most);
}

void each(std::vector<TestClient*>& clients, std::uint64_t& token, std::size_t most,
          const std::function<void(TestClient&, std::uint64_t)>& one) {
  for (TestClient* c : clients) {
    while (c->host->ready() && c->host->can_submit() && c->host->outstanding() < most) one(*c, token++);
  }
}

}  // namespace

int main(int argc, char** argv) {
  using nvme::opcode::kRead;
  using nvme::opcode::kWrite;
  const struct {
    const char* name;
    int connections;
    Press press;
  } ways[] = {
      {"nobody presses", 0, nullptr},
      {"full depth on 8 connections", 8,
       [](GatewayFixture&, auto& c, auto& t) {
         each(c, t, 126,
              [](TestClient& k, std::uint64_t n) { command(k, n, kRead, n % 2 * 64 + n % 60, 1, 0, n); });
       }},
      {"largest transactions", 2,
       [](GatewayFixture&, auto& c, auto& t) {
         each(c, t, 64, [](TestClient& k, std::uint64_t n) { command(k, n, kRead, n % 2 * 64, 64, 0, n); });
       }},
      {"one hot key, in order", 4,
       [](GatewayFixture&, auto& c, auto& t) {
         each(c, t, 126, [](TestClient& k, std::uint64_t n) { command(k, n, kWrite, 0, 1, 0, n); });
       }},
      {"60 ms left", 2,
       [](GatewayFixture&, auto& c, auto& t) {
         each(c, t, 32, [](TestClient& k, std::uint64_t n) { command(k, n, kRead, n % 2 * 64, 4, 0.06, n); });
       }},
      {"an hour left", 4,
       [](GatewayFixture&, auto& c, auto& t) {
         each(c, t, 126,
              [](TestClient& k, std::uint64_t n) { command(k, n, kRead, n % 2 * 64 + n % 60, 1, 3600, n); });
       }},
      {"one label for all", 4,
       [](GatewayFixture&, auto& c, auto& t) {
         each(c, t, 64,
              [](TestClient& k, std::uint64_t n) { command(k, n, kWrite, n % 2 * 64 + n % 60, 1, 0, 7); });
       }},
      {"reads no answers", 0,
       [idle = std::make_shared<Idle>()](GatewayFixture& r, auto&, auto& t) { idle->press(r, t); }},
      {"reads slowly", 0,
       [idle = std::make_shared<Idle>(0.25)](GatewayFixture& r, auto&, auto& t) { idle->press(r, t); }},
      {"lands and leaves", 1,
       [](GatewayFixture& r, auto& c, auto& t) {
         TestClient& k = *c[0];
         if (k.host && k.host->ready()) {
           for (int i = 0; i < 40; ++i, ++t) command(k, t, kRead, t % 2 * 64 + t % 60, 1, 0, t);
           k.host->close("leaves");
         } else if (!k.down_reason.empty()) {
           k.down_reason.clear();
           nvme::HostOptions o;
           o.address = r.scheduler->address();
           o.subnqn = "nqn.2026-11.org.heronworks:gateway";
           o.keep_alive_timeout = 0;
           k.host = std::make_unique<nvme::Host>(r.loop, o, k);
         }
       }},
  };
  std::printf("%-28s %5s %8s %5s %12s %8s %8s %8s %9s\n", "the other tenant", "sent", "in time", "late",
              "turned back", "p50 ms", "p99 ms", "most ms", "unread MB");
  for (const auto& way : ways) {
    if (argc > 1 && std::string(way.name) != argv[1]) continue;  // one way alone
    const Result m = measure(way.press, way.connections);
    const auto part = [&](double q) {
      return m.took.empty()
                 ? 0.0
                 : 1000 * m.took[static_cast<std::size_t>(q * static_cast<double>(m.took.size() - 1))];
    };
    std::printf("%-28s %5d %8d %5d %12d %8.1f %8.1f %8.1f %9.2f\n", way.name, m.sent, m.in_time, m.late,
                m.turned_back, part(0.5), part(0.99), part(1), 1e-6 * static_cast<double>(m.unread));
    std::fflush(stdout);
  }
  std::printf("a connection that reads nothing makes the scheduler hold %.1f MB at most\n", unread_at_most());
}
