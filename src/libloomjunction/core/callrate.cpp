/*
 * callrate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callrate.h"

#include "decay.h"

namespace Loom {

namespace {

// A goal of a smaller fraction of the calls is ignored, so that rare calls with short
// goals do not bound the capacity for all others.
constexpr double sMinGoalFraction = 0.05;

} // namespace

void CallRate::note(Milliseconds goal, Instant now)
{
    const double decay = decayFactor(now - mAt, sHalfLifeMs);
    mCount = mCount * decay + 1;
    for (auto &[other, count] : mCountByGoal) {
        count *= decay;
    }
    mCountByGoal[goal] += 1;
    mAt = now;
}

double CallRate::perMs(Instant now) const
{
    // The decayed count of a steady rate r converges to r x half-life / ln 2.
    return mCount * decayFactor(now - mAt, sHalfLifeMs) / meanAgeMs();
}

Milliseconds CallRate::shortestGoal() const
{
    for (const auto &[goal, count] : mCountByGoal) {
        if (goal.count() > 0 && count > mCount * sMinGoalFraction) {
            return goal;
        }
    }
    return Milliseconds::max();
}

} // namespace Loom
