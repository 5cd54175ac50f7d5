/*
 * sharedretrybudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sharedretrybudget.h"

#include <algorithm>
#include <cmath>

namespace Loom {

namespace {

// Fraction of the ratio that is used. The rest is a margin for requests that other gateways
// do not know of, and for requests counted in the window before the one in which their
// retries count.
constexpr double sRatioFraction = 0.7;
// Within a window a gateway can spend both the saved retries and those added meanwhile. Each
// is limited to half of the share, so that their sum does not exceed it.
constexpr double sBurstFraction = 0.5;
// Caps of the retries that were earned by requests and not spent yet. A retry may be spent
// in a later window than it was earned in; the unused fractions of the ratio and of the
// additional retries are the margin for that.
constexpr double sMinEarnedCap = 4;
constexpr double sEarnedCapRatio = 0.2;
constexpr double sExtraFraction = 0.7;

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryBounds bounds, Instant startedAt)
    : mBounds(bounds)
    , mLastRefill(startedAt)
    , mLastRequest(startedAt)
{
}

void SharedRetryBudget::noteRequest(Instant now)
{
    const double seconds = std::chrono::duration<double>(now - mLastRequest).count();
    const double window = std::chrono::duration<double>(mBounds.window).count();
    // Number of requests in about one window, with exponential decay.
    mRecentRequests = mRecentRequests * std::exp(-std::max(0.0, seconds) / window) + 1;
    mLastRequest = now;
    const double cap = sMinEarnedCap + mRecentRequests * mBounds.ratio * sEarnedCapRatio;
    mEarned = std::min(cap, mEarned + mBounds.ratio * sRatioFraction);
}

double SharedRetryBudget::share(std::uint32_t entries) const
{
    return mBounds.extra * sExtraFraction / std::max<std::uint32_t>(entries, 1);
}

void SharedRetryBudget::refill(std::uint32_t entries, Instant now)
{
    if (now <= mLastRefill) {
        return;
    }
    const double windows = std::chrono::duration<double>(now - mLastRefill) / mBounds.window;
    const double cap = share(entries) * sBurstFraction;
    mTokens = std::min(cap, mTokens + cap * windows);
    mLastRefill = now;
}

bool SharedRetryBudget::take(std::uint32_t entries, Instant now)
{
    refill(entries, now);
    if (mEarned >= 1) {
        mEarned -= 1;
        return true;
    }
    if (mTokens >= 1) {
        mTokens -= 1;
        return true;
    }
    return false;
}

} // namespace Loom
