// Logs the progress of cancelled jobs whose tasks are still on machines.
#pragma once

#include <cstddef>
#include <vector>

#include "core/views.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// Logs at most constants::kMaxCancellationLogLines lines between two summaries. Jobs at risk are always
// logged, with at most one line per job.
class CancellationLog {
 public:
  explicit CancellationLog(FencingToken token) : token_(token) {}

  void write(const std::vector<core::CancellationReport>& reports);
  // Logs nothing if no cancelled job has tasks on machines and no line was suppressed. Resets the line limit.
  void write_summary(const core::CancellationSummary& summary);

 private:
  void write(const core::CancellationReport& report);
  // Counts a line towards the limit. Returns false and counts it as suppressed if the limit is reached.
  bool reserve_line();

  FencingToken token_;
  std::size_t logged_lines_ = 0;
  std::size_t suppressed_lines_ = 0;
};

}  // namespace dockdyke::app
