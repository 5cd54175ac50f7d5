/*
 * fetchselection.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Loom {

/** A published version that is newer than the loaded one. */
struct FetchCandidate
{
    std::uint64_t version = 0;
    Instant receivedAt; ///< when this process received the announcement of the version
    double progress = 0; ///< stored fraction of its chunks, from 0 to 1
};

/** A version that is not worth fetching, because a newer one followed it closely. */
struct SkippedVersion
{
    std::uint64_t version = 0;
    std::uint64_t newerVersion = 0;
    Microseconds interval{0}; ///< between the announcements of the two versions
};

/**
 * Decides which published versions are worth fetching. Two versions that are fetched in
 * parallel share the origin's link, so that both arrive late. Owned by the weight staging
 * service for one decision.
 */
class FetchSelection
{
public:
    /** @p originCopyTime is how long the origin needs to send one copy; zero if unknown. */
    explicit FetchSelection(Microseconds originCopyTime)
        : mOriginCopyTime(originCopyTime)
    {
    }

    /** Two versions within less than this time are announced in quick succession. */
    Microseconds successionInterval() const;
    /**
     * The versions not to fetch among @p candidates, which are in ascending order of version.
     * Includes neither the newest version nor any version if the copy time is unknown.
     */
    std::vector<SkippedVersion> skipped(std::span<const FetchCandidate> candidates) const;

private:
    Microseconds mOriginCopyTime;
};

} // namespace Loom
