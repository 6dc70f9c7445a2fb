// Log lines about cancelled jobs that had tasks on machines.
#pragma once

#include <cstddef>
#include <vector>

#include "core/views.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// Logs at most constants::kMaxCancellationLogLines between two summaries. Jobs at risk are always logged:
// there is one line a job at the most.
class CancellationLog {
 public:
  explicit CancellationLog(FencingToken token) : token_(token) {}

  void write(const std::vector<core::CancellationReport>& reports);
  // Nothing where no cancelled job has tasks on machines and no line was left out.
  void write_summary(const core::CancellationSummary& summary);

 private:
  void write(const core::CancellationReport& report);
  // Counts a line; false when there is no more room for it.
  bool take_line();

  FencingToken token_;
  std::size_t lines_ = 0;
  std::size_t suppressed_lines_ = 0;
};

}  // namespace dockdyke::app
