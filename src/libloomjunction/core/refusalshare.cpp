/*
 * refusalshare.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "refusalshare.h"

#include "decay.h"

namespace Loom {

namespace {

// About as long as a request holds its place at a full engine: whoever is let in now
// is in the way for that time.
constexpr double sHalfMs = 1'000;
// Stands for calls before the first one, so that a single refusal says little.
constexpr double sUsualCalls = 4;

} // namespace

void RefusalShare::note(bool hasRoom, Instant now)
{
    const double kept = decayFactor(now - mAt, sHalfMs);
    mCalls = mCalls * kept + 1;
    mRefused = mRefused * kept + (hasRoom ? 0 : 1);
    mAt = now;
}

double RefusalShare::share(Instant now) const
{
    const double kept = decayFactor(now - mAt, sHalfMs);
    return mRefused * kept / (mCalls * kept + sUsualCalls);
}

} // namespace Loom
