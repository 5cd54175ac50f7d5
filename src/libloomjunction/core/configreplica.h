/*
 * configreplica.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "configstate.h"
#include "instant.h"
#include "snapshotassembler.h"
#include "wire.pb.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Loom {

/** Result of applying records to a ConfigReplica. */
enum class ApplyResult : std::uint8_t
{
    Applied, ///< all given records are applied
    Gap, ///< records between the replica's state and the given ones are missing
};

/**
 * The copy of the configuration on one box. Records come from the log, from
 * peers or from a snapshot, in any combination. The replica never skips a
 * record and its offset never decreases. Owned by the configuration service.
 */
class ConfigReplica
{
public:
    const ConfigState &state() const { return mState; }
    bool isReady() const { return !mState.isEmpty(); }

    /** Offset of the next record to apply. */
    std::uint64_t nextOffset() const;

    /**
     * Applies records read from the log. @p logStartOffset is the oldest offset
     * that the log retains. If it lies beyond nextOffset(), the records are
     * buffered until a complete snapshot among them closes the gap.
     */
    ApplyResult applyLog(std::span<const wire::StoredRecord> records, std::uint64_t logStartOffset,
                         Instant now);

    /** Applies an update sent by a peer. */
    ApplyResult applyPeerUpdate(const wire::ConfigUpdate &update, Instant now);

    /** Returns what a peer at @p offset is missing, or nothing if it is up to date. */
    std::optional<wire::ConfigUpdate> updateFor(std::uint64_t offset, bool hasConfig) const;

    /** Offset at which the next log read starts; beyond nextOffset() while records are buffered. */
    std::uint64_t nextReadOffset() const;

    /** Sets the function that is called after each change of state. */
    void setListener(std::function<void()> listener) { mListener = std::move(listener); }

    /** Number of changes applied since the newest complete snapshot. */
    std::uint64_t changesSinceSnapshot() const { return mChangesSinceSnapshot; }
    /** When the newest complete snapshot was written, or nothing if none has been read. */
    std::optional<Instant> snapshotTime() const { return mSnapshotTime; }

    /** Limit of records retained for peers that are slightly behind. */
    static constexpr std::size_t sMaxTailRecords = 512;

private:
    bool applyRecord(const wire::StoredRecord &record, Instant now);
    void applyToState(const wire::StoredRecord &record, const wire::ConfigRecord &parsed);
    void addSnapshotChunk(const wire::StoredRecord &record, const wire::SnapshotChunk &chunk,
                          Instant now);
    void installSnapshot(const wire::ConfigSnapshot &snapshot);
    ApplyResult applyAcrossGap(std::span<const wire::StoredRecord> records,
                               std::uint64_t logStartOffset, Instant now);
    void addToTail(const wire::StoredRecord &record);
    void notifyListener();

    ConfigState mState;
    std::deque<wire::StoredRecord> mTail;
    SnapshotAssembler mAssembler;
    std::vector<wire::StoredRecord> mPendingRecords; ///< read after a gap that is still open
    std::function<void()> mListener;
    std::uint64_t mChangesSinceSnapshot = 0;
    std::optional<Instant> mSnapshotTime;
};

} // namespace Loom
