/*
 * replicaestimate.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "enginemodel.h"
#include "replica.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Loom {

class WeightsGoal;

/** Part of a goal that may be planned with; the rest is for what is not known. */
inline constexpr double sPlannableGoalFraction = 0.85;

/** What a request needs of a replica. */
struct ReplicaQuery
{
    std::string_view service;
    std::string_view dataCentre; ///< of this entry
    const EngineFigures *engine = nullptr; ///< null for a plain service
    Milliseconds goal{0};
    double promptTokens = 0; ///< zero: unknown
    std::uint64_t minVersion = 0; ///< of the weights; zero: any, and none is needed
    /** Of the named weights and their model: which are over soon. Null for a plain service. */
    const WeightsGoal *weights = nullptr;
    std::string_view model;
    std::uint32_t gatewayCount = 1; ///< that share the replicas
    /** Since the caller first tried, here or elsewhere; the goal counts from then. */
    Milliseconds waited{0};
    /** Until the caller gives up; zero: unknown. */
    Milliseconds timeLeft{0};
    /** The caller has the beginning of its answer and waits for the rest. */
    bool isResumed = false;
    std::span<const std::string> excluded; ///< ids
    /** Ids whose agents answered just now: only these are chosen from. Empty: all are. */
    std::span<const std::string> answered;
    std::uint64_t random = 0;
};

/** What a replica can do for one request. Times in milliseconds. */
struct ReplicaEstimate
{
    double answer = 0; ///< expected time to an answer or a first event
    double cost = 0; ///< of choosing it, for comparison
    double step = 1; ///< by which one more request raises the cost
    double load = 0; ///< requests ahead, for each slot
    double room = 0; ///< further requests that it could take within the goal
    double freeSlots = 0; ///< slots that nobody runs in or waits for
    bool meetsGoal = false; ///< it meets the goal
    bool acceptsLate = false; ///< it takes a request that misses the goal
};

/**
 * Predicts what replicas can do for one request, from what is known of them at
 * one moment. Lives as long as one choice.
 */
class ReplicaEstimator
{
public:
    /** @p shortestGoal: of the calls for the service; it bounds the room for all. */
    ReplicaEstimator(const ReplicaQuery &query, Milliseconds shortestGoal, Instant now)
        : mQuery(query)
        , mShortestGoal(shortestGoal)
        , mNow(now)
    {
    }

    /** The fastest usable replica, to compare the others with; zero: unknown. */
    void setMinAnswerMs(double milliseconds) { mMinAnswerMs = milliseconds; }

    /** Whether @p replica may take the request at all, whatever its load. */
    bool isUsable(const Replica &replica) const;
    /** Whether the request would surely begin before the replica's weights are over. */
    bool startsBeforeExpiry(const Replica &replica) const;
    /** Its agent speaks several times a second: the box may stand still. */
    bool isSilent(const Replica &replica) const;
    ReplicaEstimate offer(const Replica &replica) const;

private:
    static void applyRateLimit(ReplicaEstimate &offer);
    bool isSlow(const Replica &replica) const;
    bool isAtConcurrencyLimit(const Replica &replica) const;
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
