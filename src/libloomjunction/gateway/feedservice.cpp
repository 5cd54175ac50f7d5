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
constexpr Milliseconds sOperatorsMostWait{2'000};
constexpr Milliseconds sOperatorsLeastWait{200};
constexpr Milliseconds sReplicasWait{2'000};
constexpr Milliseconds sMembersWait{8'000};
// Records that come close together are read in one call.
constexpr Milliseconds sOperatorsPause{20};
constexpr Milliseconds sMembersPause{150};
constexpr Milliseconds sRetryLeast{100};
constexpr Milliseconds sRetryMost{400};
// A follower asks this often how old the other's knowledge is, and a silence is
// longer. Whoever follows a reader learns nothing while that stands still, and
// draining replicas must not be used for two seconds: half of that is for noticing.
constexpr Milliseconds sRelayAsk{300};
constexpr Milliseconds sRelaySilence{900};
// A process that asks nothing for so long is lost, and nothing is kept for it.
constexpr std::chrono::milliseconds sFollowerSilence{3'000};
// A reader with followers asks the store this often whether all is well, and a
// follower leaves one whose last answer is older. The age told by one that follows the
// reader is the wait, a question's turn and two ways at most.
constexpr Milliseconds sRelayedWait{500};
constexpr Milliseconds sRelayedAge{1'000};
// A read that came back early tells only what was there when it was asked, so the next
// one is shorter, by as much as the knowledge is old; each call to the store has a price.
constexpr Milliseconds sLeastWait{50};
// Members tell each other of their state; their records need not be as fresh.
constexpr Milliseconds sRelayedMembersWait{2'500};
constexpr Milliseconds sRelayedMembersAge{4'000};
// While a peer is followed, the store is tried again after this time.
constexpr Milliseconds sRelayTurn{1'000};
// Following a peer by choice, the store is not tried at all for this long.
constexpr Milliseconds sRelayLongTurn{30'000};
constexpr Milliseconds sRelayBatch{10};
// Shorter values gain little, and would be compressed for each change of theirs.
constexpr std::size_t sLeastCompressed = std::size_t{4} * 1024;
// Many times what the platform's store takes for one record.
constexpr std::size_t sMostValue = std::size_t{16} * 1024 * 1024;
// A follower that takes nothing for so long is lost; a large configuration needs
// some hundred milliseconds on the narrowest links.
constexpr std::chrono::milliseconds sTakeTime{3'000};
// The store's word that a record is gone counts only when it was well for so long.
constexpr Milliseconds sStoreTrust{3'000};
// Whose reads failed more lately does not read for others, if anybody else can.
constexpr Milliseconds sReaderTrust{5'000};
// A process that begins waits so long for others that read before it, and for each of
// them. Longer than they need for a full read (0.4 MB, 0.2 s over 27 Mbit/s, reckoned),
// and so short that a begin without them still ends in good time.
constexpr Milliseconds sBeginTime{2'000};
constexpr Milliseconds sBeginTurn{1'000};
constexpr std::chrono::milliseconds sRequestTimeout{2'000};
// A record may have been written at any time since the feed was last known to be
// complete. So much of that counts as the read's quiet wait; bounds on weights leave room
// for as much.
constexpr Milliseconds sUsualHearing{400};
// Of records that were there at the first read: long ago, as far as is known.
constexpr Microseconds sUnknownAge = std::chrono::hours(24);

// Orders the records of one key. A removal may share its offset with the record that it
// takes away.
std::uint64_t rankOf(const FeedRecord &record)
{
    return record.offset * 2 + (record.value ? 1 : 2);
}

// Whoever knows all before an offset may miss a removal that a full read gave the
// offset of the last record before it.
std::uint64_t lastKnownRank(std::uint64_t knownBefore)
{
    return knownBefore == 0 ? 0 : knownBefore * 2 - 1;
}

Milliseconds jitter(Milliseconds least, Milliseconds most)
{
    static std::mt19937 random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> spread(least.count(), most.count());
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
    mBeginUntil = now() + sBeginTime;
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

// Once it knows everything: until then a gateway waits for no more than sBeginTime.
bool FeedService::isFollower(Feed feed) const
{
    return mReaders && state(feed).isSynced && !mReaders().isReader;
}

// The store failed of late, or the process that is followed says that its did.
bool FeedService::isDoubtful(Feed feed) const
{
    const FeedState &state = this->state(feed);
    const bool hasFailed = state.hasStoreFailed && now() - state.storeFailedAt <= sStoreTrust;
    return hasFailed || state.isRelayDoubtful;
}

bool FeedService::hasStoreFailed() const
{
    return std::ranges::any_of(mFeeds, [](const FeedState &state) {
        return state.hasStoreFailed && now() - state.storeFailedAt <= sReaderTrust;
    });
}

void FeedService::setOperatorsWait(Milliseconds wait)
{
    mOperatorsWait = std::clamp(wait, sOperatorsLeastWait, sOperatorsMostWait);
}

Milliseconds FeedService::waitOf(Feed feed) const
{
    if (mReaders && mReaders().isRelayed) {
        const Milliseconds wait = feed == Feed::Members ? sRelayedMembersWait : sRelayedWait;
        return feed == Feed::Operators ? std::min(wait, mOperatorsWait) : wait;
    }
    switch (feed) {
    case Feed::Operators:
        return mOperatorsWait;
    case Feed::Replicas:
        return sReplicasWait;
    case Feed::Members:
        return sMembersWait;
    }
    return sMembersWait;
}

// The knowledge of a feed in use is at most about waitOf() old, whatever was found.
Milliseconds FeedService::nextWait(Feed feed) const
{
    const Milliseconds longest = waitOf(feed);
    if (!state(feed).wasEarly) {
        return longest;
    }
    const auto known = std::chrono::duration_cast<Milliseconds>(age(feed).value_or(longest));
    return std::clamp(longest - known, std::min(sLeastWait, longest), longest);
}

// Of records that a read gave just now: the store may have taken them at any time since
// the feed was last complete. Most come while the read waits, so its wait is left out.
Microseconds FeedService::ageOfRead(Feed feed, Milliseconds wait) const
{
    return std::max(Microseconds(0),
                    age(feed).value_or(sUnknownAge) - std::min(wait, sUsualHearing));
}

// Between two reads that found something.
Milliseconds FeedService::pauseOf(Feed feed) const
{
    switch (feed) {
    case Feed::Operators:
        return sOperatorsPause;
    case Feed::Replicas:
        return mReplicasPause;
    case Feed::Members:
        return sMembersPause;
    }
    return sOperatorsPause;
}

std::optional<Microseconds> FeedService::age(Feed feed) const
{
    const auto &completeAt = state(feed).completeAt;
    if (!completeAt) {
        return std::nullopt;
    }
    return now() - *completeAt;
}

void FeedService::noteComplete(Feed feed, Instant at)
{
    std::optional<Instant> &completeAt = state(feed).completeAt;
    completeAt = std::max(completeAt.value_or(at), at);
}

// An agent none of whose seeds answers learns the members from the store at last, and
// who is near from them: all agents reading the large feeds then would fill the links.
Instant FeedService::beginUntil(Feed feed) const
{
    const bool needsMembers = mPreference == FeedPreference::Peers && feed != Feed::Members;
    return needsMembers ? mBeginUntil + sBeginTurn : mBeginUntil;
}

bool FeedService::isBeginning(Feed feed) const
{
    return !mStopped && !state(feed).isSynced && now() < beginUntil(feed);
}

// For the store or for another process: neither has failed it yet.
bool FeedService::isWaiting(Feed feed) const
{
    const FeedState &state = this->state(feed);
    return !state.isSynced && !state.hasStoreFailed;
}

// Where many begin together, each would ask the store for the large feeds in full, and
// their answers fill the links that callers use. The members' feed is small and tells
// who reads first.
awaitable<void> FeedService::begin(Feed feed)
{
    const bool knowsOthers = mReaders || mPeers;
    if (!knowsOthers) {
        co_return;
    }
    if (mPreference == FeedPreference::Peers) {
        co_await beginWithPeers(feed);
        co_return;
    }
    if (feed == Feed::Members) {
        co_return;
    }
    co_await waitForMembers(feed);
    while (isBeginning(feed) && co_await followEarlier(feed)) {
        co_await pauseBeginning(feed);
    }
}

// An agent asks gateways alone; one that does not answer may only begin a moment later.
awaitable<void> FeedService::beginWithPeers(Feed feed)
{
    if (feed != Feed::Members) {
        co_await waitForMembers(feed); // they tell which gateways are near
    }
    while (isBeginning(feed) && !mPeers().empty()) {
        co_await readPeer(feed);
        co_await pauseBeginning(feed);
    }
}

awaitable<void> FeedService::waitForMembers(Feed feed)
{
    while (isBeginning(feed) && isWaiting(Feed::Members)) {
        co_await mChanged->waitUntil(steadyTime(beginUntil(feed)));
    }
}

awaitable<void> FeedService::pauseBeginning(Feed feed)
{
    if (isBeginning(feed)) {
        co_await sleepFor(jitter(sRetryLeast, sRetryMost));
    }
}

// Follows whoever reads before this gateway by plan; false when it is its own turn.
awaitable<bool> FeedService::followEarlier(Feed feed)
{
    if (!mReaders) {
        co_return false;
    }
    const std::vector<Tcp::endpoint> earlier = mReaders().earlier;
    const auto size = static_cast<std::int64_t>(earlier.size());
    const Instant beganAt = mBeginUntil - sBeginTime;
    if (now() >= beganAt + sBeginTurn * size) {
        co_return false;
    }
    for (const Tcp::endpoint &address : earlier) {
        const auto left = std::chrono::duration_cast<Milliseconds>(mBeginUntil - now());
        if (!isBeginning(feed) || co_await followPeer(feed, address, left)) {
            break;
        }
    }
    co_return true;
}

awaitable<void> FeedService::follow(Feed feed)
{
    co_await sleepFor(Milliseconds(0)); // the services that start after this one listen
    co_await begin(feed);
    while (!mStopped) {
        bool good = false;
        if (isFollower(feed) && co_await followReader(feed)) {
            continue;
        }
        if (mPreference == FeedPreference::Store) {
            good = co_await readStore(feed) || co_await readPeer(feed);
        } else {
            good = co_await readPeer(feed) || co_await readStore(feed);
        }
        if (!good) {
            co_await sleepFor(jitter(sRetryLeast, sRetryMost));
        }
    }
}

// Reads on until the store fails; false when it gave nothing at all.
awaitable<bool> FeedService::readStore(Feed feed)
{
    FeedState &state = this->state(feed);
    bool gaveSomething = false;
    // A process that prefers its peers uses the store for one read at a time.
    const bool isOnce = mPreference == FeedPreference::Peers;
    while (!mStopped) {
        if (!state.isSynced) {
            if (!co_await sync(feed)) {
                co_return gaveSomething;
            }
            gaveSomething = true;
        }
        const std::uint64_t from = state.book.nextOffset();
        const Milliseconds wait = isOnce ? sRetryLeast : nextWait(feed);
        const Instant asked = now();
        const auto batch = co_await mStore.read(feed, from, wait);
        if (!batch) {
            noteStore(feed, batch.error() == StoreError::Forgotten, storeErrorName(batch.error()));
            // Whatever was missed is read from where the book ends: a full read after
            // each failure asks for everything again just when the way to the store is
            // worst, from every gateway at once.
            if (batch.error() == StoreError::Forgotten) {
                state.isSynced = false;
                continue;
            }
            co_return gaveSomething;
        }
        gaveSomething = true;
        noteStore(feed, true, "read");
        const Microseconds age = ageOfRead(feed, wait);
        countRead(feed, "onward", batch->bytes);
        for (const FeedRecord &record : batch->records) {
            apply(feed, record, age);
        }
        state.book.setNextOffset(batch->next);
        // The answer may have been on its way for long: the store looked at the question
        // at the earliest, or after the wait if it found nothing in all of it.
        const bool hasFound = !batch->records.empty();
        state.wasEarly = hasFound || now() < asked + wait;
        if (!batch->hasMore) {
            noteComplete(feed, state.wasEarly ? asked : asked + wait);
        }
        state.isRelayDoubtful = false;
        if (hasFound) {
            wakeFollowers(feed);
            co_await sleepFor(pauseOf(feed));
        }
        if (isOnce || isFollower(feed)) {
            co_return true;
        }
    }
    co_return gaveSomething;
}

awaitable<bool> FeedService::sync(Feed feed)
{
    FeedState &state = this->state(feed);
    const Instant asked = now();
    const auto batch = co_await mStore.newest(feed);
    if (!batch) {
        noteStore(feed, false, storeErrorName(batch.error()));
        co_return false;
    }
    noteStore(feed, true, "full read");
    countRead(feed, "full", batch->bytes);
    // How long ago old records were written is not known at the first read.
    const LoopStep step("taking a full read");
    const Microseconds age = state.isFirst ? sUnknownAge : ageOfRead(feed, Milliseconds(0));
    for (const std::string &key : state.book.applySnapshot(batch->records, batch->next)) {
        state.learnedAt[key] = now() - std::min(age, sUnknownAge);
        state.ways[key] = RecordWay();
        announce(feed, state.book.all().find(key)->second, age);
    }
    state.removalsFrom = batch->next;
    state.isFirst = false;
    state.isSynced = true;
    state.wasEarly = false;
    noteComplete(feed, asked);
    wakeFollowers(feed);
    co_return true;
}

void FeedService::noteStore(Feed feed, bool reached, std::string_view why)
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
            {{"feed", feedName(feed)}, {"why", why}, {"offset", state.book.nextOffset()}});
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
bool FeedService::isPassedOver(Feed feed, const FeedRecord &record) const
{
    const FeedState &state = this->state(feed);
    if (!state.isSame || !record.value) {
        return false;
    }
    const auto known = state.book.all().find(record.key);
    const bool hasValue = known != state.book.all().end() && known->second.value;
    return hasValue && known->second.offset < record.offset && state.isSame(known->second, record);
}

void FeedService::apply(Feed feed, const FeedRecord &record, Microseconds age, RecordWay way)
{
    FeedState &state = this->state(feed);
    if (isPassedOver(feed, record) || !state.book.apply(record)) {
        return;
    }
    state.learnedAt[record.key] = now() - std::min(age, sUnknownAge);
    state.ways[record.key] = std::move(way);
    announce(feed, record, age);
}

// Changes that came together are relayed as the last of them. One that says what is
// known may have had another between: its offset must be kept, or whoever heard of the
// other would never learn that it holds no more.
void FeedService::applyRelayed(Feed feed, const FeedRecord &record, Microseconds age, RecordWay way)
{
    if (isPassedOver(feed, record)) {
        // Followers of this process may know what came between.
        state(feed).changes += state(feed).book.apply(record) ? 1 : 0;
        return;
    }
    apply(feed, record, age, std::move(way));
}

void FeedService::announce(Feed feed, const FeedRecord &record, Microseconds age)
{
    FeedState &state = this->state(feed);
    ++state.changes;
    const FeedChange change{record, age, !isDoubtful(feed), state.ways[record.key]};
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
    const Tcp::endpoint &address = peers[mTurn % peers.size()];
    const bool isPreferred = mPreference == FeedPreference::Peers;
    const bool good = co_await followPeer(feed, address, isPreferred ? sRelayLongTurn : sRelayTurn);
    mTurn = good ? 0 : mTurn + 1;
    co_return good;
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
    const Tcp::endpoint &address = readers[(own + mTurn) % readers.size()];
    const bool good = co_await followPeer(feed, address, sRelayLongTurn);
    if (!good) {
        ++mTurn;
        logLine(LogLevel::Warning, "reader-lost",
                {{"feed", feedName(feed)}, {"reader", endpointText(address)}});
    }
    co_return good;
}

// False when the peer could not be reached, went silent, or knows nothing new itself.
awaitable<bool> FeedService::followPeer(Feed feed, Tcp::endpoint address, Milliseconds longest)
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
    const Milliseconds mostAge = feed == Feed::Members ? sRelayedMembersAge : sRelayedAge;
    const Instant until = now() + longest;
    PendingQueries questions(now());
    stream->send(request);
    Instant askedAt = now();
    Instant heardAt = now();
    std::uint64_t bytes = 0;
    bool heard = false;
    while (!mStopped && now() < until) {
        // A long update needs several turns of the stream's window. Asked for anew while
        // it arrives, it would never come and fill the way; its sender ends what takes
        // too long.
        if (stream->bytesIn() != bytes) {
            bytes = stream->bytesIn();
            heardAt = now();
        }
        if (now() >= askedAt + sRelayAsk) {
            askedAt = now();
            questions.ask(askedAt);
            stream->send(wire::FollowRequest());
        }
        const Instant lostAt = heardAt + sRelaySilence;
        const auto deadline = steadyTime(std::min(lostAt, askedAt + sRelayAsk));
        const auto update = co_await stream->receiveMessage<wire::FollowUpdate>(deadline);
        if (!update && update.error() == PeerError::TimedOut && now() < lostAt) {
            continue; // the next question is due
        }
        const bool isWaiting = update && *update && (*update)->waiting();
        if (isWaiting && isBeginning(feed)) {
            questions.answered();
            heardAt = now();
            heard = true;
            continue;
        }
        const bool isGood
            = !isWaiting && update && *update && takeUpdate(feed, **update, questions, address);
        if (!isGood || (asFollower && Milliseconds((*update)->age_ms()) > mostAge)) {
            stream->reset();
            co_return false;
        }
        heard = true;
        heardAt = now();
        if (asFollower && !isFollower(feed)) {
            break; // it is this process's turn to read
        }
    }
    stream->reset();
    co_return heard;
}

// Nothing where it holds something that cannot be read.
std::optional<FeedRecord> FeedService::readRelayed(Feed feed,
                                                   const wire::RelayedRecord &relayed) const
{
    FeedRecord record{relayed.key(), std::nullopt, relayed.offset()};
    if (!relayed.compressed().empty()) {
        auto value = decompressed(relayed.compressed(), sMostValue);
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
bool FeedService::takeUpdate(Feed feed, const wire::FollowUpdate &update, PendingQueries &questions,
                             const Tcp::endpoint &from)
{
    const LoopStep step("taking an update");
    FeedState &state = this->state(feed);
    state.isRelayDoubtful = update.store_doubtful();
    // Ages were told when the update was sent. It may have been on its way for long, so
    // they count from the last question that the sender had heard by then.
    const bool isAnswer = update.records().empty() && !update.whole();
    const std::optional<Instant> saidAt = isAnswer ? questions.answered() : questions.heard();
    for (const wire::RelayedRecord &relayed : update.records()) {
        const auto record = readRelayed(feed, relayed);
        if (!record) {
            return false;
        }
        applyRelayed(feed, *record, now() - *saidAt + Milliseconds(relayed.age_ms()),
                     {endpointText(from), relayed.hops() + 1});
    }
    if (update.whole()) {
        takeWhole(feed, update, now() - *saidAt);
    }
    // Each update holds all that the other process knows and had not told yet, so
    // this book now reaches as far as its own.
    if (update.next_offset() > state.book.nextOffset()) {
        state.book.setNextOffset(update.next_offset());
    }
    if (update.complete()) {
        state.isSynced = true;
        state.isFirst = false;
    }
    if (saidAt) {
        noteComplete(feed, *saidAt - Milliseconds(update.age_ms()));
    }
    if (!isAnswer) {
        wakeFollowers(feed);
    }
    return true;
}

// Whatever the store held no more when it was read in full is gone, although nobody
// tells of its removal.
void FeedService::takeWhole(Feed feed, const wire::FollowUpdate &update, Microseconds age)
{
    FeedState &state = this->state(feed);
    std::set<std::string_view> present;
    for (const wire::RelayedRecord &relayed : update.records()) {
        present.insert(relayed.key());
    }
    std::vector<std::string> gone;
    for (const auto &[key, record] : state.book.all()) {
        if (record.value && record.offset < update.next_offset() && !present.contains(key)) {
            gone.push_back(key);
        }
    }
    for (const std::string &key : gone) {
        apply(feed, {key, std::nullopt, update.next_offset() - 1}, age);
    }
    state.removalsFrom = std::max(state.removalsFrom, update.next_offset());
}

// A configuration of some thousand routes has some hundred kilobytes. Relayed to a dozen
// followers as it is, it takes the link of its reader for about a second, and callers'
// requests share that link. Compressed it is a tenth.
void FeedService::putValue(FeedState &state, const FeedRecord &record, wire::RelayedRecord &relayed)
{
    if (!record.value) {
        return;
    }
    if (record.value->size() < sLeastCompressed) {
        relayed.set_value(*record.value);
        return;
    }
    CompressedValue &kept = state.compressed[record.key];
    if (kept.bytes.empty() || kept.offset != record.offset) {
        const LoopStep step("compressing a record");
        kept = {record.offset, compressed(*record.value)};
    }
    relayed.set_compressed(kept.bytes);
}

// A book that never was complete has gaps before its end.
std::uint64_t FeedService::knownBefore(Feed feed) const
{
    const FeedState &state = this->state(feed);
    return state.isSynced ? state.book.nextOffset() : 0;
}

// What a follower has not been told yet.
wire::FollowUpdate FeedService::news(Follower &follower)
{
    const LoopStep step("building an update for a follower");
    FeedState &state = this->state(follower.feed);
    wire::FollowUpdate update;
    if (follower.seen == state.changes) {
        return update;
    }
    follower.seen = state.changes;
    for (const auto &[key, record] : state.book.all()) {
        const std::uint64_t rank = rankOf(record);
        ToldRanks &told = follower.told;
        std::uint64_t &known = told.byKey.try_emplace(key, told.all).first->second;
        if (known >= rank) {
            continue;
        }
        known = rank;
        wire::RelayedRecord &relayed = *update.add_records();
        relayed.set_key(key);
        relayed.set_removed(!record.value);
        putValue(state, record, relayed);
        relayed.set_offset(record.offset);
        relayed.set_hops(state.ways[key].hops);
        const auto age = std::chrono::ceil<Milliseconds>(now() - state.learnedAt[key]);
        relayed.set_age_ms(static_cast<std::uint64_t>(age.count()));
    }
    return update;
}

void FeedService::putState(Feed feed, wire::FollowUpdate &update) const
{
    const auto age = std::chrono::ceil<Milliseconds>(this->age(feed).value_or(sUnknownAge));
    update.set_age_ms(static_cast<std::uint64_t>(age.count()));
    update.set_next_offset(state(feed).book.nextOffset());
    update.set_complete(state(feed).isSynced);
    update.set_store_doubtful(isDoubtful(feed));
}

// News first, so that the answers stand for all that is known here; false when nothing
// is known that could be told.
bool FeedService::tell(Follower &follower)
{
    wire::FollowUpdate update = completeNews(follower);
    if (!state(follower.feed).completeAt && update.records().empty()) {
        return sayWaiting(follower);
    }
    putState(follower.feed, update);
    if (!update.records().empty() || update.whole()) {
        follower.stream->send(update);
        update.clear_records();
        update.set_whole(false);
    }
    answerQuestions(follower, update);
    return true;
}

void FeedService::answerQuestions(Follower &follower, const wire::FollowUpdate &answer)
{
    for (; follower.openQuestions > 0; --follower.openQuestions) {
        follower.stream->send(answer);
    }
}

// Nothing is known here yet; false when nothing will be soon.
bool FeedService::sayWaiting(Follower &follower) const
{
    wire::FollowUpdate update;
    update.set_waiting(true);
    answerQuestions(follower, update);
    return isWaiting(follower.feed);
}

// Of removals before its own full read this process knows nothing: a follower whose
// book ends before that is told all keys.
wire::FollowUpdate FeedService::completeNews(Follower &follower)
{
    const FeedState &state = this->state(follower.feed);
    if (follower.seen == state.changes) {
        return {};
    }
    ToldRanks &told = follower.told;
    const bool isWhole = state.isSynced && told.knownBefore < state.removalsFrom;
    if (isWhole) {
        told = {};
    }
    wire::FollowUpdate update = news(follower);
    update.set_whole(isWhole);
    told.knownBefore = state.isSynced ? state.book.nextOffset() : told.knownBefore;
    return update;
}

bool FeedService::hasToTell(const Follower &follower) const
{
    return follower.openQuestions > 0 || follower.seen != state(follower.feed).changes;
}

void FeedService::wakeFollowers(Feed feed)
{
    mChanged->notify();
    for (const FollowerPtr &follower : mFollowers) {
        if (follower->feed == feed) {
            follower->woken.notify();
        }
    }
}

void FeedService::wakeAllFollowers()
{
    for (const Feed feed : {Feed::Operators, Feed::Replicas, Feed::Members}) {
        wakeFollowers(feed);
    }
}

awaitable<void> FeedService::hearQuestions(FollowerPtr follower)
{
    while (!mStopped) {
        const auto deadline = std::chrono::steady_clock::now() + sFollowerSilence;
        const auto question
            = co_await follower->stream->receiveMessage<wire::FollowRequest>(deadline);
        if (!question || !*question) {
            break;
        }
        ++follower->openQuestions;
        follower->woken.notify();
    }
    follower->stream->reset();
    follower->woken.notify();
}

awaitable<void> FeedService::tellFollower(FollowerPtr follower)
{
    const PeerStreamPtr &stream = follower->stream;
    while (stream->isOpen() && !mStopped && tell(*follower)) {
        // On a narrow link several changes join to one: only the newest counts.
        if (!co_await stream->sentBy(std::chrono::steady_clock::now() + sTakeTime)) {
            co_return;
        }
        while (stream->isOpen() && !mStopped && !hasToTell(*follower)) {
            co_await follower->woken.waitFor(sFollowerSilence);
        }
        if (follower->openQuestions == 0) {
            co_await sleepFor(sRelayBatch);
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
    ToldRanks told{lastKnownRank(knownBefore), knownBefore, {}};
    const auto follower = std::make_shared<Follower>(Follower{
        stream, static_cast<Feed>((*request)->feed()), std::move(told), {}, 1, Signal(executor)});
    mFollowers.insert(follower);
    asio::co_spawn(executor, hearQuestions(follower), asio::detached);
    co_await tellFollower(follower);
    mFollowers.erase(follower);
    stream->reset();
}

} // namespace Loom
