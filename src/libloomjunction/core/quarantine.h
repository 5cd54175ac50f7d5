/*
 * quarantine.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "instant.h"
#include "requestdigest.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Loom {

/** Bounds of a Quarantine; their reasons stand in the source. */
struct QuarantineLimits
{
    std::size_t crashes = 3; ///< so many replicas end under a request before it is refused
    std::size_t noRepeatAfter = 2; ///< from so many on, it is not repeated within one call
    /** Of refusals, the next one after each trial that ended a replica. */
    std::array<Milliseconds, 4> refusalPeriods{Milliseconds(60'000), Milliseconds(600'000),
                                               Milliseconds(3'600'000), Milliseconds(28'800'000)};
    Milliseconds trialTimeout{10'000}; ///< one that has not ended by then tells nothing
    Milliseconds retryElsewhere{1'000}; ///< callers that come when another gateway gives the trial
    Milliseconds crashMemory{600'000}; ///< crashes that are too few are forgotten after it
    std::size_t maxEntries = 4'096; ///< requests that are remembered
};

/** What is known of one request that replicas ended under. */
struct QuarantineEntry
{
    RequestDigest digest;
    std::string account;
    /** Good ends so far; crashes of an earlier epoch count no more. */
    std::uint32_t epoch = 0;
    std::set<std::string> lives; ///< of the replicas that ended while they ran it
    Instant lastEventAt; ///< or the last good end
};

/** What a crash, or news of some, changed. */
enum class QuarantineNews : std::uint8_t
{
    Nothing,
    Known, ///< there is something to tell others
    Refused, ///< from now on the request is refused
};

/**
 * Requests that are refused, since the replicas that ran them ended. Gateways tell each
 * other what they saw; in whatever order and however often news comes, all end up with
 * the same. Owned by the quarantine service.
 */
class Quarantine
{
public:
    explicit Quarantine(QuarantineLimits bounds = {})
        : mBounds(bounds)
    {
    }

    bool isEmpty() const { return mEntries.empty(); }
    std::size_t size() const { return mEntries.size(); }

    /** The replica life @p life ended while it ran the request. */
    QuarantineNews noteCrash(const RequestDigest &digest, const std::string &account,
                             const std::string &incarnation, Instant now);
    /** It ran to a good end somewhere; true where that clears it of anything. */
    bool noteGoodEnd(const RequestDigest &digest, Instant now);
    /** What another gateway knows. */
    QuarantineNews merge(const QuarantineEntry &reported, Instant now);

    /**
     * For how long the request is refused yet; nothing: it may run. When its time is over
     * it gets one trial, at the gateway that is its home.
     */
    std::optional<Milliseconds> refusedFor(const RequestDigest &digest, bool isHome,
                                           Instant now) const;
    /** It is sent to a replica, which is its trial if it was refused. */
    void noteSent(const RequestDigest &digest, Instant now);
    /** It may run, but must not be repeated within its call. */
    bool isHeldBack(const RequestDigest &digest) const;

    const QuarantineEntry *find(const RequestDigest &digest) const;
    /** Counts changes. */
    std::uint64_t revision() const { return mRevision; }
    /**
     * Entries that changed after @p revision, oldest change first, @p most of them.
     * @p revision becomes that of the last one, or of now where none is left.
     */
    std::vector<QuarantineEntry> changedSince(std::uint64_t &revision,
                                              std::size_t maxEntries) const;

    /** Forgets what is over; gives the requests. */
    std::vector<RequestDigest> sweep(Instant now);

private:
    struct TrackedRequest
    {
        QuarantineEntry entry;
        std::uint64_t revision = 0;
        std::optional<Instant> trialStartedAt; ///< here, and no end of it is known
    };

    TrackedRequest &findOrCreate(const RequestDigest &digest, const std::string &account);
    void evictOne(const std::string &account);
    void noteChange(TrackedRequest &held);
    QuarantineNews changeAfterCrash(TrackedRequest &held, bool wasRefused, Instant now);
    bool isRefused(const QuarantineEntry &entry, Instant now) const;
    Milliseconds refusalPeriod(const QuarantineEntry &entry) const;
    bool isExpired(const QuarantineEntry &entry, Instant now) const;
    void erase(const RequestDigest &digest);

    QuarantineLimits mBounds;
    std::map<RequestDigest, TrackedRequest> mEntries;
    std::map<std::uint64_t, RequestDigest> mByRevision;
    std::uint64_t mRevision = 0;
};

} // namespace Loom
