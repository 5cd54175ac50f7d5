/*
 * probedchoice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "probedchoice.h"

#include <utility>

namespace Loom {

ProbedChoice::ProbedChoice(const ReplicaSet &replicas, const ReplicaQuery &query,
                           std::vector<std::string> silent)
    : mReplicas(replicas)
    , mQuery(query)
    , mWaitedBefore(mQuery.waited)
    , mExcludedReplicas(std::move(silent))
{
    mExcludedReplicas.insert(mExcludedReplicas.end(), mQuery.excluded.begin(),
                             mQuery.excluded.end());
}

std::vector<const Replica *> ProbedChoice::replicasToProbe(Instant now)
{
    std::vector<std::string> skipped = mExcludedReplicas;
    skipped.insert(skipped.end(), mProbed.begin(), mProbed.end());
    std::vector<const Replica *> replicas = mReplicas.replicasToProbe(mQuery, mRound, skipped, now);
    for (const Replica *replica : replicas) {
        mProbed.push_back(replica->record.id);
    }
    return replicas;
}

// The search ends when there is a place, or when all ten probed replicas are busy. A large request
// does not pass up a place where it will be late: by the next round, others have taken it.
// More probes would find a free slot occasionally, but they would load all agents most when
// these are busiest. Further replicas are probed only if none of the ten is usable at all,
// as during a change of weights.
bool ProbedChoice::isEnough() const
{
    const auto *chosen = std::get_if<ChosenReplica>(&mChoice);
    const bool hasPlace = chosen != nullptr && !chosen->isPatient;
    const bool isUsable = !std::holds_alternative<NoneUsable>(mChoice);
    return !mAnswered.empty() && (hasPlace || (isUsable && mRound != ProbeRound::Local));
}

void ProbedChoice::decide(std::vector<std::string> answered, Microseconds elapsed, Instant now)
{
    mAnswered = std::move(answered);
    mQuery.waited = mWaitedBefore + std::chrono::duration_cast<Milliseconds>(elapsed);
    mQuery.answered = mAnswered;
    mChoice = mReplicas.choose(mQuery, now);
    if (isEnough() || mRound == ProbeRound::Any) {
        mIsDone = true;
        return;
    }
    mRound = mRound == ProbeRound::Local ? ProbeRound::Subset : ProbeRound::Any;
}

} // namespace Loom
