/*
 * replicaratelimit.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicaratelimit.h"

namespace Loom {

LimitChange ReplicaRateLimit::change(std::optional<double> perSecond, Instant at)
{
    mHeardAt = at;
    if (perSecond == mPerSecond) {
        return LimitChange::Nothing;
    }
    const bool hadLimit = mPerSecond.has_value();
    mPerSecond = perSecond;
    if (!perSecond) {
        return LimitChange::Removed;
    }
    return hadLimit ? LimitChange::Changed : LimitChange::Started;
}

LimitChange ReplicaRateLimit::name(double perSecond, Instant now)
{
    return change(perSecond, now);
}

// An answer that was begun before the limit was named may come after it.
LimitChange ReplicaRateLimit::noteNoLimit(Instant sentAt, Instant now)
{
    if (!mPerSecond || sentAt <= mHeardAt) {
        return LimitChange::Nothing;
    }
    return change(std::nullopt, now);
}

// What is known already keeps its time: told back and forth it would seem ever newer, and
// no answer would end it.
LimitChange ReplicaRateLimit::hear(std::optional<double> perSecond, Instant at)
{
    if (perSecond == mPerSecond || at <= mHeardAt) {
        return LimitChange::Nothing;
    }
    return change(perSecond, at);
}

} // namespace Loom
