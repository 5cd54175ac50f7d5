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
 * How fast one box moves weights beside its live requests. It gives way when
 * their latency rises over what it is without a transfer, and grows back when
 * that has passed. Owned by the agent's weights service.
 */
class AdaptiveTransferRate
{
public:
    /** @p fullRate in bytes a second; zero means no limit and no yielding. */
    explicit AdaptiveTransferRate(double fullRate);

    /** First-byte latency of a live request that has just been answered. */
    void addLatency(Microseconds latency, bool isTransferring);

    /** The rate to use now, in bytes a second. */
    double rate(Instant now);

    /** It never yields below this part of the full rate, so that a rollout ends. */
    static constexpr double sMinRateFraction = 0.1;

private:
    void adjust();

    double mFullRate;
    double mRateFraction = 1.0;
    double mIdleLatencyMicroseconds = 0; ///< smoothed latency without a transfer
    double mRecentLatencyMicroseconds = 0; ///< smoothed latency of the last requests
    Instant mLastAdjustedAt;
};

} // namespace Loom
