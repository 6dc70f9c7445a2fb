// Counts the heartbeats that arrived in the last seconds.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "constants.hpp"
#include "net/loop.hpp"

namespace dockdyke::app {

// A ring of one-second slots over constants::kHeartbeatCountWindowSeconds seconds.
class HeartbeatCounter {
 public:
  void record(net::TimePoint now) {
    Slot& slot = slots_[slot_index(now)];
    if (slot.second != second(now)) slot = {second(now), 0};
    ++slot.count;
  }

  // Heartbeats in the present second and the full ones of the window before it.
  std::uint64_t recent(net::TimePoint now) const {
    std::uint64_t sum = 0;
    for (const auto& slot : slots_)
      if (second(now) - slot.second < static_cast<std::int64_t>(slots_.size())) sum += slot.count;
    return sum;
  }

 private:
  struct Slot {
    std::int64_t second = 0;
    std::uint64_t count = 0;
  };
  static std::int64_t second(net::TimePoint now) {
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  }
  std::size_t slot_index(net::TimePoint now) const {
    return static_cast<std::size_t>(second(now)) % slots_.size();
  }

  std::array<Slot, constants::kHeartbeatCountWindowSeconds> slots_{};
};

}  // namespace dockdyke::app
