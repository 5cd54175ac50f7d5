/*
 * chunkplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "chunkplan.h"

#include "rendezvous.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Loom {

namespace {

// The distribution counts as stalled after this many mean intervals without a chunk.
constexpr double sStallIntervalFactor = 10;
// Fraction of the chunks that must be available before missing ones can be overdue.
constexpr double sMostAvailableFraction = 0.75;
// Fraction of the chunks whose owners must be active before the other owners can
// count as silent.
constexpr double sMinActiveFraction = 0.5;
constexpr double sIntervalWeight = 0.1;
constexpr Microseconds sMinTakeoverDelay{500'000};
// Missing chunks are overdue once the time that most chunks took has passed, plus that
// time divided by this.
constexpr int sLateDivisor = 4;
// An owner counts as silent, and a straggler as stalled, after a delay of the time that
// the other chunks took divided by this.
constexpr int sSilenceDivisor = 8;
// Lower bound of the delay before an owner counts as silent, because a chunk needs some
// time from the origin to the waiting members.
constexpr Microseconds sMinSilence{150'000};
// Fraction of the chunks that must be stored before the rest count as stragglers.
constexpr double sTailFraction = 0.85;
// Members that follow the owner of a chunk and take over its pull, one after the other.
constexpr std::uint32_t sStandbyCount = 2;
// One in this many neighbours may be chosen because this member is a standby for its chunks.
constexpr std::uint32_t sStandbyNeighbourDivisor = 3;
// Within this time a member restores a broken connection to one that still runs.
constexpr Microseconds sReconnectTime{100'000};
// Number of members that request a straggler from the origin, one after the other.
constexpr std::uint32_t sMaxTakeoverMembers = 3;
// Upper bound of the time until other members know of a chunk that a member received.
constexpr Microseconds sMaxAnnounceDelay{250'000};
// Backoff after the first failed pull, which may be a corrupt copy that a second pull
// replaces, and its upper bound after doubling, for an origin that is down.
constexpr Milliseconds sMinOriginBackoff{25};
constexpr Milliseconds sMaxOriginBackoff{400};
// Number of consecutive failures that a single broken connection may explain; after
// more of them the origin counts as unavailable.
constexpr std::uint32_t sMaxTransientOriginFailures = 2;
// Bounds of the duration of a retry round over the chunks still missing from the origin.
// Shorter rounds would flood an unavailable origin with requests, longer ones would
// leave its link idle after its return.
constexpr Microseconds sMinOriginRound{100'000};
constexpr Microseconds sMaxOriginRound{2'000'000};
constexpr Milliseconds sBusyBackoff{20};
constexpr Milliseconds sMissingBackoff{200};
constexpr Milliseconds sGoneBackoff{2'000};
constexpr Milliseconds sCorruptBackoff{30'000};
// One in this many neighbours is chosen from all members, so that the data centres
// stay connected with each other.
constexpr std::uint32_t sAnyDataCentreDivisor = 3;

Milliseconds backoffAfter(ChunkFailure why)
{
    switch (why) {
    case ChunkFailure::Busy:
        return sBusyBackoff;
    case ChunkFailure::Missing:
        return sMissingBackoff;
    case ChunkFailure::Corrupt:
        return sCorruptBackoff;
    case ChunkFailure::Gone:
    case ChunkFailure::TimedOut:
        return sGoneBackoff;
    }
    return sGoneBackoff;
}

// Position of @p self in the takeover order of @p key: the owner comes first, then the
// others by descending rendezvous weight.
std::uint32_t rankOf(std::string_view key, std::span<const std::string> boxes,
                     std::size_t ownerIndex, std::string_view self)
{
    if (boxes[ownerIndex] == self) {
        return 0;
    }
    const std::uint64_t ownWeight = rendezvousWeight(key, self);
    std::uint32_t rank = 1;
    for (std::size_t other = 0; other < boxes.size(); ++other) {
        const bool isBefore
            = other != ownerIndex && rendezvousWeight(key, boxes[other]) > ownWeight;
        rank += isBefore ? 1 : 0;
    }
    return rank;
}

} // namespace

std::string_view chunkFailureName(ChunkFailure failure)
{
    switch (failure) {
    case ChunkFailure::Busy:
        return "busy";
    case ChunkFailure::Missing:
        return "missing";
    case ChunkFailure::Corrupt:
        return "corrupt";
    case ChunkFailure::Gone:
        return "gone";
    case ChunkFailure::TimedOut:
        return "timed out";
    }
    return "unknown";
}

ChunkPlan::ChunkPlan(std::string_view manifestDigest, std::uint32_t chunkCount, SwarmMember self,
                     Options options, Instant now)
    : mDigest(manifestDigest)
    , mSelf(std::move(self))
    , mOptions(options)
    , mChunks(chunkCount)
    , mLastReceivedAt(now)
    , mStartedAt(now)
    , mLastAvailableAt(now)
    , mPullTimes(options.maxTakeoverDelay)
    , mRandom(options.seed)
{
    for (Chunk &chunk : mChunks) {
        chunk.index = static_cast<std::uint32_t>(&chunk - mChunks.data());
        chunk.turn = chunk.index;
        chunk.tieBreak = static_cast<std::uint32_t>(mRandom());
    }
    setMembers({});
}

void ChunkPlan::setMembers(std::span<const SwarmMember> members)
{
    std::vector<SwarmMember> sorted(members.begin(), members.end());
    const auto isSelf = [&](const SwarmMember &member) { return member.box == mSelf.box; };
    if (std::ranges::none_of(sorted, isSelf)) {
        sorted.push_back(mSelf);
    }
    std::ranges::sort(sorted, {}, &SwarmMember::box);
    const auto isSameBox
        = [](const SwarmMember &a, const SwarmMember &b) { return a.box == b.box; };
    if (std::ranges::equal(sorted, mMembers, isSameBox)) {
        return;
    }
    mMembers = std::move(sorted);
    rankChunks();
    chooseNeighbours();
}

void ChunkPlan::rankChunks()
{
    std::vector<std::string> keys;
    keys.reserve(mChunks.size());
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        keys.push_back(mDigest + "#" + std::to_string(index));
    }
    std::vector<std::string> boxes;
    std::vector<std::string> localBoxes;
    for (const SwarmMember &member : mMembers) {
        boxes.push_back(member.box);
        if (member.dataCentre == mSelf.dataCentre) {
            localBoxes.push_back(member.box);
        }
    }
    const std::vector<std::size_t> owners = evenOwners(keys, boxes);
    const std::vector<std::size_t> importers = evenOwners(keys, localBoxes);
    mAvailableByOwner.assign(mMembers.size(), 0);
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        Chunk &chunk = mChunks[index];
        chunk.ownerIndex = static_cast<std::uint32_t>(owners[index]);
        chunk.originRank = rankOf(keys[index], boxes, owners[index], mSelf.box);
        chunk.precedingBoxes = precedingBoxes(keys[index], chunk.originRank, boxes, owners[index]);
        chunk.importRank = rankOf(keys[index], localBoxes, importers[index], mSelf.box);
        mAvailableByOwner[chunk.ownerIndex] += chunk.wasAvailable ? 1 : 0;
    }
}

std::vector<std::string> ChunkPlan::precedingBoxes(std::string_view key, std::uint32_t rank,
                                                   std::span<const std::string> boxes,
                                                   std::size_t ownerIndex) const
{
    std::vector<std::string> preceding;
    if (mOptions.policy != FetchPolicy::Swarm || rank == 0 || rank > sStandbyCount) {
        return preceding;
    }
    preceding.push_back(boxes[ownerIndex]);
    for (const std::size_t index : rendezvousOrder(key, boxes, rank + 1)) {
        if (index != ownerIndex && preceding.size() < rank) {
            preceding.push_back(boxes[index]);
        }
    }
    return preceding;
}

std::vector<std::string> ChunkPlan::swarmNeighbours() const
{
    std::vector<std::string> localBoxes;
    std::vector<std::string> all;
    for (const SwarmMember &member : mMembers) {
        if (member.box == mSelf.box) {
            continue;
        }
        all.push_back(member.box);
        if (member.dataCentre == mSelf.dataCentre) {
            localBoxes.push_back(member.box);
        }
    }
    const std::string key = mSelf.box + "/" + mDigest;
    const std::uint32_t anyDataCentreCount
        = std::max<std::uint32_t>(1, mOptions.neighbourCount / sAnyDataCentreDivisor);
    std::vector<std::string> selected;
    const auto select = [&](const std::string &box) {
        if (std::ranges::find(selected, box) == selected.end()) {
            selected.push_back(box);
        }
    };
    // A standby must learn at once what the members before it do. The announcements of others
    // reach it only after the chunk itself was copied to one of its neighbours.
    const std::size_t maxPreceding = mOptions.neighbourCount / sStandbyNeighbourDivisor;
    for (const Chunk &chunk : mChunks) {
        for (const std::string &box : chunk.precedingBoxes) {
            if (selected.size() < maxPreceding) {
                select(box);
            }
        }
    }
    const std::size_t localCount = mOptions.neighbourCount - anyDataCentreCount;
    for (const std::size_t index : rendezvousOrder(key, localBoxes, localCount)) {
        if (selected.size() < localCount) {
            select(localBoxes[index]);
        }
    }
    for (const std::size_t index : rendezvousOrder(key, all, all.size())) {
        if (selected.size() >= mOptions.neighbourCount) {
            break;
        }
        select(all[index]);
    }
    // Each member also connects to its successor in the sorted list. This ring keeps the
    // whole swarm connected.
    if (!all.empty()) {
        const auto next = std::ranges::upper_bound(all, mSelf.box);
        select(next == all.end() ? all.front() : *next);
    }
    return selected;
}

std::vector<std::string> ChunkPlan::chainNeighbours() const
{
    const auto self = std::ranges::find(mMembers, mSelf.box, &SwarmMember::box);
    if (self == mMembers.begin()) {
        return {};
    }
    return {std::prev(self)->box};
}

bool ChunkPlan::isInOwnDataCentre(std::string_view box) const
{
    const auto it = std::ranges::find(mMembers, box, &SwarmMember::box);
    return it != mMembers.end() && it->dataCentre == mSelf.dataCentre;
}

void ChunkPlan::chooseNeighbours()
{
    std::vector<std::string> selected;
    switch (mOptions.policy) {
    case FetchPolicy::Swarm:
        selected = swarmNeighbours();
        break;
    case FetchPolicy::Chain:
        selected = chainNeighbours();
        break;
    case FetchPolicy::OriginOnly:
        break;
    }
    for (auto it = mPeers.begin(); it != mPeers.end();) {
        const bool isKept = std::ranges::find(selected, it->first) != selected.end();
        if (isKept) {
            ++it;
            continue;
        }
        clearPeerChunks(it->second);
        it = mPeers.erase(it);
    }
    for (const std::string &box : selected) {
        Peer &peer = mPeers[box];
        peer.has.resize(mChunks.size());
        peer.isSameDataCentre = isInOwnDataCentre(box);
    }
}

std::vector<std::string> ChunkPlan::neighbours() const
{
    std::vector<std::string> boxes;
    for (const auto &[box, peer] : mPeers) {
        boxes.push_back(box);
    }
    return boxes;
}

void ChunkPlan::addPeerChunk(std::string_view box, std::uint32_t index, Instant now)
{
    const auto it = mPeers.find(box);
    if (it == mPeers.end() || index >= mChunks.size() || it->second.has[index]) {
        return;
    }
    it->second.has[index] = true;
    it->second.hasBegun = true;
    const auto pull = it->second.openPulls.find(index);
    if (pull != it->second.openPulls.end()) {
        mPullTimes.noteDone(pull->second, now);
        it->second.openPulls.erase(pull);
    }
    Chunk &chunk = mChunks[index];
    if (chunk.holderCount == 0 && chunk.state != State::Have) {
        chunk.availableSince = now;
        noteAvailable(chunk, now);
    }
    ++chunk.holderCount;
}

// Only the first announcement of a pull counts, so that a neighbour that retries forever is not
// waited for forever.
void ChunkPlan::addPeerPull(std::string_view box, std::uint32_t index, Instant now)
{
    const auto it = mPeers.find(box);
    if (it == mPeers.end() || index >= mChunks.size() || it->second.has[index]) {
        return;
    }
    it->second.hasBegun = true;
    const bool isFirst = it->second.openPulls.try_emplace(index, now).second;
    const Chunk &chunk = mChunks[index];
    if (isFirst && mMembers[chunk.ownerIndex].box == box) {
        mPullTimes.noteStart(now - originPullAt(chunk));
    }
}

void ChunkPlan::setPeerConnected(std::string_view box, bool announcesPulls)
{
    const auto it = mPeers.find(box);
    if (it != mPeers.end()) {
        it->second.lostAt.reset();
        it->second.announcesPulls = announcesPulls;
    }
}

void ChunkPlan::setPeerLost(std::string_view box, Instant now)
{
    const auto it = mPeers.find(box);
    if (it == mPeers.end()) {
        return;
    }
    clearPeerChunks(it->second);
    if (!it->second.lostAt) {
        it->second.lostAt = now;
    }
}

void ChunkPlan::clearPeerChunks(Peer &peer)
{
    peer.openPulls.clear();
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        if (peer.has[index]) {
            peer.has[index] = false;
            --mChunks[index].holderCount;
        }
    }
}

std::vector<ChunkFetch> ChunkPlan::next(Instant now)
{
    std::vector<ChunkFetch> requests;
    planPeerRequests(requests, now);
    planOriginRequests(requests, now);
    return requests;
}

Microseconds ChunkPlan::takeoverDelay() const
{
    if (mMeanIntervalMicroseconds <= 0) {
        return mOptions.maxTakeoverDelay;
    }
    const auto stallTime
        = Microseconds(static_cast<std::int64_t>(mMeanIntervalMicroseconds * sStallIntervalFactor));
    return std::clamp<Microseconds>(stallTime, sMinTakeoverDelay, mOptions.maxTakeoverDelay);
}

// Turns are counted from a common moment, because members learn of a version some
// tenths of a second apart and the last owner in turn must not wait for that as well.
// If all members learn of a version after every turn has passed, as after an outage of
// the store, the turns start with the plan instead. If all owners pulled at once then,
// the members would be complete 1.5 s later.
Instant ChunkPlan::firstOriginPullAt() const
{
    const Microseconds allTurns = mOptions.originPullInterval * static_cast<int>(mChunks.size());
    const bool hasPassed = mOptions.originPullStart + allTurns <= mStartedAt;
    return hasPassed ? mStartedAt : mOptions.originPullStart;
}

// Pulls are staggered: if all owners pulled at once, they would share the origin's link
// and all chunks would arrive late and together, with nothing to forward until then. Adopted
// chunks move the later pulls up, but never delay them: the other members of a swarm that has
// not restarted expect a pull at its scheduled time.
Instant ChunkPlan::originPullAt(const Chunk &chunk) const
{
    const Instant first = firstOriginPullAt();
    const Instant scheduled = first + mOptions.originPullInterval * chunk.index;
    const Instant movedUp = std::max(first, mStartedAt) + mOptions.originPullInterval * chunk.turn;
    return std::min(scheduled, movedUp);
}

Instant ChunkPlan::nextOriginRetryAt(const Chunk &chunk, ChunkFailure why, Instant now) const
{
    if (mIsOriginUnavailable && why != ChunkFailure::Corrupt) {
        return nextOriginRoundAt(chunk, now);
    }
    const std::uint32_t doublings = std::min(chunk.consecutiveOriginFailures - 1, 10U);
    return now + std::min<Milliseconds>(sMinOriginBackoff * (1 << doublings), sMaxOriginBackoff);
}

// The time that a returned origin needs to send the chunks that are not available yet.
Microseconds ChunkPlan::originRoundDuration() const
{
    const auto owed = std::ranges::count_if(mChunks, [](const Chunk &chunk) {
        return chunk.state != State::Have && chunk.holderCount == 0;
    });
    return std::clamp<Microseconds>(mOptions.originPullInterval * owed, sMinOriginRound,
                                    sMaxOriginRound);
}

// If all members retried an unavailable origin with a short interval, they would all
// reach it as soon as it returned. All chunks would then share its link and arrive late
// and together, with nothing to forward until then. In a retry round each chunk has its
// own turn, so that the origin sends one chunk after the other whenever it returns.
// Members that are not the owner of a chunk retry it only in some of the rounds.
Instant ChunkPlan::nextOriginRoundAt(const Chunk &chunk, Instant now) const
{
    const auto isBefore = [&](const Chunk &other) {
        return other.index < chunk.index && other.state != State::Have && other.holderCount == 0;
    };
    const auto countBefore = std::ranges::count_if(mChunks, isBefore);
    const Microseconds round = originRoundDuration();
    const Instant ownTurn
        = firstOriginPullAt() + (mOptions.originPullInterval * countBefore) % round;
    const std::int64_t rounds = 1LL << 2 * std::min(chunk.originRank, sMaxTakeoverMembers);
    const Instant begin = ownTurn + round * (chunk.tieBreak % rounds);
    const Microseconds past = std::max<Microseconds>(now - begin, Microseconds(0));
    return begin + round * rounds * (past / (round * rounds) + 1);
}

// Whether the origin has returned and all better ranked members have had a full retry
// round and the time to announce the chunk.
bool ChunkPlan::mayRetryReturnedOrigin(const Chunk &chunk, Instant now) const
{
    return !mIsOriginUnavailable && mReturnRoundEndsAt != Instant()
        && now >= mReturnRoundEndsAt + sMaxAnnounceDelay * static_cast<int>(chunk.originRank);
}

bool ChunkPlan::mayPullFromOrigin(const Chunk &chunk, Instant now) const
{
    const bool isPaused = chunk.originRetryAt > now && !mayRetryReturnedOrigin(chunk, now);
    if (isPaused || originPullAt(chunk) > now) {
        return false;
    }
    switch (mOptions.policy) {
    case FetchPolicy::OriginOnly:
        return true;
    case FetchPolicy::Chain:
        return mPeers.empty();
    case FetchPolicy::Swarm:
        break;
    }
    if (chunk.originRank < mOptions.originCopies) {
        // One copy is enough: an owner that starts late gets the chunk from a neighbour.
        return mOptions.originCopies > 1 || chunk.holderCount == 0;
    }
    const std::uint32_t turn = chunk.originRank / mOptions.originCopies;
    return chunk.holderCount == 0 && isOverdueAtOrigin(chunk, turn, now);
}

// All members own about the same number of chunks and share the origin's link. An
// owner that has provided none of its chunks some time after the others have provided
// most of theirs cannot reach the origin or is down.
std::optional<Instant> ChunkPlan::ownerSilentSince(const Chunk &chunk) const
{
    if (!mOwnShareStoredAt || !mActiveSharesAvailableAt
        || mAvailableByOwner[chunk.ownerIndex] > 0) {
        return std::nullopt;
    }
    const Instant sharesDone = std::max(*mOwnShareStoredAt, *mActiveSharesAvailableAt);
    const Instant done = std::max(sharesDone, originPullAt(chunk) + mOptions.originPullInterval);
    return done + std::max<Microseconds>((done - mStartedAt) / sSilenceDivisor, sMinSilence);
}

// Whether most chunks of the active owners are available. An owner is active once at
// least one of its chunks is available.
bool ChunkPlan::areActiveSharesAvailable() const
{
    const auto isOfActive = [&](const Chunk &chunk) {
        return !chunk.isAdopted && mAvailableByOwner[chunk.ownerIndex] > 0;
    };
    const auto active = static_cast<double>(std::ranges::count_if(mChunks, isOfActive));
    const double least = sMinActiveFraction * static_cast<double>(mChunks.size() - mAdoptedCount);
    return active >= least && mAvailableCount >= sMostAvailableFraction * active;
}

bool ChunkPlan::hasOtherOpenPulls() const
{
    std::size_t count = mOpenOriginRequests;
    for (const auto &[box, peer] : mPeers) {
        count += peer.openPulls.size();
    }
    return count > 1;
}

Instant ChunkPlan::pullDeadline(Instant startedAt) const
{
    return mPullTimes.deadline(startedAt, !hasOtherOpenPulls());
}

// When @p peer, whose turn to pull the chunk is at @p dueAt, should have it or a later member
// takes over. A peer that pulls another chunk will pull this one afterwards.
Instant ChunkPlan::expectedPullEnd(const Peer &peer, const Chunk &chunk, Instant dueAt) const
{
    if (peer.lostAt) {
        return std::max(dueAt, *peer.lostAt + sReconnectTime);
    }
    const auto pull = peer.openPulls.find(chunk.index);
    if (pull != peer.openPulls.end()) {
        return std::max(dueAt, pullDeadline(pull->second));
    }
    Instant expected = dueAt + mPullTimes.startTimeout();
    for (const auto &[index, startedAt] : peer.openPulls) {
        expected = std::max(expected, pullDeadline(startedAt));
    }
    return expected;
}

// When this member takes over the chunk as a standby; nothing if it is none or cannot judge
// the members before it. One that has announced nothing may not know the version yet, and
// after an outage of the origin the announced pulls are outdated.
std::optional<Instant> ChunkPlan::standbyPullAt(const Chunk &chunk) const
{
    const bool hadOutage = mIsOriginUnavailable || mReturnRoundEndsAt != Instant();
    const bool isScheduled = mOptions.originPullInterval.count() > 0;
    if (chunk.precedingBoxes.empty() || hadOutage || !isScheduled) {
        return std::nullopt;
    }
    Instant pullAt = originPullAt(chunk);
    for (const std::string &box : chunk.precedingBoxes) {
        const auto peer = mPeers.find(box);
        if (peer == mPeers.end()) {
            return std::nullopt;
        }
        const bool isKnownAtWork = peer->second.hasBegun && peer->second.announcesPulls;
        if (!peer->second.lostAt && !isKnownAtWork) {
            return std::nullopt;
        }
        pullAt = expectedPullEnd(peer->second, chunk, pullAt);
    }
    return pullAt;
}

void ChunkPlan::updateOwnShare(Instant now)
{
    const auto isOwn = [](const Chunk &chunk) { return chunk.originRank == 0; };
    const auto isOpen
        = [&](const Chunk &chunk) { return isOwn(chunk) && chunk.state != State::Have; };
    if (!mOwnShareStoredAt && std::ranges::any_of(mChunks, isOwn)
        && std::ranges::none_of(mChunks, isOpen)) {
        mOwnShareStoredAt = now;
    }
}

// If the owners of a chunk are down or stalled, the next members in order take over one
// after the other. Standbys know what the members before them do. For the others, until most chunks
// are available, each new one postpones the takeover of all others, so that nothing is requested
// twice from an origin that is merely slow. After that, each chunk has its own deadline, based on
// the time that most chunks took.
bool ChunkPlan::isOverdueAtOrigin(const Chunk &chunk, std::uint32_t turn, Instant now) const
{
    if (const auto pullAt = standbyPullAt(chunk)) {
        return now >= *pullAt;
    }
    if (const auto silent = ownerSilentSince(chunk)) {
        return now - *silent >= sMaxAnnounceDelay * static_cast<int>(turn);
    }
    if (!mMostAvailableAt) {
        return now - mLastAvailableAt >= takeoverDelay() * static_cast<int>(turn);
    }
    const Microseconds mostDuration = *mMostAvailableAt - mStartedAt;
    const Microseconds step
        = std::clamp<Microseconds>(mostDuration, sMinTakeoverDelay, mOptions.maxTakeoverDelay);
    const Microseconds turnOffset = originPullAt(chunk) - mStartedAt;
    const Microseconds due
        = std::max<Microseconds>({mostDuration + mostDuration / sLateDivisor, sMinTakeoverDelay,
                                  turnOffset + turnOffset / sLateDivisor});
    return now - mStartedAt >= due + step * static_cast<int>(turn - 1);
}

void ChunkPlan::noteAvailable(Chunk &chunk, Instant now)
{
    mLastAvailableAt = now;
    if (std::exchange(mIsOriginUnavailable, false)) {
        mReturnRoundEndsAt = now + originRoundDuration();
    }
    if (chunk.wasAvailable) {
        return;
    }
    chunk.wasAvailable = true;
    ++mAvailableCount;
    ++mAvailableByOwner[chunk.ownerIndex];
    if (!mActiveSharesAvailableAt && areActiveSharesAvailable()) {
        mActiveSharesAvailableAt = now;
    }
    if (!mMostAvailableAt
        && mAvailableCount
            >= sMostAvailableFraction * static_cast<double>(mChunks.size() - mAdoptedCount)) {
        mMostAvailableAt = now;
    }
}

// Transfers between data centres are expensive, so one member of each data centre
// imports a chunk. The next member in order takes over after the takeover delay.
bool ChunkPlan::mayImport(const Chunk &chunk, Instant now) const
{
    if (!mOptions.hasSingleImport || chunk.importRank == 0) {
        return true;
    }
    return now - chunk.availableSince >= takeoverDelay() * static_cast<int>(chunk.importRank);
}

// The only holder of the last chunks may have a link with a tenth of the usual
// bandwidth. All members would then wait for it for seconds, whereas the origin sends a
// chunk within some tens of milliseconds. Only a few members pull such a chunk from the
// origin, so that few chunks are sent twice.
bool ChunkPlan::isStraggler(const Chunk &chunk, Instant now) const
{
    const bool isOpen = chunk.state != State::Have && !chunk.isRequestedFromOrigin;
    const bool isTail = mStoredCount >= sTailFraction * static_cast<double>(mChunks.size());
    const bool mayTakeOver = mOptions.policy == FetchPolicy::Swarm && chunk.originRank >= 1
        && chunk.originRank <= sMaxTakeoverMembers && chunk.originRetryAt <= now;
    if (!isOpen || !isTail || !mayTakeOver || chunk.holderCount == 0) {
        return false;
    }
    const Microseconds stalled = now - mLastReceivedAt;
    const Microseconds stragglerDelay = std::max<Microseconds>(
        (mLastReceivedAt - mStartedAt) / sSilenceDivisor, sMaxAnnounceDelay);
    return stalled >= stragglerDelay * static_cast<int>(chunk.originRank);
}

void ChunkPlan::planOriginRequests(std::vector<ChunkFetch> &requests, Instant now)
{
    // The rarest chunks come first here as well; a chunk held by a neighbour can wait.
    std::vector<std::uint32_t> selected;
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        Chunk &chunk = mChunks[index];
        bool isDue = chunk.state == State::Missing && mayPullFromOrigin(chunk, now);
        // The origin is known to be unavailable: without a turn in a retry round, this
        // member would take over together with all others of its rank.
        if (isDue && mIsOriginUnavailable && chunk.consecutiveOriginFailures == 0) {
            chunk.consecutiveOriginFailures = sMaxTransientOriginFailures;
            chunk.originRetryAt = nextOriginRoundAt(chunk, now);
            isDue = false;
        }
        if (isDue || isStraggler(chunk, now)) {
            selected.push_back(index);
        }
    }
    std::ranges::sort(selected, {}, [&](std::uint32_t index) {
        return std::pair(mChunks[index].holderCount, mChunks[index].tieBreak);
    });
    for (const std::uint32_t index : selected) {
        if (mOpenOriginRequests >= mOptions.maxOriginRequests) {
            return;
        }
        mChunks[index].state = State::Requested;
        mChunks[index].isRequestedFromOrigin = true;
        mChunks[index].pullStartedAt = now;
        ++mOpenOriginRequests;
        requests.push_back({index, FromOrigin{}, mChunks[index].originRank});
    }
}

void ChunkPlan::planPeerRequests(std::vector<ChunkFetch> &requests, Instant now)
{
    if (mOpenPeerRequests >= mOptions.maxPeerRequests) {
        return;
    }
    std::vector<std::uint32_t> selected;
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        if (mChunks[index].state == State::Missing && mChunks[index].holderCount > 0) {
            selected.push_back(index);
        }
    }
    std::ranges::sort(selected, {}, [&](std::uint32_t index) {
        return std::pair(mChunks[index].holderCount, mChunks[index].tieBreak);
    });
    for (const std::uint32_t index : selected) {
        if (mOpenPeerRequests >= mOptions.maxPeerRequests) {
            return;
        }
        const auto box = bestHolder(index, now);
        if (!box) {
            continue;
        }
        mChunks[index].state = State::Requested;
        ++mOpenPeerRequests;
        ++mPeers.find(*box)->second.open;
        requests.push_back({index, FromPeer{*box}});
    }
}

std::optional<std::string> ChunkPlan::bestHolder(std::uint32_t index, Instant now) const
{
    const std::string *best = nullptr;
    std::pair<std::uint32_t, bool> bestCost;
    const bool isImportAllowed = mayImport(mChunks[index], now);
    for (const auto &[box, peer] : mPeers) {
        const bool isUsable = peer.has[index] && peer.open < mOptions.maxRequestsPerPeer
            && peer.avoidedUntil <= now && (peer.isSameDataCentre || isImportAllowed);
        if (!isUsable) {
            continue;
        }
        const std::pair cost{peer.open, !peer.isSameDataCentre};
        if (best == nullptr || cost < bestCost) {
            best = &box;
            bestCost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void ChunkPlan::closeRequest(const ChunkSource &source)
{
    const auto *fromPeer = std::get_if<FromPeer>(&source);
    if (fromPeer == nullptr) {
        --mOpenOriginRequests;
        return;
    }
    --mOpenPeerRequests;
    const auto it = mPeers.find(fromPeer->box);
    if (it != mPeers.end() && it->second.open > 0) {
        --it->second.open;
    }
}

ChunkProgress ChunkPlan::progress(Instant now) const
{
    ChunkProgress progress;
    progress.storedCount = mStoredCount;
    progress.openOriginRequests = mOpenOriginRequests;
    progress.openPeerRequests = mOpenPeerRequests;
    progress.sinceLastChunk = now - mLastReceivedAt;
    for (const Chunk &chunk : mChunks) {
        progress.requestedCount += chunk.state == State::Requested ? 1 : 0;
        const bool isMissing = chunk.state == State::Missing;
        progress.availableCount += isMissing && chunk.holderCount > 0 ? 1 : 0;
        if (!isMissing || chunk.holderCount > 0) {
            continue;
        }
        if (progress.unavailableCount == 0) {
            progress.firstUnavailable = chunk.index;
            progress.firstUnavailableOwner = mMembers[chunk.ownerIndex].box;
        }
        ++progress.unavailableCount;
    }
    return progress;
}

// The pulls of later chunks move up: after a restart with most chunks adopted, the origin's
// link would otherwise be idle for the turns of all adopted chunks.
void ChunkPlan::addStored(std::uint32_t index)
{
    if (mChunks[index].state == State::Have) {
        return;
    }
    setStored(index);
    if (!mChunks[index].wasAvailable) {
        mChunks[index].isAdopted = true;
        ++mAdoptedCount;
    }
    for (std::size_t later = std::size_t{index} + 1; later < mChunks.size(); ++later) {
        --mChunks[later].turn;
    }
}

void ChunkPlan::setStored(std::uint32_t index)
{
    if (mChunks[index].state != State::Have) {
        mChunks[index].state = State::Have;
        ++mStoredCount;
    }
}

void ChunkPlan::received(std::uint32_t index, const ChunkSource &source, Instant now)
{
    closeRequest(source);
    setStored(index);
    const auto interval = static_cast<double>((now - mLastReceivedAt).count());
    const bool isFirst = mMeanIntervalMicroseconds <= 0;
    mMeanIntervalMicroseconds
        += (isFirst ? 1.0 : sIntervalWeight) * (interval - mMeanIntervalMicroseconds);
    mLastReceivedAt = now;
    updateOwnShare(now);
    if (std::holds_alternative<FromOrigin>(source)) {
        mPullTimes.noteDone(mChunks[index].pullStartedAt, now);
        noteAvailable(mChunks[index], now);
    }
}

void ChunkPlan::failed(std::uint32_t index, const ChunkSource &source, ChunkFailure why,
                       Instant now)
{
    closeRequest(source);
    Chunk &chunk = mChunks[index];
    if (chunk.state == State::Requested) {
        chunk.state = State::Missing;
    }
    const bool wasOrigin = std::holds_alternative<FromOrigin>(source);
    chunk.isRequestedFromOrigin = chunk.isRequestedFromOrigin && !wasOrigin;
    const auto *fromPeer = std::get_if<FromPeer>(&source);
    if (fromPeer == nullptr) {
        ++chunk.consecutiveOriginFailures;
        const bool isGone = why != ChunkFailure::Corrupt
            && chunk.consecutiveOriginFailures > sMaxTransientOriginFailures;
        mIsOriginUnavailable
            = mIsOriginUnavailable || (isGone && mOptions.originPullInterval.count() > 0);
        chunk.originRetryAt = nextOriginRetryAt(chunk, why, now);
        return;
    }
    const auto it = mPeers.find(fromPeer->box);
    if (it == mPeers.end()) {
        return;
    }
    it->second.avoidedUntil = std::max(it->second.avoidedUntil, now + backoffAfter(why));
    const bool isAbsent = why == ChunkFailure::Missing || why == ChunkFailure::Corrupt;
    if (isAbsent && it->second.has[index]) {
        it->second.has[index] = false;
        --chunk.holderCount;
    }
}

} // namespace Loom
