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

// Requests of which the other entries know nothing, and requests counted in
// the window before the one that judges them, must not break the bound.
constexpr double sRatioFraction = 0.7;
// Within a window an entry can spend what it saved and what it earns meanwhile:
// half each, so that both together are the share.
constexpr double sBurstFraction = 0.5;
// Earned by requests and not spent yet: what is spent in a window may have been
// earned before it. The parts of the ratio and of the extra that are not used
// make up for both.
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
    // Requests of about one window, those longer ago counting less and less.
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
