#include "core/gang_capacity_reserve.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

void GangCapacityReserve::note_arrival(const wire::JobSpec& spec, Time now) {
  arrivals_[spec.job_class].push_back({now, spec});
}

std::vector<ExpectedGangs> GangCapacityReserve::expected(double window_s, Time now) {
  std::vector<ExpectedGangs> out;
  for (auto& [job_class, arrivals] : arrivals_) {
    while (!arrivals.empty() && now - arrivals.front().at > constants::kGangArrivalMemory)
      arrivals.pop_front();
    if (arrivals.empty()) continue;
    const auto cpus = [](const Arrival& each) {
      return each.spec.task_resources.cpus * each.spec.task_count;
    };
    const auto largest = std::max_element(arrivals.begin(), arrivals.end(),
                                          [&](const auto& a, const auto& b) { return cpus(a) < cpus(b); });
    const auto recent = std::count_if(arrivals.begin(), arrivals.end(),
                                      [&](const Arrival& each) { return now - each.at <= window_s; });
    const double gangs = std::ceil(std::sqrt(static_cast<double>(recent)));
    out.push_back({largest->spec, std::max<std::size_t>(1, static_cast<std::size_t>(gangs))});
  }
  return out;
}

std::set<std::string> GangCapacityReserve::images() const {
  std::set<std::string> images;
  for (const auto& [job_class, arrivals] : arrivals_)
    for (const auto& arrival : arrivals) images.insert(arrival.spec.image);
  return images;
}

}  // namespace dockdyke::core
