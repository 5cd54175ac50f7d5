/*
 * replicapermits.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicapermits.h"

#include <algorithm>

namespace Loom {

std::optional<double> effectiveRate(const std::optional<double> &named, const ColdTime &cold,
                                    Instant now)
{
    if (cold.isOver(now)) {
        return named;
    }
    return std::min(named.value_or(cold.perSecond), cold.perSecond);
}

void ReplicaPermits::apply(const std::optional<double> &named, Instant heardAt,
                           const ColdTime &cold, std::span<const Instant> sends, Instant now)
{
    mLimit.hear(named, heardAt);
    if (!cold.isOver(now)) {
        mCold.perSecond = cold.perSecond;
        mCold.until = std::max(mCold.until, cold.until);
    }
    const auto rate = perSecond(now);
    if (rate && !mRate) {
        mPermits = SendPermits();
    }
    for (const Instant sent : sends) {
        mPermits.noteSend(sent);
    }
    updateRate(now);
}

void ReplicaPermits::updateRate(Instant now)
{
    const auto rate = perSecond(now);
    const bool hasChanged = rate != mRate || isCold(now) != mIsColdRate;
    if (rate && hasChanged) {
        mPermits.setRate(*rate, now, isCold(now) ? sColdBurst : sLimitBurst);
    }
    mRate = rate;
    mIsColdRate = isCold(now);
}

bool ReplicaPermits::take(Instant now)
{
    updateRate(now);
    return !mRate || mPermits.take(now);
}

Microseconds ReplicaPermits::wait(Instant now) const
{
    return perSecond(now) ? mPermits.wait(now) : Microseconds(0);
}

} // namespace Loom
