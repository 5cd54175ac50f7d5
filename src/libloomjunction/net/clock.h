/*
 * clock.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "bootclock.h"
#include "instant.h"

#include <algorithm>
#include <chrono>

namespace Loom {

/** Time as others see it pass, see BootClock; as the core counts it. */
inline Instant now()
{
    const auto since = BootClock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Microseconds>(since));
}

/** For BootTimer. */
inline BootClock::time_point bootTime(Instant instant)
{
    return BootClock::time_point(instant.time_since_epoch());
}

/**
 * For waits on sockets and signals, which count the monotonic clock: a wait that a sleep of
 * the box falls into ends later by that, but none is longer than it was meant to be when
 * the box is awake.
 */
inline std::chrono::steady_clock::time_point steadyTime(Instant instant)
{
    // A deadline may lie as far ahead as there is time.
    constexpr Microseconds most = std::chrono::hours(24);
    return std::chrono::steady_clock::now() + std::min(instant - now(), most);
}

/** The wall clock; only for key births, seeds and reports, never for leases. */
inline WallMilliseconds wallNow()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<WallMilliseconds>(since);
}

} // namespace Loom
