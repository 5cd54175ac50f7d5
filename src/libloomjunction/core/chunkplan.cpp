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

// A swarm that brings nothing for this many times its usual gap has stalled.
constexpr double sStallIntervalFactor = 10;
// Of the chunks, before the rest counts as late.
constexpr double sMostAvailableFraction = 0.75;
// Of the chunks, whose owners must have brought some before others seem silent.
constexpr double sMinActiveFraction = 0.5;
constexpr double sIntervalWeight = 0.1;
constexpr Microseconds sMinTakeoverDelay{500'000};
// Of the time that most chunks took: not there so much later, the rest is late.
constexpr int sLateDivisor = 4;
// Of the time that most chunks took: silent for so much longer, an owner is late.
constexpr int sSilenceDivisor = 8;
// A chunk needs some time from the origin to those who wait for it.
constexpr Microseconds sMinSilence{150'000};
// Of the chunks: with so many here, the rest are stragglers.
constexpr double sTailFraction = 0.85;
// Members that ask the origin for a straggler, one after the other.
constexpr std::uint32_t sMaxTakeoverMembers = 3;
// Until a chunk that came to any member is known of, at most.
constexpr Microseconds sMaxAnnounceDelay{250'000};
// After the first failure of a pull, which may be a spoilt copy that the next one
// puts right, and the most after doubling, for an origin that is dead.
constexpr Milliseconds sMinOriginBackoff{25};
constexpr Milliseconds sMaxOriginBackoff{400};
// Failures in a row that may be those of one connection; an origin that gives nothing
// after them is away.
constexpr std::uint32_t sMaxTransientOriginFailures = 2;
// A round over the chunks that an origin still owes: shorter ones would ask a dead one
// without end, longer ones would leave its link idle after its return.
constexpr Microseconds sMinOriginRound{100'000};
constexpr Microseconds sMaxOriginRound{2'000'000};
constexpr Milliseconds sBusyBackoff{20};
constexpr Milliseconds sMissingBackoff{200};
constexpr Milliseconds sGoneBackoff{2'000};
constexpr Milliseconds sCorruptBackoff{30'000};
// Part of the neighbours that are picked from all members, so that data
// centres stay connected with each other.
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

// The place of @p self among those who take @p key: the owner, then by weight.
std::uint32_t rankOf(std::string_view key, std::span<const std::string> boxes,
                     std::size_t ownerIndex, std::string_view self)
{
    if (boxes[ownerIndex] == self) {
        return 0;
    }
    const std::uint64_t own = rendezvousWeight(key, self);
    std::uint32_t rank = 1;
    for (std::size_t other = 0; other < boxes.size(); ++other) {
        const bool isBefore = other != ownerIndex && rendezvousWeight(key, boxes[other]) > own;
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
    , mRandom(options.seed)
{
    for (Chunk &chunk : mChunks) {
        chunk.index = static_cast<std::uint32_t>(&chunk - mChunks.data());
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
    const auto same = [](const SwarmMember &a, const SwarmMember &b) { return a.box == b.box; };
    if (std::ranges::equal(sorted, mMembers, same)) {
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
    std::vector<std::string> near;
    for (const SwarmMember &member : mMembers) {
        boxes.push_back(member.box);
        if (member.dataCentre == mSelf.dataCentre) {
            near.push_back(member.box);
        }
    }
    const std::vector<std::size_t> owners = evenOwners(keys, boxes);
    const std::vector<std::size_t> importers = evenOwners(keys, near);
    mAvailableByOwner.assign(mMembers.size(), 0);
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        Chunk &chunk = mChunks[index];
        chunk.ownerIndex = static_cast<std::uint32_t>(owners[index]);
        chunk.originRank = rankOf(keys[index], boxes, owners[index], mSelf.box);
        chunk.importRank = rankOf(keys[index], near, importers[index], mSelf.box);
        mAvailableByOwner[chunk.ownerIndex] += chunk.wasAvailable ? 1 : 0;
    }
}

std::vector<std::string> ChunkPlan::swarmNeighbours() const
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const SwarmMember &member : mMembers) {
        if (member.box == mSelf.box) {
            continue;
        }
        all.push_back(member.box);
        if (member.dataCentre == mSelf.dataCentre) {
            near.push_back(member.box);
        }
    }
    const std::string key = mSelf.box + "/" + mDigest;
    const std::uint32_t far
        = std::max<std::uint32_t>(1, mOptions.neighbourCount / sAnyDataCentreDivisor);
    std::vector<std::string> wanted;
    const auto want = [&](const std::string &box) {
        if (std::ranges::find(wanted, box) == wanted.end()) {
            wanted.push_back(box);
        }
    };
    for (const std::size_t index : rendezvousOrder(key, near, mOptions.neighbourCount - far)) {
        want(near[index]);
    }
    for (const std::size_t index : rendezvousOrder(key, all, all.size())) {
        if (wanted.size() >= mOptions.neighbourCount) {
            break;
        }
        want(all[index]);
    }
    // The next member in order keeps the whole swarm one connected ring.
    if (!all.empty()) {
        const auto next = std::ranges::upper_bound(all, mSelf.box);
        want(next == all.end() ? all.front() : *next);
    }
    return wanted;
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
    std::vector<std::string> wanted;
    switch (mOptions.policy) {
    case FetchPolicy::Swarm:
        wanted = swarmNeighbours();
        break;
    case FetchPolicy::Chain:
        wanted = chainNeighbours();
        break;
    case FetchPolicy::OriginOnly:
        break;
    }
    for (auto it = mPeers.begin(); it != mPeers.end();) {
        const bool stays = std::ranges::find(wanted, it->first) != wanted.end();
        if (stays) {
            ++it;
            continue;
        }
        const std::string box = it->first;
        ++it;
        clearPeerChunks(box);
        mPeers.erase(box);
    }
    for (const std::string &box : wanted) {
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
    Chunk &chunk = mChunks[index];
    if (chunk.holderCount == 0 && chunk.state != State::Have) {
        chunk.availableSince = now;
        noteAvailable(chunk, now);
    }
    ++chunk.holderCount;
}

void ChunkPlan::clearPeerChunks(std::string_view box)
{
    const auto it = mPeers.find(box);
    if (it == mPeers.end()) {
        return;
    }
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        if (it->second.has[index]) {
            it->second.has[index] = false;
            --mChunks[index].holderCount;
        }
    }
}

std::vector<ChunkFetch> ChunkPlan::next(Instant now)
{
    std::vector<ChunkFetch> out;
    planPeerRequests(out, now);
    planOriginRequests(out, now);
    return out;
}

Microseconds ChunkPlan::takeoverDelay() const
{
    if (mMeanIntervalMicroseconds <= 0) {
        return mOptions.maxTakeoverDelay;
    }
    const auto stalled
        = Microseconds(static_cast<std::int64_t>(mMeanIntervalMicroseconds * sStallIntervalFactor));
    return std::clamp<Microseconds>(stalled, sMinTakeoverDelay, mOptions.maxTakeoverDelay);
}

// Members hear of a version some tenths of a second after each other, and the last in
// turn must not wait for that on top.
// When all hear of a version so late that every turn has passed, as after an outage of
// the store, turns begin then: all at once, they would be whole 1.5 s later.
Instant ChunkPlan::firstOriginPullAt() const
{
    const Microseconds all = mOptions.originPullInterval * static_cast<int>(mChunks.size());
    const bool hasPassed = mOptions.originPullStart + all <= mStartedAt;
    return hasPassed ? mStartedAt : mOptions.originPullStart;
}

// If all owners began at once, the origin's link would bring all chunks at the
// same late moment, and until then boxes would have nothing to pass on.
Instant ChunkPlan::originPullAt(const Chunk &chunk) const
{
    return firstOriginPullAt() + mOptions.originPullInterval * chunk.index;
}

Instant ChunkPlan::nextOriginRetryAt(const Chunk &chunk, ChunkFailure why, Instant now) const
{
    if (mIsOriginUnavailable && why != ChunkFailure::Corrupt) {
        return nextOriginRoundAt(chunk, now);
    }
    const std::uint32_t doublings = std::min(chunk.consecutiveOriginFailures - 1, 10U);
    return now + std::min<Milliseconds>(sMinOriginBackoff * (1 << doublings), sMaxOriginBackoff);
}

// The time in which an origin that was away gives out what it still owes.
Microseconds ChunkPlan::originRoundDuration() const
{
    const auto owed = std::ranges::count_if(mChunks, [](const Chunk &chunk) {
        return chunk.state != State::Have && chunk.holderCount == 0;
    });
    return std::clamp<Microseconds>(mOptions.originPullInterval * owed, sMinOriginRound,
                                    sMaxOriginRound);
}

// Where all ask an origin that was away again and again, they all find it back at once:
// its link is shared by all chunks, which come at one late moment, and boxes have nothing
// to pass on until then. In a round, whatever moment the origin returns at, its chunks
// leave one after the other from there. Whoever steps in for an owner asks in few rounds.
Instant ChunkPlan::nextOriginRoundAt(const Chunk &chunk, Instant now) const
{
    const auto isBefore = [&](const Chunk &other) {
        return other.index < chunk.index && other.state != State::Have && other.holderCount == 0;
    };
    const auto before = std::ranges::count_if(mChunks, isBefore);
    const Microseconds round = originRoundDuration();
    const Instant own = firstOriginPullAt() + (mOptions.originPullInterval * before) % round;
    const std::int64_t rounds = 1LL << 2 * std::min(chunk.originRank, sMaxTakeoverMembers);
    const Instant begin = own + round * (chunk.tieBreak % rounds);
    const Microseconds past = std::max<Microseconds>(now - begin, Microseconds(0));
    return begin + round * rounds * (past / (round * rounds) + 1);
}

// Chunks turn up again, and each owner has had its moment.
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
        // One copy is enough: who comes later takes it from those who have it.
        return mOptions.originCopies > 1 || chunk.holderCount == 0;
    }
    const std::uint32_t turn = chunk.originRank / mOptions.originCopies;
    return chunk.holderCount == 0 && isOverdueAtOrigin(chunk, turn, now);
}

// All members own about as many chunks and share the origin's link: whoever
// brought none a while after the others were nearly done cannot reach the
// origin, or is gone.
std::optional<Instant> ChunkPlan::ownerSilentSince(const Chunk &chunk) const
{
    if (!mOwnShareStoredAt || !mActiveSharesAvailableAt
        || mAvailableByOwner[chunk.ownerIndex] > 0) {
        return std::nullopt;
    }
    const Instant found = std::max(*mOwnShareStoredAt, *mActiveSharesAvailableAt);
    const Instant done = std::max(found, originPullAt(chunk) + mOptions.originPullInterval);
    return done + std::max<Microseconds>((done - mStartedAt) / sSilenceDivisor, sMinSilence);
}

// Whether the owners that brought any chunk have brought most of theirs.
bool ChunkPlan::areActiveSharesAvailable() const
{
    const auto isOfActive
        = [&](const Chunk &chunk) { return mAvailableByOwner[chunk.ownerIndex] > 0; };
    const auto active = static_cast<double>(std::ranges::count_if(mChunks, isOfActive));
    const double least = sMinActiveFraction * static_cast<double>(mChunks.size());
    return active >= least && mAvailableCount >= sMostAvailableFraction * active;
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

// The responsible members may be dead or stalled: later ones step in one after
// the other. While chunks still turn up, a new one puts all that off, so that an
// origin that merely is slow is asked for nothing twice. Once most have turned
// up, the rest is late by the time that these took, each chunk for itself.
bool ChunkPlan::isOverdueAtOrigin(const Chunk &chunk, std::uint32_t turn, Instant now) const
{
    if (const auto silent = ownerSilentSince(chunk)) {
        return now - *silent >= sMaxAnnounceDelay * static_cast<int>(turn);
    }
    if (!mMostAvailableAt) {
        return now - mLastAvailableAt >= takeoverDelay() * static_cast<int>(turn);
    }
    const Microseconds most = *mMostAvailableAt - mStartedAt;
    const Microseconds step
        = std::clamp<Microseconds>(most, sMinTakeoverDelay, mOptions.maxTakeoverDelay);
    const Microseconds turned = originPullAt(chunk) - mStartedAt;
    const Microseconds due = std::max<Microseconds>(
        {most + most / sLateDivisor, sMinTakeoverDelay, turned + turned / sLateDivisor});
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
        && mAvailableCount >= sMostAvailableFraction * static_cast<double>(mChunks.size())) {
        mMostAvailableAt = now;
    }
}

// Far copies are dear: one member of each data centre brings a chunk in. The
// next in order steps in when nothing comes any more.
bool ChunkPlan::mayImport(const Chunk &chunk, Instant now) const
{
    if (!mOptions.hasSingleImport || chunk.importRank == 0) {
        return true;
    }
    return now - chunk.availableSince >= takeoverDelay() * static_cast<int>(chunk.importRank);
}

// Whoever holds the last chunks may be on a link of a tenth of the others'
// bandwidth, and all would wait for it: seconds, where the origin needs some
// dozens of milliseconds. Few step in, so that few chunks are sent twice.
bool ChunkPlan::isStraggler(const Chunk &chunk, Instant now) const
{
    const bool isOpen = chunk.state != State::Have && !chunk.isRequestedFromOrigin;
    const bool isTail = mStoredCount >= sTailFraction * static_cast<double>(mChunks.size());
    const bool mayStepIn = mOptions.policy == FetchPolicy::Swarm && chunk.originRank >= 1
        && chunk.originRank <= sMaxTakeoverMembers && chunk.originRetryAt <= now;
    if (!isOpen || !isTail || !mayStepIn || chunk.holderCount == 0) {
        return false;
    }
    const Microseconds stalled = now - mLastReceivedAt;
    const Microseconds patience = std::max<Microseconds>(
        (mLastReceivedAt - mStartedAt) / sSilenceDivisor, sMaxAnnounceDelay);
    return stalled >= patience * static_cast<int>(chunk.originRank);
}

void ChunkPlan::planOriginRequests(std::vector<ChunkFetch> &out, Instant now)
{
    // The rarest first here too: a chunk that a neighbour holds can wait.
    std::vector<std::uint32_t> wanted;
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        Chunk &chunk = mChunks[index];
        bool isDue = chunk.state == State::Missing && mayPullFromOrigin(chunk, now);
        // It would step in together with all others of its rank.
        if (isDue && mIsOriginUnavailable && chunk.consecutiveOriginFailures == 0) {
            chunk.consecutiveOriginFailures = sMaxTransientOriginFailures;
            chunk.originRetryAt = nextOriginRoundAt(chunk, now);
            isDue = false;
        }
        if (isDue || isStraggler(chunk, now)) {
            wanted.push_back(index);
        }
    }
    std::ranges::sort(wanted, {}, [&](std::uint32_t index) {
        return std::pair(mChunks[index].holderCount, mChunks[index].tieBreak);
    });
    for (const std::uint32_t index : wanted) {
        if (mOpenOriginRequests >= mOptions.maxOriginRequests) {
            return;
        }
        mChunks[index].state = State::Requested;
        mChunks[index].isRequestedFromOrigin = true;
        ++mOpenOriginRequests;
        out.push_back({index, FromOrigin{}});
    }
}

void ChunkPlan::planPeerRequests(std::vector<ChunkFetch> &out, Instant now)
{
    if (mOpenPeerRequests >= mOptions.maxPeerRequests) {
        return;
    }
    std::vector<std::uint32_t> wanted;
    for (std::uint32_t index = 0; index < mChunks.size(); ++index) {
        if (mChunks[index].state == State::Missing && mChunks[index].holderCount > 0) {
            wanted.push_back(index);
        }
    }
    std::ranges::sort(wanted, {}, [&](std::uint32_t index) {
        return std::pair(mChunks[index].holderCount, mChunks[index].tieBreak);
    });
    for (const std::uint32_t index : wanted) {
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
        out.push_back({index, FromPeer{*box}});
    }
}

std::optional<std::string> ChunkPlan::bestHolder(std::uint32_t index, Instant now) const
{
    const std::string *best = nullptr;
    std::pair<std::uint32_t, bool> bestCost;
    const bool mayBeFar = mayImport(mChunks[index], now);
    for (const auto &[box, peer] : mPeers) {
        const bool usable = peer.has[index] && peer.open < mOptions.maxRequestsPerPeer
            && peer.avoidedUntil <= now && (peer.isSameDataCentre || mayBeFar);
        if (!usable) {
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

void ChunkPlan::addStored(std::uint32_t index)
{
    if (mChunks[index].state != State::Have) {
        mChunks[index].state = State::Have;
        ++mStoredCount;
    }
}

void ChunkPlan::received(std::uint32_t index, const ChunkSource &source, Instant now)
{
    closeRequest(source);
    addStored(index);
    const auto gap = static_cast<double>((now - mLastReceivedAt).count());
    const bool isFirst = mMeanIntervalMicroseconds <= 0;
    mMeanIntervalMicroseconds
        += (isFirst ? 1.0 : sIntervalWeight) * (gap - mMeanIntervalMicroseconds);
    mLastReceivedAt = now;
    updateOwnShare(now);
    if (std::holds_alternative<FromOrigin>(source)) {
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
    const bool lacksIt = why == ChunkFailure::Missing || why == ChunkFailure::Corrupt;
    if (lacksIt && it->second.has[index]) {
        it->second.has[index] = false;
        --chunk.holderCount;
    }
}

} // namespace Loom
