/*
 * askedchoice.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "askedchoice.h"

#include <utility>

namespace Loom {

AskedChoice::AskedChoice(const ReplicaSet &replicas, const ReplicaQuery &query,
                         std::vector<std::string> silent)
    : mReplicas(replicas)
    , mQuery(query)
    , mWaitedBefore(mQuery.waited)
    , mNotAsked(std::move(silent))
{
    mNotAsked.insert(mNotAsked.end(), mQuery.excluded.begin(), mQuery.excluded.end());
}

std::vector<const Replica *> AskedChoice::toAsk(Instant now)
{
    std::vector<std::string> passedOver = mNotAsked;
    passedOver.insert(passedOver.end(), mAsked.begin(), mAsked.end());
    std::vector<const Replica *> replicas = mReplicas.toAsk(mQuery, mRound, passedOver, now);
    for (const Replica *replica : replicas) {
        mAsked.push_back(replica->record.id);
    }
    return replicas;
}

// An answer in time ends the search, and so does the word of ten that are busy:
// more questions would find a place now and then, and cost everybody's agents most
// when they have most to do. Only where none of them can be used at all, as while
// weights change, others are asked.
bool AskedChoice::isEnough() const
{
    const auto *chosen = std::get_if<ChosenReplica>(&mChoice);
    const bool isInTime = chosen != nullptr && !chosen->isPatient;
    const bool isUsable = !std::holds_alternative<NoneUsable>(mChoice);
    return !mAnswered.empty() && (isInTime || (isUsable && mRound != AskRound::Near));
}

void AskedChoice::decide(std::vector<std::string> answered, Microseconds took, Instant now)
{
    mAnswered = std::move(answered);
    mQuery.waited = mWaitedBefore + std::chrono::duration_cast<Milliseconds>(took);
    mQuery.answered = mAnswered;
    mChoice = mReplicas.choose(mQuery, now);
    if (isEnough() || mRound == AskRound::Anyone) {
        mIsDone = true;
        return;
    }
    mRound = mRound == AskRound::Near ? AskRound::Neighbours : AskRound::Anyone;
}

} // namespace Loom
