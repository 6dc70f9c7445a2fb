// Field names that occur in more than one interface of the protocol. Only the *_protocol.hpp headers contain
// the protocol's names of fields and values; each constant is named after the meaning of its field.
#pragma once

namespace dockdyke::wire::field {

// protocol field -> meaning
inline constexpr const char* kId = "id";         // id of a job, or of a machine in the machine list
inline constexpr const char* kState = "stage";   // state of a job, a task or a listed machine
inline constexpr const char* kTasks = "pieces";  // number of tasks of a job, or list of tasks in a heartbeat

inline constexpr const char* kCpus = "vcpus";           // virtual CPUs
inline constexpr const char* kGpus = "gpus";            // GPUs
inline constexpr const char* kMemoryGb = "ram_gb";      // memory in GB
inline constexpr const char* kMachineType = "build";    // machine type of a machine or a scale-out request
inline constexpr const char* kMachineTypes = "builds";  // allowed types of a job; the cloud's list of types
inline constexpr const char* kZone = "polder";          // zone of a machine; the only allowed zone of a job
inline constexpr const char* kSpot = "ebbtide";         // machine is a spot instance, or job allows them

inline constexpr const char* kMore = "more";  // whether a listing continues after this page

}  // namespace dockdyke::wire::field

// Query parameters that occur in more than one interface of the protocol.
namespace dockdyke::wire::query {

inline constexpr const char* kAfter = "since";    // the response starts after this name, key or revision
inline constexpr const char* kPageSize = "page";  // maximum number of items in the response

}  // namespace dockdyke::wire::query
