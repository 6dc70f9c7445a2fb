// Estimates how much capacity to hold for gangs that are expected to arrive.
//
// Some classes have start objectives shorter than a machine's boot time, and a gang needs all its capacity at
// once. The reserve covers the square root of the number of gangs that arrived within one boot time, which is
// the standard deviation of independent arrivals.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.hpp"
#include "wire/messages.hpp"

namespace dockdyke::core {

// Gangs of one class for which capacity is held.
struct ExpectedGangs {
  wire::JobSpec largest_gang;  // of the recently arrived gangs of the class
  std::size_t count = 0;
};

// Tracks recent gang arrivals by class and predicts further ones from them.
class GangCapacityReserve {
 public:
  // Records the submission of a gang whose class has a short start objective.
  void record_arrival(const wire::JobSpec& spec, Time now);
  // Returns the gangs to hold capacity for, by class. `window_s` is the time that a new machine needs to
  // boot.
  std::vector<ExpectedGangs> expected_gangs(double window_s, Time now);
  // Returns the images of the recently arrived gangs.
  std::set<std::string> recent_images() const;

 private:
  struct Arrival {
    Time arrived_at = 0;
    wire::JobSpec spec;
  };
  std::map<std::string, std::deque<Arrival>> arrivals_;  // by class, within `kGangArrivalWindowSeconds`
};

}  // namespace dockdyke::core
