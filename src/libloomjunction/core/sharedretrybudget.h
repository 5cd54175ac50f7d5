/*
 * sharedretrybudget.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>

namespace Loom {

/** Limits of the retries that all gateways together may send to one service. */
struct RetryBounds
{
    double ratio = 0.1; ///< retries allowed per request
    double extra = 10; ///< additional retries allowed in one window
    Milliseconds window{10'000}; ///< the limits hold in every interval of this length
};

/**
 * Share of one gateway in a retry budget that limits all gateways together, without any
 * coordination: the additional retries are divided by the number of gateways that may be
 * alive. A restarted process begins without retries, so that a restart does not grant a
 * second share within one window. Owned by the gateway, one for each service.
 */
class SharedRetryBudget
{
public:
    SharedRetryBudget(RetryBounds bounds, Instant startedAt);

    void setBounds(const RetryBounds &bounds) { mBounds = bounds; }
    /** Counts a request for the service that is no retry. */
    void noteRequest(Instant now);
    /** Takes one retry; returns false if none is left. @p entries is how many gateways may live. */
    bool take(std::uint32_t entries, Instant now);
    double remaining() const { return mTokens; }

private:
    double share(std::uint32_t entries) const;
    void refill(std::uint32_t entries, Instant now);

    RetryBounds mBounds;
    double mTokens = 0;
    double mEarned = 0;
    double mRecentRequests = 0;
    Instant mLastRefill;
    Instant mLastRequest;
};

} // namespace Loom
