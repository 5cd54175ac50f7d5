/*
 * urgencydemand.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "requestrank.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace Loom {

/** Composition by standing of the recent calls for one service at this process. */
class UrgencyDemand
{
public:
    /** Calls of one service, split at the standing of one of them. */
    struct Split
    {
        double moreUrgentFraction = 0; ///< calls that are more urgent, as a fraction of all
        /** Calls that compete with the one in question, as a fraction of all: those that are
            as urgent or more, and the exempt ones among the others. */
        double competingFraction = 1;
        bool isMostUrgent = true; ///< no recent call is more urgent
        double lessUrgentFraction = 0; ///< calls that are less urgent, as a fraction of all
        bool isUniform = true; ///< all recent calls have the same standing
    };

    /** Number of levels that urgencyLevel() distinguishes. */
    static constexpr std::uint8_t sLevelCount = 4;
    /** Level of all calls while their ranks do not differ. */
    static constexpr std::uint8_t sDefaultLevel = 1;
    /**
     * Fraction of the least urgent calls that are exempt from reserves. With 0.25, a rank was
     * served 0.38 times as often as all calls while a more urgent one alone exceeded the capacity;
     * the bound is 0.4.
     */
    static constexpr double sExemptFraction = 0.3;

    /** Counts a call. */
    void note(const RequestStanding &standing, Instant now);
    /** Uniform while too few calls were seen to know the fractions. */
    Split split(const RequestStanding &standing) const;
    /** Position of @p rank among the ranks of recent calls, from 0 for the most urgent one. */
    std::uint8_t urgencyLevel(const RequestRank &rank) const;

    /**
     * Capacity to keep free, in requests, if @p expected more urgent calls are expected until each
     * of the examined replicas has completed a request.
     */
    static double reserve(double expected);
    /** Whether the call with the seed @p random and the urgency @p level is exempt from reserves.
     */
    static bool isExempt(std::uint64_t random, std::uint8_t level);

private:
    bool hasEnoughCalls() const;

    std::map<RequestStanding, double> mCounts; ///< decayed, without negligible ones
    double mCount = 0; ///< sum of mCounts
    Instant mAt; ///< time of the last call
};

} // namespace Loom
