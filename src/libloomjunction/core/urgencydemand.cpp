/*
 * urgencydemand.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "urgencydemand.h"

#include "choicerandom.h"
#include "decay.h"

#include <algorithm>
#include <cmath>

namespace Loom {

namespace {

// The same as that of the rate of all calls, see CallRate.
constexpr double sHalfLifeMs = 1'000;
// A lower decayed count is discarded: the rank was not seen for some seconds.
constexpr double sMinCount = 0.05;
// With fewer calls, as after a start, the fractions by rank are not known.
constexpr double sMinCalls = 8;
// Part of the time between two completions for which capacity is reserved, and standard deviations
// of the number of calls that are added. With a whole interval and one deviation, engines had idle
// slots, and the goodput at 1.3 to 1.8 times the capacity fell by 5 to 7 in 100.
constexpr double sReservedIntervalFraction = 0.35;
constexpr double sReservedDeviations = 0.5;
// Added to the exempt fraction for each level. While a rank exceeds the capacity alone, all others
// are served by their exempt calls only, and with equal fractions a class with a longer goal was
// served up to 0.07 more often than a more urgent one.
constexpr double sExemptStep = 0.03;
// Separates the random number of the exemption from those of the choice; any value works.
constexpr std::uint64_t sExemptionSeedMask = 0x6a09e667f3bcc909ULL;

} // namespace

void UrgencyDemand::note(const RequestStanding &standing, Instant now)
{
    const double decay = decayFactor(now - mAt, sHalfLifeMs);
    mCount = 0;
    for (auto it = mCounts.begin(); it != mCounts.end();) {
        it->second *= decay;
        if (it->second < sMinCount) {
            it = mCounts.erase(it);
            continue;
        }
        mCount += it->second;
        ++it;
    }
    mCounts[standing] += 1;
    mCount += 1;
    mAt = now;
}

bool UrgencyDemand::hasEnoughCalls() const
{
    return mCounts.size() > 1 && mCount >= sMinCalls;
}

UrgencyDemand::Split UrgencyDemand::split(const RequestStanding &standing) const
{
    if (!hasEnoughCalls()) {
        return {};
    }
    double moreUrgent = 0;
    double asUrgent = 0;
    for (const auto &[other, count] : mCounts) {
        if (other < standing) {
            moreUrgent += count;
        } else if (other == standing) {
            asUrgent = count;
        }
    }
    Split split;
    split.isUniform = false;
    split.isMostUrgent = moreUrgent <= 0;
    split.moreUrgentFraction = moreUrgent / mCount;
    const double lessUrgent = std::max(0.0, mCount - moreUrgent - asUrgent);
    split.lessUrgentFraction = lessUrgent / mCount;
    split.competingFraction = (moreUrgent + asUrgent + sExemptFraction * lessUrgent) / mCount;
    return split;
}

std::uint8_t UrgencyDemand::urgencyLevel(const RequestRank &rank) const
{
    if (!hasEnoughCalls()) {
        return sDefaultLevel;
    }
    std::size_t rankCount = 0;
    std::size_t moreUrgentCount = 0;
    const RequestRank *previous = nullptr;
    for (const auto &[standing, count] : mCounts) {
        if (previous == nullptr || *previous != standing.rank) {
            ++rankCount;
            moreUrgentCount += standing.rank < rank ? 1 : 0;
        }
        previous = &standing.rank;
    }
    if (rankCount < 2) {
        return sDefaultLevel;
    }
    const std::size_t position = std::min(moreUrgentCount, rankCount - 1);
    return static_cast<std::uint8_t>(position * (sLevelCount - 1) / (rankCount - 1));
}

double UrgencyDemand::reserve(double expected)
{
    const double calls = expected * sReservedIntervalFraction;
    return calls + sReservedDeviations * std::sqrt(calls);
}

bool UrgencyDemand::isExempt(std::uint64_t random, std::uint8_t level)
{
    const double fraction = sExemptFraction + sExemptStep * (sLevelCount - 1 - level);
    return ChoiceRandom(random ^ sExemptionSeedMask).nextFraction() < fraction;
}

} // namespace Loom
