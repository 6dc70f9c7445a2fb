// A histogram of request latencies, used for log output.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>

#include "constants.hpp"

namespace dockdyke::app {

// Uses logarithmic bins between constants::kMinLatencySeconds and constants::kMaxLatencySeconds (s), plus an
// underflow and an overflow bin.
class LatencyHistogram {
 public:
  void add(double seconds) { counts_(seconds); }
  std::size_t count() const { return static_cast<std::size_t>(boost::histogram::algorithm::sum(counts_)); }

  // Returns the upper edge (s) of the bin that contains the quantile `fraction` (0 to 1), or 0 if the
  // histogram is empty.
  double quantile(double fraction) const {
    const double target_count = fraction * boost::histogram::algorithm::sum(counts_);
    double cumulative_count = 0;
    for (auto&& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
      cumulative_count += static_cast<double>(*bin);
      if (cumulative_count >= target_count && cumulative_count > 0) return bin.bin().upper();
    }
    return 0;
  }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> counts_{std::make_tuple(
      Axis(constants::kLatencyBinCount, constants::kMinLatencySeconds, constants::kMaxLatencySeconds))};
};

}  // namespace dockdyke::app
