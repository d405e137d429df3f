// Structured logs: one JSON object per line, {"time":..., "level":..., "event":..., fields}. docs/operate.md
// lists the events and their fields. Lines above the rate limit are dropped, and a "log.dropped" event counts
// them.
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
  // Writes to `file`, or to standard error if it is empty. Drops events below `level` ("debug", "info",
  // "warn" or "error"; "info" if it is none of them). Throws spdlog::spdlog_ex if the file cannot be opened.
  Log(const std::string& file, const std::string& level, int max_lines_per_second);
  ~Log();
  // `now` is in seconds; it becomes the "time" of the line and drives the rate limit.
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

  // Whether debug() writes anything: for fields that are costly to collect.
  bool writes_debug() const { return min_level_ == 0; }

 private:
  void write(double now, int level, const char* event, nlohmann::json fields);

  std::shared_ptr<spdlog::logger> logger_;
  int min_level_ = 1;
  int max_lines_per_second_;
  int lines_left_;  // in the current second
  int dropped_lines_ = 0;
  double current_second_ = 0;
};

}  // namespace heronworks
