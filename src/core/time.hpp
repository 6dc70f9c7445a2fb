// The clock of the leader's state machine.
#pragma once

namespace dockdyke::core {

// Seconds on this controller's steady clock. Only differences have a meaning outside of the process.
using Time = double;

}  // namespace dockdyke::core
