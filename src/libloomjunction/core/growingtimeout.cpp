/*
 * growingtimeout.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "growingtimeout.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr int sGrowth = 2;

} // namespace

GrowingTimeout::GrowingTimeout(Milliseconds least, Milliseconds most)
    : mLeast(least)
    , mMost(most)
    , mCurrent(least)
{
}

void GrowingTimeout::noteTimedOut()
{
    mCurrent = std::min(mCurrent * sGrowth, mMost);
}

} // namespace Loom
