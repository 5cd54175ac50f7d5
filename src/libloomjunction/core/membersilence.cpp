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
    known->second.last = at;
}

bool MemberSilence::isOverdue(std::string_view, Instant since, Instant now,
                              Milliseconds bound) const
{
    return now - since > bound;
}

} // namespace Loom
