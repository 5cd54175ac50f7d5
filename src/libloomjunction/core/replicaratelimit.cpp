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

// An answer to a request that was sent before the limit was stated may arrive after it, and
// says nothing about the limit.
LimitChange ReplicaRateLimit::noteNoLimit(Instant sentAt, Instant now)
{
    if (!mPerSecond || sentAt <= mHeardAt) {
        return LimitChange::Nothing;
    }
    return change(std::nullopt, now);
}

// A known limit keeps its time. Otherwise processes that report it to each other would make
// it ever newer, and no answer without a limit could remove it.
LimitChange ReplicaRateLimit::hear(std::optional<double> perSecond, Instant at)
{
    if (perSecond == mPerSecond || at <= mHeardAt) {
        return LimitChange::Nothing;
    }
    return change(perSecond, at);
}

} // namespace Loom
