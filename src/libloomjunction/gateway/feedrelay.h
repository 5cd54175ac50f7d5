/*
 * feedrelay.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "asynctypes.h"
#include "feedstate.h"
#include "peerstream.h"
#include "sentrecords.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Loom {

namespace wire {
class FollowUpdate;
class RelayedRecord;
}

/** Sends the records of this process's feeds to the processes that follow it. */
class FeedRelay
{
public:
    using States = std::function<FeedState &(Feed feed)>;

    explicit FeedRelay(States states)
        : mStates(std::move(states))
    {
    }

    /** Serves the process that opened @p stream until it leaves. */
    awaitable<void> serve(PeerStreamPtr stream);
    /** Sends the followers of @p feed what has changed. */
    void wake(Feed feed);
    void stop();

private:
    /** Another process that follows a feed of this one. */
    struct Follower
    {
        PeerStreamPtr stream;
        Feed feed = Feed::Operators;
        SentRecords sent{LogPosition()};
        bool acceptsUnchanged = false; ///< see wire::FollowRequest::accepts_unchanged
        std::optional<std::uint64_t>
            sentChangeCount; ///< change count of the feed when it was last sent
        std::uint32_t pendingQueryCount = 1; ///< includes the request that opened the stream
        Signal wakeSignal;
    };
    using FollowerPtr = std::shared_ptr<Follower>;

    struct CompressedValue
    {
        LogPosition position; ///< of the record that was compressed
        std::string bytes;
    };

    FeedState &state(const Follower &follower) const { return mStates(follower.feed); }
    void setRelayedValue(Feed feed, const FeedRecord &record, wire::RelayedRecord &relayed);
    wire::FollowUpdate newRecords(Follower &follower, bool isFullUpdate);
    wire::FollowUpdate buildUpdate(Follower &follower);
    void setUpdateState(const Follower &follower, wire::FollowUpdate &update) const;
    bool sendUpdate(Follower &follower);
    bool sendWaiting(Follower &follower) const;
    static void answerQueries(Follower &follower, const wire::FollowUpdate &answer);
    bool hasPendingUpdate(const Follower &follower) const;
    awaitable<void> receiveQueries(FollowerPtr follower);
    awaitable<void> sendUpdates(FollowerPtr follower);

    States mStates;
    std::set<FollowerPtr> mFollowers;
    /** Compressed long values by key, shared by all followers. */
    std::array<std::map<std::string, CompressedValue>, sFeedCount> mCompressed;
    bool mStopped = false;
};

} // namespace Loom
