// Captures the log of a test.
#pragma once

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <cstddef>
#include <memory>
#include <sstream>
#include <string>

namespace dockdyke::testing {

// Takes all log lines of level `info` and above from its construction until it is destroyed.
class LogCapture {
 public:
  LogCapture() {
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(output_);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    spdlog::set_level(spdlog::level::info);
  }
  ~LogCapture() {
    spdlog::set_default_logger(previous_logger_);
    spdlog::set_level(previous_level_);
  }
  LogCapture(const LogCapture&) = delete;
  LogCapture& operator=(const LogCapture&) = delete;

  // Returns how many lines contain the text.
  std::size_t count_lines_with(const std::string& text) const {
    std::istringstream lines(output_.str());
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) count += line.find(text) != std::string::npos;
    return count;
  }

 private:
  std::ostringstream output_;
  std::shared_ptr<spdlog::logger> previous_logger_ = spdlog::default_logger();
  spdlog::level::level_enum previous_level_ = spdlog::get_level();
};

}  // namespace dockdyke::testing
