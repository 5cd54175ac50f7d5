/*
 * retryadvice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "replicaestimate.h"

#include <optional>

namespace Loom {

/** Computes the retry delay for a caller that got no replica. Lives as long as one choice. */
class RetryAdvice
{
public:
    explicit RetryAdvice(const ReplicaQuery &query)
        : mQuery(query)
    {
    }

    /**
     * Delay when all replicas are busy, the least busy one with @p minLoad requests per
     * slot. @p isOverloaded: many calls were refused recently, so that freed slots will be
     * contested for a while. @p returnsEarly: under overload, the request has precedence over
     * others at its return.
     */
    Milliseconds whenBusy(double minLoad, bool isOverloaded, bool returnsEarly = false) const;
    /** Delay when all replicas rest or are rate limited, the first one for another @p wait. */
    Milliseconds afterPause(Microseconds wait) const;
    /** Delay when no replica is usable at all, as during a change of weights. */
    Milliseconds whenNoneUsable() const;

private:
    Milliseconds lateRetry() const;
    Milliseconds earlyRetry() const;
    std::optional<Milliseconds> retryWithinGoal() const;
    double randomFraction() const;

    const ReplicaQuery &mQuery;
};

} // namespace Loom
