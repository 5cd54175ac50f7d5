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
 * How long callers have tried before a request comes, told by the time that they have
 * left. Callers of one route need not begin with the same time: what lies within the
 * times of first tries says nothing, and what lies below them is a later try.
 */
class CallerWaitEstimator
{
public:
    /**
     * A request on @p route has @p timeLeft. @p refused: share of the requests of late
     * that were refused, and may be back.
     */
    void note(std::string_view route, Milliseconds timeLeft, double refused);
    /** Since the caller's first try; zero for whoever may be at its first. */
    Milliseconds waitedBefore(std::string_view route, Milliseconds timeLeft) const;

private:
    /** Times that are left, in parts of the route's longest. */
    static constexpr std::size_t sBucketCount = 200;

    double remainingFraction(std::string_view route, Milliseconds timeLeft) const;
    std::size_t firstTryThreshold() const;

    std::map<std::string, Milliseconds, std::less<>> mMaxTimeLeft; ///< by route
    std::array<double, sBucketCount> mBucketCounts{};
    double mRequestCount = 0;
    double mRetryCount = 0; ///< of those, as many as may have been later tries
};

} // namespace Loom
