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
constexpr double sCallsHalfMs = 1'000;
// A goal that fewer calls have does not bound the others.
constexpr double sFairPart = 0.05;

} // namespace

void CallRate::note(Milliseconds goal, Instant now)
{
    const double kept = decayFactor(now - mAt, sCallsHalfMs);
    mCount = mCount * kept + 1;
    for (auto &[other, count] : mByGoal) {
        count *= kept;
    }
    mByGoal[goal] += 1;
    mAt = now;
}

double CallRate::perMs(Instant now) const
{
    // A steady rate r adds up to r x half-life / ln 2.
    return mCount * decayFactor(now - mAt, sCallsHalfMs) * std::numbers::ln2 / sCallsHalfMs;
}

Milliseconds CallRate::shortestGoal() const
{
    for (const auto &[goal, count] : mByGoal) {
        if (goal.count() > 0 && count > mCount * sFairPart) {
            return goal;
        }
    }
    return Milliseconds::max();
}

} // namespace Loom
