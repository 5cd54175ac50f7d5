/*
 * weightversiontracker.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** A version that operators published for a model, and when this process learned of it. */
struct PublishedVersion
{
    std::uint64_t version = 1;
    std::uint64_t previousVersion = 0; ///< the next older published version; zero if there is none
    Instant learnedAt;
    /** When this process received the announcement, which may be long after the publication. */
    Instant receivedAt;
};

/**
 * Tracks the published versions of the weights and decides which of them may still
 * start requests. An older version may do so until its cutoff, which lies a grace
 * period after a newer version was published. Owned by the configuration service.
 */
class WeightVersionTracker
{
public:
    explicit WeightVersionTracker(Milliseconds gracePeriod)
        : mGracePeriod(gracePeriod)
    {
    }

    void setGracePeriod(Milliseconds gracePeriod) { mGracePeriod = gracePeriod; }

    /** Records that @p version was published at @p learnedAt, which may lie in the past. */
    void name(std::string_view model, std::uint64_t version, Instant learnedAt)
    {
        name(model, version, learnedAt, learnedAt);
    }
    /** As above, for an announcement that was received at @p receivedAt. */
    void name(std::string_view model, std::uint64_t version, Instant learnedAt, Instant receivedAt);
    /** The version that replicas should load; 1 if none was published. */
    std::uint64_t newest(std::string_view model) const;
    /** The oldest version that may start a request sent at @p now. */
    std::uint64_t oldestAllowed(std::string_view model, Instant now) const;
    /** When @p version may no longer start requests; empty if it is the newest version. */
    std::optional<Instant> cutoffAt(std::string_view model, std::uint64_t version) const;
    /** When the first version newer than @p version was learned of; empty if it is the newest. */
    std::optional<Instant> supersededAt(std::string_view model, std::uint64_t version) const;
    /**
     * When a request sent to @p version must be cancelled unless it has started;
     * empty if @p version is the newest.
     */
    std::optional<Instant> startDeadline(std::string_view model, std::uint64_t version) const;
    /** The start deadline of a version that is the newest at @p now cannot be earlier. */
    Instant nextCheckAt(Instant now) const { return now + mGracePeriod / 2; }
    /** Whether the cutoff is so close that network latency and queueing at a replica matter. */
    bool isCutoffNear(std::string_view model, std::uint64_t version, Instant now) const;
    /** When @p version was learned of; a default Instant if it is unknown. */
    Instant learnedAt(std::string_view model, std::uint64_t version) const;
    /** The known versions newer than @p version, in ascending order. */
    std::vector<PublishedVersion> newerThan(std::string_view model, std::uint64_t version) const;
    /** The newest version published for @p model; null if there is none. */
    const PublishedVersion *find(std::string_view model) const;

private:
    Milliseconds mGracePeriod;
    /** Published versions by model and version number. */
    std::map<std::string, std::map<std::uint64_t, PublishedVersion>, std::less<>> mVersionsByModel;
};

} // namespace Loom
