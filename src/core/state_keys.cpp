#include "core/state_keys.hpp"

#include <iomanip>
#include <sstream>

namespace dockdyke::core::key {

std::string active_job(const JobId& id) {
  return kActivePrefix + id.value;
}

std::string terminal_job(const JobId& id) {
  return kTerminalPrefix + id.value;
}

std::string terminating_job(const JobId& id) {
  return kTerminatingPrefix + id.value;
}

std::string segment(FencingToken token, std::uint64_t number) {
  // Zero-padded to the length of the largest 64-bit number, so that the keys sort numerically.
  constexpr int kDigits = 20;
  std::ostringstream out;
  out << kSegmentPrefix << std::setfill('0') << std::setw(kDigits) << token.value << '-' << std::setw(kDigits)
      << number;
  return out.str();
}

std::string gang_part(const JobId& id, Attempt attempt, std::uint32_t part) {
  return kGangPrefix + id.value + "/" + std::to_string(attempt) + "/" + std::to_string(part);
}

}  // namespace dockdyke::core::key
