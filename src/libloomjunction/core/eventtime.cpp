/*
 * eventtime.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "eventtime.h"

#include <algorithm>

namespace Loom {

std::optional<Microseconds> EventTime::maxAge(Instant now) const
{
    return mEarliest ? std::optional(now - *mEarliest) : std::nullopt;
}

std::optional<Microseconds> EventTime::minAge(Instant now) const
{
    return mLatest ? std::optional(std::max(now - *mLatest, Microseconds(0))) : std::nullopt;
}

void EventTime::notBefore(std::optional<Instant> time)
{
    mEarliest = mEarliest && time ? std::max(mEarliest, time) : mEarliest ? mEarliest : time;
}

void EventTime::notAfter(std::optional<Instant> time)
{
    mLatest = mLatest && time ? std::min(mLatest, time) : mLatest ? mLatest : time;
}

void EventTime::narrow(const EventTime &other)
{
    notBefore(other.mEarliest);
    notAfter(other.mLatest);
}

} // namespace Loom
