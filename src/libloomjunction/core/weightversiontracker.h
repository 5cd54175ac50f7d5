/*
 * weightversiontracker.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "eventtime.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

/** A version that operators published for a model, and when this process received it. */
struct PublishedVersion
{
    std::uint64_t version = 1;
    EventTime publishedAt;
    /** When this process received the announcement, which may be long after the publication. */
    Instant receivedAt;
};

/** A version and when the first newer one was published. */
struct SupersededVersion
{
    std::string model;
    std::uint64_t version = 1;
    EventTime supersededAt;
};

/**
 * Tracks the published versions of the weights and decides which of them may still
 * start requests. An older version may do so until its cutoff, which lies a grace
 * period after the earliest time at which a newer version may have been published; if
 * that is unknown, the version starts nothing. Owned by the configuration service.
 */
class WeightVersionTracker
{
public:
    explicit WeightVersionTracker(Milliseconds gracePeriod)
        : mGracePeriod(gracePeriod)
    {
    }

    void setGracePeriod(Milliseconds gracePeriod) { mGracePeriod = gracePeriod; }
    Milliseconds gracePeriod() const { return mGracePeriod; }

    /** Records that @p version was published at @p time and received at once. */
    void name(std::string_view model, std::uint64_t version, Instant time)
    {
        name(model, version, EventTime::at(time), time);
    }
    /** Records that @p version was published at @p publishedAt and received at @p receivedAt. */
    void name(std::string_view model, std::uint64_t version, const EventTime &publishedAt,
              Instant receivedAt);
    /** Records that the newest version received until now was the newest one at @p time. */
    void noteNewest(std::string_view model, Instant time);
    /** Applies what another process knows. Returns whether more is known than before. */
    bool narrow(const SupersededVersion &superseded);
    /** The superseded versions whose time is known, of all models; the newest ones of each. */
    std::vector<SupersededVersion> knownSuperseded() const;
    /**
     * Whether a version that was superseded at an unknown time might still start requests at
     * @p now, so that it is of use to ask others.
     */
    bool hasUnknownTime(Instant now) const;
    /** The version that replicas should load; 1 if none was published. */
    std::uint64_t newest(std::string_view model) const;
    /** The oldest version that may start a request sent at @p now. */
    std::uint64_t oldestAllowed(std::string_view model, Instant now) const;
    /**
     * When @p version may no longer start requests; empty if it is the newest version. A cutoff
     * that is unknown counts as passed: it is the clock's epoch.
     */
    std::optional<Instant> cutoffAt(std::string_view model, std::uint64_t version) const;
    /** When the first version newer than @p version was published; empty if it is the newest. */
    std::optional<EventTime> supersededAt(std::string_view model, std::uint64_t version) const;
    /**
     * When a request sent to @p version must be cancelled unless it has started;
     * empty if @p version is the newest.
     */
    std::optional<Instant> startDeadline(std::string_view model, std::uint64_t version) const;
    /** When to look again for a newer version while a request for the newest one waits to start. */
    Instant nextCheckAt(Instant now) const;
    /** Whether the cutoff is so close that network latency and queueing at a replica matter. */
    bool isCutoffNear(std::string_view model, std::uint64_t version, Instant now) const;
    /** When @p version was published; nothing is known of one that was not received. */
    EventTime publishedAt(std::string_view model, std::uint64_t version) const;
    /** The known versions newer than @p version, in ascending order. */
    std::vector<PublishedVersion> newerThan(std::string_view model, std::uint64_t version) const;
    /** The newest version published for @p model; null if there is none. */
    const PublishedVersion *find(std::string_view model) const;

private:
    struct Model
    {
        std::map<std::uint64_t, PublishedVersion> published; ///< by version
        /** When the first version newer than the key was published; see supersededAt(). */
        std::map<std::uint64_t, EventTime> superseded;
        std::uint64_t newestReported = 1; ///< another process has received it

        std::uint64_t newestKnown() const;
        EventTime supersededAt(std::uint64_t version) const;
    };

    Milliseconds mGracePeriod;
    std::map<std::string, Model, std::less<>> mModels; ///< by name
};

} // namespace Loom
