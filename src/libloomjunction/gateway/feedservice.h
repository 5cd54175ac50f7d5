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
#include "sentrecords.h"

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

/** Preferred source of records; the other source is the fallback. */
enum class FeedPreference : std::uint8_t
{
    Store,
    Peers,
};

/** Division of a feed between the processes that read the store and their followers. */
struct FeedReaders
{
    bool isReader = true; ///< this process reads the store
    bool isRelayed = false; ///< other processes follow the readers
    std::vector<Tcp::endpoint> others; ///< readers other than this process
    /** Nearby processes that read the store before this one during startup, in order. */
    std::vector<Tcp::endpoint> earlier;
};

/** Source of a record and its distance from the store. */
struct RecordOrigin
{
    std::string from = "store"; ///< or the address of the process that relayed it
    std::uint32_t hops = 0; ///< number of times that the record was relayed
};

/** How recently a feed was known to be complete, and from where. */
struct FeedEvidence
{
    Milliseconds age{-1}; ///< negative: it was never known to be complete
    std::string from; ///< "store", or the address of the process that reported it last
    LogPosition next; ///< all records before it are known
};

/** A changed record, as passed to listeners. */
struct FeedChange
{
    const FeedRecord &record;
    Microseconds age; ///< estimated time since the store accepted it, transit included
    bool isTrusted; ///< the store had no recent failure when the change was read
    const RecordOrigin &origin;
    /** The store's copy holds a record whose removal was known, and which may thus be outdated. */
    bool isRevived = false;
};

/**
 * Follows the feeds of the platform's store and relays them to other processes.
 * Records from the store and from peers are merged in one FeedTable per feed, so
 * an older record from one source never replaces a newer one from the other.
 */
class FeedService final : public Service
{
public:
    static constexpr std::string_view sName = "feeds";
    using Listener = std::function<void(const FeedChange &change)>;
    /** @p missing: keys that the store has lost, and that stay valid. */
    using RestoreListener = std::function<void(const FeedTable::Keys &missing)>;
    using PeerAddresses = std::function<std::vector<Tcp::endpoint>()>;
    using Readers = std::function<FeedReaders()>;
    /** Whether a new value of a record means the same as the known one. */
    using EquivalencePredicate
        = std::function<bool(const FeedRecord &known, const FeedRecord &next)>;

    FeedService(StorePort &store, std::string box, FeedPreference preference);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /**
     * Counts the bytes of store responses as `store_bytes`, by feed and kind of read, and reads
     * at offsets that the store does not hold as `store_reads_refused`, by feed.
     */
    void countInto(Metrics &metrics) { mMetrics = &metrics; }
    /** Calls @p listener for every change of @p feed; must be called before start(). */
    void listen(Feed feed, Listener listener);
    /** Calls @p listener when @p feed was read for the first time after the store's return. */
    void listenRestored(Feed feed, RestoreListener listener)
    {
        state(feed).restoreListeners.push_back(std::move(listener));
    }
    /** Sets which records of @p feed stay valid when the store returns from a copy. */
    void setEraRules(Feed feed, EraRules rules) { state(feed).table.setEraRules(std::move(rules)); }
    /** Neither announces nor relays records of @p feed that are equivalent to the known one. */
    void skipUnchanged(Feed feed, EquivalencePredicate isEquivalent)
    {
        state(feed).isEquivalent = std::move(isEquivalent);
    }
    /**
     * Sets the minimum delay between two reads of replicas' records. A draining replica may
     * get requests until the next read.
     */
    void setReplicasReadDelay(Milliseconds delay) { mReplicasReadDelay = delay; }
    /** Sets the longest time that a read of operators' records waits for a new record. */
    void setOperatorsPollTimeout(Milliseconds timeout);
    /** Sets the processes that can be followed instead of reading the store. */
    void setPeers(PeerAddresses peers) { mPeers = std::move(peers); }

    /** Sets who reads the store; without it, every process does. */
    void setReaders(Readers readers) { mReaders = std::move(readers); }

    /** Time since the feed was last known to be complete; nothing if it never was. */
    std::optional<Microseconds> age(Feed feed) const;
    FeedEvidence evidence(Feed feed) const;
    /** Whether a read of the store failed within the last seconds. */
    bool hasStoreFailed() const;
    /**
     * Whether the store returned from a copy so recently that records which were written before
     * may not have been written again.
     */
    bool mayLackRecords(Feed feed) const;
    bool isStoreReached(Feed feed) const { return state(feed).isStoreReached; }
    /**
     * Whether this process started so recently that the planned readers count more than the
     * member states received so far.
     */
    bool isInStartup() const { return now() < mStartupDeadline; }
    /** Whether a feed has yet to be read after the store's return from a copy. */
    bool isRestoring() const;
    const FeedTable &table(Feed feed) const { return state(feed).table; }

private:
    struct CompressedValue
    {
        LogPosition position; ///< of the record that was compressed
        std::string bytes;
    };

    /** Period in which a feed that is not synced is read by the planned readers first. */
    struct ReadingOrder
    {
        Instant begunAt;
        Milliseconds readerTimeout{0}; ///< time that each preceding reader is given
        Milliseconds timeout{0};
    };

    struct FeedState
    {
        FeedTable table;
        std::vector<Listener> listeners;
        std::vector<RestoreListener> restoreListeners;
        EquivalencePredicate isEquivalent;
        std::map<std::string, Instant> learnedAt;
        std::map<std::string, RecordOrigin> origins; ///< of the newest record, by key
        /** Compressed long values by key, shared by all followers. */
        std::map<std::string, CompressedValue> compressed;
        std::optional<Instant> completeAt;
        std::string completeFrom; ///< source of completeAt
        Instant storeFailedAt;
        bool hasStoreFailed = false;
        bool isStoreReached = false;
        bool isSynced = false; ///< the table holds all records before its next offset
        LogPosition removalsKnownFrom; ///< removals at or after this position are in the table
        ReadingOrder readingOrder;
        std::optional<Instant> restoredAt; ///< when the store's last return was noticed
        bool isPolling = false; ///< a read of the store's log is under way
        bool isRefused = false; ///< the last read was refused; nothing was read since
        bool isFirstSync = true; ///< the table has not been complete since this process started
        bool isRelayDoubtful = false; ///< the followed process reports a recent store failure
        bool isLogShortened = false; ///< at the last full read, the log ended before the table
        bool hasReturnedEarly = false; ///< the last store read ended before its timeout
        std::uint64_t changeCount = 0;
    };

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

    FeedState &state(Feed feed) { return mFeeds[static_cast<std::size_t>(feed)]; }
    const FeedState &state(Feed feed) const { return mFeeds[static_cast<std::size_t>(feed)]; }

    awaitable<void> follow(Feed feed);
    awaitable<void> startUp(Feed feed);
    awaitable<void> startUpFromPeers(Feed feed);
    awaitable<void> waitForMembers(Feed feed);
    awaitable<void> delayStartup(Feed feed);
    awaitable<bool> followEarlierReaders(Feed feed);
    Instant readingDeadline(Feed feed) const;
    bool isStartingUp(Feed feed) const;
    bool isAwaitingData(Feed feed) const;
    awaitable<bool> readStore(Feed feed);
    awaitable<bool> readOnward(Feed feed, Milliseconds wait);
    awaitable<void> handleFailedRead(Feed feed, StoreError error);
    void applyBatch(Feed feed, const FeedBatch &batch, Instant asked, Milliseconds wait);
    awaitable<bool> sync(Feed feed);
    void applyFullRead(Feed feed, const FeedBatch &batch);
    bool isOutdated(Feed feed) const;
    void cancelOutdatedReads();
    void beginRestore(Feed feed);
    void finishRestore(Feed feed);
    void announceRemovals(Feed feed, const std::set<std::string_view> &present, LogPosition end,
                          Microseconds age);
    awaitable<bool> readPeer(Feed feed);
    awaitable<bool> followPeer(Feed feed, Tcp::endpoint address, Milliseconds maxDuration);
    awaitable<bool> followReader(Feed feed);
    bool isFollower(Feed feed) const;
    bool isStoreDoubtful(Feed feed) const;
    static void setRelayedValue(FeedState &state, const FeedRecord &record,
                                wire::RelayedRecord &relayed);
    bool isOfEarlierEra(Feed feed, const wire::FollowUpdate &update) const;
    bool applyUpdate(Feed feed, const wire::FollowUpdate &update, PendingQueries &queries,
                     const Tcp::endpoint &from);
    bool applyRecords(Feed feed, const wire::FollowUpdate &update, Microseconds elapsed,
                      const Tcp::endpoint &from);
    void applyFullUpdate(Feed feed, const wire::FollowUpdate &update, Microseconds age);
    std::optional<FeedRecord> readRelayed(Feed feed, const wire::RelayedRecord &relayed) const;
    LogPosition knownBefore(Feed feed) const;
    void updateCompleteAt(Feed feed, Instant at, std::string_view from);
    wire::FollowUpdate newRecords(Follower &follower, bool isFullUpdate);
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
    void updateStoreState(Feed feed, bool isReached, std::string_view reason);
    void noteLogEnd(Feed feed, std::uint64_t end);
    void countRead(Feed feed, std::string_view kind, std::uint64_t bytes);
    void countRefusedRead(Feed feed);
    static bool applyToTable(FeedState &state, const FeedRecord &record);
    void applyRead(Feed feed, const FeedRecord &record, Microseconds age);
    void apply(Feed feed, const FeedRecord &record, Microseconds age, RecordOrigin origin = {},
               bool isRevived = false);
    void applyRelayed(Feed feed, const FeedRecord &record, Microseconds age, RecordOrigin origin,
                      bool isCopy);
    void notifyListeners(Feed feed, const FeedRecord &record, Microseconds age,
                         bool isRevived = false);
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
    Metrics *mMetrics = nullptr; ///< null if nothing is counted
    PeerAddresses mPeers;
    Readers mReaders;
    std::array<FeedState, sFeedCount> mFeeds;
    std::unique_ptr<Signal> mChanged; ///< a feed changed, or a store read failed
    std::set<FollowerPtr> mFollowers;
    Milliseconds mReplicasReadDelay{200};
    Milliseconds mOperatorsPollTimeout{2'000};
    std::uint64_t mPeerIndex = 0;
    Instant mStartupDeadline; ///< until then, waits for other processes to read first
    bool mStopped = false;
};

} // namespace Loom
