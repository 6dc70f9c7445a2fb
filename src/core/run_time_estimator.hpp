// Corrects users' run time estimates by the observed run times of tasks of the same class.
#pragma once

#include <map>
#include <string>

namespace dockdyke::core {

class RunTimeEstimator {
 public:
  // Updates the correction of the class with the estimated and the observed run time (s) of a completed task.
  void observe(const std::string& job_class, double estimated_run_s, double run_s);
  // Returns the corrected run time (s), or the estimate itself if no task of the class has been observed.
  double expected_run_s(const std::string& job_class, double estimated_run_s) const;

 private:
  // Logarithm of the ratio of observed to estimated run times, exponentially smoothed, by class.
  std::map<std::string, double> log_ratios_;
};

}  // namespace dockdyke::core
