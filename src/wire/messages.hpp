// All messages of the protocol. Each interface has a header of its own.
#pragma once

#include "wire/cloud_messages.hpp"
#include "wire/fields.hpp"
#include "wire/ids.hpp"
#include "wire/state_messages.hpp"
#include "wire/user_messages.hpp"
#include "wire/worker_messages.hpp"
