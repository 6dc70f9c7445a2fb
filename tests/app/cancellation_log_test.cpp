// Tests that the number of log lines about cancellations is bounded.
#include "app/cancellation_log.hpp"

#include <gtest/gtest.h>

#include "constants.hpp"
#include "log_capture.hpp"

namespace dockdyke::testing {

TEST(CancellationLogTest, LinesBetweenSummariesAreBoundedAndSuppressionsCounted) {
  const LogCapture captured;
  app::CancellationLog log{FencingToken(7)};
  core::CancellationReport stop_sent;
  stop_sent.kind = core::CancellationReport::Kind::stop_sent;
  core::CancellationReport at_risk;
  at_risk.kind = core::CancellationReport::Kind::at_risk;
  std::vector<core::CancellationReport> reports(4100, stop_sent);
  reports.push_back(at_risk);
  log.write(reports);
  EXPECT_EQ(captured.count_lines_with("event=cancelled_task_stop_sent"), constants::kMaxCancellationLogLines);
  EXPECT_EQ(captured.count_lines_with("event=cancellation_at_risk"), 1u);
  log.write_summary({});
  EXPECT_EQ(captured.count_lines_with("suppressed_lines=4050"), 1u);
  log.write(std::vector{stop_sent});
  EXPECT_EQ(captured.count_lines_with("event=cancelled_task_stop_sent"),
            constants::kMaxCancellationLogLines + 1);
}

}  // namespace dockdyke::testing
