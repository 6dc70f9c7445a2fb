// Field names and enum spellings of the interfaces "Workers -> controller nodes" and "Controller nodes ->
// workers" in PROTOCOL.
#pragma once

#include "wire/enum_table.hpp"
#include "wire/shared_protocol.hpp"
#include "wire/worker_messages.hpp"

namespace dockdyke::wire::field {

// protocol field -> meaning
inline constexpr const char* kMachine = "dyke";                  // machine that the worker runs on
inline constexpr const char* kAddress = "endpoint";              // host and port of the worker
inline constexpr const char* kIncarnation = "watch";             // session: number of expired leases plus 1
inline constexpr const char* kSequenceNumber = "tally";          // grows with every message of a worker
inline constexpr const char* kToken = "warrant";                 // fencing token
inline constexpr const char* kTerminationNoticeS = "warning_s";  // seconds until a spot instance is taken
inline constexpr const char* kTask = "piece";                    // task id, "job-000412/3"
inline constexpr const char* kAttempt = "try";                   // attempt of the task
inline constexpr const char* kExitCause = "cause";               // see kExitCauses
inline constexpr const char* kSaved = "stored";                  // progress of a stopped task was saved
inline constexpr const char* kCommands = "orders";               // worker commands
inline constexpr const char* kCommandKind = "verb";              // see kCommandKinds
inline constexpr const char* kGraceS = "leeway_s";               // seconds that a stopped task gets to save
inline constexpr const char* kRedirectHost = "harbour";          // node that the worker should report to

}  // namespace dockdyke::wire::field

namespace dockdyke::wire {

// Values of field::kState of a task. "waiting" came with gangs (docs/design.md, "Gangs").
inline constexpr EnumTable<TaskState, 5> kTaskStates{{{"pulling", TaskState::fetching},
                                                      {"waiting", TaskState::waiting},
                                                      {"running", TaskState::running},
                                                      {"saving", TaskState::saving},
                                                      {"exited", TaskState::exited}}};

// Values of field::kExitCause. The last two came with gangs.
inline constexpr EnumTable<ExitCause, 8> kExitCauses{{{"done", ExitCause::done},
                                                      {"halted", ExitCause::stopped},
                                                      {"error", ExitCause::error},
                                                      {"no_room", ExitCause::no_room},
                                                      {"busy", ExitCause::busy},
                                                      {"no_such", ExitCause::unknown_job},
                                                      {"mates_gone", ExitCause::peer_lost},
                                                      {"alone", ExitCause::gang_incomplete}}};

// Values of field::kCommandKind.
inline constexpr EnumTable<CommandKind, 3> kCommandKinds{
    {{"run", CommandKind::start}, {"kill", CommandKind::stop}, {"forget", CommandKind::acknowledge}}};

}  // namespace dockdyke::wire
