// Corrects owners' estimates of run times by what tasks of the same class really took.
#pragma once

#include <map>
#include <string>

namespace dockdyke::core {

class RunTimeEstimator {
 public:
  // A task of this class was estimated to run one time and ran another (s).
  void observe(const std::string& job_class, double estimated_run_s, double run_s);
  // The expected run time (s) of a task; the owner's estimate where nothing was observed of the class.
  double expected(const std::string& job_class, double estimated_run_s) const;

 private:
  std::map<std::string, double> log_ratio_;  // of observed to estimated run times, by class, smoothed
};

}  // namespace dockdyke::core
