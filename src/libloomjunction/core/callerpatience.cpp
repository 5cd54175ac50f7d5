/*
 * callerpatience.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callerpatience.h"

#include <algorithm>

namespace Loom {

namespace {

// Of the first tries, that may be taken for later ones: as few as some seconds of one
// gateway's requests tell apart.
constexpr double sMisjudged = 0.01;
// Before so many requests nothing is known of how callers begin.
constexpr double sLeastKnown = 20;
// So many are remembered; older ones count half then, and callers may change.
constexpr double sMostKnown = 4'000;

} // namespace

double CallerPatience::partOf(std::string_view route, Milliseconds timeLeft) const
{
    const auto longest = mLongest.find(route);
    if (longest == mLongest.end() || longest->second.count() <= 0) {
        return 1;
    }
    const double part
        = static_cast<double>(timeLeft.count()) / static_cast<double>(longest->second.count());
    return std::clamp(part, 0.0, 1.0);
}

void CallerPatience::note(std::string_view route, Milliseconds timeLeft, double refused)
{
    Milliseconds &longest = mLongest.try_emplace(std::string(route)).first->second;
    longest = std::max(longest, timeLeft);
    const double place = partOf(route, timeLeft) * (sParts - 1);
    mCounts[static_cast<std::size_t>(place)] += 1;
    mTotal += 1;
    // Whoever is refused comes once more, so that many of all requests are second tries.
    mReturned += refused / (1 + refused);
    if (mTotal < sMostKnown) {
        return;
    }
    for (double &count : mCounts) {
        count /= 2;
    }
    mTotal /= 2;
    mReturned /= 2;
}

// The lowest part of the longest time that first tries still have. Later tries have
// less, so they make up the lowest ones, as many as there may be.
std::size_t CallerPatience::leastOfFirstTries() const
{
    double left = mReturned + sMisjudged * mTotal;
    std::size_t place = 0;
    while (place + 1 < sParts && left >= mCounts[place]) {
        left -= mCounts[place];
        ++place;
    }
    return place;
}

Milliseconds CallerPatience::waited(std::string_view route, Milliseconds timeLeft) const
{
    const auto longest = mLongest.find(route);
    if (longest == mLongest.end() || mTotal < sLeastKnown) {
        return Milliseconds(0);
    }
    const std::size_t least = leastOfFirstTries();
    if (partOf(route, timeLeft) * (sParts - 1) >= static_cast<double>(least)) {
        return Milliseconds(0);
    }
    // It began with any of the times of first tries; their middle is the best guess.
    const double middle = (static_cast<double>(least) / (sParts - 1) + 1) / 2;
    const auto began
        = static_cast<std::int64_t>(static_cast<double>(longest->second.count()) * middle);
    return std::max(Milliseconds(0), Milliseconds(began) - timeLeft);
}

} // namespace Loom
