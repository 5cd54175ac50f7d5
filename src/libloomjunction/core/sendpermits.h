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

/** How far back sends count when a limit is named or falls. */
inline constexpr Milliseconds sSendWindow{4'000};

/**
 * Hands out the sends to one replica that named a limit, for all gateways together. One
 * process keeps it for all; in any span it grants no more than the limit and half a
 * second's worth and one send. Rates in requests a second. Owned by the permit service.
 */
class SendPermits
{
public:
    void setRate(double perSecond, Instant now);
    double rate() const { return mRate; }

    /** A send at @p at that nobody asked a permit for. */
    void noteSend(Instant at);
    /** Until a permit is there; zero: now. */
    Microseconds wait(Instant now) const;
    /** Takes one; false: none is there. */
    bool take(Instant now);

private:
    double tokensAt(Instant now) const;
    double burstSize() const;
    std::size_t maxSendsInWindow() const;
    void dropExpired(Instant now);

    double mRate = 0;
    double mTokens = 0;
    Instant mRefilledAt;
    std::deque<Instant> mSent; ///< within the last span
};

} // namespace Loom
