#include "core/gang_bin_packing.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace dockdyke::core {

namespace {

// Sorts by start delay, then by descending number of tasks that fit, then by cost.
void sort_candidates(std::vector<GangCandidate>& candidates, std::size_t tasks) {
  const auto rank = [tasks](const GangCandidate& candidate) {
    const auto usable_capacity = static_cast<double>(std::min(candidate.task_capacity, tasks));
    return std::tuple(candidate.start_delay_s, -usable_capacity, candidate.cost);
  };
  std::sort(candidates.begin(), candidates.end(), [&](const GangCandidate& a, const GangCandidate& b) {
    const auto rank_a = rank(a);
    const auto rank_b = rank(b);
    return rank_a != rank_b ? rank_a < rank_b : a.machine->id < b.machine->id;
  });
}

}  // namespace

GangPlacement choose_machines(std::vector<GangCandidate> candidates, std::size_t tasks,
                              std::size_t max_tasks_per_zone) {
  sort_candidates(candidates, tasks);
  std::map<std::string, std::size_t> tasks_by_zone;
  GangPlacement placement;
  for (const auto& candidate : candidates) {
    std::size_t& tasks_in_zone = tasks_by_zone[candidate.machine->zone];
    const std::size_t count = std::min({candidate.task_capacity, tasks, max_tasks_per_zone - tasks_in_zone});
    if (count == 0) continue;
    tasks_in_zone += count;
    tasks -= count;
    placement.rank.start_delay_s = std::max(placement.rank.start_delay_s, candidate.start_delay_s);
    placement.rank.cost += candidate.cost;
    placement.machine_tasks.push_back({candidate.machine, count});
    placement.rank.machines = placement.machine_tasks.size();
    if (tasks == 0) return placement;
  }
  return {};
}

}  // namespace dockdyke::core
