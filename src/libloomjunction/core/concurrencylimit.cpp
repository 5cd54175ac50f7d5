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

void ConcurrencyLimit::lower(double requests, std::uint32_t slots, Instant now)
{
    mSlots = std::max<std::uint32_t>(slots, 1);
    mLimit = std::clamp(requests, 1.0, mSlots);
    mLoweredAt = now;
}

// A replica that refused requests although it had few gets one request at first, and each
// successful answer doubles the limit. This gateway's answers are the only way out of it, so
// it must not count the requests of other gateways, which would keep it from sending any. The
// limit of a replica that was at least half full stays until sLimitLifetime is over.
void ConcurrencyLimit::noteAnswer()
{
    if (mLimit > 0 && !appliesToAllGateways()) {
        mLimit *= 2;
        mLimit = appliesToAllGateways() ? 0 : mLimit;
    }
}

std::optional<double> ConcurrencyLimit::limit(Instant now) const
{
    const bool isExpired
        = mLimit == 0 || (appliesToAllGateways() && mLoweredAt + sLimitLifetime <= now);
    return isExpired ? std::nullopt : std::optional<double>(mLimit);
}

} // namespace Loom
