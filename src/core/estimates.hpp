// Corrects owners' estimates by what tasks of the same class really took.
#pragma once

#include <map>
#include <string>

namespace dockdyke::core {

// A class's run times against their estimates, both as logarithms, since half and double are errors of the same
// size. A straight line through them corrects two faults at once: estimates that are mostly too high or too low,
// and extreme ones, which are more often wrong than the runs are extreme.
class Estimates {
 public:
  // A task of this class was estimated at one time and took another (s); `weight` is its share of its job, as
  // the tasks of one job are wrong together.
  void observe(const std::string& job_class, double estimate_s, double took_s, double weight);
  // The expected run time (s) of a task whose owner says `estimate_s`.
  double expected(const std::string& job_class, double estimate_s) const;

 private:
  struct Sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
  };
  std::map<std::string, Sums> classes_;
};

}  // namespace dockdyke::core
