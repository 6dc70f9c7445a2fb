// Orders the leader's writes to the state service: first terminal records of jobs, then records of gang
// attempts, then segments of the task log.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/effects.hpp"
#include "core/gang_records.hpp"
#include "core/task_log.hpp"
#include "core/time.hpp"

namespace dockdyke::core {

class WriteQueue {
 public:
  WriteQueue(ClusterState& state, TaskLog& task_log, GangRecords& gang_records);

  // Queues the terminal record of a completed job.
  void request_terminal_record(Job& job);

  // Returns the next write, or std::nullopt if everything is durable, in flight or not yet due.
  std::optional<StateWrite> next(Time now);
  // Returns the seconds until `next` may return a write, or std::nullopt if everything is durable or in
  // flight.
  std::optional<double> next_due_in(Time now) const;

  // Handles a write that was applied. Returns the jobs whose terminal records it stored.
  std::vector<JobId> on_applied(std::uint64_t number);
  // Handles a write whose preconditions on `failed_keys` failed. Returns the jobs whose active record no
  // longer exists, due to a previous transmission of the write or a cancellation. Terminal records of the
  // other jobs are queued again.
  std::vector<JobId> on_conflicted(std::uint64_t number, const std::vector<std::string>& failed_keys);
  // Handles a write that the state service rejected as invalid, most likely because of its size. Later writes
  // are smaller. Returns the gang whose attempt must be aborted, if any.
  Job* on_rejected(std::uint64_t number);

 private:
  struct InFlightWrite {
    SegmentNumber segment = 0;  // 0: none
    std::optional<GangAttemptRef> gang;
    std::vector<JobId> completed_jobs;
  };

  std::optional<StateWrite> next_terminal_records();
  std::optional<StateWrite> next_gang_part();
  std::optional<StateWrite> next_segment(Time now);
  StateWrite begin_write(InFlightWrite in_flight, wire::Transaction transaction, bool urgent);
  // Removes the write from those in flight and returns it, or std::nullopt if it is unknown.
  std::optional<InFlightWrite> end_write(std::uint64_t number);

  ClusterState& state_;
  TaskLog& task_log_;
  GangRecords& gang_records_;
  std::deque<JobId> terminal_jobs_;  // jobs whose terminal records are to be written
  std::size_t max_jobs_per_write_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, InFlightWrite> in_flight_;
};

}  // namespace dockdyke::core
