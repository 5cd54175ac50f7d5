/*
 * adaptivetransferrate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "adaptivetransferrate.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sAdjustInterval{200};
constexpr double sIdleLatencyWeight = 0.02;
constexpr double sRecentLatencyWeight = 0.2;
// The rate is reduced when the latency exceeds the idle latency by this factor and,
// on top of it, by this time.
constexpr double sMaxLatencyFactor = 1.25;
constexpr double sMaxAddedLatencyMicroseconds = 2'000;
constexpr double sDecreaseFactor = 0.7;
constexpr double sIncreaseFactor = 1.15;

void smooth(double &value, double sample, double weight)
{
    value = value <= 0 ? sample : value + weight * (sample - value);
}

} // namespace

AdaptiveTransferRate::AdaptiveTransferRate(double fullRate)
    : mFullRate(fullRate)
{
}

void AdaptiveTransferRate::addLatency(Microseconds latency, bool isTransferring)
{
    const auto sample = static_cast<double>(latency.count());
    smooth(mRecentLatencyMicroseconds, sample, sRecentLatencyWeight);
    if (!isTransferring) {
        smooth(mIdleLatencyMicroseconds, sample, sIdleLatencyWeight);
    }
}

double AdaptiveTransferRate::rate(Instant now)
{
    if (now - mLastAdjustedAt >= sAdjustInterval) {
        mLastAdjustedAt = now;
        adjust();
    }
    return mFullRate * mRateFraction;
}

void AdaptiveTransferRate::adjust()
{
    const bool isIdleLatencyKnown = mIdleLatencyMicroseconds > 0;
    const double limit
        = mIdleLatencyMicroseconds * sMaxLatencyFactor + sMaxAddedLatencyMicroseconds;
    const bool isTooSlow = isIdleLatencyKnown && mRecentLatencyMicroseconds > limit;
    mRateFraction = std::clamp(mRateFraction * (isTooSlow ? sDecreaseFactor : sIncreaseFactor),
                               sMinRateFraction, 1.0);
}

} // namespace Loom
