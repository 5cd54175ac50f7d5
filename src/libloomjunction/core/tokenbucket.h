/*
 * tokenbucket.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <algorithm>
#include <cstdint>

namespace Loom {

/** Token bucket for bytes. It may go into debt, which the caller waits for. */
class TokenBucket
{
public:
    /** A @p bytesPerSecond of zero means no limit. */
    TokenBucket(double bytesPerSecond, double burstBytes)
        : mRate(bytesPerSecond)
        , mBurst(burstBytes)
        , mTokens(burstBytes)
    {
    }

    void setRate(double bytesPerSecond) { mRate = bytesPerSecond; }
    double rate() const { return mRate; }

    /** Takes @p bytes and returns how long to wait before using them. */
    Microseconds take(std::uint64_t bytes, Instant now)
    {
        if (mRate <= 0) {
            return Microseconds(0);
        }
        refill(now);
        mTokens -= static_cast<double>(bytes);
        if (mTokens >= 0) {
            return Microseconds(0);
        }
        return Microseconds(static_cast<std::int64_t>(-mTokens / mRate * 1e6));
    }

    /** Time until the debt is refilled; zero if there is none. */
    Microseconds debt(Instant now) { return take(0, now); }

private:
    void refill(Instant now)
    {
        if (now > mLastRefill) {
            const double seconds = std::chrono::duration<double>(now - mLastRefill).count();
            mTokens = std::min(mBurst, mTokens + mRate * seconds);
            mLastRefill = now;
        }
    }

    double mRate;
    double mBurst;
    double mTokens;
    Instant mLastRefill;
};

} // namespace Loom
