// The keys of the state service under which controllers keep their records.
//
// The strings are part of the stored format: controllers of the version in production read and write the same
// keys.
#pragma once

#include <cstdint>
#include <string>

#include "wire/ids.hpp"

namespace dockdyke::core::key {

inline const std::string kActivePrefix = "open/";
inline const std::string kTerminalPrefix = "over/";
inline const std::string kTerminatingPrefix = "linger/";
inline const std::string kSegmentPrefix = "page/";
inline const std::string kScaleOutPrefix = "rent/";
inline const std::string kScaleInPrefix = "return/";
inline const std::string kGangPrefix = "gang/";
inline const std::string kMachineTypes = "types";

// A job that is neither done nor cancelled.
std::string active_job(const JobId& id);
// A job that is done or cancelled.
std::string terminal_job(const JobId& id);
// A cancelled job some of whose tasks may still be on machines.
std::string terminating_job(const JobId& id);
// A segment of the task log. The order of the keys is the order of writing: tokens of later leaders are
// higher.
std::string segment(FencingToken token, std::uint64_t number);
// One part of the record of a gang's attempt.
std::string gang_part(const JobId& id, Attempt attempt, std::uint32_t part);

}  // namespace dockdyke::core::key
