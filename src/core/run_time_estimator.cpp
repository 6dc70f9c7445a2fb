#include "core/run_time_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "constants.hpp"

namespace dockdyke::core {

void RunTimeEstimator::observe(const std::string& job_class, double estimated_run_s, double run_s) {
  if (estimated_run_s <= 0 || run_s <= 0) return;
  // In logarithms, since half and double are errors of the same size.
  const double ratio = std::log(std::clamp(run_s / estimated_run_s, constants::kMinEstimateCorrectionFactor,
                                           constants::kMaxEstimateCorrectionFactor));
  double& known = log_ratio_[job_class];
  known += constants::kEstimateLearningRate * (ratio - known);
}

double RunTimeEstimator::expected(const std::string& job_class, double estimated_run_s) const {
  auto known = log_ratio_.find(job_class);
  return known == log_ratio_.end() ? estimated_run_s : estimated_run_s * std::exp(known->second);
}

}  // namespace dockdyke::core
