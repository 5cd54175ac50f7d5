/*
 * callrate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callrate.h"

#include "decay.h"

#include <numbers>

namespace Loom {

namespace {

// How far back the rate of calls reaches.
constexpr double sHalfLifeMs = 1'000;
// A goal that fewer calls have does not bound the others.
constexpr double sMinGoalFraction = 0.05;

} // namespace

void CallRate::note(Milliseconds goal, Instant now)
{
    const double kept = keptAfter(now - mAt, sHalfLifeMs);
    mCount = mCount * kept + 1;
    for (auto &[other, count] : mCountByGoal) {
        count *= kept;
    }
    mCountByGoal[goal] += 1;
    mAt = now;
}

double CallRate::perMs(Instant now) const
{
    // A steady rate r adds up to r x half-life / ln 2.
    return mCount * keptAfter(now - mAt, sHalfLifeMs) * std::numbers::ln2 / sHalfLifeMs;
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
