/*
 * feedfollower.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "feedstate.h"
#include "pendingqueries.h"

#include <functional>
#include <string>
#include <string_view>

namespace Loom {

class PeerHub;
namespace wire {
class FollowUpdate;
class RelayedRecord;
}

/** Limits of following one process. */
struct FollowLimits
{
    Instant until;
    Milliseconds queryInterval{300};
    /** The process may have nothing to send yet, since it is starting, too. */
    std::function<bool()> mayWaitForData;
    /** Ends following when it returns false; null: only the other limits count. */
    std::function<bool()> isNeeded;
};

/**
 * Receives the records of one feed from other processes. May follow several at a time: their
 * records are merged in the FeedState. Owned by the feed service.
 */
class FeedFollower
{
public:
    static constexpr std::string_view sPath = "/follow";

    /** @p storeEra: highest era known to this process; @p onChange is called after changes. */
    FeedFollower(PeerHub &hub, std::string box, FeedState &state,
                 std::function<std::uint64_t()> storeEra, std::function<void()> onChange);

    /**
     * Follows the process at @p address; returns false if it could not be reached, stopped
     * responding, or sent nothing useful.
     */
    awaitable<bool> follow(Tcp::endpoint address, FollowLimits limits);

private:
    bool applyUpdate(const wire::FollowUpdate &update, PendingQueries &queries,
                     std::string_view from);
    bool applyRecords(const wire::FollowUpdate &update, Instant sentAfter, std::string_view from);
    void applyFullUpdate(const wire::FollowUpdate &update);
    std::optional<FeedRecord> readRelayed(const wire::RelayedRecord &relayed) const;
    bool isOfEarlierEra(const wire::FollowUpdate &update, bool mayWaitForData) const;

    PeerHub &mHub;
    std::string mBox;
    FeedState &mState;
    std::function<std::uint64_t()> mStoreEra;
    std::function<void()> mOnChange;
};

} // namespace Loom
