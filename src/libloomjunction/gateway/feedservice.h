/*
 * feedservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "feedfollower.h"
#include "feedrelay.h"
#include "feedstate.h"
#include "kernel.h"
#include "storereader.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Loom {

class Metrics;
class PeerHub;

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
    /** Processes to follow as well while the records from the readers are too old, in order. */
    std::vector<Tcp::endpoint> alternates;
    /** Number of processes that read the store before this one in that case. */
    std::size_t takeoverRank = 0;
};

/**
 * Keeps the feeds of the platform's store up to date: decides for each feed whether this process
 * reads the store, which other processes it follows, or both. It has several sources at once while
 * its records are older than the planned source should let them become, so that none that does not
 * respond delays another.
 */
class FeedService final : public Service
{
public:
    static constexpr std::string_view sName = "feeds";
    using Listener = FeedState::Listener;
    using RestoreListener = FeedState::RestoreListener;
    using PeerAddresses = std::function<std::vector<Tcp::endpoint>()>;
    using Readers = std::function<FeedReaders()>;
    using EquivalencePredicate = FeedState::EquivalencePredicate;

    FeedService(StorePort &store, std::string box, FeedPreference preference);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override;

    /**
     * Counts the bytes of store responses as `store_bytes`, by feed and kind of read, and reads
     * at offsets that the store does not hold as `store_reads_refused`, by feed.
     */
    void countInto(Metrics &metrics);
    /** Calls @p listener for every change of @p feed; must be called before start(). */
    void listen(Feed feed, Listener listener) { state(feed).listen(std::move(listener)); }
    /** Calls @p listener when @p feed was read for the first time after the store's return. */
    void listenRestored(Feed feed, RestoreListener listener)
    {
        state(feed).listenRestored(std::move(listener));
    }
    /** Sets which records of @p feed stay valid when the store returns from a copy. */
    void setEraRules(Feed feed, EraRules rules) { state(feed).setEraRules(std::move(rules)); }
    /** Neither announces nor relays records of @p feed that are equivalent to the known one. */
    void skipUnchanged(Feed feed, EquivalencePredicate isEquivalent)
    {
        state(feed).setEquivalence(std::move(isEquivalent));
    }
    /**
     * Sets the minimum delay between two reads of replicas' records. A draining replica may
     * get requests until the next read.
     */
    void setReplicasReadDelay(Milliseconds delay) { mReplicasReadDelay = delay; }
    /** Sets the time within which operators' records must have come from the store. */
    void setMaxOperatorsAge(Milliseconds age) { mMaxOperatorsAge = age; }
    /** Sets the processes that can be followed instead of reading the store. */
    void setPeers(PeerAddresses peers) { mPeers = std::move(peers); }

    /** Sets who reads the store; without it, every process does. */
    void setReaders(Readers readers) { mReaders = std::move(readers); }

    /** Time since the feed was last known to be complete; nothing if it never was. */
    std::optional<Microseconds> age(Feed feed) const { return state(feed).age(); }
    /** When the store accepted the newest record of @p key. */
    EventTime acceptedAt(Feed feed, const std::string &key) const
    {
        return state(feed).acceptedAt(key);
    }
    FeedEvidence evidence(Feed feed) const { return state(feed).evidence(); }
    /** Whether a read of the store failed within the last seconds, or the last one did. */
    bool hasStoreFailed() const;
    /**
     * Whether the store returned from a copy so recently that records which were written before
     * may not have been written again.
     */
    bool mayLackRecords(Feed feed) const;
    bool isStoreReached(Feed feed) const { return state(feed).isStoreReached(); }
    /**
     * Whether this process started so recently that the planned readers count more than the
     * member states received so far.
     */
    bool isInStartup() const;
    /** Whether a feed has yet to be read after the store's return from a copy. */
    bool isRestoring() const;
    const FeedTable &table(Feed feed) const { return state(feed).table(); }

private:
    using Condition = std::function<bool()>;

    /** Period in which a feed that is not synced is read by the planned readers first. */
    struct ReadingOrder
    {
        Instant begunAt;
        Milliseconds readerTimeout{0}; ///< time that each preceding reader is given
        Milliseconds timeout{0};
    };

    /** One feed and its sources. */
    struct Sources
    {
        explicit Sources(Feed feed)
            : state(feed)
        {
        }

        FeedState state;
        std::unique_ptr<StoreReader> reader;
        std::unique_ptr<FeedFollower> follower;
        ReadingOrder readingOrder;
        bool hasStarted = false; ///< the period of readingOrder is over
        bool isReading = false;
        bool isFollowing = false; ///< one of the planned readers
        std::optional<Instant> takeoverUntil; ///< this process reads in place of the readers
        std::map<Tcp::endpoint, Instant> alternates; ///< when each may be followed again
    };

    Sources &sources(Feed feed) { return mSources[static_cast<std::size_t>(feed)]; }
    const Sources &sources(Feed feed) const { return mSources[static_cast<std::size_t>(feed)]; }
    FeedState &state(Feed feed) { return sources(feed).state; }
    const FeedState &state(Feed feed) const { return sources(feed).state; }

    awaitable<void> supervise();
    void supervise(Feed feed);
    awaitable<void> runReading(Feed feed);
    awaitable<void> runFollowing(Feed feed);
    awaitable<void> runPeerPreference(Feed feed);
    void openAlternates(Feed feed);
    awaitable<void> followAlternate(Feed feed, Tcp::endpoint address);
    bool mayRead(Feed feed);
    bool hasTakenOver(Feed feed, std::size_t rank);
    bool isFollower(Feed feed) const;
    /** How much older than its sources should let it become the feed is; negative: it isn't. */
    Microseconds excessAge(Feed feed) const;

    awaitable<void> startUp(Feed feed);
    awaitable<void> startUpInOrder(Feed feed);
    awaitable<void> startUpFromPeers(Feed feed);
    awaitable<void> waitForMembers(Feed feed);
    awaitable<void> delayStartup(Feed feed);
    awaitable<bool> followEarlierReaders(Feed feed);
    Instant readingDeadline(Feed feed) const;
    bool isStartingUp(Feed feed) const;
    awaitable<bool> readPeer(Feed feed);
    awaitable<bool> follow(Feed feed, Tcp::endpoint address, Milliseconds maxDuration,
                           Condition isNeeded);

    void noteChange(Feed feed);
    Milliseconds pollTimeout(Feed feed, bool isRelayed) const;
    Milliseconds nextPollTimeout(Feed feed) const;
    Milliseconds queryInterval(Feed feed) const;
    Milliseconds maxSourceAge(Feed feed) const;
    Milliseconds readDelay(Feed feed) const;
    awaitable<void> waitAfterFailure(Feed feed);
    /** Whether no other process waits for this one to read @p feed. */
    bool isOnlyProbing(Feed feed) const;

    StorePort &mStore;
    std::string mBox;
    FeedPreference mPreference;
    PeerAddresses mPeers;
    Readers mReaders;
    Metrics *mMetrics = nullptr; ///< null if nothing is counted
    std::array<Sources, sFeedCount> mSources{Sources(Feed::Operators), Sources(Feed::Replicas),
                                             Sources(Feed::Members)};
    FeedRelay mRelay;
    std::unique_ptr<Signal> mChanged; ///< a feed changed, or a call to the store failed
    Milliseconds mReplicasReadDelay{200};
    Milliseconds mMaxOperatorsAge{4'000};
    std::uint64_t mPeerIndex = 0;
    Instant mStartupDeadline; ///< until then, waits for other processes to read first
    bool mStopped = false;
};

} // namespace Loom
