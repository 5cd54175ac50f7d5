/*
 * callerwaitestimator.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callerwaitestimator.h"

#include <algorithm>

namespace Loom {

namespace {

// Of the first tries, that may be taken for later ones: as few as some seconds of one
// gateway's requests tell apart.
constexpr double sMisclassifiedFraction = 0.01;
// Before so many requests nothing is known of how callers begin.
constexpr double sMinSamples = 20;
// So many are remembered; older ones count half then, and callers may change.
constexpr double sMaxSamples = 4'000;

} // namespace

double CallerWaitEstimator::remainingFraction(std::string_view route, Milliseconds timeLeft) const
{
    const auto maxTimeLeft = mMaxTimeLeft.find(route);
    if (maxTimeLeft == mMaxTimeLeft.end() || maxTimeLeft->second.count() <= 0) {
        return 1;
    }
    const double fraction
        = static_cast<double>(timeLeft.count()) / static_cast<double>(maxTimeLeft->second.count());
    return std::clamp(fraction, 0.0, 1.0);
}

void CallerWaitEstimator::note(std::string_view route, Milliseconds timeLeft, double refused)
{
    Milliseconds &maxTimeLeft = mMaxTimeLeft.try_emplace(std::string(route)).first->second;
    maxTimeLeft = std::max(maxTimeLeft, timeLeft);
    const double bucket = remainingFraction(route, timeLeft) * (sBucketCount - 1);
    mBucketCounts[static_cast<std::size_t>(bucket)] += 1;
    mRequestCount += 1;
    // Whoever is refused comes once more, so that many of all requests are second tries.
    mRetryCount += refused / (1 + refused);
    if (mRequestCount < sMaxSamples) {
        return;
    }
    for (double &count : mBucketCounts) {
        count /= 2;
    }
    mRequestCount /= 2;
    mRetryCount /= 2;
}

// The lowest part of the longest time that first tries still have. Later tries have
// less, so they make up the lowest ones, as many as there may be.
std::size_t CallerWaitEstimator::firstTryThreshold() const
{
    double left = mRetryCount + sMisclassifiedFraction * mRequestCount;
    std::size_t bucket = 0;
    while (bucket + 1 < sBucketCount && left >= mBucketCounts[bucket]) {
        left -= mBucketCounts[bucket];
        ++bucket;
    }
    return bucket;
}

Milliseconds CallerWaitEstimator::waitedBefore(std::string_view route, Milliseconds timeLeft) const
{
    const auto maxTimeLeft = mMaxTimeLeft.find(route);
    if (maxTimeLeft == mMaxTimeLeft.end() || mRequestCount < sMinSamples) {
        return Milliseconds(0);
    }
    const std::size_t threshold = firstTryThreshold();
    if (remainingFraction(route, timeLeft) * (sBucketCount - 1) >= static_cast<double>(threshold)) {
        return Milliseconds(0);
    }
    // It began with any of the times of first tries; their middle is the best guess.
    const double middle = (static_cast<double>(threshold) / (sBucketCount - 1) + 1) / 2;
    const auto initialTime
        = static_cast<std::int64_t>(static_cast<double>(maxTimeLeft->second.count()) * middle);
    return std::max(Milliseconds(0), Milliseconds(initialTime) - timeLeft);
}

} // namespace Loom
