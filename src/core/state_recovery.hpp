// Recovers the tasks of previous leaders from stored records.
//
// Records are loaded in this order: jobs, segments of the task log in the order of their keys, parts of gang
// records. `complete` then adopts every task that may be running. An adopted task occupies its machine's
// capacity until it is confirmed ended.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/cluster_state.hpp"
#include "core/events.hpp"
#include "core/task_lifecycle.hpp"
#include "core/task_log.hpp"
#include "core/time.hpp"
#include "core/write_queue.hpp"

namespace dockdyke::core {

class StateRecovery {
 public:
  StateRecovery(ClusterState& state, TaskLog& task_log, WriteQueue& writes, TaskLifecycle& lifecycle);

  void load(const SegmentLoaded& event);
  void load(const GangPartLoaded& event);
  // Adopts the loaded tasks after all records have been loaded.
  void complete(Time now);

 private:
  // The newest attempt of a gang among the loaded records.
  struct LoadedGang {
    Attempt attempt = 0;
    std::uint32_t part_count = 0;
    std::uint32_t loaded_parts = 0;
    std::vector<TaskRecord> tasks;
  };

  void load_task(SegmentNumber segment, Job& job, const TaskRecord& record);
  void adopt_tasks(Job& job, Time now);
  void adopt_gang(Job& job, Time now);
  void adopt(Job& job, TaskIndex index, const MachineId& machine, Attempt attempt, Time now);

  ClusterState& state_;
  TaskLog& task_log_;
  WriteQueue& writes_;
  TaskLifecycle& lifecycle_;
  std::map<std::pair<std::uint32_t, TaskIndex>, MachineId> loaded_machines_;  // by job's serial and task
  std::map<std::uint32_t, LoadedGang> loaded_gangs_;                          // by job's serial
};

}  // namespace dockdyke::core
