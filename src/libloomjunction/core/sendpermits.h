/*
 * sendpermits.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstddef>
#include <deque>

namespace Loom {

/** Time for which sends count towards a limit that is set or lowered after them. */
inline constexpr Milliseconds sSendWindow{4'000};

/** Unused permits of a rate accumulate for this long, because requests arrive in bursts. */
inline constexpr Milliseconds sLimitBurst{500};
/**
 * The same at a cold replica. In any second at most 1.2 x the rate + 1 permits are granted, so that
 * sends which arrive up to 0.3 s late still stay within its bound of 1.5 x the rate + 5 a second.
 */
inline constexpr Milliseconds sColdBurst{200};

/**
 * Grants permits for sending to one replica with a rate limit, on behalf of all gateways.
 * One process keeps it for all of them. Within any window it grants no more than the limit,
 * the burst that accumulates in the given time, and one permit. Rates are in requests per second.
 * Owned by the permit service.
 */
class SendPermits
{
public:
    void setRate(double perSecond, Instant now, Milliseconds burst = sLimitBurst);
    double rate() const { return mRate; }

    /** Counts a send at @p at that was made without a permit. */
    void noteSend(Instant at);
    /** Time until the next permit is available; zero if one is available now. */
    Microseconds wait(Instant now) const;
    /** Takes a permit; returns false if none is available. */
    bool take(Instant now);

private:
    double tokensAt(Instant now) const;
    double burstSize() const;
    std::size_t maxSendsInWindow() const;
    void dropExpired(Instant now);

    double mRate = 0;
    Milliseconds mBurst = sLimitBurst;
    double mTokens = 0;
    Instant mRefilledAt;
    std::deque<Instant> mSent; ///< sorted; within the last window
};

} // namespace Loom
