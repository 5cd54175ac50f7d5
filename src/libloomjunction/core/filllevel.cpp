/*
 * filllevel.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "filllevel.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::chrono::seconds sHolds{10};

} // namespace

void FillLevel::lower(double held, std::uint32_t slots, Instant now)
{
    mSlots = std::max<std::uint32_t>(slots, 1);
    mMost = std::clamp(held, 1.0, mSlots);
    mLoweredAt = now;
}

// A replica that turned requests away though it held few is tried with one, then with twice
// as many after each good answer. One that was full stays so for a time.
void FillLevel::noteAnswer()
{
    if (mMost > 0 && !isFull()) {
        mMost *= 2;
        mMost = isFull() ? 0 : mMost;
    }
}

std::optional<double> FillLevel::most(Instant now) const
{
    const bool isOver = mMost == 0 || (isFull() && mLoweredAt + sHolds <= now);
    return isOver ? std::nullopt : std::optional<double>(mMost);
}

} // namespace Loom
