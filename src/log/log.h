// Structured logs: one JSON object a line, {"time":..., "level":..., "event":..., fields}. docs/operate.md
// lists events and fields. At most so many lines a second; what is left out is counted and said.
#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace spdlog {
class logger;
}

namespace heronworks {

class Log {
 public:
  // `file` empty: standard error. Throws std::runtime_error if the file cannot be opened.
  Log(const std::string& file, const std::string& level, int lines_a_second);
  ~Log();
  void debug(double now, const char* event, nlohmann::json fields = {}) {
    write(now, 0, event, std::move(fields));
  }
  void info(double now, const char* event, nlohmann::json fields = {}) {
    write(now, 1, event, std::move(fields));
  }
  void warn(double now, const char* event, nlohmann::json fields = {}) {
    write(now, 2, event, std::move(fields));
  }
  void error(double now, const char* event, nlohmann::json fields = {}) {
    write(now, 3, event, std::move(fields));
  }

 private:
  void write(double now, int level, const char* event, nlohmann::json fields);

  std::shared_ptr<spdlog::logger> logger_;
  int least_ = 1;
  int lines_;
  int left_;
  int dropped_ = 0;
  double second_ = 0;
};

}  // namespace heronworks
