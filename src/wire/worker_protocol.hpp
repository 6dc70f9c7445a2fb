// Field names and enum values of the interfaces "Workers -> controller nodes" and "Controller nodes ->
// workers" in PROTOCOL.
#pragma once

#include "wire/enum_table.hpp"
#include "wire/shared_protocol.hpp"
#include "wire/worker_messages.hpp"

namespace dockdyke::wire::field {

// protocol field -> meaning
inline constexpr const char* kMachine = "dyke";          // machine that the worker runs on
inline constexpr const char* kAddress = "endpoint";      // host and port of the worker
inline constexpr const char* kIncarnation = "watch";     // number of expired leases of the worker plus 1
inline constexpr const char* kSequenceNumber = "tally";  // increases with every message of a worker
inline constexpr const char* kToken = "warrant";         // fencing token
inline constexpr const char* kTerminationNoticeS = "warning_s";  // seconds until a spot instance is reclaimed
inline constexpr const char* kTask = "piece";                    // task id, e.g. "job-000412/3"
inline constexpr const char* kAttempt = "try";                   // attempt number of the task
inline constexpr const char* kExitCause = "cause";               // see kExitCauses
inline constexpr const char* kCheckpointWritten = "stored";      // a stopped task has written a checkpoint
inline constexpr const char* kCommands = "orders";               // worker commands
inline constexpr const char* kCommandKind = "verb";              // see kCommandKinds
inline constexpr const char* kGraceS = "leeway_s";       // seconds for writing a checkpoint after a stop
inline constexpr const char* kRedirectHost = "harbour";  // controller node for the worker's heartbeats

}  // namespace dockdyke::wire::field

namespace dockdyke::wire {

// Values of field::kState of a task.
inline constexpr EnumTable<TaskState, 5> kTaskStates{{{"pulling", TaskState::fetching_image},
                                                      {"waiting", TaskState::waiting_for_gang},
                                                      {"running", TaskState::running},
                                                      {"saving", TaskState::checkpointing},
                                                      {"exited", TaskState::exited}}};

// Values of field::kExitCause.
inline constexpr EnumTable<ExitCause, 8> kExitCauses{{{"done", ExitCause::done},
                                                      {"halted", ExitCause::stopped},
                                                      {"error", ExitCause::error},
                                                      {"no_room", ExitCause::insufficient_capacity},
                                                      {"busy", ExitCause::attempt_conflict},
                                                      {"no_such", ExitCause::unknown_task},
                                                      {"mates_gone", ExitCause::gang_peer_lost},
                                                      {"alone", ExitCause::gang_incomplete}}};

// Values of field::kCommandKind.
inline constexpr EnumTable<CommandKind, 3> kCommandKinds{
    {{"run", CommandKind::start}, {"kill", CommandKind::stop}, {"forget", CommandKind::acknowledge}}};

}  // namespace dockdyke::wire
