// Keys of the records in the state service.
//
// The strings are part of the stored format, which is shared with controllers of the previous version.
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

// Key of the record of a job that is neither done nor cancelled.
std::string active_job(const JobId& id);
// Key of the record of a job that is done or cancelled.
std::string terminal_job(const JobId& id);
// Key of the record of a cancelled job whose tasks may still run.
std::string terminating_job(const JobId& id);
// Key of a segment of the task log. The keys sort in the order of writing, since each leader has a higher
// token than the previous one.
std::string segment(FencingToken token, std::uint64_t number);
// Key of one part of the record of a gang's attempt.
std::string gang_part(const JobId& id, Attempt attempt, std::uint32_t part);

}  // namespace dockdyke::core::key
