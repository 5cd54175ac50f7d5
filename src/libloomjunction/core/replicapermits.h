/*
 * replicapermits.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "replicaratelimit.h"
#include "sendpermits.h"

#include <optional>
#include <span>

namespace Loom {

/** Time in which a replica takes requests only at the cold rate of its service. */
struct ColdTime
{
    double perSecond = 0; ///< for the requests of all gateways together; zero: no limit
    Instant until;

    bool isOver(Instant now) const { return perSecond <= 0 || until <= now; }
};

/** The lower one of the limit that a replica named and its cold rate; empty: no limit. */
std::optional<double> effectiveRate(const std::optional<double> &named, const ColdTime &cold,
                                    Instant now);

/**
 * The permits of one incarnation of a replica, with all that its permit owner knows about its
 * limits. Owned by the permit service.
 */
class ReplicaPermits
{
public:
    /**
     * Applies the knowledge of a gateway: the limit @p named that it received at @p heardAt, the
     * replica's cold time, and its sends @p sends that were made without a permit of this owner.
     * Keeps the latest end of the cold time, and the rate that was received last.
     */
    void apply(const std::optional<double> &named, Instant heardAt, const ColdTime &cold,
               std::span<const Instant> sends, Instant now);

    /** Takes a permit; returns false if none is available. */
    bool take(Instant now);
    /** Time until the next permit is available; zero if one is available now. */
    Microseconds wait(Instant now) const;

    const ReplicaRateLimit &limit() const { return mLimit; }
    bool isCold(Instant now) const { return !mCold.isOver(now); }
    std::optional<double> perSecond(Instant now) const
    {
        return effectiveRate(mLimit.perSecond(), mCold, now);
    }

private:
    void updateRate(Instant now);

    ReplicaRateLimit mLimit;
    ColdTime mCold;
    SendPermits mPermits;
    std::optional<double> mRate; ///< the rate that mPermits grants; empty: it is not in use
    bool mIsColdRate = false; ///< the burst of mPermits is that of a cold replica
};

} // namespace Loom
