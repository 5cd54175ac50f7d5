/*
 * admission.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "outcome.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Loom {

/**
 * Admits requests of one service at one entry. The limit follows what the
 * upstreams accept (additive increase, multiplicative decrease); while the
 * service is contended each client account gets its weighted share. Refusals
 * are immediate and say when to come back. Owned by the caller front.
 */
class Admission
{
public:
    /** @p ceiling is the configured most in flight. */
    explicit Admission(std::uint32_t ceiling);

    void setCeiling(std::uint32_t ceiling);

    /** Nothing when admitted (release() must follow), else the refusal. */
    std::optional<NotRun> admit(std::string_view account, std::uint32_t weight, Instant now);

    /** An admitted request ended; @p upstreamRefused: an upstream said it was full. */
    void release(std::string_view account, bool upstreamRefused, Instant now);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(mLimit); }
    std::uint32_t inFlight() const { return mInFlight; }
    std::uint32_t inFlightOf(std::string_view account) const;

    /** When a refused caller should come back, from the drain rate. */
    Milliseconds retryAfter(Instant now) const;

private:
    struct Share
    {
        std::uint32_t inFlight = 0;
        std::uint32_t weight = 1;
        Instant lastRequestAt;
    };

    double fairShare(const Share &share, Instant now) const;
    void noteCompletion(Instant now);

    double mLimit;
    std::uint32_t mCeiling;
    std::uint32_t mInFlight = 0;
    std::map<std::string, Share, std::less<>> mShares;
    Instant mLastDecrease;
    Instant mWindowStart;
    std::uint32_t mWindowCompletions = 0;
    double mCompletionsPerSecond = 0;
};

} // namespace Loom
