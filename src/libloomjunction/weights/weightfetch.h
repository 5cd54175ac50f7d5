/*
 * weightfetch.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "chunkplan.h"
#include "chunkstore.h"
#include "peerconnection.h"
#include "tokenbucket.h"
#include "versionswitch.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace Loom {

/** Totals over all fetches of an agent. */
struct FetchCounts
{
    std::uint64_t originBytes = 0;
    std::uint64_t peerBytes = 0;
    std::uint64_t corruptChunks = 0;
};

/**
 * Fetches one version by sending the requests that a ChunkPlan decides on. The fetch
 * ends once it is complete or cancelled. Owned by the weights service.
 */
class WeightFetch : public std::enable_shared_from_this<WeightFetch>
{
public:
    struct Parts
    {
        SwarmMember self;
        /** Opens a stream to another agent; returns null if it is unreachable. */
        std::function<awaitable<PeerStreamPtr>(std::string box, std::string path)> open;
        /** Fetches the manifest's text from the origin; returns an empty string on failure. */
        std::function<awaitable<std::string>()> originManifest;
        /** Fetches a chunk from the origin without verifying it. */
        std::function<awaitable<tl::expected<std::string, ChunkFailure>>(std::uint32_t index)>
            originChunk;
        ChunkStore &store;
        TokenBucket &ingress;
        FetchCounts &counts;
        std::function<std::vector<SwarmMember>()> members;
        std::function<void()> onComplete;
        std::function<void()> onContradiction; ///< see isManifestContradicted(); may be empty
    };

    WeightFetch(VersionTarget target, ChunkPlan::Options options, Parts parts);

    /** Runs until every chunk is stored, or until cancel(). */
    static awaitable<void> run(std::shared_ptr<WeightFetch> self);
    void cancel();

    /**
     * Whether a chunk arrived from the origin twice with the same bytes, which differ from its
     * digest in the manifest. No further chunks are requested until resume().
     */
    bool isManifestContradicted() const { return mIsManifestContradicted; }
    void resume();

    /** Chunk @p index was stored without a request of this fetch. */
    void addStored(std::uint32_t index);

    const VersionTarget &target() const { return mTarget; }
    bool isCancelled() const { return mCancelled; }
    bool isComplete() const { return mPlan && mPlan->isComplete(); }
    /** Recent transfer time of chunks from neighbours, or the age of the oldest open request. */
    double recentChunkSeconds() const;
    std::uint32_t storedCount() const { return mPlan ? mPlan->storedCount() : 0; }
    std::uint32_t chunkCount() const { return mPlan ? mPlan->chunkCount() : 0; }

private:
    awaitable<bool> fetchManifest();
    awaitable<std::string> manifestFromOrigin();
    awaitable<PeerStreamPtr> openPeer(std::string box, std::string_view path);
    awaitable<std::string> manifestFromPeer(std::string box);
    bool acceptManifest(const std::string &text);
    void createPlan(StoredVersion &stored);
    awaitable<void> fetchChunks();
    void notePull(const ChunkFetch &fetch);
    void logStall();
    void logFailure(const ChunkFetch &fetch, ChunkFailure why) const;
    void followNeighbours();
    static awaitable<void> followPeer(std::shared_ptr<WeightFetch> self, std::string box);
    bool isFollowing(std::string_view box) const;
    awaitable<bool> readUpdates(PeerStream &stream, const std::string &box);
    static awaitable<void> fetchChunk(std::shared_ptr<WeightFetch> self, ChunkFetch fetch);
    awaitable<tl::expected<std::string, ChunkFailure>> fetchFromOrigin(std::uint32_t index);
    awaitable<tl::expected<std::string, ChunkFailure>> fetchFromPeer(std::uint32_t index,
                                                                     std::string box);
    std::uint32_t maxPeerRequests() const;
    std::chrono::milliseconds chunkTimeout() const;
    void finishFetch(const ChunkFetch &fetch, tl::expected<std::string, ChunkFailure> data);
    void noteCorrupt(const ChunkFetch &fetch, std::string digest);

    VersionTarget mTarget;
    ChunkPlan::Options mOptions;
    Parts mParts;
    std::unique_ptr<ChunkPlan> mPlan;
    std::set<std::string> mFollowedPeers;
    double mRecentChunkSeconds = 0; ///< smoothed transfer time of the last few chunks
    /** Start times of open requests to neighbours. */
    std::multiset<std::chrono::steady_clock::time_point> mOpenRequestStarts;
    double mMeanChunkSeconds = 0; ///< long-term smoothed transfer time of chunks from neighbours
    Instant mStallLoggedAt;
    bool mCancelled = false;
    bool mIsManifestContradicted = false;
    std::map<std::uint32_t, std::string> mCorruptDigests; ///< last from the origin, by chunk
    Signal mProgressSignal;
};

} // namespace Loom
