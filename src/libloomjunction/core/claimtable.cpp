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

constexpr Milliseconds sKeyRetention = sKeyLifetime + 2 * sMaxClockSkew;

} // namespace

void ClaimTable::feed(std::span<const wire::StoredRecord> records, std::uint64_t logStartOffset,
                      WallMilliseconds wallNow, Instant now)
{
    removeExpired(now);
    const bool missed = logStartOffset > mNextOffset;
    if (!mHasRead || missed) {
        // Claims before the oldest retained record cannot be read any more. No
        // record has been trimmed if the log still begins at its first offset.
        const bool fromStart = logStartOffset == 0;
        const WallMilliseconds oldestAge(records.empty() ? 0 : records.front().age_ms());
        mCompleteSince = fromStart ? WallMilliseconds(0) : wallNow - oldestAge;
        mNextOffset = std::max(mNextOffset, logStartOffset);
        mHasRead = true;
    }
    for (const wire::StoredRecord &record : records) {
        if (record.offset() != mNextOffset) {
            continue;
        }
        ++mNextOffset;
        wire::ClaimBatch batch;
        if (!batch.ParseFromString(record.data())) {
            continue;
        }
        for (const wire::KeyClaim &claim : batch.claims()) {
            const ClaimedHome home{claim.service(), claim.home_box(), claim.home_incarnation()};
            if (mHomes.emplace(claim.key(), home).second) {
                mByAge.push_back({claim.key(), now + sKeyRetention});
            }
        }
    }
}

std::optional<ClaimedHome> ClaimTable::home(std::string_view key) const
{
    const auto it = mHomes.find(std::string(key));
    return it == mHomes.end() ? std::nullopt : std::optional(it->second);
}

bool ClaimTable::coversKeysSince(WallMilliseconds born) const
{
    const bool fromStart = mCompleteSince.count() == 0;
    return mHasRead && (fromStart || born >= mCompleteSince + sMaxClockSkew);
}

void ClaimTable::removeExpired(Instant now)
{
    while (!mByAge.empty() && mByAge.front().expiresAt < now) {
        mHomes.erase(mByAge.front().key);
        mByAge.pop_front();
    }
}

} // namespace Loom
