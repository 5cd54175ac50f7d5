/*
 * configreplica.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "configreplica.h"

#include <algorithm>

namespace Loom {

std::uint64_t ConfigReplica::nextOffset() const
{
    return mState.isEmpty() ? 0 : mState.asOf() + 1;
}

std::uint64_t ConfigReplica::readFrom() const
{
    return mHeld.empty() ? nextOffset() : mHeld.back().offset() + 1;
}

FeedResult ConfigReplica::feedLog(std::span<const wire::StoredRecord> records,
                                  std::uint64_t logFirst, Instant now)
{
    const bool gapOpen = !mHeld.empty() || logFirst > nextOffset();
    if (gapOpen) {
        return feedAcrossGap(records, logFirst, now);
    }
    bool changed = false;
    for (const wire::StoredRecord &record : records) {
        if (record.offset() > nextOffset()) {
            return FeedResult::Gap;
        }
        changed = feedOne(record, now) || changed;
    }
    if (changed) {
        notify();
    }
    return FeedResult::Applied;
}

FeedResult ConfigReplica::feedAcrossGap(std::span<const wire::StoredRecord> records,
                                        std::uint64_t logFirst, Instant now)
{
    // A peer may have closed the gap meanwhile.
    std::erase_if(mHeld, [&](const auto &held) { return held.offset() < nextOffset(); });
    for (const wire::StoredRecord &record : records) {
        const bool follows = mHeld.empty() || record.offset() == mHeld.back().offset() + 1;
        if (!follows) {
            // The log was trimmed past what is held: what was held no longer connects.
            mHeld.clear();
            mAssembler.clear();
        }
        mHeld.push_back(record);
        wire::ConfigRecord parsed;
        const bool isChunk = parsed.ParseFromString(record.data()) && parsed.has_snapshot_chunk();
        if (!isChunk) {
            continue;
        }
        const auto snapshot = mAssembler.add(parsed.snapshot_chunk());
        const bool connects = snapshot && snapshot->as_of() + 1 >= mHeld.front().offset();
        if (connects) {
            adopt(*snapshot);
            mSnapshotTime = now - Milliseconds(record.age_ms());
        }
    }
    const bool closed = !mHeld.empty() && mHeld.front().offset() <= nextOffset();
    if (!closed) {
        return mHeld.empty() && logFirst <= nextOffset() ? FeedResult::Applied : FeedResult::Gap;
    }
    const std::vector<wire::StoredRecord> held = std::exchange(mHeld, {});
    mAssembler.clear();
    for (const wire::StoredRecord &record : held) {
        feedOne(record, now);
    }
    notify();
    return FeedResult::Applied;
}

bool ConfigReplica::feedOne(const wire::StoredRecord &record, Instant now)
{
    if (record.offset() != nextOffset()) {
        return false;
    }
    wire::ConfigRecord parsed;
    if (!parsed.ParseFromString(record.data())) {
        mState.skip(record.offset()); // unreadable alike on every box
        keep(record);
        return true;
    }
    if (parsed.has_snapshot_chunk()) {
        noteSnapshotChunk(record, parsed.snapshot_chunk(), now);
    }
    fold(record, parsed);
    keep(record);
    return true;
}

void ConfigReplica::fold(const wire::StoredRecord &record, const wire::ConfigRecord &parsed)
{
    if (!parsed.has_change()) {
        mState.skip(record.offset());
        return;
    }
    mState.apply(parsed.change(), record.offset());
    ++mChangesSinceSnapshot;
}

void ConfigReplica::noteSnapshotChunk(const wire::StoredRecord &record,
                                      const wire::SnapshotChunk &chunk, Instant now)
{
    if (!mAssembler.add(chunk)) {
        return;
    }
    mSnapshotTime = now - Milliseconds(record.age_ms());
    mChangesSinceSnapshot = 0;
}

void ConfigReplica::adopt(const wire::ConfigSnapshot &snapshot)
{
    const bool newer = mState.isEmpty() || snapshot.as_of() > mState.asOf();
    if (!newer) {
        return;
    }
    mState = ConfigState::fromSnapshot(snapshot);
    mTail.clear();
    mChangesSinceSnapshot = 0;
}

FeedResult ConfigReplica::feedPeer(const wire::ConfigUpdate &update, Instant now)
{
    const std::uint64_t before = nextOffset();
    if (update.has_snapshot()) {
        adopt(update.snapshot());
    }
    FeedResult result = FeedResult::Applied;
    for (const wire::StoredRecord &record : update.records()) {
        if (record.offset() > nextOffset()) {
            result = FeedResult::Gap;
            break;
        }
        feedOne(record, now);
    }
    if (nextOffset() != before) {
        notify();
    }
    return result;
}

std::optional<wire::ConfigUpdate> ConfigReplica::updateFor(std::uint64_t offset,
                                                           bool hasConfig) const
{
    const std::uint64_t peerNext = hasConfig ? offset + 1 : 0;
    if (peerNext >= nextOffset()) {
        return std::nullopt;
    }
    wire::ConfigUpdate update;
    update.set_covers_up_to(mState.asOf());
    const bool tailReaches = !mTail.empty() && mTail.front().offset() <= peerNext;
    if (!tailReaches) {
        *update.mutable_snapshot() = mState.snapshot();
        return update;
    }
    update.set_after(offset);
    for (const wire::StoredRecord &record : mTail) {
        if (record.offset() >= peerNext) {
            *update.add_records() = record;
        }
    }
    return update;
}

void ConfigReplica::keep(const wire::StoredRecord &record)
{
    mTail.push_back(record);
    if (mTail.size() > sTailKept) {
        mTail.pop_front();
    }
}

void ConfigReplica::notify()
{
    if (mListener) {
        mListener();
    }
}

} // namespace Loom
