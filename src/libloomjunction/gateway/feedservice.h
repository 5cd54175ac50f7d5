/*
 * feedservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "clock.h"
#include "feedtable.h"
#include "instant.h"
#include "kernel.h"
#include "peerstream.h"
#include "ports.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Loom {

class Metrics;
class PendingQueries;
class PeerHub;
namespace wire {
class FollowUpdate;
class RelayedRecord;
}

/** From where a process learns records first; the other way is used when it fails. */
enum class FeedPreference : std::uint8_t
{
    Store,
    Peers,
};

/** Who reads a feed from the store where many processes need it. */
struct FeedReaders
{
    bool isReader = true; ///< this process does
    bool isRelayed = false; ///< others follow those that do
    std::vector<Tcp::endpoint> others; ///< the processes that read, this one left out
    /** Near processes that read before this one while it begins, in order. */
    std::vector<Tcp::endpoint> earlier;
};

/** How a record came to this process. */
struct RecordOrigin
{
    std::string from = "store"; ///< or the address of the process that it was followed from
    std::uint32_t hops = 0; ///< processes between the store and this one
};

/** A record that changed, as listeners get it. */
struct FeedChange
{
    const FeedRecord &record;
    Microseconds age; ///< since the store may have taken it, the way to here included
    bool isTrusted; ///< the store was well for a while when it said so
    const RecordOrigin &origin;
};

/**
 * Follows the feeds of the platform's store and passes them on to processes
 * that cannot reach it. Each feed is a FeedTable, so what was learned in one
 * way is never undone by the other.
 */
class FeedService final : public Service
{
public:
    static constexpr std::string_view sName = "feeds";
    using Listener = std::function<void(const FeedChange &change)>;
    using PeerAddresses = std::function<std::vector<Tcp::endpoint>()>;
    using Readers = std::function<FeedReaders()>;
    /** Whether a new value of a record says the same as its old one. */
    using EquivalencePredicate
        = std::function<bool(const FeedRecord &known, const FeedRecord &next)>;

    FeedService(StorePort &store, std::string box, FeedPreference preference);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /** Counts what the store's answers hold as `store_bytes`, by feed and kind of read. */
    void countInto(Metrics &metrics) { mMetrics = &metrics; }
    /** Calls @p listener for every change of @p feed; add before start. */
    void listen(Feed feed, Listener listener);
    /** Records that say the same again are neither told to listeners nor relayed. */
    void skipUnchanged(Feed feed, EquivalencePredicate isEquivalent)
    {
        state(feed).isEquivalent = std::move(isEquivalent);
    }
    /** Least time between two reads of replicas' records; a draining one gets requests till then.
     */
    void setReplicasReadDelay(Milliseconds pause) { mReplicasReadDelay = pause; }
    /** Most that the knowledge of operators' records may wait for a quiet store's answer. */
    void setOperatorsPollTimeout(Milliseconds wait);
    /** Entries that may be asked for records. */
    void setPeers(PeerAddresses peers) { mPeers = std::move(peers); }

    /** Who reads feeds that need not be read by everybody; without it all do. */
    void setReaders(Readers readers) { mReaders = std::move(readers); }

    /** How long ago the feed was last known to be complete; nothing: never. */
    std::optional<Microseconds> age(Feed feed) const;
    /** A read of the store failed some seconds ago or less. */
    bool hasStoreFailed() const;
    bool isStoreReached(Feed feed) const { return state(feed).isStoreReached; }
    /** This process began so lately that it trusts a plan more than what it heard. */
    bool isInStartup() const { return now() < mStartupDeadline; }
    const FeedTable &table(Feed feed) const { return state(feed).table; }

private:
    struct CompressedValue
    {
        std::uint64_t offset = 0; ///< of the record it was made of
        std::string bytes;
    };

    /** What one follower knows: of each key the newest record, by its rank. */
    struct SentRanks
    {
        std::uint64_t all = 0; ///< every record up to this rank
        std::uint64_t knownBefore = 0; ///< all is known before this offset
        std::map<std::string, std::uint64_t, std::less<>> byKey;
    };

    struct FeedState
    {
        FeedTable table;
        std::vector<Listener> listeners;
        EquivalencePredicate isEquivalent;
        std::map<std::string, Instant> learnedAt;
        std::map<std::string, RecordOrigin> origins; ///< of the newest record of each key
        /** Long values as they are relayed, by key; made once for all followers. */
        std::map<std::string, CompressedValue> compressed;
        std::optional<Instant> completeAt;
        Instant storeFailedAt;
        bool hasStoreFailed = false;
        bool isStoreReached = false;
        bool isSynced = false; ///< the book holds all that the store kept before its end
        std::uint64_t removalsKnownFrom = 0; ///< removals at it or later are in the book
        bool isFirstSync = true; ///< the book was never complete yet in this life
        bool isRelayDoubtful = false; ///< what the followed process says of its store
        bool hasReturnedEarly = false; ///< the last read of the store came back before its wait
        std::uint64_t changeCount = 0;
    };

    /** Another process that follows a feed here. */
    struct Follower
    {
        PeerStreamPtr stream;
        Feed feed = Feed::Operators;
        SentRanks sent;
        std::optional<std::uint64_t> sentChangeCount; ///< changes of the feed that it was told
        std::uint32_t pendingQueryCount = 1; ///< the one that opened the stream is the first
        Signal wakeSignal;
    };
    using FollowerPtr = std::shared_ptr<Follower>;

    FeedState &state(Feed feed) { return mFeeds[static_cast<std::size_t>(feed)]; }
    const FeedState &state(Feed feed) const { return mFeeds[static_cast<std::size_t>(feed)]; }

    awaitable<void> follow(Feed feed);
    awaitable<void> startUp(Feed feed);
    awaitable<void> startUpFromPeers(Feed feed);
    awaitable<void> waitForMembers(Feed feed);
    awaitable<void> delayStartup(Feed feed);
    awaitable<bool> followEarlierReaders(Feed feed);
    Instant startupDeadline(Feed feed) const;
    bool isStartingUp(Feed feed) const;
    bool isAwaitingData(Feed feed) const;
    awaitable<bool> readStore(Feed feed);
    awaitable<bool> sync(Feed feed);
    awaitable<bool> readPeer(Feed feed);
    awaitable<bool> followPeer(Feed feed, Tcp::endpoint address, Milliseconds maxDuration);
    awaitable<bool> followReader(Feed feed);
    bool isFollower(Feed feed) const;
    bool isStoreDoubtful(Feed feed) const;
    static void setRelayedValue(FeedState &state, const FeedRecord &record,
                                wire::RelayedRecord &relayed);
    bool applyUpdate(Feed feed, const wire::FollowUpdate &update, PendingQueries &queries,
                     const Tcp::endpoint &from);
    void applyFullUpdate(Feed feed, const wire::FollowUpdate &update, Microseconds age);
    std::optional<FeedRecord> readRelayed(Feed feed, const wire::RelayedRecord &relayed) const;
    std::uint64_t knownBefore(Feed feed) const;
    void updateCompleteAt(Feed feed, Instant at);
    wire::FollowUpdate newRecords(Follower &follower);
    wire::FollowUpdate buildUpdate(Follower &follower);
    void setUpdateState(Feed feed, wire::FollowUpdate &update) const;
    bool sendUpdate(Follower &follower);
    bool sendWaiting(Follower &follower) const;
    static void answerQueries(Follower &follower, const wire::FollowUpdate &answer);
    bool hasPendingUpdate(const Follower &follower) const;
    awaitable<void> receiveQueries(FollowerPtr follower);
    awaitable<void> sendUpdates(FollowerPtr follower);
    void wakeFollowers(Feed feed);
    void wakeAllFollowers();
    void updateStoreState(Feed feed, bool reached, std::string_view why);
    void countRead(Feed feed, std::string_view kind, std::uint64_t bytes);
    void apply(Feed feed, const FeedRecord &record, Microseconds age, RecordOrigin origin = {});
    void applyRelayed(Feed feed, const FeedRecord &record, Microseconds age, RecordOrigin origin);
    void notifyListeners(Feed feed, const FeedRecord &record, Microseconds age);
    awaitable<void> serveFollower(PeerStreamPtr stream);
    Milliseconds pollTimeout(Feed feed) const;
    Milliseconds nextPollTimeout(Feed feed) const;
    Microseconds ageOfRead(Feed feed, Milliseconds wait) const;
    Milliseconds readDelay(Feed feed) const;
    bool isUnchanged(Feed feed, const FeedRecord &record) const;

    StorePort &mStore;
    std::string mBox;
    FeedPreference mPreference;
    PeerHub *mHub = nullptr;
    Metrics *mMetrics = nullptr; ///< null: nothing is counted
    PeerAddresses mPeers;
    Readers mReaders;
    std::array<FeedState, sFeedCount> mFeeds;
    std::unique_ptr<Signal> mChanged; ///< something was learned, or the store was lost
    std::set<FollowerPtr> mFollowers;
    Milliseconds mReplicasReadDelay{200};
    Milliseconds mOperatorsPollTimeout{2'000};
    std::uint64_t mPeerIndex = 0;
    Instant mStartupDeadline; ///< others are waited for till then
    bool mStopped = false;
};

} // namespace Loom
