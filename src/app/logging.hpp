// Logs of one line an event on standard error; docs/log-events.md lists the events.
#pragma once

#include <string>

namespace dockdyke::app {

// Sets the level: `error`, `info` or `debug`. For anything else it is `error`, and the result is false.
bool start_logging(const std::string& level);

}  // namespace dockdyke::app
