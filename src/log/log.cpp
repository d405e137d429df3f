// Structured logs: see log.h.
#include "log/log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cmath>

namespace heronworks {
namespace {
constexpr const char* kLevels[] = {"debug", "info", "warn", "error"};
}

Log::Log(const std::string& file, const std::string& level, int lines_a_second)
    : lines_(lines_a_second), left_(lines_a_second) {
  for (int i = 0; i < 4; ++i) {
    if (level == kLevels[i]) least_ = i;
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
  if (level < least_) return;
  if (std::floor(now) != second_) {
    second_ = std::floor(now);
    left_ = lines_;
    if (const int n = std::exchange(dropped_, 0); n > 0) {
      logger_->info(R"({{"time":{:.6f},"level":"warn","event":"log.dropped","lines":{}}})", now, n);
    }
  }
  if (left_ <= 0) {
    ++dropped_;
    return;
  }
  --left_;
  nlohmann::ordered_json line;
  line["time"] = std::round(now * 1e6) / 1e6;
  line["level"] = kLevels[level];
  line["event"] = event;
  for (auto& [key, value] : fields.items()) line[key] = value;
  logger_->info("{}", line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace heronworks
