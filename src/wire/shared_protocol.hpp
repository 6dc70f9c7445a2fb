// Field names that occur in more than one interface of the protocol. This header and the other *_protocol.hpp
// headers are the only place that knows how the protocol spells its fields and values; each constant is named
// after what the field means. Read them beside PROTOCOL.
#pragma once

namespace dockdyke::wire::field {

// protocol field -> meaning
inline constexpr const char* kId = "id";         // id of a job, or of a machine in the machine list
inline constexpr const char* kState = "stage";   // state of a job, a task or a listed machine
inline constexpr const char* kTasks = "pieces";  // a job's number of tasks; in a heartbeat the list of tasks

inline constexpr const char* kCpus = "vcpus";           // virtual CPUs
inline constexpr const char* kGpus = "gpus";            // GPUs
inline constexpr const char* kMemoryGb = "ram_gb";      // memory in GB
inline constexpr const char* kMachineType = "build";    // machine type of a machine or a scale-out request
inline constexpr const char* kMachineTypes = "builds";  // a job's allowed types; the cloud's list of types
inline constexpr const char* kZone = "polder";          // zone of a machine; a job's only allowed zone
inline constexpr const char* kSpot = "ebbtide";  // spot instance; for a job: spot instances are allowed

inline constexpr const char* kMore = "more";  // whether a listing continues after this page

}  // namespace dockdyke::wire::field

// Parameters in the query part of a request's path.
namespace dockdyke::wire::query {

inline constexpr const char* kAfter = "since";    // start after this name, key or revision
inline constexpr const char* kPageSize = "page";  // largest number of items in the response

}  // namespace dockdyke::wire::query
