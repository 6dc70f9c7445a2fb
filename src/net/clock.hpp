// The clock of the event loop.
#pragma once

#include <chrono>

namespace dockdyke::net {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Seconds as a duration, rounded up: a timer that is early by a fraction of a nanosecond finds nothing due
// and is set for no time at all, for ever.
inline Duration seconds(double amount) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(amount));
}

}  // namespace dockdyke::net
