/*
 * replicasurvey.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "replicasurvey.h"

#include "waterfill.h"

#include <algorithm>

namespace Loom {

void ReplicaSurvey::add(const Replica &replica, const ReplicaEstimate &estimate,
                        double unreportedMs)
{
    ++mExamined;
    mHorizonMs += unreportedMs;
    mRoom += estimate.room;
    mFreeSlots += estimate.freeSlots;
    mMinLoad = mExamined == 1 ? estimate.load : std::min(mMinLoad, estimate.load);
    if (estimate.room > 0) {
        mWithRoom.push_back({&replica, estimate});
    }
    if (estimate.meetsGoal) {
        mMeetingGoal.push_back({&replica, estimate});
    }
    if (estimate.acceptsLate) {
        mAcceptingLate.push_back({&replica, estimate});
    }
}

double ReplicaSurvey::meanHorizonMs() const
{
    return mExamined == 0 ? 0 : mHorizonMs / static_cast<double>(mExamined);
}

// All gateways know the same slightly outdated loads. If each of them took the best replica,
// a replica with one free slot would get all requests until its next report. So the requests
// that are expected until then are distributed by water-filling, and each request goes to
// one replica at random, weighted by these shares.
const ReplicaCandidate &ReplicaSurvey::pickWeighted(std::span<const ReplicaCandidate> candidates,
                                                    double requests, double random)
{
    std::vector<WaterFillTarget> targets;
    targets.reserve(candidates.size());
    for (const ReplicaCandidate &candidate : candidates) {
        targets.push_back(
            {candidate.estimate.cost, std::max(candidate.estimate.costPerRequest, 1.0)});
    }
    const std::vector<double> shares = waterFillShares(targets, requests);
    double remaining = requests * random;
    const ReplicaCandidate *last = &candidates.front();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (shares[index] <= 0) {
            continue;
        }
        last = &candidates[index];
        remaining -= shares[index];
        if (remaining < 0) {
            break;
        }
    }
    return *last;
}

} // namespace Loom
