// Tracks cancelled jobs whose tasks may still be on machines, for logging only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/time.hpp"
#include "core/views.hpp"

namespace dockdyke::core {

class CancellationTracker {
 public:
  explicit CancellationTracker(const ClusterState& state);

  // Starts to track a cancelled job. Does nothing if the job has no assignments.
  void start_tracking(const Job& job, Time now);
  // Records that a response to the machine carries a stop command for a task of the job.
  void record_stop_sent(const Job& job, const Machine& machine, Time now);
  // Records that the cloud has deleted the machine. The caller releases the machine's assignments afterwards.
  void record_machine_deleted(const Machine& machine);
  // Stops tracking a job whose tasks have all been confirmed ended.
  void finish_tracking(const Job& job, Time now);
  // Reports each job once when less than `kCancellationWarningFraction` of the cancellation timeout is left.
  void report_at_risk(Time now);

  std::vector<CancellationReport> take_reports();
  CancellationSummary summary(Time now) const;

 private:
  struct Progress {
    std::size_t stops_sent = 0;
    std::size_t tasks_deleted = 0;  // that ended because their machines were deleted
    bool reported_at_risk = false;
  };

  CancellationReport make_report(CancellationReport::Kind kind, const Job& job, Time now) const;

  const ClusterState& state_;
  std::map<std::uint32_t, Progress> progress_;  // by job serial
  std::vector<CancellationReport> reports_;
};

}  // namespace dockdyke::core
