/*
 * chunkplan.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

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

/** One chunk to ask for now. */
struct ChunkFetch
{
    std::uint32_t index = 0;
    ChunkSource source;
};

/** Why a chunk did not come. */
enum class ChunkFailure : std::uint8_t
{
    Busy,
    Missing,
    Corrupt,
    Gone,
    TimedOut
};
std::string_view chunkFailureName(ChunkFailure failure);

/** How far a plan is, for logs. */
struct ChunkProgress
{
    std::uint32_t storedCount = 0;
    std::uint32_t requestedCount = 0;
    std::uint32_t availableCount = 0; ///< missing here, some neighbour has it
    std::uint32_t unavailableCount = 0; ///< missing here, no neighbour is known to have it
    std::uint32_t firstUnavailable = 0; ///< the first of those, if there is one
    std::string firstUnavailableOwner; ///< the member that pulls that one from the origin
    std::uint32_t openOriginRequests = 0;
    std::uint32_t openPeerRequests = 0;
    Microseconds sinceLastChunk{0}; ///< since a chunk came
};

/** Another agent that fetches or holds the same version. */
struct SwarmMember
{
    std::string box;
    std::string dataCentre;
};

/** How chunks spread. Swarm is what runs; the others are there to be compared with. */
enum class FetchPolicy : std::uint8_t
{
    Swarm,
    OriginOnly, ///< everybody pulls everything from the origin
    Chain, ///< each member pulls from the one before it, the first from the origin
};

/**
 * Decides which chunk one agent asks whom for, without a leader: every chunk
 * has responsible members by rendezvous, who pull it from the origin; all
 * others wait for a neighbour to have it, rarest first, own data centre
 * first. Owned by the agent's weights service, one for each fetch.
 */
class ChunkPlan
{
public:
    struct Options
    {
        FetchPolicy policy = FetchPolicy::Swarm;
        std::uint32_t originCopies = 1; ///< members that pull a chunk from the origin
        std::uint32_t maxOriginRequests = 2; ///< requests open to the origin
        std::uint32_t maxPeerRequests = 6; ///< requests open to all neighbours
        std::uint32_t maxRequestsPerPeer = 2; ///< requests open to one neighbour
        std::uint32_t neighbourCount = 8;
        /** Each chunk enters a data centre once; the others there wait for it. */
        bool hasSingleImport = false;
        Milliseconds maxTakeoverDelay{4'000}; ///< longest wait before the next member steps in
        /** The origin's time for one chunk; owners begin their pulls one after the other. */
        Microseconds originPullInterval{0};
        /** When the first of them begins; earlier than the plan: as soon as it does. */
        Instant originPullStart;
        std::uint64_t seed = 1;
    };

    ChunkPlan(std::string_view manifestDigest, std::uint32_t chunkCount, SwarmMember self,
              Options options, Instant now);

    /** The live members, this one among them or not. */
    void setMembers(std::span<const SwarmMember> members);

    /** The members whose chunks this agent should follow. */
    std::vector<std::string> neighbours() const;
    bool isNeighbour(std::string_view box) const { return mPeers.contains(box); }

    void addPeerChunk(std::string_view box, std::uint32_t index, Instant now);
    void clearPeerChunks(std::string_view box);

    /** Requests open to neighbours at most from now on, e.g. fewer on a slow link. */
    void setMaxPeerRequests(std::uint32_t count) { mOptions.maxPeerRequests = count; }
    /** Requests to send now; each must be answered by received() or failed(). */
    std::vector<ChunkFetch> next(Instant now);

    /** Chunk @p index was here before the plan began. */
    void addStored(std::uint32_t index);
    /** Chunk @p index came whole and verified. */
    void received(std::uint32_t index, const ChunkSource &source, Instant now);
    void failed(std::uint32_t index, const ChunkSource &source, ChunkFailure why, Instant now);

    ChunkProgress progress(Instant now) const;
    bool has(std::uint32_t index) const { return mChunks[index].state == State::Have; }
    std::uint32_t storedCount() const { return mStoredCount; }
    std::uint32_t chunkCount() const { return static_cast<std::uint32_t>(mChunks.size()); }
    bool isComplete() const { return mStoredCount == mChunks.size(); }
    /** The manifest's digest that this plan fetches. */
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
        std::uint32_t index = 0; ///< its index
        std::uint32_t ownerIndex = 0; ///< the member that pulls it from the origin, by index
        std::uint32_t originRank = 0; ///< our place among those who step in; zero: the owner
        std::uint32_t importRank = 0; ///< our place among the members of our data centre
        std::uint32_t holderCount = 0; ///< neighbours known to have it
        std::uint32_t tieBreak = 0;
        Instant originRetryAt;
        std::uint32_t consecutiveOriginFailures = 0; ///< in a row
        bool isRequestedFromOrigin = false;
        bool wasAvailable = false;
        Instant availableSince; ///< when a neighbour was first known to have it
    };

    struct Peer
    {
        bool isSameDataCentre = false;
        std::vector<bool> has;
        std::uint32_t open = 0;
        Instant avoidedUntil;
    };

    void rankChunks();
    void chooseNeighbours();
    std::vector<std::string> swarmNeighbours() const;
    std::vector<std::string> chainNeighbours() const;
    bool isInOwnDataCentre(std::string_view box) const;
    void planOriginRequests(std::vector<ChunkFetch> &out, Instant now);
    void planPeerRequests(std::vector<ChunkFetch> &out, Instant now);
    Microseconds takeoverDelay() const;
    Instant firstOriginPullAt() const;
    Instant originPullAt(const Chunk &chunk) const;
    Instant nextOriginRetryAt(const Chunk &chunk, ChunkFailure why, Instant now) const;
    Instant nextOriginRoundAt(const Chunk &chunk, Instant now) const;
    Microseconds originRoundDuration() const;
    bool mayRetryReturnedOrigin(const Chunk &chunk, Instant now) const;
    void noteAvailable(Chunk &chunk, Instant now);
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
    std::vector<std::uint32_t> mAvailableByOwner; ///< chunks that turned up, by their owner's index
    std::uint32_t mStoredCount = 0;
    std::uint32_t mOpenOriginRequests = 0;
    std::uint32_t mOpenPeerRequests = 0;
    Instant mLastReceivedAt; ///< when a chunk came
    Instant mStartedAt;
    Instant mLastAvailableAt; ///< when one came or was first held by a neighbour
    std::uint32_t mAvailableCount = 0; ///< chunks that came, or that a neighbour ever held
    bool mIsOriginUnavailable = false; ///< as far as our own pulls tell
    Instant mReturnRoundEndsAt; ///< when all owners have asked an origin that came back
    std::optional<Instant> mOwnShareStoredAt; ///< when all chunks that are ours had come
    std::optional<Instant>
        mActiveSharesAvailableAt; ///< when most of the active owners' chunks had turned up
    std::optional<Instant> mMostAvailableAt; ///< when that was most of them
    double mMeanIntervalMicroseconds = 0; ///< smoothed, between chunks that came
    std::mt19937_64 mRandom;
};

} // namespace Loom
