/*
 * feedfollower.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "feedfollower.h"

#include "clock.h"
#include "compression.h"
#include "jsonlog.h"
#include "loopstep.h"
#include "peerconnection.h"
#include "peerhub.h"
#include "wire.pb.h"
#include "wireage.h"

#include <algorithm>
#include <set>

namespace Loom {

namespace {

// A peer that sends nothing for this time is dropped.
constexpr Milliseconds sResponseTimeout{900};
// Many times the size of the largest record that the platform's store accepts.
constexpr std::size_t sMaxValueSize = std::size_t{16} * 1024 * 1024;

// Updates with records are sent without being asked for.
bool isAnswer(const wire::FollowUpdate &update)
{
    return update.records().empty() && !update.whole();
}

} // namespace

FeedFollower::FeedFollower(PeerHub &hub, std::string box, FeedState &state,
                           std::function<std::uint64_t()> storeEra, std::function<void()> onChange)
    : mHub(hub)
    , mBox(std::move(box))
    , mState(state)
    , mStoreEra(std::move(storeEra))
    , mOnChange(std::move(onChange))
{
}

awaitable<bool> FeedFollower::follow(Tcp::endpoint address, FollowLimits limits)
{
    const PeerStreamPtr stream = co_await mHub.open(address, std::string(sPath));
    if (!stream) {
        co_return false;
    }
    const std::string from = endpointText(address);
    const LogPosition known = mState.knownBefore();
    wire::FollowRequest request;
    request.set_feed(static_cast<std::uint32_t>(mState.feed()));
    request.set_box(mBox);
    request.set_known_before(known.offset);
    request.set_known_era(known.era);
    request.set_accepts_unchanged(true);
    PendingQueries queries(now());
    stream->send(request);
    Instant lastQueryAt = now();
    Instant lastReceivedAt = now();
    std::uint64_t bytes = 0;
    bool hasReceived = false;
    while (now() < limits.until && (!limits.isNeeded || limits.isNeeded())) {
        // A long update needs several round trips of the stream's window. If it were requested
        // again while it arrives, it would never complete and would saturate the link. Received
        // bytes therefore count as a response; the sender ends transfers that take too long.
        if (stream->bytesIn() != bytes) {
            bytes = stream->bytesIn();
            lastReceivedAt = now();
        }
        if (now() >= lastQueryAt + limits.queryInterval) {
            lastQueryAt = now();
            queries.ask(lastQueryAt);
            stream->send(wire::FollowRequest());
        }
        const Instant timeoutAt = lastReceivedAt + sResponseTimeout;
        const auto deadline = steadyTime(std::min(timeoutAt, lastQueryAt + limits.queryInterval));
        const auto update = co_await stream->receiveMessage<wire::FollowUpdate>(deadline);
        if (!update && update.error() == PeerError::TimedOut && now() < timeoutAt) {
            continue; // the next query is due
        }
        const bool mayWaitForData = limits.mayWaitForData && limits.mayWaitForData();
        const bool isAwaitingData = update && *update
            && ((*update)->waiting() || isOfEarlierEra(**update, mayWaitForData));
        if (isAwaitingData && mayWaitForData) {
            if (isAnswer(**update)) {
                queries.answered();
            }
            lastReceivedAt = now();
            hasReceived = true;
            continue;
        }
        const bool isGood
            = !isAwaitingData && update && *update && applyUpdate(**update, queries, from);
        if (!isGood) {
            stream->reset();
            co_return false;
        }
        hasReceived = true;
        lastReceivedAt = now();
    }
    stream->reset();
    co_return hasReceived;
}

// Whether the update shows the store before its last return from a copy. Records of such an
// update may be lost, and its age says nothing about the present store.
bool FeedFollower::isOfEarlierEra(const wire::FollowUpdate &update, bool mayWaitForData) const
{
    const std::uint64_t known = mState.table().next().era;
    const std::uint64_t needed = mayWaitForData ? std::max(known, mStoreEra()) : known;
    return update.next_era() < needed;
}

// Returns nothing if the value cannot be decompressed.
std::optional<FeedRecord> FeedFollower::readRelayed(const wire::RelayedRecord &relayed) const
{
    FeedRecord record{relayed.key(), std::nullopt, relayed.offset(), relayed.era()};
    if (!relayed.compressed().empty()) {
        auto value = decompressed(relayed.compressed(), sMaxValueSize);
        if (!value) {
            logLine(LogLevel::Error, "relayed-record-refused",
                    {{"feed", feedName(mState.feed())},
                     {"key", relayed.key()},
                     {"problem", value.error()}});
            return std::nullopt;
        }
        record.value = std::move(*value);
    } else if (!relayed.removed()) {
        record.value = relayed.value();
    }
    return record;
}

// Returns false if the update holds an unreadable record. The end of the update is then ignored,
// so that the same records are read from the store.
bool FeedFollower::applyUpdate(const wire::FollowUpdate &update, PendingQueries &queries,
                               std::string_view from)
{
    const LoopStep step("taking an update");
    mState.noteRelayDoubt(update.store_doubtful()); // decides whether its removals are trusted
    // The ages in the update are as of its sending. It may have been in transit for long, so
    // they are counted from the last query that the sender had received by then.
    const bool hasRecords = !isAnswer(update);
    const std::optional<Instant> knownAsOf = hasRecords ? queries.heard() : queries.answered();
    const LogPosition end{update.next_era(), update.next_offset()};
    const bool isRestored = !mState.isFirstSync() && end.era > mState.table().next().era;
    if (isRestored && !update.whole()) {
        return false;
    }
    if (isRestored) {
        mState.noteRestored();
    }
    if (hasRecords && !applyRecords(update, *knownAsOf, from)) {
        return false;
    }
    // Each update holds everything that the peer knows and had not sent yet, so this table now
    // reaches as far as the peer's.
    mState.noteRelayed(end, update.complete());
    if (knownAsOf && update.has_age_ms()) {
        mState.noteComplete(*knownAsOf - Milliseconds(update.age_ms()), from);
    }
    if (isRestored) {
        mState.finishRestore();
    }
    if (hasRecords) {
        mOnChange();
    }
    return true;
}

// Applies the records of an update that was sent after @p sentAfter.
bool FeedFollower::applyRecords(const wire::FollowUpdate &update, Instant sentAfter,
                                std::string_view from)
{
    const bool isCopy = update.whole() && update.next_era() > mState.table().next().era;
    for (const wire::RelayedRecord &relayed : update.records()) {
        if (relayed.unchanged()) {
            if (!mState.move(relayed.key(), {relayed.era(), relayed.offset()})) {
                return false;
            }
            continue;
        }
        const auto record = readRelayed(relayed);
        if (!record) {
            return false;
        }
        mState.applyRelayed(*record, fromWireAge(relayed.accepted(), sentAfter, now()),
                            {std::string(from), relayed.hops() + 1}, isCopy);
    }
    if (update.whole()) {
        applyFullUpdate(update);
    }
    return true;
}

// Removes the keys that are missing from a full update. The store no longer held them at a
// full read, so no update reports their removal.
void FeedFollower::applyFullUpdate(const wire::FollowUpdate &update)
{
    const LogPosition end{update.next_era(), update.next_offset()};
    std::set<std::string_view> present;
    for (const wire::RelayedRecord &relayed : update.records()) {
        present.insert(relayed.key());
    }
    mState.removeAbsent(present, end);
    for (const wire::RelayedRecord &relayed : update.records()) {
        if (relayed.missing()) {
            mState.noteMissing(relayed.key());
        }
    }
}

} // namespace Loom
