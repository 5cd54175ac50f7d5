/*
 * replicaset.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "callpriorities.h"
#include "callrate.h"
#include "demandestimate.h"
#include "instant.h"
#include "placement.h"
#include "probeplan.h"
#include "refusalratio.h"
#include "replica.h"
#include "replicaestimate.h"
#include "replicasurvey.h"
#include "retainednotices.h"
#include "sizeshares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Loom {

/** No replica of the service can take a request now, independent of load. */
struct NoneUsable
{
    std::uint32_t known = 0; ///< replicas of the service in the set
    Milliseconds retryAfter{0}; ///< retry delay for the caller
    bool isRegionBound = false; ///< the request may be served in some regions only
    bool areWeightsExpired = false; ///< replicas are there, but their weights may start nothing
};
/** All usable replicas are too busy to answer within the goal, or all are paused. */
struct AllBusy
{
    Milliseconds retryAfter{0}; ///< retry delay for the caller
    double minLoad = 0; ///< requests per slot at the least busy replica
    bool areAllPaused = false; ///< all replicas rest or are rate limited
    double reserved = 0; ///< capacity kept free for more urgent requests, in requests
    bool isHeldBack = false; ///< there is capacity, but it is reserved
    /** A request of the mean size would have been sent, but this one would miss its goal. */
    bool isForSize = false;
};
/** The replica that a request is to be sent to. */
struct ChosenReplica
{
    std::string id;
    bool isPatient = false; ///< the answer will miss the goal, so the request yields to others
    /** The prompt is too long for the goal, and the place is due to a request of its size. */
    bool isLateForSize = false;
    double load = 0; ///< estimated requests per slot at the replica
    Milliseconds loadAge{-1}; ///< age of the agent's report; below zero: there is none
    double answerMs = 0; ///< expected time to the answer or its first event
    double reserved = 0; ///< capacity kept free for more urgent requests, in requests
    std::uint8_t urgencyLevel = UrgencyDemand::sDefaultLevel; ///< see UrgencyDemand
    std::uint64_t waitingTokens = 0; ///< that the agent reported; zero: unknown
};
using ReplicaChoice = std::variant<ChosenReplica, AllBusy, NoneUsable>;

/**
 * The replicas that a gateway sends requests to directly, and the choice among
 * them. Owned by the replica service.
 */
class ReplicaSet
{
public:
    /**
     * @p drainTime: how long a leaving replica may still get requests. @p gatewayKey: key of
     * the choosing gateway, see ProbePlan.
     */
    explicit ReplicaSet(Milliseconds drainTime, std::string gatewayKey = {})
        : mDrainTime(drainTime)
        , mGatewayKey(std::move(gatewayKey))
    {
    }

    void setDrainTime(Milliseconds drainTime) { mDrainTime = drainTime; }

    /** Sets the regions of the data centres that are known. */
    void setRegions(DataCentreRegions regions);
    /** Starts or ends the evacuation of @p dataCentre; its replicas get no requests meanwhile. */
    void setEvacuated(std::string_view dataCentre, bool isEvacuated);
    const Placement &placement() const { return mPlacement; }
    /** Number of known replicas in @p dataCentre. */
    std::size_t replicaCountIn(std::string_view dataCentre) const;

    /** Adds or updates a replica from its record. Draining is final for an incarnation. */
    void put(const ReplicaRecord &record, Instant now);
    /**
     * Removes a replica whose record was removed at most @p maxAge ago, or at an unknown time.
     * @p trusted: the store was healthy throughout. Otherwise the replica stays usable for a
     * grace period, counted from the removal.
     */
    void remove(std::string_view id, bool trusted, std::optional<Microseconds> maxAge, Instant now);
    /**
     * Pauses the replica @p id, whose removal was known before the store returned from a copy
     * that holds its record. A replica that is gone has lost its record again by the end of the
     * pause.
     */
    void awaitConfirmation(std::string_view id, Instant now);
    /** Disables the replica until its next record, because the current one is unreadable. */
    void unreadable(std::string_view id, Instant now);
    /**
     * Disables the replica @p id until its record would have lapsed, because replica @p by answered
     * at its address; an empty @p by is unknown. If @p by was disabled for the record of @p id, it
     * is usable again.
     */
    void replaced(std::string_view id, std::string_view by, Instant now);
    /** Sets the rates for cold replicas by service; a service without one has no such limit. */
    void setColdRates(std::map<std::string, double, std::less<>> perSecond);
    /**
     * An answer of the incarnation of replica @p id that started at @p born (zero: the known one)
     * stated at @p now that it is cold for @p left.
     */
    void noteCold(std::string_view id, std::uint64_t born, Milliseconds left, Instant now);
    /** Stores an agent's report on the replica at @p address. */
    void report(std::string_view address, const ReplicaLoad &load, Instant now);
    /** Discards the load of the replica at @p address, because its agent is unreachable. */
    void reportLost(std::string_view address);

    ReplicaChoice choose(const ReplicaQuery &query, Instant now) const;
    /**
     * Retry delay for callers while all replicas rest or are rate limited; empty: at least
     * one of them is not.
     */
    std::optional<Milliseconds> retryDelayIfPaused(const ReplicaQuery &query, Instant now) const;
    /**
     * Replicas of @p service that are leaving, resting, displaced or at their concurrency limit,
     * with the reason, as log text.
     */
    std::string pausedByNotices(std::string_view service, Instant now) const;
    /** Replicas whose agents should be probed before a choice, without those in @p probed. */
    std::vector<const Replica *> replicasToProbe(const ReplicaQuery &query, ProbeRound round,
                                                 std::span<const std::string> probed,
                                                 Instant now) const;
    /** Replicas of an engine's service that this gateway should keep connections to. */
    std::vector<const Replica *> subset(const ReplicaQuery &query, Instant now) const;

    /** Calls per millisecond for @p service at this gateway. */
    double ownCallsPerMs(std::string_view service, Instant now) const;
    /** Mean rate of calls for @p service over all gateways. */
    MeanDemand meanDemand(std::string_view service, std::string_view dataCentre, Instant now) const;
    /** The rates of calls that other gateways report. */
    DemandEstimate &demand() { return mDemand; }
    /**
     * Counts a caller's request for @p service and returns its standing. @p origin: empty for a
     * service without an engine, which has no standings.
     */
    RequestStanding noteCall(std::string_view service, Milliseconds goal, Instant now,
                             const std::optional<CallOrigin> &origin = std::nullopt);
    /** Counts the final result of choose() for a caller's request. */
    void noteChoice(const ReplicaQuery &query, const ReplicaChoice &choice, Instant now);
    /** A request was sent to the replica. */
    void began(std::string_view id, bool isPatient, Instant now, std::uint64_t promptTokens = 0);
    /** The answer or its first event arrived @p elapsed after the request was sent. */
    void answerStarted(std::string_view id, bool isPatient, Microseconds elapsed);
    /** A request to the replica ended. */
    void ended(std::string_view id, ReplicaOutcome outcome, Instant now);
    /** The request will get no answer; a call of ended() follows. */
    void answerMissed(std::string_view id, bool isPatient);

    /** An answer of the replica that arrived at @p now stated the limit @p perSecond. */
    LimitChange noteNamedLimit(std::string_view id, double perSecond, Instant now);
    /** Applies a replica's limit that another process reported. */
    LimitChange applyLimit(const ReportedLimit &told, Instant now);
    /** Sets when the replica's limit permits the next request. */
    void setRateLimitedUntil(std::string_view id, Instant until);
    /** An answer to a request that was sent at @p sentAt stated no limit. */
    LimitChange noteNoLimit(std::string_view id, Instant sentAt, Instant now);

    /**
     * Applies a notice from an answer that arrived at @p now. It came from the incarnation
     * of replica @p id that started at @p born (zero: the known one), which need not be in
     * the set.
     */
    NoticeChange applyNotice(std::string_view id, std::uint64_t born, const ReplicaNotice &notice,
                             Instant now);

    const Replica *find(std::string_view id) const;
    const std::map<std::string, Replica, std::less<>> &all() const { return mReplicas; }

    /** Deletes removed replicas that have no request in flight. */
    void sweep(Instant now);

private:
    static bool isCandidate(const Replica &replica, const ReplicaQuery &query, Instant now);
    std::vector<const Replica *> candidatesFor(const ReplicaQuery &query, Instant now) const;
    ProbePlan probePlan(const ReplicaQuery &query, Instant now) const;
    void keepNotices(const Replica &replica, Instant now);
    double coldRate(std::string_view service) const;
    static bool isEarlier(const ReplicaRecord &record, const ReplicaRecord &other);
    void displaceEarlierIncarnations(const ReplicaRecord &record, Instant now);
    static bool mayDisplace(const Replica &replica, const Replica &other);
    static void forgiveReloadFailures(Replica &replica, Instant now);
    static void stopAwaitingFirstByte(Replica &replica, bool isPatient);
    static std::string pauseReason(const Replica &replica, Instant now);
    std::optional<Instant> nextAvailability(const ReplicaQuery &query, Instant now) const;
    void place(Replica &replica) const;
    std::size_t sharingCount(const ReplicaQuery &query, std::size_t usableCount,
                             Milliseconds shortestGoal, Instant now) const;
    std::uint32_t serviceReplicaCount(std::string_view service) const;
    double minAnswerMs(const ReplicaEstimator &estimator) const;
    std::vector<const Replica *> usableFor(const ReplicaQuery &query,
                                           const ReplicaEstimator &estimator) const;
    static double unreportedMs(const Replica &replica, const ReplicaQuery &query, Instant now);
    static ReplicaSurvey survey(std::span<const Replica *const> usable, const ReplicaQuery &query,
                                const ReplicaEstimator &estimator, Instant now);
    double expectedCalls(const ReplicaQuery &query, const ReplicaSurvey &survey,
                         std::size_t usableCount, Instant now) const;
    static double reservedFor(const ReplicaQuery &query, const Precedence &precedence,
                              const ReplicaSurvey &survey, double expected);
    ReplicaChoice choiceWithoutUsable(const ReplicaQuery &query, Instant now) const;
    bool hasExpiredWeights(const ReplicaQuery &query) const;
    static ChosenReplica chosenReplica(const ReplicaCandidate &candidate, Instant now);
    static bool canMeetGoal(const ReplicaQuery &query);
    double refusalRatio(std::string_view service, Instant now) const;
    static SizeShares::Group sizeGroup(const ReplicaQuery &query);
    bool isDueForSize(const ReplicaQuery &query, Instant now) const;
    void noteOffer(const ReplicaQuery &query, const ReplicaChoice &choice, Instant now);

    Milliseconds mDrainTime;
    std::string mGatewayKey;
    std::map<std::string, double, std::less<>> mColdRates; ///< by service
    std::map<std::string, CallRate, std::less<>> mCalls; ///< by service
    DemandEstimate mDemand;
    std::map<std::string, RefusalRatio, std::less<>> mRefusals; ///< by service
    std::map<std::string, SizeShares, std::less<>> mSizeShares; ///< by service
    CallPriorities mPriorities;
    std::map<std::string, Replica, std::less<>> mReplicas;
    RetainedNotices mRetained;
    Placement mPlacement;
};

} // namespace Loom
