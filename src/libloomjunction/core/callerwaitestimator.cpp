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

// Fraction of first tries that may be mistaken for retries. It is as small as can be
// resolved with the requests that one gateway receives within some seconds.
constexpr double sMisclassifiedFraction = 0.01;
// With fewer requests the timeouts of first tries are unknown.
constexpr double sMinSamples = 20;
// At this number of requests all counts are halved, so that the estimate follows callers
// that change their timeouts.
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
    // A refused caller retries once, so this fraction of all requests are second tries.
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

// Returns the lowest bucket that contains first tries. Retries have less time left, so
// the estimated number of retries is taken from the lowest buckets.
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
    // The initial timeout is unknown within the range of first tries; its midpoint is used.
    const double middle = (static_cast<double>(threshold) / (sBucketCount - 1) + 1) / 2;
    const auto initialTime
        = static_cast<std::int64_t>(static_cast<double>(maxTimeLeft->second.count()) * middle);
    return std::max(Milliseconds(0), Milliseconds(initialTime) - timeLeft);
}

} // namespace Loom
