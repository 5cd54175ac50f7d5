/*
 * claimtable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "claimtable.h"

#include <algorithm>

namespace Loom {

namespace {

constexpr Milliseconds sRemembered = sKeyWindow + 2 * sClockSkew;

} // namespace

void ClaimTable::feed(std::span<const wire::StoredRecord> records, std::uint64_t logFirst,
                      WallMilliseconds wallNow, Instant now)
{
    forgetOld(now);
    const bool missed = logFirst > mNext;
    if (!mHasRead || missed) {
        // Claims before the oldest kept record are lost to us. Nothing was
        // ever trimmed while the log still begins at its first offset.
        const bool fromStart = logFirst == 0;
        const WallMilliseconds oldestAge(records.empty() ? 0 : records.front().age_ms());
        mCompleteSince = fromStart ? WallMilliseconds(0) : wallNow - oldestAge;
        mNext = std::max(mNext, logFirst);
        mHasRead = true;
    }
    for (const wire::StoredRecord &record : records) {
        if (record.offset() != mNext) {
            continue;
        }
        ++mNext;
        wire::ClaimBatch batch;
        if (!batch.ParseFromString(record.data())) {
            continue;
        }
        for (const wire::KeyClaim &claim : batch.claims()) {
            const ClaimedHome home{claim.service(), claim.home_box(), claim.home_incarnation()};
            if (mHomes.emplace(claim.key(), home).second) {
                mOrder.push_back({claim.key(), now + sRemembered});
            }
        }
    }
}

std::optional<ClaimedHome> ClaimTable::home(std::string_view key) const
{
    const auto it = mHomes.find(std::string(key));
    return it == mHomes.end() ? std::nullopt : std::optional(it->second);
}

bool ClaimTable::covers(WallMilliseconds born) const
{
    const bool fromStart = mCompleteSince.count() == 0;
    return mHasRead && (fromStart || born >= mCompleteSince + sClockSkew);
}

void ClaimTable::forgetOld(Instant now)
{
    while (!mOrder.empty() && mOrder.front().until < now) {
        mHomes.erase(mOrder.front().key);
        mOrder.pop_front();
    }
}

} // namespace Loom
