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
#include "weightversiontracker.h"

#include <algorithm>
#include <iterator>

namespace Loom {

namespace {

// Every gateway uses the whole of a fleet up to this size. In a larger fleet, a gateway with
// a few requests per second would use each replica so rarely that neither connections nor
// load reports would last from one request to the next.
constexpr std::size_t sMaxSubset = 16;
// Members of the subset in the gateway's own data centre, if it has as many. The remote ones
// take the excess when a data centre gets more requests than its engines can handle.
constexpr std::size_t sMaxLocalSubset = 12;
// Further remote members while the gateway's data centre gets more calls than others. With four
// remote members, replicas elsewhere stayed idle that the excess could have used.
constexpr std::size_t sExcessSubset = 4;
// With fresh loads, the best of four random replicas is nearly as good as the best of all.
// Each further probe costs two messages per request.
constexpr std::size_t sLocalProbeCount = 4;
// Probes of a later round, when these four are full: under overload some replica has a free
// slot most of the time.
constexpr std::size_t sWiderProbeCount = 6;
// Probed replicas that are not expected to be usable, to notice that they recover or have new
// weights.
constexpr std::size_t sDoubtfulProbeCount = 1;
// A report that the replica is loading weights is valid for about the duration of a load.
constexpr Milliseconds sNotAcceptingTimeout{250};

std::size_t probeCount(ProbeRound round)
{
    return round == ProbeRound::Local ? sLocalProbeCount : sWiderProbeCount;
}

// Moves up to maxCount random elements from one list to the end of another.
void moveRandom(std::vector<const Replica *> &source, std::size_t maxCount, ChoiceRandom &draws,
                std::vector<const Replica *> &target)
{
    for (std::size_t count = 0; count < maxCount && !source.empty(); ++count) {
        const std::size_t index = draws.next() % source.size();
        target.push_back(source[index]);
        source[index] = source.back();
        source.pop_back();
    }
}

} // namespace

// Selects the replicas with the highest rendezvous weights for this gateway. When a replica is
// added or removed, the subsets of some gateways change by one member and all others stay.
void ProbePlan::appendHighestWeights(std::vector<const Replica *> pool, std::size_t maxCount,
                                     std::vector<const Replica *> &chosen) const
{
    const std::size_t count = std::min(maxCount, pool.size());
    const auto weight = [&](const Replica *replica) {
        return rendezvousWeight(mGatewayKey, replica->record.address);
    };
    std::ranges::partial_sort(pool, pool.begin() + static_cast<std::ptrdiff_t>(count),
                              std::ranges::greater(), weight);
    chosen.insert(chosen.end(), pool.begin(), pool.begin() + static_cast<std::ptrdiff_t>(count));
}

std::vector<const Replica *> ProbePlan::subset(std::span<const Replica *const> usable) const
{
    if (usable.size() <= sMaxSubset) {
        return {usable.begin(), usable.end()};
    }
    std::vector<const Replica *> local;
    std::vector<const Replica *> remote;
    for (const Replica *replica : usable) {
        (isRemote(*replica) ? remote : local).push_back(replica);
    }
    std::vector<const Replica *> chosen;
    const std::size_t maxLocal = remote.size() < sMaxSubset - sMaxLocalSubset
        ? sMaxSubset - remote.size()
        : sMaxLocalSubset;
    appendHighestWeights(std::move(local), maxLocal, chosen);
    const std::size_t maxSubset = mHasLocalExcess ? sMaxSubset + sExcessSubset : sMaxSubset;
    appendHighestWeights(std::move(remote), maxSubset - chosen.size(), chosen);
    return chosen;
}

bool ProbePlan::isRemote(const Replica &replica) const
{
    return replica.record.dataCentre != mQuery.dataCentre;
}

// Whether the replica is expected to be usable from here, by its last known weights and
// state: it is not loading, and its weights are neither outdated nor, if remote, about to expire.
bool ProbePlan::isPromising(const Replica &replica) const
{
    const bool isCutoffNear = mQuery.weights != nullptr
        && mQuery.weights->isCutoffNear(mQuery.model, replica.weightsVersion(), mNow);
    if (isRemote(replica) && isCutoffNear) {
        return false;
    }
    const bool isLoading = replica.load && !replica.load->isAccepting
        && mNow - replica.loadAt <= sNotAcceptingTimeout;
    const std::uint64_t version = replica.weightsVersion();
    return !isLoading && version != 0 && version >= mQuery.minVersion
        && replica.avoidedUntil <= mNow;
}

std::vector<const Replica *> ProbePlan::choose(ProbeRound round,
                                               std::span<const Replica *const> usable,
                                               std::span<const std::string> probed) const
{
    std::vector<const Replica *> pool = round == ProbeRound::Any
        ? std::vector<const Replica *>(usable.begin(), usable.end())
        : subset(usable);
    std::vector<const Replica *> promising;
    std::vector<const Replica *> doubtful;
    for (const Replica *replica : pool) {
        const bool isProbed = std::ranges::find(probed, replica->record.id) != probed.end();
        const bool isOutOfScope = round == ProbeRound::Local && isRemote(*replica);
        if (!isProbed && !isOutOfScope) {
            (isPromising(*replica) ? promising : doubtful).push_back(replica);
        }
    }
    ChoiceRandom draws(mQuery.random + static_cast<std::uint64_t>(round));
    std::vector<const Replica *> chosen;
    const std::size_t maxCount = probeCount(round);
    const std::size_t doubtfulCount = std::min(sDoubtfulProbeCount, doubtful.size());
    if (mHasLocalExcess && round == ProbeRound::Subset) {
        // The local replicas have more calls than the others, so the remaining ones of them are
        // most likely as full as those that were probed.
        std::vector<const Replica *> remote;
        std::ranges::copy_if(promising, std::back_inserter(remote),
                             [&](const Replica *replica) { return isRemote(*replica); });
        std::erase_if(promising, [&](const Replica *replica) { return isRemote(*replica); });
        moveRandom(remote, maxCount - doubtfulCount, draws, chosen);
    }
    moveRandom(promising, maxCount - doubtfulCount - chosen.size(), draws, chosen);
    moveRandom(doubtful, maxCount - chosen.size(), draws, chosen);
    return chosen;
}

} // namespace Loom
