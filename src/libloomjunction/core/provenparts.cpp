/*
 * provenparts.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "provenparts.h"

namespace Loom {

void ProvenParts::note(const PromptPart &part, Instant now)
{
    const auto found = mPositions.find(part);
    if (found != mPositions.end()) {
        found->second->at = now;
        mSuccesses.splice(mSuccesses.end(), mSuccesses, found->second);
        return;
    }
    if (mPositions.size() >= mMaxParts) {
        forgetOldest();
    }
    mSuccesses.push_back({part, now});
    mPositions.emplace(part, std::prev(mSuccesses.end()));
}

void ProvenParts::forgetBefore(Instant time)
{
    while (!mSuccesses.empty() && mSuccesses.front().at < time) {
        forgetOldest();
    }
}

void ProvenParts::forgetOldest()
{
    mPositions.erase(mSuccesses.front().part);
    mSuccesses.pop_front();
}

} // namespace Loom
