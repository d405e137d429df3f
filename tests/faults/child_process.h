// Child processes that end with their owner.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace heronworks::faults {

// A program to execute.
struct Command {
  std::vector<std::string> arguments;              // the program's path first
  std::map<std::string, std::string> environment;  // added to that of this process
  std::string log_path;                            // of standard output and standard error; empty: inherited
};

// Owns a child process. Its destructor kills the process and waits for it; the kernel kills it if the owner's
// process ends first. Movable, not copyable.
class ChildProcess {
 public:
  ChildProcess() = default;
  ChildProcess(ChildProcess&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}
  ChildProcess& operator=(ChildProcess&& other) noexcept {
    std::swap(pid_, other.pid_);
    return *this;
  }
  ~ChildProcess() { kill_and_wait(); }

  // Runs `action` in a copy of this process; its result is the exit code. Throws std::runtime_error if there
  // is no process to be had, as execute() does.
  static ChildProcess run(const std::function<int()>& action);
  static ChildProcess execute(const Command& command);

  pid_t pid() const { return pid_; }
  void signal(int number) const;
  bool running();
  // Waits up to `seconds` for its end. Returns whether it has ended.
  bool wait(double seconds);
  // Of a process that has ended: as a shell reports it, 128 plus the signal's number if one ended it.
  int exit_code() const { return exit_code_; }
  // Ends a process that may be stopped.
  void kill_and_wait();

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_ = 0;  // 0: none, or it has ended
  int exit_code_ = 0;
};

// Memory of a process as the kernel counts it: RssAnon of /proc/PID/status, in MiB. 0 if it has ended.
double anonymous_megabytes(pid_t pid);

// CPU time that a process has used, in seconds. 0 if it has ended.
double cpu_seconds(pid_t pid);

}  // namespace heronworks::faults
