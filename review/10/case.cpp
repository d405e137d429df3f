// Case 10: two writes of one key run in the wrong order after the scheduler was held up for 0.1 s.
//
// A class that keeps order by key. For each key one client opens a connection and sends its write; 25 ms
// after the scheduler's machine has acknowledged its last byte, another client sends a second write of the
// same key on a connection that it had before. With the disruption, the scheduler is stopped for 0.1 s
// meanwhile. The disk server keeps, for each key, what was written last.
#include "harness.h"

using namespace review;

namespace {

constexpr int kKeys = 10;
constexpr double kHeldUpSeconds = 0.1;
constexpr double kMaxHeldUpSeconds = 0.15;  // the pages' limit; a longer one is not judged
constexpr double kGapSeconds = 0.025;       // between the last bytes of the two writes

const char* const kClasses =
    "{\"name\":\"rate-read\",\"aim\":600000,\"give-up\":3000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"safe\",\"group\":\"cell\",\"dedup-window\":6000000},"
    "{\"name\":\"quote-write\",\"aim\":800000,\"give-up\":4000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"keyed\",\"group\":\"cell\",\"dedup-window\":6000000,\"sequential\":true}";

std::mutex store_mutex;
std::map<std::string, std::vector<std::string>> writes;  // by key, in the order in which they ran

bool serve(int fd, const Message& request) {
  if (request.method() == "PUT") {
    const std::lock_guard lock(store_mutex);
    writes[request.key()].push_back(request.body);
    record("disk server: %s runs '%s' of key %s", request.field("x-call-id").c_str(), request.body.c_str(),
           request.key().c_str());
  }
  sleep_for(0.005);
  return write_all(fd, response(200, "done"));
}

Request write_of(int key, const char* value, int id) {
  Request request;
  request.method = "PUT";
  request.profile = "quote-write";
  request.key = hex16(0x2000U + static_cast<unsigned>(key));
  request.id = hex16(0xb000U + static_cast<unsigned>(id));
  request.mark = "mark-" + std::to_string(id);
  request.budget_ms = 4000;
  request.body = value;
  return request;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string directory = begin(argc, argv);
  DiskServer server(serve);
  const std::vector<Instance> instances{{"s-0", server.port(), 0}};
  Discovery discovery(instances);
  Scheduler scheduler(directory, discovery.port(), list_text(1, true, instances),
                      settings_text(kClasses, kPlanWithoutLimit, 1));
  sleep_for(0.5);
  Client second(scheduler.port());
  int swapped = 0;
  int compared = 0;
  for (int key = 0; key < kKeys; ++key) {
    Request read;  // keeps the second client's connection in use
    read.profile = "rate-read";
    read.key = hex16(0x3000);
    read.id = hex16(0xc000U + static_cast<unsigned>(key));
    second.send(read.text());
    if (second.receive(3).status() != 200) record("the read %d was not served", key);
    sleep_for(0.2);

    const double stopped_at = now();
    if (trouble()) {
      scheduler.signal(SIGSTOP);
      record("scheduler: held up");
      sleep_for(0.01);
    }
    Client first(scheduler.port());
    first.send(write_of(key, "older", 2 * key).text());
    if (!wait_until_delivered(first.fd(), 1)) finish(scheduler, kCouldNotRun, "a write was not delivered");
    record("client 1: 'older' of key %d is written, its last byte acknowledged", key);
    sleep_for(kGapSeconds);
    second.send(write_of(key, "newer", 2 * key + 1).text());
    record("client 2: 'newer' of key %d is written", key);
    if (trouble()) {
      sleep_for(stopped_at + kHeldUpSeconds - now());
      scheduler.signal(SIGCONT);
      record("scheduler: goes on after %.3f s", now() - stopped_at);
    }
    const bool within_limit = now() - stopped_at <= kMaxHeldUpSeconds;
    const int older = first.receive(5).status();
    const int newer = second.receive(5).status();
    record("client 1: 'older' answered %d; client 2: 'newer' answered %d", older, newer);
    const std::lock_guard lock(store_mutex);
    const auto& ran = writes[hex16(0x2000U + static_cast<unsigned>(key))];
    if (!within_limit || older != 200 || newer != 200 || ran.size() != 2) continue;
    ++compared;
    if (ran.back() == "older") {
      ++swapped;
      record("key %d: both were honoured, and 'older' ran last", key);
    }
  }
  if (compared < kKeys / 2) finish(scheduler, kCouldNotRun, "too few pairs of writes were honoured");
  finish(scheduler, swapped > 0 ? kBroken : kHeld,
         std::to_string(swapped) + " of " + std::to_string(compared) +
             " pairs of honoured writes ran in the wrong order");
}
