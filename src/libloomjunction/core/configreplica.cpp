/*
 * configreplica.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "configreplica.h"

#include "digest.h"

#include <algorithm>

namespace Loom {

namespace {

// A record must stay well under what an append may carry.
constexpr std::size_t sSnapshotChunkBytes = std::size_t{64} * 1024;
// A snapshot must be renewed while two more tries still fit into the retention.
constexpr int sSnapshotsPerRetention = 3;

} // namespace

std::optional<wire::ConfigSnapshot> SnapshotAssembler::add(const wire::SnapshotChunk &chunk)
{
    if (chunk.count() == 0 || chunk.index() >= chunk.count()) {
        return std::nullopt;
    }
    const std::string name = std::to_string(chunk.as_of()) + "/" + chunk.digest();
    Parts &parts = mParts[name];
    parts.data[chunk.index()] = chunk.data();
    if (parts.data.size() < chunk.count()) {
        return std::nullopt;
    }
    std::string whole;
    for (const auto &[index, data] : parts.data) {
        whole += data;
    }
    mParts.erase(name);
    wire::ConfigSnapshot snapshot;
    if (sha256Hex(whole) != chunk.digest() || !snapshot.ParseFromString(whole)) {
        return std::nullopt;
    }
    return snapshot;
}

std::vector<wire::ConfigRecord> snapshotRecords(const wire::ConfigSnapshot &snapshot)
{
    const std::string whole = snapshot.SerializeAsString();
    const std::string digest = sha256Hex(whole);
    const std::size_t count = (whole.size() + sSnapshotChunkBytes - 1) / sSnapshotChunkBytes;
    std::vector<wire::ConfigRecord> records;
    for (std::size_t index = 0; index < count; ++index) {
        wire::SnapshotChunk &chunk = *records.emplace_back().mutable_snapshot_chunk();
        chunk.set_as_of(snapshot.as_of());
        chunk.set_index(static_cast<std::uint32_t>(index));
        chunk.set_count(static_cast<std::uint32_t>(count));
        chunk.set_digest(digest);
        chunk.set_data(whole.substr(index * sSnapshotChunkBytes, sSnapshotChunkBytes));
    }
    return records;
}

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

std::optional<Milliseconds> SnapshotPolicy::delay(const ConfigReplica &replica, std::size_t rank,
                                                  Instant now) const
{
    if (!replica.isReady()) {
        return std::nullopt;
    }
    const bool many = replica.changesSinceSnapshot() >= changes;
    const Milliseconds oldest = retention / sSnapshotsPerRetention;
    const bool old = !replica.snapshotTime() || now - *replica.snapshotTime() >= oldest;
    // Without any change since the log began there is nothing worth a snapshot,
    // but one that exists must be renewed before it expires.
    const bool worthwhile = replica.changesSinceSnapshot() > 0 || replica.snapshotTime();
    if (!worthwhile || (!many && !old)) {
        return std::nullopt;
    }
    return rankDelay * static_cast<int>(rank);
}

} // namespace Loom
