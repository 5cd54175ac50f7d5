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
// A caller's round trip on a new connection.
constexpr double sRoundTripMs = 30;
// A caller that retries sooner would find the replicas as busy as before.
constexpr double sMinReturnDelayMs = 40;
// A refused request is retried after a few completion intervals.
constexpr double sRetryIntervalFactor = 4;
// Callers wait at most a third of their remaining time, even if they are told to wait longer.
constexpr double sMaxWaitFraction = 1.0 / 3;
// Earliest late retry, as a fraction of the longest wait. Retries are spread over the rest
// of it, so that callers that were refused together do not retry together.
constexpr double sMinLateFraction = 0.5;

} // namespace

double RetryAdvice::randomFraction() const
{
    return static_cast<double>(mQuery.random % 1024) / 1024;
}

// Such a caller misses its goal in any case, and a late answer has the same value at any
// time. The later the retry, the more likely the overload or the outage is over.
Milliseconds RetryAdvice::lateRetry() const
{
    const double longest = static_cast<double>(mQuery.timeLeft.count()) * sMaxWaitFraction;
    const double wait = longest * (sMinLateFraction + (1 - sMinLateFraction) * randomFraction());
    return std::max(sMinRetryDelay, Milliseconds(static_cast<std::int64_t>(wait)));
}

// Returns before the callers that lateRetry() applies to.
Milliseconds RetryAdvice::earlyRetry() const
{
    const double longest = static_cast<double>(mQuery.timeLeft.count()) * sMaxWaitFraction;
    const double wait = longest * sMinLateFraction * randomFraction();
    return std::max(sMinRetryDelay, Milliseconds(static_cast<std::int64_t>(wait)));
}

// Judged at the mean size, so that callers of large requests return as early as others.
std::optional<Milliseconds> RetryAdvice::retryWithinGoal() const
{
    const EngineModel model(*mQuery.engine);
    const double timeForRetry
        = static_cast<double>((mQuery.goal - mQuery.waited).count()) * sPlannableGoalFraction
        - model.firstEventMs({}, 0) - sRoundTripMs;
    if (timeForRetry < sMinReturnDelayMs) {
        return std::nullopt;
    }
    return Milliseconds(static_cast<std::int64_t>(
        sMinReturnDelayMs + (timeForRetry - sMinReturnDelayMs) * randomFraction()));
}

Milliseconds RetryAdvice::whenNoneUsable() const
{
    if (mQuery.engine == nullptr || mQuery.timeLeft.count() <= 0) {
        return sNoneUsableRetryDelay;
    }
    return lateRetry();
}

// Many callers wait for the first replica that accepts requests again, so their retries are
// spread over the time after that.
Milliseconds RetryAdvice::afterPause(Microseconds wait) const
{
    const auto pauseEnd = std::chrono::ceil<Milliseconds>(wait);
    const auto spread
        = static_cast<std::int64_t>(static_cast<double>(pauseEnd.count()) * randomFraction());
    return std::clamp(pauseEnd + Milliseconds(spread), sMinRetryDelay, sMaxRetryDelay);
}

// A caller that can still meet its goal is told to retry once within it, since slots become
// free all the time. Under overload, callers on their first attempt take all of them.
// The most urgent ones have precedence over them, and so are likely to find one early.
Milliseconds RetryAdvice::whenBusy(double minLoad, bool isOverloaded, bool returnsEarly) const
{
    if (mQuery.engine == nullptr) {
        return sPlainRetryDelay;
    }
    const bool isContested = isOverloaded && mQuery.timeLeft.count() > 0;
    if (isContested && !returnsEarly) {
        return lateRetry();
    }
    if (const auto withinGoal = retryWithinGoal()) {
        return *withinGoal;
    }
    if (isContested) {
        return earlyRetry();
    }
    const EngineModel model(*mQuery.engine);
    const double excessRequests = std::max(0.0, minLoad - 1) * mQuery.engine->slots;
    const double wait = (excessRequests + 1) * model.completionIntervalMs() * sRetryIntervalFactor;
    const Milliseconds delay(static_cast<std::int64_t>(wait * (0.75 + 0.5 * randomFraction())));
    return std::clamp(delay, sMinRetryDelay, sMaxRetryDelay);
}

} // namespace Loom
