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
constexpr std::string_view sStoreSource = "store"; // see RecordOrigin::from
// Timeouts of the long polls of the store. Each call to the store has a cost, but a lost
// store is noticed only when a pending call should have returned: each timeout trades one
// against the other.
constexpr Milliseconds sMaxOperatorsPollTimeout{2'000};
constexpr Milliseconds sMinOperatorsPollTimeout{200};
constexpr Milliseconds sReplicasPollTimeout{2'000};
constexpr Milliseconds sMembersPollTimeout{8'000};
// Delays after a read that found records, so that records written in quick succession are
// read in one call.
constexpr Milliseconds sOperatorsReadDelay{20};
constexpr Milliseconds sMembersReadDelay{150};
constexpr Milliseconds sMinRetryDelay{100};
constexpr Milliseconds sMaxRetryDelay{400};
// A follower queries the age of its peer's data at this interval, and drops a peer that sends
// nothing for the timeout. A follower of a stalled reader receives no changes, and draining
// replicas must not be used for more than two seconds: half of that is for detection.
constexpr Milliseconds sRelayQueryInterval{300};
constexpr Milliseconds sRelayTimeout{900};
// A follower that sends no query for this time is considered lost, and its state is dropped.
constexpr std::chrono::milliseconds sFollowerTimeout{3'000};
// A reader with followers polls the store at least this often, and a follower leaves a
// reader whose data is older than the maximum age. The age that a follower of the reader
// reports is at most the poll timeout, a query interval and two transit times.
constexpr Milliseconds sRelayedPollTimeout{500};
constexpr Milliseconds sMaxRelayedAge{1'000};
// A read that returned early shows the state of the store only at the time of the request, so
// the next poll is shortened by the age of the data. The minimum bounds the number of calls,
// since each call to the store has a cost.
constexpr Milliseconds sMinPollTimeout{50};
// Members also exchange their state directly, so their records need not be as fresh.
constexpr Milliseconds sRelayedMembersPollTimeout{2'500};
constexpr Milliseconds sMaxRelayedMembersAge{4'000};
// Time for which a peer is followed as a fallback before the store is tried again.
constexpr Milliseconds sFallbackFollowDuration{1'000};
// Time for which a preferred peer is followed before the source is chosen anew.
constexpr Milliseconds sPreferredFollowDuration{30'000};
// Delay between two unsolicited updates, so that changes are relayed in batches.
constexpr Milliseconds sRelayBatchDelay{10};
// Shorter values gain little from compression, which would run for each of their changes.
constexpr std::size_t sMinCompressedSize = std::size_t{4} * 1024;
// Many times the size of the largest record that the platform's store accepts.
constexpr std::size_t sMaxValueSize = std::size_t{16} * 1024 * 1024;
// A follower that does not receive a sent update within this time is considered lost. A large
// configuration needs some hundred milliseconds on the narrowest links.
constexpr std::chrono::milliseconds sFollowerSendTimeout{3'000};
// A removal read from the store is trusted only if no store read failed for this time.
constexpr Milliseconds sStoreFailureWindow{3'000};
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
constexpr std::chrono::milliseconds sRequestTimeout{2'000};
// A record may have been written at any time since the feed was last known to be complete.
// Up to this much of that time is attributed to the wait of the poll and left out of the
// record's age; the time limits for weights allow for this difference.
constexpr Milliseconds sMaxPollTimeDiscount{400};
// Age of records that existed at the first read. The actual age is unknown, so a long time is
// assumed.
constexpr Microseconds sUnknownAge = std::chrono::hours(24);

// Updates with records are sent without being asked for.
bool isAnswer(const wire::FollowUpdate &update)
{
    return update.records().empty() && !update.whole();
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
    mStore.setEraListener([this] { cancelOutdatedReads(); });
    mStartupDeadline = now() + sStartupTimeout;
    for (const Feed feed : {Feed::Operators, Feed::Replicas, Feed::Members}) {
        state(feed).readingOrder = {now(), sStartupReaderTimeout, sStartupTimeout};
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

// A process is a follower only once its feed is synced. Until then, a gateway waits for other
// readers for at most sStartupTimeout.
bool FeedService::isFollower(Feed feed) const
{
    return mReaders && state(feed).isSynced && !mReaders().isReader;
}

// Whether the store failed recently, here or at the followed process.
bool FeedService::isStoreDoubtful(Feed feed) const
{
    const FeedState &state = this->state(feed);
    const bool hasFailed
        = state.hasStoreFailed && now() - state.storeFailedAt <= sStoreFailureWindow;
    const bool isRestored = state.restoredAt && now() - *state.restoredAt <= sStoreFailureWindow;
    return hasFailed || isRestored || state.isRelayDoubtful;
}

bool FeedService::mayLackRecords(Feed feed) const
{
    const auto &restoredAt = state(feed).restoredAt;
    return restoredAt && now() - *restoredAt <= sRewriteTime;
}

bool FeedService::isRestoring() const
{
    return std::ranges::any_of(
        mFeeds, [](const FeedState &state) { return !state.isSynced && state.restoredAt; });
}

// Whether the table was read before the store's last return from a copy.
bool FeedService::isOutdated(Feed feed) const
{
    const FeedState &state = this->state(feed);
    return !state.isFirstSync && state.table.next().era < mStore.era();
}

bool FeedService::hasStoreFailed() const
{
    return std::ranges::any_of(mFeeds, [](const FeedState &state) {
        return state.hasStoreFailed && now() - state.storeFailedAt <= sReaderFailureWindow;
    });
}

void FeedService::setOperatorsPollTimeout(Milliseconds timeout)
{
    mOperatorsPollTimeout = std::clamp(timeout, sMinOperatorsPollTimeout, sMaxOperatorsPollTimeout);
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

// Keeps the age of a feed in use at or below about pollTimeout(), also when reads find records.
Milliseconds FeedService::nextPollTimeout(Feed feed) const
{
    const Milliseconds maxDuration = pollTimeout(feed);
    if (!state(feed).hasReturnedEarly) {
        return maxDuration;
    }
    const auto known = std::chrono::duration_cast<Milliseconds>(age(feed).value_or(maxDuration));
    return std::clamp(maxDuration - known, std::min(sMinPollTimeout, maxDuration), maxDuration);
}

// Age of records that have just been read. The store may have accepted them at any time since
// the feed was last complete. Most are written while the read waits, so up to
// sMaxPollTimeDiscount of the wait is subtracted.
Microseconds FeedService::ageOfRead(Feed feed, Milliseconds wait) const
{
    return std::max(Microseconds(0),
                    age(feed).value_or(sUnknownAge) - std::min(wait, sMaxPollTimeDiscount));
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

std::optional<Microseconds> FeedService::age(Feed feed) const
{
    const auto &completeAt = state(feed).completeAt;
    if (!completeAt) {
        return std::nullopt;
    }
    return now() - *completeAt;
}

FeedEvidence FeedService::evidence(Feed feed) const
{
    const FeedState &state = this->state(feed);
    FeedEvidence evidence;
    if (const auto known = age(feed)) {
        evidence.age = std::chrono::ceil<Milliseconds>(*known);
    }
    evidence.from = state.completeFrom;
    evidence.next = state.table.next();
    return evidence;
}

void FeedService::updateCompleteAt(Feed feed, Instant at, std::string_view from)
{
    FeedState &state = this->state(feed);
    if (!state.completeAt || at > *state.completeAt) {
        state.completeAt = at;
        state.completeFrom = from;
    }
}

// An agent that reaches none of its seeds eventually reads the members from the store, which
// tell it the nearby gateways. The later deadline gives it time to follow one of them: if all
// agents read the large feeds from the store at that point, they would saturate the links.
Instant FeedService::readingDeadline(Feed feed) const
{
    const ReadingOrder &order = state(feed).readingOrder;
    const bool needsMembers = mPreference == FeedPreference::Peers && feed != Feed::Members;
    return order.begunAt + order.timeout + (needsMembers ? order.readerTimeout : Milliseconds(0));
}

bool FeedService::isStartingUp(Feed feed) const
{
    return !mStopped && !state(feed).isSynced && now() < readingDeadline(feed);
}

// Whether the first data, from the store or a peer, can still be expected: no store read has
// failed.
bool FeedService::isAwaitingData(Feed feed) const
{
    const FeedState &state = this->state(feed);
    return !state.isSynced && !state.hasStoreFailed;
}

// When many processes start together, or the store returns from a copy, each would read the large
// feeds in full from the store, and the responses would saturate the links that callers use. The
// members' feed is small, is read at once, and determines who reads first.
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
    if (feed == Feed::Members && state(feed).isFirstSync) {
        co_return;
    }
    co_await waitForMembers(feed);
    while (isStartingUp(feed) && co_await followEarlierReaders(feed)) {
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
    while (isStartingUp(feed) && !mPeers().empty()) {
        co_await readPeer(feed);
        co_await delayStartup(feed);
    }
}

awaitable<void> FeedService::waitForMembers(Feed feed)
{
    while (feed != Feed::Members && isStartingUp(feed) && isAwaitingData(Feed::Members)) {
        co_await mChanged->waitUntil(steadyTime(readingDeadline(feed)));
    }
}

awaitable<void> FeedService::delayStartup(Feed feed)
{
    if (isStartingUp(feed)) {
        co_await sleepFor(jitter(sMinRetryDelay, sMaxRetryDelay));
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
    const ReadingOrder &order = state(feed).readingOrder;
    if (now() >= order.begunAt + order.readerTimeout * size) {
        co_return false;
    }
    for (const Tcp::endpoint &address : earlier) {
        const auto left = std::chrono::duration_cast<Milliseconds>(readingDeadline(feed) - now());
        if (!isStartingUp(feed) || co_await followPeer(feed, address, left)) {
            break;
        }
    }
    co_return true;
}

awaitable<void> FeedService::follow(Feed feed)
{
    co_await sleepFor(Milliseconds(0)); // lets services that start after this one add listeners
    co_await startUp(feed);
    while (!mStopped) {
        bool hasSucceeded = false;
        if (isOutdated(feed) && state(feed).isSynced) {
            beginRestore(feed);
            co_await startUp(feed);
        }
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

// Reads until the store fails or has returned from a copy, or once where that is enough;
// returns false if no read succeeded.
awaitable<bool> FeedService::readStore(Feed feed)
{
    const FeedState &state = this->state(feed);
    bool hasRead = false;
    // A process that prefers its peers tries them again after each read of the store.
    const bool isSingleRead = mPreference == FeedPreference::Peers;
    while (!mStopped) {
        if (!state.isSynced) {
            if (!co_await sync(feed)) {
                co_return hasRead;
            }
            hasRead = true;
        }
        if (!co_await readOnward(feed, isSingleRead ? sMinRetryDelay : nextPollTimeout(feed))) {
            co_return hasRead;
        }
        hasRead = true;
        if (isSingleRead || isOutdated(feed) || isFollower(feed)) {
            co_return true;
        }
    }
    co_return hasRead;
}

// Reads what follows the table; returns false if the store failed. Records of a later era than
// the table's are not applied, since the table may lack others before them.
awaitable<bool> FeedService::readOnward(Feed feed, Milliseconds wait)
{
    FeedState &state = this->state(feed);
    const LogPosition from = state.table.next();
    const Instant asked = now();
    state.isPolling = true;
    const auto batch = co_await mStore.read(feed, from.offset, wait);
    state.isPolling = false;
    if (!batch && isOutdated(feed)) {
        co_return true; // cancelled, or refused for an offset that is lost
    }
    if (!batch) {
        co_await handleFailedRead(feed, batch.error());
        co_return batch.error() == StoreError::Forgotten;
    }
    updateStoreState(feed, true, "read");
    state.isRefused = false;
    countRead(feed, "onward", batch->bytes);
    if (batch->era < from.era) {
        co_await sleepFor(sMinRetryDelay); // the answer was on its way when the store returned
    }
    if (batch->era != from.era) {
        co_return true;
    }
    applyBatch(feed, *batch, asked, wait);
    if (!batch->records.empty()) {
        wakeFollowers(feed);
        co_await sleepFor(readDelay(feed));
    }
    co_return true;
}

// Missed records are read from the end of the table. A full read after each failure would
// transfer everything again, for every gateway at once, just when the connection to the store
// is at its worst. It follows only if the store doesn't hold the end of the table.
awaitable<void> FeedService::handleFailedRead(Feed feed, StoreError error)
{
    FeedState &state = this->state(feed);
    const bool isRefused = error == StoreError::Forgotten;
    updateStoreState(feed, isRefused, storeErrorName(error));
    if (!isRefused) {
        co_return;
    }
    countRefusedRead(feed);
    state.isSynced = false;
    if (std::exchange(state.isRefused, true)) {
        co_await sleepFor(jitter(sMinRetryDelay, sMaxRetryDelay));
    }
}

void FeedService::applyBatch(Feed feed, const FeedBatch &batch, Instant asked, Milliseconds wait)
{
    FeedState &state = this->state(feed);
    const Microseconds age = ageOfRead(feed, wait);
    for (const FeedRecord &record : batch.records) {
        applyRead(feed, record, age);
    }
    state.table.setNext({batch.era, batch.next});
    // The response may have been in transit for long. It shows the store as of the time of the
    // request, or as of the end of the wait if nothing was found during all of it.
    state.hasReturnedEarly = !batch.records.empty() || now() < asked + wait;
    if (!batch.hasMore) {
        updateCompleteAt(feed, state.hasReturnedEarly ? asked : asked + wait, sStoreSource);
    }
    state.isRelayDoubtful = false;
}

awaitable<bool> FeedService::sync(Feed feed)
{
    FeedState &state = this->state(feed);
    const Instant asked = now();
    const auto batch = co_await mStore.newest(feed);
    if (!batch && batch.error() == StoreError::Restored) {
        co_return false;
    }
    if (!batch) {
        updateStoreState(feed, false, storeErrorName(batch.error()));
        co_return false;
    }
    updateStoreState(feed, true, "full read");
    countRead(feed, "full", batch->bytes);
    noteLogEnd(feed, batch->next);
    const bool isRestored = !state.isFirstSync && batch->era > state.table.next().era;
    if (isRestored) {
        state.restoredAt = now();
    }
    applyFullRead(feed, *batch);
    state.isFirstSync = false;
    state.isSynced = true;
    state.hasReturnedEarly = false;
    updateCompleteAt(feed, asked, sStoreSource);
    if (isRestored) {
        finishRestore(feed);
    }
    wakeFollowers(feed);
    co_return true;
}

void FeedService::applyFullRead(Feed feed, const FeedBatch &batch)
{
    const LoopStep step("taking a full read");
    FeedState &state = this->state(feed);
    // At the first read, it is unknown when the records were written.
    const Microseconds age = state.isFirstSync ? sUnknownAge : ageOfRead(feed, Milliseconds(0));
    const LogPosition end{batch.era, batch.next};
    std::set<std::string_view> present;
    for (const FeedRecord &record : batch.records) {
        present.insert(record.key);
        const bool isRevived = state.table.isRevival(record);
        if (applyToTable(state, record)) {
            state.learnedAt[record.key] = now() - std::min(age, sUnknownAge);
            state.origins[record.key] = RecordOrigin();
            notifyListeners(feed, record, age, isRevived);
        }
    }
    announceRemovals(feed, present, end, age);
    state.table.setNext(end);
    state.removalsKnownFrom = std::max(state.removalsKnownFrom, end);
}

// Announces the removal of the keys that a read of all keys did not return. A replica whose
// record the store has lost may write it again, so its removal counts from now.
void FeedService::announceRemovals(Feed feed, const std::set<std::string_view> &present,
                                   LogPosition end, Microseconds age)
{
    FeedState &state = this->state(feed);
    for (const RemovedKey &removed : state.table.removeAbsent(present, end)) {
        const Microseconds removedAgo = removed.isLost ? Microseconds(0) : age;
        state.learnedAt[removed.key] = now() - std::min(removedAgo, sUnknownAge);
        state.origins[removed.key] = RecordOrigin();
        notifyListeners(feed, state.table.all().find(removed.key)->second, removedAgo);
    }
}

// A read may wait at an offset of an earlier era for its whole timeout. The first answer of the
// new era, to whichever call, ends it.
void FeedService::cancelOutdatedReads()
{
    for (const Feed feed : {Feed::Operators, Feed::Replicas, Feed::Members}) {
        if (state(feed).isPolling && isOutdated(feed)) {
            mStore.cancelRead(feed);
        }
    }
}

// The store has returned from a copy: offsets were given out again, and records written after
// the copy are lost.
void FeedService::beginRestore(Feed feed)
{
    FeedState &state = this->state(feed);
    state.isSynced = false;
    state.isRefused = false;
    state.restoredAt = now();
    state.readingOrder = {now(), sRestoreReaderTimeout, sRestoreTimeout};
    logLine(LogLevel::Warning, "feed-outdated",
            {{"feed", feedName(feed)},
             {"era", state.table.next().era},
             {"offset", state.table.nextOffset()},
             {"storeEra", mStore.era()}});
}

void FeedService::finishRestore(Feed feed)
{
    FeedState &state = this->state(feed);
    ++state.changeCount; // followers need the new positions, also if no value has changed
    logLine(LogLevel::Warning, "feed-restored",
            {{"feed", feedName(feed)},
             {"era", state.table.next().era},
             {"offset", state.table.nextOffset()},
             {"missing", state.table.missing().size()}});
    for (const RestoreListener &listener : state.restoreListeners) {
        listener(state.table.missing());
    }
}

void FeedService::updateStoreState(Feed feed, bool isReached, std::string_view reason)
{
    FeedState &state = this->state(feed);
    if (!isReached) {
        state.hasStoreFailed = true;
        state.storeFailedAt = now();
        mChanged->notify(); // other feeds may wait for the data of this one
    }
    if (state.isStoreReached == isReached) {
        return;
    }
    state.isStoreReached = isReached;
    logLine(isReached ? LogLevel::Info : LogLevel::Warning,
            isReached ? "store-regained" : "store-lost",
            {{"feed", feedName(feed)}, {"why", reason}, {"offset", state.table.nextOffset()}});
}

void FeedService::noteLogEnd(Feed feed, std::uint64_t end)
{
    FeedState &state = this->state(feed);
    const std::uint64_t expected = state.table.nextOffset();
    const bool isShortened = !isOutdated(feed) && end < expected;
    if (isShortened && !state.isLogShortened) {
        logLine(LogLevel::Warning, "store-log-shortened",
                {{"feed", feedName(feed)}, {"end", end}, {"expected", expected}});
    }
    state.isLogShortened = isShortened;
}

void FeedService::countRefusedRead(Feed feed)
{
    if (mMetrics != nullptr) {
        mMetrics->count("store_reads_refused", std::string(feedName(feed)));
    }
}

void FeedService::countRead(Feed feed, std::string_view kind, std::uint64_t bytes)
{
    if (mMetrics != nullptr) {
        mMetrics->count("store_bytes", std::string(feedName(feed)) + ", " + std::string(kind),
                        bytes);
    }
}

// Replicas write a heartbeat about every second. With hundreds of replicas, relaying these
// records to every process would load a box more than everything else it does.
bool FeedService::isUnchanged(Feed feed, const FeedRecord &record) const
{
    const FeedState &state = this->state(feed);
    if (!state.isEquivalent || !record.value) {
        return false;
    }
    const auto known = state.table.all().find(record.key);
    const bool hasValue = known != state.table.all().end() && known->second.value;
    return hasValue && known->second.era == record.era && known->second.offset < record.offset
        && state.isEquivalent(known->second, record);
}

// Returns whether the record is new. A record that was written again after the store had lost it is
// not, but followers consider it missing until they learn of its new position.
bool FeedService::applyToTable(FeedState &state, const FeedRecord &record)
{
    const bool wasMissing = state.table.missing().contains(record.key);
    const bool isNew = state.table.apply(record);
    const bool isWrittenAgain = wasMissing && !state.table.missing().contains(record.key);
    state.changeCount += isWrittenAgain && !isNew ? 1 : 0;
    return isNew;
}

// Applies a record from the store's log. A log grows at its end, so a record of an earlier
// offset than the known one shows that the store returned from a copy without a new era.
void FeedService::applyRead(Feed feed, const FeedRecord &record, Microseconds age)
{
    const auto &records = state(feed).table.all();
    const auto known = records.find(record.key);
    const bool isComparable = known != records.end() && known->second.era == record.era;
    if (isComparable && known->second.offset > record.offset) {
        logLine(LogLevel::Warning, "record-passed-over",
                {{"feed", feedName(feed)},
                 {"key", record.key},
                 {"offset", record.offset},
                 {"known", known->second.offset}});
    }
    apply(feed, record, age);
}

void FeedService::apply(Feed feed, const FeedRecord &record, Microseconds age, RecordOrigin origin,
                        bool isRevived)
{
    FeedState &state = this->state(feed);
    if (isUnchanged(feed, record) || !applyToTable(state, record)) {
        return;
    }
    state.learnedAt[record.key] = now() - std::min(age, sUnknownAge);
    state.origins[record.key] = std::move(origin);
    notifyListeners(feed, record, age, isRevived);
}

// Changes of a record in quick succession are relayed as the last one only. A record that is
// equivalent to the known one may thus have replaced a different value: its offset must be
// stored, or a process that knows the other value would never learn that it is outdated.
void FeedService::applyRelayed(Feed feed, const FeedRecord &record, Microseconds age,
                               RecordOrigin origin, bool isCopy)
{
    FeedState &state = this->state(feed);
    const bool isRevived = isCopy && state.table.isRevival(record);
    if (isUnchanged(feed, record)) {
        // Followers of this process may know the intermediate value.
        state.changeCount += state.table.apply(record) ? 1 : 0;
        return;
    }
    apply(feed, record, age, std::move(origin), isRevived);
}

void FeedService::notifyListeners(Feed feed, const FeedRecord &record, Microseconds age,
                                  bool isRevived)
{
    FeedState &state = this->state(feed);
    ++state.changeCount;
    const FeedChange change{record, age, !isStoreDoubtful(feed), state.origins[record.key],
                            isRevived};
    for (const Listener &listener : state.listeners) {
        listener(change);
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
    const bool isPreferred = mPreference == FeedPreference::Peers;
    const bool hasSucceeded = co_await followPeer(
        feed, address, isPreferred ? sPreferredFollowDuration : sFallbackFollowDuration);
    mPeerIndex = hasSucceeded ? 0 : mPeerIndex + 1;
    co_return hasSucceeded;
}

// Follows one of the readers of the store until it stalls or its data becomes too old; the
// caller then reads the store itself.
awaitable<bool> FeedService::followReader(Feed feed)
{
    const std::vector<Tcp::endpoint> readers = mReaders().others;
    if (readers.empty()) {
        co_return false;
    }
    // The hash spreads the followers over the readers; each failure selects another reader.
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

// Returns false if the peer could not be reached, stopped responding, or has outdated data.
awaitable<bool> FeedService::followPeer(Feed feed, Tcp::endpoint address, Milliseconds maxDuration)
{
    const PeerStreamPtr stream = co_await mHub->open(address, std::string(sFollowPath));
    if (!stream) {
        co_return false;
    }
    wire::FollowRequest request;
    request.set_feed(static_cast<std::uint32_t>(feed));
    request.set_box(mBox);
    request.set_known_before(knownBefore(feed).offset);
    request.set_known_era(knownBefore(feed).era);
    request.set_accepts_unchanged(true);
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
        // A long update needs several round trips of the stream's window. If it were requested
        // again while it arrives, it would never complete and would saturate the link. Received
        // bytes therefore count as a response; the sender ends transfers that take too long.
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
            continue; // the next query is due
        }
        const bool isAwaitingData
            = update && *update && ((*update)->waiting() || isOfEarlierEra(feed, **update));
        if (isAwaitingData && isStartingUp(feed)) {
            if (isAnswer(**update)) {
                queries.answered();
            }
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

// Returns nothing if the value cannot be decompressed.
std::optional<FeedRecord> FeedService::readRelayed(Feed feed,
                                                   const wire::RelayedRecord &relayed) const
{
    FeedRecord record{relayed.key(), std::nullopt, relayed.offset(), relayed.era()};
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

// Whether the update shows the store before its last return from a copy. Records of such an
// update may be lost, and its age says nothing about the present store.
bool FeedService::isOfEarlierEra(Feed feed, const wire::FollowUpdate &update) const
{
    const std::uint64_t known = state(feed).table.next().era;
    const std::uint64_t needed = isStartingUp(feed) ? std::max(known, mStore.era()) : known;
    return update.next_era() < needed;
}

// Returns false if the update holds an unreadable record. The end of the update is then ignored,
// so that the same records are read from the store.
bool FeedService::applyUpdate(Feed feed, const wire::FollowUpdate &update, PendingQueries &queries,
                              const Tcp::endpoint &from)
{
    const LoopStep step("taking an update");
    FeedState &state = this->state(feed);
    state.isRelayDoubtful = update.store_doubtful();
    // The ages in the update are as of its sending. It may have been in transit for long, so
    // they are counted from the last query that the sender had received by then.
    const bool hasRecords = !isAnswer(update);
    const std::optional<Instant> knownAsOf = hasRecords ? queries.heard() : queries.answered();
    const bool isRestored = !state.isFirstSync && update.next_era() > state.table.next().era;
    if (isRestored && !update.whole()) {
        return false;
    }
    if (isRestored) {
        state.restoredAt = now();
    }
    if (hasRecords && !applyRecords(feed, update, now() - *knownAsOf, from)) {
        return false;
    }
    // Each update holds everything that the peer knows and had not sent yet, so this table now
    // reaches as far as the peer's.
    state.table.setNext({update.next_era(), update.next_offset()});
    if (update.complete()) {
        state.isSynced = true;
        state.isFirstSync = false;
    }
    if (knownAsOf) {
        updateCompleteAt(feed, *knownAsOf - Milliseconds(update.age_ms()), endpointText(from));
    }
    if (isRestored) {
        finishRestore(feed);
    }
    if (hasRecords) {
        wakeFollowers(feed);
    }
    return true;
}

// Applies the records of an update that was sent @p elapsed ago.
bool FeedService::applyRecords(Feed feed, const wire::FollowUpdate &update, Microseconds elapsed,
                               const Tcp::endpoint &from)
{
    FeedState &state = this->state(feed);
    const bool isCopy = update.whole() && update.next_era() > state.table.next().era;
    for (const wire::RelayedRecord &relayed : update.records()) {
        if (relayed.unchanged()) {
            if (!state.table.move(relayed.key(), {relayed.era(), relayed.offset()})) {
                return false;
            }
            ++state.changeCount; // followers need the new position
            continue;
        }
        const auto record = readRelayed(feed, relayed);
        if (!record) {
            return false;
        }
        applyRelayed(feed, *record, elapsed + Milliseconds(relayed.age_ms()),
                     {endpointText(from), relayed.hops() + 1}, isCopy);
    }
    if (update.whole()) {
        applyFullUpdate(feed, update, elapsed);
    }
    return true;
}

// Removes the keys that are missing from a full update. The store no longer held them at a
// full read, so no update reports their removal.
void FeedService::applyFullUpdate(Feed feed, const wire::FollowUpdate &update, Microseconds age)
{
    FeedState &state = this->state(feed);
    const LogPosition end{update.next_era(), update.next_offset()};
    std::set<std::string_view> present;
    for (const wire::RelayedRecord &relayed : update.records()) {
        present.insert(relayed.key());
    }
    announceRemovals(feed, present, end, age);
    for (const wire::RelayedRecord &relayed : update.records()) {
        if (relayed.missing()) {
            state.table.noteMissing(relayed.key());
        }
    }
    state.removalsKnownFrom = std::max(state.removalsKnownFrom, end);
}

// A configuration of some thousand routes has some hundred kilobytes. Relaying it uncompressed
// to a dozen followers occupies the link of the reader for about a second, and callers'
// requests share that link. Compression reduces it to a tenth.
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
    if (cached.bytes.empty() || cached.position != record.position()) {
        const LoopStep step("compressing a record");
        cached = {record.position(), compressed(*record.value)};
    }
    relayed.set_compressed(cached.bytes);
}

// A table that has never been complete may lack records before its end.
LogPosition FeedService::knownBefore(Feed feed) const
{
    const FeedState &state = this->state(feed);
    return state.isFirstSync ? LogPosition() : state.table.next();
}

// Collects the records that have not been sent to the follower yet. A full update also names the
// other keys, since the follower removes those that it doesn't name.
wire::FollowUpdate FeedService::newRecords(Follower &follower, bool isFullUpdate)
{
    const LoopStep step("building an update for a follower");
    FeedState &state = this->state(follower.feed);
    wire::FollowUpdate update;
    for (const auto &[key, record] : state.table.all()) {
        const bool isHeld = follower.sent.holds(record, state.table.movedFrom(key));
        const bool isMoved
            = isHeld && follower.acceptsUnchanged && !follower.sent.holds(record, std::nullopt);
        follower.sent.noteSent(record);
        if (isHeld && !isMoved && !(isFullUpdate && record.value)) {
            continue;
        }
        wire::RelayedRecord &relayed = *update.add_records();
        relayed.set_key(key);
        relayed.set_offset(record.offset);
        relayed.set_era(record.era);
        relayed.set_missing(state.table.missing().contains(key));
        if (isHeld) {
            relayed.set_unchanged(true);
            continue;
        }
        relayed.set_removed(!record.value);
        setRelayedValue(state, record, relayed);
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
    update.set_next_era(state(feed).table.next().era);
    update.set_complete(state(feed).isSynced);
    update.set_store_doubtful(isStoreDoubtful(feed));
}

// Sends new records before the answers to queries, so that an answer covers everything known
// here. Returns false if there is no data to send and none can be expected soon.
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

// Tells the follower that there is no data yet; returns false if none can be expected soon.
bool FeedService::sendWaiting(Follower &follower) const
{
    wire::FollowUpdate update;
    update.set_waiting(true);
    answerQueries(follower, update);
    return isAwaitingData(follower.feed);
}

// This process does not know of removals before its own full read. A follower whose table ends
// before that read is therefore sent all keys. A follower that knows a later era than this
// process has no use for its records.
wire::FollowUpdate FeedService::buildUpdate(Follower &follower)
{
    const FeedState &state = this->state(follower.feed);
    SentRecords &sent = follower.sent;
    if (follower.sentChangeCount == state.changeCount) {
        return {};
    }
    follower.sentChangeCount = state.changeCount;
    if (sent.knownBefore().era > state.table.next().era) {
        return {};
    }
    const bool isFullUpdate = state.isSynced && sent.knownBefore() < state.removalsKnownFrom;
    if (isFullUpdate && !follower.acceptsUnchanged) {
        sent.clear();
    }
    wire::FollowUpdate update = newRecords(follower, isFullUpdate);
    update.set_whole(isFullUpdate);
    if (state.isSynced) {
        sent.setKnownBefore(state.table.next());
    }
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
        // Waiting for the transfer merges changes on a slow link: only the newest is sent.
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
    // Sending the whole table on each new stream would saturate the links that callers use.
    const LogPosition knownBefore{(*request)->known_era(), (*request)->known_before()};
    const auto follower = std::make_shared<Follower>(Follower{stream,
                                                              static_cast<Feed>((*request)->feed()),
                                                              SentRecords(knownBefore),
                                                              (*request)->accepts_unchanged(),
                                                              {},
                                                              1,
                                                              Signal(executor)});
    mFollowers.insert(follower);
    asio::co_spawn(executor, receiveQueries(follower), asio::detached);
    co_await sendUpdates(follower);
    mFollowers.erase(follower);
    stream->reset();
}

} // namespace Loom
