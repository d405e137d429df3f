#include "log/log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cmath>

namespace heronworks {
namespace {
constexpr const char* kLevelNames[] = {"debug", "info", "warn", "error"};
}

Log::Log(const std::string& file, const std::string& level, int max_lines_per_second)
    : max_lines_per_second_(max_lines_per_second), lines_left_(max_lines_per_second) {
  for (int i = 0; i < 4; ++i) {
    if (level == kLevelNames[i]) min_level_ = i;
  }
  spdlog::sink_ptr sink;
  if (file.empty()) sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  else sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(file, false);
  logger_ = std::make_shared<spdlog::logger>("heronworks", sink);
  logger_->set_pattern("%v");
  logger_->set_level(spdlog::level::trace);
  logger_->flush_on(spdlog::level::info);
}

Log::~Log() = default;

void Log::write(double now, int level, const char* event, nlohmann::json fields) {
  if (level < min_level_) return;
  if (std::floor(now) != current_second_) {
    current_second_ = std::floor(now);
    lines_left_ = max_lines_per_second_;
    if (const int dropped = std::exchange(dropped_lines_, 0); dropped > 0) {
      logger_->info(R"({{"time":{:.6f},"level":"warn","event":"log.dropped","lines":{}}})", now, dropped);
    }
  }
  if (lines_left_ <= 0) {
    ++dropped_lines_;
    return;
  }
  --lines_left_;
  nlohmann::ordered_json line;
  line["time"] = std::round(now * 1e6) / 1e6;
  line["level"] = kLevelNames[level];
  line["event"] = event;
  for (auto& [key, value] : fields.items()) line[key] = value;
  logger_->info("{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace heronworks
