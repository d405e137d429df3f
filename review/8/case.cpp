// Case 8: two writes of one key run in the wrong order while other clients stop in the middle of requests.
//
// A class that keeps order by key. A client sends a write of 56 KB; 50 ms after the scheduler's machine has
// acknowledged its last byte, another client sends a short write of the same key. Both use connections that
// they had before. With the disruption, other clients have just sent the heads and first bytes of long
// writes, and stay. The disk server keeps, for each key, what was written last.
#include "harness.h"

using namespace review;

namespace {

constexpr int kRounds = 5;
constexpr int kMemoryMb = 32;         // the pages: 32 to 192 MB
constexpr double kGapSeconds = 0.05;  // between the last bytes of the two writes

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
    const std::string value = request.body.substr(0, 5);
    writes[request.key()].push_back(value);
    record("disk server: %s runs '%s' of key %s", request.field("x-call-id").c_str(), value.c_str(),
           request.key().c_str());
  }
  sleep_for(0.005);
  return write_all(fd, response(200, "done"));
}

Request write_of(int key, const std::string& value, int id) {
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

void read_once(Client& client, int id) {
  Request read;
  read.profile = "rate-read";
  read.key = hex16(0x3000);
  read.id = hex16(0xc000U + static_cast<unsigned>(id));
  client.send(read.text());
  if (client.receive(3).status() != 200) record("a read was not served");
}

}  // namespace

int main(int argc, char** argv) {
  const std::string directory = begin(argc, argv);
  DiskServer server(serve);
  const std::vector<Instance> instances{{"s-0", server.port(), 0}};
  Discovery discovery(instances);
  Scheduler scheduler(directory, discovery.port(), list_text(1, true, instances),
                      settings_text(kClasses, kPlanWithoutLimit, 1), kMemoryMb);
  sleep_for(0.5);
  int swapped = 0;
  int compared = 0;
  for (int round = 0; round < kRounds; ++round) {
    Client first(scheduler.port());
    Client second(scheduler.port());
    read_once(first, 2 * round);
    read_once(second, 2 * round + 1);
    std::vector<std::unique_ptr<Client>> others;
    if (trouble()) {
      for (int i = 0; i < 160; ++i) {
        others.push_back(std::make_unique<Client>(scheduler.port()));
        Request request = write_of(900, "", 10000 + 1000 * round + i);
        std::string text = request.text();
        const std::string no_length = "Content-Length: 0\r\n";
        text.replace(text.find(no_length), no_length.size(), "Content-Length: 65536\r\n");
        others.back()->send(text);
      }
      sleep_for(0.02);
      for (const auto& other : others) other->send(std::string(16, 'x'));
      record("160 clients have sent the heads and 16 bytes of writes of 64 KiB, and stay");
    }
    sleep_for(0.05);
    first.send(write_of(round, "older" + std::string(56000, '.'), 2 * round).text());
    if (!wait_until_delivered(first.fd(), 1)) finish(scheduler, kCouldNotRun, "a write was not delivered");
    record("client 1: 'older' of key %d is written, its last byte acknowledged", round);
    sleep_for(kGapSeconds);
    second.send(write_of(round, "newer", 2 * round + 1).text());
    record("client 2: 'newer' of key %d is written", round);
    const int newer = second.receive(5).status();
    record("client 2: 'newer' answered %d", newer);
    const int older = first.receive(5).status();
    record("client 1: 'older' answered %d", older);
    {
      const std::lock_guard lock(store_mutex);
      const auto& ran = writes[hex16(0x2000U + static_cast<unsigned>(round))];
      if (older == 200 && newer == 200 && ran.size() == 2) {
        ++compared;
        if (ran.back() == "older") {
          ++swapped;
          record("key %d: both were honoured, and 'older' ran last", round);
        }
      }
    }
    others.clear();
    sleep_for(3);
  }
  if (compared == 0) finish(scheduler, kCouldNotRun, "no pair of writes was honoured");
  finish(scheduler, swapped > 0 ? kBroken : kHeld,
         std::to_string(swapped) + " of " + std::to_string(compared) +
             " pairs of honoured writes ran in the wrong order");
}
