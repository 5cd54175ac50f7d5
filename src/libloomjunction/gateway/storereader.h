/*
 * storereader.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "feedstate.h"
#include "ports.h"

#include <functional>

namespace Loom {

class Metrics;

/** Reads one feed of the platform's store into its FeedState. Owned by the feed service. */
class StoreReader
{
public:
    /** @p onChange is called after each read that may have changed the feed, or failed. */
    StoreReader(StorePort &store, FeedState &state, std::function<void()> onChange);

    /** See FeedService::countInto(). */
    void countInto(Metrics &metrics) { mMetrics = &metrics; }

    /**
     * Reads all keys if the table is not synced, otherwise what follows it, for which the store
     * waits up to @p wait. Returns false if the store could not be reached.
     */
    awaitable<bool> read(Milliseconds wait);
    /** Whether the table was read before the store's last return from a copy. */
    bool isOutdated() const;
    /** Ends a read of an era that is over; it may wait at a lost offset until its timeout. */
    void cancelIfOutdated();

private:
    awaitable<bool> readAll();
    awaitable<bool> readOnward(Milliseconds wait);
    awaitable<void> handleRefusedRead();
    void countBytes(std::string_view kind, std::uint64_t bytes);

    StorePort &mStore;
    FeedState &mState;
    std::function<void()> mOnChange;
    Metrics *mMetrics = nullptr; ///< null if nothing is counted
    bool mIsPolling = false; ///< a read of the store's log is under way
    bool mIsRefused = false; ///< the last read was refused; nothing was read since
};

} // namespace Loom
