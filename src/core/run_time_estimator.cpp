#include "core/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

void RunTimeEstimator::observe(const std::string& job_class, double estimated_run_s, double run_s) {
  if (estimated_run_s <= 0 || run_s <= 0) return;
  // Averages logarithms, so that estimates of half and of double the run time cancel out.
  const double log_ratio =
      std::log(std::clamp(run_s / estimated_run_s, constants::kMinEstimateCorrectionFactor,
                          constants::kMaxEstimateCorrectionFactor));
  double& smoothed = log_ratios_[job_class];
  smoothed += constants::kEstimateLearningRate * (log_ratio - smoothed);
}

double RunTimeEstimator::expected_run_s(const std::string& job_class, double estimated_run_s) const {
  auto found = log_ratios_.find(job_class);
  return found == log_ratios_.end() ? estimated_run_s : estimated_run_s * std::exp(found->second);
}

}  // namespace dockdyke::core
