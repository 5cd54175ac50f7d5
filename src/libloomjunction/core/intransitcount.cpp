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

// From a gateway's announcement until its request reaches the engine: the latency within
// a data centre, and the setup of a connection at times. A longer time would count
// requests twice, a shorter one would miss them.
constexpr Milliseconds sTransitTime{6};

} // namespace

void InTransitCount::note(Instant now)
{
    mSentTimes.push_back(now);
}

std::uint32_t InTransitCount::notVisibleAt(Instant reportedAt)
{
    while (!mSentTimes.empty() && mSentTimes.front() + sTransitTime <= reportedAt) {
        mSentTimes.pop_front();
    }
    return static_cast<std::uint32_t>(mSentTimes.size());
}

} // namespace Loom
