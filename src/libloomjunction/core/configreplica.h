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

/** What feeding records to a ConfigReplica came to. */
enum class ApplyResult : std::uint8_t
{
    Applied, ///< everything offered is folded
    Gap, ///< records between the replica and the offered ones are missing
};

/**
 * One box's copy of the configuration. It is fed from the log, from peers or
 * from a snapshot, in any mixture; it never skips a record and never goes to
 * a lower offset than it has had. Owned by the configuration service.
 */
class ConfigReplica
{
public:
    const ConfigState &state() const { return mState; }
    bool isReady() const { return !mState.isEmpty(); }

    /** Offset to read from the log next. */
    std::uint64_t nextOffset() const;

    /**
     * Feeds records read from the log, whose oldest kept offset is
     * @p logStartOffset. When the log no longer reaches back to this replica the
     * records are held until a complete snapshot among them closes the gap.
     */
    ApplyResult applyLog(std::span<const wire::StoredRecord> records, std::uint64_t logStartOffset,
                         Instant now);

    /** Feeds what a peer pushed. */
    ApplyResult applyPeerUpdate(const wire::ConfigUpdate &update, Instant now);

    /** What a peer standing at @p offset lacks; nothing where it lacks nothing. */
    std::optional<wire::ConfigUpdate> updateFor(std::uint64_t offset, bool hasConfig) const;

    /** Offset the next log read must start from while a gap is open. */
    std::uint64_t nextReadOffset() const;

    /** Calls @p listener after each change of state. */
    void setListener(std::function<void()> listener) { mListener = std::move(listener); }

    /** Changes folded since the newest complete snapshot seen. */
    std::uint64_t changesSinceSnapshot() const { return mChangesSinceSnapshot; }
    /** When the newest complete snapshot was written; nothing before the first. */
    std::optional<Instant> snapshotTime() const { return mSnapshotTime; }

    /** Records kept for peers that are a little behind. */
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
    std::vector<wire::StoredRecord> mPendingRecords; // read beyond a gap, waiting for a snapshot
    std::function<void()> mListener;
    std::uint64_t mChangesSinceSnapshot = 0;
    std::optional<Instant> mSnapshotTime;
};

} // namespace Loom
