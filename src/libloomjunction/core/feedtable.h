/*
 * feedtable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "logposition.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** One keyed record of a feed; a record without a value removes its key. */
struct FeedRecord
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
    std::uint64_t era = 0; ///< of the store when the record was read, see LogPosition

    LogPosition position() const { return {era, offset}; }
};

/** Which records of a feed stay valid when the store returns from a copy. */
struct EraRules
{
    /** Whether @p earlier is newer by its content than @p later, which has the later era. */
    std::function<bool(const FeedRecord &earlier, const FeedRecord &later)> outlasts;
    bool keepsMissing = false; ///< a record stays valid although the copy lacks it
};

/** A key that a full read of the feed no longer holds. */
struct RemovedKey
{
    std::string key;
    bool isLost = false; ///< written after the copy that the store returned from
};

/**
 * Keeps the newest record of every key of one feed. Records may come from the store, in any
 * order of its pages, or from another process; an older record never replaces a newer one.
 * Within an era the offset decides which record is newer. Between eras the later one does,
 * unless EraRules::outlasts() decides otherwise. Owned by the service of the feed.
 */
class FeedTable
{
public:
    using Keys = std::set<std::string, std::less<>>;

    void setEraRules(EraRules rules) { mRules = std::move(rules); }

    /** Whether @p record brings back a key whose removal is known from an earlier era. */
    bool isRevival(const FeedRecord &record) const;
    /** Applies @p record; returns false if the known record is as new or has the same value. */
    bool apply(const FeedRecord &record);
    /** Removes the keys that a full read of the feed up to @p end did not return. */
    std::vector<RemovedKey> removeAbsent(const std::set<std::string_view> &present,
                                         LogPosition end);
    /** Notes that the value of @p key now stands at @p position; false: the key has no value. */
    bool move(std::string_view key, LogPosition position);

    /** Position at which the next read begins; all records before it are known. */
    LogPosition next() const { return mNext; }
    std::uint64_t nextOffset() const { return mNext.offset; }
    void setNext(LogPosition position);
    bool isEmpty() const { return mRecords.empty(); }

    /** Returns the record of @p key, or null if it is unknown or removed. */
    const FeedRecord *find(std::string_view key) const;
    /** All records, including those of removed keys. */
    const std::map<std::string, FeedRecord, std::less<>> &all() const { return mRecords; }
    /** Position of the value of @p key in the era before; nothing if it changed since. */
    std::optional<LogPosition> movedFrom(std::string_view key) const;
    /** Keys that are kept although the store lost them and nobody has written them again. */
    const Keys &missing() const { return mMissing; }
    void noteMissing(std::string_view key) { mMissing.emplace(key); }

private:
    bool supersedes(const FeedRecord &known, const FeedRecord &next) const;

    EraRules mRules;
    std::map<std::string, FeedRecord, std::less<>> mRecords;
    std::map<std::string, LogPosition, std::less<>> mMovedFrom;
    Keys mMissing;
    LogPosition mNext;
};

} // namespace Loom
