#include "core/gang_capacity_reserve.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

void GangCapacityReserve::record_arrival(const wire::JobSpec& spec, Time now) {
  arrivals_[spec.job_class].push_back({now, spec});
}

std::vector<ExpectedGangs> GangCapacityReserve::expected_gangs(double window_s, Time now) {
  std::vector<ExpectedGangs> expected;
  for (auto& [job_class, arrivals] : arrivals_) {
    while (!arrivals.empty() && now - arrivals.front().arrived_at > constants::kGangArrivalWindowSeconds)
      arrivals.pop_front();
    if (arrivals.empty()) continue;
    const auto total_cpus = [](const Arrival& arrival) {
      return arrival.spec.task_resources.cpus * arrival.spec.task_count;
    };
    const auto largest =
        std::max_element(arrivals.begin(), arrivals.end(),
                         [&](const auto& a, const auto& b) { return total_cpus(a) < total_cpus(b); });
    const auto recent_arrivals = std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival& arrival) {
      return now - arrival.arrived_at <= window_s;
    });
    const double count = std::ceil(std::sqrt(static_cast<double>(recent_arrivals)));
    expected.push_back({largest->spec, std::max<std::size_t>(1, static_cast<std::size_t>(count))});
  }
  return expected;
}

std::set<std::string> GangCapacityReserve::recent_images() const {
  std::set<std::string> images;
  for (const auto& [job_class, arrivals] : arrivals_)
    for (const auto& arrival : arrivals) images.insert(arrival.spec.image);
  return images;
}

}  // namespace dockdyke::core
