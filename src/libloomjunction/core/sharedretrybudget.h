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

/** Bounds of the repeats that all entries together may make at one service. */
struct RetryBounds
{
    double ratio = 0.1; ///< repeats allowed for each request
    double extra = 10; ///< repeats allowed beyond these, in one window
    Milliseconds window{10'000}; ///< every span of this length counts
};

/**
 * One entry's share of a retry budget that binds all entries together, with
 * nothing to agree on: the extra is divided by the entries that may be alive,
 * and a new life begins with nothing, so that a restart grants no second
 * share within one window. Owned by the gateway, one a service.
 */
class SharedRetryBudget
{
public:
    SharedRetryBudget(RetryBounds bounds, Instant startedAt);

    void setBounds(const RetryBounds &bounds) { mBounds = bounds; }
    /** A first request for the service. */
    void noteRequest(Instant now);
    /** Takes one repeat; false when the share is spent. @p entries: those that may be alive. */
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
