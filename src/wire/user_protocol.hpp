// Field names and enum values of the interface "Users -> controller nodes" in PROTOCOL.
#pragma once

#include "wire/enum_table.hpp"
#include "wire/shared_protocol.hpp"
#include "wire/user_messages.hpp"

namespace dockdyke::wire::field {

// protocol field -> meaning
inline constexpr const char* kJobClass = "lane";        // class of jobs with common service-level objectives
inline constexpr const char* kTeam = "crew";            // team whose quota (guarantee and limit) applies
inline constexpr const char* kJobKind = "shape";        // see kJobKinds
inline constexpr const char* kPriority = "urgency";     // see kPriorities
inline constexpr const char* kImage = "hull";           // image that the tasks run
inline constexpr const char* kImageGb = "image_gb";     // size of the image in GB
inline constexpr const char* kSameZone = "same_place";  // all tasks must be in one zone
inline constexpr const char* kSpread = "spread";        // at most half of the tasks in one zone
inline constexpr const char* kEstimatedRunS = "expect_s";      // user's estimate of a task's run time
inline constexpr const char* kCheckpointIntervalS = "mark_s";  // progress between two checkpoints
inline constexpr const char* kCheckpointDurationS = "stow_s";  // time to write a checkpoint when stopped
inline constexpr const char* kDeadlineS = "due_s";             // time from the submission to the deadline
inline constexpr const char* kDoneTasks = "done";              // number of completed tasks
inline constexpr const char* kRunningTasks = "running";        // number of running tasks

}  // namespace dockdyke::wire::field

namespace dockdyke::wire {

// Values of field::kJobKind.
inline constexpr EnumTable<JobKind, 3> kJobKinds{
    {{"batch", JobKind::array}, {"group", JobKind::gang}, {"standing", JobKind::service}}};

// Values of field::kPriority.
inline constexpr EnumTable<Priority, 4> kPriorities{{{"critical", Priority::critical},
                                                     {"high", Priority::high},
                                                     {"normal", Priority::normal},
                                                     {"low", Priority::low}}};

// Values of field::kState of a job.
inline constexpr EnumTable<JobState, 4> kJobStates{{{"pending", JobState::pending},
                                                    {"running", JobState::running},
                                                    {"done", JobState::done},
                                                    {"cancelled", JobState::cancelled}}};

}  // namespace dockdyke::wire
