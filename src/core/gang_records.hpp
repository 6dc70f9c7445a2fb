// Writes the records of gang attempts, which hold the machines that the tasks of an attempt are assigned to.
//
// A record is split into parts that fit into a value of the state service. An attempt may be dispatched only
// when all its parts are durable.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/task_records.hpp"

namespace dockdyke::core {

// Identifies a gang's attempt.
struct GangAttemptRef {
  std::uint32_t job_serial = 0;
  Attempt attempt = 0;
};

// A part of a record that is to be written.
struct PendingGangPart {
  GangAttemptRef attempt;
  wire::Transaction transaction;
};

class GangRecords {
 public:
  GangRecords(ClusterState& state, EffectQueue& effects);

  // Queues the record of the job's current attempt. `tasks` are all tasks of the attempt.
  void add(Job& job, const std::vector<TaskRecord>& tasks);
  bool empty() const { return pending_parts_.empty(); }
  // Returns the next part to write or std::nullopt. Skips parts of attempts that have been aborted; their
  // attempt numbers are not used again.
  std::optional<PendingGangPart> next_part();
  // Marks a part as durable. Once all parts are, the records of previous attempts are deleted.
  void confirm(const GangAttemptRef& ref);
  // Handles a part that the state service rejected as too large: later records use smaller parts. Returns the
  // job whose attempt must be aborted, if any. The attempt number is not reused, since a previous
  // transmission of the part may have been stored.
  Job* reject(const GangAttemptRef& ref);

 private:
  // Returns the job, or nullptr if it has ended or its current attempt is another one.
  Job* find_job_of_attempt(const GangAttemptRef& ref) const;

  ClusterState& state_;
  EffectQueue& effects_;
  std::size_t max_bytes_;
  std::deque<GangPart> pending_parts_;
};

}  // namespace dockdyke::core
