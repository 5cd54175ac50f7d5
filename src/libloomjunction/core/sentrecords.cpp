/*
 * sentrecords.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "sentrecords.h"

namespace Loom {

// A record of an earlier era than the follower's may have outlasted one that the follower has
// read from the store's copy. A removal that a full read detected has the offset of the last
// record before it, which a process that knows all records up to there may still hold.
bool SentRecords::heldInitially(const Rank &rank) const
{
    if (rank.position.era != mInitial.era || rank.position >= mInitial) {
        return false;
    }
    return !rank.isRemoval || rank.position.offset + 1 < mInitial.offset;
}

bool SentRecords::holds(const FeedRecord &record, std::optional<LogPosition> movedFrom) const
{
    const Rank rank{record.position(), !record.value};
    const auto sent = mSent.find(record.key);
    if (sent == mSent.end()) {
        return heldInitially(rank) || (movedFrom && heldInitially({*movedFrom, false}));
    }
    return sent->second == rank || (movedFrom && sent->second == Rank{*movedFrom, false});
}

void SentRecords::noteSent(const FeedRecord &record)
{
    mSent.insert_or_assign(record.key, Rank{record.position(), !record.value});
}

void SentRecords::clear()
{
    mSent.clear();
    mInitial = {};
    mKnownBefore = {};
}

} // namespace Loom
