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

/** Limits of a Quarantine. The source states the reasons for them. */
struct QuarantineLimits
{
    std::size_t crashes = 3; ///< number of crashed replicas at which a request is refused
    std::size_t noRepeatAfter = 2; ///< number of crashes from which on a call does not retry it
    /** Durations of refusal; each trial that crashes a replica leads to the next one. */
    std::array<Milliseconds, 4> refusalPeriods{Milliseconds(60'000), Milliseconds(600'000),
                                               Milliseconds(3'600'000), Milliseconds(28'800'000)};
    Milliseconds trialTimeout{10'000}; ///< after it, a trial without a result permits another one
    Milliseconds retryElsewhere{1'000}; ///< retry delay while another gateway gives the trial
    Milliseconds crashMemory{600'000}; ///< after it, too few crashes for a refusal are forgotten
    std::size_t maxEntries = 4'096; ///< maximum number of remembered requests
};

/** Known crashes of replicas that were running one request. */
struct QuarantineEntry
{
    RequestDigest digest;
    std::string account;
    /** Number of successful runs so far; crashes of earlier epochs no longer count. */
    std::uint32_t epoch = 0;
    std::set<std::string> lives; ///< incarnations of the replicas that crashed
    Instant lastEventAt; ///< last crash or successful run
};

/** Effect of a crash or of a report by another gateway. */
enum class QuarantineNews : std::uint8_t
{
    Nothing,
    Known, ///< the entry changed and must be sent to other gateways
    Refused, ///< the request is refused from now on
};

/**
 * Requests that are refused because replicas crashed while running them. Gateways send each
 * other their entries and converge to the same state, in whatever order and however often
 * the entries arrive. Owned by the quarantine service.
 */
class Quarantine
{
public:
    explicit Quarantine(QuarantineLimits limits = {})
        : mLimits(limits)
    {
    }

    bool isEmpty() const { return mEntries.empty(); }
    std::size_t size() const { return mEntries.size(); }

    /** The replica process @p incarnation ended while running the request. */
    QuarantineNews noteCrash(const RequestDigest &digest, const std::string &account,
                             const std::string &incarnation, Instant now);
    /** The request ran successfully; returns true if that clears it of earlier crashes. */
    bool noteSuccess(const RequestDigest &digest, Instant now);
    /** Merges the entry of another gateway. */
    QuarantineNews merge(const QuarantineEntry &reported, Instant now);

    /**
     * Remaining time of refusal, or nothing if the request may run. After a refusal the
     * request gets one trial, which only its home gateway gives.
     */
    std::optional<Milliseconds> refusedFor(const RequestDigest &digest, bool isHome,
                                           Instant now) const;
    /** The request is sent to a replica; that is its trial if it was refused. */
    void noteSent(const RequestDigest &digest, Instant now);
    /** Whether the request may run, but must not be retried within its call. */
    bool isRetryForbidden(const RequestDigest &digest) const;

    const QuarantineEntry *find(const RequestDigest &digest) const;
    /** Number of changes so far. */
    std::uint64_t revision() const { return mRevision; }
    /**
     * Returns at most @p maxEntries entries that changed after @p revision, oldest change
     * first. Sets @p revision to that of the last one, or to the current one if all
     * changes were returned.
     */
    std::vector<QuarantineEntry> changedSince(std::uint64_t &revision,
                                              std::size_t maxEntries) const;

    /** Removes expired entries and returns their digests. */
    std::vector<RequestDigest> sweep(Instant now);

private:
    struct TrackedRequest
    {
        QuarantineEntry entry;
        std::uint64_t revision = 0;
        std::optional<Instant> trialStartedAt; ///< start of the last trial that this gateway gave
    };

    TrackedRequest &findOrCreate(const RequestDigest &digest, const std::string &account);
    void evictOne(const std::string &account);
    void noteChange(TrackedRequest &held);
    QuarantineNews changeAfterCrash(TrackedRequest &held, bool wasRefused, Instant now);
    bool isRefused(const QuarantineEntry &entry, Instant now) const;
    Milliseconds refusalPeriod(const QuarantineEntry &entry) const;
    bool isExpired(const QuarantineEntry &entry, Instant now) const;
    void erase(const RequestDigest &digest);

    QuarantineLimits mLimits;
    std::map<RequestDigest, TrackedRequest> mEntries;
    std::map<std::uint64_t, RequestDigest> mByRevision;
    std::uint64_t mRevision = 0;
};

} // namespace Loom
