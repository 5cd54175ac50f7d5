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

// About as long as a request occupies its slot at a full engine: a request that is
// admitted now blocks others for that time.
constexpr double sHalfLifeMs = 1'000;
// Virtual calls before the first one, so that a single refusal has little weight.
constexpr double sPriorCalls = 4;

} // namespace

void RefusalRatio::note(bool hasRoom, Instant now)
{
    const double decay = decayFactor(now - mAt, sHalfLifeMs);
    mCalls = mCalls * decay + 1;
    mRefused = mRefused * decay + (hasRoom ? 0 : 1);
    mAt = now;
}

double RefusalRatio::ratio(Instant now) const
{
    const double decay = decayFactor(now - mAt, sHalfLifeMs);
    return mRefused * decay / (mCalls * decay + sPriorCalls);
}

} // namespace Loom
