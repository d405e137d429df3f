// Stand-ins for the cases 6 to 10: clients, disk servers and discovery on loopback sockets, and the
// scheduler as a process of its own, started by the `run` command of deploy/balancer.toml.
//
// Everything blocks and has a thread of its own. Times are in seconds since the start of the test.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The record of a run: one line for each thing that was sent, answered or run.
inline FILE*& record_file() {
  static FILE* file = stdout;
  return file;
}

__attribute__((format(printf, 1, 2))) inline void record(const char* format, ...) {
  static std::mutex mutex;
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  const std::lock_guard lock(mutex);
  std::fprintf(record_file(), "%9.4f %s\n", now(), text);
  std::fflush(record_file());
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- Sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a free port of 127.0.0.1.
inline int listen_on_free_port(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t length = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  port = ntohs(address.sin_port);
  return fd;
}

inline int free_port() {
  int port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

inline void set_no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  set_no_delay(fd);
  return fd;
}

inline bool write_all(int fd, const std::string& text) {
  for (std::size_t sent = 0; sent < text.size();) {
    const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Waits until the peer's machine has acknowledged all bytes that were written.
inline bool wait_until_delivered(int fd, double timeout) {
  for (const double end = now() + timeout; now() < end; sleep_for(0.0005)) {
    int unacknowledged = 1;
    if (::ioctl(fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0) return true;
  }
  return false;
}

inline void reset_connection(int fd) {
  const linger at_once{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(fd);
}

// ---- HTTP ----

struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  int status() const { return first_line.size() > 11 ? std::atoi(first_line.c_str() + 9) : 0; }
  std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string target() const {
    const auto from = first_line.find(' ') + 1;
    return first_line.substr(from, first_line.find(' ', from) - from);
  }
  // The last segment of the path: the piece of data.
  std::string key() const { return target().substr(target().rfind('/') + 1); }
};

enum class ReadResult { kMessage, kEnd, kReset, kTimeout };

// Takes one message with a Content-Length or without a body from the front of `buffer`, if it is whole.
inline bool take_message(std::string& buffer, Message& message) {
  const auto head_end = buffer.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  message = {};
  std::istringstream head(buffer.substr(0, head_end + 2));
  std::string line;
  std::getline(head, line);
  message.first_line = line.substr(0, line.size() - 1);
  while (std::getline(head, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    const auto from = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = from == std::string::npos ? "" : line.substr(from, line.size() - 1 - from);
  }
  const std::string length_text = message.field("content-length");
  const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
  if (buffer.size() < head_end + 4 + length) return false;
  message.body = buffer.substr(head_end + 4, length);
  buffer.erase(0, head_end + 4 + length);
  return true;
}

// Reads one message. `buffer` holds what was read behind it.
inline ReadResult read_message(int fd, std::string& buffer, Message& message, double timeout) {
  const double end = now() + timeout;
  while (true) {
    if (take_message(buffer, message)) return ReadResult::kMessage;
    const double left = end - now();
    pollfd poll_fd{fd, POLLIN, 0};
    if (left <= 0 || ::poll(&poll_fd, 1, static_cast<int>(left * 1000) + 1) == 0) {
      if (now() >= end) return ReadResult::kTimeout;
      continue;
    }
    char bytes[65536];
    const auto n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n == 0) return ReadResult::kEnd;
    if (n < 0) return ReadResult::kReset;
    buffer.append(bytes, static_cast<std::size_t>(n));
  }
}

inline std::string response(int status, const std::string& body, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Disk servers ----

// Accepts connections; each has a thread, which passes request by request to `on_request`. That returns
// whether the connection is kept open for more; otherwise it has ended or taken over the descriptor.
class DiskServer {
 public:
  using Handler = std::function<bool(int fd, const Message& request)>;
  explicit DiskServer(Handler on_request) : on_request_(std::move(on_request)) {
    const int listener = listen_on_free_port(port_);
    std::thread([this, listener] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        set_no_delay(fd);
        std::thread([this, fd] { serve(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  void serve(int fd) {
    std::string buffer;
    Message request;
    while (read_message(fd, buffer, request, 3600) == ReadResult::kMessage) {
      if (!on_request_(fd, request)) return;
    }
    ::close(fd);
  }
  Handler on_request_;
  int port_ = 0;
};

struct Instance {
  std::string id;
  int port = 0;
  int cell = 0;
  std::string lifecycle = "Ready";
};

inline std::string list_text(int generation, bool whole, const std::vector<Instance>& instances) {
  std::string text = "{\"generation\":" + std::to_string(generation) +
                     ",\"reset\":" + (whole ? "true" : "false") + ",\"instances\":[";
  for (std::size_t i = 0; i < instances.size(); ++i) {
    const Instance& s = instances[i];
    text += std::string(i > 0 ? "," : "") + "{\"instanceId\":\"" + s.id +
            "\",\"hostPort\":\"127.0.0.1:" + std::to_string(s.port) +
            "\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":" + std::to_string(s.cell) +
            ",\"lifecycle\":\"" + s.lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}";
  }
  return text + "]}";
}

// Discovery with a list that does not change: the whole list first, then an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<Instance> instances) {
    const int listener = listen_on_free_port(port_);
    std::thread([listener, text = list_text(1, true, instances)] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        set_no_delay(fd);
        std::thread([fd, text] {
          std::string buffer;
          Message request;
          if (read_message(fd, buffer, request, 5) == ReadResult::kMessage &&
              write_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text + "\n"))) {
            while (write_all(fd, chunk("\n"))) sleep_for(2);
          }
          ::close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  int port_ = 0;
};

// ---- The scheduler ----

// Settings of a small deployment of one scheduler. `classes` and `policies`: the objects of these arrays.
// `largest`: the units of the largest request.
inline std::string settings_text(const std::string& classes, const std::string& policies, int shards,
                                 int largest = 8) {
  return "{\"index\":0,\"balancers\":1,\"discovery\":\"on_request\",\"zone\":\"a\",\"dcs\":[\"a\"],"
         "\"resolution\":2000,\"allowed\":{\"attempts-cap\":3,\"cancel\":true,\"connect-timeout\":250000,"
         "\"idle-close\":30000000,\"max-open\":20000,\"max-retry-after\":1000000,\"may-duplicate\":false,"
         "\"peers\":false,\"probes\":false,\"retry-after\":true,\"streams-per-conn\":1},"
         "\"family-info\":{\"largest\":" +
         std::to_string(largest) + ",\"mean-units\":2.0,\"n-shards\":" + std::to_string(shards) +
         ",\"says-others\":true,\"share-worth\":0.3,\"spare-worth\":0.1},"
         "\"rules\":{\"answer-slack\":8000,\"ask-every\":10000000,\"stop-sending-within\":250000},"
         "\"request-classes\":[" +
         classes + "],\"policies\":[" + policies + "]}";
}

constexpr const char* kPlanWithoutLimit =
    "{\"name\":\"basic\",\"nominal\":200.0,\"floor-rate\":0.0,\"ceiling-rate\":0.0,\"limit-burst\":0.0,"
    "\"tolerance\":0.0,\"shares\":1.0,\"worth-factor\":1.0}";

// The value of `run` in deploy/balancer.toml.
inline std::string run_command() {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) != 0) continue;
    return line.substr(7, line.find('"', 7) - 7);
  }
  std::fprintf(stderr, "no run command in deploy/balancer.toml\n");
  std::exit(kCouldNotRun);
}

class Scheduler {
 public:
  // `settings`: the JSON object. `directory`: for the configuration and the log.
  Scheduler(const std::string& directory, int discovery_port, const std::string& list,
            const std::string& settings, int memory_mb = 192, int sockets = 1024)
      : port_(free_port()), directory_(directory) {
    const std::string config = directory + "/config.json";
    const std::string listen = "127.0.0.1:" + std::to_string(port_);
    const std::string discovery = "127.0.0.1:" + std::to_string(discovery_port);
    std::ofstream(config) << "{\"name\":\"n0\",\"listen\":\"" << listen << "\",\"discovery\":\"" << discovery
                          << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                          << memory_mb << ",\"sockets\":" << sockets << "},\"known\":" << list
                          << ",\"settings\":" << settings << "}\n";
    const std::string command = run_command();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if the test is killed
      const int log = ::open((directory + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("LB_NAME", "n0", 1);
      ::setenv("LB_LISTEN", listen.c_str(), 1);
      ::setenv("LB_DISCOVERY", discovery.c_str(), 1);
      ::setenv("LB_CONFIG", config.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
    for (const double end = now() + 10; now() < end; sleep_for(0.05)) {
      const int fd = connect_to(port_);
      if (fd < 0) continue;
      std::string buffer;
      Message reply;
      write_all(fd, "GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n");
      const bool ready = read_message(fd, buffer, reply, 2) == ReadResult::kMessage && reply.status() == 200;
      ::close(fd);
      if (!ready) continue;
      record("scheduler: ready, process %d, port %d", pid_, port_);
      return;
    }
    std::fprintf(stderr, "the scheduler is not ready\n");
    end();
    std::exit(kCouldNotRun);
  }
  ~Scheduler() { end(); }
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  int port() const { return port_; }
  int process() const { return pid_; }
  void signal(int number) const { ::kill(pid_, number); }
  bool running() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  void end() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGCONT);
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, 0), nullptr, 0);
  }

 private:
  int port_;
  std::string directory_;
  pid_t pid_ = 0;
};

// ---- Clients ----

struct Request {
  std::string method = "GET";
  std::string volume = "00000003b4d60021";
  std::string key;
  std::string id;
  std::string profile;
  std::string tier = "basic";
  std::string mark;  // Idempotency-Key
  int shard = 0;
  int units = 1;
  int hosts = 1;
  long budget_ms = 3000;
  std::string body;

  std::string text() const {
    std::string out = method + " /api/" + volume + "/" + key +
                      " HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + profile +
                      "\r\nTier: " + tier + "\r\nX-Budget-Ms: " + std::to_string(budget_ms) +
                      "\r\nIO-Info: units=" + std::to_string(units) + ",shard=" + std::to_string(shard) +
                      ",hosts=" + std::to_string(hosts) + "\r\n";
    if (!mark.empty()) out += "Idempotency-Key: " + mark + "\r\n";
    if (method == "PUT") out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
  }
};

inline std::string hex16(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

struct Answer {
  ReadResult result = ReadResult::kTimeout;
  Message message;
  int status() const { return result == ReadResult::kMessage ? message.status() : 0; }
};

// One connection of a client to the scheduler; one request at a time.
class Client {
 public:
  explicit Client(int port) : fd_(connect_to(port)) {}
  ~Client() {
    if (fd_ >= 0) ::close(fd_);
  }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  int fd() const { return fd_; }
  bool send(const std::string& text) const { return fd_ >= 0 && write_all(fd_, text); }
  Answer receive(double timeout) {
    Answer answer;
    answer.result = read_message(fd_, buffer_, answer.message, timeout);
    return answer;
  }

 private:
  int fd_;
  std::string buffer_;
};

// argv: the folder for temporary files, the file for the record.
inline std::string begin(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s TEMPORARY_FOLDER RECORD\n", argv[0]);
    std::exit(kCouldNotRun);
  }
  std::signal(SIGPIPE, SIG_IGN);
  // The verdict does not need the record.
  record_file() = std::fopen(argv[2], "w");
  if (record_file() == nullptr) record_file() = std::fopen("/dev/null", "w");
  now();
  record("TROUBLE=%d", trouble() ? 1 : 0);
  return argv[1];
}

// Ends the process at once, as threads of the stand-ins still run.
[[noreturn]] inline void finish(Scheduler& scheduler, int code, const std::string& verdict) {
  scheduler.end();
  record("%s", verdict.c_str());
  std::printf("%s\n", verdict.c_str());
  std::fflush(nullptr);
  ::_exit(code);
}

}  // namespace review
