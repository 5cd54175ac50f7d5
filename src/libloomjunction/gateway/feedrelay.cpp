/*
 * feedrelay.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "feedrelay.h"

#include "clock.h"
#include "compression.h"
#include "loopstep.h"
#include "peerconnection.h"
#include "wire.pb.h"
#include "wireage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Loom {

namespace {

// A follower that sends no query for this time is considered lost, and its state is dropped.
constexpr std::chrono::milliseconds sFollowerTimeout{3'000};
// Delay between two unsolicited updates, so that changes are relayed in batches.
constexpr Milliseconds sRelayBatchDelay{10};
// Shorter values gain little from compression, which would run for each of their changes.
constexpr std::size_t sMinCompressedSize = std::size_t{4} * 1024;
// A follower that does not receive a sent update within this time is considered lost. A large
// configuration needs some hundred milliseconds on the narrowest links.
constexpr std::chrono::milliseconds sFollowerSendTimeout{3'000};
constexpr std::chrono::milliseconds sRequestTimeout{2'000};

} // namespace

// A configuration of some thousand routes has some hundred kilobytes. Relaying it uncompressed
// to a dozen followers occupies the link of the reader for about a second, and callers'
// requests share that link. Compression reduces it to a tenth.
void FeedRelay::setRelayedValue(Feed feed, const FeedRecord &record, wire::RelayedRecord &relayed)
{
    if (!record.value) {
        return;
    }
    if (record.value->size() < sMinCompressedSize) {
        relayed.set_value(*record.value);
        return;
    }
    CompressedValue &cached = mCompressed[static_cast<std::size_t>(feed)][record.key];
    if (cached.bytes.empty() || cached.position != record.position()) {
        const LoopStep step("compressing a record");
        cached = {record.position(), compressed(*record.value)};
    }
    relayed.set_compressed(cached.bytes);
}

// Collects the records that have not been sent to the follower yet. A full update also names the
// other keys, since the follower removes those that it doesn't name.
wire::FollowUpdate FeedRelay::newRecords(Follower &follower, bool isFullUpdate)
{
    const LoopStep step("building an update for a follower");
    const FeedState &state = this->state(follower);
    const FeedTable &table = state.table();
    wire::FollowUpdate update;
    for (const auto &[key, record] : table.all()) {
        const bool isHeld = follower.sent.holds(record, table.movedFrom(key));
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
        relayed.set_missing(table.missing().contains(key));
        if (isHeld) {
            relayed.set_unchanged(true);
            continue;
        }
        relayed.set_removed(!record.value);
        setRelayedValue(follower.feed, record, relayed);
        relayed.set_hops(state.originOf(key).hops);
        *relayed.mutable_accepted() = toWireAge(state.acceptedAt(key), now());
    }
    return update;
}

void FeedRelay::setUpdateState(const Follower &follower, wire::FollowUpdate &update) const
{
    const FeedState &state = this->state(follower);
    if (const auto age = state.age()) {
        const auto rounded = std::chrono::ceil<Milliseconds>(*age);
        update.set_age_ms(static_cast<std::uint64_t>(rounded.count()));
    }
    update.set_next_offset(state.table().nextOffset());
    update.set_next_era(state.table().next().era);
    update.set_complete(state.isSynced());
    update.set_store_doubtful(state.isStoreDoubtful());
}

// Sends new records before the answers to queries, so that an answer covers everything known
// here. Returns false if there is no data to send and none can be expected soon.
bool FeedRelay::sendUpdate(Follower &follower)
{
    wire::FollowUpdate update = buildUpdate(follower);
    if (!state(follower).age() && update.records().empty()) {
        return sendWaiting(follower);
    }
    setUpdateState(follower, update);
    if (!update.records().empty() || update.whole()) {
        follower.stream->send(update);
        update.clear_records();
        update.set_whole(false);
    }
    answerQueries(follower, update);
    return true;
}

void FeedRelay::answerQueries(Follower &follower, const wire::FollowUpdate &answer)
{
    for (; follower.pendingQueryCount > 0; --follower.pendingQueryCount) {
        follower.stream->send(answer);
    }
}

// Tells the follower that there is no data yet; returns false if none can be expected soon.
bool FeedRelay::sendWaiting(Follower &follower) const
{
    wire::FollowUpdate update;
    update.set_waiting(true);
    answerQueries(follower, update);
    return state(follower).isAwaitingData();
}

// This process does not know of removals before its own full read. A follower whose table ends
// before that read is therefore sent all keys. A follower that knows a later era than this
// process has no use for its records.
wire::FollowUpdate FeedRelay::buildUpdate(Follower &follower)
{
    const FeedState &state = this->state(follower);
    SentRecords &sent = follower.sent;
    if (follower.sentChangeCount == state.changeCount()) {
        return {};
    }
    follower.sentChangeCount = state.changeCount();
    if (sent.knownBefore().era > state.table().next().era) {
        return {};
    }
    const bool isFullUpdate = state.isSynced() && sent.knownBefore() < state.removalsKnownFrom();
    if (isFullUpdate && !follower.acceptsUnchanged) {
        sent.clear();
    }
    wire::FollowUpdate update = newRecords(follower, isFullUpdate);
    update.set_whole(isFullUpdate);
    if (state.isSynced()) {
        sent.setKnownBefore(state.table().next());
    }
    return update;
}

bool FeedRelay::hasPendingUpdate(const Follower &follower) const
{
    return follower.pendingQueryCount > 0
        || follower.sentChangeCount != state(follower).changeCount();
}

void FeedRelay::wake(Feed feed)
{
    for (const FollowerPtr &follower : mFollowers) {
        if (follower->feed == feed) {
            follower->wakeSignal.notify();
        }
    }
}

void FeedRelay::stop()
{
    mStopped = true;
    for (const FollowerPtr &follower : mFollowers) {
        follower->wakeSignal.notify();
    }
}

awaitable<void> FeedRelay::receiveQueries(FollowerPtr follower)
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

awaitable<void> FeedRelay::sendUpdates(FollowerPtr follower)
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

awaitable<void> FeedRelay::serve(PeerStreamPtr stream)
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
