// One-line logs on standard error.
#pragma once

#include <string>

namespace dockdyke::app {

// Takes `error`, `info` or `debug`; false for anything else.
bool start_logging(const std::string& level);

}  // namespace dockdyke::app
