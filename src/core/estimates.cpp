#include "core/estimates.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

void Estimates::observe(const std::string& job_class, double estimate_s, double took_s, double weight) {
  if (estimate_s <= 0 || took_s <= 0) return;
  const double x = std::log(estimate_s);
  const double y = std::log(took_s);
  Sums& sums = classes_[job_class];
  sums.weight += weight;
  sums.x += weight * x;
  sums.y += weight * y;
  sums.xx += weight * x * x;
  sums.xy += weight * x * y;
}

double Estimates::expected(const std::string& job_class, double estimate_s) const {
  auto found = classes_.find(job_class);
  if (found == classes_.end() || estimate_s <= 0 || found->second.weight <= 0) return estimate_s;
  const Sums& sums = found->second;
  const double mean_x = sums.x / sums.weight;
  const double mean_y = sums.y / sums.weight;
  // Until enough jobs were seen the owner's word counts: a slope of 1 and no offset.
  const double prior = limits::kTrustInOwners;
  const double spread = sums.xx - sums.weight * mean_x * mean_x + prior;
  const double together = sums.xy - sums.weight * mean_x * mean_y + prior;
  const double slope = std::clamp(together / spread, 0.0, 1.0);
  const double offset = (mean_y - mean_x) * sums.weight / (sums.weight + prior);
  const double corrected = mean_x + offset + slope * (std::log(estimate_s) - mean_x);
  return std::clamp(std::exp(corrected), limits::kLearnLeast * estimate_s, limits::kLearnMost * estimate_s);
}

}  // namespace dockdyke::core
