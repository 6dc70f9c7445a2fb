// Sets up logging to standard error, one line per event. docs/log-events.md lists the events.
#pragma once

#include <string>

namespace dockdyke::app {

// Installs the default logger with the level `error`, `info` or `debug`. For any other value, uses `error`
// and returns false.
bool configure_logging(const std::string& level);

}  // namespace dockdyke::app
