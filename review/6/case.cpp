// Case 6: bad clients make the scheduler's memory grow over its limit.
//
// Usual clients send one request at a time. With the disruption, bad clients send 200 requests at once, read
// the answers, and send the next 200: writes of a class that keeps order by key, each of another
// piece of data, with 20 ms of time left. The platform's stand-in looks at the scheduler's memory all the
// time and kills it when it is over the limit.
#include "harness.h"

using namespace review;

namespace {

constexpr int kMemoryMb = 32;
constexpr double kSeconds = 12;
constexpr double kTroubleFromSeconds = 3;
constexpr int kUsualClients = 20;
constexpr int kBadClients = 20;
constexpr int kRequestsAtOnce = 200;
constexpr long kLittleTimeMs = 20;

const char* const kClasses =
    "{\"name\":\"rate-read\",\"aim\":600000,\"give-up\":3000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"safe\",\"group\":\"cell\",\"dedup-window\":6000000},"
    "{\"name\":\"quote-write\",\"aim\":800000,\"give-up\":4000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"keyed\",\"group\":\"cell\",\"dedup-window\":6000000,\"sequential\":true}";

std::atomic<bool> done = false;
std::atomic<bool> killed = false;
std::atomic<int> usual_answers = 0;
std::atomic<int> usual_lost = 0;
std::atomic<long> bad_sent = 0;
std::atomic<long> bad_answered = 0;
std::atomic<long> bad_refused = 0;

bool serve(int fd, const Message&) {
  sleep_for(0.05);
  return write_all(fd, response(200, "done"));
}

Request write_of(std::uint64_t number) {
  Request request;
  request.method = "PUT";
  request.profile = "quote-write";
  request.key = hex16(number);
  request.id = hex16(number);
  request.mark = "mark-" + request.id;
  return request;
}

void usual_client(int port, int number) {
  Client client(port);
  for (std::uint64_t i = 0; !done; ++i) {
    Request request = write_of((1ULL << 60) + (static_cast<std::uint64_t>(number) << 32) + i);
    request.budget_ms = 4000;
    request.body = "quote";
    if (!client.send(request.text())) return;
    const Answer answer = client.receive(5);
    if (answer.result != ReadResult::kMessage) {
      ++usual_lost;
      record("usual client %d: %s was sent, and the connection ended without an answer%s", number,
             request.id.c_str(), killed ? ", as the scheduler was killed" : "");
      return;
    }
    ++usual_answers;
    sleep_for(0.1);
  }
}

void bad_client(int port, int number) {
  Client client(port);
  for (std::uint64_t i = 0; !done; i += kRequestsAtOnce) {
    std::string text;
    for (int k = 0; k < kRequestsAtOnce; ++k) {
      Request request = write_of((static_cast<std::uint64_t>(number) << 32) + i + static_cast<unsigned>(k));
      request.budget_ms = kLittleTimeMs;
      text += request.text();
    }
    if (!client.send(text)) return;
    bad_sent += kRequestsAtOnce;
    for (int k = 0; k < kRequestsAtOnce; ++k) {
      const Answer answer = client.receive(5);
      if (answer.result != ReadResult::kMessage) return;
      ++bad_answered;
      if (answer.status() == 503) ++bad_refused;
    }
  }
}

// Anonymous memory of a process in bytes: without the program's own files.
long memory_of(int process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("RssAnon:", 0) == 0) return 1024 * std::atol(line.c_str() + 8);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string directory = begin(argc, argv);
  DiskServer server(serve);
  const std::vector<Instance> instances{{"s-0", server.port(), 0}};
  Discovery discovery(instances);
  Scheduler scheduler(directory, discovery.port(), list_text(1, true, instances),
                      settings_text(kClasses, kPlanWithoutLimit, 1), kMemoryMb);
  std::vector<std::thread> clients;
  for (int i = 0; i < kUsualClients; ++i) {
    clients.emplace_back([&, i] { usual_client(scheduler.port(), i); });
  }
  long highest = 0;
  double next_record = 0;
  for (const double begin = now(); now() < begin + kSeconds && !killed; sleep_for(0.005)) {
    if (trouble() && clients.size() == kUsualClients && now() > begin + kTroubleFromSeconds) {
      record("%d bad clients begin", kBadClients);
      for (int i = 0; i < kBadClients; ++i) {
        clients.emplace_back([&, i] { bad_client(scheduler.port(), i + 1); });
      }
    }
    const long memory = memory_of(scheduler.process());
    highest = std::max(highest, memory);
    if (now() >= next_record || memory > kMemoryMb * 1024L * 1024L) {
      next_record = now() + 0.5;
      record(
          "scheduler: %ld KiB of memory; usual clients: %d answers; bad clients: %ld sent, %ld answered, "
          "%ld of them refused",
          memory / 1024, usual_answers.load(), bad_sent.load(), bad_answered.load(), bad_refused.load());
    }
    if (memory > kMemoryMb * 1024L * 1024L) {
      record("platform: over %d MB, kills the scheduler", kMemoryMb);
      killed = true;
      scheduler.signal(SIGKILL);
    }
  }
  done = true;
  for (std::thread& client : clients) client.join();
  if (!killed && !scheduler.running()) finish(scheduler, kBroken, "the scheduler ended by itself");
  if (usual_answers == 0) finish(scheduler, kCouldNotRun, "no usual client was answered");
  finish(scheduler, killed ? kBroken : kHeld,
         "at most " + std::to_string(highest / 1024) + " KiB of " + std::to_string(kMemoryMb * 1024) + "; " +
             std::to_string(usual_lost) + " requests of usual clients without an answer");
}
