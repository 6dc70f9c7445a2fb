// Log of jobs whose known assignments do not satisfy their zone constraint.
#pragma once

#include "core/views.hpp"
#include "wire/ids.hpp"

namespace dockdyke::app {

// Writes an event when such jobs appear, whenever they change, and once there are none any more.
class ZoneConflictLog {
 public:
  explicit ZoneConflictLog(FencingToken token) : token_(token) {}

  // Whether the log level includes the event, so that a summary is worth computing.
  static bool enabled();
  // Writes the summary unless it equals the previous one.
  void write(core::ZoneConflictSummary summary);

 private:
  FencingToken token_;
  core::ZoneConflictSummary last_written_;
};

}  // namespace dockdyke::app
