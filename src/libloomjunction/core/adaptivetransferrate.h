/*
 * adaptivetransferrate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

namespace Loom {

/**
 * Limits the rate at which a box transfers weights while it serves live requests.
 * The rate falls while the latency of live requests is clearly higher than without a
 * transfer, and recovers afterwards. Owned by the agent's weights service.
 */
class AdaptiveTransferRate
{
public:
    /** @p fullRate is in bytes per second; zero means that the rate is not limited. */
    explicit AdaptiveTransferRate(double fullRate);

    /** Adds the first-byte latency of a live request that has just been answered. */
    void addLatency(Microseconds latency, bool isTransferring);

    /** The rate to use now, in bytes per second. */
    double rate(Instant now);

    /** Lower bound as a fraction of the full rate, so that a rollout always completes. */
    static constexpr double sMinRateFraction = 0.1;

private:
    void adjust();

    double mFullRate;
    double mRateFraction = 1.0;
    double mIdleLatencyMicroseconds = 0; ///< smoothed latency without a transfer
    double mRecentLatencyMicroseconds = 0; ///< smoothed latency of recent requests
    Instant mLastAdjustedAt;
};

} // namespace Loom
