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

/** One keyed record of a feed; a record without a value removes its key. */
struct FeedRecord
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/**
 * Keeps the newest record of every key of one feed. Records may come from the store, in any
 * order of its pages, or from another process; an older record never replaces a newer one.
 * Owned by the service of the feed.
 */
class FeedTable
{
public:
    /** Applies @p record; returns false if the known record is as new. */
    bool apply(const FeedRecord &record);

    /**
     * Applies a full read of the feed. @p end is the end offset of the feed before the
     * first page was read; keys missing from @p records were removed before it. Returns
     * the keys whose record changed.
     */
    std::vector<std::string> applySnapshot(std::span<const FeedRecord> records, std::uint64_t end);

    /** Offset at which the next read begins; all records before it are known. */
    std::uint64_t nextOffset() const { return mNextOffset; }
    void setNextOffset(std::uint64_t offset);
    bool isEmpty() const { return mRecords.empty(); }

    /** Returns the record of @p key, or null if it is unknown or removed. */
    const FeedRecord *find(std::string_view key) const;
    /** All records, including those of removed keys. */
    const std::map<std::string, FeedRecord, std::less<>> &all() const { return mRecords; }

private:
    std::map<std::string, FeedRecord, std::less<>> mRecords;
    std::uint64_t mNextOffset = 0;
};

} // namespace Loom
