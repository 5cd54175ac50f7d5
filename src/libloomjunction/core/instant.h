/*
 * instant.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <chrono>
#include <cstdint>

namespace Loom {

/**
 * Monotonic clock of the core library. It has no now(): callers pass the time with every
 * event, so that the same code runs in a daemon and in simulated time.
 */
struct CoreClock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true;
};

using Instant = CoreClock::time_point;
using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

/** Milliseconds since the Unix epoch, according to the wall clock of a box. */
using WallMilliseconds = std::chrono::duration<std::int64_t, std::milli>;

} // namespace Loom
