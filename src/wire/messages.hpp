// Includes the messages of all interfaces of the protocol.
#pragma once

#include "wire/cloud_messages.hpp"
#include "wire/fields.hpp"
#include "wire/ids.hpp"
#include "wire/state_messages.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_messages.hpp"
