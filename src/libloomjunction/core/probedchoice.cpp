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
    , mExcluded(std::move(silent))
{
    mExcluded.insert(mExcluded.end(), mQuery.excluded.begin(), mQuery.excluded.end());
}

std::vector<const Replica *> ProbedChoice::replicasToProbe(Instant now)
{
    std::vector<std::string> passedOver = mExcluded;
    passedOver.insert(passedOver.end(), mAsked.begin(), mAsked.end());
    std::vector<const Replica *> replicas
        = mReplicas.replicasToProbe(mQuery, mRound, passedOver, now);
    for (const Replica *replica : replicas) {
        mAsked.push_back(replica->record.id);
    }
    return replicas;
}

// An answer in time ends the search, and so does the word of ten that are busy:
// more questions would find a place now and then, and cost everybody's agents most
// when they have most to do. Only where none of them can be used at all, as while
// weights change, others are asked.
bool ProbedChoice::isEnough() const
{
    const auto *chosen = std::get_if<ChosenReplica>(&mChoice);
    const bool isInTime = chosen != nullptr && !chosen->isPatient;
    const bool isUsable = !std::holds_alternative<NoneUsable>(mChoice);
    return !mAnswered.empty() && (isInTime || (isUsable && mRound != ProbeRound::Local));
}

void ProbedChoice::decide(std::vector<std::string> answered, Microseconds took, Instant now)
{
    mAnswered = std::move(answered);
    mQuery.waited = mWaitedBefore + std::chrono::duration_cast<Milliseconds>(took);
    mQuery.answered = mAnswered;
    mChoice = mReplicas.choose(mQuery, now);
    if (isEnough() || mRound == ProbeRound::Any) {
        mIsDone = true;
        return;
    }
    mRound = mRound == ProbeRound::Local ? ProbeRound::Subset : ProbeRound::Any;
}

} // namespace Loom
