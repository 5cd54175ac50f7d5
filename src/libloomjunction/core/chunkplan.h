/*
 * chunkplan.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "pulltimes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

struct FromOrigin
{
};
struct FromPeer
{
    std::string box;
};
using ChunkSource = std::variant<FromOrigin, FromPeer>;

/** A request to send for one chunk. */
struct ChunkFetch
{
    std::uint32_t index = 0;
    ChunkSource source;
    std::uint32_t originRank = 0; ///< position in the takeover order; zero for the chunk's owner
};

/** Why a chunk request failed. */
enum class ChunkFailure : std::uint8_t
{
    Busy,
    Missing,
    Corrupt,
    Gone,
    TimedOut
};
std::string_view chunkFailureName(ChunkFailure failure);

/** A snapshot of a plan's progress for log lines. */
struct ChunkProgress
{
    std::uint32_t storedCount = 0;
    std::uint32_t requestedCount = 0;
    std::uint32_t availableCount = 0; ///< missing here, held by at least one neighbour
    std::uint32_t unavailableCount = 0; ///< missing here, not known to be held by any neighbour
    std::uint32_t firstUnavailable = 0; ///< index of the first unavailable chunk
    std::string firstUnavailableOwner; ///< the member responsible for pulling that chunk
    std::uint32_t openOriginRequests = 0;
    std::uint32_t openPeerRequests = 0;
    Microseconds sinceLastChunk{0}; ///< time since the last chunk was received
};

/** An agent that fetches or holds the same version. */
struct SwarmMember
{
    std::string box;
    std::string dataCentre;
};

/** How chunks are distributed. Swarm is for production, the others are for comparison. */
enum class FetchPolicy : std::uint8_t
{
    Swarm,
    OriginOnly, ///< every member pulls every chunk from the origin
    Chain, ///< each member pulls from its predecessor, the first one from the origin
};

/**
 * Decides which chunks an agent requests from which source, without a leader.
 * Rendezvous hashing assigns each chunk to owners, which pull it from the origin.
 * All other members wait until a neighbour has the chunk; they request the rarest
 * chunks first and prefer neighbours in their own data centre. Each fetch of a
 * version has its own plan.
 */
class ChunkPlan
{
public:
    struct Options
    {
        FetchPolicy policy = FetchPolicy::Swarm;
        std::uint32_t originCopies = 1; ///< number of members that pull each chunk from the origin
        std::uint32_t maxOriginRequests = 2; ///< concurrent requests to the origin
        std::uint32_t maxPeerRequests = 6; ///< concurrent requests to all neighbours together
        std::uint32_t maxRequestsPerPeer = 2; ///< concurrent requests to one neighbour
        std::uint32_t neighbourCount = 8;
        /** One member of each data centre imports a chunk; the other members there wait for it. */
        bool hasSingleImport = false;
        Milliseconds maxTakeoverDelay{4'000}; ///< upper bound for takeoverDelay()
        /** Interval between the owners' pulls: the time that the origin needs for a chunk. */
        Microseconds originPullInterval{0};
        /** When the first pull is due; may be earlier than the start of the plan. */
        Instant originPullStart;
        std::uint64_t seed = 1;
    };

    ChunkPlan(std::string_view manifestDigest, std::uint32_t chunkCount, SwarmMember self,
              Options options, Instant now);

    /** Sets the live members, with or without this one. */
    void setMembers(std::span<const SwarmMember> members);

    /** The members whose chunk announcements this agent should subscribe to. */
    std::vector<std::string> neighbours() const;
    bool isNeighbour(std::string_view box) const { return mPeers.contains(box); }

    /** Neighbour @p box has announced chunk @p index. */
    void addPeerChunk(std::string_view box, std::uint32_t index, Instant now);
    /** Neighbour @p box has announced that it began to pull chunk @p index from the origin. */
    void addPeerPull(std::string_view box, std::uint32_t index, Instant now);
    /** Neighbour @p box is connected, and will announce its chunks, and its pulls or not. */
    void setPeerConnected(std::string_view box, bool announcesPulls);
    /**
     * The connection to neighbour @p box ended or cannot be made; its chunks no longer count
     * as available.
     */
    void setPeerLost(std::string_view box, Instant now);

    /** Changes the limit of concurrent requests to neighbours, e.g. lowers it on a slow link. */
    void setMaxPeerRequests(std::uint32_t count) { mOptions.maxPeerRequests = count; }
    /** Returns the requests to send now; each must be followed by received() or failed(). */
    std::vector<ChunkFetch> next(Instant now);

    /**
     * Chunk @p index was stored without a request of this plan, for example by an earlier
     * process of this agent. Such chunks need no turn at the origin.
     */
    void addStored(std::uint32_t index);
    /** Chunk @p index was received and verified. */
    void received(std::uint32_t index, const ChunkSource &source, Instant now);
    /** The request for chunk @p index to @p source failed. */
    void failed(std::uint32_t index, const ChunkSource &source, ChunkFailure why, Instant now);

    ChunkProgress progress(Instant now) const;
    bool has(std::uint32_t index) const { return mChunks[index].state == State::Have; }
    std::uint32_t storedCount() const { return mStoredCount; }
    std::uint32_t chunkCount() const { return static_cast<std::uint32_t>(mChunks.size()); }
    bool isComplete() const { return mStoredCount == mChunks.size(); }
    /** Digest of the manifest whose chunks this plan fetches. */
    const std::string &manifestDigest() const { return mDigest; }

private:
    enum class State : std::uint8_t
    {
        Missing,
        Requested,
        Have
    };

    struct Chunk
    {
        State state = State::Missing;
        std::uint32_t index = 0;
        std::uint32_t ownerIndex = 0; ///< index of the owner in mMembers
        std::uint32_t originRank = 0; ///< own position in the takeover order; the owner has 0
        /** Members with better origin ranks, the owner first; empty unless a standby. */
        std::vector<std::string> precedingBoxes;
        std::uint32_t importRank = 0; ///< own position in the import order of the own data centre
        std::uint32_t holderCount = 0; ///< number of neighbours known to have the chunk
        std::uint32_t tieBreak = 0;
        Instant originRetryAt;
        Instant pullStartedAt; ///< start of the latest own pull from the origin
        std::uint32_t consecutiveOriginFailures = 0;
        bool isRequestedFromOrigin = false;
        std::uint32_t turn = 0; ///< number of chunks with lower indexes that are not adopted
        bool isAdopted = false; ///< stored without a request of this plan
        bool wasAvailable = false; ///< received from the origin, or announced by a neighbour
        Instant availableSince; ///< when the chunk last became available at the neighbours
    };

    struct Peer
    {
        bool isSameDataCentre = false;
        std::vector<bool> has;
        std::uint32_t open = 0;
        Instant avoidedUntil;
        std::optional<Instant> lostAt; ///< when its connection ended; empty: it did not
        bool announcesPulls = true;
        bool hasBegun = false; ///< it announced a chunk or a pull
        std::map<std::uint32_t, Instant> openPulls; ///< announced pulls, by chunk index
    };

    void rankChunks();
    void chooseNeighbours();
    void clearPeerChunks(Peer &peer);
    std::vector<std::string> precedingBoxes(std::string_view key, std::uint32_t rank,
                                            std::span<const std::string> boxes,
                                            std::size_t ownerIndex) const;
    std::vector<std::string> swarmNeighbours() const;
    std::vector<std::string> chainNeighbours() const;
    bool isInOwnDataCentre(std::string_view box) const;
    void planOriginRequests(std::vector<ChunkFetch> &requests, Instant now);
    void planPeerRequests(std::vector<ChunkFetch> &requests, Instant now);
    Microseconds takeoverDelay() const;
    Instant firstOriginPullAt() const;
    Instant originPullAt(const Chunk &chunk) const;
    Instant nextOriginRetryAt(const Chunk &chunk, ChunkFailure why, Instant now) const;
    Instant nextOriginRoundAt(const Chunk &chunk, Instant now) const;
    Microseconds originRoundDuration() const;
    bool mayRetryReturnedOrigin(const Chunk &chunk, Instant now) const;
    void setStored(std::uint32_t index);
    void noteAvailable(Chunk &chunk, Instant now);
    std::optional<Instant> standbyPullAt(const Chunk &chunk) const;
    Instant expectedPullEnd(const Peer &peer, const Chunk &chunk, Instant dueAt) const;
    Instant pullDeadline(Instant startedAt) const;
    bool hasOtherOpenPulls() const;
    bool isOverdueAtOrigin(const Chunk &chunk, std::uint32_t turn, Instant now) const;
    std::optional<Instant> ownerSilentSince(const Chunk &chunk) const;
    bool areActiveSharesAvailable() const;
    bool isStraggler(const Chunk &chunk, Instant now) const;
    void updateOwnShare(Instant now);
    bool mayImport(const Chunk &chunk, Instant now) const;
    bool mayPullFromOrigin(const Chunk &chunk, Instant now) const;
    std::optional<std::string> bestHolder(std::uint32_t index, Instant now) const;
    void closeRequest(const ChunkSource &source);

    std::string mDigest;
    SwarmMember mSelf;
    Options mOptions;
    std::vector<Chunk> mChunks;
    std::vector<SwarmMember> mMembers;
    std::map<std::string, Peer, std::less<>> mPeers;
    std::vector<std::uint32_t> mAvailableByOwner; ///< number of available chunks by owner index
    std::uint32_t mStoredCount = 0;
    std::uint32_t mAdoptedCount = 0; ///< number of chunks with isAdopted set
    std::uint32_t mOpenOriginRequests = 0;
    std::uint32_t mOpenPeerRequests = 0;
    Instant mLastReceivedAt; ///< when the last chunk was received
    Instant mStartedAt;
    Instant mLastAvailableAt; ///< when the origin or a neighbour last provided a new chunk
    std::uint32_t mAvailableCount = 0; ///< number of chunks with wasAvailable set
    bool mIsOriginUnavailable = false; ///< judged by the own pulls only
    Instant mReturnRoundEndsAt; ///< when every owner has retried the returned origin
    std::optional<Instant> mOwnShareStoredAt; ///< when all chunks owned by this member were stored
    /** When most chunks of the active owners were available. */
    std::optional<Instant> mActiveSharesAvailableAt;
    std::optional<Instant> mMostAvailableAt; ///< when most of all chunks were available
    double mMeanIntervalMicroseconds = 0; ///< smoothed interval between received chunks
    PullTimes mPullTimes;
    std::mt19937_64 mRandom;
};

} // namespace Loom
