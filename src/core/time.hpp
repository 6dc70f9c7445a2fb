// Time type of the leader's state machine.
#pragma once

namespace dockdyke::core {

// Seconds on this controller's steady clock. The epoch is arbitrary; only differences are meaningful.
using Time = double;

}  // namespace dockdyke::core
