/*
 * sendpermits.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sendpermits.h"

#include <algorithm>

namespace Loom {

namespace {

// A replica that takes nothing gets so much, or nobody would learn when that ends.
constexpr double sMinRate = 0.2;
// What was not asked for is kept for this long: callers come in bunches.
constexpr double sBurstSeconds = 0.5;
// Of the limit, that may be reached over a whole span. What came before the limit was
// named counts, so that a replica in need rests until its load is near what it takes.
constexpr double sWindowRateFactor = 1.25;

double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

Microseconds inMicroseconds(double seconds)
{
    return std::chrono::ceil<Microseconds>(std::chrono::duration<double>(seconds));
}

} // namespace

double SendPermits::burstSize() const
{
    return 1 + mRate * sBurstSeconds;
}

double SendPermits::tokensAt(Instant now) const
{
    return std::min(burstSize(), mTokens + mRate * std::max(0.0, secondsBetween(mRefilledAt, now)));
}

std::size_t SendPermits::maxSendsInWindow() const
{
    const double window = std::chrono::duration<double>(sSendWindow).count();
    return 1 + static_cast<std::size_t>(mRate * window * sWindowRateFactor);
}

void SendPermits::dropExpired(Instant now)
{
    while (!mSent.empty() && mSent.front() + sSendWindow <= now) {
        mSent.pop_front();
    }
}

// Who begins has saved nothing: a process that takes this over grants no second share.
void SendPermits::setRate(double perSecond, Instant now)
{
    mTokens = mRate > 0 ? tokensAt(now) : 0;
    mRefilledAt = now;
    mRate = std::max(perSecond, sMinRate);
}

void SendPermits::noteSend(Instant at)
{
    mSent.insert(std::ranges::upper_bound(mSent, at), at);
}

Microseconds SendPermits::wait(Instant now) const
{
    Microseconds delay{0};
    const double missingTokens = 1 - tokensAt(now);
    if (missingTokens > 0) {
        delay = inMicroseconds(missingTokens / mRate);
    }
    const std::size_t most = maxSendsInWindow();
    if (mSent.size() >= most) {
        const Instant expiresAt = mSent[mSent.size() - most] + sSendWindow;
        delay = std::max<Microseconds>(delay, expiresAt - now);
    }
    return delay;
}

bool SendPermits::take(Instant now)
{
    dropExpired(now);
    if (wait(now) > Microseconds(0)) {
        return false;
    }
    mTokens = tokensAt(now) - 1;
    mRefilledAt = now;
    noteSend(now);
    return true;
}

} // namespace Loom
