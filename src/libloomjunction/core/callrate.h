/*
 * callrate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <map>
#include <numbers>

namespace Loom {

/** Recent calls for one service at this process, as counts that decay by half each second. */
class CallRate
{
public:
    /** Mean age of the calls that a steady rate is computed from. */
    static constexpr double meanAgeMs() { return sHalfLifeMs / std::numbers::ln2; }

    /** Counts a call with @p goal. */
    void note(Milliseconds goal, Instant now);
    /** Calls per millisecond. */
    double perMs(Instant now) const;
    /** Shortest goal that more than a few of the calls have; the maximum without any. */
    Milliseconds shortestGoal() const;

private:
    // Half-life of a call's weight in the rate.
    static constexpr double sHalfLifeMs = 1'000;

    double mCount = 0;
    std::map<Milliseconds, double> mCountByGoal;
    Instant mAt; ///< time of the last call
};

} // namespace Loom
