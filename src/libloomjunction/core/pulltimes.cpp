/*
 * pulltimes.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "pulltimes.h"

#include <algorithm>

namespace Loom {

namespace {

// A pull is late after the longest observed time multiplied by this.
constexpr int sSlackFactor = 2;
// Time until a standby knows what a member announces.
constexpr Microseconds sAnnounceDelay{250'000};

} // namespace

void PullTimes::noteDone(Instant startedAt, Instant now)
{
    mMaxDuration = std::max<Microseconds>(mMaxDuration, now - startedAt);
    mNewestDoneStart = std::max(mNewestDoneStart, startedAt);
}

void PullTimes::noteStart(Microseconds delay)
{
    mMaxStartDelay = std::max(mMaxStartDelay, delay);
}

// Concurrent pulls share the origin's link and end in the order of their starts. As long as
// no later one has ended, the origin is merely slow.
Instant PullTimes::deadline(Instant startedAt, bool isAlone) const
{
    const bool isOriginSlow = startedAt >= mNewestDoneStart && !isAlone;
    if (isOriginSlow || mMaxDuration.count() == 0) {
        return startedAt + mMaxTimeout;
    }
    return startedAt
        + std::min<Microseconds>(mMaxDuration * sSlackFactor + sAnnounceDelay, mMaxTimeout);
}

// Members learn of a version at different times, so their schedules differ.
Microseconds PullTimes::startTimeout() const
{
    return std::min<Microseconds>(mMaxStartDelay * sSlackFactor + sAnnounceDelay, mMaxTimeout);
}

} // namespace Loom
