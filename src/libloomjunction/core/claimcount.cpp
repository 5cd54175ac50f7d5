/*
 * claimcount.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "claimcount.h"

namespace Loom {

namespace {

// From a gateway's word until its request has reached the engine: the way within a
// data centre, and a new connection at times. Longer would count requests twice,
// shorter not at all.
constexpr Milliseconds sOnTheWay{6};

} // namespace

void ClaimCount::note(Instant now)
{
    mClaims.push_back(now);
}

std::uint32_t ClaimCount::unseenBy(Instant lookedAt)
{
    while (!mClaims.empty() && mClaims.front() + sOnTheWay <= lookedAt) {
        mClaims.pop_front();
    }
    return static_cast<std::uint32_t>(mClaims.size());
}

} // namespace Loom
