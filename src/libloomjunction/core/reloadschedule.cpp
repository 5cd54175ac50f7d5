/*
 * reloadschedule.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "reloadschedule.h"

#include "rendezvous.h"

#include <algorithm>
#include <vector>

namespace Loom {

namespace {

// Fractions of the time limit. Chunks take about 0.40 of it to arrive. After the last turn
// a replica still needs time to finish its running requests and to load the weights.
constexpr double sFirstTurnFraction = 0.40;
constexpr double sLastTurnFraction = 0.80;

Milliseconds fractionOf(Milliseconds whole, double fraction)
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(whole.count()) * fraction));
}

} // namespace

ReloadSchedule::ReloadSchedule(Milliseconds limit)
    : mFirstOffset(fractionOf(limit, sFirstTurnFraction))
    , mLastOffset(fractionOf(limit, sLastTurnFraction))
{
}

Instant ReloadSchedule::at(std::string_view versionKey, std::string_view self,
                           std::span<const std::string> members, Instant announcedAt,
                           Instant readyAt) const
{
    std::vector<std::string> all(members.begin(), members.end());
    if (std::ranges::find(all, self) == all.end()) {
        all.emplace_back(self);
    }
    const auto order = rendezvousOrder(versionKey, all, all.size());
    const auto own
        = std::ranges::find_if(order, [&](std::size_t index) { return all[index] == self; });
    const auto rank = static_cast<std::int64_t>(own - order.begin());
    const auto last = std::max<std::int64_t>(static_cast<std::int64_t>(all.size()) - 1, 1);
    // The first turn is not before the arrival of the weights. Otherwise replicas whose turns
    // are over by then would all reload at once.
    const Instant end = announcedAt + mLastOffset;
    const Instant begin = std::min(std::max(announcedAt + mFirstOffset, readyAt), end);
    return begin + (end - begin) * rank / last;
}

} // namespace Loom
