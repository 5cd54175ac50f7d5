/*
 * membersilence.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "membersilence.h"

#include <algorithm>

namespace Loom {

MemberSilence::MemberSilence(std::string ownDataCentre, Milliseconds gap)
    : mOwnDataCentre(std::move(ownDataCentre))
    , mGap(gap)
{
}

void MemberSilence::noteHeard(std::string_view dataCentre, Instant at)
{
    auto known = mHearings.find(dataCentre);
    if (known == mHearings.end()) {
        known = mHearings.emplace(std::string(dataCentre), Hearing{at, at}).first;
    }
    Hearing &hearing = known->second;
    if (at - hearing.last > mGap) {
        hearing.since = at;
    }
    hearing.last = at;
}

// A link between data centres that stands still holds up all members behind it alike.
bool MemberSilence::isOverdue(std::string_view dataCentre, Instant since, Instant now,
                              Milliseconds bound) const
{
    if (dataCentre == mOwnDataCentre) {
        return now - since > bound;
    }
    const auto heard = mHearings.find(dataCentre);
    if (heard == mHearings.end() || now - heard->second.last > mGap) {
        return false;
    }
    return now - std::max(since, heard->second.since) > bound;
}

} // namespace Loom
