#include "child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace heronworks::faults {
namespace {

constexpr int kCannotExecute = 127;  // exit code, as of a shell
constexpr int kSignalExitCodeBase = 128;
constexpr useconds_t kWaitStepMicroseconds = 1000;
constexpr double kSecondsPerMicrosecond = 1e-6;
constexpr double kSecondsPerNanosecond = 1e-9;
constexpr double kKilobytesPerMegabyte = 1024;

pid_t fork_child() {
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot fork");
  if (pid == 0) ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  return pid;
}

void redirect_output(const std::string& path) {
  const int log = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) return;
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
}

[[noreturn]] void execute_program(const Command& command) {
  if (!command.log_path.empty()) redirect_output(command.log_path);
  for (const auto& [name, value] : command.environment) ::setenv(name.c_str(), value.c_str(), 1);
  std::vector<char*> arguments;
  for (const std::string& argument : command.arguments)
    arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  ::execv(arguments[0], arguments.data());
  std::_Exit(kCannotExecute);
}

}  // namespace

ChildProcess ChildProcess::run(const std::function<int()>& action) {
  const pid_t pid = fork_child();
  if (pid == 0) std::_Exit(action());
  return ChildProcess(pid);
}

ChildProcess ChildProcess::execute(const Command& command) {
  const pid_t pid = fork_child();
  if (pid == 0) execute_program(command);
  return ChildProcess(pid);
}

void ChildProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

bool ChildProcess::running() { return pid_ > 0 && !wait(0); }

bool ChildProcess::wait(double seconds) {
  for (double waited = 0; pid_ > 0; waited += kWaitStepMicroseconds * kSecondsPerMicrosecond) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ = WIFSIGNALED(status) ? kSignalExitCodeBase + WTERMSIG(status) : WEXITSTATUS(status);
      pid_ = 0;
      break;
    }
    if (waited >= seconds) return false;
    ::usleep(kWaitStepMicroseconds);
  }
  return true;
}

void ChildProcess::kill_and_wait() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(std::exchange(pid_, 0), nullptr, 0);
  exit_code_ = kSignalExitCodeBase + SIGKILL;
}

double anonymous_megabytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("RssAnon:")) return std::strtod(line.c_str() + 8, nullptr) / kKilobytesPerMegabyte;
  }
  return 0;
}

double cpu_seconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double nanoseconds = 0;
  file >> nanoseconds;
  return kSecondsPerNanosecond * nanoseconds;
}

}  // namespace heronworks::faults
