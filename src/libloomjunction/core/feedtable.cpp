/*
 * feedtable.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "feedtable.h"

#include <algorithm>
#include <limits>

namespace Loom {

namespace {

// Position for removals that a read of all records before @p end detects. A read of an empty log
// leaves none in its era, and a record at its first offset must replace the removal.
LogPosition lastBefore(LogPosition end)
{
    if (end.offset > 0) {
        return {end.era, end.offset - 1};
    }
    return {end.era == 0 ? 0 : end.era - 1, std::numeric_limits<std::uint64_t>::max()};
}

} // namespace

bool FeedTable::supersedes(const FeedRecord &known, const FeedRecord &next) const
{
    if (known.era == next.era) {
        // A full read detects a removal without learning its offset, so a removal also
        // replaces a record of the same offset.
        const bool isRemoval = known.value && !next.value;
        return next.offset > known.offset || (next.offset == known.offset && isRemoval);
    }
    // The copy may hold an older value than the one known from the earlier era.
    const bool isNextLater = next.era > known.era;
    const FeedRecord &earlier = isNextLater ? known : next;
    const FeedRecord &later = isNextLater ? next : known;
    const bool hasOutlasted = mRules.outlasts && mRules.outlasts(earlier, later);
    return isNextLater != hasOutlasted;
}

bool FeedTable::apply(const FeedRecord &record)
{
    if (record.era >= mNext.era) {
        mMissing.erase(record.key);
    }
    const auto it = mRecords.find(record.key);
    if (it == mRecords.end()) {
        mRecords.emplace(record.key, record);
        return true;
    }
    FeedRecord &known = it->second;
    if (!supersedes(known, record)) {
        return false;
    }
    const bool isSameValue = known.era != record.era && known.value == record.value;
    if (isSameValue) {
        mMovedFrom.insert_or_assign(record.key, known.position());
    } else {
        mMovedFrom.erase(record.key);
    }
    known = record;
    return !isSameValue;
}

bool FeedTable::isRevival(const FeedRecord &record) const
{
    const auto it = mRecords.find(record.key);
    return it != mRecords.end() && !it->second.value && record.value && it->second.era < record.era;
}

std::vector<RemovedKey> FeedTable::removeAbsent(const std::set<std::string_view> &present,
                                                LogPosition end)
{
    std::vector<RemovedKey> removed;
    for (auto &[key, record] : mRecords) {
        if (!record.value || record.position() >= end || present.contains(key)) {
            continue;
        }
        const bool isOfEarlierEra = record.era < end.era;
        if (isOfEarlierEra && mRules.keepsMissing) {
            mMissing.insert(key);
            continue;
        }
        removed.push_back({key, isOfEarlierEra && record.offset >= end.offset});
        const LogPosition position = lastBefore(end);
        record.value.reset();
        record.offset = position.offset;
        record.era = position.era;
        mMovedFrom.erase(key);
    }
    return removed;
}

bool FeedTable::move(std::string_view key, LogPosition position)
{
    const auto it = mRecords.find(key);
    if (it == mRecords.end() || !it->second.value) {
        return false;
    }
    FeedRecord &record = it->second;
    if (position > record.position()) {
        mMissing.erase(record.key); // written again, so that the store holds it
        mMovedFrom.insert_or_assign(record.key, record.position());
        record.era = position.era;
        record.offset = position.offset;
    }
    return true;
}

void FeedTable::setNext(LogPosition position)
{
    mNext = std::max(mNext, position);
}

const FeedRecord *FeedTable::find(std::string_view key) const
{
    const auto it = mRecords.find(key);
    return it == mRecords.end() || !it->second.value ? nullptr : &it->second;
}

std::optional<LogPosition> FeedTable::movedFrom(std::string_view key) const
{
    const auto it = mMovedFrom.find(key);
    return it == mMovedFrom.end() ? std::nullopt : std::optional(it->second);
}

} // namespace Loom
