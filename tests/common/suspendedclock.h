/*
 * suspendedclock.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (tests).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "bootclock.h"

#include <chrono>

namespace Loom {

/** Replaces the boot clock by the monotonic clock plus a simulated suspension time. */
class SuspendedClock
{
public:
    SuspendedClock()
    {
        sSuspendedTime = std::chrono::nanoseconds(0);
        BootClock::setSource(timeIncludingSuspension);
    }
    ~SuspendedClock() { BootClock::setSource(nullptr); }
    SuspendedClock(const SuspendedClock &) = delete;
    SuspendedClock &operator=(const SuspendedClock &) = delete;

    void suspend(std::chrono::milliseconds duration) { sSuspendedTime += duration; }

private:
    static std::chrono::nanoseconds timeIncludingSuspension()
    {
        return std::chrono::steady_clock::now().time_since_epoch() + sSuspendedTime;
    }

    static inline std::chrono::nanoseconds sSuspendedTime{0};
};

} // namespace Loom
