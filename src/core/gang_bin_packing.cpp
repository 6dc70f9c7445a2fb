#include "core/gang_bin_packing.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace dockdyke::core {

namespace {

// The soonest to start first, then those that hold the most tasks.
void sort_candidates(std::vector<GangCandidate>& candidates, std::size_t tasks) {
  const auto rank = [tasks](const GangCandidate& each) {
    const auto held = static_cast<double>(std::min(each.fits, tasks));
    return std::tuple(each.fetch_s, -held, each.cost);
  };
  std::sort(candidates.begin(), candidates.end(), [&](const GangCandidate& a, const GangCandidate& b) {
    const auto rank_a = rank(a);
    const auto rank_b = rank(b);
    return rank_a != rank_b ? rank_a < rank_b : a.machine->id < b.machine->id;
  });
}

}  // namespace

GangChoice choose_machines(std::vector<GangCandidate> candidates, std::size_t tasks,
                           std::size_t most_per_zone) {
  sort_candidates(candidates, tasks);
  std::map<std::string, std::size_t> in_zone;
  GangChoice choice;
  for (const auto& candidate : candidates) {
    std::size_t& there = in_zone[candidate.machine->zone];
    const std::size_t count = std::min({candidate.fits, tasks, most_per_zone - there});
    if (count == 0) continue;
    there += count;
    tasks -= count;
    choice.rank.slowest_fetch_s = std::max(choice.rank.slowest_fetch_s, candidate.fetch_s);
    choice.rank.cost += candidate.cost;
    choice.shares.push_back({candidate.machine, count});
    choice.rank.machines = choice.shares.size();
    if (tasks == 0) return choice;
  }
  return {};
}

}  // namespace dockdyke::core
