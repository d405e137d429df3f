// Case 9: a labelled transaction that has run is turned back after the disk servers forgot its mark.
//
// Writes of a class whose marks all disk servers remember for 1 s, beside a steady trickle of reads. Each
// disk server runs a write as it comes, unless the mark was seen by any of them in the last 1 s. With the
// disruption, the answer to the first attempt of every third write gets lost. The client does as the protocol
// page says: after a 429 or 503 it tries again with a new id and the same mark, after Retry-After.
#include <algorithm>

#include "harness.h"

using namespace review;

namespace {

constexpr int kWrites = 9;  // two a second
constexpr double kWriteGapSeconds = 0.5;
constexpr double kRememberSeconds = 1.0;       // request-classes[1].dedup-window
constexpr double kRememberSlackSeconds = 0.1;  // the marks are kept for longer than the settings promise
constexpr long kDeadlineMs = 4000;             // the class deadline: over all tries of the client
constexpr long kTryMs = 2000;                  // "often just part of the class deadline"

const char* const kClasses =
    "{\"name\":\"rate-read\",\"aim\":600000,\"give-up\":3000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"safe\",\"group\":\"all\",\"dedup-window\":1000000},"
    "{\"name\":\"quote-write\",\"aim\":800000,\"give-up\":4000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"keyed\",\"group\":\"all\",\"dedup-window\":1000000}";

// What the disk servers share: when a mark was first seen, and how often its write had an effect.
std::mutex marks_mutex;
std::map<std::string, double> seen_at;
std::map<std::string, std::vector<double>> effects;
std::map<std::string, int> attempts;
std::map<std::string, std::vector<double>> refused_at;  // by mark; a client was told 429 or 503

bool serve(const char* name, int fd, const Message& request) {
  if (request.method() == "GET") {
    sleep_for(0.01);
    return write_all(fd, response(200, "rate"));
  }
  const std::string mark = request.field("idempotency-key");
  const std::string id = request.field("x-call-id");
  bool lose_answer = false;
  {
    const std::lock_guard lock(marks_mutex);
    const double at = now();
    const bool known =
        seen_at.contains(mark) && at < seen_at[mark] + kRememberSeconds + kRememberSlackSeconds;
    const int attempt = attempts[mark]++;
    lose_answer = trouble() && attempt == 0 && (mark.back() - '0') % 3 == 1;
    if (!known) {
      seen_at[mark] = at;
      effects[mark].push_back(at);
    }
    record("%s: %s attempt %d with mark %s: %s%s", name, id.c_str(), attempt, mark.c_str(),
           known ? "a repeat, dropped" : "run", lose_answer ? "; its answer gets lost" : "");
  }
  sleep_for(0.02);
  if (lose_answer) return false;  // the connection stays open and silent
  return write_all(fd, response(200, "written"));
}

// Sends one write, and once more if it is refused and there is time left: "Clients retry by themselves at
// most once".
void write_once(int port, int number) {
  const double deadline = now() + 1e-3 * kDeadlineMs;
  Request request;
  request.method = "PUT";
  request.profile = "quote-write";
  request.key = hex16(0x1000U + static_cast<unsigned>(number));
  request.mark = "mark-" + std::to_string(number);
  request.shard = number % 2;
  request.body = "quote";
  for (int attempt = 0; attempt < 2; ++attempt) {
    request.id = hex16(0xa000U + static_cast<unsigned>(100 * number + attempt));
    request.budget_ms = std::min(kTryMs, static_cast<long>(1000 * (deadline - now())));
    if (request.budget_ms <= 50) return;
    Client client(port);
    record("client %d: sends %s with mark %s, %ld ms left", number, request.id.c_str(), request.mark.c_str(),
           request.budget_ms);
    client.send(request.text());
    const Answer answer = client.receive(1e-3 * static_cast<double>(request.budget_ms) + 1);
    const std::string retry_after = answer.message.field("retry-after");
    record("client %d: %s answered %d, Retry-After '%s'", number, request.id.c_str(), answer.status(),
           retry_after.c_str());
    if (answer.status() != 503 && answer.status() != 429) return;
    {
      const std::lock_guard lock(marks_mutex);
      refused_at[request.mark].push_back(now());
    }
    sleep_for(retry_after.empty() ? 0.1 : std::atof(retry_after.c_str()));
  }
}

// Reads 25 times a second.
void read_on(int port, int shard, const std::atomic<bool>& done) {
  Client client(port);
  for (int i = 0; !done; ++i) {
    Request request;
    request.profile = "rate-read";
    request.volume = "00000003b4d60099";
    request.key = hex16(0x9000U + static_cast<unsigned>(shard));
    request.id = hex16(0xf0000U + static_cast<unsigned>(2 * i + shard));
    request.shard = shard;
    client.send(request.text());
    if (client.receive(4).result != ReadResult::kMessage) record("reader %d: no answer", shard);
    sleep_for(0.03);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::string directory = begin(argc, argv);
  DiskServer server0([](int fd, const Message& request) { return serve("disk server 0", fd, request); });
  DiskServer server1([](int fd, const Message& request) { return serve("disk server 1", fd, request); });
  const std::vector<Instance> instances{{"s-0", server0.port(), 0}, {"s-1", server1.port(), 1}};
  Discovery discovery(instances);
  Scheduler scheduler(directory, discovery.port(), list_text(1, true, instances),
                      settings_text(kClasses, kPlanWithoutLimit, 2));
  sleep_for(0.5);
  std::atomic<bool> done = false;
  std::vector<std::thread> readers;
  for (int shard = 0; shard < 2; ++shard) {
    readers.emplace_back([&, shard] { read_on(scheduler.port(), shard, done); });
  }
  sleep_for(1);
  std::vector<std::thread> clients;
  for (int i = 0; i < kWrites; ++i) {
    clients.emplace_back([&, i] { write_once(scheduler.port(), i); });
    sleep_for(kWriteGapSeconds);
  }
  for (std::thread& client : clients) client.join();
  done = true;
  for (std::thread& reader : readers) reader.join();
  const std::lock_guard lock(marks_mutex);
  int twice = 0;
  for (const auto& [mark, times] : effects) {
    // Broken if the scheduler said, between the two effects, that trying again was harmless.
    bool refused_between = false;
    for (const double at : refused_at[mark]) {
      refused_between = refused_between || (times.size() > 1 && times[0] < at && at < times[1]);
    }
    record("%s had its effect %zu time(s)%s", mark.c_str(), times.size(),
           refused_between ? ", and was refused in between" : "");
    if (refused_between) ++twice;
  }
  if (static_cast<int>(effects.size()) != kWrites) finish(scheduler, kCouldNotRun, "not every write arrived");
  finish(scheduler, twice > 0 ? kBroken : kHeld,
         std::to_string(twice) + " of " + std::to_string(kWrites) + " writes had their effect twice");
}
