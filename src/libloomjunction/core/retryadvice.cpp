/*
 * retryadvice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "retryadvice.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sPlainRetryDelay{100};
constexpr Milliseconds sNoneUsableRetryDelay{400};
constexpr Milliseconds sMinRetryDelay{150};
constexpr Milliseconds sMaxRetryDelay{1'500};
// A caller's way here and back on a new connection.
constexpr double sRoundTripMs = 30;
// Sooner, a caller that returns would find what it found before.
constexpr double sMinReturnDelayMs = 40;
// A refused request comes back when a few turns are over.
constexpr double sRetryIntervalFactor = 4;
// Callers wait for a third of the time they have left at most, whatever they are told.
constexpr double sMaxWaitFraction = 1.0 / 3;
// The first of those that are told to come late, as a part of the longest wait. Spread
// over the rest of it, those who were refused together do not return together.
constexpr double sMinLateFraction = 0.5;

} // namespace

double RetryAdvice::random() const
{
    return static_cast<double>(mQuery.random % 1024) / 1024;
}

// The goal is missed whenever it returns, and a late answer is worth the same at any
// time: the later it comes, the likelier the rush or the gap is over.
Milliseconds RetryAdvice::late() const
{
    const double longest = static_cast<double>(mQuery.timeLeft.count()) * sMaxWaitFraction;
    const double wait = longest * (sMinLateFraction + (1 - sMinLateFraction) * random());
    return std::max(sMinRetryDelay, Milliseconds(static_cast<std::int64_t>(wait)));
}

Milliseconds RetryAdvice::whenNoneUsable() const
{
    if (mQuery.engine == nullptr || mQuery.timeLeft.count() <= 0) {
        return sNoneUsableRetryDelay;
    }
    return late();
}

// Many wait for the first that takes requests again; they are spread behind it.
Milliseconds RetryAdvice::afterPause(Microseconds wait) const
{
    const auto first = std::chrono::ceil<Milliseconds>(wait);
    const auto spread = static_cast<std::int64_t>(static_cast<double>(first.count()) * random());
    return std::clamp(first + Milliseconds(spread), sMinRetryDelay, sMaxRetryDelay);
}

// Who can still make it is told to come back within the goal, once: places turn up all
// the time. Under a rush they are all taken, by callers who tried first.
Milliseconds RetryAdvice::whenBusy(double minLoad, bool isOverloaded) const
{
    if (mQuery.engine == nullptr) {
        return sPlainRetryDelay;
    }
    if (isOverloaded && mQuery.timeLeft.count() > 0) {
        return late();
    }
    const EngineModel model(*mQuery.engine);
    const double left
        = static_cast<double>((mQuery.goal - mQuery.waited).count()) * sPlannableGoalFraction
        - model.firstEventMs({}, mQuery.promptTokens) - sRoundTripMs;
    if (left >= sMinReturnDelayMs) {
        return Milliseconds(
            static_cast<std::int64_t>(sMinReturnDelayMs + (left - sMinReturnDelayMs) * random()));
    }
    const double over = std::max(0.0, minLoad - 1) * mQuery.engine->slots;
    const double wait = (over + 1) * model.completionIntervalMs() * sRetryIntervalFactor;
    const Milliseconds after(static_cast<std::int64_t>(wait * (0.75 + 0.5 * random())));
    return std::clamp(after, sMinRetryDelay, sMaxRetryDelay);
}

} // namespace Loom
