/*
 * clock.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <chrono>

namespace Loom {

/** The monotonic clock, as the core counts it. */
inline Instant now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Microseconds>(since));
}

inline std::chrono::steady_clock::time_point steadyTime(Instant instant)
{
    return std::chrono::steady_clock::time_point(instant.time_since_epoch());
}

/** The wall clock; only for key births and reports, never for leases. */
inline WallMilliseconds wallNow()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<WallMilliseconds>(since);
}

} // namespace Loom
