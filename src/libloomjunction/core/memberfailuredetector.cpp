/*
 * memberfailuredetector.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "memberfailuredetector.h"

#include <algorithm>

namespace Loom {

MemberFailureDetector::MemberFailureDetector(std::string ownDataCentre, Milliseconds maxGap)
    : mOwnDataCentre(std::move(ownDataCentre))
    , mMaxGap(maxGap)
{
}

void MemberFailureDetector::noteHeard(std::string_view dataCentre, Instant at)
{
    auto known = mContactPeriods.find(dataCentre);
    if (known == mContactPeriods.end()) {
        known = mContactPeriods.emplace(std::string(dataCentre), ContactPeriod{at, at}).first;
    }
    ContactPeriod &period = known->second;
    if (at - period.last > mMaxGap) {
        period.since = at;
    }
    period.last = at;
}

// A stalled link between data centres delays the messages of all members behind it, so
// their silence is no sign of a failure. There is no such link within a data centre.
bool MemberFailureDetector::isOverdue(std::string_view dataCentre, Instant since, Instant now,
                                      Milliseconds timeout) const
{
    if (dataCentre == mOwnDataCentre) {
        return now - since > timeout;
    }
    const auto found = mContactPeriods.find(dataCentre);
    if (found == mContactPeriods.end() || now - found->second.last > mMaxGap) {
        return false;
    }
    return now - std::max(since, found->second.since) > timeout;
}

} // namespace Loom
