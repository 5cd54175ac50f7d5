/*
 * callerwaitestimator.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Loom {

/**
 * Estimates from the time that a caller has left how long it has been retrying before a
 * request arrives. First tries on one route need not have the same timeout: a remaining
 * time within the range of first tries tells nothing, one below that range is a retry.
 */
class CallerWaitEstimator
{
public:
    /**
     * Adds a request on @p route that has @p timeLeft. @p refused is the recent fraction
     * of requests that were refused and may have been retried.
     */
    void note(std::string_view route, Milliseconds timeLeft, double refused);
    /** Estimated time since the caller's first try; zero if this may be its first try. */
    Milliseconds waitedBefore(std::string_view route, Milliseconds timeLeft) const;

private:
    /** Histogram buckets of the time left, as a fraction of the route's longest time. */
    static constexpr std::size_t sBucketCount = 200;

    double remainingFraction(std::string_view route, Milliseconds timeLeft) const;
    std::size_t firstTryThreshold() const;

    std::map<std::string, Milliseconds, std::less<>> mMaxTimeLeft; ///< by route
    std::array<double, sBucketCount> mBucketCounts{};
    double mRequestCount = 0;
    double mRetryCount = 0; ///< how many of the requests may have been retries
};

} // namespace Loom
