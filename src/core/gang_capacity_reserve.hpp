// How much capacity to hold ready for gangs that are expected.
//
// Owners want gangs to start within seconds, machines boot for most of a minute, and a gang needs all its
// capacity at once. While gangs of a class keep coming, capacity is held for as many as usually come more
// than the average while a machine boots: the square root of their number, as for arrivals that are
// independent of each other.
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
  wire::JobSpec largest;  // the largest gang of the class that came lately
  std::size_t gangs = 0;
};

class GangCapacityReserve {
 public:
  // A gang of a class whose owners want quick starts was submitted.
  void note_arrival(const wire::JobSpec& spec, Time now);
  // By class; `window_s` is the time within which more machines could be up.
  std::vector<ExpectedGangs> expected(double window_s, Time now);
  // The images of the gangs that came lately.
  std::set<std::string> images() const;

 private:
  struct Arrival {
    Time at = 0;
    wire::JobSpec spec;
  };
  std::map<std::string, std::deque<Arrival>> arrivals_;  // by class, within `kGangArrivalMemory`
};

}  // namespace dockdyke::core
