/*
 * yieldingrate.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "yieldingrate.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sAdjustEvery{200};
constexpr double sQuietWeight = 0.02;
constexpr double sRecentWeight = 0.2;
// Above the quiet latency by this factor and this much, live requests suffer.
constexpr double sSufferFactor = 1.25;
constexpr double sSufferMicroseconds = 2'000;
constexpr double sDecrease = 0.7;
constexpr double sIncrease = 1.15;

void smooth(double &value, double sample, double weight)
{
    value = value <= 0 ? sample : value + weight * (sample - value);
}

} // namespace

YieldingRate::YieldingRate(double fullRate)
    : mFullRate(fullRate)
{
}

void YieldingRate::noteLatency(Microseconds latency, bool isTransferring)
{
    const auto sample = static_cast<double>(latency.count());
    smooth(mRecentMicroseconds, sample, sRecentWeight);
    if (!isTransferring) {
        smooth(mQuietMicroseconds, sample, sQuietWeight);
    }
}

double YieldingRate::rate(Instant now)
{
    if (now - mLastAdjusted >= sAdjustEvery) {
        mLastAdjusted = now;
        adjust();
    }
    return mFullRate * mShare;
}

void YieldingRate::adjust()
{
    const bool known = mQuietMicroseconds > 0;
    const double limit = mQuietMicroseconds * sSufferFactor + sSufferMicroseconds;
    const bool suffers = known && mRecentMicroseconds > limit;
    mShare = std::clamp(mShare * (suffers ? sDecrease : sIncrease), sLeastShare, 1.0);
}

} // namespace Loom
