/*
 * replicaestimate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "enginemodel.h"
#include "placement.h"
#include "replica.h"
#include "requestrank.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Loom {

class WeightVersionTracker;

/** Fraction of a goal that plans may use; the rest is a margin for estimation errors. */
inline constexpr double sPlannableGoalFraction = 0.85;

/**
 * What a request requires of a replica. A choice that waits for agents keeps the query for longer
 * than a function call: what its views and pointers refer to must not change until the choice ends.
 */
struct ReplicaQuery
{
    std::string_view service;
    std::string_view dataCentre; ///< the gateway's own one
    const EngineProfile *engine = nullptr; ///< null for a service without an engine model
    Milliseconds goal{0};
    double promptTokens = 0; ///< zero: unknown
    std::uint64_t minVersion = 0; ///< lowest usable version of the weights; zero: none is needed
    /** Knows which versions of @c model expire soon. Null for a plain service. */
    const WeightVersionTracker *weights = nullptr;
    std::string_view model;
    std::uint32_t gatewayCount = 1; ///< gateways that share the replicas
    /** Time since the caller's first attempt at any gateway; the goal counts from then. */
    Milliseconds waited{0};
    /** Time until the caller gives up; zero: unknown. */
    Milliseconds timeLeft{0};
    /** The caller has received the start of a stream that has to be continued. */
    bool isResumed = false;
    AllowedRegions regions; ///< of the replicas that may be chosen
    /** Ids of replicas that must not be chosen. Owned, since the call may add to its list of tried
        replicas while the choice waits. */
    std::vector<std::string> excluded;
    /** Ids of replicas whose agents just answered a probe; the choice is limited to them.
        Empty: it is not. */
    std::span<const std::string> answered;
    std::uint64_t random = 0; ///< seed of the random decisions
    RequestStanding standing; ///< as CallPriorities determined it when the call arrived
    std::string_view account; ///< see CallOrigin
    double work = 1; ///< see CallOrigin
    /** Seed of decisions that are the same for immediate repeats of the request. */
    std::uint64_t repeatSeed = 0;
};

/** Prediction for one request at one replica. Times in milliseconds. */
struct ReplicaEstimate
{
    double answer = 0; ///< expected time to the answer or its first event
    double cost = 0; ///< expected time plus penalties, to compare replicas
    double costPerRequest = 1; ///< increase of the cost by one more request
    double load = 0; ///< requests ahead per slot
    double room = 0; ///< number of further requests that would meet the goal
    double freeSlots = 0; ///< slots that are neither used nor waited for
    bool meetsGoal = false; ///< the answer is expected within the goal
    bool acceptsLate = false; ///< a request that misses its goal may be sent there
};

/**
 * Predicts how replicas would serve one request, from their state at one moment.
 * Lives as long as one choice.
 */
class ReplicaEstimator
{
public:
    /** @p shortestGoal: shortest common goal of the service's calls; it bounds the room. */
    ReplicaEstimator(const ReplicaQuery &query, Milliseconds shortestGoal, Instant now)
        : mQuery(query)
        , mShortestGoal(shortestGoal)
        , mNow(now)
    {
    }

    /** Sets the fastest usable replica's answer time, for comparison; zero: unknown. */
    void setMinAnswerMs(double milliseconds) { mMinAnswerMs = milliseconds; }

    /** Whether @p replica may take the request at all, independent of its load. */
    bool isUsable(const Replica &replica) const;
    /** Whether the request would certainly start before the replica's weights expire. */
    bool startsBeforeExpiry(const Replica &replica) const;
    /** Whether reports of the replica's agent are overdue, so that its box may hang. */
    bool isSilent(const Replica &replica) const;
    ReplicaEstimate estimate(const Replica &replica) const;

private:
    void applyRateLimit(ReplicaEstimate &estimate, const Replica &replica) const;
    bool isSlow(const Replica &replica) const;
    bool hasJustBeenProbed(const Replica &replica) const;
    std::uint32_t waitingPatientRequests(const Replica &replica) const;
    EngineLoad engineLoad(const Replica &replica) const;
    ReplicaEstimate engineEstimate(const Replica &replica) const;
    ReplicaEstimate plainEstimate(const Replica &replica) const;

    const ReplicaQuery &mQuery;
    Milliseconds mShortestGoal;
    Instant mNow;
    double mMinAnswerMs = 0;
};

} // namespace Loom
