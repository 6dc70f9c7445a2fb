// Includes all stored records and their keys.
#pragma once

#include "core/job_records.hpp"
#include "core/state_keys.hpp"
#include "core/task_records.hpp"
