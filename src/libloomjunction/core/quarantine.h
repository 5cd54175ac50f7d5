/*
 * quarantine.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "crashattribution.h"
#include "instant.h"
#include "provenparts.h"
#include "quarantinesubject.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Loom {

/** Limits of a Quarantine. The source states the reasons for them. */
struct QuarantineLimits
{
    AttributionLimits crashes; ///< numbers of crashed replicas at which requests are refused
    /** Number of crashes from which on a call does not retry the request. */
    std::size_t noRepeatAfter = 2;
    /** The same for crashes under a part of its prompt that is not known to be sound. */
    std::size_t noPartRepeatAfter = 3;
    /** Durations of refusal; each trial that crashes a replica leads to the next one. */
    std::array<Milliseconds, 4> refusalPeriods{Milliseconds(60'000), Milliseconds(600'000),
                                               Milliseconds(3'600'000), Milliseconds(28'800'000)};
    Milliseconds trialTimeout{10'000}; ///< after it, a trial without a result permits another one
    Milliseconds retryElsewhere{1'000}; ///< retry delay while another gateway gives the trial
    Milliseconds crashMemory{600'000}; ///< after it, too few crashes for a refusal are forgotten
    Milliseconds recentCrashes{60'000}; ///< age at which a crash is no longer recent
    Milliseconds reportTime{300}; ///< by then all gateways have reported who was at a crash
    std::size_t maxEntries = 4'096; ///< maximum number of remembered subjects
    std::size_t maxProvenParts = 8'192;
};

/** Known crashes of replicas that were running requests with one subject. */
struct QuarantineEntry
{
    /** Maximum size of lives; more of them add no information. */
    static constexpr std::size_t sMaxLives = 32;

    QuarantineSubject subject;
    std::string account; ///< of the first request that was known to be present at a crash
    /** Number of successful runs so far; crashes of earlier epochs no longer count. */
    std::uint32_t epoch = 0;
    std::uint32_t failedTrials = 0; ///< trials of this epoch that crashed a replica
    std::set<std::string> lives; ///< incarnations of the replicas that crashed
    Instant lastEventAt; ///< last crash or successful run
};

/** Effect of a crash or of a report by another gateway. */
enum class QuarantineNews : std::uint8_t
{
    Nothing,
    Known, ///< the entry changed and must be sent to other gateways
    Refused, ///< the subject is refused from now on
};

/** Subjects that are refused, or no longer refused, since the last query. */
struct QuarantineChanges
{
    std::vector<QuarantineSubject> refused;
    std::vector<QuarantineSubject> released; ///< other subjects explain their crashes
};

/**
 * Requests that are refused because replicas crashed while running them, or running others with
 * the same prompt part. Gateways send each other their entries and converge to the same state, in
 * whatever order and however often the entries arrive. Owned by the quarantine service.
 */
class Quarantine
{
public:
    explicit Quarantine(QuarantineLimits limits = {})
        : mLimits(limits)
        , mProvenParts(limits.maxProvenParts)
    {
    }

    /** Whether no crashes are known. */
    bool isEmpty() const { return mEntries.empty(); }
    std::size_t size() const { return mEntries.size(); }

    /** The replica process @p incarnation ended while running a request with the subject. */
    QuarantineNews noteCrash(const QuarantineSubject &subject, const std::string &account,
                             const std::string &incarnation, Instant now);
    /** A request with the subject succeeded; returns true if that clears it of earlier crashes. */
    bool noteSuccess(const QuarantineSubject &subject, Instant now);
    /** Merges the entry of another gateway. */
    QuarantineNews merge(const QuarantineEntry &reported, Instant now);

    /** The subjects for which a request with all of @p subjects is refused or needs a trial. */
    std::vector<QuarantineSubject> culprits(std::span<const QuarantineSubject> subjects) const;
    /** The subjects that a refused request must have besides @p subject, see CrashCulprit. */
    std::vector<QuarantineSubject> companions(const QuarantineSubject &subject) const;
    /**
     * Remaining time of refusal, or nothing if requests with the subject may run. After a refusal
     * one request gets a trial, which only the subject's home gateway gives.
     */
    std::optional<Milliseconds> refusedFor(const QuarantineSubject &subject, bool isHome,
                                           Instant now) const;
    /** A request is sent to a replica; that is the subject's trial if it was refused. */
    void noteSent(const QuarantineSubject &subject, Instant now);
    /** Whether a request with the subject may run, but must not be retried within its call. */
    bool isRetryForbidden(const QuarantineSubject &subject) const;
    /** Takes into account that reports of crashes are complete by now. */
    void settle(Instant now);
    /** Returns what changed since the last call. */
    QuarantineChanges takeChanges();

    const QuarantineEntry *find(const QuarantineSubject &subject) const;
    /** Number of changes so far. */
    std::uint64_t revision() const { return mRevision; }
    /**
     * Returns at most @p maxEntries entries that changed after @p revision, oldest change
     * first. Sets @p revision to that of the last one, or to the current one if all
     * changes were returned.
     */
    std::vector<QuarantineEntry> changedSince(std::uint64_t &revision,
                                              std::size_t maxEntries) const;

    /** Removes expired entries and returns their subjects. */
    std::vector<QuarantineSubject> sweep(Instant now);

private:
    struct TrackedSubject
    {
        QuarantineEntry entry;
        std::uint64_t revision = 0;
        std::size_t attributedWith = 0; ///< number of lives when it became a culprit; 0: it is none
        std::vector<QuarantineSubject> companions; ///< see CrashCulprit
        std::optional<Instant> trialStartedAt; ///< start of the last trial that this gateway gave
    };

    TrackedSubject &findOrCreate(const QuarantineSubject &subject, const std::string &account);
    void evictOne(const std::string &account);
    void noteChange(TrackedSubject &held);
    void beginEpoch(QuarantineEntry &entry, std::uint32_t epoch);
    void noteLife(const std::string &incarnation, Instant at);
    bool isProvenPart(const QuarantineSubject &subject) const;
    QuarantineNews newsAfterCrash(const QuarantineSubject &subject, bool wasCulprit, Instant now);
    void attribute(Instant now);
    Milliseconds refusalPeriod(const QuarantineEntry &entry) const;
    bool isExpired(const QuarantineEntry &entry, Instant now) const;
    void erase(const QuarantineSubject &subject);

    QuarantineLimits mLimits;
    std::map<QuarantineSubject, TrackedSubject> mEntries;
    std::map<std::uint64_t, QuarantineSubject> mByRevision;
    std::uint64_t mRevision = 0;
    ProvenParts mProvenParts;
    std::map<std::string, Instant> mRecentCrashes; ///< by incarnation of the replica
    std::optional<Instant> mNextSettlingAt; ///< when reports of a crash will be complete
    std::set<QuarantineSubject> mCulprits;
    std::set<QuarantineSubject> mReportedCulprits; ///< at the last call of takeChanges()
};

} // namespace Loom
