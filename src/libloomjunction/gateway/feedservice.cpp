/*
 * feedservice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "feedservice.h"

#include "clock.h"
#include "compression.h"
#include "jsonlog.h"
#include "loopstep.h"
#include "metrics.h"
#include "peerconnection.h"
#include "peerhub.h"
#include "pendingqueries.h"
#include "wire.pb.h"

#include <algorithm>
#include <random>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

constexpr std::string_view sFollowPath = "/follow";
// A call to the store has a price, and one that is under way tells of a lost
// store only when it should have come back: each wait is that trade.
constexpr Milliseconds sMaxOperatorsPollTimeout{2'000};
constexpr Milliseconds sMinOperatorsPollTimeout{200};
constexpr Milliseconds sReplicasPollTimeout{2'000};
constexpr Milliseconds sMembersPollTimeout{8'000};
// Records that come close together are read in one call.
constexpr Milliseconds sOperatorsReadDelay{20};
constexpr Milliseconds sMembersReadDelay{150};
constexpr Milliseconds sMinRetryDelay{100};
constexpr Milliseconds sMaxRetryDelay{400};
// A follower asks this often how old the other's knowledge is, and a silence is
// longer. Whoever follows a reader learns nothing while that stands still, and
// draining replicas must not be used for two seconds: half of that is for noticing.
constexpr Milliseconds sRelayQueryInterval{300};
constexpr Milliseconds sRelayTimeout{900};
// A process that asks nothing for so long is lost, and nothing is kept for it.
constexpr std::chrono::milliseconds sFollowerTimeout{3'000};
// A reader with followers asks the store this often whether all is well, and a
// follower leaves one whose last answer is older. The age told by one that follows the
// reader is the wait, a question's turn and two ways at most.
constexpr Milliseconds sRelayedPollTimeout{500};
constexpr Milliseconds sMaxRelayedAge{1'000};
// A read that came back early tells only what was there when it was asked, so the next
// one is shorter, by as much as the knowledge is old; each call to the store has a price.
constexpr Milliseconds sMinPollTimeout{50};
// Members tell each other of their state; their records need not be as fresh.
constexpr Milliseconds sRelayedMembersPollTimeout{2'500};
constexpr Milliseconds sMaxRelayedMembersAge{4'000};
// While a peer is followed, the store is tried again after this time.
constexpr Milliseconds sFallbackFollowDuration{1'000};
// Following a peer by choice, the store is not tried at all for this long.
constexpr Milliseconds sPreferredFollowDuration{30'000};
constexpr Milliseconds sRelayBatchDelay{10};
// Shorter values gain little, and would be compressed for each change of theirs.
constexpr std::size_t sMinCompressedSize = std::size_t{4} * 1024;
// Many times what the platform's store takes for one record.
constexpr std::size_t sMaxValueSize = std::size_t{16} * 1024 * 1024;
// A follower that takes nothing for so long is lost; a large configuration needs
// some hundred milliseconds on the narrowest links.
constexpr std::chrono::milliseconds sFollowerSendTimeout{3'000};
// The store's word that a record is gone counts only when it was well for so long.
constexpr Milliseconds sStoreFailureWindow{3'000};
// Whose reads failed more lately does not read for others, if anybody else can.
constexpr Milliseconds sReaderFailureWindow{5'000};
// A process that begins waits so long for others that read before it, and for each of
// them. Longer than they need for a full read (0.4 MB, 0.2 s over 27 Mbit/s, reckoned),
// and so short that a begin without them still ends in good time.
constexpr Milliseconds sStartupTimeout{2'000};
constexpr Milliseconds sStartupReaderTimeout{1'000};
constexpr std::chrono::milliseconds sRequestTimeout{2'000};
// A record may have been written at any time since the feed was last known to be
// complete. So much of that counts as the read's quiet wait; bounds on weights leave room
// for as much.
constexpr Milliseconds sMaxPollTimeDiscount{400};
// Of records that were there at the first read: long ago, as far as is known.
constexpr Microseconds sUnknownAge = std::chrono::hours(24);

// Orders the records of one key. A removal may share its offset with the record that it
// takes away.
std::uint64_t recordRank(const FeedRecord &record)
{
    return record.offset * 2 + (record.value ? 1 : 2);
}

// Whoever knows all before an offset may miss a removal that a full read gave the
// offset of the last record before it.
std::uint64_t lastKnownRank(std::uint64_t knownBefore)
{
    return knownBefore == 0 ? 0 : knownBefore * 2 - 1;
}

Milliseconds jitter(Milliseconds minDelay, Milliseconds maxDelay)
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> spread(minDelay.count(), maxDelay.count());
    return Milliseconds(spread(random));
}

} // namespace

FeedService::FeedService(StorePort &store, std::string box, FeedPreference preference)
    : mStore(store)
    , mBox(std::move(box))
    , mPreference(preference)
{
}

void FeedService::listen(Feed feed, Listener listener)
{
    state(feed).listeners.push_back(std::move(listener));
}

tl::expected<void, std::string> FeedService::start(Kernel &kernel)
{
    mHub = &kernel.find<PeerHub>(PeerHub::sName);
    mChanged = std::make_unique<Signal>(kernel.executor());
    mHub->serve(std::string(sFollowPath),
                [this](PeerStreamPtr stream) { return serveFollower(std::move(stream)); });
    mStartupDeadline = now() + sStartupTimeout;
    for (const Feed feed : {Feed::Operators, Feed::Replicas, Feed::Members}) {
        const bool isNeeded = mPreference == FeedPreference::Store || feed != Feed::Replicas;
        if (isNeeded) {
            asio::co_spawn(kernel.executor(), follow(feed), asio::detached);
        }
    }
    return {};
}

void FeedService::stop()
{
    mStopped = true;
    mChanged->notify();
    wakeAllFollowers();
}

// Once it knows everything: until then a gateway waits for no more than sStartupTimeout.
bool FeedService::isFollower(Feed feed) const
{
    return mReaders && state(feed).isSynced && !mReaders().isReader;
}

// The store failed of late, or the process that is followed says that its did.
bool FeedService::isStoreDoubtful(Feed feed) const
{
    const FeedState &state = this->state(feed);
    const bool hasFailed
        = state.hasStoreFailed && now() - state.storeFailedAt <= sStoreFailureWindow;
    return hasFailed || state.isRelayDoubtful;
}

bool FeedService::hasStoreFailed() const
{
    return std::ranges::any_of(mFeeds, [](const FeedState &state) {
        return state.hasStoreFailed && now() - state.storeFailedAt <= sReaderFailureWindow;
    });
}

void FeedService::setOperatorsPollTimeout(Milliseconds wait)
{
    mOperatorsPollTimeout = std::clamp(wait, sMinOperatorsPollTimeout, sMaxOperatorsPollTimeout);
}

Milliseconds FeedService::pollTimeout(Feed feed) const
{
    if (mReaders && mReaders().isRelayed) {
        const Milliseconds wait
            = feed == Feed::Members ? sRelayedMembersPollTimeout : sRelayedPollTimeout;
        return feed == Feed::Operators ? std::min(wait, mOperatorsPollTimeout) : wait;
    }
    switch (feed) {
    case Feed::Operators:
        return mOperatorsPollTimeout;
    case Feed::Replicas:
        return sReplicasPollTimeout;
    case Feed::Members:
        return sMembersPollTimeout;
    }
    return sMembersPollTimeout;
}

// The knowledge of a feed in use is at most about pollTimeout() old, whatever was found.
Milliseconds FeedService::nextPollTimeout(Feed feed) const
{
    const Milliseconds maxDuration = pollTimeout(feed);
    if (!state(feed).hasReturnedEarly) {
        return maxDuration;
    }
    const auto known = std::chrono::duration_cast<Milliseconds>(age(feed).value_or(maxDuration));
    return std::clamp(maxDuration - known, std::min(sMinPollTimeout, maxDuration), maxDuration);
}

// Of records that a read gave just now: the store may have taken them at any time since
// the feed was last complete. Most come while the read waits, so its wait is left out.
Microseconds FeedService::ageOfRead(Feed feed, Milliseconds wait) const
{
    return std::max(Microseconds(0),
                    age(feed).value_or(sUnknownAge) - std::min(wait, sMaxPollTimeDiscount));
}

// Between two reads that found something.
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

std::optional<Microseconds> FeedService::age(Feed feed) const
{
    const auto &completeAt = state(feed).completeAt;
    if (!completeAt) {
        return std::nullopt;
    }
    return now() - *completeAt;
}

void FeedService::updateCompleteAt(Feed feed, Instant at)
{
    std::optional<Instant> &completeAt = state(feed).completeAt;
    completeAt = std::max(completeAt.value_or(at), at);
}

// An agent none of whose seeds answers learns the members from the store at last, and
// who is near from them: all agents reading the large feeds then would fill the links.
Instant FeedService::startupDeadline(Feed feed) const
{
    const bool needsMembers = mPreference == FeedPreference::Peers && feed != Feed::Members;
    return needsMembers ? mStartupDeadline + sStartupReaderTimeout : mStartupDeadline;
}

bool FeedService::isStartingUp(Feed feed) const
{
    return !mStopped && !state(feed).isSynced && now() < startupDeadline(feed);
}

// For the store or for another process: neither has failed it yet.
bool FeedService::isAwaitingData(Feed feed) const
{
    const FeedState &state = this->state(feed);
    return !state.isSynced && !state.hasStoreFailed;
}

// Where many begin together, each would ask the store for the large feeds in full, and
// their answers fill the links that callers use. The members' feed is small and tells
// who reads first.
awaitable<void> FeedService::startUp(Feed feed)
{
    const bool knowsOthers = mReaders || mPeers;
    if (!knowsOthers) {
        co_return;
    }
    if (mPreference == FeedPreference::Peers) {
        co_await startUpFromPeers(feed);
        co_return;
    }
    if (feed == Feed::Members) {
        co_return;
    }
    co_await waitForMembers(feed);
    while (isStartingUp(feed) && co_await followEarlierReaders(feed)) {
        co_await delayStartup(feed);
    }
}

// An agent asks gateways alone; one that does not answer may only begin a moment later.
awaitable<void> FeedService::startUpFromPeers(Feed feed)
{
    if (feed != Feed::Members) {
        co_await waitForMembers(feed); // they tell which gateways are near
    }
    while (isStartingUp(feed) && !mPeers().empty()) {
        co_await readPeer(feed);
        co_await delayStartup(feed);
    }
}

awaitable<void> FeedService::waitForMembers(Feed feed)
{
    while (isStartingUp(feed) && isAwaitingData(Feed::Members)) {
        co_await mChanged->waitUntil(steadyTime(startupDeadline(feed)));
    }
}

awaitable<void> FeedService::delayStartup(Feed feed)
{
    if (isStartingUp(feed)) {
        co_await sleepFor(jitter(sMinRetryDelay, sMaxRetryDelay));
    }
}

// Follows whoever reads before this gateway by plan; false when it is its own turn.
awaitable<bool> FeedService::followEarlierReaders(Feed feed)
{
    if (!mReaders) {
        co_return false;
    }
    const std::vector<Tcp::endpoint> earlier = mReaders().earlier;
    const auto size = static_cast<std::int64_t>(earlier.size());
    const Instant startedAt = mStartupDeadline - sStartupTimeout;
    if (now() >= startedAt + sStartupReaderTimeout * size) {
        co_return false;
    }
    for (const Tcp::endpoint &address : earlier) {
        const auto left = std::chrono::duration_cast<Milliseconds>(mStartupDeadline - now());
        if (!isStartingUp(feed) || co_await followPeer(feed, address, left)) {
            break;
        }
    }
    co_return true;
}

awaitable<void> FeedService::follow(Feed feed)
{
    co_await sleepFor(Milliseconds(0)); // the services that start after this one listen
    co_await startUp(feed);
    while (!mStopped) {
        bool hasSucceeded = false;
        if (isFollower(feed) && co_await followReader(feed)) {
            continue;
        }
        if (mPreference == FeedPreference::Store) {
            hasSucceeded = co_await readStore(feed) || co_await readPeer(feed);
        } else {
            hasSucceeded = co_await readPeer(feed) || co_await readStore(feed);
        }
        if (!hasSucceeded) {
            co_await sleepFor(jitter(sMinRetryDelay, sMaxRetryDelay));
        }
    }
}

// Reads on until the store fails; false when it gave nothing at all.
awaitable<bool> FeedService::readStore(Feed feed)
{
    FeedState &state = this->state(feed);
    bool hasRead = false;
    // A process that prefers its peers uses the store for one read at a time.
    const bool isSingleRead = mPreference == FeedPreference::Peers;
    while (!mStopped) {
        if (!state.isSynced) {
            if (!co_await sync(feed)) {
                co_return hasRead;
            }
            hasRead = true;
        }
        const std::uint64_t from = state.table.nextOffset();
        const Milliseconds wait = isSingleRead ? sMinRetryDelay : nextPollTimeout(feed);
        const Instant asked = now();
        const auto batch = co_await mStore.read(feed, from, wait);
        if (!batch) {
            updateStoreState(feed, batch.error() == StoreError::Forgotten,
                             storeErrorName(batch.error()));
            // Whatever was missed is read from where the book ends: a full read after
            // each failure asks for everything again just when the way to the store is
            // worst, from every gateway at once.
            if (batch.error() == StoreError::Forgotten) {
                state.isSynced = false;
                continue;
            }
            co_return hasRead;
        }
        hasRead = true;
        updateStoreState(feed, true, "read");
        const Microseconds age = ageOfRead(feed, wait);
        countRead(feed, "onward", batch->bytes);
        for (const FeedRecord &record : batch->records) {
            apply(feed, record, age);
        }
        state.table.setNextOffset(batch->next);
        // The answer may have been on its way for long: the store looked at the question
        // at the earliest, or after the wait if it found nothing in all of it.
        const bool hasFound = !batch->records.empty();
        state.hasReturnedEarly = hasFound || now() < asked + wait;
        if (!batch->hasMore) {
            updateCompleteAt(feed, state.hasReturnedEarly ? asked : asked + wait);
        }
        state.isRelayDoubtful = false;
        if (hasFound) {
            wakeFollowers(feed);
            co_await sleepFor(readDelay(feed));
        }
        if (isSingleRead || isFollower(feed)) {
            co_return true;
        }
    }
    co_return hasRead;
}

awaitable<bool> FeedService::sync(Feed feed)
{
    FeedState &state = this->state(feed);
    const Instant asked = now();
    const auto batch = co_await mStore.newest(feed);
    if (!batch) {
        updateStoreState(feed, false, storeErrorName(batch.error()));
        co_return false;
    }
    updateStoreState(feed, true, "full read");
    countRead(feed, "full", batch->bytes);
    // How long ago old records were written is not known at the first read.
    const LoopStep step("taking a full read");
    const Microseconds age = state.isFirstSync ? sUnknownAge : ageOfRead(feed, Milliseconds(0));
    for (const std::string &key : state.table.applySnapshot(batch->records, batch->next)) {
        state.learnedAt[key] = now() - std::min(age, sUnknownAge);
        state.origins[key] = RecordOrigin();
        notifyListeners(feed, state.table.all().find(key)->second, age);
    }
    state.removalsKnownFrom = batch->next;
    state.isFirstSync = false;
    state.isSynced = true;
    state.hasReturnedEarly = false;
    updateCompleteAt(feed, asked);
    wakeFollowers(feed);
    co_return true;
}

void FeedService::updateStoreState(Feed feed, bool reached, std::string_view why)
{
    FeedState &state = this->state(feed);
    if (!reached) {
        state.hasStoreFailed = true;
        state.storeFailedAt = now();
        mChanged->notify(); // others may wait for what it would have read
    }
    if (state.isStoreReached == reached) {
        return;
    }
    state.isStoreReached = reached;
    logLine(reached ? LogLevel::Info : LogLevel::Warning, reached ? "store-regained" : "store-lost",
            {{"feed", feedName(feed)}, {"why", why}, {"offset", state.table.nextOffset()}});
}

void FeedService::countRead(Feed feed, std::string_view kind, std::uint64_t bytes)
{
    if (mMetrics != nullptr) {
        mMetrics->count("store_bytes", std::string(feedName(feed)) + ", " + std::string(kind),
                        bytes);
    }
}

// Replicas write every second or so that they are alive. With hundreds of them,
// relaying that to every process would take more of a box than all else.
bool FeedService::isUnchanged(Feed feed, const FeedRecord &record) const
{
    const FeedState &state = this->state(feed);
    if (!state.isEquivalent || !record.value) {
        return false;
    }
    const auto known = state.table.all().find(record.key);
    const bool hasValue = known != state.table.all().end() && known->second.value;
    return hasValue && known->second.offset < record.offset
        && state.isEquivalent(known->second, record);
}

void FeedService::apply(Feed feed, const FeedRecord &record, Microseconds age, RecordOrigin origin)
{
    FeedState &state = this->state(feed);
    if (isUnchanged(feed, record) || !state.table.apply(record)) {
        return;
    }
    state.learnedAt[record.key] = now() - std::min(age, sUnknownAge);
    state.origins[record.key] = std::move(origin);
    notifyListeners(feed, record, age);
}

// Changes that came together are relayed as the last of them. One that says what is
// known may have had another between: its offset must be kept, or whoever heard of the
// other would never learn that it holds no more.
void FeedService::applyRelayed(Feed feed, const FeedRecord &record, Microseconds age,
                               RecordOrigin origin)
{
    if (isUnchanged(feed, record)) {
        // Followers of this process may know what came between.
        state(feed).changeCount += state(feed).table.apply(record) ? 1 : 0;
        return;
    }
    apply(feed, record, age, std::move(origin));
}

void FeedService::notifyListeners(Feed feed, const FeedRecord &record, Microseconds age)
{
    FeedState &state = this->state(feed);
    ++state.changeCount;
    const FeedChange change{record, age, !isStoreDoubtful(feed), state.origins[record.key]};
    for (const Listener &listener : state.listeners) {
        listener(change);
    }
}

// Follows one entry for a while; false when it could not be reached or went silent.
awaitable<bool> FeedService::readPeer(Feed feed)
{
    const std::vector<Tcp::endpoint> peers = mPeers ? mPeers() : std::vector<Tcp::endpoint>();
    if (peers.empty()) {
        co_return false;
    }
    // The first ones are near; a failure moves on, and a good turn starts over.
    const Tcp::endpoint &address = peers[mPeerIndex % peers.size()];
    const bool isPreferred = mPreference == FeedPreference::Peers;
    const bool hasSucceeded = co_await followPeer(
        feed, address, isPreferred ? sPreferredFollowDuration : sFallbackFollowDuration);
    mPeerIndex = hasSucceeded ? 0 : mPeerIndex + 1;
    co_return hasSucceeded;
}

// Follows one of those that read the store, until it stands still or its own
// knowledge grows old; the store itself is read then.
awaitable<bool> FeedService::followReader(Feed feed)
{
    const std::vector<Tcp::endpoint> readers = mReaders().others;
    if (readers.empty()) {
        co_return false;
    }
    // Followers spread over the readers, and turn to another after each failure.
    const std::size_t own = std::hash<std::string>()(mBox);
    const Tcp::endpoint &address = readers[(own + mPeerIndex) % readers.size()];
    const bool hasSucceeded = co_await followPeer(feed, address, sPreferredFollowDuration);
    if (!hasSucceeded) {
        ++mPeerIndex;
        logLine(LogLevel::Warning, "reader-lost",
                {{"feed", feedName(feed)}, {"reader", endpointText(address)}});
    }
    co_return hasSucceeded;
}

// False when the peer could not be reached, went silent, or knows nothing new itself.
awaitable<bool> FeedService::followPeer(Feed feed, Tcp::endpoint address, Milliseconds maxDuration)
{
    const PeerStreamPtr stream = co_await mHub->open(address, std::string(sFollowPath));
    if (!stream) {
        co_return false;
    }
    wire::FollowRequest request;
    request.set_feed(static_cast<std::uint32_t>(feed));
    request.set_box(mBox);
    request.set_known_before(knownBefore(feed));
    const bool asFollower = isFollower(feed);
    const Milliseconds maxAge = feed == Feed::Members ? sMaxRelayedMembersAge : sMaxRelayedAge;
    const Instant until = now() + maxDuration;
    PendingQueries queries(now());
    stream->send(request);
    Instant lastQueryAt = now();
    Instant lastReceivedAt = now();
    std::uint64_t bytes = 0;
    bool hasReceived = false;
    while (!mStopped && now() < until) {
        // A long update needs several turns of the stream's window. Asked for anew while
        // it arrives, it would never come and fill the way; its sender ends what takes
        // too long.
        if (stream->bytesIn() != bytes) {
            bytes = stream->bytesIn();
            lastReceivedAt = now();
        }
        if (now() >= lastQueryAt + sRelayQueryInterval) {
            lastQueryAt = now();
            queries.ask(lastQueryAt);
            stream->send(wire::FollowRequest());
        }
        const Instant timeoutAt = lastReceivedAt + sRelayTimeout;
        const auto deadline = steadyTime(std::min(timeoutAt, lastQueryAt + sRelayQueryInterval));
        const auto update = co_await stream->receiveMessage<wire::FollowUpdate>(deadline);
        if (!update && update.error() == PeerError::TimedOut && now() < timeoutAt) {
            continue; // the next question is due
        }
        const bool isAwaitingData = update && *update && (*update)->waiting();
        if (isAwaitingData && isStartingUp(feed)) {
            queries.answered();
            lastReceivedAt = now();
            hasReceived = true;
            continue;
        }
        const bool isGood
            = !isAwaitingData && update && *update && applyUpdate(feed, **update, queries, address);
        if (!isGood || (asFollower && Milliseconds((*update)->age_ms()) > maxAge)) {
            stream->reset();
            co_return false;
        }
        hasReceived = true;
        lastReceivedAt = now();
        if (asFollower && !isFollower(feed)) {
            break; // it is this process's turn to read
        }
    }
    stream->reset();
    co_return hasReceived;
}

// Nothing where it holds something that cannot be read.
std::optional<FeedRecord> FeedService::readRelayed(Feed feed,
                                                   const wire::RelayedRecord &relayed) const
{
    FeedRecord record{relayed.key(), std::nullopt, relayed.offset()};
    if (!relayed.compressed().empty()) {
        auto value = decompressed(relayed.compressed(), sMaxValueSize);
        if (!value) {
            logLine(LogLevel::Error, "relayed-record-refused",
                    {{"feed", feedName(feed)}, {"key", relayed.key()}, {"problem", value.error()}});
            return std::nullopt;
        }
        record.value = std::move(*value);
    } else if (!relayed.removed()) {
        record.value = relayed.value();
    }
    return record;
}

// False when it holds something that cannot be read; how far it reaches counts for
// nothing then, so that the store is asked for the same records.
bool FeedService::applyUpdate(Feed feed, const wire::FollowUpdate &update, PendingQueries &queries,
                              const Tcp::endpoint &from)
{
    const LoopStep step("taking an update");
    FeedState &state = this->state(feed);
    state.isRelayDoubtful = update.store_doubtful();
    // Ages were told when the update was sent. It may have been on its way for long, so
    // they count from the last question that the sender had heard by then.
    const bool isAnswer = update.records().empty() && !update.whole();
    const std::optional<Instant> knownAsOf = isAnswer ? queries.answered() : queries.heard();
    for (const wire::RelayedRecord &relayed : update.records()) {
        const auto record = readRelayed(feed, relayed);
        if (!record) {
            return false;
        }
        applyRelayed(feed, *record, now() - *knownAsOf + Milliseconds(relayed.age_ms()),
                     {endpointText(from), relayed.hops() + 1});
    }
    if (update.whole()) {
        applyFullUpdate(feed, update, now() - *knownAsOf);
    }
    // Each update holds all that the other process knows and had not told yet, so
    // this book now reaches as far as its own.
    if (update.next_offset() > state.table.nextOffset()) {
        state.table.setNextOffset(update.next_offset());
    }
    if (update.complete()) {
        state.isSynced = true;
        state.isFirstSync = false;
    }
    if (knownAsOf) {
        updateCompleteAt(feed, *knownAsOf - Milliseconds(update.age_ms()));
    }
    if (!isAnswer) {
        wakeFollowers(feed);
    }
    return true;
}

// Whatever the store held no more when it was read in full is gone, although nobody
// tells of its removal.
void FeedService::applyFullUpdate(Feed feed, const wire::FollowUpdate &update, Microseconds age)
{
    FeedState &state = this->state(feed);
    std::set<std::string_view> present;
    for (const wire::RelayedRecord &relayed : update.records()) {
        present.insert(relayed.key());
    }
    std::vector<std::string> removedKeys;
    for (const auto &[key, record] : state.table.all()) {
        if (record.value && record.offset < update.next_offset() && !present.contains(key)) {
            removedKeys.push_back(key);
        }
    }
    for (const std::string &key : removedKeys) {
        apply(feed, {key, std::nullopt, update.next_offset() - 1}, age);
    }
    state.removalsKnownFrom = std::max(state.removalsKnownFrom, update.next_offset());
}

// A configuration of some thousand routes has some hundred kilobytes. Relayed to a dozen
// followers as it is, it takes the link of its reader for about a second, and callers'
// requests share that link. Compressed it is a tenth.
void FeedService::setRelayedValue(FeedState &state, const FeedRecord &record,
                                  wire::RelayedRecord &relayed)
{
    if (!record.value) {
        return;
    }
    if (record.value->size() < sMinCompressedSize) {
        relayed.set_value(*record.value);
        return;
    }
    CompressedValue &cached = state.compressed[record.key];
    if (cached.bytes.empty() || cached.offset != record.offset) {
        const LoopStep step("compressing a record");
        cached = {record.offset, compressed(*record.value)};
    }
    relayed.set_compressed(cached.bytes);
}

// A book that never was complete has gaps before its end.
std::uint64_t FeedService::knownBefore(Feed feed) const
{
    const FeedState &state = this->state(feed);
    return state.isSynced ? state.table.nextOffset() : 0;
}

// What a follower has not been told yet.
wire::FollowUpdate FeedService::newRecords(Follower &follower)
{
    const LoopStep step("building an update for a follower");
    FeedState &state = this->state(follower.feed);
    wire::FollowUpdate update;
    if (follower.sentChangeCount == state.changeCount) {
        return update;
    }
    follower.sentChangeCount = state.changeCount;
    for (const auto &[key, record] : state.table.all()) {
        const std::uint64_t rank = recordRank(record);
        SentRanks &sent = follower.sent;
        std::uint64_t &known = sent.byKey.try_emplace(key, sent.all).first->second;
        if (known >= rank) {
            continue;
        }
        known = rank;
        wire::RelayedRecord &relayed = *update.add_records();
        relayed.set_key(key);
        relayed.set_removed(!record.value);
        setRelayedValue(state, record, relayed);
        relayed.set_offset(record.offset);
        relayed.set_hops(state.origins[key].hops);
        const auto age = std::chrono::ceil<Milliseconds>(now() - state.learnedAt[key]);
        relayed.set_age_ms(static_cast<std::uint64_t>(age.count()));
    }
    return update;
}

void FeedService::setUpdateState(Feed feed, wire::FollowUpdate &update) const
{
    const auto age = std::chrono::ceil<Milliseconds>(this->age(feed).value_or(sUnknownAge));
    update.set_age_ms(static_cast<std::uint64_t>(age.count()));
    update.set_next_offset(state(feed).table.nextOffset());
    update.set_complete(state(feed).isSynced);
    update.set_store_doubtful(isStoreDoubtful(feed));
}

// News first, so that the answers stand for all that is known here; false when nothing
// is known that could be told.
bool FeedService::sendUpdate(Follower &follower)
{
    wire::FollowUpdate update = buildUpdate(follower);
    if (!state(follower.feed).completeAt && update.records().empty()) {
        return sendWaiting(follower);
    }
    setUpdateState(follower.feed, update);
    if (!update.records().empty() || update.whole()) {
        follower.stream->send(update);
        update.clear_records();
        update.set_whole(false);
    }
    answerQueries(follower, update);
    return true;
}

void FeedService::answerQueries(Follower &follower, const wire::FollowUpdate &answer)
{
    for (; follower.pendingQueryCount > 0; --follower.pendingQueryCount) {
        follower.stream->send(answer);
    }
}

// Nothing is known here yet; false when nothing will be soon.
bool FeedService::sendWaiting(Follower &follower) const
{
    wire::FollowUpdate update;
    update.set_waiting(true);
    answerQueries(follower, update);
    return isAwaitingData(follower.feed);
}

// Of removals before its own full read this process knows nothing: a follower whose
// book ends before that is told all keys.
wire::FollowUpdate FeedService::buildUpdate(Follower &follower)
{
    const FeedState &state = this->state(follower.feed);
    if (follower.sentChangeCount == state.changeCount) {
        return {};
    }
    SentRanks &sent = follower.sent;
    const bool isFullUpdate = state.isSynced && sent.knownBefore < state.removalsKnownFrom;
    if (isFullUpdate) {
        sent = {};
    }
    wire::FollowUpdate update = newRecords(follower);
    update.set_whole(isFullUpdate);
    sent.knownBefore = state.isSynced ? state.table.nextOffset() : sent.knownBefore;
    return update;
}

bool FeedService::hasPendingUpdate(const Follower &follower) const
{
    return follower.pendingQueryCount > 0
        || follower.sentChangeCount != state(follower.feed).changeCount;
}

void FeedService::wakeFollowers(Feed feed)
{
    mChanged->notify();
    for (const FollowerPtr &follower : mFollowers) {
        if (follower->feed == feed) {
            follower->wakeSignal.notify();
        }
    }
}

void FeedService::wakeAllFollowers()
{
    for (const Feed feed : {Feed::Operators, Feed::Replicas, Feed::Members}) {
        wakeFollowers(feed);
    }
}

awaitable<void> FeedService::receiveQueries(FollowerPtr follower)
{
    while (!mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sFollowerTimeout;
        const auto query = co_await follower->stream->receiveMessage<wire::FollowRequest>(deadline);
        if (!query || !*query) {
            break;
        }
        ++follower->pendingQueryCount;
        follower->wakeSignal.notify();
    }
    follower->stream->reset();
    follower->wakeSignal.notify();
}

awaitable<void> FeedService::sendUpdates(FollowerPtr follower)
{
    const PeerStreamPtr &stream = follower->stream;
    while (stream->isOpen() && !mStopped && sendUpdate(*follower)) {
        // On a narrow link several changes join to one: only the newest counts.
        if (!co_await stream->sentBy(std::chrono::steady_clock::now() + sFollowerSendTimeout)) {
            co_return;
        }
        while (stream->isOpen() && !mStopped && !hasPendingUpdate(*follower)) {
            co_await follower->wakeSignal.waitFor(sFollowerTimeout);
        }
        if (follower->pendingQueryCount == 0) {
            co_await sleepFor(sRelayBatchDelay);
        }
    }
}

awaitable<void> FeedService::serveFollower(PeerStreamPtr stream)
{
    const auto deadline = std::chrono::steady_clock::now() + sRequestTimeout;
    const auto request = co_await stream->receiveMessage<wire::FollowRequest>(deadline);
    if (!request || !*request || (*request)->feed() >= sFeedCount) {
        stream->reset();
        co_return;
    }
    const auto executor = stream->connection()->executor();
    // A whole book for each stream that begins anew fills the links that callers use.
    const std::uint64_t knownBefore = (*request)->known_before();
    SentRanks sent{lastKnownRank(knownBefore), knownBefore, {}};
    const auto follower = std::make_shared<Follower>(Follower{
        stream, static_cast<Feed>((*request)->feed()), std::move(sent), {}, 1, Signal(executor)});
    mFollowers.insert(follower);
    asio::co_spawn(executor, receiveQueries(follower), asio::detached);
    co_await sendUpdates(follower);
    mFollowers.erase(follower);
    stream->reset();
}

} // namespace Loom
