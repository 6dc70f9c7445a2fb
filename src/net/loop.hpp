// The event loop and the synchronization primitives that coroutines await on it.
#pragma once

#include "net/clock.hpp"
#include "net/event_loop.hpp"
#include "net/one_shot.hpp"
#include "net/wake_up.hpp"
