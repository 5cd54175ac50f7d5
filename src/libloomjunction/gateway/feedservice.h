/*
 * feedservice.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "kernel.h"
#include "peerstream.h"
#include "ports.h"
#include "recordbook.h"

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Loom {

class PeerHub;

/** From where a process learns records first; the other way is used when it fails. */
enum class FeedPreference : std::uint8_t
{
    Store,
    Peers,
};

/** A record that changed, as listeners get it. */
struct FeedChange
{
    const FeedRecord &record;
    Microseconds age; ///< since somebody whom we heard it from learned of it
    bool isTrusted; ///< the store was well for a while when it said so
};

/**
 * Follows the feeds of the platform's store and passes them on to processes
 * that cannot reach it. Each feed is a RecordBook, so what was learned in one
 * way is never undone by the other.
 */
class FeedService final : public Service
{
public:
    static constexpr std::string_view sName = "feeds";
    using Listener = std::function<void(const FeedChange &change)>;
    using PeerAddresses = std::function<std::vector<Tcp::endpoint>()>;

    FeedService(StorePort &store, std::string box, FeedPreference preference);

    std::string_view name() const override { return sName; }
    tl::expected<void, std::string> start(Kernel &kernel) override;
    void stop() override { mStopped = true; }

    /** Calls @p listener for every change of @p feed; add before start. */
    void listen(Feed feed, Listener listener);
    /** Entries that may be asked for records. */
    void setPeers(PeerAddresses peers) { mPeers = std::move(peers); }

    /** How long ago the feed was last known to be complete; nothing: never. */
    std::optional<Microseconds> age(Feed feed) const;
    bool isStoreReached(Feed feed) const { return state(feed).isStoreReached; }
    const RecordBook &book(Feed feed) const { return state(feed).book; }

private:
    struct FeedState
    {
        RecordBook book;
        std::vector<Listener> listeners;
        std::map<std::string, Instant> learnedAt;
        std::optional<Instant> completeAt;
        Instant storeFailedAt;
        bool hasStoreFailed = false;
        bool isStoreReached = false;
        bool isSynced = false; ///< the book holds all that the store kept once
        bool isFirst = true; ///< no full read of the store yet in this life
        std::uint64_t changes = 0;
    };

    FeedState &state(Feed feed) { return mFeeds[static_cast<std::size_t>(feed)]; }
    const FeedState &state(Feed feed) const { return mFeeds[static_cast<std::size_t>(feed)]; }

    awaitable<void> follow(Feed feed);
    awaitable<bool> readStore(Feed feed);
    awaitable<bool> sync(Feed feed);
    awaitable<bool> readPeer(Feed feed);
    void noteStore(Feed feed, bool reached, std::string_view why);
    void apply(Feed feed, const FeedRecord &record, Microseconds age);
    void announce(Feed feed, const FeedRecord &record, Microseconds age);
    awaitable<void> serveFollower(PeerStreamPtr stream);
    Milliseconds waitOf(Feed feed) const;

    StorePort &mStore;
    std::string mBox;
    FeedPreference mPreference;
    PeerHub *mHub = nullptr;
    PeerAddresses mPeers;
    std::array<FeedState, sFeedCount> mFeeds;
    std::unique_ptr<Signal> mChanged;
    std::uint64_t mTurn = 0;
    bool mStopped = false;
};

} // namespace Loom
