// The clock that the event loop uses.
#pragma once

#include <chrono>

namespace dockdyke::net {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Converts seconds to a Duration, rounding up. A timer that fired slightly too early would find nothing due
// and be set again with a delay of zero, in an endless loop.
inline Duration seconds(double value) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(value));
}

}  // namespace dockdyke::net
