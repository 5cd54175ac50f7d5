/*
 * replicasurvey.h
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include "replica.h"
#include "replicaestimate.h"

#include <cstddef>
#include <span>
#include <vector>

namespace Loom {

/** A replica that was examined for a request, and the prediction for the request there. */
struct ReplicaCandidate
{
    const Replica *replica = nullptr;
    ReplicaEstimate estimate;
};

/** Summary of the replicas that were examined for one request. Lives as long as one choice. */
class ReplicaSurvey
{
public:
    /** Adds a replica. @p unreportedMs: time in which other gateways' requests to it are unknown.
     */
    void add(const Replica &replica, const ReplicaEstimate &estimate, double unreportedMs);

    /** Replicas that meet the request's goal. */
    const std::vector<ReplicaCandidate> &meetingGoal() const { return mMeetingGoal; }
    /** Replicas where a request of the mean size would meet the shortest common goal. */
    const std::vector<ReplicaCandidate> &withRoom() const { return mWithRoom; }
    /** Replicas that accept the request past its goal. */
    const std::vector<ReplicaCandidate> &acceptingLate() const { return mAcceptingLate; }

    std::size_t examined() const { return mExamined; }
    double room() const { return mRoom; } ///< sum over the replicas, in requests
    double freeSlots() const { return mFreeSlots; } ///< sum over the replicas
    double minLoad() const { return mMinLoad; } ///< requests per slot at the least busy one
    double horizonMs() const { return mHorizonMs; } ///< sum of the unreported times
    double meanHorizonMs() const;

    /**
     * Draws one of @p candidates, which must not be empty, so that @p requests that are expected
     * at all gateways spread by water-filling. @p random: from 0 to 1.
     */
    static const ReplicaCandidate &pickWeighted(std::span<const ReplicaCandidate> candidates,
                                                double requests, double random);

private:
    std::vector<ReplicaCandidate> mMeetingGoal;
    std::vector<ReplicaCandidate> mWithRoom;
    std::vector<ReplicaCandidate> mAcceptingLate;
    std::size_t mExamined = 0;
    double mHorizonMs = 0;
    double mRoom = 0;
    double mFreeSlots = 0;
    double mMinLoad = 0;
};

} // namespace Loom
