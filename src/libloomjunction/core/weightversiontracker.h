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

namespace Loom {

/** Version that operators named for one model, and when this process learned of it. */
struct PublishedVersion
{
    std::uint64_t version = 1;
    std::uint64_t previousVersion = 0; ///< the one named before it; zero: none
    Instant learnedAt;
};

/**
 * Which versions of weights may still begin requests. An older one may, until
 * @p gracePeriod after a newer one was named. Owned by the configuration's service.
 */
class WeightVersionTracker
{
public:
    explicit WeightVersionTracker(Milliseconds gracePeriod)
        : mGracePeriod(gracePeriod)
    {
    }

    void setGracePeriod(Milliseconds gracePeriod) { mGracePeriod = gracePeriod; }

    /** @p model has @p version; @p learnedAt lies in the past for an old record. */
    void name(std::string_view model, std::uint64_t version, Instant learnedAt);
    /** The version to bring replicas to; 1 where none was named. */
    std::uint64_t newest(std::string_view model) const;
    /** The oldest version that may begin a request that is sent now. */
    std::uint64_t oldestAllowed(std::string_view model, Instant now) const;
    /** From when on @p version may begin nothing; nothing: no newer one was named. */
    std::optional<Instant> cutoffAt(std::string_view model, std::uint64_t version) const;
    /**
     * When a request that was sent to @p version must be given up unless it has
     * begun; nothing: no newer one was named.
     */
    std::optional<Instant> startDeadline(std::string_view model, std::uint64_t version) const;
    /** Until then no version that is the newest @p now must be given up. */
    Instant nextCheckAt(Instant now) const { return now + mGracePeriod / 2; }
    /** It will be so soon that the way to a replica and the wait there matter. */
    bool isCutoffNear(std::string_view model, std::uint64_t version, Instant now) const;
    /** When @p version was named; the start of time where it was not. */
    Instant learnedAt(std::string_view model, std::uint64_t version) const;
    /** The newest version named for @p model; null: none. */
    const PublishedVersion *find(std::string_view model) const;

private:
    Milliseconds mGracePeriod;
    /** By version: when it was learned. */
    std::map<std::string, std::map<std::uint64_t, PublishedVersion>, std::less<>> mVersionsByModel;
};

} // namespace Loom
