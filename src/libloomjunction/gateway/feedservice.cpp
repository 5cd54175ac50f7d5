/*
 * feedservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "feedservice.h"

#include "clock.h"
#include "jsonlog.h"
#include "metrics.h"
#include "peerconnection.h"
#include "peerhub.h"
#include "retrydelay.h"

#include <algorithm>
#include <functional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::array sFeeds{Feed::Operators, Feed::Replicas, Feed::Members};

// Times of the operators' feed as fractions of the time within which its records must have come.
// In the calm, records at the second process behind the store are at most two polls, two queries
// and their transit old, a quarter of that time. Older ones show that a source does not respond.
// What is left of half of it is for reading past that source.
constexpr int sPollsPerMaxAge = 10;
constexpr int sQueriesPerMaxAge = 32;
constexpr int sUnrelayedPollsPerMaxAge = 4;
constexpr int sSourceAgePercent = 33;
constexpr Milliseconds sMinPollTimeout{50};
constexpr Milliseconds sMaxOperatorsPollTimeout{2'000};
constexpr Milliseconds sMinQueryInterval{75};
constexpr Milliseconds sMaxQueryInterval{300};
// Timeouts of the long polls of the other feeds. Each call to the store has a cost; each timeout
// trades it against the age of the data.
constexpr Milliseconds sReplicasPollTimeout{1'000};
constexpr Milliseconds sMembersPollTimeout{4'000};
constexpr Milliseconds sRelayedReplicasPollTimeout{200};
constexpr Milliseconds sReplicasQueryInterval{200};
// Draining replicas must not be used for more than two seconds: half of that is for detection.
constexpr Milliseconds sMaxReplicasSourceAge{1'000};
// Members also exchange their state directly, so their records need not be as fresh.
constexpr Milliseconds sRelayedMembersPollTimeout{1'250};
constexpr Milliseconds sMaxMembersSourceAge{4'000};
// Delays after a read that found records, so that records written in quick succession are
// read in one call.
constexpr Milliseconds sOperatorsReadDelay{20};
constexpr Milliseconds sMembersReadDelay{150};
// Interval of the checks whether a feed needs another source.
constexpr std::chrono::milliseconds sSuperviseInterval{50};
// The processes next in order become sources one after the other, each after this fraction of the
// age at which the first does.
constexpr int sTakeoverStepsPerSourceAge = 8;
constexpr std::size_t sMaxTakeoverSteps = 3;
// Time for which a process reads in place of the readers, or follows an alternate. It covers the
// time after which a failed reader is known to all and another one is planned.
constexpr Milliseconds sTakeoverDuration{3'000};
constexpr std::size_t sMaxAlternates = 4;
constexpr Milliseconds sAlternateRetryDelay{300};
// A process that neither reads for others nor is among the first to do so checks at this interval
// whether the store answers it again.
constexpr Milliseconds sProbeInterval{2'000};
// Time for which a preferred peer is followed before the source is chosen anew.
constexpr Milliseconds sPreferredFollowDuration{30'000};
// A process with a store failure within this time does not read for others if another can.
constexpr Milliseconds sReaderFailureWindow{5'000};
// Time that a starting process waits for all processes that read before it, and for each one
// of them. Both are longer than a full read (0.4 MB, calculated as 0.2 s over 27 Mbit/s), and
// short enough for a timely startup without them.
constexpr Milliseconds sStartupTimeout{2'000};
constexpr Milliseconds sStartupReaderTimeout{1'000};
// The same after the store's return from a copy. Configurations and leaving replicas must be
// known two seconds after the store accepted them, also if the first planned reader is lost.
constexpr Milliseconds sRestoreTimeout{1'000};
constexpr Milliseconds sRestoreReaderTimeout{500};
// Operators and replicas write again what the store has lost within about this time.
constexpr Milliseconds sRewriteTime{2'000};

} // namespace

FeedService::FeedService(StorePort &store, std::string box, FeedPreference preference)
    : mStore(store)
    , mBox(std::move(box))
    , mPreference(preference)
    , mRelay([this](Feed feed) -> FeedState & { return state(feed); })
{
}

void FeedService::countInto(Metrics &metrics)
{
    mMetrics = &metrics;
}

tl::expected<void, std::string> FeedService::start(Kernel &kernel)
{
    PeerHub &hub = kernel.find<PeerHub>(PeerHub::sName);
    mChanged = std::make_unique<Signal>(kernel.executor());
    hub.serve(std::string(FeedFollower::sPath),
              [this](PeerStreamPtr stream) { return mRelay.serve(std::move(stream)); });
    mStore.setEraListener([this] {
        for (Sources &sources : mSources) {
            sources.reader->cancelIfOutdated();
        }
        mChanged->notify();
    });
    mStartupDeadline = now() + sStartupTimeout;
    for (const Feed feed : sFeeds) {
        Sources &sources = this->sources(feed);
        sources.readingOrder = {now(), sStartupReaderTimeout, sStartupTimeout};
        sources.reader = std::make_unique<StoreReader>(mStore, sources.state,
                                                       [this, feed] { noteChange(feed); });
        sources.follower = std::make_unique<FeedFollower>(
            hub, mBox, sources.state, [this] { return mStore.era(); },
            [this, feed] { noteChange(feed); });
        if (mMetrics != nullptr) {
            sources.reader->countInto(*mMetrics);
        }
        if (mPreference == FeedPreference::Store) {
            asio::co_spawn(kernel.executor(), startUp(feed), asio::detached);
        } else if (feed != Feed::Replicas) {
            asio::co_spawn(kernel.executor(), runPeerPreference(feed), asio::detached);
        }
    }
    if (mPreference == FeedPreference::Store) {
        asio::co_spawn(kernel.executor(), supervise(), asio::detached);
    }
    return {};
}

void FeedService::stop()
{
    mStopped = true;
    mChanged->notify();
    mRelay.stop();
}

void FeedService::noteChange(Feed feed)
{
    mChanged->notify();
    mRelay.wake(feed);
}

// A process is a follower only once its feed is synced. Until then, a gateway waits for other
// readers for at most sStartupTimeout.
bool FeedService::isFollower(Feed feed) const
{
    return mReaders && state(feed).isSynced() && !mReaders().isReader;
}

bool FeedService::mayLackRecords(Feed feed) const
{
    const auto restoredAt = state(feed).restoredAt();
    return restoredAt && now() - *restoredAt <= sRewriteTime;
}

bool FeedService::isRestoring() const
{
    return std::ranges::any_of(mSources, [](const Sources &sources) {
        return !sources.state.isSynced() && sources.state.restoredAt();
    });
}

// A process whose last call failed says so until a call succeeds: if it were planned as a reader
// again after a while, all that follow it would wait for the next failure.
bool FeedService::hasStoreFailed() const
{
    return std::ranges::any_of(mSources, [](const Sources &sources) {
        return sources.state.hasStoreFailed()
            || sources.state.hasStoreFailedWithin(sReaderFailureWindow);
    });
}

bool FeedService::isInStartup() const
{
    return now() < mStartupDeadline;
}

Milliseconds FeedService::pollTimeout(Feed feed, bool isRelayed) const
{
    switch (feed) {
    case Feed::Operators: {
        const int polls = isRelayed ? sPollsPerMaxAge : sUnrelayedPollsPerMaxAge;
        return std::clamp(mMaxOperatorsAge / polls, sMinPollTimeout, sMaxOperatorsPollTimeout);
    }
    case Feed::Replicas:
        return isRelayed ? sRelayedReplicasPollTimeout : sReplicasPollTimeout;
    case Feed::Members:
        return isRelayed ? sRelayedMembersPollTimeout : sMembersPollTimeout;
    }
    return sMembersPollTimeout;
}

// Keeps the age of a feed in use at or below about twice the poll timeout, also when reads find
// records.
Milliseconds FeedService::nextPollTimeout(Feed feed) const
{
    const Milliseconds maxDuration = pollTimeout(feed, mReaders && mReaders().isRelayed);
    if (!state(feed).hasReturnedEarly()) {
        return maxDuration;
    }
    const auto known = std::chrono::duration_cast<Milliseconds>(age(feed).value_or(maxDuration));
    return std::clamp(maxDuration - known, std::min(sMinPollTimeout, maxDuration), maxDuration);
}

Milliseconds FeedService::queryInterval(Feed feed) const
{
    if (mPreference == FeedPreference::Peers || feed == Feed::Members) {
        return sMaxQueryInterval;
    }
    if (feed == Feed::Replicas) {
        return sReplicasQueryInterval;
    }
    return std::clamp(mMaxOperatorsAge / sQueriesPerMaxAge, sMinQueryInterval, sMaxQueryInterval);
}

Milliseconds FeedService::maxSourceAge(Feed feed) const
{
    switch (feed) {
    case Feed::Operators:
        return mMaxOperatorsAge * sSourceAgePercent / 100;
    case Feed::Replicas:
        return sMaxReplicasSourceAge;
    case Feed::Members:
        return sMaxMembersSourceAge;
    }
    return sMaxMembersSourceAge;
}

Microseconds FeedService::excessAge(Feed feed) const
{
    // A feed that was never complete has no source yet.
    const Microseconds age = state(feed).age().value_or(std::chrono::hours(1));
    return age - maxSourceAge(feed);
}

// Delay between a read that found records and the next read.
Milliseconds FeedService::readDelay(Feed feed) const
{
    switch (feed) {
    case Feed::Operators:
        return sOperatorsReadDelay;
    case Feed::Replicas:
        return mReplicasReadDelay;
    case Feed::Members:
        return sMembersReadDelay;
    }
    return sOperatorsReadDelay;
}

awaitable<void> FeedService::supervise()
{
    co_await sleepFor(Milliseconds(0)); // lets services that start after this one set the readers
    while (!mStopped) {
        for (const Feed feed : sFeeds) {
            supervise(feed);
        }
        co_await mChanged->waitFor(sSuperviseInterval);
    }
}

void FeedService::supervise(Feed feed)
{
    Sources &sources = this->sources(feed);
    if (!sources.hasStarted) {
        return;
    }
    const asio::any_io_executor &executor = mChanged->executor();
    if (sources.reader->isOutdated() && sources.state.isSynced()) {
        sources.state.beginRestore(mStore.era());
        sources.readingOrder = {now(), sRestoreReaderTimeout, sRestoreTimeout};
        sources.hasStarted = false;
        asio::co_spawn(executor, startUp(feed), asio::detached);
        return;
    }
    if (!sources.isReading && mayRead(feed)) {
        sources.isReading = true;
        asio::co_spawn(executor, runReading(feed), asio::detached);
    }
    if (!sources.isFollowing && isFollower(feed)) {
        sources.isFollowing = true;
        asio::co_spawn(executor, runFollowing(feed), asio::detached);
    }
    openAlternates(feed);
}

// A follower reads the store itself if its sources let the feed become too old, and while the
// store has failed it, to learn when it is back.
bool FeedService::mayRead(Feed feed)
{
    const Sources &sources = this->sources(feed);
    const bool mustRestore = sources.state.isSynced() && sources.reader->isOutdated();
    if (mStopped || !sources.hasStarted || mustRestore) {
        return false;
    }
    if (!mReaders || !sources.state.isSynced()) {
        return true;
    }
    const FeedReaders readers = mReaders();
    return readers.isReader || sources.state.hasStoreFailed()
        || hasTakenOver(feed, readers.takeoverRank);
}

bool FeedService::hasTakenOver(Feed feed, std::size_t rank)
{
    Sources &sources = this->sources(feed);
    const auto steps = static_cast<int>(std::min(rank, sMaxTakeoverSteps));
    const bool isDue = excessAge(feed) > maxSourceAge(feed) * steps / sTakeoverStepsPerSourceAge;
    if (rank >= sMaxTakeoverSteps) {
        return isDue; // there may be many of these, so each reads once
    }
    if (isDue) {
        sources.takeoverUntil = now() + sTakeoverDuration;
    }
    return sources.takeoverUntil && now() < *sources.takeoverUntil;
}

awaitable<void> FeedService::runReading(Feed feed)
{
    Sources &sources = this->sources(feed);
    while (mayRead(feed)) {
        const bool hasSucceeded = co_await sources.reader->read(nextPollTimeout(feed));
        if (!hasSucceeded) {
            co_await waitAfterFailure(feed);
        } else if (sources.state.hasReturnedEarly()) {
            co_await sleepFor(readDelay(feed));
        }
    }
    sources.isReading = false;
}

// The first in order try often: the sooner one of them reads what was accepted in an outage, the
// more exactly is it known how long ago that was.
awaitable<void> FeedService::waitAfterFailure(Feed feed)
{
    const Instant failedAt = now();
    co_await sleepFor(retryDelay());
    while (mayRead(feed) && isOnlyProbing(feed) && now() < failedAt + sProbeInterval) {
        co_await mChanged->waitFor(sSuperviseInterval);
    }
}

bool FeedService::isOnlyProbing(Feed feed) const
{
    const bool isAmongFirst = mReaders && mReaders().takeoverRank < sMaxTakeoverSteps;
    return isFollower(feed) && (feed == Feed::Members || !isAmongFirst);
}

// Follows one of the planned readers of the store as long as it is planned.
awaitable<void> FeedService::runFollowing(Feed feed)
{
    while (!mStopped && isFollower(feed)) {
        const std::vector<Tcp::endpoint> readers = mReaders().others;
        if (readers.empty()) {
            break;
        }
        // The hash spreads the followers over the readers; each failure selects another reader.
        const std::size_t own = std::hash<std::string>()(mBox);
        const Tcp::endpoint &address = readers[(own + mPeerIndex) % readers.size()];
        Condition isPlanned = [this, feed, address] {
            const std::vector<Tcp::endpoint> planned = mReaders().others;
            return isFollower(feed) && std::ranges::find(planned, address) != planned.end();
        };
        const bool hasSucceeded
            = co_await follow(feed, address, sPreferredFollowDuration, std::move(isPlanned));
        if (!hasSucceeded) {
            ++mPeerIndex;
            logLine(LogLevel::Warning, "reader-lost",
                    {{"feed", feedName(feed)}, {"reader", endpointText(address)}});
            co_await sleepFor(retryDelay());
        }
    }
    sources(feed).isFollowing = false;
}

// The planned sources are kept meanwhile: what they send last may still be under way, and they may
// recover.
void FeedService::openAlternates(Feed feed)
{
    Sources &sources = this->sources(feed);
    const Microseconds excess = excessAge(feed);
    if (excess <= Microseconds(0)) {
        std::erase_if(sources.alternates, [](const auto &item) { return now() >= item.second; });
        return;
    }
    std::vector<Tcp::endpoint> addresses
        = mReaders ? mReaders().alternates : std::vector<Tcp::endpoint>();
    if (addresses.empty() && mPeers) {
        addresses = mPeers();
    }
    // Two at once, one nearby and one elsewhere; the next ones if these don't help.
    const Milliseconds step = maxSourceAge(feed) / sTakeoverStepsPerSourceAge;
    const std::size_t count = excess > step ? sMaxAlternates : sMaxAlternates / 2;
    for (std::size_t index = 0; index < std::min(count, addresses.size()); ++index) {
        Instant &nextAt = sources.alternates[addresses[index]];
        if (now() < nextAt) {
            continue;
        }
        nextAt = now() + sTakeoverDuration;
        asio::co_spawn(mChanged->executor(), followAlternate(feed, addresses[index]),
                       asio::detached);
    }
}

awaitable<void> FeedService::followAlternate(Feed feed, Tcp::endpoint address)
{
    const bool hasSucceeded = co_await follow(feed, address, sTakeoverDuration, Condition());
    if (!hasSucceeded) {
        sources(feed).alternates[address] = now() + sAlternateRetryDelay;
    }
}

awaitable<bool> FeedService::follow(Feed feed, Tcp::endpoint address, Milliseconds maxDuration,
                                    Condition isNeeded)
{
    FollowLimits limits;
    limits.until = now() + maxDuration;
    limits.queryInterval = queryInterval(feed);
    limits.mayWaitForData = [this, feed] { return isStartingUp(feed); };
    limits.isNeeded
        = [this, isNeeded = std::move(isNeeded)] { return !mStopped && (!isNeeded || isNeeded()); };
    const bool hasSucceeded
        = co_await sources(feed).follower->follow(std::move(address), std::move(limits));
    co_return hasSucceeded;
}

// An agent follows one gateway at a time, and reads the store if it reaches none.
awaitable<void> FeedService::runPeerPreference(Feed feed)
{
    Sources &sources = this->sources(feed);
    co_await startUp(feed);
    while (!mStopped) {
        if (sources.reader->isOutdated() && sources.state.isSynced()) {
            sources.state.beginRestore(mStore.era());
            sources.readingOrder = {now(), sRestoreReaderTimeout, sRestoreTimeout};
            co_await startUp(feed);
        }
        // It tries its peers again after each read of the store.
        const bool hasSucceeded
            = co_await readPeer(feed) || co_await sources.reader->read(sMinRetryDelay);
        if (!hasSucceeded) {
            co_await sleepFor(retryDelay());
        }
    }
}

// Follows one peer for a limited time; returns false if it could not be reached or stopped
// responding.
awaitable<bool> FeedService::readPeer(Feed feed)
{
    const std::vector<Tcp::endpoint> peers = mPeers ? mPeers() : std::vector<Tcp::endpoint>();
    if (peers.empty()) {
        co_return false;
    }
    // The peers are ordered by distance. A failure selects the next one, a success the first.
    const Tcp::endpoint &address = peers[mPeerIndex % peers.size()];
    const bool hasSucceeded = co_await follow(feed, address, sPreferredFollowDuration, Condition());
    mPeerIndex = hasSucceeded ? 0 : mPeerIndex + 1;
    co_return hasSucceeded;
}

// An agent that reaches none of its seeds eventually reads the members from the store, which
// tell it the nearby gateways. The later deadline gives it time to follow one of them: if all
// agents read the large feeds from the store at that point, they would saturate the links.
Instant FeedService::readingDeadline(Feed feed) const
{
    const ReadingOrder &order = sources(feed).readingOrder;
    const bool needsMembers = mPreference == FeedPreference::Peers && feed != Feed::Members;
    return order.begunAt + order.timeout + (needsMembers ? order.readerTimeout : Milliseconds(0));
}

bool FeedService::isStartingUp(Feed feed) const
{
    return !mStopped && !state(feed).isSynced() && now() < readingDeadline(feed);
}

awaitable<void> FeedService::startUp(Feed feed)
{
    co_await sleepFor(Milliseconds(0)); // lets services that start after this one add listeners
    if (mPreference == FeedPreference::Peers) {
        co_await startUpFromPeers(feed);
    }
    const bool readsMembersFirst = feed == Feed::Members && state(feed).isFirstSync();
    const bool knowsOthers = mReaders || mPeers;
    if (mPreference == FeedPreference::Store && knowsOthers && !readsMembersFirst) {
        co_await startUpInOrder(feed);
    }
    sources(feed).hasStarted = true;
    mChanged->notify();
}

// When many processes start together, or the store returns from a copy, each would read the large
// feeds in full from the store, and the responses would saturate the links that callers use. The
// members' feed is small, is read at once, and determines who reads first.
awaitable<void> FeedService::startUpInOrder(Feed feed)
{
    co_await waitForMembers(feed);
    while (isStartingUp(feed)) {
        const bool isOwnTurn = !co_await followEarlierReaders(feed);
        if (isOwnTurn) {
            break;
        }
        co_await delayStartup(feed);
    }
}

// During startup, an agent reads from gateways only. One that does not respond may just be
// starting a moment later, so it is tried again.
awaitable<void> FeedService::startUpFromPeers(Feed feed)
{
    if (feed != Feed::Members) {
        co_await waitForMembers(feed); // the members tell which gateways are near
    }
    while (mPeers && isStartingUp(feed) && !mPeers().empty()) {
        co_await readPeer(feed);
        co_await delayStartup(feed);
    }
}

awaitable<void> FeedService::waitForMembers(Feed feed)
{
    while (feed != Feed::Members && isStartingUp(feed) && state(Feed::Members).isAwaitingData()) {
        co_await mChanged->waitUntil(steadyTime(readingDeadline(feed)));
    }
}

awaitable<void> FeedService::delayStartup(Feed feed)
{
    if (isStartingUp(feed)) {
        co_await sleepFor(retryDelay());
    }
}

// Follows the processes that are planned to read before this gateway; returns false when it is
// this gateway's turn to read the store.
awaitable<bool> FeedService::followEarlierReaders(Feed feed)
{
    if (!mReaders) {
        co_return false;
    }
    const std::vector<Tcp::endpoint> earlier = mReaders().earlier;
    const auto size = static_cast<std::int64_t>(earlier.size());
    const ReadingOrder &order = sources(feed).readingOrder;
    if (now() >= order.begunAt + order.readerTimeout * size) {
        co_return false;
    }
    for (const Tcp::endpoint &address : earlier) {
        if (!isStartingUp(feed)) {
            break;
        }
        const auto left = std::chrono::duration_cast<Milliseconds>(readingDeadline(feed) - now());
        const bool hasSucceeded = co_await follow(feed, address, left, Condition());
        if (hasSucceeded) {
            break;
        }
    }
    co_return true;
}

} // namespace Loom
