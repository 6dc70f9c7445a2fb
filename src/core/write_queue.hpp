// The leader's writes to the state service, in order of urgency: terminal records of jobs, records of gang
// attempts, segments of the task log.
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

  // The job is complete, and its terminal record is to be stored.
  void request_terminal_record(Job& job);

  // Nothing where all is stored, in flight or not yet due.
  std::optional<StateWrite> next(Time now);
  // Seconds until `next` may have a write; nothing where all is stored or in flight.
  std::optional<double> next_due_in(Time now) const;

  // The write was applied. Returns the jobs whose terminal record it held.
  std::vector<JobId> applied(std::uint64_t number);
  // Preconditions on these keys failed. Returns the jobs whose active record is gone, by an earlier try or by
  // a cancellation; terminal records of the others are queued again.
  std::vector<JobId> conflicted(std::uint64_t number, const std::vector<std::string>& failed_keys);
  // The state service called the write invalid, so a smaller one follows. Returns the gang whose attempt must
  // be aborted, if any.
  Job* rejected(std::uint64_t number);

 private:
  struct InFlight {
    SegmentNumber segment = 0;  // 0: none
    std::optional<GangAttemptRef> gang;
    std::vector<JobId> completed_jobs;
  };

  std::optional<StateWrite> next_terminal_records();
  std::optional<StateWrite> next_gang_part();
  std::optional<StateWrite> next_segment(Time now);
  StateWrite start(InFlight in_flight, wire::Transaction transaction, bool urgent);
  // Nothing where the write is unknown.
  std::optional<InFlight> finish(std::uint64_t number);

  ClusterState& state_;
  TaskLog& task_log_;
  GangRecords& gang_records_;
  std::deque<JobId> terminal_jobs_;  // whose terminal records are to be written
  std::size_t max_jobs_per_write_;
  std::uint64_t next_number_ = 1;
  std::map<std::uint64_t, InFlight> in_flight_;
};

}  // namespace dockdyke::core
