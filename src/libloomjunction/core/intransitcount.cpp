/*
 * intransitcount.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "intransitcount.h"

namespace Loom {

namespace {

// From a gateway's word until its request has reached the engine: the way within a
// data centre, and a new connection at times. Longer would count requests twice,
// shorter not at all.
constexpr Milliseconds sTransitTime{6};

} // namespace

void InTransitCount::note(Instant now)
{
    mSentTimes.push_back(now);
}

std::uint32_t InTransitCount::notVisibleAt(Instant lookedAt)
{
    while (!mSentTimes.empty() && mSentTimes.front() + sTransitTime <= lookedAt) {
        mSentTimes.pop_front();
    }
    return static_cast<std::uint32_t>(mSentTimes.size());
}

} // namespace Loom
