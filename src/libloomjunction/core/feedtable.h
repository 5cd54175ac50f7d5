/*
 * feedtable.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** One keyed record of a feed; without a value it takes its key away. */
struct FeedRecord
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/**
 * The newest record of every key of one feed, wherever each was learned: from
 * the store, in whatever order its pages came, or from another process. A key
 * never goes back to an older record. Owned by the feed's service.
 */
class FeedTable
{
public:
    /** Takes @p record; false where one as new is known already. */
    bool apply(const FeedRecord &record);

    /**
     * Takes all pages of a full read. @p end is the feed's end before the
     * first page: keys that are absent were removed before it. Gives the keys
     * whose record changed.
     */
    std::vector<std::string> applySnapshot(std::span<const FeedRecord> records, std::uint64_t end);

    /** Everything before this offset is known; the next read begins here. */
    std::uint64_t nextOffset() const { return mNextOffset; }
    void setNextOffset(std::uint64_t offset);
    bool isEmpty() const { return mRecords.empty(); }

    /** The record of @p key; null where it is unknown or was removed. */
    const FeedRecord *find(std::string_view key) const;
    /** All records, those that removed their key among them. */
    const std::map<std::string, FeedRecord, std::less<>> &all() const { return mRecords; }

private:
    std::map<std::string, FeedRecord, std::less<>> mRecords;
    std::uint64_t mNextOffset = 0;
};

} // namespace Loom
