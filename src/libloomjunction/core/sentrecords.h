/*
 * sentrecords.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "feedtable.h"

#include <compare>
#include <map>
#include <optional>
#include <string>

namespace Loom {

/** The records of a feed that a follower of this process holds. */
class SentRecords
{
public:
    /** The follower holds all records before @p knownBefore. */
    explicit SentRecords(LogPosition knownBefore)
        : mInitial(knownBefore)
        , mKnownBefore(knownBefore)
    {
    }

    /**
     * Whether the follower holds the value of @p record, or its removal. @p movedFrom: position
     * of the same value in the era before, if it has one.
     */
    bool holds(const FeedRecord &record, std::optional<LogPosition> movedFrom) const;
    void noteSent(const FeedRecord &record);
    /** Forgets what was sent, so that everything is sent again. */
    void clear();

    /** The follower knows of all changes before this position. */
    LogPosition knownBefore() const { return mKnownBefore; }
    void setKnownBefore(LogPosition position) { mKnownBefore = position; }

private:
    /** Orders the records of a key. A removal may have the offset of the record it removes. */
    struct Rank
    {
        LogPosition position;
        bool isRemoval = false;

        auto operator<=>(const Rank &) const = default;
    };

    bool heldInitially(const Rank &rank) const;

    LogPosition mInitial;
    LogPosition mKnownBefore;
    std::map<std::string, Rank, std::less<>> mSent; ///< by key, the last one sent
};

} // namespace Loom
