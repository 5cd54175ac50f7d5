/*
 * replicaset.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "callrate.h"
#include "instant.h"
#include "probeplan.h"
#include "refusalratio.h"
#include "replica.h"
#include "replicaestimate.h"
#include "retainednotices.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

/** No replica of the service can take a request now, whatever its load. */
struct NoneUsable
{
    std::uint32_t known = 0;
    Milliseconds comeBack{0};
};
/** All are too busy to answer within the goal. */
struct AllBusy
{
    Milliseconds comeBack{0};
    double minLoad = 0; ///< requests for each slot at the least busy one
    bool areAllPaused = false; ///< all wait for the end of a rest or for their limits
};
struct ChosenReplica
{
    std::string id;
    bool isPatient = false; ///< it will be answered after the goal
    double load = 0; ///< requests there, for each slot, as believed
    Milliseconds loadAge{-1}; ///< of the agent's report; below zero: none
    double answerMs = 0; ///< expected time to an answer or a first event
};
using ReplicaChoice = std::variant<ChosenReplica, AllBusy, NoneUsable>;

/**
 * The replicas that an entry sends requests to without an agent in between,
 * and the choice among them. Owned by the replica service.
 */
class ReplicaSet
{
public:
    /**
     * @p drainTime: a replica that leaves gets nothing after it. @p entry: the
     * key of the gateway that chooses, see ProbePlan.
     */
    explicit ReplicaSet(Milliseconds drainTime, std::string entry = {})
        : mDrainTime(drainTime)
        , mEntry(std::move(entry))
    {
    }

    void setDrainTime(Milliseconds drainTime) { mDrainTime = drainTime; }

    /** A record of the store, new or changed. Draining is final for one life. */
    void put(const ReplicaRecord &record, Instant now);
    /**
     * The record was taken away, @p age ago; @p trusted: by a store that was well
     * all the while. Otherwise the replica is used on for some time from then.
     */
    void remove(std::string_view id, bool trusted, Microseconds age, Instant now);
    /** Its record says nothing that can be read: it gets nothing until the next one. */
    void unreadable(std::string_view id, Instant now);
    /** Another replica answered at the address of @p id, so its life is over. */
    void replaced(std::string_view id, Instant now);
    /** An agent's report on the replica at @p address. */
    void report(std::string_view address, const ReplicaLoad &load, Instant now);
    /** The agent of @p address cannot be heard any more. */
    void reportLost(std::string_view address);

    ReplicaChoice choose(const ReplicaQuery &query, Instant now) const;
    /** When to come back while all rest or are held up by limits; nothing: one is open. */
    std::optional<Milliseconds> retryDelayIfPaused(const ReplicaQuery &query, Instant now) const;
    /** Replicas of @p service that told this gateway to send nothing, and how. */
    std::string pausedByNotices(std::string_view service, Instant now) const;
    /** Replicas whose agents should be asked before a choice; @p asked: they were. */
    std::vector<const Replica *> replicasToProbe(const ReplicaQuery &query, ProbeRound round,
                                                 std::span<const std::string> asked,
                                                 Instant now) const;
    /** Replicas of an engine's service that this gateway should keep links to. */
    std::vector<const Replica *> subset(const ReplicaQuery &query, Instant now) const;

    /** A caller's request for @p service came. */
    void noteCall(std::string_view service, Milliseconds goal, Instant now);
    /** What choose() said of a caller's request in the end. */
    void noteChoice(const ReplicaQuery &query, const ReplicaChoice &choice, Instant now);
    void began(std::string_view id, bool isPatient, Instant now);
    /** The answer or its first event came, @p took after the request was sent. */
    void answerBegan(std::string_view id, bool isPatient, Microseconds took);
    void ended(std::string_view id, ReplicaOutcome outcome, Instant now);
    /** The request ends without an answer; ended() follows. */
    void answerMissed(std::string_view id, bool isPatient);

    /** An answer of the replica, which came at @p now, named @p perSecond. */
    LimitChange noteNamedLimit(std::string_view id, double perSecond, Instant now);
    /** What another process told of a replica's limit. */
    LimitChange applyLimit(const ReportedLimit &told, Instant now);
    /** Nothing may be sent to the replica under its limit before @p until. */
    void setRateLimitedUntil(std::string_view id, Instant until);
    /** An answer to a request that was sent at @p sentAt named no limit. */
    LimitChange noteNoLimit(std::string_view id, Instant sentAt, Instant now);

    /**
     * An answer of the life of the replica @p id that began at @p born (zero: the one
     * that is known) came @p now. The life need not be in the set.
     */
    NoticeChange applyNotice(std::string_view id, std::uint64_t born, const ReplicaNotice &notice,
                             Instant now);

    const Replica *find(std::string_view id) const;
    const std::map<std::string, Replica, std::less<>> &all() const { return mReplicas; }

    /** Takes replicas out for good that no request uses any more. */
    void sweep(Instant now);

private:
    struct Candidate
    {
        const Replica *replica = nullptr;
        ReplicaEstimate offer;
    };

    /** What the replicas that were looked at for one request offer together. */
    struct Survey
    {
        std::vector<Candidate> prompt; ///< meet the goal
        std::vector<Candidate> open; ///< take a request that misses it
        std::size_t looked = 0;
        double horizonMs = 0; ///< sum of the times that their loads are unknown for
        double room = 0;
        double freeSlots = 0;
        double minLoad = 0;
    };

    static bool isCandidate(const Replica &replica, const ReplicaQuery &query, Instant now);
    std::vector<const Replica *> candidatesFor(const ReplicaQuery &query, Instant now) const;
    void keepNotices(const Replica &replica, Instant now);
    void retireEarlierIncarnations(const ReplicaRecord &record, Instant now);
    static void forgiveReloadFailures(Replica &replica, Instant now);
    static void stopAwaitingFirstByte(Replica &replica, bool isPatient);
    std::optional<Instant> nextAvailability(const ReplicaQuery &query, Instant now) const;
    std::uint32_t serviceReplicaCount(std::string_view service) const;
    double minAnswerMs(const ReplicaEstimator &estimator) const;
    std::vector<const Replica *> usableFor(const ReplicaQuery &query,
                                           const ReplicaEstimator &estimator) const;
    static double unreportedMs(const Replica &replica, const ReplicaQuery &query, Instant now);
    static Survey survey(std::span<const Replica *const> usable, const ReplicaQuery &query,
                         const ReplicaEstimator &estimator, Instant now);
    double expectedCalls(const ReplicaQuery &query, const Survey &survey, std::size_t usable,
                         Instant now) const;
    static const Candidate &pickWeighted(std::span<const Candidate> candidates, double requests,
                                         double random);
    static bool canMeetGoal(const ReplicaQuery &query);
    bool isServiceOverloaded(std::string_view service, Instant now) const;

    Milliseconds mDrainTime;
    std::string mEntry;
    std::map<std::string, CallRate, std::less<>> mCalls; ///< by service
    std::map<std::string, RefusalRatio, std::less<>> mRefusals; ///< by service
    std::map<std::string, Replica, std::less<>> mReplicas;
    RetainedNotices mRetained;
};

} // namespace Loom
