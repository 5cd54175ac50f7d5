/*
 * namedlimit.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "namedlimit.h"

namespace Loom {

LimitChange NamedLimit::hear(std::optional<double> perSecond, Instant at)
{
    if (at < mHeardAt) {
        return LimitChange::Nothing;
    }
    mHeardAt = at;
    if (perSecond == mPerSecond) {
        return LimitChange::Nothing;
    }
    const bool wasNamed = mPerSecond.has_value();
    mPerSecond = perSecond;
    if (!perSecond) {
        return LimitChange::Ended;
    }
    return wasNamed ? LimitChange::Changed : LimitChange::Begun;
}

// An answer that was begun before the limit was named may come after it.
LimitChange NamedLimit::hearNone(Instant sentAt, Instant now)
{
    if (!mPerSecond || sentAt <= mHeardAt) {
        return LimitChange::Nothing;
    }
    return hear(std::nullopt, now);
}

} // namespace Loom
