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

namespace Loom {

/** When a caller that finds no place is told to try again. Lives as long as one choice. */
class RetryAdvice
{
public:
    explicit RetryAdvice(const ReplicaQuery &query)
        : mQuery(query)
    {
    }

    /**
     * All replicas are busy, the least busy one with @p minLoad requests a slot.
     * @p isOverloaded: so are many others, and places will be wanted for a while.
     */
    Milliseconds whenBusy(double minLoad, bool isOverloaded) const;
    /** All rest or are held up by the limits that they named; the first one for @p wait. */
    Milliseconds afterPause(Microseconds wait) const;
    /** No replica can be used at all, as while weights change. */
    Milliseconds whenNoneUsable() const;

private:
    Milliseconds late() const;
    double random() const;

    const ReplicaQuery &mQuery;
};

} // namespace Loom
