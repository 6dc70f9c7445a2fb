// Stored records of gang attempts: which machines the tasks of an attempt are assigned to.
//
// A record is stored in as many parts as the size of values needs. An attempt may be started only when all
// its parts are stored.
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

// The attempt that a part of a record belongs to.
struct GangAttemptRef {
  std::uint32_t job = 0;  // serial
  Attempt attempt = 0;
};

// A part to be stored.
struct UnstoredGangPart {
  GangAttemptRef attempt;
  wire::Transaction transaction;
};

class GangRecords {
 public:
  GangRecords(ClusterState& state, EffectQueue& effects);

  // The job's present attempt, with all its tasks, is to be stored.
  void add(Job& job, const std::vector<TaskRecord>& tasks);
  bool empty() const { return unstored_.empty(); }
  // Skips parts of attempts that were given up before they were stored; their numbers are not used again.
  std::optional<UnstoredGangPart> next_part();
  // The part is stored. With the last one, records of earlier attempts are deleted.
  void confirm(const GangAttemptRef& ref);
  // The state service refused the part as too large. Returns the job whose attempt must be aborted: the next
  // one is stored in smaller parts under the next number, since an earlier try of this one may be stored all
  // the same.
  Job* reject(const GangAttemptRef& ref);

 private:
  // Nothing where the job is over or has gone on to another attempt.
  Job* job_of(const GangAttemptRef& ref) const;

  ClusterState& state_;
  EffectQueue& effects_;
  std::size_t max_bytes_;
  std::deque<GangPart> unstored_;
};

}  // namespace dockdyke::core
