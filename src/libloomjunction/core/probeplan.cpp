/*
 * probeplan.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "probeplan.h"

#include "choicerandom.h"
#include "rendezvous.h"
#include "weightsgoal.h"

#include <algorithm>
#include <iterator>

namespace Loom {

namespace {

// A fleet of this size or less is used by everybody as a whole. Beyond it, a
// gateway that gets a few requests a second would use each replica so seldom
// that neither connections nor what it knows of them last from one to the next.
constexpr std::size_t sMaxSubset = 16;
// Of those, in the own data centre where it has as many; the others take what
// comes when one data centre is asked more than its engines can do.
constexpr std::size_t sMaxLocalSubset = 12;
// The best of four random replicas is nearly as good as the best of all, while
// the loads are fresh; each further one costs two messages a request.
constexpr std::size_t sLocalProbeCount = 4;
// When those four are full, some more: under overload a place is free somewhere
// most of the time.
constexpr std::size_t sWiderProbeCount = 6;
// Of those asked, one that nothing good is known of, to notice when it recovers
// or has new weights.
constexpr std::size_t sDoubtfulProbeCount = 1;
// What an agent said about loading weights holds for about as long as a load takes.
constexpr Milliseconds sNotAcceptingTimeout{250};

std::size_t probeCount(ProbeRound round)
{
    return round == ProbeRound::Local ? sLocalProbeCount : sWiderProbeCount;
}

// Moves up to @p most random ones of @p from to the end of @p to.
void moveRandom(std::vector<const Replica *> &from, std::size_t most, ChoiceRandom &draws,
                std::vector<const Replica *> &to)
{
    for (std::size_t count = 0; count < most && !from.empty(); ++count) {
        const std::size_t index = draws.next() % from.size();
        to.push_back(from[index]);
        from[index] = from.back();
        from.pop_back();
    }
}

} // namespace

// The heaviest for this gateway, so that a replica that comes or goes changes
// one neighbour of some gateways and nothing else.
void ProbePlan::appendHighestWeights(std::vector<const Replica *> pool, std::size_t most,
                                     std::vector<const Replica *> &chosen) const
{
    const std::size_t kept = std::min(most, pool.size());
    const auto weight
        = [&](const Replica *replica) { return rendezvousWeight(mEntry, replica->record.address); };
    std::ranges::partial_sort(pool, pool.begin() + static_cast<std::ptrdiff_t>(kept),
                              std::ranges::greater(), weight);
    chosen.insert(chosen.end(), pool.begin(), pool.begin() + static_cast<std::ptrdiff_t>(kept));
}

std::vector<const Replica *> ProbePlan::subset(std::span<const Replica *const> usable) const
{
    if (usable.size() <= sMaxSubset) {
        return {usable.begin(), usable.end()};
    }
    std::vector<const Replica *> near;
    std::vector<const Replica *> far;
    for (const Replica *replica : usable) {
        const bool isNear = replica->record.dataCentre == mQuery.dataCentre;
        (isNear ? near : far).push_back(replica);
    }
    std::vector<const Replica *> chosen;
    const std::size_t mostNear
        = far.size() < sMaxSubset - sMaxLocalSubset ? sMaxSubset - far.size() : sMaxLocalSubset;
    appendHighestWeights(std::move(near), mostNear, chosen);
    appendHighestWeights(std::move(far), sMaxSubset - chosen.size(), chosen);
    return chosen;
}

// As far as is known: it has weights that may be used, also from here, and is not
// away for a load.
bool ProbePlan::isPromising(const Replica &replica) const
{
    const bool isRemote = replica.record.dataCentre != mQuery.dataCentre;
    const bool isOverSoon = mQuery.weights != nullptr
        && mQuery.weights->isOverSoon(mQuery.model, replica.weightsVersion(), mNow);
    if (isRemote && isOverSoon) {
        return false;
    }
    const bool isAway = replica.load && !replica.load->isAccepting
        && mNow - replica.loadAt <= sNotAcceptingTimeout;
    const std::uint64_t version = replica.weightsVersion();
    return !isAway && version != 0 && version >= mQuery.minVersion && replica.avoidedUntil <= mNow;
}

std::vector<const Replica *> ProbePlan::choose(ProbeRound round,
                                               std::span<const Replica *const> usable,
                                               std::span<const std::string> asked) const
{
    std::vector<const Replica *> pool = round == ProbeRound::Any
        ? std::vector<const Replica *>(usable.begin(), usable.end())
        : subset(usable);
    std::vector<const Replica *> promising;
    std::vector<const Replica *> doubtful;
    for (const Replica *replica : pool) {
        const bool isAsked = std::ranges::find(asked, replica->record.id) != asked.end();
        const bool isTooFar
            = round == ProbeRound::Local && replica->record.dataCentre != mQuery.dataCentre;
        if (!isAsked && !isTooFar) {
            (isPromising(*replica) ? promising : doubtful).push_back(replica);
        }
    }
    ChoiceRandom draws(mQuery.random + static_cast<std::uint64_t>(round));
    std::vector<const Replica *> chosen;
    const std::size_t most = probeCount(round);
    const std::size_t doubts = std::min(sDoubtfulProbeCount, doubtful.size());
    moveRandom(promising, most - doubts, draws, chosen);
    moveRandom(doubtful, most - chosen.size(), draws, chosen);
    return chosen;
}

} // namespace Loom
