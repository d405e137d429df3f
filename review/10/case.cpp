// Case 10: requests are sent to disk servers for clients that have gone.
//
// Some clients send requests one behind the other, as much as the connection takes, and close it 0.15 s
// later, before any answer. The disk server takes 0.5 s for a request. Without the disruption, these clients
// send one request each, and wait for the answer.
#include "harness.h"

using namespace review;

namespace {

constexpr int kClients = 6;
constexpr int kRequestsEach = 150;
constexpr double kLeaveAfterSeconds = 0.15;
constexpr double kServiceSeconds = 0.5;
constexpr double kBoundSeconds = 0.1 + 0.05;  // the rule's 0.1 s; "each time limit is longer by 50 ms"

const char* const kClasses =
    "{\"name\":\"rate-read\",\"aim\":600000,\"give-up\":3000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"safe\",\"group\":\"cell\",\"dedup-window\":6000000},"
    "{\"name\":\"quote-write\",\"aim\":800000,\"give-up\":4000000,\"gain\":2.0,\"late-worth\":0.1,"
    "\"effect\":\"keyed\",\"group\":\"cell\",\"dedup-window\":6000000}";

std::mutex state_mutex;
std::map<std::string, int> sender;  // client by request id
std::map<int, double> closed_at;    // by client
int attempts_after_close = 0;
int attempts = 0;

bool serve(int fd, const Message& request) {
  const std::string id = request.field("x-call-id");
  if (request.method() == "PUT") {
    const std::lock_guard lock(state_mutex);
    ++attempts;
    const int client = sender.at(id);
    const auto closed = closed_at.find(client);
    const double late = closed == closed_at.end() ? 0 : now() - closed->second;
    const bool broken = late > kBoundSeconds;
    attempts_after_close += broken ? 1 : 0;
    record("disk server: %s of client %d arrives%s", id.c_str(), client,
           broken ? (", " + std::to_string(late) + " s after the client closed its connection").c_str() : "");
  }
  sleep_for(request.method() == "PUT" ? kServiceSeconds : 0.01);
  return write_all(fd, response(200, "done"));
}

// Sends what the connection takes within 0.1 s.
std::size_t send_much(int fd, const std::string& text) {
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK);
  std::size_t sent = 0;
  for (const double end = now() + 0.1; now() < end && sent < text.size();) {
    const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n > 0) sent += static_cast<std::size_t>(n);
    else sleep_for(0.002);
  }
  return sent;
}

void run_client(int port, int number) {
  std::string text;
  for (int i = 0; i < (trouble() ? kRequestsEach : 1); ++i) {
    Request request;
    request.method = "PUT";
    request.profile = "quote-write";
    request.key = hex16(0x4000U + static_cast<unsigned>(kRequestsEach * number + i));
    request.id = hex16(0xd0000U + static_cast<unsigned>(kRequestsEach * number + i));
    request.mark = "mark-" + request.id;
    request.shard = number % 3;
    request.budget_ms = 4000;
    request.body = std::string(60000, 'w');
    text += request.text();
    const std::lock_guard lock(state_mutex);
    sender[request.id] = number;
  }
  const double begin = now();
  auto client = std::make_unique<Client>(port);
  if (!trouble()) {
    client->send(text);
    record("client %d: sends one request, answered %d", number, client->receive(5).status());
  } else {
    const std::size_t sent = send_much(client->fd(), text);
    record("client %d: has sent %zu bytes of %zu", number, sent, text.size());
    sleep_for(begin + kLeaveAfterSeconds - now());
  }
  {
    const std::lock_guard lock(state_mutex);
    closed_at[number] = now();
  }
  client.reset();
  record("client %d: closed its connection", number);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string directory = begin(argc, argv);
  DiskServer server0(serve);
  DiskServer server1(serve);
  DiskServer server2(serve);
  const std::vector<Instance> instances{
      {"s-0", server0.port(), 0}, {"s-1", server1.port(), 1}, {"s-2", server2.port(), 2}};
  Discovery discovery(instances);
  Scheduler scheduler(directory, discovery.port(), list_text(1, true, instances),
                      settings_text(kClasses, kPlanWithoutLimit, 3));
  sleep_for(0.5);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { run_client(scheduler.port(), i); });
  }
  for (std::thread& client : clients) client.join();
  sleep_for(5);
  const std::lock_guard lock(state_mutex);
  if (attempts < kClients) finish(scheduler, kCouldNotRun, "not every client's first request arrived");
  finish(scheduler, attempts_after_close > 0 ? kBroken : kHeld,
         std::to_string(attempts_after_close) + " of " + std::to_string(attempts) +
             " attempts began after the client had gone");
}
