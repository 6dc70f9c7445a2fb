#include "app/cancellation_log.hpp"

#include <spdlog/spdlog.h>

#include "constants.hpp"

namespace dockdyke::app {

using core::CancellationReport;

void CancellationLog::write(const std::vector<CancellationReport>& reports) {
  for (const auto& report : reports)
    if (report.kind == CancellationReport::Kind::at_risk || reserve_line()) write(report);
}

bool CancellationLog::reserve_line() {
  if (logged_lines_ >= constants::kMaxCancellationLogLines) {
    ++suppressed_lines_;
    return false;
  }
  ++logged_lines_;
  return true;
}

void CancellationLog::write(const CancellationReport& report) {
  switch (report.kind) {
    case CancellationReport::Kind::known:
      spdlog::info(
          "event=cancellation_known token={} id={} time_left_s={:.1f} tasks={} machines={} first={} "
          "unheard_s={:.1f}",
          token_.value, report.job.value, report.time_left_s, report.tasks, report.machines,
          report.machine.value, report.time_since_heartbeat_s);
      break;
    case CancellationReport::Kind::stop_sent:
      spdlog::info(
          "event=cancelled_task_stop_sent token={} id={} machine={} tasks={} token_acknowledged={} "
          "time_left_s={:.1f}",
          token_.value, report.job.value, report.machine.value, report.stops_sent, report.token_acknowledged,
          report.time_left_s);
      break;
    case CancellationReport::Kind::at_risk:
      spdlog::warn(
          "event=cancellation_at_risk token={} id={} time_left_s={:.1f} tasks={} machines={} first={} "
          "unheard_s={:.1f} token_acknowledged={} stops_sent={} deletion_requested={}",
          token_.value, report.job.value, report.time_left_s, report.tasks, report.machines,
          report.machine.value, report.time_since_heartbeat_s, report.token_acknowledged, report.stops_sent,
          report.deletion_requested);
      break;
    case CancellationReport::Kind::ended:
      spdlog::info(
          "event=cancellation_ended token={} id={} time_left_s={:.1f} stops_sent={} tasks_deleted={}",
          token_.value, report.job.value, report.time_left_s, report.stops_sent, report.tasks_deleted);
      break;
  }
}

void CancellationLog::write_summary(const core::CancellationSummary& summary) {
  if (summary.jobs > 0 || suppressed_lines_ > 0)
    spdlog::info("event=cancellations token={} jobs={} tasks={} least_time_left_s={:.1f} suppressed_lines={}",
                 token_.value, summary.jobs, summary.tasks, summary.least_time_left_s, suppressed_lines_);
  logged_lines_ = 0;
  suppressed_lines_ = 0;
}

}  // namespace dockdyke::app
