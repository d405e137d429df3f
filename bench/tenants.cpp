// Latency of a well-behaved tenant while another tenant loads the gateway in one of several ways, each of
// which the protocol allows. The first tenant reads at a fifth of the capacity of two nodes that serve one
// command at a time. All parts run in one event loop on loopback. Results: docs/review-findings.md.
#include <sys/resource.h>

#include <cstdio>
#include <deque>
#include <iterator>

#include "../tests/gateway/rig.h"

using namespace heronworks;
using namespace heronworks::test;
namespace nvme_status = heronworks::nvme::status;

namespace {

constexpr double kBlockServiceTime = 0.004;  // seconds
constexpr double kMeasuredTime = 4;          // seconds
constexpr double kMeasuredTenantRate = 100;  // reads per second, of one block each

// Serves the commands of a scripted node one at a time. Aborts a command that has timed out, and interrupts
// what exceeds its queue.
class SerialNode {
 public:
  SerialNode(Loop& loop, ScriptNode& node) : loop_(loop), node_(node) { node_.answers.reset(); }
  // Takes new commands and answers the finished ones.
  void poll() {
    while (received_count_ < node_.came.size()) {
      if (queue_.size() >= kQueueLimit) node_.answer(received_count_, nvme_status::kCommandInterrupted);
      else queue_.push_back({received_count_, loop_.now()});
      ++received_count_;
    }
    const double now = loop_.now();
    while (!queue_.empty() && now >= busy_until_) {
      const auto [i, arrived_at] = queue_.front();
      const auto& entry = node_.came[i].sqe;
      if (!busy_) {
        if (now > arrived_at + entry.time_left()) {
          node_.answer(i, nvme_status::kAbortRequested);
          queue_.pop_front();
          continue;
        }
        busy_ = true;
        busy_until_ = now + kBlockServiceTime * entry.blocks();
        continue;
      }
      busy_ = false;
      node_.answer(i);
      queue_.pop_front();
    }
  }

 private:
  static constexpr std::size_t kQueueLimit = 64;

  Loop& loop_;
  ScriptNode& node_;
  std::deque<std::pair<std::size_t, double>> queue_;  // command index, time of arrival
  std::size_t received_count_ = 0;
  double busy_until_ = 0;
  bool busy_ = false;
};

struct Result {
  int sent = 0;
  int in_time = 0;
  int late = 0;
  int rejected = 0;
  std::size_t max_unread_bytes = 0;  // of replies that the scheduler buffered
  std::vector<double> latencies;     // of the successful reads, in seconds
};

// Submits the load of the other tenant; called on each turn of the loop.
using Load = std::function<void(Rig&, std::vector<ScriptClient*>&, std::uint64_t& token)>;

void submit(ScriptClient& client, std::uint64_t token, std::uint8_t opcode, std::uint64_t lba,
            std::uint32_t blocks, double time_left, std::uint64_t idempotency_key) {
  nvme::Sqe entry;
  entry.opcode = opcode;
  entry.nsid = 2;
  entry.set_slba(lba);
  entry.set_blocks(blocks);
  entry.set_idempotency_key(idempotency_key);
  entry.set_time_left(time_left);
  const bool is_read = opcode == nvme::opcode::kRead;
  auto data = is_read ? nullptr : std::make_shared<const nvme::Bytes>(blocks * 4096);
  client.host->submit(token, entry, data, is_read ? blocks * 4096 : 0);
}

Result measure(const Load& load, int connections) {
  Rig rig("[[volumes]]\nfirst = 2\nplan = \"base\"\n");
  auto& settings = rig.config.settings;
  settings.plans[0].usual_rate = settings.plans[0].reservation = kMeasuredTenantRate;
  settings.share_benefit_factor = 0.35;
  settings.spare_benefit_factor = 0.1;
  settings.plans.push_back(settings.plans[0]);
  settings.plans[1].usual_rate = settings.plans[1].reservation = 20;
  rig.config.plan_names.push_back("small");
  rig.config.volumes[1].plan = 1;
  rig.start();
  SerialNode nodes[] = {{rig.loop, *rig.nodes[0]}, {rig.loop, *rig.nodes[1]}};
  auto& measured_client = rig.client();
  std::vector<ScriptClient*> loading_clients;
  for (int i = 0; i < connections; ++i) loading_clients.push_back(&rig.client());
  Result result;
  std::map<std::uint64_t, double> sent_at;  // by token
  std::uint64_t token = 0;
  std::uint64_t next_load_token = 1'000'000;
  const double began = rig.clock.now() + 1;  // the load starts one second before the measurement
  while (rig.clock.now() < began + kMeasuredTime) {
    const double now = rig.clock.now();
    while (now >= began && token < (now - began) * kMeasuredTenantRate) {
      measured_client.read(token, (token % 2) * 64 + token % 60);
      sent_at[token++] = now;
      ++result.sent;
    }
    if (load) load(rig, loading_clients, next_load_token);
    rig.loop.run_once(0.001);
    for (SerialNode& node : nodes) node.poll();
    result.max_unread_bytes = std::max(result.max_unread_bytes, rig.scheduler->unread());
    for (auto& [token_of_reply, completion] : measured_client.answers) {
      const double latency = completion.arrived_at - sent_at[token_of_reply];
      if (!completion.status().ok()) ++result.rejected;
      else ++(latency <= 0.5 ? result.in_time : result.late), result.latencies.push_back(latency);
    }
    measured_client.answers.clear();
    for (ScriptClient* c : loading_clients) c->answers.clear();
  }
  std::sort(result.latencies.begin(), result.latencies.end());
  return result;
}

// Four clients that submit reads at full depth and never read the replies, or only slowly. They have an event
// loop of their own, which runs while they connect and then once per `read_interval`.
struct SlowReaders {
  explicit SlowReaders(double read_interval = 0) : read_interval_(read_interval) {}
  void submit_reads(Rig& rig, std::uint64_t& token) {
    while (clients.size() < 4)
      clients.push_back(std::make_unique<ScriptClient>(loop, rig.scheduler->address()));
    for (auto& client : clients) {
      if (!client->host->ready()) return loop.run_once(0);
    }
    if (read_interval_ > 0 && clock.now() >= next_read_) {
      next_read_ = clock.now() + read_interval_;
      loop.run_once(0);
      for (auto& client : clients) client->answers.clear();
    }
    for (auto& client : clients) {
      while (client->host->can_submit())
        submit(*client, token, nvme::opcode::kRead, token % 2 * 64, 16, 0, token), ++token;
    }
  }
  MonotonicClock clock;
  Loop loop{clock};
  std::vector<std::unique_ptr<ScriptClient>> clients;

 private:
  const double read_interval_;  // seconds; 0: never reads
  double next_read_ = 0;
};

// Megabytes of replies that the scheduler buffers for one client that submits the largest reads at full depth
// and reads no replies, while the nodes answer at once.
double max_unread_megabytes() {
  Rig rig("[[volumes]]\nfirst = 2\nplan = \"base\"\n");
  rig.start();
  Loop loop(rig.clock);
  ScriptClient client(loop, rig.scheduler->address());
  while (!client.host->ready()) loop.run_once(0), rig.loop.run_once(0.001);
  for (std::uint64_t token = 0; client.host->can_submit(); ++token)
    submit(client, token, nvme::opcode::kRead, token % 2 * 64, 64, 5, token);
  std::size_t max_unread = 0;
  const double end = rig.clock.now() + 2;
  while (rig.clock.now() < end) {
    rig.loop.run_once(0.001);
    max_unread = std::max(max_unread, rig.scheduler->unread());
  }
  return 1e-6 * static_cast<double>(max_unread);
}

// Calls `submit_one` for each client until it has `depth` commands in flight.
void fill_queues(std::vector<ScriptClient*>& clients, std::uint64_t& token, std::size_t depth,
                 const std::function<void(ScriptClient&, std::uint64_t)>& submit_one) {
  for (ScriptClient* client : clients) {
    while (client->host->ready() && client->host->can_submit() && client->host->outstanding() < depth)
      submit_one(*client, token++);
  }
}

}  // namespace

int main(int argc, char** argv) {
  using nvme::opcode::kRead;
  using nvme::opcode::kWrite;
  const struct {
    const char* name;
    int connections;
    Load load;
  } patterns[] = {
      {"nobody presses", 0, nullptr},
      {"full depth on 8 connections", 8,
       [](Rig&, auto& clients, auto& token) {
         fill_queues(clients, token, 126, [](ScriptClient& client, std::uint64_t id) {
           submit(client, id, kRead, id % 2 * 64 + id % 60, 1, 0, id);
         });
       }},
      {"largest transactions", 2,
       [](Rig&, auto& clients, auto& token) {
         fill_queues(clients, token, 64, [](ScriptClient& client, std::uint64_t id) {
           submit(client, id, kRead, id % 2 * 64, 64, 0, id);
         });
       }},
      {"one hot key, in order", 4,
       [](Rig&, auto& clients, auto& token) {
         fill_queues(clients, token, 126,
                     [](ScriptClient& client, std::uint64_t id) { submit(client, id, kWrite, 0, 1, 0, id); });
       }},
      {"60 ms left", 2,
       [](Rig&, auto& clients, auto& token) {
         fill_queues(clients, token, 32, [](ScriptClient& client, std::uint64_t id) {
           submit(client, id, kRead, id % 2 * 64, 4, 0.06, id);
         });
       }},
      {"an hour left", 4,
       [](Rig&, auto& clients, auto& token) {
         fill_queues(clients, token, 126, [](ScriptClient& client, std::uint64_t id) {
           submit(client, id, kRead, id % 2 * 64 + id % 60, 1, 3600, id);
         });
       }},
      {"one label for all", 4,
       [](Rig&, auto& clients, auto& token) {
         fill_queues(clients, token, 64, [](ScriptClient& client, std::uint64_t id) {
           submit(client, id, kWrite, id % 2 * 64 + id % 60, 1, 0, 7);
         });
       }},
      {"reads no answers", 0,
       [readers = std::make_shared<SlowReaders>()](Rig& rig, auto&, auto& token) {
         readers->submit_reads(rig, token);
       }},
      {"reads slowly", 0,
       [readers = std::make_shared<SlowReaders>(0.25)](Rig& rig, auto&, auto& token) {
         readers->submit_reads(rig, token);
       }},
      {"lands and leaves", 1,
       [](Rig& rig, auto& clients, auto& token) {
         ScriptClient& client = *clients[0];
         if (client.host && client.host->ready()) {
           for (int i = 0; i < 40; ++i, ++token)
             submit(client, token, kRead, token % 2 * 64 + token % 60, 1, 0, token);
           client.host->close("client disconnects");
         } else if (!client.reason.empty()) {
           client.reason.clear();
           nvme::HostOptions options;
           options.address = rig.scheduler->address();
           options.subnqn = "nqn.2026-11.org.heronworks:gateway";
           options.keep_alive_timeout = 0;
           client.host = std::make_unique<nvme::Host>(rig.loop, options, client);
         }
       }},
  };
  std::printf("%-28s %5s %8s %5s %12s %8s %8s %8s %9s\n", "the other tenant", "sent", "in time", "late",
              "turned back", "p50 ms", "p99 ms", "most ms", "unread MB");
  for (const auto& pattern : patterns) {
    if (argc > 1 && std::string(pattern.name) != argv[1]) continue;  // runs one pattern only
    const Result result = measure(pattern.load, pattern.connections);
    const auto percentile_ms = [&](double fraction) {
      return result.latencies.empty()
                 ? 0.0
                 : 1000 * result.latencies[static_cast<std::size_t>(
                              fraction * static_cast<double>(result.latencies.size() - 1))];
    };
    std::printf("%-28s %5d %8d %5d %12d %8.1f %8.1f %8.1f %9.2f\n", pattern.name, result.sent, result.in_time,
                result.late, result.rejected, percentile_ms(0.5), percentile_ms(0.99), percentile_ms(1),
                1e-6 * static_cast<double>(result.max_unread_bytes));
    std::fflush(stdout);
  }
  std::printf("a connection that reads nothing makes the scheduler hold %.1f MB at most\n",
              max_unread_megabytes());
}
