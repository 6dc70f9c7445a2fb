// Corrects owners' estimates by what tasks of the same class really took.
#pragma once

#include <map>
#include <string>

namespace dockdyke::core {

class RunTimeEstimator {
 public:
  // A task of this class was estimated at one time and took another (s).
  void observe(const std::string& job_class, double estimated_run_s, double took_s);
  // The expected run time (s) of a task whose owner says `estimate_s`.
  double expected(const std::string& job_class, double estimated_run_s) const;

 private:
  std::map<std::string, double> log_ratio_;
};

}  // namespace dockdyke::core
