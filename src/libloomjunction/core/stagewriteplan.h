/*
 * stagewriteplan.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** A version that is newer than the loaded one and of which some chunks are in memory. */
struct StageCandidate
{
    std::string_view digest; ///< of its manifest
    const std::vector<bool> &has; ///< whether a chunk is in memory and verified, by index
    bool isWritable = true; ///< false until the stage was searched for its chunks
};

/** A chunk to write to the engine's stage. */
struct StageWrite
{
    std::string digest;
    std::uint32_t index = 0;
};

/**
 * Decides which verified chunks to write to the engine's stage, which keeps one copy for
 * each model. The contents are known from own writes and reads only and may be out of date;
 * a load is never based on them. Owned by the weight staging service.
 */
class StageWritePlan
{
public:
    /** The stage holds this chunk, as it was just written or read back. */
    void noteHeld(std::string_view digest, std::uint32_t index);
    /** The contents at @p index are unknown: the chunk is corrupt or a write has failed. */
    void forget(std::uint32_t index);
    /** The contents are unknown, as after a restart of the engine. */
    void clear() { mHeldDigests.clear(); }
    bool holds(std::string_view digest, std::uint32_t index) const;

    /**
     * The next chunk to write; nothing if the stage holds every chunk of the version that a
     * load needs first. @p candidates are in ascending order of version. @p isStageInUse tells
     * whether a load or a verification reads the stage.
     */
    std::optional<StageWrite> next(std::span<const StageCandidate> candidates, bool isStageInUse);

private:
    const StageCandidate *target(std::span<const StageCandidate> candidates) const;

    std::vector<std::string> mHeldDigests; ///< by chunk index; empty if unknown
    std::string mTargetDigest; ///< of the version written last
};

} // namespace Loom
