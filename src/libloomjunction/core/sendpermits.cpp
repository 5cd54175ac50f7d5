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

// Minimum rate of a replica that accepts nothing. Without any sends nobody would learn when
// it accepts requests again.
constexpr double sMinRate = 0.2;
// Maximum rate over a whole window, relative to the limit. Sends before the limit was set
// count too, so that an overloaded replica rests until its load is close to the limit.
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
    return 1 + mRate * std::chrono::duration<double>(mBurst).count();
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

// The first rate starts with an empty bucket, so that a process that takes over from another
// one does not grant the accumulated permits a second time.
void SendPermits::setRate(double perSecond, Instant now, Milliseconds burst)
{
    mTokens = mRate > 0 ? tokensAt(now) : 0;
    mRefilledAt = now;
    mRate = std::max(perSecond, sMinRate);
    mBurst = burst;
    mTokens = std::min(mTokens, burstSize());
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
