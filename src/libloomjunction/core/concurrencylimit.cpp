/*
 * concurrencylimit.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "concurrencylimit.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr std::chrono::seconds sLimitLifetime{10};

} // namespace

void ConcurrencyLimit::lower(double held, std::uint32_t slots, Instant now)
{
    mSlots = std::max<std::uint32_t>(slots, 1);
    mLimit = std::clamp(held, 1.0, mSlots);
    mLoweredAt = now;
}

// A replica that turned requests away though it held few is tried with one, then with twice
// as many after each good answer. One that was full stays so for a time.
void ConcurrencyLimit::noteAnswer()
{
    if (mLimit > 0 && !isFull()) {
        mLimit *= 2;
        mLimit = isFull() ? 0 : mLimit;
    }
}

std::optional<double> ConcurrencyLimit::most(Instant now) const
{
    const bool isOver = mLimit == 0 || (isFull() && mLoweredAt + sLimitLifetime <= now);
    return isOver ? std::nullopt : std::optional<double>(mLimit);
}

} // namespace Loom
