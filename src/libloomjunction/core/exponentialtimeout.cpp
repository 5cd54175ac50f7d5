/*
 * exponentialtimeout.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "exponentialtimeout.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr int sGrowthFactor = 2;

} // namespace

ExponentialTimeout::ExponentialTimeout(Milliseconds minimum, Milliseconds maximum)
    : mMinimum(minimum)
    , mMaximum(maximum)
    , mCurrent(minimum)
{
}

void ExponentialTimeout::noteTimeout()
{
    mCurrent = std::min(mCurrent * sGrowthFactor, mMaximum);
}

} // namespace Loom
