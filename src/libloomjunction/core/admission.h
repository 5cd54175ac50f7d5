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
 * Admission control for the requests of one service at one gateway. The concurrency limit
 * follows what the upstreams accept (additive increase, multiplicative decrease). While
 * the service is contended, each client account gets its weighted share. A request is
 * refused immediately, with the time after which to retry. Owned by the caller front.
 */
class Admission
{
public:
    /** @p ceiling is the configured maximum of requests in flight. */
    explicit Admission(std::uint32_t ceiling);

    void setCeiling(std::uint32_t ceiling);

    /** Returns the refusal, or nothing if admitted; release() must follow then. */
    std::optional<NotRun> admit(std::string_view account, std::uint32_t weight, Instant now);

    /** Ends an admitted request. @p upstreamRefused: an upstream reported that it was full. */
    void release(std::string_view account, bool upstreamRefused, Instant now);

    std::uint32_t limit() const { return static_cast<std::uint32_t>(mLimit); }
    std::uint32_t inFlight() const { return mInFlight; }
    std::uint32_t inFlightOf(std::string_view account) const;

    /** Delay after which a refused caller should retry, from the completion rate. */
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
