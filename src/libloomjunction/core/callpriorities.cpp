/*
 * callpriorities.cpp
 * Copyright 2026, the loomjunction authors
 *
 * This file is part of loomjunction (libloomjunction).
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "callpriorities.h"

namespace Loom {

namespace {

// If fewer calls yield to them, callers who return early mostly compete with calls of their own
// standing and are refused again, since the overload has not ended by then.
constexpr double sMinYieldingFraction = 0.25;

} // namespace

RequestStanding CallPriorities::noteCall(std::string_view service, const CallOrigin &origin,
                                         Instant now)
{
    ServiceCalls &calls = mServices.try_emplace(std::string(service)).first->second;
    AccountShares &shares = calls.shares[origin.rank];
    shares.noteAsked(origin.account, origin.work, now);
    const RequestStanding standing{origin.rank,
                                   shares.isOverShare(origin.account, origin.repeatSeed)};
    calls.demand.note(standing, now);
    return standing;
}

void CallPriorities::noteAdmitted(const ReplicaQuery &query, Instant now)
{
    const auto it = mServices.find(query.service);
    if (it == mServices.end()) {
        return;
    }
    const auto shares = it->second.shares.find(query.standing.rank);
    if (shares != it->second.shares.end()) {
        shares->second.noteAdmitted(query.account, query.work, now);
    }
}

// A resumed stream has been admitted already: its caller holds a part of the answer.
Precedence CallPriorities::precedence(const ReplicaQuery &query, bool isOverloaded) const
{
    const auto it = mServices.find(query.service);
    if (query.engine == nullptr || it == mServices.end()) {
        return {};
    }
    const UrgencyDemand &demand = it->second.demand;
    Precedence precedence;
    precedence.urgencyLevel = demand.urgencyLevel(query.standing.rank);
    if (!isOverloaded || query.isResumed) {
        return precedence;
    }
    const UrgencyDemand::Split split = demand.split(query.standing);
    precedence.returnsEarly
        = split.isMostUrgent && split.lessUrgentFraction >= sMinYieldingFraction;
    if (!UrgencyDemand::isExempt(query.repeatSeed, precedence.urgencyLevel)) {
        precedence.moreUrgentFraction = split.moreUrgentFraction;
        precedence.competingFraction = split.competingFraction;
    }
    return precedence;
}

} // namespace Loom
