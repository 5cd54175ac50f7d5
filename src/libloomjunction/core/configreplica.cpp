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
    return mState.isEmpty() ? 0 : mState.lastOffset() + 1;
}

std::uint64_t ConfigReplica::nextReadOffset() const
{
    return mPendingRecords.empty() ? nextOffset() : mPendingRecords.back().offset() + 1;
}

ApplyResult ConfigReplica::applyLog(std::span<const wire::StoredRecord> records,
                                    std::uint64_t logStartOffset, Instant now)
{
    const bool gapOpen = !mPendingRecords.empty() || logStartOffset > nextOffset();
    if (gapOpen) {
        return applyAcrossGap(records, logStartOffset, now);
    }
    bool changed = false;
    for (const wire::StoredRecord &record : records) {
        if (record.offset() > nextOffset()) {
            return ApplyResult::Gap;
        }
        changed = applyRecord(record, now) || changed;
    }
    if (changed) {
        notifyListener();
    }
    return ApplyResult::Applied;
}

ApplyResult ConfigReplica::applyAcrossGap(std::span<const wire::StoredRecord> records,
                                          std::uint64_t logStartOffset, Instant now)
{
    // An update from a peer may have closed the gap in the meantime.
    std::erase_if(mPendingRecords,
                  [&](const auto &pending) { return pending.offset() < nextOffset(); });
    for (const wire::StoredRecord &record : records) {
        const bool follows
            = mPendingRecords.empty() || record.offset() == mPendingRecords.back().offset() + 1;
        if (!follows) {
            // The log was trimmed beyond the buffered records, so they no longer connect.
            mPendingRecords.clear();
            mAssembler.clear();
        }
        mPendingRecords.push_back(record);
        wire::ConfigRecord parsed;
        const bool isChunk = parsed.ParseFromString(record.data()) && parsed.has_snapshot_chunk();
        if (!isChunk) {
            continue;
        }
        const auto snapshot = mAssembler.add(parsed.snapshot_chunk());
        const bool connects = snapshot && snapshot->as_of() + 1 >= mPendingRecords.front().offset();
        if (connects) {
            installSnapshot(*snapshot);
            mSnapshotTime = now - Milliseconds(record.age_ms());
        }
    }
    const bool closed
        = !mPendingRecords.empty() && mPendingRecords.front().offset() <= nextOffset();
    if (!closed) {
        return mPendingRecords.empty() && logStartOffset <= nextOffset() ? ApplyResult::Applied
                                                                         : ApplyResult::Gap;
    }
    const std::vector<wire::StoredRecord> pending = std::exchange(mPendingRecords, {});
    mAssembler.clear();
    for (const wire::StoredRecord &record : pending) {
        applyRecord(record, now);
    }
    notifyListener();
    return ApplyResult::Applied;
}

bool ConfigReplica::applyRecord(const wire::StoredRecord &record, Instant now)
{
    if (record.offset() != nextOffset()) {
        return false;
    }
    wire::ConfigRecord parsed;
    if (!parsed.ParseFromString(record.data())) {
        mState.skip(record.offset()); // every box fails to parse this record and skips it
        addToTail(record);
        return true;
    }
    if (parsed.has_snapshot_chunk()) {
        addSnapshotChunk(record, parsed.snapshot_chunk(), now);
    }
    applyToState(record, parsed);
    addToTail(record);
    return true;
}

void ConfigReplica::applyToState(const wire::StoredRecord &record, const wire::ConfigRecord &parsed)
{
    if (!parsed.has_change()) {
        mState.skip(record.offset());
        return;
    }
    mState.apply(parsed.change(), record.offset());
    ++mChangesSinceSnapshot;
}

void ConfigReplica::addSnapshotChunk(const wire::StoredRecord &record,
                                     const wire::SnapshotChunk &chunk, Instant now)
{
    if (!mAssembler.add(chunk)) {
        return;
    }
    mSnapshotTime = now - Milliseconds(record.age_ms());
    mChangesSinceSnapshot = 0;
}

void ConfigReplica::installSnapshot(const wire::ConfigSnapshot &snapshot)
{
    const bool newer = mState.isEmpty() || snapshot.as_of() > mState.lastOffset();
    if (!newer) {
        return;
    }
    mState = ConfigState::fromSnapshot(snapshot);
    mTail.clear();
    mChangesSinceSnapshot = 0;
}

ApplyResult ConfigReplica::applyPeerUpdate(const wire::ConfigUpdate &update, Instant now)
{
    const std::uint64_t before = nextOffset();
    if (update.has_snapshot()) {
        installSnapshot(update.snapshot());
    }
    ApplyResult result = ApplyResult::Applied;
    for (const wire::StoredRecord &record : update.records()) {
        if (record.offset() > nextOffset()) {
            result = ApplyResult::Gap;
            break;
        }
        applyRecord(record, now);
    }
    if (nextOffset() != before) {
        notifyListener();
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
    update.set_covers_up_to(mState.lastOffset());
    const bool tailCoversPeer = !mTail.empty() && mTail.front().offset() <= peerNext;
    if (!tailCoversPeer) {
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

void ConfigReplica::addToTail(const wire::StoredRecord &record)
{
    mTail.push_back(record);
    if (mTail.size() > sMaxTailRecords) {
        mTail.pop_front();
    }
}

void ConfigReplica::notifyListener()
{
    if (mListener) {
        mListener();
    }
}

} // namespace Loom
