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
 * The core's own monotonic clock. It has no now(): time comes in with every
 * event, so the same decisions run under a daemon and under virtual time.
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

/** Milliseconds since the Unix epoch, by the wall clock of some box. */
using WallMilliseconds = std::chrono::duration<std::int64_t, std::milli>;

} // namespace Loom
