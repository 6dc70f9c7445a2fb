// Tests that the number of log lines about cancellations is bounded.
#include "app/cancellation_log.hpp"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <sstream>
#include <string>

#include "constants.hpp"

namespace dockdyke::testing {

class CancellationLogTest : public ::testing::Test {
 protected:
  CancellationLogTest() {
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(output_);
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", sink));
    spdlog::set_level(spdlog::level::info);
  }
  ~CancellationLogTest() override {
    spdlog::set_default_logger(previous_logger_);
    spdlog::set_level(previous_level_);
  }

  std::size_t count_lines_with(const std::string& event) const {
    std::istringstream lines(output_.str());
    std::size_t count = 0;
    for (std::string line; std::getline(lines, line);) count += line.find(event) != std::string::npos;
    return count;
  }

  std::ostringstream output_;
  std::shared_ptr<spdlog::logger> previous_logger_ = spdlog::default_logger();
  spdlog::level::level_enum previous_level_ = spdlog::get_level();
  app::CancellationLog log_{FencingToken(7)};
};

TEST_F(CancellationLogTest, LinesBetweenSummariesAreBoundedAndSuppressionsCounted) {
  core::CancellationReport stop_sent;
  stop_sent.kind = core::CancellationReport::Kind::stop_sent;
  core::CancellationReport at_risk;
  at_risk.kind = core::CancellationReport::Kind::at_risk;
  std::vector<core::CancellationReport> reports(4100, stop_sent);
  reports.push_back(at_risk);
  log_.write(reports);
  EXPECT_EQ(count_lines_with("event=cancelled_task_stop_sent"), constants::kMaxCancellationLogLines);
  EXPECT_EQ(count_lines_with("event=cancellation_at_risk"), 1u);
  log_.write_summary({});
  EXPECT_EQ(count_lines_with("suppressed_lines=4050"), 1u);
  log_.write(std::vector{stop_sent});
  EXPECT_EQ(count_lines_with("event=cancelled_task_stop_sent"), constants::kMaxCancellationLogLines + 1);
}

}  // namespace dockdyke::testing
