// The protocol between controllers as a whole (PROTOCOL, "Controller nodes <-> controller nodes").
#pragma once

#include "peer/peer_client.hpp"    // IWYU pragma: export
#include "peer/peer_messages.hpp"  // IWYU pragma: export
