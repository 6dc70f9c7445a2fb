// Counts the heartbeats received within a sliding window.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "constants.hpp"
#include "net/loop.hpp"

namespace dockdyke::app {

// Ring buffer with one slot per second of constants::kHeartbeatCountWindowSeconds.
class HeartbeatCounter {
 public:
  void record(net::TimePoint now) {
    Slot& slot = slots_[slot_index(now)];
    if (slot.second != to_second(now)) slot = {to_second(now), 0};
    ++slot.count;
  }

  // Returns the number of heartbeats in the current second and the preceding seconds of the window.
  std::uint64_t recent_count(net::TimePoint now) const {
    std::uint64_t sum = 0;
    for (const auto& slot : slots_)
      if (to_second(now) - slot.second < static_cast<std::int64_t>(slots_.size())) sum += slot.count;
    return sum;
  }

 private:
  struct Slot {
    std::int64_t second = 0;
    std::uint64_t count = 0;
  };
  static std::int64_t to_second(net::TimePoint now) {
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  }
  std::size_t slot_index(net::TimePoint now) const {
    return static_cast<std::size_t>(to_second(now)) % slots_.size();
  }

  std::array<Slot, constants::kHeartbeatCountWindowSeconds> slots_{};
};

}  // namespace dockdyke::app
