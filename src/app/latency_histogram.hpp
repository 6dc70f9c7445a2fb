// A histogram of response latencies, for the log.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>

#include "constants.hpp"

namespace dockdyke::app {

// Logarithmic bins between constants::kMinLatencySeconds and kMaxLatencySeconds (s); latencies outside fall
// into two more.
class LatencyHistogram {
 public:
  void add(double seconds) { counts_(seconds); }
  std::size_t count() const { return static_cast<std::size_t>(boost::histogram::algorithm::sum(counts_)); }

  // The upper edge (s) of the bin in which the quantile `share` (0 to 1) lies; 0 when nothing was added.
  double quantile(double share) const {
    const double wanted = share * boost::histogram::algorithm::sum(counts_);
    double below = 0;
    for (auto&& bin : boost::histogram::indexed(counts_, boost::histogram::coverage::all)) {
      below += static_cast<double>(*bin);
      if (below >= wanted && below > 0) return bin.bin().upper();
    }
    return 0;
  }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> counts_{std::make_tuple(
      Axis(constants::kLatencyBinCount, constants::kMinLatencySeconds, constants::kMaxLatencySeconds))};
};

}  // namespace dockdyke::app
