// What becomes of cancelled jobs that had tasks on machines: who was told to stop, and what is still there.
// It only observes, for the log; nothing is decided by it.
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

  // The cancellation is known, and the job has assignments that may be on machines.
  void begin(const Job& job, Time now);
  // A response to the machine carries a stop command for a task of the job.
  void stop_sent(const Job& job, const Machine& machine, Time now);
  // The cloud has confirmed the machine's deletion; its assignments have not been released yet.
  void machine_deleted(const Machine& machine);
  // No task of the job is on a machine any more.
  void end(const Job& job, Time now);
  // Reports each job once when a third of its time is left.
  void report_at_risk(Time now);

  std::vector<CancellationReport> take_reports();
  CancellationSummary summary(Time now) const;

 private:
  struct Progress {
    std::size_t stops_sent = 0;
    std::size_t tasks_deleted = 0;  // with their machines
    bool reported_at_risk = false;
  };

  double time_left_s(const Job& job, Time now) const;
  CancellationReport report(CancellationReport::Kind kind, const Job& job, Time now) const;

  const ClusterState& state_;
  std::map<std::uint32_t, Progress> progress_;  // by the job's serial
  std::vector<CancellationReport> reports_;
};

}  // namespace dockdyke::core
