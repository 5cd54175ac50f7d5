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
constexpr double sRatioUsed = 0.7;
// Within a window an entry can spend what it saved and what it earns meanwhile:
// half each, so that both together are the share.
constexpr double sSavedPart = 0.5;
// Earned by requests and not spent yet: what is spent in a window may have been
// earned before it. The parts of the ratio and of the extra that are not used
// make up for both.
constexpr double sLeastSaved = 4;
constexpr double sSavedRatio = 0.2;
constexpr double sExtraUsed = 0.7;

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryBounds bounds, Instant born)
    : mBounds(bounds)
    , mLast(born)
    , mLastRequest(born)
{
}

void SharedRetryBudget::noteRequest(Instant now)
{
    const double seconds = std::chrono::duration<double>(now - mLastRequest).count();
    const double window = std::chrono::duration<double>(mBounds.window).count();
    // Requests of about one window, those longer ago counting less and less.
    mRecentRequests = mRecentRequests * std::exp(-std::max(0.0, seconds) / window) + 1;
    mLastRequest = now;
    const double most = sLeastSaved + mRecentRequests * mBounds.ratio * sSavedRatio;
    mEarned = std::min(most, mEarned + mBounds.ratio * sRatioUsed);
}

double SharedRetryBudget::share(std::uint32_t entries) const
{
    return mBounds.extra * sExtraUsed / std::max<std::uint32_t>(entries, 1);
}

void SharedRetryBudget::refill(std::uint32_t entries, Instant now)
{
    if (now <= mLast) {
        return;
    }
    const double windows = std::chrono::duration<double>(now - mLast) / mBounds.window;
    const double most = share(entries) * sSavedPart;
    mTokens = std::min(most, mTokens + most * windows);
    mLast = now;
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
