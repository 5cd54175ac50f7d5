/*
 * sharedretrybudget.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sharedretrybudget.h"

#include <algorithm>

namespace Loom {

namespace {

// Requests of which the other entries know nothing, and requests counted in
// the window before the one that judges them, must not break the bound.
constexpr double sRatioUsed = 0.7;
// Within a window an entry can spend what it saved and what it earns meanwhile:
// half each, so that both together are the share.
constexpr double sSavedPart = 0.5;
// Earned by requests and not spent yet; more would let one window spend the
// earnings of another. The part of the extra that is not used makes up for it.
constexpr double sMostEarned = 4;
constexpr double sExtraUsed = 0.7;

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryBounds bounds, Instant born)
    : mBounds(bounds)
    , mLast(born)
{
}

void SharedRetryBudget::noteRequest()
{
    mEarned = std::min(sMostEarned, mEarned + mBounds.ratio * sRatioUsed);
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
