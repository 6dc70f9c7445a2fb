// Umbrella header of the protocol between controllers.
#pragma once

#include "peer/peer_client.hpp"    // IWYU pragma: export
#include "peer/peer_messages.hpp"  // IWYU pragma: export
