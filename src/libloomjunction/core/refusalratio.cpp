/*
 * refusalratio.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "refusalratio.h"

#include "decay.h"

namespace Loom {

namespace {

// About as long as a request holds its place at a full engine: whoever is let in now
// is in the way for that time.
constexpr double sHalfLifeMs = 1'000;
// Stands for calls before the first one, so that a single refusal says little.
constexpr double sPriorCalls = 4;

} // namespace

void RefusalRatio::note(bool hasRoom, Instant now)
{
    const double kept = keptAfter(now - mAt, sHalfLifeMs);
    mCalls = mCalls * kept + 1;
    mRefused = mRefused * kept + (hasRoom ? 0 : 1);
    mAt = now;
}

double RefusalRatio::ratio(Instant now) const
{
    const double kept = keptAfter(now - mAt, sHalfLifeMs);
    return mRefused * kept / (mCalls * kept + sPriorCalls);
}

} // namespace Loom
